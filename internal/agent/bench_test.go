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

// benchCall is a call on its way through an agent.
type benchCall struct {
	request engsim.Request
	flow    *flow
}

// flow is the demand of one customer and what became of it.
type flow struct {
	customer string
	rate     float64
	next     time.Time
	batch    bool
	firsts   []time.Duration
	ends     []time.Duration
	calls    int
	refused  int
}

// bench is an agent with its engine over a virtual clock.
type bench struct {
	core    *agent.Core
	engine  *engsim.Engine
	random  *rand.Rand
	now     time.Time
	timeout time.Duration
	// oneQueue hides the customers, so that the agent serves first in, first
	// out. direct hands calls to the engine without an agent.
	oneQueue, direct bool
	flows            []*flow
	calls            map[uint64]*benchCall
	waiting          int
}

func newBench(seed uint64, timeout time.Duration, flows ...*flow) *bench {
	settings := engsim.Default()
	settings.MaxSequences = benchSlots
	b := &bench{
		core:    newPlain(benchSlots),
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     epoch,
		timeout: timeout,
		flows:   flows,
		calls:   make(map[uint64]*benchCall),
	}
	settings.OnFirstToken = func(id int, at time.Time) {
		c := b.calls[uint64(id)]
		c.flow.firsts = append(c.flow.firsts, at.Sub(c.request.ArrivedAt))
	}
	b.engine = engsim.New(settings)
	for _, f := range flows {
		f.next = b.gap(f, epoch)
	}
	return b
}

func (b *bench) gap(f *flow, at time.Time) time.Time {
	return at.Add(time.Duration(b.random.ExpFloat64() / f.rate * float64(time.Second)))
}

// run lets the demand arrive for a time and what runs then end.
func (b *bench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end) || len(b.calls) > 0; {
		b.now = b.now.Add(benchStep)
		for _, r := range b.engine.Run(b.now) {
			c := b.calls[uint64(r.ID)]
			delete(b.calls, uint64(r.ID))
			c.flow.ends = append(c.flow.ends, r.LastTokenAt.Sub(r.ArrivedAt))
			b.perform(b.core.Apply(b.now, agent.Ended{Key: uint64(r.ID), Used: r.PromptTokens + r.OutputTokens}))
		}
		b.perform(b.core.Apply(b.now, agent.Tick{}))
		for _, f := range b.flows {
			for !f.next.After(b.now) && b.now.Before(end) {
				b.arrive(f)
				f.next = b.gap(f, f.next)
			}
		}
		if b.now.After(end.Add(2 * time.Minute)) {
			return
		}
	}
}

func (b *bench) arrive(f *flow) {
	f.calls++
	key := uint64(len(b.calls)) + uint64(f.calls)<<32 + uint64(slices.Index(b.flows, f))<<16
	c := &benchCall{
		flow: f,
		request: engsim.Request{
			ID: int(key), Model: "m", ArrivedAt: f.next,
			PromptTokens: 100 + b.random.IntN(400), OutputTokens: 20 + int(b.random.ExpFloat64()*80),
		},
	}
	b.calls[key] = c
	b.waiting = max(b.waiting, len(b.calls))
	if b.direct {
		b.engine.Submit(c.request)
		return
	}
	customer, batch := f.customer, f.batch
	if b.oneQueue {
		customer, batch = "all", false
	}
	b.perform(b.core.Apply(b.now, agent.Arrived{Call: agent.Call{
		Key: key,
		Request: &wirepb.CallRequest{
			AgentIncarnation: 1, Idempotent: true, Customer: customer, Batch: batch, Weight: 1,
			PromptTokens: uint32(c.request.PromptTokens), MaxTokens: uint32(max(c.request.OutputTokens, 256)),
			TimeoutMs: uint32(b.timeout.Milliseconds()),
		},
	}}))
}

func (b *bench) perform(effects []agent.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Start:
			b.engine.Submit(b.calls[e.Key].request)
		case agent.Refuse:
			b.calls[e.Key].flow.refused++
			delete(b.calls, e.Key)
		}
	}
}

// capacity returns how many calls a second the engine ends when it is full.
func capacity() float64 {
	f := &flow{customer: "a", rate: 100}
	b := newBench(1, time.Hour, f)
	b.direct = true
	for b.now.Before(epoch.Add(time.Minute)) {
		b.run(0)
		b.arriveUntil(epoch.Add(time.Minute))
	}
	return float64(len(f.ends)) / 60
}

// arriveUntil keeps the engine full up to a time.
func (b *bench) arriveUntil(end time.Time) {
	f := b.flows[0]
	for b.now.Before(end) {
		b.now = b.now.Add(benchStep)
		for len(b.calls) < 2*benchSlots {
			f.next = b.now
			b.arrive(f)
		}
		for _, r := range b.engine.Run(b.now) {
			delete(b.calls, uint64(r.ID))
			f.ends = append(f.ends, r.LastTokenAt.Sub(r.ArrivedAt))
		}
	}
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(float64(len(all)-1)*q)]
}

// floodShares are the customers' demands in parts of the capacity. The first
// customer floods.
var floodShares = []float64{0.4, 0.2, 0.1, 0.06, 0.04}

// flood returns the small customers' p95 of the time to the first token, the
// part of the worst one's calls that got it within 1.2 s, and the calls that
// ended, the large customer's too, for each second.
func flood(full float64, oneQueue bool, factor float64) (p95 []time.Duration, attained, ended float64) {
	firsts := make([][]time.Duration, len(floodShares))
	calls := make([]int, len(floodShares))
	for seed := range uint64(5) {
		var flows []*flow
		for i, part := range floodShares {
			flows = append(flows, &flow{customer: fmt.Sprint("customer-", i), rate: part * full})
		}
		flows[0].rate *= factor
		s := newBench(seed, 30*time.Second, flows...)
		s.oneQueue = oneQueue
		s.run(2 * time.Minute)
		for i, f := range flows {
			firsts[i] = append(firsts[i], f.firsts...)
			calls[i] += f.calls
			ended += float64(len(f.ends)) / (5 * s.now.Sub(epoch).Seconds())
		}
	}
	attained = 1
	for i := 1; i < len(floodShares); i++ {
		p95 = append(p95, quantile(firsts[i], 0.95))
		good := 0
		for _, first := range firsts[i] {
			if first <= 1200*time.Millisecond {
				good++
			}
		}
		attained = min(attained, float64(good)/float64(calls[i]))
	}
	return p95, attained, ended
}

// BenchmarkFlood measures the small customers while a large one sends five
// times its rate. The calm load is 80 % of the capacity.
func BenchmarkFlood(b *testing.B) {
	full := capacity()
	for _, policy := range []string{"fair", "firstInFirstOut"} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				calm, _, _ := flood(full, policy != "fair", 1)
				flooded, attained, ended := flood(full, policy != "fair", 5)
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

// BenchmarkOverload measures the calls that end in time at ten times the
// capacity for a minute. Callers wait ten seconds.
func BenchmarkOverload(b *testing.B) {
	const patience = 10 * time.Second
	full := capacity()
	for _, policy := range []string{"shedding", "noShedding"} {
		for _, load := range []float64{0.8, 0.9, 1, 1.2, 10} {
			b.Run(fmt.Sprintf("%s/load=%v", policy, load), func(b *testing.B) {
				for range b.N {
					f := &flow{customer: "a", rate: load * full}
					s := newBench(1, patience, f)
					s.direct = policy != "shedding"
					s.run(time.Minute)
					good := 0
					for _, end := range f.ends {
						if end <= patience {
							good++
						}
					}
					b.ReportMetric(float64(good)/60, "good/s")
					b.ReportMetric(float64(s.waiting), "most-held")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
