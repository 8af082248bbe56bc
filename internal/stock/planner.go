package stock

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// Settings configures a planner.
type Settings struct {
	// LoadWindow is the window over which loads from the weight store are counted.
	LoadWindow time.Duration
	// LoadSlack is how many loads beyond the rate limit of the weight store may
	// begin within LoadWindow.
	LoadSlack float64
	// MaxCopyLoad is the most work that one copy of a model should carry, in
	// seconds of engine time per second.
	MaxCopyLoad float64
	// MinResidency is how long a model stays loaded at least.
	MinResidency time.Duration
	// AdapterIdleTime is how long an adapter stays loaded after its last use.
	AdapterIdleTime time.Duration
}

// DefaultSettings returns the default settings for a window over which the weight
// store limits the rate of loads.
func DefaultSettings(window time.Duration) Settings {
	return Settings{
		LoadWindow:      window,
		LoadSlack:       2,
		MaxCopyLoad:     0.2,
		MinResidency:    4 * time.Second,
		AdapterIdleTime: 2500 * time.Millisecond,
	}
}

// Planner plans the orders to the engines of all services.
type Planner struct {
	settings Settings
	engines  map[string]*engine
	services map[string]*service
	// inheritedLoadsUntil is when the loads of an earlier planner stop counting.
	inheritedLoadsUntil time.Time
	// lastOrder is the number of the last order.
	lastOrder uint64
	// evaluations counts the ways to load a model that were considered.
	evaluations int
	// changed holds the engines whose holdings changed since TakeChanged was called.
	changed map[string]bool
}

// missLifetime is how long a miss counts after it was last recorded.
const missLifetime = time.Second

// NewPlanner returns a planner. Unless first is true, an earlier planner may have
// started loads from the weight store until now.
func NewPlanner(now time.Time, s Settings, first bool) *Planner {
	p := &Planner{
		settings: s,
		engines:  make(map[string]*engine),
		services: make(map[string]*service),
		changed:  make(map[string]bool),
	}
	if !first {
		p.inheritedLoadsUntil = now.Add(s.LoadWindow)
	}
	return p
}

// SetEndpoint updates an engine from its record in the registry.
func (p *Planner) SetEndpoint(now time.Time, ep *topo.Endpoint, spec *topo.EngineSpec) {
	e := p.engines[ep.ID]
	if e == nil || e.incarnation != ep.Incarnation {
		p.Remove(ep.ID)
		e = newEngine(ep.ID, p.service(ep.Service), ep.Incarnation)
		p.engines[ep.ID] = e
		e.service.add(e)
		p.changed[ep.ID] = true
	}
	e.spec = spec
	e.service.setSpec(spec)
	if e.draining != ep.Draining {
		e.draining = ep.Draining
		e.invalidatePending()
	}
	e.softwareVersion = ep.SoftwareVersion
	e.inMemory = toSet(ep.InMemory)
	e.onDisk = toSet(ep.OnDisk)
	switch {
	case !e.synced && e.pending == nil && e.changedAt.IsZero():
		// Accurate enough for routing until the engine itself has reported.
		p.reconcile(e, ep.Holdings)
	case e.synced && e.pending == nil && now.Sub(e.changedAt) > registryLag && !e.matches(ep.Holdings):
		e.synced = false
	}
}

// Remove removes an engine whose endpoint was removed.
func (p *Planner) Remove(id string) {
	if e := p.engines[id]; e != nil {
		e.service.remove(e)
		delete(p.engines, id)
	}
}

// SetRunning sets the number of requests that run at an engine.
func (p *Planner) SetRunning(id string, running int) {
	if e := p.engines[id]; e != nil {
		e.runningRequests = running
	}
}

// SetLimited sets whether an engine has named a limit on the requests that it takes.
func (p *Planner) SetLimited(id string, limited bool) {
	if e := p.engines[id]; e != nil {
		e.limited = limited
	}
}

// SetEnded sets whether the run of an engine is over though it is still registered.
func (p *Planner) SetEnded(id string, ended bool) {
	if e := p.engines[id]; e != nil && e.ended != ended {
		e.ended = ended
		e.invalidatePending()
	}
}

// SetEvacuated sets whether an engine is in an evacuated zone, where its copies count for
// nothing and no orders are sent.
func (p *Planner) SetEvacuated(id string, evacuated bool) {
	if e := p.engines[id]; e != nil && e.evacuated != evacuated {
		e.evacuated = evacuated
		e.invalidatePending()
	}
}

// SetVersionsDiffer sets whether engines of a service have had different software versions
// lately, so that an engine's streams may not go on at every other one.
func (p *Planner) SetVersionsDiffer(service string, differ bool) {
	p.service(service).versionsDiffer = differ
}

// RecordDemand records a number of new requests for an artifact and their work.
func (p *Planner) RecordDemand(now time.Time, service string, a Artifact, requests int, work time.Duration) {
	s := p.service(service)
	s.recordDemand(now, a.Model, requests, work)
	if a.Adapter == "" {
		return
	}
	for _, e := range s.copiesOf(a.Model).holders {
		if _, held := e.models[a.Model][a.Adapter]; held {
			e.models[a.Model][a.Adapter] = now
		}
	}
}

// RecordMiss records that requests are waiting for an artifact that no usable
// engine of the miss's software version holds.
func (p *Planner) RecordMiss(now time.Time, service string, m Miss) {
	p.service(service).misses[m] = now
}

// HandleReport updates an engine from its own report, which was requested at sentAt.
func (p *Planner) HandleReport(now, sentAt time.Time, id string, r Report) {
	e := p.engines[id]
	if e == nil || r.Incarnation != 0 && r.Incarnation != e.incarnation {
		return
	}
	if r.Busy || len(r.IncomingAdapters) > 0 {
		return // what the engine will hold is not known before that has ended
	}
	if e.pending == nil {
		p.applyReport(sentAt, e, r)
		return
	}
	if !e.pending.answered || sentAt.Before(e.pending.expectedAt) {
		return
	}
	if e.pending.ambiguous {
		// An order other than the pending one has taken effect, so the report
		// replaces the recorded state.
		e.dropPending()
		e.acceptedOrders, e.synced = r.AcceptedOrders, true
		e.changedAt = now
		p.reconcile(e, r.Holdings)
		return
	}
	o := e.pending.order
	if includesArtifact(r.Holdings, o.Artifact) == o.Load {
		p.completeOrder(now, e, true)
		return
	}
	if sentAt.Sub(e.pending.expectedAt) > registryLag {
		p.completeOrder(now, e, false)
	}
}

// applyReport updates an engine without a pending order. A report that may be older
// than the last change of the recorded holdings only confirms the count of orders
// that goes with them. Another count would go with other holdings.
func (p *Planner) applyReport(sentAt time.Time, e *engine, r Report) {
	if sentAt.Sub(e.changedAt) < reportLag {
		e.synced = e.synced || r.AcceptedOrders == e.acceptedOrders
		return
	}
	e.acceptedOrders, e.synced = r.AcceptedOrders, true
	p.reconcile(e, r.Holdings)
}

// reconcile replaces the recorded holdings of an engine, and marks the engine as
// changed if they differ.
func (p *Planner) reconcile(e *engine, holdings []topo.Holding) {
	if e.setHoldings(holdings) {
		p.changed[e.id] = true
	}
}

// includesArtifact reports whether holdings include an artifact.
func includesArtifact(holdings []topo.Holding, a Artifact) bool {
	return slices.ContainsFunc(holdings, func(h topo.Holding) bool {
		return h.Model == a.Model && (a.Adapter == "" || slices.Contains(h.Adapters, a.Adapter))
	})
}

func (p *Planner) completeOrder(now time.Time, e *engine, applied bool) {
	e.finishOrder(now, applied)
	p.changed[e.id] = true
}

// HandleOutcome handles the outcome of sending an order.
func (p *Planner) HandleOutcome(now time.Time, o Order, outcome Outcome) {
	e := p.engines[o.Engine]
	if e == nil || e.pending == nil || e.pending.order != o {
		return
	}
	pending := e.pending
	pending.outcomes++
	if pending.accepted {
		return // the outcome of another send of the order
	}
	switch outcome {
	case Accepted:
		e.acceptPending(now)
		e.acceptedOrders = o.ExpectedAccepted + 1
		if o.Adapter != "" && !o.Load {
			// Running requests still use the adapter, so only a report tells when
			// it is gone.
			pending.expectedAt = now.Add(reportLag)
		}
	case AlreadyApplied:
		e.synced = false
		p.completeOrder(now, e, true)
	case Conflict:
		// Either an earlier order that got no response has taken effect, or another
		// order is being executed.
		e.synced = false
		pending.answered = true
		pending.ambiguous = true
		e.expect(now.Add(conflictReportDelay))
	case Refused:
		pending.refusals++
		if pending.refusals < pending.sends {
			pending.resendAt = now.Add(resendDelay)
			return
		}
		e.synced = false
		p.completeOrder(now, e, false)
	case Unanswered:
		pending.resendAt = now.Add(resendDelay)
	}
}

// Servable returns the models and adapters for which an engine can run requests.
func (p *Planner) Servable(id string) []topo.Holding {
	e := p.engines[id]
	if e == nil {
		return nil
	}
	var out []topo.Holding
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		if !e.canServe(Artifact{Model: model}) {
			continue
		}
		h := topo.Holding{Model: model}
		for _, adapter := range slices.Sorted(maps.Keys(e.models[model])) {
			if e.canServe(Artifact{
				Model:   model,
				Adapter: adapter,
			}) {
				h.Adapters = append(h.Adapters, adapter)
			}
		}
		out = append(out, h)
	}
	return out
}

// RemainingTime returns how much longer the pending order of an engine is expected
// to take.
func (p *Planner) RemainingTime(now time.Time, id string) time.Duration {
	e := p.engines[id]
	if e == nil || e.pending == nil {
		return 0
	}
	return max(e.pending.expectedAt.Sub(now), 0)
}

// TakeChanged returns the engines whose holdings changed since the last call.
func (p *Planner) TakeChanged() []string {
	out := slices.Sorted(maps.Keys(p.changed))
	clear(p.changed)
	return out
}

// LoadETAs returns, for each model of a service that is being loaded, when the first
// of its loads is expected to finish, by the software version of the engines. The
// caller must not change the result.
func (p *Planner) LoadETAs(service string) map[Load]time.Time {
	return p.service(service).loadETAs()
}

// LoadRevision increases whenever the result of LoadETAs changes for a service.
func (p *Planner) LoadRevision(service string) uint64 { return p.service(service).loadRevision }

// FirstLoad returns when the first load of a model is expected to finish, at any
// engine or, with a software version, at the engines of that version.
func FirstLoad(etas map[Load]time.Time, model, softwareVersion string) (first time.Time, loading bool) {
	return FirstLoadIn(etas, model, softwareVersion, "")
}

// FirstLoadIn is FirstLoad at the engines of some regions.
func FirstLoadIn(etas map[Load]time.Time, model, softwareVersion string, regions Regions) (first time.Time, loading bool) {
	for load, eta := range etas {
		if load.Model != model || softwareVersion != "" && load.SoftwareVersion != softwareVersion || !regions.allow(load.Region) {
			continue
		}
		if !loading || eta.Before(first) {
			first, loading = eta, true
		}
	}
	return first, loading
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}
