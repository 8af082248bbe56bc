package stock

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
	"dogwoodfold/internal/topo"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// testSpec returns an engine with room for three of five models and three adapters.
func testSpec() *topo.EngineSpec {
	spec := &topo.EngineSpec{
		Slots: 8, WeightMemoryMB: 200, AdapterSlots: 3, LoadsPerSecond: 4, Models: map[string]*topo.Model{},
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		spec.Models[name] = &topo.Model{
			Name: name, SizeMB: 60, StoreLoadTime: 900 * time.Millisecond, DiskLoadTime: 400 * time.Millisecond,
			MemoryLoadTime: 200 * time.Millisecond, AdapterSizeMB: 1,
		}
	}
	return spec
}

// scheduledCall is a call to make at a point in time.
type scheduledCall struct {
	at  time.Time
	run func()
	// toPlanner calls wait while the planner's process is stalled.
	toPlanner bool
}

// simWorld simulates a planner and engines that respond late or not at all, or that
// execute orders long after they were sent.
type simWorld struct {
	t       *rapid.T
	now     time.Time
	planner *Planner
	engines map[string]*simEngine
	queue   []scheduledCall
	// term numbers the planners; responses to an earlier planner are dropped.
	term int
	// stalls is true if the planner's process may be slow at any point: it then plans
	// and hears of responses late, in another order, and drops orders unsent.
	stalls       bool
	stalledUntil time.Time
}

const simStep = 20 * time.Millisecond

func (w *simWorld) schedule(d time.Duration, run func()) {
	w.queue = append(w.queue, scheduledCall{at: w.now.Add(d), run: run})
}

// tellPlanner calls a method of the planner after a delay, or later if its process is
// slow.
func (w *simWorld) tellPlanner(d time.Duration, run func()) {
	if w.stalls && rapid.IntRange(0, 4).Draw(w.t, "slow response") == 0 {
		d += time.Duration(rapid.IntRange(100, 5000).Draw(w.t, "response delay")) * time.Millisecond
	}
	term := w.term
	w.queue = append(w.queue, scheduledCall{
		at: w.now.Add(d),
		run: func() {
			if term != w.term {
				return
			}
			run()
			if w.stalls {
				w.plan() // a process that has stalled plans after each event that it catches up on
			}
		},
		toPlanner: true,
	})
}

func (w *simWorld) step() {
	if w.stalls && rapid.IntRange(0, 149).Draw(w.t, "stall") == 0 {
		w.stalledUntil = w.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(w.t, "stall time")) * time.Millisecond)
	}
	w.now = w.now.Add(simStep)
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		w.engines[id].step(w.now)
	}
	queue := w.queue
	w.queue = nil
	for _, call := range queue {
		if w.now.Before(call.at) || call.toPlanner && w.now.Before(w.stalledUntil) {
			w.queue = append(w.queue, call)
			continue
		}
		call.run()
	}
	if !w.now.Before(w.stalledUntil) {
		w.plan()
	}
}

func (w *simWorld) plan() {
	plan := w.planner.Plan(w.now)
	for _, o := range plan.Orders {
		w.send(o)
	}
	for _, id := range plan.ReportRequests {
		w.report(id)
	}
}

func (w *simWorld) send(o Order) {
	e := w.engines[o.Engine]
	answer := func(d time.Duration, outcome Outcome) {
		w.tellPlanner(d, func() { w.planner.HandleOutcome(w.now, o, outcome) })
	}
	deliveries := 9
	if w.stalls {
		deliveries = 11
	}
	switch rapid.IntRange(0, deliveries).Draw(w.t, "delivery") {
	case 0: // no response, executed late
		w.schedule(time.Duration(rapid.IntRange(2000, 12000).Draw(w.t, "delay"))*time.Millisecond, func() { e.handleOrder(w.now, o) })
		answer(300*time.Millisecond, Unanswered)
	case 1: // executed, but the response is lost
		w.schedule(simStep, func() { e.handleOrder(w.now, o) })
		answer(300*time.Millisecond, Unanswered)
	case 10, 11: // dropped unsent, since the lease has ended
		answer(simStep, Refused)
	default:
		w.schedule(simStep, func() { answer(0, e.handleOrder(w.now, o)) })
	}
}

func (w *simWorld) report(id string) {
	s := w.engines[id].stateAt(w.now.Add(-200 * time.Millisecond))
	sentAt := w.now
	w.tellPlanner(simStep, func() {
		w.planner.HandleReport(w.now, sentAt, id, Report{
			Busy: s.busy, AcceptedOrders: s.accepted, Holdings: s.holdings, IncomingAdapters: s.incoming,
		})
	})
}

// updateRegistry passes the registry's records, which lag, to the planner.
func (w *simWorld) updateRegistry(lag time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		s := w.engines[id].stateAt(w.now.Add(-lag))
		w.planner.SetEndpoint(w.now, &topo.Endpoint{ID: id, Service: "llm", Incarnation: 1, Holdings: s.holdings}, w.engines[id].spec)
	}
}

// TestEnginesAreNeverOvercommitted checks that no engine is ordered to hold more than
// it can while demand shifts, planners replace each other, and orders are lost or
// executed up to 12 s late.
func TestEnginesAreNeverOvercommitted(t *testing.T) {
	checkNeverOvercommitted(t, simDay{spec: testSpec()})
}

// TestStalledPlannerNeverOvercommits checks the same while the planner's process stalls
// for up to 5 s at any point between a plan, the sending of its orders and their answers.
func TestStalledPlannerNeverOvercommits(t *testing.T) {
	checkNeverOvercommitted(t, simDay{spec: testSpec(), stalls: true})
}

// TestAdaptersInTransitNeverOvercommit checks the same while adapters are on their way for up
// to 6 s, also to models that are unloaded meanwhile because others are requested. Adapters
// and models share memory that is scarce.
func TestAdaptersInTransitNeverOvercommit(t *testing.T) {
	spec := testSpec()
	for _, m := range spec.Models {
		m.AdapterSizeMB = 8
	}
	for _, stalls := range []bool{false, true} {
		checkNeverOvercommitted(t, simDay{spec: spec, maxTransit: 6 * time.Second, shiftSteps: 100, stalls: stalls})
	}
}

// simDay says what happens to the engines and the planner of a simulation.
type simDay struct {
	spec       *topo.EngineSpec
	maxTransit time.Duration
	// shiftSteps is after how many steps other models are requested than before. If it is
	// 0, all models are requested all the time.
	shiftSteps int
	// stalls is true if the planner's process stalls.
	stalls bool
}

// requestedModels returns the models that are requested until the next shift.
func (d *simDay) requestedModels(t *rapid.T) []string {
	models := []string{"a", "b", "c", "d", "e"}
	if d.shiftSteps == 0 {
		return models
	}
	first := rapid.IntRange(0, len(models)-2).Draw(t, "first model")
	return models[first : first+2]
}

func checkNeverOvercommitted(t *testing.T, day simDay) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &simWorld{t: rt, now: startTime, engines: map[string]*simEngine{}, stalls: day.stalls}
		for _, id := range []string{"e1", "e2"} {
			w.engines[id] = &simEngine{
				t: rt, id: id, spec: day.spec, models: map[string]map[string]bool{"a": {}, "b": {}},
				maxTransit: day.maxTransit,
			}
			w.engines[id].step(w.now)
		}
		w.planner = NewPlanner(w.now, DefaultSettings(5*time.Second), true)
		models := day.requestedModels(rt)
		for i := range 1000 {
			if day.shiftSteps > 0 && i%day.shiftSteps == 0 {
				models = day.requestedModels(rt)
			}
			if i%30 == 0 {
				w.updateRegistry(time.Duration(rapid.IntRange(800, 2600).Draw(rt, "lag")) * time.Millisecond)
			}
			if i%5 == 0 {
				a := Artifact{Model: rapid.SampledFrom(models).Draw(rt, "model")}
				if rapid.Bool().Draw(rt, "adapter") {
					a.Adapter = rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(rt, "adapter name")
				}
				w.planner.RecordMiss(w.now, "llm", Miss{Artifact: a})
				w.planner.RecordDemand(w.now, "llm", a, 1, 100*time.Millisecond)
			}
			if rapid.IntRange(0, 299).Draw(rt, "new planner") == 0 {
				w.term++
				w.planner = NewPlanner(w.now, DefaultSettings(5*time.Second), false)
				for range 25 { // the least time until another planner takes over
					w.step()
				}
				w.updateRegistry(800 * time.Millisecond)
			}
			w.step()
		}
	})
}
