package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/engsim"
)

// deployment is one of the users' fleets.
type deployment struct {
	name      string
	zones     []string
	workers   int
	models    int
	customers int
	loads     float64
	slots     int
}

var deployments = []deployment{
	{name: "taquilla", zones: []string{"a", "b", "c"}, workers: 12, models: 20, customers: 5, loads: 1.5, slots: 16},
	{name: "ngoma", zones: []string{"a", "b", "c"}, workers: 9, models: 13, customers: 5, loads: 1, slots: 8},
}

const (
	simTime     = 20 * time.Minute
	simWarmUp   = 2 * time.Minute
	simTick     = 100 * time.Millisecond
	simRound    = 500 * time.Millisecond
	simLoad     = 4 * time.Second // one load at full speed
	simSilence  = time.Second     // until a dead agent counts as lost
	simPerSlot  = 3               // models that fit into an engine's memory
	simPrompt   = 600
	simOutput   = 120
	firstLimit  = 1200 * time.Millisecond
	betweenMost = 49 * time.Millisecond
	// simCapacity is what an engine serves at the latency limits, in tokens a
	// second: one model, half of its slots busy.
	simCapacity = 5000
)

// burst is a time in which one model is asked for more.
type burst struct {
	model      int
	from, to   time.Duration
	multiplier float64
}

// simulation is one run of a fleet under one way of placing models.
type simulation struct {
	deployment
	random  *rand.Rand
	base    []float64
	bursts  []burst
	engines []*engsim.Engine
	workers []Worker
	ready   map[seat]time.Time
	models  map[string]Model
	// dead is the worker that dies at deadAt, outage how long each model had no
	// copy since.
	dead    int
	deadAt  time.Duration
	outage  map[string]time.Duration
	offered int
	moves   int
}

func modelName(i int) string { return fmt.Sprintf("m%03d", i) }

// newSimulation draws the demand: Zipf over models, and bursts of one to four
// minutes of up to tenfold that come without warning.
func newSimulation(d deployment, seed uint64) *simulation {
	s := &simulation{
		deployment: d,
		random:     rand.New(rand.NewPCG(seed, 1)),
		ready:      make(map[seat]time.Time),
		models:     make(map[string]Model),
		dead:       -1,
		outage:     make(map[string]time.Duration),
	}
	order := s.random.Perm(d.models)
	total := 0.0
	s.base = make([]float64, d.models)
	for rank, i := range order {
		s.base[i] = 1 / float64(rank+1)
		total += s.base[i]
	}
	for i := range s.base {
		s.base[i] /= total
		s.models[modelName(i)] = Model{Version: "1", Bytes: 1}
	}
	for at := time.Duration(0); at < simTime; at += time.Duration(20+s.random.IntN(50)) * time.Second {
		s.bursts = append(s.bursts, burst{
			model: s.random.IntN(d.models), from: at, to: at + time.Duration(60+s.random.IntN(180))*time.Second,
			multiplier: 3 + 7*s.random.Float64(),
		})
	}
	for i := range d.workers {
		s.engines = append(s.engines, engsim.New(engsim.Default()))
		s.workers = append(s.workers, Worker{
			Host: fmt.Sprintf("w%02d", i), Zone: d.zones[i%len(d.zones)], Free: simPerSlot, TokensPerSecond: simCapacity,
		})
	}
	return s
}

// shares returns each model's part of the demand at a time. Their sum is 1, so
// that bursts move demand between models and never exceed the fleet alone.
func (s *simulation) shares(at time.Duration) []float64 {
	shares := make([]float64, len(s.base))
	total := 0.0
	for i := range shares {
		shares[i] = s.wanted(i, at)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// wanted returns what a model is asked for at a time, in relation to others.
func (s *simulation) wanted(i int, at time.Duration) float64 {
	share := s.base[i]
	for _, b := range s.bursts {
		if b.model == i && at >= b.from && at < b.to {
			share = max(share, 0.02) * b.multiplier
		}
	}
	return share
}

// average returns the models' demand averaged over the whole run, which only
// the static placement is told.
func (s *simulation) average() []float64 {
	mean := make([]float64, len(s.base))
	for at := time.Duration(0); at < simTime; at += time.Second {
		for i, share := range s.shares(at) {
			mean[i] += share / simTime.Seconds()
		}
	}
	return mean
}

// apply carries moves out; weights take simLoad, more in proportion when the
// store's slots are exceeded.
func (s *simulation) apply(now time.Time, moves []Move, took time.Duration) {
	for _, m := range moves {
		i := slices.IndexFunc(s.workers, func(w Worker) bool { return w.Host == m.Host })
		w := &s.workers[i]
		if !m.Load {
			w.Held = slices.DeleteFunc(w.Held, func(h Held) bool { return h.Copy == m.Copy })
			w.Free += 1
			continue
		}
		if w.Free < m.Bytes {
			panic("memory")
		}
		w.Free -= m.Bytes
		w.Held = append(w.Held, Held{Copy: m.Copy, Bytes: m.Bytes, Ready: took == 0, Staying: took == 0})
		s.ready[seat{m.Host, m.Copy}] = now.Add(took)
		if took > 0 {
			s.moves++
		}
	}
}

// settle makes loaded copies ready.
func (s *simulation) settle(now time.Time) {
	for i := range s.workers {
		w := &s.workers[i]
		for j := range w.Held {
			if h := &w.Held[j]; !h.Ready && !now.Before(s.ready[seat{w.Host, h.Copy}]) {
				h.Ready, h.Staying = true, true
			}
		}
	}
}

// send gives a request to the holder with the fewest sequences.
func (s *simulation) send(r engsim.Request) {
	best := -1
	for i, w := range s.workers {
		h := w.holds(Copy{Model: r.Model, Version: "1"})
		if h == nil || !h.Ready || i == s.dead {
			continue
		}
		if best < 0 || s.load(i) < s.load(best) {
			best = i
		}
	}
	s.offered++
	if best >= 0 {
		s.engines[best].Submit(r)
	}
}

func (s *simulation) load(i int) int { return s.engines[i].Running() + s.engines[i].Waiting() }

// run offers load times the fleet's capacity and returns the attainment of all
// and of the worst-served customer.
func (s *simulation) run(p *Planner, load float64) (all, worst float64) {
	start := time.Unix(0, 0)
	total := make(map[string]int)
	good := make(map[string]int)
	perSecond := load * float64(s.deployment.workers) * simCapacity / (simPrompt + simOutput)
	demand := rand.New(rand.NewPCG(uint64(s.random.Uint32()), 2))
	id := 0
	for at := time.Duration(0); at < simTime; at += simTick {
		now := start.Add(at)
		s.settle(now)
		for i, share := range s.shares(at) {
			for range poisson(demand, perSecond*share*simTick.Seconds()) {
				r := engsim.Request{
					ID: id, Model: modelName(i), Customer: fmt.Sprint((i + id%2) % s.customers), ArrivedAt: now,
					PromptTokens: simPrompt/2 + demand.IntN(simPrompt), OutputTokens: simOutput/2 + demand.IntN(simOutput),
				}
				id++
				if p != nil {
					p.Offer(r.Model, "", float64(r.PromptTokens+r.OutputTokens))
				}
				if at >= simWarmUp {
					total[r.Customer]++
				}
				s.send(r)
			}
		}
		if p != nil && at%simRound == 0 {
			s.apply(now, p.Plan(now, s.seen(at), s.models), simLoad)
		}
		for _, e := range s.engines {
			for _, r := range e.Run(now.Add(simTick)) {
				served := r.TimeToFirstToken() <= firstLimit && r.InterTokenLatency() <= betweenMost
				if served && r.ArrivedAt.Sub(start) >= simWarmUp {
					good[r.Customer]++
				}
			}
		}
	}
	sum, ok, worst := 0, 0, 1.0
	for customer, n := range total {
		sum += n
		ok += good[customer]
		worst = min(worst, float64(good[customer])/float64(n))
	}
	return float64(ok) / float64(sum), worst
}

// seen returns the workers that a planner sees.
func (s *simulation) seen(at time.Duration) []Worker {
	if s.dead < 0 || at < s.deadAt+simSilence {
		return s.workers
	}
	return slices.Delete(slices.Clone(s.workers), s.dead, s.dead+1)
}

// kill ends a worker and lets the planner go on without requests; it returns
// the longest time without a copy of the models that had one and more copies.
func (s *simulation) kill(p *Planner, worker int) (one, more time.Duration) {
	start := time.Unix(0, 0)
	copies := make(map[string]int)
	for at := time.Duration(0); at < s.deadAt+time.Minute; at += simTick {
		s.settle(start.Add(at))
		if at == s.deadAt {
			for name := range s.models {
				copies[name] = s.copiesReady(name)
			}
			s.dead = worker
		}
		if at%simRound == 0 {
			s.apply(start.Add(at), p.Plan(start.Add(at), s.seen(at), s.models), simLoad)
		}
		for name := range s.models {
			if s.dead >= 0 && s.copiesReady(name) == 0 {
				s.outage[name] += simTick
			}
		}
	}
	for name, lost := range s.outage {
		if copies[name] > 1 {
			more = max(more, lost)
		} else {
			one = max(one, lost)
		}
	}
	return one, more
}

// copiesReady returns the number of ready copies on live workers.
func (s *simulation) copiesReady(name string) int {
	n := 0
	for i, w := range s.workers {
		if h := w.holds(Copy{Model: name, Version: "1"}); i != s.dead && h != nil && h.Ready {
			n++
		}
	}
	return n
}

// BenchmarkOutage kills each worker once, at times that fall anywhere between
// two rounds, and reports the longest time without any copy.
func BenchmarkOutage(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			for b.Loop() {
				var one, more time.Duration
				for worker := range d.workers {
					s := newSimulation(d, uint64(worker))
					s.placeStatic()
					s.deadAt = simWarmUp + time.Duration(worker)*simTick
					settings := DefaultSettings()
					settings.LoadsPerSecond, settings.Loads = d.loads, d.slots
					o, m := s.kill(NewPlanner(settings), worker)
					one, more = max(one, o), max(more, m)
				}
				b.ReportMetric(one.Seconds(), "s/oneCopy")
				b.ReportMetric(more.Seconds(), "s/moreCopies")
				b.ReportMetric(simLoad.Seconds(), "s/load")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// poisson draws a number of arrivals.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		n++
	}
	return n
}

// placeStatic places models by their known average demand, before the start:
// one copy each, then one more where a copy has the most to do.
func (s *simulation) placeStatic() {
	average := s.average()
	copies := make(map[string]int)
	for slot := 0; slot < s.deployment.workers*simPerSlot; slot++ {
		names := make([]int, s.deployment.models)
		for i := range names {
			names[i] = i
		}
		need := func(i int) float64 {
			n := copies[modelName(i)]
			if n == 0 {
				return 1e9 + average[i]
			}
			return average[i] / float64(n)
		}
		slices.SortFunc(names, func(a, b int) int { return cmp.Compare(need(b), need(a)) })
		for _, i := range names {
			if w := s.roomFor(modelName(i), average); w != nil {
				copies[modelName(i)]++
				s.apply(time.Unix(0, 0), []Move{{Host: w.Host, Load: true, Copy: Copy{Model: modelName(i), Version: "1"}, Bytes: 1}}, 0)
				break
			}
		}
	}
}

// roomFor returns the worker with room whose copies have the least to do.
func (s *simulation) roomFor(model string, average []float64) *Worker {
	used, _ := estimate(s.workers, s.models, func(name string) float64 {
		var i int
		_, _ = fmt.Sscanf(name, "m%d", &i)
		return average[i] * simCapacity
	})
	var best *Worker
	for i := range s.workers {
		w := &s.workers[i]
		if w.Free < 1 || w.holds(Copy{Model: model, Version: "1"}) != nil {
			continue
		}
		if best == nil || used[w.Host] < used[best.Host] {
			best = w
		}
	}
	return best
}

// planners are the ways of placing that are compared.
var planners = []struct {
	name string
	make func(d deployment) *Planner
}{
	{"static", func(deployment) *Planner { return nil }},
	{"eager", func(d deployment) *Planner {
		s := DefaultSettings()
		s.Slow, s.High, s.Gain, s.Residency = s.Fast, 0, 0.0005, 0
		s.LoadsPerSecond, s.Loads = d.loads, d.slots
		return NewPlanner(s)
	}},
	{"planner", func(d deployment) *Planner {
		s := DefaultSettings()
		s.LoadsPerSecond, s.Loads = d.loads, d.slots
		return NewPlanner(s)
	}},
}

// benchSeeds are the seeds of the demand; each is one run of simTime. The
// planner's settings were chosen with the seeds 1 to 6.
var benchSeeds = []uint64{11, 12, 13, 14, 15, 16}

func BenchmarkAttainment(b *testing.B) {
	for _, d := range deployments {
		for _, load := range []float64{0.5, 0.7, 0.8, 0.85, 0.95} {
			for _, way := range planners {
				b.Run(fmt.Sprintf("%s/load=%.2f/%s", d.name, load, way.name), func(b *testing.B) {
					for b.Loop() {
						var all, worst, moves float64
						for _, seed := range benchSeeds {
							s := newSimulation(d, seed)
							s.placeStatic()
							a, w := s.run(way.make(d), load)
							all += a / float64(len(benchSeeds))
							worst += w / float64(len(benchSeeds))
							moves += float64(s.moves) / simTime.Hours() / float64(len(benchSeeds))
						}
						b.ReportMetric(100*all, "%attained")
						b.ReportMetric(100*worst, "%worstCustomer")
						b.ReportMetric(moves, "moves/h")
						b.ReportMetric(0, "ns/op")
					}
				})
			}
		}
	}
}

// BenchmarkPlan measures one round at the size of a large region's service.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, models int }{{12, 20}, {590, 360}} {
		b.Run(fmt.Sprintf("workers=%d/models=%d", size.workers, size.models), func(b *testing.B) {
			s := newSimulation(deployment{zones: []string{"a", "b", "c"}, workers: size.workers, models: size.models, customers: 5}, 1)
			s.placeStatic()
			p := NewPlanner(DefaultSettings())
			now := time.Unix(0, 0)
			for b.Loop() {
				now = now.Add(time.Second)
				for i := range size.models {
					p.Offer(modelName(i), "", s.base[i]*float64(size.workers)*simCapacity*0.5)
				}
				p.Plan(now, s.workers, s.models)
			}
		})
	}
}
