package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodfold/internal/plat"
)

const (
	// askTimeout bounds the wait for a keeper's answer.
	askTimeout = 2 * time.Second
	// pinLifetime bounds how long a keeper keeps a copy for another holder.
	// Only work is lost when a pin ends early: the holder it was given to
	// still refuses to keep the copy for anybody.
	pinLifetime = time.Minute
)

// Pin is a holder's question to another one, the keeper: keep these copies,
// since I am about to unload mine.
type Pin struct {
	From string
	To   string
	// Incarnation and Sequence name the holder's attempt to unload.
	Incarnation uint64
	Sequence    uint64
	Copies      []Copy
}

// Action is something that a holder wants done.
type Action interface{ isAction() }

// Actions.
type (
	// Send sends an order to the engine.
	Send struct{ Order plat.Order }
	// Ask asks a keeper.
	Ask struct{ Pin Pin }
	// Release ends a pin that is not needed any more.
	Release struct{ Pin Pin }
)

func (Send) isAction()    {}
func (Ask) isAction()     {}
func (Release) isAction() {}

// stage is how far an unload has come.
type stage int

const (
	asking stage = iota
	draining
	ordered
)

// unload is a copy that the holder is about to unload. As long as it stands,
// the holder keeps the copy for nobody.
type unload struct {
	pin     Pin
	stage   stage
	started time.Time
}

// kept is a pin that this holder has granted.
type kept struct {
	pin   Pin
	until time.Time
}

// Holder is the state of an agent whose engine holds copies.
type Holder struct {
	*Ledger
	self     string
	sequence uint64
	unloads  map[Copy]*unload
	kept     map[string]kept
	leaving  bool
}

// NewHolder returns the state of a fresh agent named self.
func NewHolder(self string, incarnation uint64, maxDelay time.Duration) *Holder {
	return &Holder{
		Ledger:  NewLedger(incarnation, maxDelay),
		self:    self,
		unloads: make(map[Copy]*unload),
		kept:    make(map[string]kept),
	}
}

// Leave makes the holder refuse to keep copies and to load any.
func (h *Holder) Leave() { h.leaving = true }

// Load begins to load a copy.
func (h *Holder) Load(now time.Time, c Copy, bytes int64) ([]Action, error) {
	if h.leaving {
		return nil, ErrBusy
	}
	if u := h.unloading(c); u != nil {
		return nil, ErrBusy
	}
	o, err := h.Ledger.Load(now, c, bytes)
	if err != nil {
		return nil, err
	}
	return []Action{Send{Order: o}}, nil
}

// Unload begins to unload a copy. A keeper must first promise to keep the model
// in the version keep; it may be this holder, in another version. Without a
// keeper nobody is asked, which is safe only for copies that are not listed any
// more.
func (h *Holder) Unload(now time.Time, c Copy, keeper, keep string) ([]Action, error) {
	switch {
	case !h.Known():
		return nil, ErrUnknown
	case !h.resident(c):
		return nil, ErrAbsent
	case h.unloading(c) != nil || h.pinned(now, c):
		return nil, ErrBusy
	}
	h.sequence++
	u := &unload{
		pin: Pin{
			From:        h.self,
			To:          keeper,
			Incarnation: h.incarnation,
			Sequence:    h.sequence,
			Copies:      h.dropped(c, keep),
		},
		started: now,
	}
	h.unloads[c] = u
	if keeper == h.self && !h.keeps(u.pin.Copies) {
		delete(h.unloads, c)
		return nil, ErrBusy
	}
	if keeper == "" || keeper == h.self {
		u.pin.To = ""
		u.stage = draining
		return nil, nil
	}
	return []Action{Ask{Pin: u.pin}}, nil
}

// dropped returns what callers lose with a copy, in the version to keep: an
// adapter, or a model and its adapters.
func (h *Holder) dropped(c Copy, keep string) []Copy {
	kept := c
	kept.Version = keep
	copies := []Copy{kept}
	if c.Adapter != "" {
		return copies
	}
	for _, r := range h.report.Residents {
		if other := copyOf(r); other != c && other.Base() == c {
			other.Version = keep
			copies = append(copies, other)
		}
	}
	return copies
}

// Grant reports whether this holder keeps the copies of a pin, and notes it.
func (h *Holder) Grant(now time.Time, p Pin) bool {
	if h.leaving || p.To != h.self || p.From == h.self {
		return false
	}
	if !h.keeps(p.Copies) {
		return false
	}
	h.kept[p.From] = kept{
		pin:   p,
		until: now.Add(pinLifetime),
	}
	return true
}

// keeps reports whether all of some copies are here and stay.
func (h *Holder) keeps(copies []Copy) bool {
	return !slices.ContainsFunc(copies, func(c Copy) bool { return !h.Holds(c) || h.unloading(c) != nil })
}

// Answered takes a keeper's answer. One to an earlier attempt, or to an earlier
// agent, is dropped.
func (h *Holder) Answered(p Pin, granted bool) {
	for c, u := range h.unloads {
		if u.stage != asking || u.pin.Incarnation != p.Incarnation || u.pin.Sequence != p.Sequence {
			continue
		}
		if granted {
			u.stage = draining
		} else {
			delete(h.unloads, c)
		}
	}
}

// Released ends a pin.
func (h *Holder) Released(p Pin) {
	own := h.kept[p.From].pin
	if own.Incarnation == p.Incarnation && own.Sequence == p.Sequence {
		delete(h.kept, p.From)
	}
}

// Serves reports whether new calls for a copy are taken: it is ready and does
// not drain.
func (h *Holder) Serves(c Copy) bool {
	u := h.unloading(c)
	return h.Ready(c) && (u == nil || u.stage == asking)
}

// Step moves all unloads on. idle reports whether no call uses a copy.
func (h *Holder) Step(now time.Time, idle func(Copy) bool) []Action {
	var actions []Action
	for _, c := range slices.SortedFunc(maps.Keys(h.unloads), compareCopies) {
		actions = append(actions, h.step(now, c, idle)...)
	}
	maps.DeleteFunc(h.kept, func(_ string, k kept) bool { return !now.Before(k.until) })
	if o, due := h.Barrier(now); due {
		actions = append(actions, Send{Order: o})
	}
	return actions
}

// step moves one unload on.
func (h *Holder) step(now time.Time, c Copy, idle func(Copy) bool) []Action {
	u := h.unloads[c]
	switch {
	case u.stage == asking && now.Sub(u.started) >= askTimeout:
		return h.end(c)
	case u.stage == draining && idle(c):
		o, err := h.Ledger.Unload(now, c)
		if err != nil {
			return h.end(c)
		}
		u.stage = ordered
		return []Action{Send{Order: o}}
	case u.stage == ordered && !h.pendingUnload(c):
		return h.end(c)
	case u.stage == ordered && h.Known() && !h.resident(c):
		return h.end(c)
	}
	return nil
}

// end forgets an unload, whether it has come about or not.
func (h *Holder) end(c Copy) []Action {
	u := h.unloads[c]
	delete(h.unloads, c)
	if u.pin.To == "" {
		return nil
	}
	return []Action{Release{Pin: u.pin}}
}

// unloading returns the unload that a copy is subject to, nil if there is none.
func (h *Holder) unloading(c Copy) *unload {
	if u := h.unloads[c]; u != nil {
		return u
	}
	return h.unloads[c.Base()]
}

// pinned reports whether a copy, or an adapter on it, is kept for another
// holder.
func (h *Holder) pinned(now time.Time, c Copy) bool {
	for _, k := range h.kept {
		if !now.Before(k.until) {
			continue
		}
		if slices.ContainsFunc(k.pin.Copies, func(p Copy) bool { return p == c || p.Base() == c }) {
			return true
		}
	}
	return false
}

// compareCopies orders copies by name.
func compareCopies(a, b Copy) int {
	return cmp.Or(
		strings.Compare(a.Model, b.Model),
		strings.Compare(a.Version, b.Version),
		strings.Compare(a.Adapter, b.Adapter),
	)
}
