package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Held is a copy that an engine holds or is loading.
type Held struct {
	Copy
	Bytes int64
	Ready bool
	// Staying says that the copy is ready and not about to be unloaded.
	Staying bool
}

// Worker is an engine as the planner sees it.
type Worker struct {
	Host string
	Zone string
	Free int64
	Held []Held
	// TokensPerSecond is what the engine can serve.
	TokensPerSecond float64
}

// Model is a listed model.
type Model struct {
	Version  string
	Bytes    int64
	Adapters map[string]int64
}

// holds returns the worker's copy, nil if it has none.
func (w *Worker) holds(c Copy) *Held {
	for i := range w.Held {
		if w.Held[i].Copy == c {
			return &w.Held[i]
		}
	}
	return nil
}

// holders returns the workers that hold a copy or are loading it.
func holders(workers []Worker, c Copy) []*Worker {
	var list []*Worker
	for i := range workers {
		if workers[i].holds(c) != nil {
			list = append(list, &workers[i])
		}
	}
	return list
}

// current returns the copy that callers of a model get.
func (m *Model) current(name string) Copy {
	return Copy{
		Model:   name,
		Version: m.Version,
	}
}

// currentHolders returns the workers that hold, or are loading, the current
// version of each model.
func currentHolders(workers []Worker, models map[string]Model) map[string][]*Worker {
	on := make(map[string][]*Worker)
	for i := range workers {
		for _, h := range workers[i].Held {
			if m, listed := models[h.Model]; listed && h.Copy == m.current(h.Model) {
				on[h.Model] = append(on[h.Model], &workers[i])
			}
		}
	}
	return on
}

// pieces is into how many parts a model's demand is split between holders.
const pieces = 8

// estimate returns the share of its capacity that each worker is expected to
// use, when calls go to the least used holder, and each model's part of it.
func estimate(workers []Worker, models map[string]Model, rate func(string) float64) (usage, map[Copy]usage) {
	used := make(usage)
	parts := make(map[Copy]usage)
	on := currentHolders(workers, models)
	names := slices.SortedFunc(maps.Keys(models), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(on[a]), len(on[b])), strings.Compare(a, b))
	})
	for _, name := range names {
		m := models[name]
		part := make(usage)
		parts[m.current(name)] = part
		for range pieces {
			w := leastUsed(on[name], used)
			if w == nil {
				break
			}
			add := rate(name) / pieces / max(1, w.TokensPerSecond)
			used[w.Host] += add
			part[w.Host] += add
		}
	}
	return used, parts
}

// usage is a share of the capacity of each worker, by its host.
type usage map[string]float64

// leastUsed returns the worker with the least use, nil if there are none.
func leastUsed(workers []*Worker, used usage) *Worker {
	var best *Worker
	for _, w := range workers {
		if best == nil || used[w.Host] < used[best.Host] {
			best = w
		}
	}
	return best
}
