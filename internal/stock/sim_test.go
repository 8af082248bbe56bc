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

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// simSpec has room for three of five models and for three adapters.
func simSpec() *topo.Engine {
	spec := &topo.Engine{
		Slots: 8, WeightSpace: 200, AdapterSlots: 3, LoadsPerSecond: 4, Models: map[string]*topo.Model{},
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		spec.Models[name] = &topo.Model{
			Name: name, Size: 60, LoadTime: 900 * time.Millisecond, DiskTime: 400 * time.Millisecond,
			WarmTime: 200 * time.Millisecond, AdapterSize: 1,
		}
	}
	return spec
}

// snapshot is what an engine said of itself at a point in time.
type snapshot struct {
	at       time.Time
	busy     bool
	accepted int64
	holdings []topo.Holding
}

// simEngine is a model engine: it checks the expected count of an order and
// crashes, here fails the test, if it is ordered to hold more than it can.
type simEngine struct {
	t         *rapid.T
	id        string
	spec      *topo.Engine
	accepted  int64
	models    map[string]map[string]bool
	loading   string
	unloading string
	busyUntil time.Time
	history   []snapshot
	// leaving are adapters that requests still use.
	leaving []leaving
}

type leaving struct {
	at time.Time
	c  Copy
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
	e.leaving = slices.DeleteFunc(e.leaving, func(l leaving) bool {
		if now.Before(l.at) {
			return false
		}
		delete(e.models[l.c.Model], l.c.Adapter)
		return true
	})
	s := snapshot{at: now, busy: now.Before(e.busyUntil), accepted: e.accepted}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		s.holdings = append(s.holdings, topo.Holding{Model: m, Adapters: slices.Sorted(maps.Keys(e.models[m]))})
	}
	e.history = append(e.history, s)
}

// asOf returns what the engine says with a lag.
func (e *simEngine) asOf(t time.Time) snapshot {
	best := e.history[0]
	for _, s := range e.history {
		if !s.at.After(t) {
			best = s
		}
	}
	return best
}

func (e *simEngine) adapters() int {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// order carries an order out or refuses it.
func (e *simEngine) order(now time.Time, o Order) Outcome {
	if now.Before(e.busyUntil) || o.Accepted != e.accepted {
		return Conflict
	}
	if o.Adapter != "" {
		return e.orderAdapter(now, o)
	}
	_, held := e.models[o.Model]
	if held == o.Load {
		return Held
	}
	e.accepted++
	if !o.Load {
		e.unloading = o.Model
		e.busyUntil = now.Add(100 * time.Millisecond)
		return Accepted
	}
	if (len(e.models)+1)*60 > 200 {
		e.t.Fatalf("%s was ordered to load %s beside %v", e.id, o.Model, slices.Sorted(maps.Keys(e.models)))
	}
	e.loading = o.Model
	e.busyUntil = now.Add(900 * time.Millisecond)
	return Accepted
}

func (e *simEngine) orderAdapter(now time.Time, o Order) Outcome {
	adapters, held := e.models[o.Model]
	if !held {
		return Refused
	}
	if adapters[o.Adapter] == o.Load {
		return Held
	}
	e.accepted++
	if !o.Load && rapid.Bool().Draw(e.t, "in use") {
		e.leaving = append(e.leaving, leaving{at: now.Add(800 * time.Millisecond), c: o.Copy})
		return Accepted
	}
	if !o.Load {
		delete(adapters, o.Adapter)
		return Held
	}
	if e.adapters() >= e.spec.AdapterSlots {
		e.t.Fatalf("%s was ordered to load adapter %v beside %d", e.id, o.Copy, e.adapters())
	}
	adapters[o.Adapter] = true
	return Accepted
}

// later is something that happens at a time.
type later struct {
	at time.Time
	do func()
}

// simWorld plays a planner against engines that answer late, not at all, or
// carry orders out long after.
type simWorld struct {
	t       *rapid.T
	now     time.Time
	planner *Planner
	engines map[string]*simEngine
	queue   []later
	// term ends what was sent for an earlier planner.
	term int
}

const simStep = 20 * time.Millisecond

func (w *simWorld) after(d time.Duration, do func()) {
	w.queue = append(w.queue, later{at: w.now.Add(d), do: do})
}

func (w *simWorld) step() {
	w.now = w.now.Add(simStep)
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		w.engines[id].step(w.now)
	}
	due := w.queue
	w.queue = nil
	for _, l := range due {
		if w.now.Before(l.at) {
			w.queue = append(w.queue, l)
			continue
		}
		l.do()
	}
	plan := w.planner.Plan(w.now)
	for _, o := range plan.Orders {
		w.send(o)
	}
	for _, id := range plan.Reports {
		w.report(id)
	}
}

func (w *simWorld) send(o Order) {
	e, term := w.engines[o.Engine], w.term
	answer := func(outcome Outcome) {
		if term == w.term {
			w.planner.Answered(w.now, o, outcome)
		}
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "fate") {
	case 0: // no answer; carried out late
		w.after(time.Duration(rapid.IntRange(2000, 12000).Draw(w.t, "late"))*time.Millisecond, func() { e.order(w.now, o) })
		w.after(300*time.Millisecond, func() { answer(Lost) })
	case 1: // carried out, the answer is lost
		w.after(simStep, func() { e.order(w.now, o) })
		w.after(300*time.Millisecond, func() { answer(Lost) })
	default:
		w.after(simStep, func() { answer(e.order(w.now, o)) })
	}
}

func (w *simWorld) report(id string) {
	term := w.term
	s := w.engines[id].asOf(w.now.Add(-200 * time.Millisecond))
	w.after(simStep, func() {
		if term == w.term {
			w.planner.Reported(w.now, id, Report{Busy: s.busy, Accepted: s.accepted, Holdings: s.holdings})
		}
	})
}

// beat tells the planner what the registry says, which lags.
func (w *simWorld) beat(lag time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		s := w.engines[id].asOf(w.now.Add(-lag))
		w.planner.SetEndpoint(w.now, &topo.Endpoint{ID: id, Service: "llm", Born: 1, Holdings: s.holdings}, w.engines[id].spec)
	}
}

// TestEnginesAreNeverOverfilled has a demand that moves and planners that follow
// each other, while orders are lost or act up to 12 s late.
func TestEnginesAreNeverOverfilled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &simWorld{t: rt, now: begin, engines: map[string]*simEngine{}}
		for _, id := range []string{"e1", "e2"} {
			w.engines[id] = &simEngine{
				t: rt, id: id, spec: simSpec(), models: map[string]map[string]bool{"a": {}, "b": {}},
			}
			w.engines[id].step(w.now)
		}
		w.planner = NewPlanner(w.now, DefaultSettings(5*time.Second), true)
		for i := range 1000 {
			if i%30 == 0 {
				w.beat(time.Duration(rapid.IntRange(800, 2600).Draw(rt, "lag")) * time.Millisecond)
			}
			if i%10 == 0 {
				c := Copy{Model: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "model")}
				if rapid.Bool().Draw(rt, "adapter") {
					c.Adapter = rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(rt, "name")
				}
				w.planner.Want(w.now, "llm", c)
				w.planner.Demand(w.now, "llm", c, 100*time.Millisecond)
			}
			if rapid.IntRange(0, 299).Draw(rt, "change") == 0 {
				w.term++
				w.planner = NewPlanner(w.now, DefaultSettings(5*time.Second), false)
				for range 25 { // the time that a successor takes at least
					w.step()
				}
				w.beat(800 * time.Millisecond)
			}
			w.step()
		}
	})
}
