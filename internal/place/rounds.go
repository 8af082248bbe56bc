package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// replaceOldVersions replaces old versions of listed models. It loads the
// listed version beside the old one where there is room, and unloads the old
// one as soon as another worker, or the same one, retains the listed one.
func (r *round) replaceOldVersions() {
	for i := range r.workers {
		w := &r.workers[i]
		for _, h := range slices.Clone(w.Holdings) {
			m, listed := r.models[h.Model]
			if !listed || h.Adapter != "" || h.Version == m.Version || !h.Retained {
				continue
			}
			current := m.currentArtifact(h.Model)
			if w.holding(current) == nil && w.FreeBytes >= m.Bytes && r.load(w, current, m.Bytes) {
				continue
			}
			if holding := w.holding(current); holding != nil && !holding.Ready {
				continue
			}
			r.unloadIfRetained(w, h.Artifact, m.Version)
		}
	}
}

// loadAdapters loads adapters on the holders of their models: each adapter on
// minAdapterReplicas holders, and on all if there is demand for it.
func (r *round) loadAdapters() {
	holdersByModel := currentHolders(r.workers, r.models)
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		m := r.models[name]
		holders := holdersByModel[name]
		for _, adapter := range slices.Sorted(maps.Keys(m.Adapters)) {
			count := min(minAdapterReplicas, len(holders))
			if r.demand.Rate(name, adapter) > 0 {
				count = len(holders)
			}
			r.loadAdapter(holders[:count], Artifact{
				Model:   name,
				Version: m.Version,
				Adapter: adapter,
			}, m.Adapters[adapter])
		}
	}
}

// minAdapterReplicas is the number of holders on which an adapter is loaded
// even without demand for it.
const minAdapterReplicas = 2

func (r *round) loadAdapter(holders []*Worker, a Artifact, bytes int64) {
	for _, w := range holders {
		if base := w.holding(a.Base()); base.Retained && w.holding(a) == nil && w.FreeBytes >= bytes {
			r.load(w, a, bytes)
		}
	}
}

// candidate is a replica that could be added, and the replicas to unload for
// it.
type candidate struct {
	worker   *Worker
	artifact Artifact
	bytes    int64
	victims  []Holding
	gain     float64
}

// deferredLoad is a load that waits for the unloads that make room for it.
type deferredLoad struct {
	host       string
	artifact   Artifact
	bytes      int64
	deferredAt time.Time
	// victims are the replicas to unload.
	victims []Holding
}

const (
	// deferredLoadTimeout bounds how long a load waits for room.
	deferredLoadTimeout = 30 * time.Second
	// unloadStartTimeout bounds how long an unload may take to start. If the
	// replica is still retained after that, the unload was refused or lost.
	unloadStartTimeout = 5 * time.Second
)

// deferLoad unloads a candidate's victims and records the load to start after
// that.
func (r *round) deferLoad(c *candidate) {
	for _, h := range c.victims {
		r.unloadIfRetained(c.worker, h.Artifact, r.models[h.Model].Version, h.Version)
	}
	r.deferredLoads[c.artifact.Model] = deferredLoad{
		host:       c.worker.Host,
		artifact:   c.artifact,
		bytes:      c.bytes,
		deferredAt: r.now,
		victims:    c.victims,
	}
	c.worker.FreeBytes -= c.bytes
	c.worker.Holdings = append(c.worker.Holdings, Holding{
		Artifact: c.artifact,
		Bytes:    c.bytes,
	})
}

// isObsolete reports whether a deferred load is no longer needed or will not
// get its room.
func (d *deferredLoad) isObsolete(now time.Time, w *Worker) bool {
	waited := now.Sub(d.deferredAt)
	if waited > deferredLoadTimeout || w.holding(d.artifact) != nil {
		return true
	}
	return waited > unloadStartTimeout && slices.ContainsFunc(d.victims, func(h Holding) bool {
		holding := w.holding(h.Artifact)
		return holding != nil && holding.Retained
	})
}

// startDeferredLoads starts the deferred loads that have room now and reserves
// memory for the others.
func (r *round) startDeferredLoads() {
	for _, name := range slices.Sorted(maps.Keys(r.deferredLoads)) {
		d := r.deferredLoads[name]
		i := slices.IndexFunc(r.workers, func(w Worker) bool { return w.Host == d.host })
		if i < 0 || r.models[name].Version != d.artifact.Version || d.isObsolete(r.now, &r.workers[i]) {
			delete(r.deferredLoads, name)
			continue
		}
		w := &r.workers[i]
		if w.FreeBytes >= d.bytes && r.load(w, d.artifact, d.bytes) {
			delete(r.deferredLoads, name)
			continue
		}
		w.FreeBytes -= d.bytes
		w.Holdings = append(w.Holdings, Holding{
			Artifact: d.artifact,
			Bytes:    d.bytes,
		})
	}
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
	savedHoldings, savedFree := w.Holdings, w.FreeBytes
	defer func() { w.Holdings, w.FreeBytes = savedHoldings, savedFree }()
	w.Holdings = slices.DeleteFunc(slices.Clone(savedHoldings), func(h Holding) bool {
		return slices.ContainsFunc(victims, func(v Holding) bool { return v.Artifact == h.Artifact })
	})
	w.Holdings = append(w.Holdings, Holding{
		Artifact: c.artifact,
	})
	after, _ := estimateUtilization(r.workers, r.models, r.rate)
	c.gain = r.overload(util) - r.overload(after)
	if c.gain > 0 && !r.heldInSameZone(c.artifact, w) {
		c.gain += zoneBonus
	}
	return c
}

// heldInSameZone reports whether another worker in the zone of w holds an
// artifact.
func (r *round) heldInSameZone(a Artifact, w *Worker) bool {
	return slices.ContainsFunc(workersHolding(r.workers, a), func(h *Worker) bool {
		return h.Host != w.Host && h.Zone == w.Zone
	})
}

// addSecondReplicas uses free memory for a second replica of models that have
// one, in another zone if possible, so that the failure of one endpoint makes
// no model unavailable.
func (r *round) addSecondReplicas() {
	if len(r.absent) > 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(r.models), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.rate(b), r.rate(a)), cmp.Compare(a, b))
	})
	holdersByModel := currentHolders(r.workers, r.models)
	for _, name := range names {
		m := r.models[name]
		holders := holdersByModel[name]
		if len(holders) != 1 || r.now.Sub(r.firstSeen(holders[0], m.currentArtifact(name))) < secondReplicaDelay {
			continue
		}
		if w := r.workerForSecondReplica(m.Bytes, holders[0]); w != nil {
			r.load(w, m.currentArtifact(name), m.Bytes)
		}
	}
}

// secondReplicaDelay is the minimum age of a model's only replica before a
// second one is loaded.
const secondReplicaDelay = 5 * time.Second

// firstSeen returns when a replica was first seen, loading or ready.
func (r *round) firstSeen(w *Worker, a Artifact) time.Time {
	return r.firstSeenAt[replica{
		host:     w.Host,
		artifact: a,
	}]
}

// workerForSecondReplica returns the worker with the most free memory,
// preferring zones other than that of the worker which holds the first replica;
// nil if none has room.
func (r *round) workerForSecondReplica(bytes int64, first *Worker) *Worker {
	var best *Worker
	for i := range r.workers {
		w := &r.workers[i]
		if w.FreeBytes < bytes || w.Host == first.Host {
			continue
		}
		if best == nil || isBetterPlace(best, w, first.Zone) {
			best = w
		}
	}
	return best
}

// isBetterPlace reports whether w is a better place than best for a second
// replica if the first one is in zone.
func isBetterPlace(best, w *Worker, zone string) bool {
	if (best.Zone == zone) != (w.Zone == zone) {
		return best.Zone == zone
	}
	return w.FreeBytes > best.FreeBytes
}
