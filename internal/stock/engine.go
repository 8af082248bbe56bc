// Package stock plans which model weights and adapters each engine holds. It
// tracks the holdings of every engine, also while orders are pending or their
// responses are lost, and issues load and unload orders that follow the demand.
package stock

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// Artifact identifies the weights of a model or one of its adapters.
type Artifact struct {
	Model string
	// Adapter is empty for the weights of the model.
	Adapter string
}

// Miss is an artifact that requests are waiting for.
type Miss struct {
	Artifact
	// SoftwareVersion is the only version of engines that can run the requests,
	// empty if any can.
	SoftwareVersion string
}

// Load is a model that engines of one software version are loading.
type Load struct {
	Model           string
	SoftwareVersion string
}

// Order tells an engine to load or unload an artifact.
type Order struct {
	Engine string
	Load   bool
	Artifact
	// ExpectedAccepted is the number of orders that the engine must have accepted
	// before this one.
	ExpectedAccepted int64
	// Number distinguishes the orders of a planner. An order that is resent keeps it.
	Number uint64
}

// Outcome is the result of sending an order to an engine.
type Outcome int

// Outcomes of an order.
const (
	// Unanswered orders got no response; they may take effect now or later.
	Unanswered Outcome = iota
	// Accepted orders are being executed.
	Accepted
	// AlreadyApplied orders asked for a state that the engine was already in.
	AlreadyApplied
	// Conflict means that the engine is executing another order, or that it has
	// accepted a different number of orders than expected.
	Conflict
	// Refused means that this send of the order will not be executed. Others may be.
	Refused
)

// Report is the state that an engine reports of itself.
type Report struct {
	// Incarnation is the run of the engine that reports, 0 if it isn't given.
	Incarnation    int64
	Busy           bool
	AcceptedOrders int64
	Holdings       []topo.Holding
	// IncomingAdapters are adapters on their way to the engine, which take places
	// there, as MODEL/NAME.
	IncomingAdapters []string
}

const (
	// registryLag bounds how far the registry lags behind the orders that an
	// engine has executed, reportLag how far the engine's own reports do.
	registryLag = 4 * time.Second
	reportLag   = time.Second
	// reportInterval is the minimum time between report requests to an engine.
	reportInterval = 300 * time.Millisecond
	// resendDelay is the time after which an order without a response is resent.
	// The resent order has the same ExpectedAccepted, so at most one of the two
	// takes effect.
	resendDelay = 200 * time.Millisecond
	// conflictReportDelay is the time after a conflict at which the engine is
	// asked for a report, since reports lag by some hundred milliseconds.
	conflictReportDelay = 600 * time.Millisecond
)

// engine is the planner's view of one engine.
type engine struct {
	id              string
	service         *service
	spec            *topo.EngineSpec
	incarnation     int64
	softwareVersion string
	draining        bool
	ended           bool
	runningRequests int
	// limited is true while the engine takes fewer requests than it could run.
	limited bool

	// models maps each held model to its adapters and the times of their last
	// use. Artifacts that may be present count as held, as they may take memory.
	models   map[string]map[string]time.Time
	inMemory map[string]bool
	onDisk   map[string]bool

	// acceptedOrders is how many orders the engine has accepted. It is valid only
	// if synced is true.
	acceptedOrders int64
	synced         bool
	// pending is the order that was sent and has not finished, nil if none.
	pending *pendingOrder
	// reservedAt is when a load from the weight store was counted in advance,
	// while the engine still makes room for it; zero if there is none.
	reservedAt time.Time
	// changedAt is when an order last changed the engine's holdings.
	changedAt    time.Time
	nextReportAt time.Time
	loadedAt     map[string]time.Time
}

// pendingOrder is an order that has been sent and has not finished.
type pendingOrder struct {
	order Order
	// duration is the expected time from the acceptance of the order to its end.
	duration time.Duration
	// sends is how often the order was sent, outcomes how many of the sends have
	// ended and refusals how many of those are known not to be executed.
	sends    int
	outcomes int
	refusals int
	// answered is true once the engine has accepted the order or is in conflict with
	// it, accepted only in the first case.
	answered bool
	accepted bool
	// expectedAt is when the order is expected to have finished.
	expectedAt time.Time
	// resendAt is when an unanswered order is resent.
	resendAt time.Time
	// ambiguous is set after a conflict with another order; only a report tells
	// which of the two took effect.
	ambiguous bool
}

func newEngine(id string, service *service, incarnation int64) *engine {
	return &engine{
		id:          id,
		service:     service,
		incarnation: incarnation,
		models:      make(map[string]map[string]time.Time),
		loadedAt:    make(map[string]time.Time),
	}
}

// setHoldings replaces the recorded holdings of the engine and reports whether
// they changed. The last use of adapters that remain is kept.
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

// matches reports whether holdings equal the recorded holdings of the engine.
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

// canServe reports whether the engine can run requests for an artifact.
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

// hasPendingOrder reports whether an order for the artifact is pending.
func (e *engine) hasPendingOrder(a Artifact) bool {
	return e.pending != nil && e.pending.order.Artifact == a
}

// loading reports whether a load of the artifact is pending.
func (e *engine) loading(a Artifact) bool {
	return e.hasPendingOrder(a) && e.pending.order.Load
}

// freeMemory returns how much of the engine's memory for weights is free, in MB.
func (e *engine) freeMemory() float64 {
	free := e.spec.WeightMemoryMB
	for name, adapters := range e.models {
		free -= e.memoryUse(name, adapters)
	}
	return free
}

// memoryUse returns the memory of a model with its adapters, in MB. Models that
// are no longer in the configuration count as the largest one that is.
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

// adapterCount returns how many adapter slots are occupied.
func (e *engine) adapterCount() int {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return n
}

// usable reports whether the engine takes requests.
func (e *engine) usable() bool { return !e.draining && !e.ended }

// canAcceptOrder reports whether an order can be sent to the engine now.
func (e *engine) canAcceptOrder() bool { return e.usable() && e.synced && e.pending == nil }

// keeps reports whether a usable engine holds or is loading a model, and doesn't unload
// it.
func (e *engine) keeps(model string) bool {
	weights := Artifact{Model: model}
	return e.usable() && (!e.hasPendingOrder(weights) || e.loading(weights))
}

// lruAdapter returns the least recently used adapter and the time of its last use.
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

// beginOrder records an order as pending. What it loads counts as held from now
// on; what it unloads counts as held until it is known to be gone.
func (e *engine) beginOrder(now time.Time, o Order, duration time.Duration) {
	e.pending = &pendingOrder{
		order:      o,
		duration:   duration,
		sends:      1,
		expectedAt: now.Add(duration),
		resendAt:   now.Add(resendDelay),
	}
	e.service.invalidateLoads(o)
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

// resendDue reports whether the pending order must be sent again: all its sends have
// ended, and the engine has answered none of them.
func (p *pendingOrder) resendDue(now time.Time) bool {
	return !p.answered && p.outcomes == p.sends && !now.Before(p.resendAt)
}

// acceptPending records that the engine has accepted a send of the pending order. That
// send is the only one that is executed, whatever the outcomes of the others are.
func (e *engine) acceptPending(now time.Time) {
	e.pending.answered = true
	e.pending.accepted = true
	e.pending.ambiguous = false
	e.expect(now.Add(e.pending.duration))
}

// expect sets when the pending order is expected to have finished.
func (e *engine) expect(at time.Time) {
	e.pending.expectedAt = at
	e.service.invalidateLoads(e.pending.order)
}

// invalidatePending must be called when the engine becomes usable or ceases to be.
func (e *engine) invalidatePending() {
	if e.pending != nil {
		e.service.invalidateLoads(e.pending.order)
	}
}

// dropPending removes the pending order.
func (e *engine) dropPending() {
	e.service.invalidateLoads(e.pending.order)
	e.pending = nil
}

// finishOrder ends the pending order, which has been applied or never will be.
// The memory of an artifact that was unloaded is free from now on.
func (e *engine) finishOrder(now time.Time, applied bool) {
	o := e.pending.order
	e.dropPending()
	e.changedAt = now
	switch {
	case o.Load != applied: // a load that won't take effect, or an unload that did
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
