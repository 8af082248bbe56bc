package place

import (
	"cmp"
	"slices"
	"time"
)

// leastUtilizedWithRoom returns the least utilized worker that has bytes free,
// nil if there is none.
func (r *round) leastUtilizedWithRoom(bytes int64) *Worker {
	util, _ := estimateUtilization(r.workers, r.models, r.rate)
	var best *Worker
	for i := range r.workers {
		w := &r.workers[i]
		if w.FreeBytes < bytes {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(util[w.Host], util[best.Host]), cmp.Compare(best.FreeBytes, w.FreeBytes)) < 0 {
			best = w
		}
	}
	return best
}

// makeRoom unloads surplus replicas to make room for an artifact, at the worker
// where the fewest have to go.
func (r *round) makeRoom(a Artifact, bytes int64) {
	var best *candidate
	for i := range r.workers {
		w := &r.workers[i]
		victims, ok := r.findVictims(w, bytes, 0)
		if ok && (best == nil || len(victims) < len(best.victims)) {
			best = &candidate{
				worker:   w,
				artifact: a,
				bytes:    bytes,
				victims:  victims,
			}
		}
	}
	if best != nil {
		r.deferLoad(best)
	}
}

// findVictims returns the replicas to unload at a worker to free the given
// bytes, those of the least demand first; ok is false if that is not possible.
// Replicas first seen less than residency ago stay.
func (r *round) findVictims(w *Worker, bytes int64, residency time.Duration) (victims []Holding, ok bool) {
	candidates := slices.DeleteFunc(slices.Clone(w.Holdings), func(h Holding) bool {
		recent := r.now.Sub(r.firstSeen(w, h.Artifact)) < residency
		return recent || h.Adapter != "" || !h.Retained || !r.isSurplus(w, h.Artifact)
	})
	slices.SortFunc(candidates, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(r.demandPerReplica(a.Model), r.demandPerReplica(b.Model)), compareArtifacts(a.Artifact, b.Artifact))
	})
	free := w.FreeBytes
	for _, h := range candidates {
		if free >= bytes {
			break
		}
		free += h.Bytes
		victims = append(victims, h)
	}
	return victims, free >= bytes
}

// demandPerReplica returns a model's demand for each replica that is left if
// one is unloaded.
func (r *round) demandPerReplica(model string) float64 {
	m := r.models[model]
	return r.rate(model) / float64(max(1, len(workersHolding(r.workers, m.currentArtifact(model)))-1))
}

// isSurplus reports whether a replica can be unloaded, because the model is
// retained in its listed version, or on another worker in the replica's
// version.
func (r *round) isSurplus(w *Worker, a Artifact) bool {
	m, listed := r.models[a.Model]
	return listed && (r.findKeeper(w, a, m.Version) != nil || r.findKeeper(w, a, a.Version) != nil)
}

// findKeeper returns a worker that retains an artifact in a version, with all
// adapters that would be unloaded with it, nil if there is none. It may be the
// same worker if the version is another one.
func (r *round) findKeeper(w *Worker, a Artifact, version string) *Worker {
	for i := range r.workers {
		keeper := &r.workers[i]
		if (keeper.Host != w.Host || a.Version != version) && keeper.retainsAll(w, a, version) {
			return keeper
		}
	}
	return nil
}

// retainsAll reports whether a worker retains, in a version, everything that
// another one would unload with an artifact.
func (w *Worker) retainsAll(unloader *Worker, a Artifact, version string) bool {
	for _, h := range unloader.Holdings {
		if h.Artifact != a && (a.Adapter != "" || h.Base() != a) {
			continue
		}
		needed := h.Artifact
		needed.Version = version
		if holding := w.holding(needed); holding == nil || !holding.Retained {
			return false
		}
	}
	return true
}

// unloadIfRetained unloads an artifact if a worker retains it in one of the
// versions, tried in this order.
func (r *round) unloadIfRetained(w *Worker, a Artifact, versions ...string) {
	for _, version := range versions {
		if keeper := r.findKeeper(w, a, version); keeper != nil {
			r.unload(w, a, keeper.Host, version)
			return
		}
	}
}
