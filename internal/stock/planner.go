package stock

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// Settings are the constants of a planner.
type Settings struct {
	// LoadWindow is the time over which loads from the weight store are counted.
	LoadWindow time.Duration
	// LoadSlack is how many loads beyond the store's rate may begin in it.
	LoadSlack float64
	// CopyWork is the work, in seconds of an engine's time for each second, that
	// one copy of a model should carry at most.
	CopyWork float64
	// Residency is how long a loaded model stays at least.
	Residency time.Duration
	// AdapterResidency is how long an adapter stays after its last use.
	AdapterResidency time.Duration
}

// DefaultSettings returns settings for a window of the weight store's ceiling.
func DefaultSettings(window time.Duration) Settings {
	return Settings{
		LoadWindow:       window,
		LoadSlack:        2,
		CopyWork:         0.2,
		Residency:        4 * time.Second,
		AdapterResidency: 2500 * time.Millisecond,
	}
}

// Planner plans the orders to all engines.
type Planner struct {
	settings Settings
	engines  map[string]*engine
	// demand is by service and model.
	demand map[string]map[string]*demand
	// wants are copies that requests wait for, with the time of the last one.
	wants map[string]map[Copy]time.Time
	// loads are the beginnings of loads from the weight store, by service.
	loads map[string][]time.Time
	// quietUntil is when loads of an earlier planner no longer count.
	quietUntil time.Time
	// changed are the engines whose holdings changed since Changed was called.
	changed map[string]bool
}

// wantLifetime is how long a want counts after it was last told.
const wantLifetime = time.Second

// NewPlanner returns a planner. Others may have loaded from the weight store
// until now, unless first is true.
func NewPlanner(now time.Time, s Settings, first bool) *Planner {
	p := &Planner{
		settings: s,
		engines:  make(map[string]*engine),
		demand:   make(map[string]map[string]*demand),
		wants:    make(map[string]map[Copy]time.Time),
		loads:    make(map[string][]time.Time),
		changed:  make(map[string]bool),
	}
	if !first {
		p.quietUntil = now.Add(s.LoadWindow)
	}
	return p
}

// SetEndpoint takes the registry's account of an engine.
func (p *Planner) SetEndpoint(now time.Time, ep *topo.Endpoint, spec *topo.Engine) {
	e := p.engines[ep.ID]
	if e == nil || e.born != ep.Born {
		e = newEngine(ep.ID, ep.Service, ep.Born)
		p.engines[ep.ID] = e
		p.changed[ep.ID] = true
	}
	e.spec = spec
	e.usable = !ep.Draining
	e.near = set(ep.InMemory)
	e.onDisk = set(ep.OnDisk)
	switch {
	case !e.known && e.pending == nil && e.changedAt.IsZero():
		// Good enough to route by until the engine itself was asked.
		p.adopt(e, ep.Holdings)
	case e.known && e.pending == nil && now.Sub(e.changedAt) > settleTime && !e.agrees(ep.Holdings):
		e.known = false
	}
}

// Remove drops an engine that is gone.
func (p *Planner) Remove(id string) { delete(p.engines, id) }

// SetRunning takes the number of requests at an engine.
func (p *Planner) SetRunning(id string, running int) {
	if e := p.engines[id]; e != nil {
		e.running = running
	}
}

// Demand takes the work that new requests for a copy bring.
func (p *Planner) Demand(now time.Time, service string, c Copy, work time.Duration) {
	models := p.demand[service]
	if models == nil {
		models = make(map[string]*demand)
		p.demand[service] = models
	}
	d := models[c.Model]
	if d == nil {
		d = &demand{}
		models[c.Model] = d
	}
	d.add(now, work)
	if c.Adapter == "" {
		return
	}
	for _, e := range p.engines {
		if _, held := e.models[c.Model][c.Adapter]; held && e.service == service {
			e.models[c.Model][c.Adapter] = now
		}
	}
}

// Want notes that requests wait for a copy that no usable engine holds.
func (p *Planner) Want(now time.Time, service string, c Copy) {
	if p.wants[service] == nil {
		p.wants[service] = make(map[Copy]time.Time)
	}
	p.wants[service][c] = now
}

// Reported takes an engine's account of itself.
func (p *Planner) Reported(now time.Time, id string, r Report) {
	e := p.engines[id]
	if e == nil {
		return
	}
	if r.Busy {
		return
	}
	if e.pending == nil {
		e.accepted, e.known = r.Accepted, true
		if now.Sub(e.changedAt) >= reportLag {
			p.adopt(e, r.Holdings)
		}
		return
	}
	if !e.pending.answered || now.Before(e.pending.due) {
		return
	}
	if e.pending.doubtful {
		// Another order than the ledger knows of has acted.
		e.pending = nil
		e.accepted, e.known = r.Accepted, true
		e.changedAt = now
		p.adopt(e, r.Holdings)
		return
	}
	o := e.pending.order
	if listed(r.Holdings, o.Copy) == o.Load {
		p.complete(now, e, true)
		return
	}
	if now.Sub(e.pending.due) > settleTime {
		p.complete(now, e, false)
	}
}

// adopt replaces the ledger of an engine by its own account.
func (p *Planner) adopt(e *engine, held []topo.Holding) {
	if e.adopt(held) {
		p.changed[e.id] = true
	}
}

// listed reports whether an engine's account names a copy.
func listed(holdings []topo.Holding, c Copy) bool {
	return slices.ContainsFunc(holdings, func(h topo.Holding) bool {
		return h.Model == c.Model && (c.Adapter == "" || slices.Contains(h.Adapters, c.Adapter))
	})
}

func (p *Planner) complete(now time.Time, e *engine, done bool) {
	e.finish(now, done)
	p.changed[e.id] = true
}

// Answered takes what became of an order.
func (p *Planner) Answered(now time.Time, o Order, outcome Outcome) {
	e := p.engines[o.Engine]
	if e == nil || e.pending == nil || e.pending.order != o {
		return
	}
	switch outcome {
	case Accepted:
		e.pending.answered = true
		e.accepted = o.Accepted + 1
		e.pending.due = now.Add(e.pending.due.Sub(e.pending.sentAt))
		if o.Adapter != "" && !o.Load {
			// Requests still use it, so it is gone only when a report says so.
			e.pending.due = now.Add(reportLag)
		}
	case Held:
		e.known = false
		p.complete(now, e, true)
	case Conflict:
		// Either an order that was thought lost has acted or one is under way.
		e.known = false
		e.pending.answered = true
		e.pending.doubtful = true
		e.pending.due = now.Add(conflictPause)
	case Refused:
		e.known = false
		p.complete(now, e, false)
	case Lost:
		e.pending.resendAt = now.Add(resendPause)
	}
}

// Holds returns what an engine can run: its models with their adapters.
func (p *Planner) Holds(id string) []topo.Holding {
	e := p.engines[id]
	if e == nil {
		return nil
	}
	var out []topo.Holding
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		if !e.holds(Copy{Model: model}) {
			continue
		}
		h := topo.Holding{Model: model}
		for _, adapter := range slices.Sorted(maps.Keys(e.models[model])) {
			if e.holds(Copy{
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

// Left returns how long an engine's order under way is expected to take yet.
func (p *Planner) Left(now time.Time, id string) time.Duration {
	e := p.engines[id]
	if e == nil || e.pending == nil {
		return 0
	}
	return max(e.pending.due.Sub(now), 0)
}

// Changed returns the engines whose holdings changed since the last call.
func (p *Planner) Changed() []string {
	out := slices.Sorted(maps.Keys(p.changed))
	clear(p.changed)
	return out
}

// Arrivals returns when models that are being loaded are expected to be there.
func (p *Planner) Arrivals(service string) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, e := range p.engines {
		if e.service != service || e.pending == nil || !e.pending.order.Load || e.pending.order.Adapter != "" {
			continue
		}
		model := e.pending.order.Model
		if at, ok := out[model]; !ok || e.pending.due.Before(at) {
			out[model] = e.pending.due
		}
	}
	return out
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}
