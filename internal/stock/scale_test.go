package stock

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodfold/internal/topo"
)

// largeFleet returns a planner for a fleet with the given numbers of engines and models,
// each engine with room for three models. The engines are empty or full, and requests
// have arrived for some of the models.
func largeFleet(engines, models int, full bool) (*Planner, []string) {
	spec := &topo.EngineSpec{
		Slots:          16,
		WeightMemoryMB: 200,
		AdapterSlots:   8,
		LoadsPerSecond: float64(engines) / 7,
		Models:         make(map[string]*topo.Model, models),
	}
	var names []string
	for i := range models {
		name := fmt.Sprintf("m%04d", i)
		names = append(names, name)
		spec.Models[name] = &topo.Model{
			Name:           name,
			SizeMB:         60,
			StoreLoadTime:  9 * time.Second,
			DiskLoadTime:   2400 * time.Millisecond,
			MemoryLoadTime: 1200 * time.Millisecond,
			AdapterSizeMB:  0.1,
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
	for i := range engines {
		record := &topo.Endpoint{ID: fmt.Sprintf("e%04d", i), Service: "llm", Incarnation: 1}
		for n := range 3 {
			if full {
				record.Holdings = append(record.Holdings, topo.Holding{Model: names[(3*i+n)%models]})
			}
		}
		for range 6 {
			record.OnDisk = append(record.OnDisk, names[random.IntN(models)])
		}
		p.SetEndpoint(startTime, record, spec)
		p.HandleReport(startTime, startTime, record.ID, Report{Holdings: record.Holdings})
	}
	return p, names
}

// Pattern: a large fleet in which a new software version has few engines, where a load
// costs more than at the others. A stream that began at that version waits for its model
// there, so the other engines must not use up the engines that are tried.
func TestLoadAtVersionWithFewEngines(t *testing.T) {
	p, names := largeFleet(4*maxEvaluations, 100, false)
	last := p.service("llm").engines[4*maxEvaluations-1]
	last.softwareVersion = "v2"
	last.runningRequests = 15
	last.inMemory = nil
	last.onDisk = nil
	wanted := Artifact{Model: names[0]}
	p.RecordMiss(startTime, "llm", Miss{
		Artifact:        wanted,
		SoftwareVersion: "v2",
	})
	wantLoadAt(t, p.Plan(startTime), last.id, wanted)
}

// shiftDemand moves the demand to some models and records misses for others.
func shiftDemand(p *Planner, now time.Time, names []string) {
	for i, name := range names {
		if i%13 == 0 {
			p.RecordDemand(now, "llm", Artifact{Model: name}, 1, 400*time.Millisecond)
		}
		if i%11 == 0 {
			p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: name}})
		}
	}
}

var planSizes = []struct{ engines, models int }{{28, 71}, {28, 266}, {160, 266}, {160, 1000}, {500, 1000}}

// Pattern: demand moves while all engines are full and there are more models than
// places. A plan must consider a number of loads that grows with models and engines, not
// with their product.
func TestPlanConsidersFewLoads(t *testing.T) {
	for _, size := range planSizes {
		for _, full := range []bool{false, true} {
			p, names := largeFleet(size.engines, size.models, full)
			now := startTime.Add(10 * time.Second)
			shiftDemand(p, now, names)
			p.Plan(now)
			cachedCopies := 6 * size.engines
			if limit := maxEvaluations*size.models + cachedCopies; p.evaluations > limit {
				t.Errorf("%d engines, %d models, full %t: %d loads considered, want %d at most",
					size.engines, size.models, full, p.evaluations, limit)
			}
		}
	}
}

// The ranking must find the load that costs least, as a look at all engines does.
func TestRankingFindsCheapestLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, maxEvaluations-1).Draw(rt, "engines")
		models := rapid.IntRange(4, 40).Draw(rt, "models")
		p, names := largeFleet(engines, models, rapid.Bool().Draw(rt, "full"))
		now := startTime.Add(10 * time.Second)
		for _, name := range names {
			work := time.Duration(rapid.IntRange(0, 800).Draw(rt, "work")) * time.Millisecond
			p.RecordDemand(startTime.Add(time.Second), "llm", Artifact{Model: name}, 1, work)
		}
		for id := range p.engines {
			p.SetRunning(id, rapid.IntRange(0, 16).Draw(rt, "running"))
			p.SetLimited(id, rapid.Bool().Draw(rt, "limited"))
		}
		s := p.service("llm")
		s.countCopies()
		entry := shortage{
			model:      rapid.SampledFrom(names).Draw(rt, "model"),
			demandRate: rapid.Float64Range(0, 4).Draw(rt, "demand"),
			missed:     rapid.Bool().Draw(rt, "missed"),
		}
		entry.copies = s.copiesOf(entry.model).total
		got := p.bestLoad(now, s, p.rank(now, s), entry)
		var want *loadOption
		for _, e := range s.engines {
			if o := p.evaluateLoad(now, s, e, entry); o != nil && (want == nil || o.cost < want.cost) {
				want = o
			}
		}
		if (got == nil) != (want == nil) || got != nil && got.cost != want.cost {
			rt.Fatalf("found %+v, want %+v", got, want)
		}
	})
}

// BenchmarkPlan measures a plan for engines that have room, and one for full ones of
// which all orders are refused.
func BenchmarkPlan(b *testing.B) {
	for _, size := range planSizes {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/models=%d/full=%t", size.engines, size.models, full), func(b *testing.B) {
				p, names := largeFleet(size.engines, size.models, full)
				now := startTime.Add(10 * time.Second)
				for b.Loop() {
					shiftDemand(p, now, names)
					for _, o := range p.Plan(now).Orders {
						p.HandleOutcome(now, o, Refused)
					}
					for _, e := range p.engines {
						e.synced = true
					}
					now = now.Add(10 * time.Millisecond)
				}
			})
		}
	}
}

// Pattern: demand moves, and one plan makes room at many engines for loads from the weight
// store. Each of these loads must count, also when the first of them begins.
func TestLoadsReservedInOnePlanAllCount(t *testing.T) {
	const engines = 40
	p, names := largeFleet(engines, 2*3*engines, true)
	s := p.service("llm")
	now := startTime.Add(10 * time.Second)
	for _, name := range names[3*engines:] {
		p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: name}})
	}
	unloads := p.Plan(now).Orders
	reserved := len(s.storeLoads)
	if reserved < 10 {
		t.Fatalf("%d loads are counted in advance for %d orders, want 10 or more", reserved, len(unloads))
	}
	first := slices.IndexFunc(s.engines, func(e *engine) bool { return !e.reservedAt.IsZero() })
	s.reserveStoreLoad(now.Add(100*time.Millisecond), s.engines[first])
	if len(s.storeLoads) != reserved {
		t.Errorf("%d loads count after one of %d has begun, want all", len(s.storeLoads), reserved)
	}
}
