package stock

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
)

// service is the planner's state for one service.
type service struct {
	// engines are ordered by ID.
	engines []*engine
	spec    *topo.EngineSpec
	// modelNames are the models of spec in order, minSizeMB is the size of the
	// smallest of them.
	modelNames []string
	minSizeMB  float64
	// demand is keyed by model.
	demand map[string]*demand
	// misses are the artifacts that requests wait for, and when the last of each was
	// recorded.
	misses map[Miss]time.Time
	// storeLoads are the start times of loads from the weight store.
	storeLoads []time.Time
	// copies is keyed by model, as of the last call of countCopies.
	copies map[string]*modelCopies
	// etas is the result of loadETAs, nil if it must be determined anew.
	etas         map[Load]time.Time
	loadRevision uint64
	// versionsDiffer is true while streams may go on at different software versions.
	versionsDiffer bool
}

// modelCopies are the copies of a model at the engines of a service.
type modelCopies struct {
	// holders are the engines that hold the model or are loading or unloading it.
	holders []*engine
	// total is the number of copies at usable engines, including those that are being
	// loaded; serving does not include them.
	total   int
	serving int
	// limited are those of total on engines that have named a limit.
	limited int
}

// limitedCopyCapacity is what a copy on an engine with a limit carries, as a fraction of
// what another copy does.
const limitedCopyCapacity = 0.5

// capacity returns how many copies without a limit carry as much as those of the model.
func (c *modelCopies) capacity() float64 {
	return float64(c.total) - (1-limitedCopyCapacity)*float64(c.limited)
}

// service returns the state of a service, which it creates if necessary.
func (p *Planner) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{
			demand: make(map[string]*demand),
			misses: make(map[Miss]time.Time),
			copies: make(map[string]*modelCopies),
		}
		p.services[name] = s
	}
	return s
}

func compareID(e *engine, id string) int { return cmp.Compare(e.id, id) }

func (s *service) add(e *engine) {
	i, _ := slices.BinarySearchFunc(s.engines, e.id, compareID)
	s.engines = slices.Insert(s.engines, i, e)
}

func (s *service) remove(e *engine) {
	if e.pending != nil {
		e.dropPending()
	}
	if i, found := slices.BinarySearchFunc(s.engines, e.id, compareID); found {
		s.engines = slices.Delete(s.engines, i, i+1)
	}
}

// setSpec sets the description of the engines.
func (s *service) setSpec(spec *topo.EngineSpec) {
	if s.spec == spec {
		return
	}
	s.spec = spec
	s.modelNames = slices.Sorted(maps.Keys(spec.Models))
	s.minSizeMB = math.Inf(1)
	for _, m := range spec.Models {
		s.minSizeMB = min(s.minSizeMB, m.SizeMB)
	}
}

func (s *service) recordDemand(now time.Time, model string, requests int, work time.Duration) {
	d := s.demand[model]
	if d == nil {
		d = &demand{}
		s.demand[model] = d
	}
	d.add(now, requests, work)
}

func (s *service) demandRate(now time.Time, model string) float64 {
	d := s.demand[model]
	if d == nil {
		return 0
	}
	return d.rate(now)
}

func (s *service) requestRate(now time.Time, model string) float64 {
	d := s.demand[model]
	if d == nil {
		return 0
	}
	return d.requestRate(now)
}

// missed reports whether requests are waiting for a model at any engine.
func (s *service) missed(now time.Time, model string) bool {
	if len(s.misses) == 0 {
		return false
	}
	at, missed := s.misses[Miss{Artifact: Artifact{Model: model}}]
	return missed && now.Sub(at) <= missLifetime
}

// expireMisses removes the misses that were last recorded too long ago.
func (s *service) expireMisses(now time.Time) {
	maps.DeleteFunc(s.misses, func(_ Miss, at time.Time) bool { return now.Sub(at) > missLifetime })
}

// sortedMisses returns the misses in a fixed order.
func (s *service) sortedMisses() []Miss {
	return slices.SortedFunc(maps.Keys(s.misses), func(a, b Miss) int {
		return cmp.Or(
			cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Adapter, b.Adapter),
			cmp.Compare(a.SoftwareVersion, b.SoftwareVersion),
			cmp.Compare(a.Regions, b.Regions),
		)
	})
}

// copiesOf returns the copies of a model as of the last call of countCopies.
func (s *service) copiesOf(model string) *modelCopies {
	c := s.copies[model]
	if c == nil {
		c = &modelCopies{}
		s.copies[model] = c
	}
	return c
}

// countCopies counts the copies of all models.
func (s *service) countCopies() {
	for _, c := range s.copies {
		*c = modelCopies{holders: c.holders[:0]}
	}
	for _, e := range s.engines {
		for model := range e.models {
			c := s.copiesOf(model)
			c.holders = append(c.holders, e)
			if !e.usable() {
				continue
			}
			weights := Artifact{Model: model}
			pending := e.hasPendingOrder(weights)
			if !pending {
				c.serving++
			}
			if !pending || e.pending.order.Load {
				c.total++
				c.limited += boolToInt(e.limited)
			}
		}
	}
}

// firstCopy reports whether a usable engine that can run the requests of a miss holds or is
// loading its model. If none holds it, it returns when the first load is expected to finish.
func (s *service) firstCopy(m Miss) (loadedAt time.Time, found bool) {
	for _, e := range s.copiesOf(m.Model).holders {
		if !m.helpedBy(e) || !e.keeps(m.Model) {
			continue
		}
		if !e.loading(Artifact{Model: m.Model}) {
			return time.Time{}, true
		}
		if !found || e.pending.expectedAt.Before(loadedAt) {
			loadedAt, found = e.pending.expectedAt, true
		}
	}
	return loadedAt, found
}

// invalidateLoads must be called when the expected end of an order changes.
func (s *service) invalidateLoads(o Order) {
	if o.Load && o.Adapter == "" {
		s.etas = nil
		s.loadRevision++
	}
}

// loadETAs returns when the first load of each model at a usable engine is expected to
// finish.
func (s *service) loadETAs() map[Load]time.Time {
	if s.etas != nil {
		return s.etas
	}
	s.etas = make(map[Load]time.Time)
	for _, e := range s.engines {
		if !e.usable() || e.pending == nil || !e.pending.order.Load || e.pending.order.Adapter != "" {
			continue
		}
		load := Load{
			Model:           e.pending.order.Model,
			SoftwareVersion: e.softwareVersion,
			Region:          e.region,
		}
		if eta, ok := s.etas[load]; !ok || e.pending.expectedAt.Before(eta) {
			s.etas[load] = e.pending.expectedAt
		}
	}
	return s.etas
}
