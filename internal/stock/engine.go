// Package stock decides which model engine holds which weights and adapters. It
// keeps a ledger of what each engine holds, also while orders are under way or
// their answers are lost, and plans orders that follow the demand.
package stock

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// Copy is the weights of a model, or one adapter of it.
type Copy struct {
	Model string
	// Adapter is empty for the weights.
	Adapter string
}

// Order asks an engine to load or unload a copy.
type Order struct {
	Engine string
	Load   bool
	Copy
	// Accepted is how many orders the engine must have accepted before.
	Accepted int64
}

// Outcome says what an engine did with an order.
type Outcome int

// The outcomes of orders.
const (
	// Lost orders had no answer; they may act now or later.
	Lost Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// Held orders asked for what held already.
	Held
	// Conflict means that another order runs or the count differs.
	Conflict
	// Refused orders will not be carried out.
	Refused
)

// Report is an engine's account of itself.
type Report struct {
	Busy     bool
	Accepted int64
	Holdings []topo.Holding
}

const (
	// settleTime is how long the registry's accounts lag behind an engine's
	// orders, reportLag how long the engine's own do.
	settleTime = 4 * time.Second
	reportLag  = time.Second
	// reportPause is the time between two questions to an engine.
	reportPause = 300 * time.Millisecond
	// resendPause is the time after which an order without an answer is sent
	// again. It has the same expected count, so only one of the two can act.
	resendPause = 200 * time.Millisecond
	// conflictPause is the time after which an engine that runs another order is
	// asked; its accounts lag by some hundred milliseconds.
	conflictPause = 600 * time.Millisecond
)

// engine is the ledger of one engine.
type engine struct {
	id      string
	service string
	spec    *topo.Engine
	born    int64
	usable  bool
	running int

	// models holds the adapters of each held model, with the time of their last
	// use. Copies that may be there count as held for space.
	models map[string]map[string]time.Time
	near   map[string]bool
	onDisk map[string]bool

	// accepted is how many orders the engine has accepted, if known.
	accepted int64
	known    bool
	// pending is the order that was sent and is not finished.
	pending *pending
	// reservedAt is when a load for which the engine makes room was counted.
	reservedAt time.Time
	// changedAt is when an order last changed what the engine holds.
	changedAt  time.Time
	nextReport time.Time
	loadedAt   map[string]time.Time
}

// pending is an order under way.
type pending struct {
	order    Order
	sentAt   time.Time
	answered bool
	// due is when the order is expected to be complete.
	due time.Time
	// resendAt is when an unanswered order is sent again.
	resendAt time.Time
	// doubtful orders met another one: only a report tells which has acted.
	doubtful bool
}

func newEngine(id, service string, born int64) *engine {
	return &engine{
		id:       id,
		service:  service,
		born:     born,
		models:   make(map[string]map[string]time.Time),
		loadedAt: make(map[string]time.Time),
	}
}

// adopt takes an account of what the engine holds. It reports whether that
// differs from the ledger.
func (e *engine) adopt(held []topo.Holding) bool {
	if e.agrees(held) {
		return false
	}
	next := make(map[string]map[string]time.Time, len(held))
	for _, h := range held {
		adapters := make(map[string]time.Time, len(h.Adapters))
		for _, a := range h.Adapters {
			adapters[a] = e.models[h.Model][a]
		}
		next[h.Model] = adapters
	}
	e.models = next
	return true
}

// agrees reports whether an account names just what the ledger holds.
func (e *engine) agrees(held []topo.Holding) bool {
	if len(held) != len(e.models) {
		return false
	}
	for _, h := range held {
		adapters, ok := e.models[h.Model]
		if !ok || len(adapters) != len(h.Adapters) {
			return false
		}
		for _, a := range h.Adapters {
			if _, ok := adapters[a]; !ok {
				return false
			}
		}
	}
	return true
}

// holds reports whether the engine can run requests for a copy.
func (e *engine) holds(c Copy) bool {
	adapters, ok := e.models[c.Model]
	if !ok || e.changing(Copy{Model: c.Model}) {
		return false
	}
	if c.Adapter == "" {
		return true
	}
	_, ok = adapters[c.Adapter]
	return ok && !e.changing(c)
}

// changing reports whether an order for the copy is under way.
func (e *engine) changing(c Copy) bool {
	return e.pending != nil && e.pending.order.Copy == c
}

// loading reports whether the copy is on its way to the engine.
func (e *engine) loading(c Copy) bool {
	return e.changing(c) && e.pending.order.Load
}

// space returns how much of the engine's memory for weights is free.
func (e *engine) space() float64 {
	free := e.spec.WeightSpace
	for name, adapters := range e.models {
		free -= e.size(name, adapters)
	}
	return free
}

// size returns the memory of a model with its adapters. Models that are not
// listed any more count as the largest one.
func (e *engine) size(name string, adapters map[string]time.Time) float64 {
	m := e.spec.Models[name]
	if m == nil {
		largest := 0.0
		for _, other := range e.spec.Models {
			largest = max(largest, other.Size)
		}
		return largest
	}
	return m.Size + float64(len(adapters))*m.AdapterSize
}

// adapters returns how many places for adapters are taken.
func (e *engine) adapters() int {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// ready reports whether the engine can be given an order now.
func (e *engine) ready() bool { return e.usable && e.known && e.pending == nil }

// oldestAdapter returns the adapter that was not used for the longest time.
func (e *engine) oldestAdapter() (Copy, time.Time) {
	var oldest Copy
	var at time.Time
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		for _, name := range slices.Sorted(maps.Keys(e.models[model])) {
			used := e.models[model][name]
			if oldest.Model == "" || used.Before(at) {
				oldest = Copy{
					Model:   model,
					Adapter: name,
				}
				at = used
			}
		}
	}
	return oldest, at
}

// begin books an order. What it loads counts as held from now on, what it
// unloads until it is known to be gone.
func (e *engine) begin(now time.Time, o Order, took time.Duration) {
	e.pending = &pending{
		order:    o,
		sentAt:   now,
		due:      now.Add(took),
		resendAt: now.Add(resendPause),
	}
	if !o.Load {
		return
	}
	if o.Adapter == "" {
		if e.models[o.Model] == nil {
			e.models[o.Model] = make(map[string]time.Time)
		}
		return
	}
	e.models[o.Model][o.Adapter] = now
}

// finish ends the pending order. What an unload removed is free from now on.
func (e *engine) finish(now time.Time, done bool) {
	o := e.pending.order
	e.pending = nil
	e.changedAt = now
	switch {
	case o.Load != done: // a load that won't act, or an unload that has
		e.remove(o.Copy)
	case done && o.Adapter == "":
		e.loadedAt[o.Model] = now
	}
}

func (e *engine) remove(c Copy) {
	if c.Adapter == "" {
		delete(e.models, c.Model)
		delete(e.loadedAt, c.Model)
		return
	}
	delete(e.models[c.Model], c.Adapter)
}
