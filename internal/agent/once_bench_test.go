package agent

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// scheduledEvent is an event of one agent at a time of the virtual clock.
type scheduledEvent struct {
	at    time.Time
	agent int
	event Event
}

// eventHeap is a heap of events ordered by time. It implements heap.Interface.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// claimSimulation runs the agents of a service and their log on a virtual
// clock.
type claimSimulation struct {
	now        time.Time
	cores      []*Core
	events     eventHeap
	random     *rand.Rand
	arrivals   map[uint64]time.Time
	claimWaits []time.Duration
	lastOffset uint64
}

const (
	simAppendTime = 2 * time.Millisecond
	simReadTime   = time.Millisecond
	simRunTime    = 5 * time.Millisecond
)

func newClaimSimulation(agentCount int) *claimSimulation {
	sim := &claimSimulation{
		now:      time.Unix(1000, 0),
		random:   rand.New(rand.NewPCG(1, 1)),
		arrivals: make(map[uint64]time.Time),
	}
	var hosts []plat.Host
	for i := range agentCount {
		host := plat.Host{
			Name:    fmt.Sprint(i),
			Role:    plat.RoleAgent,
			Service: "pedidos",
		}
		hosts = append(hosts, host)
		sim.cores = append(sim.cores, NewCore(CoreSettings{
			Incarnation:  1,
			PlainService: true,
			Slots:        1000,
			Dedup: dedup.Settings{
				Self:    dedup.Process{Host: host.Name, Incarnation: uint64(i + 1)},
				Service: "pedidos",
			},
		}))
	}
	for i := range sim.cores {
		sim.schedule(0, i, HostsRead{Hosts: hosts})
	}
	return sim
}

func (s *claimSimulation) schedule(delay time.Duration, agent int, event Event) {
	heap.Push(&s.events, scheduledEvent{
		at:    s.now.Add(delay),
		agent: agent,
		event: event,
	})
}

// run processes events until none is left.
func (s *claimSimulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(scheduledEvent)
		s.now = next.at
		for _, effect := range s.cores[next.agent].Apply(s.now, next.event) {
			s.perform(next.agent, effect)
		}
	}
}

func (s *claimSimulation) perform(agent int, effect Effect) {
	switch e := effect.(type) {
	case Start:
		s.claimWaits = append(s.claimWaits, s.now.Sub(s.arrivals[e.Key]))
		s.schedule(simRunTime, agent, CallEnded{Key: e.Key, Outcome: dedup.Outcome{Status: 200}})
	case ScheduleTick:
		s.schedule(e.After, agent, Tick{})
	case AppendRecord:
		s.lastOffset++
		record := plat.Record{
			Offset: s.lastOffset,
			Time:   s.now.Add(simAppendTime / 2),
			Data:   e.Data,
		}
		s.schedule(simAppendTime, agent, AppendEnded{Tag: e.Tag, Offset: s.lastOffset})
		for i := range s.cores {
			s.schedule(simAppendTime/2+simReadTime, i, LogRead{
				Stream: plat.StreamClaims,
				Page:   plat.Page{Records: []plat.Record{record}},
			})
		}
	}
}

// BenchmarkClaimWait measures by how much claims delay the start of calls, with
// appends that take 2 ms and reads that take 1 ms, and how many appends per
// second the service makes.
func BenchmarkClaimWait(b *testing.B) {
	for _, size := range []struct {
		agents, perSecond int
	}{
		{agents: 3, perSecond: 30},
		{agents: 3, perSecond: 300},
		{agents: 3, perSecond: 3000},
		{agents: 30, perSecond: 3000},
	} {
		b.Run(fmt.Sprintf("agents=%d/calls=%d", size.agents, size.perSecond), func(b *testing.B) {
			for range b.N {
				const seconds = 10
				sim := newClaimSimulation(size.agents)
				for i := 1; i <= seconds*size.perSecond; i++ {
					delay := time.Duration(sim.random.Float64() * seconds * float64(time.Second))
					sim.arrivals[uint64(i)] = sim.now.Add(delay)
					sim.schedule(delay, sim.random.IntN(size.agents), CallArrived{Call: Call{
						Key: uint64(i),
						Request: &wirepb.CallRequest{
							Id:               fmt.Sprint(i),
							AgentIncarnation: 1,
							TimeoutMs:        60_000,
							IdempotencyKey:   dedup.NewKey("booth", "/charge", fmt.Sprint(i)).String(),
						},
					}})
				}
				sim.run()
				slices.Sort(sim.claimWaits)
				n := len(sim.claimWaits)
				if n != seconds*size.perSecond {
					b.Fatalf("%d of %d calls started, want all", n, seconds*size.perSecond)
				}
				b.ReportMetric(float64(sim.claimWaits[n/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(sim.claimWaits[n*99/100].Microseconds())/1000, "p99-ms")
				b.ReportMetric(float64(sim.lastOffset)/seconds, "appends/s")
			}
		})
	}
}
