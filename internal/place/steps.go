package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// unloadUnlisted unloads artifacts that the configuration no longer lists.
func (r *round) unloadUnlisted() {
	for i := range r.workers {
		w := &r.workers[i]
		for _, h := range slices.Clone(w.Holdings) {
			if h.Retained && !r.isListed(h.Artifact) {
				r.unload(w, h.Artifact, "", "")
			}
		}
	}
}

// isListed reports whether the configuration lists an artifact, in any version.
func (r *round) isListed(a Artifact) bool {
	m, listed := r.models[a.Model]
	if listed && a.Adapter != "" {
		_, listed = m.Adapters[a.Adapter]
	}
	return listed
}

// loadMissing loads the models without a replica, in order of decreasing
// demand.
func (r *round) loadMissing() {
	names := slices.SortedFunc(maps.Keys(r.absent), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(r.demand.Rate(b, ""), r.demand.Rate(a, "")),
			cmp.Compare(r.models[b].Bytes, r.models[a].Bytes),
			strings.Compare(a, b),
		)
	})
	for _, name := range names {
		if _, deferred := r.deferredLoads[name]; deferred {
			continue
		}
		m := r.models[name]
		if w := r.leastUtilizedWithRoom(m.Bytes); w != nil {
			r.load(w, m.currentArtifact(name), m.Bytes)
			continue
		}
		r.makeRoom(m.currentArtifact(name), m.Bytes)
	}
}

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

// minAdapterReplicas is the number of holders on which an adapter is loaded
// even without demand for it.
const minAdapterReplicas = 2

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

// loadAdapter loads an adapter on the holders of its model that have room for it.
func (r *round) loadAdapter(holders []*Worker, a Artifact, bytes int64) {
	for _, w := range holders {
		if base := w.holding(a.Base()); base.Retained && w.holding(a) == nil && w.FreeBytes >= bytes {
			r.load(w, a, bytes)
		}
	}
}

// secondReplicaDelay is the minimum age of a model's only replica before a
// second one is loaded.
const secondReplicaDelay = 5 * time.Second

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
