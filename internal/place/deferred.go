package place

import (
	"maps"
	"slices"
	"time"
)

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
	c.worker.reserve(c.artifact, c.bytes)
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
		w.reserve(d.artifact, d.bytes)
	}
}
