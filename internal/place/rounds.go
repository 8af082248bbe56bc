package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// replaceOldVersions replaces old replaceOldVersions of listed models: the new one is loaded beside
// the old one where there is room, and the old one goes as soon as another
// worker, or the same one, keeps the new one.
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
			r.unloadIfKept(w, h.Artifact, m.Version)
		}
	}
}

// loadAdapters loads adapters on the holders of their models: each adapter on two,
// and on all where it is wanted.
func (r *round) loadAdapters() {
	holdersByModel := currentHolders(r.workers, r.models)
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		m := r.models[name]
		holders := holdersByModel[name]
		for _, adapter := range slices.Sorted(maps.Keys(m.Adapters)) {
			wanted := min(minAdapterReplicas, len(holders))
			if r.demand.Rate(name, adapter) > 0 {
				wanted = len(holders)
			}
			r.loadAdapter(holders[:wanted], Artifact{
				Model:   name,
				Version: m.Version,
				Adapter: adapter,
			}, m.Adapters[adapter])
		}
	}
}

// minAdapterReplicas is on how many holders an adapter is that nobody asks for.
const minAdapterReplicas = 2

func (r *round) loadAdapter(holders []*Worker, a Artifact, bytes int64) {
	for _, w := range holders {
		if base := w.holding(a.Base()); base.Retained && w.holding(a) == nil && w.FreeBytes >= bytes {
			r.load(w, a, bytes)
		}
	}
}

// candidate is a copy to add, with what has to go for it.
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
	// victims are the copies that are to go.
	victims []Holding
}

const (
	// deferredLoadTimeout is how long a load waits for room.
	deferredLoadTimeout = 30 * time.Second
	// unloadStartTimeout is how long an unload may take to begin; it was refused or
	// lost if the copy is not being unloaded then.
	unloadStartTimeout = 5 * time.Second
)

// deferLoad unloads copies and notes the load to follow.
func (r *round) deferLoad(c *candidate) {
	for _, h := range c.victims {
		r.unloadIfKept(c.worker, h.Artifact, r.models[h.Model].Version, h.Version)
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

// isObsolete reports whether a swap is over, or will not come about.
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

// startDeferredLoads begins the loads whose room has come free, and keeps the room of the
// others from being used.
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
	// maxHotWorkers, hotModels and coolWorkers bound the changes that are weighed.
	maxHotWorkers  = 3
	maxHotModels   = 3
	maxCoolWorkers = 6
	// zoneBonus is the gain that a copy in a further zone counts for.
	zoneBonus = 0.001
)

// addReplicas adds copies of the models that make an engine hot, if that lowers
// its use by enough to be worth a load.
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

// findCandidate returns a change that is worth a load, nil if there is none.
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

// overload returns the sum of the squares of the use beyond High: what a change
// has to lower to be worth its load.
func (r *round) overload(util utilization) float64 {
	total := 0.0
	for i := range r.workers {
		excess := max(0, util[r.workers[i].Host]-r.settings.HighUtilization)
		total += excess * excess
	}
	return total
}

// bestCandidate returns the change that relieves a worker most, nil if there is
// none.
func (r *round) bestCandidate(hot *Worker, cool []*Worker, util utilization, byArtifact map[Artifact]utilization) *candidate {
	models := slices.SortedFunc(maps.Keys(r.models), func(a, b string) int {
		x, y := r.models[a], r.models[b]
		return cmp.Or(
			cmp.Compare(byArtifact[y.currentArtifact(b)][hot.Host], byArtifact[x.currentArtifact(a)][hot.Host]),
			cmp.Compare(a, b),
		)
	})
	var best *candidate
	for _, name := range models[:min(maxHotModels, len(models))] {
		for _, w := range cool {
			c := r.evaluate(hot, w, name, util)
			if c != nil && (best == nil || c.gain > best.gain) {
				best = c
			}
		}
	}
	return best
}

// sortByUtilization returns the workers, the least used first.
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

// evaluate returns what a copy of a model at a worker would bring, nil if it can't
// be had.
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

// heldInSameZone reports whether another worker in a worker's zone holds a copy.
func (r *round) heldInSameZone(a Artifact, w *Worker) bool {
	return slices.ContainsFunc(workersHolding(r.workers, a), func(h *Worker) bool {
		return h.Host != w.Host && h.Zone == w.Zone
	})
}

// addSecondReplicas uses memory that is free for a addSecondReplicas copy of the models that have
// one, in another zone if possible, so that no endpoint's death takes a model
// away.
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

// secondReplicaDelay is how long a model has one copy before it gets another one.
const secondReplicaDelay = 5 * time.Second

// firstSeen returns when a worker was seen to get a copy.
func (r *round) firstSeen(w *Worker, a Artifact) time.Time {
	return r.firstSeenAt[replica{
		host:     w.Host,
		artifact: a,
	}]
}

// workerForSecondReplica returns the worker with the most free memory, preferring zones other
// than that of the worker which holds the first copy; nil if none has room.
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

// isBetterPlace reports whether b is a better place for a second copy than a.
func isBetterPlace(best, w *Worker, zone string) bool {
	if (best.Zone == zone) != (w.Zone == zone) {
		return best.Zone == zone
	}
	return w.FreeBytes > best.FreeBytes
}
