package place

import (
	"maps"
	"slices"
	"time"
)

// Settings are the parameters of a planner.
type Settings struct {
	// FastTimeConstant and SlowTimeConstant are the time constants of the
	// moving averages of demand.
	FastTimeConstant time.Duration
	SlowTimeConstant time.Duration
	// HighUtilization is the utilization of an engine, from 0 to 1, from which
	// replicas are added. MinGain is the minimum reduction of the overload that
	// an added replica must bring. The overload is the sum over all engines of
	// the square of the utilization in excess of HighUtilization.
	HighUtilization float64
	MinGain         float64
	// MinResidency is the minimum time that a replica is kept before an
	// additional replica of another model may displace it. The first replica of
	// a model may displace it earlier.
	MinResidency time.Duration
	// LoadsPerSecond and MaxLoads are the weight store's rate of loads and its
	// limit on concurrent ones. MaxAdapterLoads is the maximum number of
	// adapters that load at once.
	LoadsPerSecond  float64
	MaxLoads        int
	MaxAdapterLoads int
}

// DefaultSettings returns the settings for a weight store that permits eight
// concurrent loads.
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

// loadBurst is the maximum number of loads that may start at once.
const loadBurst = 4

// PlacementChange is a load or an unload that the planner asks an agent for.
type PlacementChange struct {
	Host string
	Load bool
	Artifact
	Bytes int64
	// Keeper must agree to retain its replica, in the version KeepVersion,
	// before an unload. It is empty for artifacts that are not listed.
	Keeper      string
	KeepVersion string
}

// Planner decides what the engines of one service should hold.
type Planner struct {
	settings Settings
	demand   *Demand
	// firstSeenAt is when each replica was first seen, loading or ready.
	firstSeenAt map[replica]time.Time
	// deferredLoads are the loads that wait for unloads, by model.
	deferredLoads map[string]deferredLoad
	// loadBudget is the number of loads that may start now.
	loadBudget float64
	plannedAt  time.Time
}

// replica is an artifact on a host.
type replica struct {
	host     string
	artifact Artifact
}

// NewPlanner returns a planner without any recorded demand or replicas.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings:      s,
		demand:        NewDemand(s.FastTimeConstant, s.SlowTimeConstant),
		firstSeenAt:   make(map[replica]time.Time),
		deferredLoads: make(map[string]deferredLoad),
		loadBudget:    loadBurst,
	}
}

// RecordTokens adds the tokens of a call, whether or not the call was served.
func (p *Planner) RecordTokens(model, adapter string, tokens float64) {
	p.demand.RecordTokens(model, adapter, tokens)
}

// round is one run of the planner. Its changes are applied to workers, so that
// later ones build on them.
type round struct {
	*Planner
	now     time.Time
	workers []Worker
	models  map[string]Model
	// absent holds the models without a replica of the listed version.
	absent  map[string]bool
	changes []PlacementChange
	// loadingModels and loadingAdapters count the loads in progress.
	loadingModels   int
	loadingAdapters int
}

// Plan returns the changes to make now. Models without a replica have priority.
func (p *Planner) Plan(now time.Time, workers []Worker, models map[string]Model) []PlacementChange {
	p.demand.Advance(now)
	p.addLoadBudget(now)
	r := p.newRound(now, workers, models)
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

// addLoadBudget adds the loads that the weight store permits since the last call.
func (p *Planner) addLoadBudget(now time.Time) {
	if !p.plannedAt.IsZero() {
		p.loadBudget = min(loadBurst, p.loadBudget+now.Sub(p.plannedAt).Seconds()*p.settings.LoadsPerSecond)
	}
	p.plannedAt = now
}

// newRound returns a round that works on its own copy of workers.
func (p *Planner) newRound(now time.Time, workers []Worker, models map[string]Model) *round {
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
	return r
}

// observe records which replicas are new, counts the loads in progress and
// finds the models without a replica.
func (r *round) observe() {
	r.recordFirstSeen()
	r.countLoading()
	holdersByModel := currentHolders(r.workers, r.models)
	for name := range r.models {
		if len(holdersByModel[name]) == 0 {
			r.absent[name] = true
		}
	}
}

// unload adds an unload to the changes. It does not count the memory as free,
// since that takes until a later round.
func (r *round) unload(w *Worker, a Artifact, keeper, keepVersion string) {
	r.changes = append(r.changes, PlacementChange{
		Host:        w.Host,
		Artifact:    a,
		Keeper:      keeper,
		KeepVersion: keepVersion,
	})
	w.Holdings = slices.DeleteFunc(w.Holdings, func(h Holding) bool { return h.Artifact == a || h.Base() == a })
}

// recordFirstSeen records which replicas are new, and forgets those that are gone.
func (r *round) recordFirstSeen() {
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
		}
	}
	maps.DeleteFunc(r.firstSeenAt, func(key replica, _ time.Time) bool { return !seen[key] })
}

// countLoading counts the loads in progress.
func (r *round) countLoading() {
	for _, w := range r.workers {
		for _, h := range w.Holdings {
			switch {
			case h.Ready:
			case h.Adapter == "":
				r.loadingModels++
			default:
				r.loadingAdapters++
			}
		}
	}
}

// load adds a load to the changes if the limits on loads permit it, and reports
// whether they do.
func (r *round) load(w *Worker, a Artifact, bytes int64) bool {
	if !r.countLoad(a) {
		return false
	}
	r.changes = append(r.changes, PlacementChange{
		Host:     w.Host,
		Load:     true,
		Artifact: a,
		Bytes:    bytes,
	})
	w.reserve(a, bytes)
	return true
}

// countLoad counts the start of a load if the limits on loads permit it, and reports
// whether they do.
func (r *round) countLoad(a Artifact) bool {
	switch {
	case a.Adapter != "" && r.loadingAdapters >= r.settings.MaxAdapterLoads:
		return false
	case a.Adapter != "":
		r.loadingAdapters++
	case r.loadBudget < 1 || r.loadingModels >= r.settings.MaxLoads:
		return false
	default:
		r.loadBudget--
		r.loadingModels++
	}
	return true
}

// rate returns the demand for a model in tokens per second.
func (r *round) rate(model string) float64 { return r.demand.Rate(model, "") }

// firstSeen returns when a replica was first seen, loading or ready.
func (r *round) firstSeen(w *Worker, a Artifact) time.Time {
	return r.firstSeenAt[replica{
		host:     w.Host,
		artifact: a,
	}]
}
