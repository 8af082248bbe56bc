package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Settings are the constants of a planner.
type Settings struct {
	// FastTimeConstant and Slow are the time constants of the averages of demand.
	FastTimeConstant time.Duration
	SlowTimeConstant time.Duration
	// HighUtilization is the use of an engine, from 0 to 1, from which copies are added,
	// Gain the least reduction of the strain that a copy must bring. Strain is
	// the sum of the squares of all uses beyond HighUtilization.
	HighUtilization float64
	MinGain         float64
	// MinResidency is how long a copy stays at least.
	MinResidency time.Duration
	// LoadsPerSecond and Loads are the weight store's rate and slots,
	// AdapterLoads how many adapters may be loading at once.
	LoadsPerSecond  float64
	MaxLoads        int
	MaxAdapterLoads int
}

// DefaultSettings returns the settings for a weight store of eight slots.
func DefaultSettings() Settings {
	return Settings{
		FastTimeConstant: 3 * time.Second,
		SlowTimeConstant: 8 * time.Second,
		HighUtilization:  0.3,
		MinGain:          0.04,
		MinResidency:     20 * time.Second,
		LoadsPerSecond:   1,
		MaxLoads:         8,
		MaxAdapterLoads:  64,
	}
}

// loadBurst is how many loads may begin at once.
const loadBurst = 4

// PlacementChange is an order to one agent that the planner wishes for.
type PlacementChange struct {
	Host string
	Load bool
	Artifact
	Bytes int64
	// Keeper must promise to keep its copy, in the version Keep, before an
	// unload; it is empty for copies that are not listed.
	Keeper      string
	KeepVersion string
}

// Planner decides what the engines of one service ought to hold.
type Planner struct {
	settings Settings
	demand   *Demand
	// firstSeenAt says when a worker was seen to get a copy.
	firstSeenAt map[replica]time.Time
	// deferredLoads are the loads that wait for unloads, by model.
	deferredLoads map[string]deferredLoad
	// loadBudget is how many loads may begin now.
	loadBudget float64
	plannedAt  time.Time
}

// replica is a copy at a worker.
type replica struct {
	host     string
	artifact Artifact
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings:      s,
		demand:        NewDemand(s.FastTimeConstant, s.SlowTimeConstant),
		firstSeenAt:   make(map[replica]time.Time),
		deferredLoads: make(map[string]deferredLoad),
		loadBudget:    loadBurst,
	}
}

// RecordTokens counts the tokens of a call, whether it was served or not.
func (p *Planner) RecordTokens(model, adapter string, tokens float64) {
	p.demand.RecordTokens(model, adapter, tokens)
}

// round is one run of the planner. Its moves are taken as done in workers, so
// that later ones build on them.
type round struct {
	*Planner
	now     time.Time
	workers []Worker
	models  map[string]Model
	// absent holds the models that have no copy.
	absent        map[string]bool
	changes       []PlacementChange
	loadingModels int
	// loadingAdapters counts the loadingAdapters that are loading.
	loadingAdapters int
}

// Plan returns the moves to make now. Models without a copy come first.
func (p *Planner) Plan(now time.Time, workers []Worker, models map[string]Model) []PlacementChange {
	p.demand.Advance(now)
	if !p.plannedAt.IsZero() {
		p.loadBudget = min(loadBurst, p.loadBudget+now.Sub(p.plannedAt).Seconds()*p.settings.LoadsPerSecond)
	}
	p.plannedAt = now
	r := &round{
		Planner: p,
		now:     now,
		models:  models,
		absent:  make(map[string]bool),
	}
	for _, w := range workers {
		w.Holdings = slices.Clone(w.Holdings)
		r.workers = append(r.workers, w)
	}
	r.observe()
	r.unloadUnlisted()
	r.startDeferredLoads()
	r.loadMissing()
	r.replaceOldVersions()
	r.loadAdapters()
	r.addReplicas()
	r.addSecondReplicas()
	return r.changes
}

// observe notes what is loading, what is absent and since when copies are there.
func (r *round) observe() {
	seen := make(map[replica]bool)
	for _, w := range r.workers {
		for _, h := range w.Holdings {
			key := replica{
				host:     w.Host,
				artifact: h.Artifact,
			}
			seen[key] = true
			if _, known := r.firstSeenAt[key]; !known {
				r.firstSeenAt[key] = r.now
			}
			switch {
			case h.Ready:
			case h.Adapter == "":
				r.loadingModels++
			default:
				r.loadingAdapters++
			}
		}
	}
	maps.DeleteFunc(r.firstSeenAt, func(key replica, _ time.Time) bool { return !seen[key] })
	holdersByModel := currentHolders(r.workers, r.models)
	for name := range r.models {
		if len(holdersByModel[name]) == 0 {
			r.absent[name] = true
		}
	}
}

// unloadUnlisted unloads what the text does not list any more.
func (r *round) unloadUnlisted() {
	for i := range r.workers {
		w := &r.workers[i]
		for _, h := range slices.Clone(w.Holdings) {
			m, listed := r.models[h.Model]
			if listed && h.Adapter != "" {
				_, listed = m.Adapters[h.Adapter]
			}
			if !listed && h.Retained {
				r.unload(w, h.Artifact, "", "")
			}
		}
	}
}

// loadMissing loads the models that have no copy, the most wanted first.
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

// leastUtilizedWithRoom returns the least used worker with room, nil if there is none.
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

// makeRoom unloads surplus copies at the worker that needs to lose the fewest.
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

// findVictims returns the copies to unload at a worker so that bytes become free,
// the least wanted first; ok is false if that can't be had. Copies that came
// less than residency ago stay.
func (r *round) findVictims(w *Worker, bytes int64, residency time.Duration) (victims []Holding, ok bool) {
	candidates := slices.DeleteFunc(slices.Clone(w.Holdings), func(h Holding) bool {
		recent := r.now.Sub(r.firstSeenAt[replica{
			host:     w.Host,
			artifact: h.Artifact,
		}]) < residency
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

// demandPerReplica returns a model's demand for each of the copies that would be left
// if one went.
func (r *round) demandPerReplica(model string) float64 {
	m := r.models[model]
	return r.rate(model) / float64(max(1, len(workersHolding(r.workers, m.currentArtifact(model)))-1))
}

// isSurplus reports whether a copy can go: another worker keeps the model in its
// current version, or in the same old one.
func (r *round) isSurplus(w *Worker, a Artifact) bool {
	m, listed := r.models[a.Model]
	return listed && (r.findKeeper(w, a, m.Version) != nil || r.findKeeper(w, a, a.Version) != nil)
}

// findKeeper returns a worker that keeps a copy's model in a version, with all
// adapters that would go, nil if there is none. It may be the same worker if
// the version is another one.
func (r *round) findKeeper(w *Worker, a Artifact, version string) *Worker {
	for i := range r.workers {
		k := &r.workers[i]
		if (k.Host != w.Host || a.Version != version) && k.retainsAll(w, a, version) {
			return k
		}
	}
	return nil
}

// retainsAll reports whether a worker has, in a version, all that another one would
// drop with a copy.
func (w *Worker) retainsAll(unloader *Worker, a Artifact, version string) bool {
	for _, h := range unloader.Holdings {
		if h.Artifact != a && (a.Adapter != "" || h.Base() != a) {
			continue
		}
		wanted := h.Artifact
		wanted.Version = version
		if holding := w.holding(wanted); holding == nil || !holding.Retained {
			return false
		}
	}
	return true
}

// unloadIfKept unloads a copy if a worker keeps the model in one of some versions.
func (r *round) unloadIfKept(w *Worker, a Artifact, versions ...string) {
	for _, version := range versions {
		if k := r.findKeeper(w, a, version); k != nil {
			r.unload(w, a, k.Host, version)
			return
		}
	}
}

// unload adds a move. The memory becomes free only later.
func (r *round) unload(w *Worker, a Artifact, keeper, keepVersion string) {
	r.changes = append(r.changes, PlacementChange{
		Host:        w.Host,
		Artifact:    a,
		Keeper:      keeper,
		KeepVersion: keepVersion,
	})
	w.Holdings = slices.DeleteFunc(w.Holdings, func(h Holding) bool { return h.Artifact == a || h.Base() == a })
}

// load adds a move if the weight store has room for it.
func (r *round) load(w *Worker, a Artifact, bytes int64) bool {
	if a.Adapter == "" {
		if r.loadBudget < 1 || r.loadingModels >= r.settings.MaxLoads {
			return false
		}
		r.loadBudget--
		r.loadingModels++
	} else {
		if r.loadingAdapters >= r.settings.MaxAdapterLoads {
			return false
		}
		r.loadingAdapters++
	}
	r.changes = append(r.changes, PlacementChange{
		Host:     w.Host,
		Load:     true,
		Artifact: a,
		Bytes:    bytes,
	})
	w.FreeBytes -= bytes
	w.Holdings = append(w.Holdings, Holding{
		Artifact: a,
		Bytes:    bytes,
	})
	return true
}

// rate returns the demand for a model.
func (r *round) rate(model string) float64 { return r.demand.Rate(model, "") }
