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

// Artifact is the weights of a model, or one adapter of it.
type Artifact struct {
	Model string
	// Adapter is empty for the weights.
	Adapter string
}

// Order asks an engine to load or unload a copy.
type Order struct {
	Engine string
	Load   bool
	Artifact
	// ExpectedAccepted is how many orders the engine must have accepted before.
	ExpectedAccepted int64
}

// Outcome says what an engine did with an order.
type Outcome int

// The outcomes of orders.
const (
	// Unanswered orders had no answer; they may act now or later.
	Unanswered Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// AlreadyApplied orders asked for what held already.
	AlreadyApplied
	// Conflict means that another order runs or the count differs.
	Conflict
	// Refused orders will not be carried out.
	Refused
)

// Report is an engine's account of itself.
type Report struct {
	Busy           bool
	AcceptedOrders int64
	Holdings       []topo.Holding
}

const (
	// registryLag is how long the registry's accounts lag behind an engine's
	// orders, reportLag how long the engine's own do.
	registryLag = 4 * time.Second
	reportLag   = time.Second
	// reportInterval is the time between two questions to an engine.
	reportInterval = 300 * time.Millisecond
	// resendDelay is the time after which an order without an answer is sent
	// again. It has the same expected count, so only one of the two can act.
	resendDelay = 200 * time.Millisecond
	// conflictReportDelay is the time after which an engine that runs another order is
	// asked; its accounts lag by some hundred milliseconds.
	conflictReportDelay = 600 * time.Millisecond
)

// engine is the ledger of one engine.
type engine struct {
	id              string
	service         string
	spec            *topo.EngineSpec
	incarnation     int64
	usable          bool
	runningRequests int

	// models holds the adapters of each held model, with the time of their last
	// use. Copies that may be there count as held for space.
	models   map[string]map[string]time.Time
	inMemory map[string]bool
	onDisk   map[string]bool

	// acceptedOrders is how many orders the engine has acceptedOrders, if known.
	acceptedOrders int64
	synced         bool
	// pending is the order that was sent and is not finished.
	pending *pendingOrder
	// reservedAt is when a load for which the engine makes room was counted.
	reservedAt time.Time
	// changedAt is when an order last changed what the engine holds.
	changedAt    time.Time
	nextReportAt time.Time
	loadedAt     map[string]time.Time
}

// pendingOrder is an order under way.
type pendingOrder struct {
	order    Order
	sentAt   time.Time
	answered bool
	// expectedAt is when the order is expected to be complete.
	expectedAt time.Time
	// resendAt is when an unanswered order is sent again.
	resendAt time.Time
	// ambiguous orders met another one: only a report tells which has acted.
	ambiguous bool
}

func newEngine(id, service string, incarnation int64) *engine {
	return &engine{
		id:          id,
		service:     service,
		incarnation: incarnation,
		models:      make(map[string]map[string]time.Time),
		loadedAt:    make(map[string]time.Time),
	}
}

// setHoldings takes an account of what the engine holds. It reports whether that
// differs from the ledger.
func (e *engine) setHoldings(holdings []topo.Holding) bool {
	if e.matches(holdings) {
		return false
	}
	models := make(map[string]map[string]time.Time, len(holdings))
	for _, h := range holdings {
		adapters := make(map[string]time.Time, len(h.Adapters))
		for _, a := range h.Adapters {
			adapters[a] = e.models[h.Model][a]
		}
		models[h.Model] = adapters
	}
	e.models = models
	return true
}

// matches reports whether an account names just what the ledger holds.
func (e *engine) matches(holdings []topo.Holding) bool {
	if len(holdings) != len(e.models) {
		return false
	}
	for _, h := range holdings {
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

// canServe reports whether the engine can run requests for a copy.
func (e *engine) canServe(a Artifact) bool {
	adapters, ok := e.models[a.Model]
	if !ok || e.hasPendingOrder(Artifact{Model: a.Model}) {
		return false
	}
	if a.Adapter == "" {
		return true
	}
	_, ok = adapters[a.Adapter]
	return ok && !e.hasPendingOrder(a)
}

// hasPendingOrder reports whether an order for the copy is under way.
func (e *engine) hasPendingOrder(a Artifact) bool {
	return e.pending != nil && e.pending.order.Artifact == a
}

// loading reports whether the copy is on its way to the engine.
func (e *engine) loading(a Artifact) bool {
	return e.hasPendingOrder(a) && e.pending.order.Load
}

// freeMemory returns how much of the engine's memory for weights is free.
func (e *engine) freeMemory() float64 {
	free := e.spec.WeightMemoryMB
	for name, adapters := range e.models {
		free -= e.memoryUse(name, adapters)
	}
	return free
}

// memoryUse returns the memory of a model with its adapters. Models that are not
// listed any more count as the largest one.
func (e *engine) memoryUse(name string, adapters map[string]time.Time) float64 {
	m := e.spec.Models[name]
	if m == nil {
		largest := 0.0
		for _, other := range e.spec.Models {
			largest = max(largest, other.SizeMB)
		}
		return largest
	}
	return m.SizeMB + float64(len(adapters))*m.AdapterSizeMB
}

// adapterCount returns how many places for adapterCount are taken.
func (e *engine) adapterCount() int {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// canAcceptOrder reports whether the engine can be given an order now.
func (e *engine) canAcceptOrder() bool { return e.usable && e.synced && e.pending == nil }

// lruAdapter returns the adapter that was not used for the longest time.
func (e *engine) lruAdapter() (Artifact, time.Time) {
	var oldest Artifact
	var oldestUse time.Time
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		for _, name := range slices.Sorted(maps.Keys(e.models[model])) {
			lastUse := e.models[model][name]
			if oldest.Model == "" || lastUse.Before(oldestUse) {
				oldest = Artifact{
					Model:   model,
					Adapter: name,
				}
				oldestUse = lastUse
			}
		}
	}
	return oldest, oldestUse
}

// beginOrder books an order. What it loads counts as held from now on, what it
// unloads until it is known to be gone.
func (e *engine) beginOrder(now time.Time, o Order, duration time.Duration) {
	e.pending = &pendingOrder{
		order:      o,
		sentAt:     now,
		expectedAt: now.Add(duration),
		resendAt:   now.Add(resendDelay),
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

// finishOrder ends the pending order. What an unload removed is free from now on.
func (e *engine) finishOrder(now time.Time, applied bool) {
	o := e.pending.order
	e.pending = nil
	e.changedAt = now
	switch {
	case o.Load != applied: // a load that won't act, or an unload that has
		e.remove(o.Artifact)
	case applied && o.Adapter == "":
		e.loadedAt[o.Model] = now
	}
}

func (e *engine) remove(a Artifact) {
	if a.Adapter == "" {
		delete(e.models, a.Model)
		delete(e.loadedAt, a.Model)
		return
	}
	delete(e.models[a.Model], a.Adapter)
}
