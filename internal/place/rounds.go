package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// versions replaces old versions of listed models: the new one is loaded beside
// the old one where there is room, and the old one goes as soon as another
// worker, or the same one, keeps the new one.
func (r *round) versions() {
	for i := range r.workers {
		w := &r.workers[i]
		for _, h := range slices.Clone(w.Held) {
			m, listed := r.models[h.Model]
			if !listed || h.Adapter != "" || h.Version == m.Version || !h.Staying {
				continue
			}
			current := m.current(h.Model)
			if w.holds(current) == nil && w.Free >= m.Bytes && r.load(w, current, m.Bytes) {
				continue
			}
			if own := w.holds(current); own != nil && !own.Ready {
				continue
			}
			r.drop(w, h.Copy, m.Version)
		}
	}
}

// adapt loads adapters on the holders of their models: each adapter on two,
// and on all where it is wanted.
func (r *round) adapt() {
	present := currentHolders(r.workers, r.models)
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		m := r.models[name]
		on := present[name]
		for _, adapter := range slices.Sorted(maps.Keys(m.Adapters)) {
			wanted := min(adapterCopies, len(on))
			if r.demand.Rate(name, adapter) > 0 {
				wanted = len(on)
			}
			r.adaptOne(on[:wanted], Copy{
				Model:   name,
				Version: m.Version,
				Adapter: adapter,
			}, m.Adapters[adapter])
		}
	}
}

// adapterCopies is on how many holders an adapter is that nobody asks for.
const adapterCopies = 2

func (r *round) adaptOne(on []*Worker, c Copy, bytes int64) {
	for _, w := range on {
		if base := w.holds(c.Base()); base.Staying && w.holds(c) == nil && w.Free >= bytes {
			r.load(w, c, bytes)
		}
	}
}

// change is a copy to add, with what has to go for it.
type change struct {
	worker  *Worker
	copy    Copy
	bytes   int64
	victims []Held
	gain    float64
}

// swap is a load that waits for the unloads that make room for it.
type swap struct {
	host  string
	copy  Copy
	bytes int64
	since time.Time
	// victims are the copies that are to go.
	victims []Held
}

const (
	// swapLimit is how long a load waits for room.
	swapLimit = 30 * time.Second
	// swapRetry is how long an unload may take to begin; it was refused or
	// lost if the copy is not being unloaded then.
	swapRetry = 5 * time.Second
)

// swap unloads copies and notes the load to follow.
func (r *round) swap(c *change) {
	for _, h := range c.victims {
		r.drop(c.worker, h.Copy, r.models[h.Model].Version, h.Version)
	}
	r.swaps[c.copy.Model] = swap{
		host:    c.worker.Host,
		copy:    c.copy,
		bytes:   c.bytes,
		since:   r.now,
		victims: c.victims,
	}
	c.worker.Free -= c.bytes
	c.worker.Held = append(c.worker.Held, Held{
		Copy:  c.copy,
		Bytes: c.bytes,
	})
}

// failed reports whether a swap is over, or will not come about.
func (s *swap) failed(now time.Time, w *Worker) bool {
	waited := now.Sub(s.since)
	if waited > swapLimit || w.holds(s.copy) != nil {
		return true
	}
	return waited > swapRetry && slices.ContainsFunc(s.victims, func(h Held) bool {
		held := w.holds(h.Copy)
		return held != nil && held.Staying
	})
}

// swapped begins the loads whose room has come free, and keeps the room of the
// others from being used.
func (r *round) swapped() {
	for _, name := range slices.Sorted(maps.Keys(r.swaps)) {
		s := r.swaps[name]
		i := slices.IndexFunc(r.workers, func(w Worker) bool { return w.Host == s.host })
		if i < 0 || r.models[name].Version != s.copy.Version || s.failed(r.now, &r.workers[i]) {
			delete(r.swaps, name)
			continue
		}
		w := &r.workers[i]
		if w.Free >= s.bytes && r.load(w, s.copy, s.bytes) {
			delete(r.swaps, name)
			continue
		}
		w.Free -= s.bytes
		w.Held = append(w.Held, Held{
			Copy:  s.copy,
			Bytes: s.bytes,
		})
	}
}

const (
	// hotWorkers, hotModels and coolWorkers bound the changes that are weighed.
	hotWorkers  = 3
	hotModels   = 3
	coolWorkers = 6
	// zoneBonus is the gain that a copy in a further zone counts for.
	zoneBonus = 0.001
)

// relieve adds copies of the models that make an engine hot, if that lowers
// its use by enough to be worth a load.
func (r *round) relieve() {
	for r.budget >= 1 && r.loading+len(r.swaps) < r.settings.Loads {
		best := r.relief()
		if best == nil {
			return
		}
		if len(best.victims) > 0 {
			r.swap(best)
		} else if !r.load(best.worker, best.copy, best.bytes) {
			return
		}
	}
}

// relief returns a change that is worth a load, nil if there is none.
func (r *round) relief() *change {
	used, parts := estimate(r.workers, r.models, r.rate)
	coolest := r.coolest(used)
	for i := range min(hotWorkers, len(coolest)) {
		hot := coolest[len(coolest)-1-i]
		if used[hot.Host] < r.settings.High {
			return nil
		}
		best := r.bestChange(hot, coolest[:min(coolWorkers, len(coolest))], used, parts)
		if best != nil && best.gain >= r.settings.Gain {
			return best
		}
	}
	return nil
}

// strain returns the sum of the squares of the use beyond High: what a change
// has to lower to be worth its load.
func (r *round) strain(used usage) float64 {
	total := 0.0
	for i := range r.workers {
		excess := max(0, used[r.workers[i].Host]-r.settings.High)
		total += excess * excess
	}
	return total
}

// bestChange returns the change that relieves a worker most, nil if there is
// none.
func (r *round) bestChange(hot *Worker, cool []*Worker, used usage, parts map[Copy]usage) *change {
	models := slices.SortedFunc(maps.Keys(r.models), func(a, b string) int {
		x, y := r.models[a], r.models[b]
		return cmp.Or(
			cmp.Compare(parts[y.current(b)][hot.Host], parts[x.current(a)][hot.Host]),
			cmp.Compare(a, b),
		)
	})
	var best *change
	for _, name := range models[:min(hotModels, len(models))] {
		for _, w := range cool {
			c := r.weigh(hot, w, name, used)
			if c != nil && (best == nil || c.gain > best.gain) {
				best = c
			}
		}
	}
	return best
}

// coolest returns the workers, the least used first.
func (r *round) coolest(used usage) []*Worker {
	list := make([]*Worker, 0, len(r.workers))
	for i := range r.workers {
		list = append(list, &r.workers[i])
	}
	slices.SortFunc(list, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(used[a.Host], used[b.Host]), cmp.Compare(a.Host, b.Host))
	})
	return list
}

// weigh returns what a copy of a model at a worker would bring, nil if it can't
// be had.
func (r *round) weigh(hot, w *Worker, name string, used usage) *change {
	m := r.models[name]
	c := &change{
		worker: w,
		copy:   m.current(name),
		bytes:  m.Bytes,
	}
	if _, waits := r.swaps[name]; waits || w.holds(c.copy) != nil || hot.holds(c.copy) == nil {
		return nil
	}
	victims, ok := r.victims(w, m.Bytes, r.settings.Residency)
	if !ok {
		return nil
	}
	c.victims = victims
	kept, free := w.Held, w.Free
	defer func() { w.Held, w.Free = kept, free }()
	w.Held = slices.DeleteFunc(slices.Clone(kept), func(h Held) bool {
		return slices.ContainsFunc(victims, func(v Held) bool { return v.Copy == h.Copy })
	})
	w.Held = append(w.Held, Held{
		Copy: c.copy,
	})
	after, _ := estimate(r.workers, r.models, r.rate)
	c.gain = r.strain(used) - r.strain(after)
	if c.gain > 0 && !r.inZone(c.copy, w) {
		c.gain += zoneBonus
	}
	return c
}

// inZone reports whether another worker in a worker's zone holds a copy.
func (r *round) inZone(c Copy, w *Worker) bool {
	return slices.ContainsFunc(holders(r.workers, c), func(h *Worker) bool {
		return h.Host != w.Host && h.Zone == w.Zone
	})
}

// second uses memory that is free for a second copy of the models that have
// one, in another zone if possible, so that no endpoint's death takes a model
// away.
func (r *round) second() {
	if len(r.absent) > 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(r.models), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.rate(b), r.rate(a)), cmp.Compare(a, b))
	})
	present := currentHolders(r.workers, r.models)
	for _, name := range names {
		m := r.models[name]
		on := present[name]
		if len(on) != 1 || r.now.Sub(r.firstSeen(on[0], m.current(name))) < secondDelay {
			continue
		}
		if w := r.spare(m.Bytes, on[0]); w != nil {
			r.load(w, m.current(name), m.Bytes)
		}
	}
}

// secondDelay is how long a model has one copy before it gets another one.
const secondDelay = 5 * time.Second

// firstSeen returns when a worker was seen to get a copy.
func (r *round) firstSeen(w *Worker, c Copy) time.Time {
	return r.loaded[seat{
		host: w.Host,
		copy: c,
	}]
}

// spare returns the worker with the most free memory, preferring zones other
// than that of the worker which holds the first copy; nil if none has room.
func (r *round) spare(bytes int64, first *Worker) *Worker {
	var best *Worker
	for i := range r.workers {
		w := &r.workers[i]
		if w.Free < bytes || w.Host == first.Host {
			continue
		}
		if best == nil || less(best, w, first.Zone) {
			best = w
		}
	}
	return best
}

// less reports whether b is a better place for a second copy than a.
func less(a, b *Worker, zone string) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	return b.Free > a.Free
}
