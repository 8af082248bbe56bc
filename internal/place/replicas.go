package place

import (
	"cmp"
	"maps"
	"slices"
)

// candidate is a replica that could be added, and the replicas to unload for
// it.
type candidate struct {
	worker   *Worker
	artifact Artifact
	bytes    int64
	victims  []Holding
	gain     float64
}

const (
	// maxHotWorkers, maxHotModels and maxCoolWorkers bound the number of
	// candidates that are evaluated.
	maxHotWorkers  = 3
	maxHotModels   = 3
	maxCoolWorkers = 6
	// zoneBonus is the additional gain of a replica in a zone that has none
	// yet.
	zoneBonus = 0.001
)

// addReplicas adds replicas of the models that cause high utilization of an
// engine, if they reduce the overload by enough to justify a load.
func (r *round) addReplicas() {
	for r.loadBudget >= 1 && r.loadingModels+len(r.deferredLoads) < r.settings.MaxLoads {
		best := r.findCandidate()
		if best == nil {
			return
		}
		if len(best.victims) > 0 {
			r.deferLoad(best)
		} else if !r.load(best.worker, best.artifact, best.bytes) {
			return
		}
	}
}

// findCandidate returns a candidate that justifies a load, nil if there is
// none.
func (r *round) findCandidate() *candidate {
	util, byArtifact := estimateUtilization(r.workers, r.models, r.rate)
	sorted := r.sortByUtilization(util)
	for i := range min(maxHotWorkers, len(sorted)) {
		hot := sorted[len(sorted)-1-i]
		if util[hot.Host] < r.settings.HighUtilization {
			return nil
		}
		best := r.bestCandidate(hot, sorted[:min(maxCoolWorkers, len(sorted))], util, byArtifact)
		if best != nil && best.gain >= r.settings.MinGain {
			return best
		}
	}
	return nil
}

// overload returns the sum over all workers of the square of the utilization in
// excess of HighUtilization. A candidate must reduce it to justify a load.
func (r *round) overload(util utilization) float64 {
	total := 0.0
	for i := range r.workers {
		excess := max(0, util[r.workers[i].Host]-r.settings.HighUtilization)
		total += excess * excess
	}
	return total
}

// bestCandidate returns the candidate with the largest gain among those that
// relieve a hot worker, nil if there is none.
func (r *round) bestCandidate(hot *Worker, cool []*Worker, util utilization, byArtifact map[Artifact]utilization) *candidate {
	names := slices.SortedFunc(maps.Keys(r.models), func(a, b string) int {
		x, y := r.models[a], r.models[b]
		return cmp.Or(
			cmp.Compare(byArtifact[y.currentArtifact(b)][hot.Host], byArtifact[x.currentArtifact(a)][hot.Host]),
			cmp.Compare(a, b),
		)
	})
	var best *candidate
	for _, name := range names[:min(maxHotModels, len(names))] {
		for _, w := range cool {
			c := r.evaluate(hot, w, name, util)
			if c != nil && (best == nil || c.gain > best.gain) {
				best = c
			}
		}
	}
	return best
}

// sortByUtilization returns the workers in order of increasing utilization.
func (r *round) sortByUtilization(util utilization) []*Worker {
	list := make([]*Worker, 0, len(r.workers))
	for i := range r.workers {
		list = append(list, &r.workers[i])
	}
	slices.SortFunc(list, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(util[a.Host], util[b.Host]), cmp.Compare(a.Host, b.Host))
	})
	return list
}

// evaluate returns the candidate for relieving hot by a replica of a model at
// w, with its gain, nil if that is not possible.
func (r *round) evaluate(hot, w *Worker, name string, util utilization) *candidate {
	m := r.models[name]
	c := &candidate{
		worker:   w,
		artifact: m.currentArtifact(name),
		bytes:    m.Bytes,
	}
	if _, deferred := r.deferredLoads[name]; deferred || w.holding(c.artifact) != nil || hot.holding(c.artifact) == nil {
		return nil
	}
	victims, ok := r.findVictims(w, m.Bytes, r.settings.MinResidency)
	if !ok {
		return nil
	}
	c.victims = victims
	c.gain = r.overload(util) - r.overload(r.utilizationAfter(c))
	if c.gain > 0 && !r.heldInSameZone(c.artifact, w) {
		c.gain += zoneBonus
	}
	return c
}

// utilizationAfter returns the expected utilization once a candidate has replaced its
// victims.
func (r *round) utilizationAfter(c *candidate) utilization {
	w, saved := c.worker, c.worker.Holdings
	defer func() { w.Holdings = saved }()
	w.Holdings = slices.DeleteFunc(slices.Clone(saved), func(h Holding) bool {
		return slices.ContainsFunc(c.victims, func(v Holding) bool { return v.Artifact == h.Artifact })
	})
	w.Holdings = append(w.Holdings, Holding{
		Artifact: c.artifact,
	})
	after, _ := estimateUtilization(r.workers, r.models, r.rate)
	return after
}

// heldInSameZone reports whether another worker in the zone of w holds an
// artifact.
func (r *round) heldInSameZone(a Artifact, w *Worker) bool {
	return slices.ContainsFunc(workersHolding(r.workers, a), func(h *Worker) bool {
		return h.Host != w.Host && h.Zone == w.Zone
	})
}
