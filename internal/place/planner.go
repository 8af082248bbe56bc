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
	// Fast and Slow are the time constants of the averages of demand.
	Fast time.Duration
	Slow time.Duration
	// High is the use of an engine, from 0 to 1, from which copies are added,
	// Gain the least reduction of the strain that a copy must bring. Strain is
	// the sum of the squares of all uses beyond High.
	High float64
	Gain float64
	// Residency is how long a copy stays at least.
	Residency time.Duration
	// LoadsPerSecond and Loads are the weight store's rate and slots,
	// AdapterLoads how many adapters may be loading at once.
	LoadsPerSecond float64
	Loads          int
	AdapterLoads   int
}

// DefaultSettings returns the settings for a weight store of eight slots.
func DefaultSettings() Settings {
	return Settings{
		Fast:           3 * time.Second,
		Slow:           8 * time.Second,
		High:           0.3,
		Gain:           0.04,
		Residency:      20 * time.Second,
		LoadsPerSecond: 1,
		Loads:          8,
		AdapterLoads:   64,
	}
}

// loadBurst is how many loads may begin at once.
const loadBurst = 4

// Move is an order to one agent that the planner wishes for.
type Move struct {
	Host string
	Load bool
	Copy
	Bytes int64
	// Keeper must promise to keep its copy, in the version Keep, before an
	// unload; it is empty for copies that are not listed.
	Keeper string
	Keep   string
}

// Planner decides what the engines of one service ought to hold.
type Planner struct {
	settings Settings
	demand   *Demand
	// loaded says when a worker was seen to get a copy.
	loaded map[seat]time.Time
	// swaps are the loads that wait for unloads, by model.
	swaps map[string]swap
	// budget is how many loads may begin now.
	budget    float64
	plannedAt time.Time
}

// seat is a copy at a worker.
type seat struct {
	host string
	copy Copy
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s,
		demand:   NewDemand(s.Fast, s.Slow),
		loaded:   make(map[seat]time.Time),
		swaps:    make(map[string]swap),
		budget:   loadBurst,
	}
}

// Offer counts the tokens of a call, whether it was served or not.
func (p *Planner) Offer(model, adapter string, tokens float64) {
	p.demand.Offer(model, adapter, tokens)
}

// round is one run of the planner. Its moves are taken as done in workers, so
// that later ones build on them.
type round struct {
	*Planner
	now     time.Time
	workers []Worker
	models  map[string]Model
	// absent holds the models that have no copy.
	absent  map[string]bool
	moves   []Move
	loading int
	// adapters counts the adapters that are loading.
	adapters int
}

// Plan returns the moves to make now. Models without a copy come first.
func (p *Planner) Plan(now time.Time, workers []Worker, models map[string]Model) []Move {
	p.demand.Advance(now)
	if !p.plannedAt.IsZero() {
		p.budget = min(loadBurst, p.budget+now.Sub(p.plannedAt).Seconds()*p.settings.LoadsPerSecond)
	}
	p.plannedAt = now
	r := &round{
		Planner: p,
		now:     now,
		models:  models,
		absent:  make(map[string]bool),
	}
	for _, w := range workers {
		w.Held = slices.Clone(w.Held)
		r.workers = append(r.workers, w)
	}
	r.observe()
	r.unlisted()
	r.swapped()
	r.missing()
	r.versions()
	r.adapt()
	r.relieve()
	r.second()
	return r.moves
}

// observe notes what is loading, what is absent and since when copies are there.
func (r *round) observe() {
	seen := make(map[seat]bool)
	for _, w := range r.workers {
		for _, h := range w.Held {
			s := seat{
				host: w.Host,
				copy: h.Copy,
			}
			seen[s] = true
			if _, known := r.loaded[s]; !known {
				r.loaded[s] = r.now
			}
			switch {
			case h.Ready:
			case h.Adapter == "":
				r.loading++
			default:
				r.adapters++
			}
		}
	}
	maps.DeleteFunc(r.loaded, func(s seat, _ time.Time) bool { return !seen[s] })
	present := currentHolders(r.workers, r.models)
	for name := range r.models {
		if len(present[name]) == 0 {
			r.absent[name] = true
		}
	}
}

// unlisted unloads what the text does not list any more.
func (r *round) unlisted() {
	for i := range r.workers {
		w := &r.workers[i]
		for _, h := range slices.Clone(w.Held) {
			m, listed := r.models[h.Model]
			if listed && h.Adapter != "" {
				_, listed = m.Adapters[h.Adapter]
			}
			if !listed && h.Staying {
				r.unload(w, h.Copy, "", "")
			}
		}
	}
}

// missing loads the models that have no copy, the most wanted first.
func (r *round) missing() {
	names := slices.SortedFunc(maps.Keys(r.absent), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(r.demand.Rate(b, ""), r.demand.Rate(a, "")),
			cmp.Compare(r.models[b].Bytes, r.models[a].Bytes),
			strings.Compare(a, b),
		)
	})
	for _, name := range names {
		if _, waits := r.swaps[name]; waits {
			continue
		}
		m := r.models[name]
		if w := r.roomiest(m.Bytes); w != nil {
			r.load(w, m.current(name), m.Bytes)
			continue
		}
		r.makeRoom(m.current(name), m.Bytes)
	}
}

// roomiest returns the least used worker with room, nil if there is none.
func (r *round) roomiest(bytes int64) *Worker {
	used, _ := estimate(r.workers, r.models, r.rate)
	var best *Worker
	for i := range r.workers {
		w := &r.workers[i]
		if w.Free < bytes {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(used[w.Host], used[best.Host]), cmp.Compare(best.Free, w.Free)) < 0 {
			best = w
		}
	}
	return best
}

// makeRoom unloads surplus copies at the worker that needs to lose the fewest.
func (r *round) makeRoom(c Copy, bytes int64) {
	var best *change
	for i := range r.workers {
		w := &r.workers[i]
		victims, ok := r.victims(w, bytes, 0)
		if ok && (best == nil || len(victims) < len(best.victims)) {
			best = &change{
				worker:  w,
				copy:    c,
				bytes:   bytes,
				victims: victims,
			}
		}
	}
	if best != nil {
		r.swap(best)
	}
}

// victims returns the copies to unload at a worker so that bytes become free,
// the least wanted first; ok is false if that can't be had. Copies that came
// less than residency ago stay.
func (r *round) victims(w *Worker, bytes int64, residency time.Duration) (victims []Held, ok bool) {
	candidates := slices.DeleteFunc(slices.Clone(w.Held), func(h Held) bool {
		recent := r.now.Sub(r.loaded[seat{
			host: w.Host,
			copy: h.Copy,
		}]) < residency
		return recent || h.Adapter != "" || !h.Staying || !r.surplus(w, h.Copy)
	})
	slices.SortFunc(candidates, func(a, b Held) int {
		return cmp.Or(cmp.Compare(r.perCopy(a.Model), r.perCopy(b.Model)), compareCopies(a.Copy, b.Copy))
	})
	free := w.Free
	for _, h := range candidates {
		if free >= bytes {
			break
		}
		free += h.Bytes
		victims = append(victims, h)
	}
	return victims, free >= bytes
}

// perCopy returns a model's demand for each of the copies that would be left
// if one went.
func (r *round) perCopy(model string) float64 {
	m := r.models[model]
	return r.rate(model) / float64(max(1, len(holders(r.workers, m.current(model)))-1))
}

// surplus reports whether a copy can go: another worker keeps the model in its
// current version, or in the same old one.
func (r *round) surplus(w *Worker, c Copy) bool {
	m, listed := r.models[c.Model]
	return listed && (r.keeper(w, c, m.Version) != nil || r.keeper(w, c, c.Version) != nil)
}

// keeper returns a worker that keeps a copy's model in a version, with all
// adapters that would go, nil if there is none. It may be the same worker if
// the version is another one.
func (r *round) keeper(w *Worker, c Copy, version string) *Worker {
	for i := range r.workers {
		k := &r.workers[i]
		if (k.Host != w.Host || c.Version != version) && k.keeps(w, c, version) {
			return k
		}
	}
	return nil
}

// keeps reports whether a worker has, in a version, all that another one would
// drop with a copy.
func (w *Worker) keeps(dropper *Worker, c Copy, version string) bool {
	for _, h := range dropper.Held {
		if h.Copy != c && (c.Adapter != "" || h.Base() != c) {
			continue
		}
		wanted := h.Copy
		wanted.Version = version
		if own := w.holds(wanted); own == nil || !own.Staying {
			return false
		}
	}
	return true
}

// drop unloads a copy if a worker keeps the model in one of some versions.
func (r *round) drop(w *Worker, c Copy, versions ...string) {
	for _, version := range versions {
		if k := r.keeper(w, c, version); k != nil {
			r.unload(w, c, k.Host, version)
			return
		}
	}
}

// unload adds a move. The memory becomes free only later.
func (r *round) unload(w *Worker, c Copy, keeper, keep string) {
	r.moves = append(r.moves, Move{
		Host:   w.Host,
		Copy:   c,
		Keeper: keeper,
		Keep:   keep,
	})
	w.Held = slices.DeleteFunc(w.Held, func(h Held) bool { return h.Copy == c || h.Base() == c })
}

// load adds a move if the weight store has room for it.
func (r *round) load(w *Worker, c Copy, bytes int64) bool {
	if c.Adapter == "" {
		if r.budget < 1 || r.loading >= r.settings.Loads {
			return false
		}
		r.budget--
		r.loading++
	} else {
		if r.adapters >= r.settings.AdapterLoads {
			return false
		}
		r.adapters++
	}
	r.moves = append(r.moves, Move{
		Host:  w.Host,
		Load:  true,
		Copy:  c,
		Bytes: bytes,
	})
	w.Free -= bytes
	w.Held = append(w.Held, Held{
		Copy:  c,
		Bytes: bytes,
	})
	return true
}

// rate returns the demand for a model.
func (r *round) rate(model string) float64 { return r.demand.Rate(model, "") }
