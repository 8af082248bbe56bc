package stock

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rankedEngine is an engine with the least that a load from the weight store costs
// there.
type rankedEngine struct {
	engine *engine
	cost   float64
}

// evictionClass ranks the engines for shortages that may evict the same models.
type evictionClass struct {
	ranked []rankedEngine
	// minLoss is the least loss by an eviction at an engine without room.
	minLoss float64
	hasRoom bool
}

// ranking holds the engines of a service that can take an order at the start of a plan.
// Costs only rise in the course of a plan.
type ranking struct {
	// ordinary is for shortages that may evict no last copies, urgent for the others.
	ordinary evictionClass
	urgent   evictionClass
	// cached maps models to the engines that have their weights in memory or on disk.
	cached map[string][]*engine
	// reserved are the engines with a load from the weight store that was counted in
	// advance.
	reserved []*engine
}

// rank returns the ranking of the engines of a service.
func (p *Planner) rank(now time.Time, s *service) *ranking {
	r := &ranking{cached: make(map[string][]*engine)}
	r.ordinary.minLoss = math.Inf(1)
	r.urgent.minLoss = math.Inf(1)
	for _, e := range s.engines {
		if !e.canAcceptOrder() {
			continue
		}
		if !e.reservedAt.IsZero() {
			r.reserved = append(r.reserved, e)
		}
		for model := range e.inMemory {
			r.cached[model] = append(r.cached[model], e)
		}
		for model := range e.onDisk {
			if !e.inMemory[model] {
				r.cached[model] = append(r.cached[model], e)
			}
		}
		hasRoom := e.freeMemory() >= s.minSizeMB
		ordinaryLoss, urgentLoss := p.minLosses(now, s, e)
		cost := e.loadCost(fromStore)
		r.ordinary.add(e, cost, hasRoom, ordinaryLoss)
		r.urgent.add(e, cost, hasRoom, urgentLoss)
	}
	r.ordinary.sort()
	r.urgent.sort()
	return r
}

// minLosses returns the least loss by an eviction from an engine that keeps a copy of
// the model, and by any eviction that is ever allowed. They are infinite if there is none.
func (p *Planner) minLosses(now time.Time, s *service, e *engine) (ordinary, urgent float64) {
	ordinary, urgent = math.Inf(1), math.Inf(1)
	for model := range e.models {
		if now.Sub(e.loadedAt[model]) < p.settings.MinResidency {
			continue
		}
		loss := s.evictionLoss(now, model)
		urgent = min(urgent, loss)
		if s.copiesOf(model).serving > 1 {
			ordinary = min(ordinary, loss)
		}
	}
	return ordinary, urgent
}

func (c *evictionClass) add(e *engine, cost float64, hasRoom bool, loss float64) {
	switch {
	case hasRoom:
		c.hasRoom = true
	case math.IsInf(loss, 1):
		return
	default:
		c.minLoss = min(c.minLoss, loss)
		cost += evictionCost + loss
	}
	c.ranked = append(c.ranked, rankedEngine{
		engine: e,
		cost:   cost,
	})
}

func (c *evictionClass) sort() {
	slices.SortStableFunc(c.ranked, func(a, b rankedEngine) int { return cmp.Compare(a.cost, b.cost) })
}
