package stock

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"dogwoodfold/internal/topo"
)

// engineState is the state that an engine reports at a point in time.
type engineState struct {
	at       time.Time
	busy     bool
	accepted int64
	holdings []topo.Holding
	incoming []string
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
	pendingRemovals []adapterChange
	// maxTransit is how long adapters are on their way to the engine at most, and
	// arrivals those that are. They take places and memory until they arrive, also if
	// their model is unloaded meanwhile.
	maxTransit time.Duration
	arrivals   []adapterChange
}

type adapterChange struct {
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
	e.arrivals = slices.DeleteFunc(e.arrivals, func(a adapterChange) bool {
		if now.Before(a.at) {
			return false
		}
		if adapters, held := e.models[a.target.Model]; held {
			adapters[a.target.Adapter] = true
		}
		return true
	})
	e.pendingRemovals = slices.DeleteFunc(e.pendingRemovals, func(r adapterChange) bool {
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
	for _, a := range e.arrivals {
		s.incoming = append(s.incoming, a.target.Model+"/"+a.target.Adapter)
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

// adapterCount returns how many places for adapters are taken.
func (e *simEngine) adapterCount() int {
	n := len(e.arrivals)
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// memoryUse returns the memory that models and adapters take, in MB.
func (e *simEngine) memoryUse() float64 {
	use := 0.0
	for model, adapters := range e.models {
		use += e.spec.Models[model].SizeMB + float64(len(adapters))*e.spec.Models[model].AdapterSizeMB
	}
	for _, a := range e.arrivals {
		use += e.spec.Models[a.target.Model].AdapterSizeMB
	}
	return use
}

// hasIncoming reports whether an adapter is on its way.
func (e *simEngine) hasIncoming(a Artifact) bool {
	return slices.ContainsFunc(e.arrivals, func(c adapterChange) bool { return c.target == a })
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
	if e.memoryUse()+e.spec.Models[o.Model].SizeMB > e.spec.WeightMemoryMB {
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
	if (adapters[o.Adapter] || e.hasIncoming(o.Artifact)) == o.Load {
		return AlreadyApplied
	}
	e.accepted++
	if e.hasIncoming(o.Artifact) {
		// It is unloaded once it has arrived.
		e.pendingRemovals = append(e.pendingRemovals, adapterChange{at: now.Add(e.maxTransit), target: o.Artifact})
		return Accepted
	}
	if !o.Load && rapid.Bool().Draw(e.t, "in use") {
		e.pendingRemovals = append(e.pendingRemovals, adapterChange{at: now.Add(800 * time.Millisecond), target: o.Artifact})
		return Accepted
	}
	if !o.Load {
		delete(adapters, o.Adapter)
		return AlreadyApplied
	}
	if e.adapterCount() >= e.spec.AdapterSlots {
		e.t.Fatalf("%s was ordered to load adapter %v in addition to %d", e.id, o.Artifact, e.adapterCount())
	}
	if e.memoryUse()+e.spec.Models[o.Model].AdapterSizeMB > e.spec.WeightMemoryMB {
		e.t.Fatalf("%s was ordered to load adapter %v in addition to %v MB", e.id, o.Artifact, e.memoryUse())
	}
	if e.maxTransit == 0 {
		adapters[o.Adapter] = true
		return Accepted
	}
	transit := time.Duration(rapid.Int64Range(0, int64(e.maxTransit)).Draw(e.t, "transit"))
	e.arrivals = append(e.arrivals, adapterChange{at: now.Add(transit), target: o.Artifact})
	return Accepted
}
