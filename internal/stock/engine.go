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
	// Regions are the only regions of engines that can run the requests, empty if any can.
	Regions Regions
}

// Load is a model that engines of one software version in one region are loading.
type Load struct {
	Model           string
	SoftwareVersion string
	// Region is the region of the engines.
	Region string
}

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
	evacuated       bool
	region          string
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
func (e *engine) usable() bool { return !e.draining && !e.ended && !e.evacuated }

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

func (e *engine) remove(a Artifact) {
	if a.Adapter == "" {
		delete(e.models, a.Model)
		delete(e.loadedAt, a.Model)
		return
	}
	delete(e.models[a.Model], a.Adapter)
}
