package stock

import "time"

// planAdapters loads the adapters that requests are waiting for.
func (p *Planner) planAdapters(now time.Time, s *service, plan *Plan) {
	for _, m := range s.sortedMisses() {
		if m.Adapter == "" {
			continue
		}
		if p.placeAdapter(now, s, m, plan) {
			delete(s.misses, m)
		}
	}
}

// placeAdapter loads an adapter at the least busy engine that holds its model, or
// unloads another adapter there to make room. It reports whether an engine holds or
// is loading the adapter.
func (p *Planner) placeAdapter(now time.Time, s *service, m Miss, plan *Plan) bool {
	var free, full *engine
	a := m.Artifact
	for _, e := range s.copiesOf(a.Model).holders {
		if !m.helpedBy(e) {
			continue
		}
		if e.usable() && (e.canServe(a) || e.loading(a)) {
			return true
		}
		spec := e.spec.Models[a.Model]
		if spec == nil || !e.canAcceptOrder() || !e.canServe(Artifact{Model: a.Model}) {
			continue
		}
		if e.adapterCount() < e.spec.AdapterSlots && e.freeMemory() >= spec.AdapterSizeMB {
			if free == nil || e.runningRequests < free.runningRequests {
				free = e
			}
			continue
		}
		_, lastUsed := e.lruAdapter()
		if now.Sub(lastUsed) < p.settings.AdapterIdleTime {
			continue
		}
		if full == nil || e.runningRequests < full.runningRequests {
			full = e
		}
	}
	switch {
	case free != nil:
		size := free.spec.Models[a.Model].AdapterSizeMB
		p.issueOrder(now, free, true, a, adapterLoadBase+time.Duration(size*float64(adapterLoadPerMB)), plan)
		return true
	case full != nil:
		oldest, _ := full.lruAdapter()
		p.issueOrder(now, full, false, oldest, unloadDuration, plan)
	}
	return false
}
