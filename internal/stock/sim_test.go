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

// engineState is the state that an engine reports at a point in time.
type engineState struct {
	at       time.Time
	busy     bool
	accepted int64
	holdings []topo.Holding
}

// simEngine simulates a model engine. It checks the expected number of accepted
// orders. A real engine crashes if it is ordered to hold more than it can; this one
// fails the test.
type simEngine struct {
	t         *rapid.T
	id        string
	spec      *topo.EngineSpec
	accepted  int64
	models    map[string]map[string]bool
	loading   string
	unloading string
	busyUntil time.Time
	history   []engineState
	// pendingRemovals are unloaded adapters that requests still use.
	pendingRemovals []pendingRemoval
}

type pendingRemoval struct {
	at     time.Time
	target Artifact
}

func (e *simEngine) step(now time.Time) {
	if !now.Before(e.busyUntil) {
		if e.loading != "" {
			e.models[e.loading] = map[string]bool{}
		}
		if e.unloading != "" {
			delete(e.models, e.unloading)
		}
		e.loading, e.unloading = "", ""
	}
	e.pendingRemovals = slices.DeleteFunc(e.pendingRemovals, func(r pendingRemoval) bool {
		if now.Before(r.at) {
			return false
		}
		delete(e.models[r.target.Model], r.target.Adapter)
		return true
	})
	s := engineState{at: now, busy: now.Before(e.busyUntil), accepted: e.accepted}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		s.holdings = append(s.holdings, topo.Holding{Model: m, Adapters: slices.Sorted(maps.Keys(e.models[m]))})
	}
	e.history = append(e.history, s)
}

// stateAt returns the last state of the engine that is not newer than t.
func (e *simEngine) stateAt(t time.Time) engineState {
	latest := e.history[0]
	for _, s := range e.history {
		if !s.at.After(t) {
			latest = s
		}
	}
	return latest
}

func (e *simEngine) adapterCount() int {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// handleOrder executes an order or rejects it.
func (e *simEngine) handleOrder(now time.Time, o Order) Outcome {
	if now.Before(e.busyUntil) || o.ExpectedAccepted != e.accepted {
		return Conflict
	}
	if o.Adapter != "" {
		return e.handleAdapterOrder(now, o)
	}
	_, held := e.models[o.Model]
	if held == o.Load {
		return AlreadyApplied
	}
	e.accepted++
	if !o.Load {
		e.unloading = o.Model
		e.busyUntil = now.Add(100 * time.Millisecond)
		return Accepted
	}
	if (len(e.models)+1)*60 > 200 {
		e.t.Fatalf("%s was ordered to load %s in addition to %v", e.id, o.Model, slices.Sorted(maps.Keys(e.models)))
	}
	e.loading = o.Model
	source := rapid.SampledFrom([]int{200, 400, 900}).Draw(e.t, "load time")
	e.busyUntil = now.Add(time.Duration(source) * time.Millisecond)
	return Accepted
}

func (e *simEngine) handleAdapterOrder(now time.Time, o Order) Outcome {
	adapters, held := e.models[o.Model]
	if !held {
		return Refused
	}
	if adapters[o.Adapter] == o.Load {
		return AlreadyApplied
	}
	e.accepted++
	if !o.Load && rapid.Bool().Draw(e.t, "in use") {
		e.pendingRemovals = append(e.pendingRemovals, pendingRemoval{at: now.Add(800 * time.Millisecond), target: o.Artifact})
		return Accepted
	}
	if !o.Load {
		delete(adapters, o.Adapter)
		return AlreadyApplied
	}
	if e.adapterCount() >= e.spec.AdapterSlots {
		e.t.Fatalf("%s was ordered to load adapter %v in addition to %d", e.id, o.Artifact, e.adapterCount())
	}
	adapters[o.Adapter] = true
	return Accepted
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
		w.planner.HandleReport(w.now, sentAt, id, Report{Busy: s.busy, AcceptedOrders: s.accepted, Holdings: s.holdings})
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
func TestEnginesAreNeverOvercommitted(t *testing.T) { checkNeverOvercommitted(t, false) }

// TestStalledPlannerNeverOvercommits checks the same while the planner's process stalls
// for up to 5 s at any point between a plan, the sending of its orders and their answers.
func TestStalledPlannerNeverOvercommits(t *testing.T) { checkNeverOvercommitted(t, true) }

func checkNeverOvercommitted(t *testing.T, stalls bool) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &simWorld{t: rt, now: startTime, engines: map[string]*simEngine{}, stalls: stalls}
		for _, id := range []string{"e1", "e2"} {
			w.engines[id] = &simEngine{
				t: rt, id: id, spec: testSpec(), models: map[string]map[string]bool{"a": {}, "b": {}},
			}
			w.engines[id].step(w.now)
		}
		w.planner = NewPlanner(w.now, DefaultSettings(5*time.Second), true)
		for i := range 1000 {
			if i%30 == 0 {
				w.updateRegistry(time.Duration(rapid.IntRange(800, 2600).Draw(rt, "lag")) * time.Millisecond)
			}
			if i%5 == 0 {
				a := Artifact{Model: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "model")}
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
