package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Holding is an artifact that an engine holds or is loading.
type Holding struct {
	Artifact
	Bytes int64
	Ready bool
	// Retained is set if the artifact is ready and not about to be unloaded.
	Retained bool
}

// Worker is the planner's view of an engine.
type Worker struct {
	Host      string
	Zone      string
	FreeBytes int64
	Holdings  []Holding
	// TokensPerSecond is the rate that the engine can serve.
	TokensPerSecond float64
}

// Model is a model that the configuration lists. Adapters maps the names of its
// adapters to their sizes in bytes.
type Model struct {
	Version  string
	Bytes    int64
	Adapters map[string]int64
}

// holding returns the worker's holding of an artifact, nil if it has none.
func (w *Worker) holding(a Artifact) *Holding {
	for i := range w.Holdings {
		if w.Holdings[i].Artifact == a {
			return &w.Holdings[i]
		}
	}
	return nil
}

// reserve takes the memory of an artifact that is to be loaded and counts it as held.
func (w *Worker) reserve(a Artifact, bytes int64) {
	w.FreeBytes -= bytes
	w.Holdings = append(w.Holdings, Holding{
		Artifact: a,
		Bytes:    bytes,
	})
}

// workersHolding returns the workers that hold an artifact or are loading it.
func workersHolding(workers []Worker, a Artifact) []*Worker {
	var list []*Worker
	for i := range workers {
		if workers[i].holding(a) != nil {
			list = append(list, &workers[i])
		}
	}
	return list
}

// currentArtifact returns the artifact of the model's listed version.
func (m *Model) currentArtifact(name string) Artifact {
	return Artifact{
		Model:   name,
		Version: m.Version,
	}
}

// currentHolders returns the workers that hold, or are loading, the listed
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

// demandParts is the number of equal parts in which a model's demand is
// assigned to its holders.
const demandParts = 8

// estimateUtilization returns the expected utilization of each worker if calls
// are routed to the least utilized holder, in total and by artifact.
func estimateUtilization(
	workers []Worker, models map[string]Model, rate func(string) float64,
) (utilization, map[Artifact]utilization) {
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

// utilization is the share of its capacity that each worker uses, by host.
type utilization map[string]float64

// leastUtilized returns the worker with the lowest utilization, nil if there
// are no workers.
func leastUtilized(workers []*Worker, util utilization) *Worker {
	var best *Worker
	for _, w := range workers {
		if best == nil || util[w.Host] < util[best.Host] {
			best = w
		}
	}
	return best
}
