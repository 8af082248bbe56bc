package agent_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/engsim"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	benchSlots = 32
	benchStep  = 5 * time.Millisecond
)

// benchCall is a call that is queued or running.
type benchCall struct {
	request engsim.Request
	load    *customerLoad
}

// customerLoad is the demand of one customer and its results.
type customerLoad struct {
	customer        string
	rate            float64
	nextArrival     time.Time
	batch           bool
	firstTokenTimes []time.Duration
	durations       []time.Duration
	calls           int
	refused         int
}

// simulation runs an agent and its engine on a virtual clock.
type simulation struct {
	core    *agent.Core
	engine  *engsim.Engine
	random  *rand.Rand
	now     time.Time
	timeout time.Duration
	// singleQueue hides the customers from the agent, so that it serves calls
	// first in, first out. bypassAgent sends calls directly to the engine.
	singleQueue, bypassAgent bool
	loads                    []*customerLoad
	calls                    map[uint64]*benchCall
	maxActive                int
}

func newSimulation(seed uint64, timeout time.Duration, loads ...*customerLoad) *simulation {
	settings := engsim.Default()
	settings.MaxSequences = benchSlots
	sim := &simulation{
		core:    newPlainCore(benchSlots),
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     epoch,
		timeout: timeout,
		loads:   loads,
		calls:   make(map[uint64]*benchCall),
	}
	settings.OnFirstToken = func(id int, at time.Time) {
		call := sim.calls[uint64(id)]
		call.load.firstTokenTimes = append(call.load.firstTokenTimes, at.Sub(call.request.ArrivedAt))
	}
	sim.engine = engsim.New(settings)
	for _, load := range loads {
		load.nextArrival = sim.arrivalAfter(load, epoch)
	}
	return sim
}

func (s *simulation) arrivalAfter(load *customerLoad, at time.Time) time.Time {
	return at.Add(time.Duration(s.random.ExpFloat64() / load.rate * float64(time.Second)))
}

// run generates arrivals for a duration and then waits up to two minutes for
// the remaining calls to end.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end) || len(s.calls) > 0; {
		s.now = s.now.Add(benchStep)
		for _, response := range s.engine.Run(s.now) {
			call := s.calls[uint64(response.ID)]
			delete(s.calls, uint64(response.ID))
			call.load.durations = append(call.load.durations, response.LastTokenAt.Sub(response.ArrivedAt))
			s.perform(s.core.Apply(s.now, agent.CallEnded{
				Key:    uint64(response.ID),
				Tokens: response.PromptTokens + response.OutputTokens,
			}))
		}
		s.perform(s.core.Apply(s.now, agent.Tick{}))
		for _, load := range s.loads {
			for !load.nextArrival.After(s.now) && s.now.Before(end) {
				s.sendCall(load)
				load.nextArrival = s.arrivalAfter(load, load.nextArrival)
			}
		}
		if s.now.After(end.Add(2 * time.Minute)) {
			return
		}
	}
}

func (s *simulation) sendCall(load *customerLoad) {
	load.calls++
	key := uint64(len(s.calls)) + uint64(load.calls)<<32 + uint64(slices.Index(s.loads, load))<<16
	call := &benchCall{
		load: load,
		request: engsim.Request{
			ID: int(key), Model: "m", ArrivedAt: load.nextArrival,
			PromptTokens: 100 + s.random.IntN(400), OutputTokens: 20 + int(s.random.ExpFloat64()*80),
		},
	}
	s.calls[key] = call
	s.maxActive = max(s.maxActive, len(s.calls))
	if s.bypassAgent {
		s.engine.Submit(call.request)
		return
	}
	customer, batch := load.customer, load.batch
	if s.singleQueue {
		customer, batch = "all", false
	}
	s.perform(s.core.Apply(s.now, agent.CallArrived{Call: agent.Call{
		Key: key,
		Request: &wirepb.CallRequest{
			AgentIncarnation: 1, Idempotent: true, Customer: customer, Batch: batch, Weight: 1,
			PromptTokens: uint32(call.request.PromptTokens), MaxTokens: uint32(max(call.request.OutputTokens, 256)),
			TimeoutMs: uint32(s.timeout.Milliseconds()),
		},
	}}))
}

func (s *simulation) perform(effects []agent.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Start:
			s.engine.Submit(s.calls[e.Key].request)
		case agent.Refuse:
			s.calls[e.Key].load.refused++
			delete(s.calls, e.Key)
		}
	}
}

// engineCapacity returns how many calls the saturated engine completes per
// second.
func engineCapacity() float64 {
	load := &customerLoad{customer: "a", rate: 100}
	sim := newSimulation(1, time.Hour, load)
	sim.bypassAgent = true
	for sim.now.Before(epoch.Add(time.Minute)) {
		sim.run(0)
		sim.saturateUntil(epoch.Add(time.Minute))
	}
	return float64(len(load.durations)) / 60
}

// saturateUntil keeps the engine saturated until a point in time.
func (s *simulation) saturateUntil(end time.Time) {
	load := s.loads[0]
	for s.now.Before(end) {
		s.now = s.now.Add(benchStep)
		for len(s.calls) < 2*benchSlots {
			load.nextArrival = s.now
			s.sendCall(load)
		}
		for _, response := range s.engine.Run(s.now) {
			delete(s.calls, uint64(response.ID))
			load.durations = append(load.durations, response.LastTokenAt.Sub(response.ArrivedAt))
		}
	}
}

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(float64(len(durations)-1)*q)]
}

// floodDemands lists the customers' demands as fractions of the capacity. The
// first customer is the one that floods.
var floodDemands = []float64{0.4, 0.2, 0.1, 0.06, 0.04}

// simulateFlood returns each small customer's p95 of the time to the first
// token, the lowest fraction of a small customer's calls with a first token
// within 1.2 s, and the number of calls of all customers that ended per second.
func simulateFlood(
	capacity float64, singleQueue bool, floodFactor float64,
) (p95s []time.Duration, worstAttained, endedPerSecond float64) {
	firstTokenTimes := make([][]time.Duration, len(floodDemands))
	calls := make([]int, len(floodDemands))
	for seed := range uint64(5) {
		var loads []*customerLoad
		for i, fraction := range floodDemands {
			loads = append(loads, &customerLoad{customer: fmt.Sprint("customer-", i), rate: fraction * capacity})
		}
		loads[0].rate *= floodFactor
		sim := newSimulation(seed, 30*time.Second, loads...)
		sim.singleQueue = singleQueue
		sim.run(2 * time.Minute)
		for i, load := range loads {
			firstTokenTimes[i] = append(firstTokenTimes[i], load.firstTokenTimes...)
			calls[i] += load.calls
			endedPerSecond += float64(len(load.durations)) / (5 * sim.now.Sub(epoch).Seconds())
		}
	}
	worstAttained = 1
	for i := 1; i < len(floodDemands); i++ {
		p95s = append(p95s, quantile(firstTokenTimes[i], 0.95))
		inTime := 0
		for _, first := range firstTokenTimes[i] {
			if first <= 1200*time.Millisecond {
				inTime++
			}
		}
		worstAttained = min(worstAttained, float64(inTime)/float64(calls[i]))
	}
	return p95s, worstAttained, endedPerSecond
}

// BenchmarkFlood measures the latency of small customers while a large one
// sends five times its normal rate. The normal total load is 80 % of the
// capacity.
func BenchmarkFlood(b *testing.B) {
	capacity := engineCapacity()
	for _, policy := range []string{"fair", "firstInFirstOut"} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				calm, _, _ := simulateFlood(capacity, policy != "fair", 1)
				flooded, attained, ended := simulateFlood(capacity, policy != "fair", 5)
				ratio := 0.0
				for i := range calm {
					ratio = max(ratio, float64(flooded[i])/float64(calm[i]))
				}
				b.ReportMetric(float64(slices.Max(calm).Milliseconds()), "calm-worst-p95-ms")
				b.ReportMetric(float64(slices.Max(flooded).Milliseconds()), "flood-worst-p95-ms")
				b.ReportMetric(ratio, "worst-ratio")
				b.ReportMetric(ended, "flood-ended/s")
				b.ReportMetric(100*attained, "flood-worst-attained-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkOverload measures how many calls per second end within the callers'
// timeout of ten seconds, at loads of up to ten times the capacity for one
// minute.
func BenchmarkOverload(b *testing.B) {
	const callerTimeout = 10 * time.Second
	capacity := engineCapacity()
	for _, policy := range []string{"shedding", "noShedding"} {
		for _, load := range []float64{0.8, 0.9, 1, 1.2, 10} {
			b.Run(fmt.Sprintf("%s/load=%v", policy, load), func(b *testing.B) {
				for range b.N {
					demand := &customerLoad{customer: "a", rate: load * capacity}
					sim := newSimulation(1, callerTimeout, demand)
					sim.bypassAgent = policy != "shedding"
					sim.run(time.Minute)
					inTime := 0
					for _, duration := range demand.durations {
						if duration <= callerTimeout {
							inTime++
						}
					}
					b.ReportMetric(float64(inTime)/60, "good/s")
					b.ReportMetric(float64(sim.maxActive), "most-held")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
