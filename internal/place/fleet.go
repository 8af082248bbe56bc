package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Holding is a copy that an engine holds or is loading.
type Holding struct {
	Artifact
	Bytes int64
	Ready bool
	// Retained says that the copy is ready and not about to be unloaded.
	Retained bool
}

// Worker is an engine as the planner sees it.
type Worker struct {
	Host      string
	Zone      string
	FreeBytes int64
	Holdings  []Holding
	// TokensPerSecond is what the engine can serve.
	TokensPerSecond float64
}

// Model is a listed model.
type Model struct {
	Version  string
	Bytes    int64
	Adapters map[string]int64
}

// holding returns the worker's copy, nil if it has none.
func (w *Worker) holding(a Artifact) *Holding {
	for i := range w.Holdings {
		if w.Holdings[i].Artifact == a {
			return &w.Holdings[i]
		}
	}
	return nil
}

// workersHolding returns the workers that hold a copy or are loading it.
func workersHolding(workers []Worker, a Artifact) []*Worker {
	var list []*Worker
	for i := range workers {
		if workers[i].holding(a) != nil {
			list = append(list, &workers[i])
		}
	}
	return list
}

// currentArtifact returns the copy that callers of a model get.
func (m *Model) currentArtifact(name string) Artifact {
	return Artifact{
		Model:   name,
		Version: m.Version,
	}
}

// currentHolders returns the workers that hold, or are loading, the current
// version of each model.
func currentHolders(workers []Worker, models map[string]Model) map[string][]*Worker {
	holdersByModel := make(map[string][]*Worker)
	for i := range workers {
		for _, h := range workers[i].Holdings {
			if m, listed := models[h.Model]; listed && h.Artifact == m.currentArtifact(h.Model) {
				holdersByModel[h.Model] = append(holdersByModel[h.Model], &workers[i])
			}
		}
	}
	return holdersByModel
}

// demandParts is into how many parts a model's demand is split between holders.
const demandParts = 8

// estimateUtilization returns the share of its capacity that each worker is expected to
// use, when calls go to the least used holder, and each model's part of it.
func estimateUtilization(workers []Worker, models map[string]Model, rate func(string) float64) (utilization, map[Artifact]utilization) {
	total := make(utilization)
	byArtifact := make(map[Artifact]utilization)
	holdersByModel := currentHolders(workers, models)
	names := slices.SortedFunc(maps.Keys(models), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(holdersByModel[a]), len(holdersByModel[b])), strings.Compare(a, b))
	})
	for _, name := range names {
		m := models[name]
		share := make(utilization)
		byArtifact[m.currentArtifact(name)] = share
		for range demandParts {
			w := leastUtilized(holdersByModel[name], total)
			if w == nil {
				break
			}
			increase := rate(name) / demandParts / max(1, w.TokensPerSecond)
			total[w.Host] += increase
			share[w.Host] += increase
		}
	}
	return total, byArtifact
}

// utilization is a share of the capacity of each worker, by its host.
type utilization map[string]float64

// leastUtilized returns the worker with the least use, nil if there are none.
func leastUtilized(workers []*Worker, util utilization) *Worker {
	var best *Worker
	for _, w := range workers {
		if best == nil || util[w.Host] < util[best.Host] {
			best = w
		}
	}
	return best
}
