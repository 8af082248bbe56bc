package stock

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// loadOption is a way to load a model at an engine.
type loadOption struct {
	engine *engine
	// victim is the model to unload first, empty if there is room.
	victim string
	source loadSource
	cost   float64
}

// loadSource is where an engine loads weights from, ordered from slow to fast.
type loadSource int

const (
	fromStore loadSource = iota
	fromDisk
	fromMemory
)

// sourceCosts are the costs of loads by source, in seconds of load time.
var sourceCosts = [...]float64{fromStore: 9, fromDisk: 2, fromMemory: 1}

const (
	// limitedEngineCost is the cost of a load at an engine with a limit, and
	// evictionCost that of making room, in seconds of load time.
	limitedEngineCost = 10
	evictionCost      = 1
	// runningRequestCost is the cost of each request that runs at an engine, in
	// seconds of load time.
	runningRequestCost = 0.05
	// minEvictGain is the factor by which the demand for a new copy must exceed the
	// demand for the copy that is evicted for it.
	minEvictGain = 2
	// maxEvaluations is how many engines are tried for one shortage, best first, so
	// that a plan's time grows linearly with models and engines.
	maxEvaluations = 32
)

// loadCost returns the cost of a load at the engine without that of making room.
func (e *engine) loadCost(source loadSource) float64 {
	cost := sourceCosts[source] + float64(e.runningRequests)*runningRequestCost
	if e.limited {
		cost += limitedEngineCost
	}
	return cost
}

// resolveShortage loads a model at the engine where that costs least, or unloads
// another model there to make room.
func (p *Planner) resolveShortage(now time.Time, s *service, r *ranking, shortage shortage, plan *Plan) {
	best := p.bestLoad(now, s, r, shortage)
	if best == nil {
		return
	}
	e := best.engine
	if best.victim != "" {
		victim := s.copiesOf(best.victim)
		victim.total--
		victim.serving--
		if best.source == fromStore {
			s.reserveStoreLoad(now, e)
		}
		p.issueOrder(now, e, false, Artifact{Model: best.victim}, unloadDuration, plan)
		return
	}
	if best.source == fromStore {
		s.reserveStoreLoad(now, e)
		e.reservedAt = time.Time{}
	}
	s.copiesOf(shortage.model).total++
	p.issueOrder(now, e, true, Artifact{Model: shortage.model}, best.source.duration(e.spec.Models[shortage.model]), plan)
}

// duration returns the expected duration of a load.
func (l loadSource) duration(m *topo.Model) time.Duration {
	switch l {
	case fromMemory:
		return m.MemoryLoadTime
	case fromDisk:
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

// bestLoad returns the way to load a model that costs least, or nil if there is none
// now.
func (p *Planner) bestLoad(now time.Time, s *service, r *ranking, shortage shortage) *loadOption {
	class := &r.ordinary
	if shortage.unservedMiss() {
		class = &r.urgent
	}
	if !class.hasRoom && !shortage.worthEvicting(class.minLoss) {
		return nil
	}
	var best *loadOption
	try := func(e *engine) {
		p.evaluations++
		o := p.evaluateLoad(now, s, e, shortage)
		if o != nil && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	for _, e := range r.cached[shortage.model] {
		try(e)
	}
	if !shortage.loadedAt.IsZero() {
		return best // a load from the weight store wouldn't finish sooner
	}
	if !p.storeAdmitsLoad(now, s) {
		for _, e := range r.reserved {
			try(e)
		}
		return best
	}
	tried := 0
	for _, ranked := range class.ranked {
		if tried == maxEvaluations || best != nil && ranked.cost >= best.cost {
			break
		}
		if shortage.helpedBy(ranked.engine) {
			tried++
			try(ranked.engine)
		}
	}
	return best
}

// helpedBy reports whether a copy at an engine helps against the shortage.
func (s shortage) helpedBy(e *engine) bool {
	if s.backup && e.limited {
		return false
	}
	return (s.softwareVersion == "" || e.softwareVersion == s.softwareVersion) && s.regions.allow(e.region)
}

// evaluateLoad returns how an engine could load a model, or nil if it can't do so
// now.
func (p *Planner) evaluateLoad(now time.Time, s *service, e *engine, shortage shortage) *loadOption {
	spec := e.spec.Models[shortage.model]
	if _, held := e.models[shortage.model]; held || spec == nil || !e.canAcceptOrder() {
		return nil
	}
	if !shortage.helpedBy(e) {
		return nil
	}
	o := &loadOption{
		engine: e,
		source: fromStore,
	}
	switch {
	case e.inMemory[shortage.model]:
		o.source = fromMemory
	case e.onDisk[shortage.model]:
		o.source = fromDisk
	}
	if o.source == fromStore && e.reservedAt.IsZero() && !p.storeAdmitsLoad(now, s) {
		return nil
	}
	if shortage.endsTooLate(now, o.source.duration(spec)) {
		return nil
	}
	o.cost = e.loadCost(o.source)
	if e.freeMemory() >= spec.SizeMB {
		return o
	}
	if !shortage.loadedAt.IsZero() {
		return nil // time alone isn't worth a copy of another model
	}
	victim, loss := p.chooseVictim(now, s, e, shortage)
	if victim == "" {
		return nil
	}
	o.victim = victim
	o.cost += evictionCost + loss
	return o
}

// chooseVictim returns the model whose eviction from an engine loses the least, and
// that loss. It returns an empty name if no eviction in favor of the model in
// shortage is a gain.
func (p *Planner) chooseVictim(now time.Time, s *service, e *engine, shortage shortage) (string, float64) {
	victim, lowestLoss := "", math.Inf(1)
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		if now.Sub(e.loadedAt[model]) < p.settings.MinResidency {
			continue
		}
		loss := s.evictionLoss(now, model)
		if s.copiesOf(model).serving <= 1 && !s.mayEvictLastCopy(now, model, shortage) {
			continue
		}
		if s.unloadsElsewhere(model, e) {
			continue
		}
		if shortage.worthEvicting(loss) && loss < lowestLoss {
			victim, lowestLoss = model, loss
		}
	}
	return victim, lowestLoss
}

// unloadsElsewhere reports whether another engine of the same software version is unloading
// a model. The streams there could go on only at the given engine.
func (s *service) unloadsElsewhere(model string, e *engine) bool {
	return slices.ContainsFunc(s.copiesOf(model).holders, func(other *engine) bool {
		unloads := other.hasPendingOrder(Artifact{Model: model}) && !other.pending.order.Load
		return other != e && other.softwareVersion == e.softwareVersion && unloads
	})
}

// evictionLoss returns the demand for which one copy less of a model would serve.
func (s *service) evictionLoss(now time.Time, model string) float64 {
	return s.demandRate(now, model) / float64(max(s.copiesOf(model).serving-1, 1))
}

// worthEvicting reports whether a copy of the model in shortage is worth an eviction
// with the given loss.
func (s shortage) worthEvicting(loss float64) bool {
	gain := s.demandRate / float64(s.copies+1)
	if s.unservedMiss() {
		gain = math.Inf(1)
	}
	return loss*minEvictGain < gain || loss <= idleDemandRate
}

// mayEvictLastCopy reports whether the last copy of a model may be evicted: it has
// had no requests for a while, and requests are waiting for the model in shortage,
// which no engine holds.
func (s *service) mayEvictLastCopy(now time.Time, model string, shortage shortage) bool {
	if !shortage.unservedMiss() {
		return false
	}
	d := s.demand[model]
	return d == nil || now.Sub(d.lastRequestAt) > lastCopyIdleTime
}

// reserveStoreLoad counts a load from the weight store towards its rate limit. If an
// engine must make room first, the load is counted from then on, and counted again
// in place of that when it begins.
func (s *service) reserveStoreLoad(now time.Time, e *engine) {
	if !e.reservedAt.IsZero() {
		// Other engines may have been counted at the same time.
		if i := slices.IndexFunc(s.storeLoads, e.reservedAt.Equal); i >= 0 {
			s.storeLoads = slices.Delete(s.storeLoads, i, i+1)
		}
	}
	s.storeLoads = append(s.storeLoads, now)
	e.reservedAt = now
}

// expireStoreLoads drops the loads that began before the window in which they count.
func (s *service) expireStoreLoads(now time.Time, window time.Duration) {
	s.storeLoads = slices.DeleteFunc(s.storeLoads, func(at time.Time) bool { return now.Sub(at) > window })
}

// storeAdmitsLoad reports whether the rate limit of the weight store admits a load.
func (p *Planner) storeAdmitsLoad(now time.Time, s *service) bool {
	limit := math.Floor(s.spec.LoadsPerSecond * p.settings.LoadWindow.Seconds())
	if now.Before(p.inheritedLoadsUntil) {
		// An earlier planner may have used up the limit; only the slack is left.
		limit = p.settings.LoadSlack
	}
	return float64(len(s.storeLoads)) < limit
}
