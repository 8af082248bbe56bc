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

// timed is an event of one agent at a time of a virtual clock.
type timed struct {
	at    time.Time
	agent int
	event Event
}

// schedule is a heap of events by time.
type schedule []timed

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(timed)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// claimTrial is a service with one log over a virtual clock.
type claimTrial struct {
	now      time.Time
	cores    []*Core
	events   schedule
	random   *rand.Rand
	arrivals map[uint64]time.Time
	waits    []time.Duration
	offset   uint64
}

const (
	trialAppend = 2 * time.Millisecond
	trialRead   = time.Millisecond
	trialRun    = 5 * time.Millisecond
)

func newClaimTrial(agents int) *claimTrial {
	tr := &claimTrial{
		now:      time.Unix(1000, 0),
		random:   rand.New(rand.NewPCG(1, 1)),
		arrivals: make(map[uint64]time.Time),
	}
	var hosts []plat.Host
	for i := range agents {
		host := plat.Host{
			Name:    fmt.Sprint(i),
			Role:    plat.RoleAgent,
			Service: "pedidos",
		}
		hosts = append(hosts, host)
		tr.cores = append(tr.cores, NewCore(CoreSettings{
			Incarnation: 1,
			Plain:       true,
			Slots:       1000,
			Once: dedup.Settings{
				Self:    dedup.Process{Host: host.Name, Incarnation: uint64(i + 1)},
				Service: "pedidos",
			},
		}))
	}
	for i := range tr.cores {
		tr.at(0, i, HostsRead{Hosts: hosts})
	}
	return tr
}

func (tr *claimTrial) at(after time.Duration, agent int, event Event) {
	heap.Push(&tr.events, timed{
		at:    tr.now.Add(after),
		agent: agent,
		event: event,
	})
}

// run works off all events.
func (tr *claimTrial) run() {
	for len(tr.events) > 0 {
		next := heap.Pop(&tr.events).(timed)
		tr.now = next.at
		for _, effect := range tr.cores[next.agent].Apply(tr.now, next.event) {
			tr.perform(next.agent, effect)
		}
	}
}

func (tr *claimTrial) perform(agent int, effect Effect) {
	switch e := effect.(type) {
	case Start:
		tr.waits = append(tr.waits, tr.now.Sub(tr.arrivals[e.Key]))
		tr.at(trialRun, agent, Ended{Key: e.Key, Outcome: dedup.Outcome{Status: 200}})
	case Wake:
		tr.at(e.After, agent, Tick{})
	case Append:
		tr.offset++
		record := plat.Record{
			Offset: tr.offset,
			Time:   tr.now.Add(trialAppend / 2),
			Data:   e.Data,
		}
		tr.at(trialAppend, agent, Appended{Tag: e.Tag, Offset: tr.offset})
		for i := range tr.cores {
			tr.at(trialAppend/2+trialRead, i, LogRead{
				Stream: plat.StreamClaims,
				Page:   plat.Page{Records: []plat.Record{record}},
			})
		}
	}
}

// BenchmarkClaimWait measures what a claim adds before a call starts, with an
// append that takes 2 ms and a read that takes 1 ms, and how many appends the
// service makes.
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
				tr := newClaimTrial(size.agents)
				for i := 1; i <= seconds*size.perSecond; i++ {
					after := time.Duration(tr.random.Float64() * seconds * float64(time.Second))
					tr.arrivals[uint64(i)] = tr.now.Add(after)
					tr.at(after, tr.random.IntN(size.agents), Arrived{Call: Call{
						Key: uint64(i),
						Request: &wirepb.CallRequest{
							Id:               fmt.Sprint(i),
							AgentIncarnation: 1,
							TimeoutMs:        60_000,
							IdempotencyKey:   dedup.NewKey("booth", "/charge", fmt.Sprint(i)).String(),
						},
					}})
				}
				tr.run()
				slices.Sort(tr.waits)
				n := len(tr.waits)
				if n != seconds*size.perSecond {
					b.Fatalf("%d of %d calls started", n, seconds*size.perSecond)
				}
				b.ReportMetric(float64(tr.waits[n/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(tr.waits[n*99/100].Microseconds())/1000, "p99-ms")
				b.ReportMetric(float64(tr.offset)/seconds, "appends/s")
			}
		})
	}
}
