package place

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/plat"
)

const (
	// DefaultMaxDelay is the longest delay of an order if none is set.
	DefaultMaxDelay = 10 * time.Second
	// fenceWindow bounds the fencing numbers beyond the highest one that the
	// engine has reported. A restarted agent starts above the window.
	fenceWindow = 1 << 16
	// orderTimeout is how long an order may take before the ledger sends a
	// barrier behind it.
	orderTimeout = time.Second
)

// Reasons for which the ledger refuses an order.
var (
	ErrUnknown = errors.New("place: orders of an earlier agent may still act")
	ErrMemory  = errors.New("place: not enough free memory")
	ErrBusy    = errors.New("place: an order for the copy may still act")
	ErrAbsent  = errors.New("place: the copy is not there")
	ErrWindow  = errors.New("place: too many orders without a report")
	ErrStale   = errors.New("place: the wish rests on an older configuration")
)

// order is an order that may still act.
type order struct {
	plat.Order
	sentAt time.Time
}

// Ledger is the authority on one engine's memory. It counts every copy that
// the engine reports, and every load that may still act.
type Ledger struct {
	incarnation uint64
	// maxDelay bounds the time from an order's sending to its last effect, for
	// engines that ignore fencing numbers.
	maxDelay time.Duration

	report   plat.Report
	askedAt  time.Time
	reported bool
	// presumed says that unknown orders may act, since presumedAt; barrier is
	// a number above all of theirs.
	presumed   bool
	presumedAt time.Time
	barrier    uint64
	// byFence says that the barrier's acknowledgement ends the presumption.
	byFence bool

	fence     uint64
	barrierAt time.Time
	orders    []order
}

// NewLedger returns the ledger of a fresh agent, which presumes that orders of
// an earlier one may still act.
func NewLedger(incarnation uint64, maxDelay time.Duration) *Ledger {
	if maxDelay == 0 {
		maxDelay = DefaultMaxDelay
	}
	return &Ledger{
		incarnation: incarnation,
		maxDelay:    maxDelay,
		presumed:    true,
	}
}

// Report takes over an engine's report that was asked for at askedAt.
func (l *Ledger) Report(now, askedAt time.Time, r plat.Report) {
	if l.reported && !askedAt.After(l.askedAt) {
		return
	}
	if l.reported && r.ChecksFence && (r.Sequence <= l.report.Sequence || r.Fence < l.report.Fence) {
		l.presume(now)
	}
	if !l.reported {
		l.presumedAt = askedAt
	}
	l.report, l.askedAt, l.reported = r, askedAt, true
	if l.presumed {
		l.settle()
	}
	l.orders = slices.DeleteFunc(l.orders, func(o order) bool { return l.over(o.Fence, o.sentAt) })
}

// presume forgets what is known of orders: the engine has restarted, and with
// it its highest fencing number.
func (l *Ledger) presume(now time.Time) {
	l.presumed = true
	l.presumedAt = now
	l.barrier = 0
	l.barrierAt = time.Time{}
}

// settle ends the presumption if the last report allows it. An engine that has
// seen no number may have lost it in a restart, so that no barrier is known to
// be above all orders of earlier agents; then only time helps.
func (l *Ledger) settle() {
	if l.barrier == 0 {
		l.byFence = l.report.ChecksFence && max(l.fence, l.report.Fence) > 0
		l.barrier = max(l.fence, l.report.Fence) + fenceWindow + 1
		l.fence = l.barrier
	}
	acknowledged := l.byFence && l.report.Fence >= l.barrier
	if acknowledged || l.askedAt.After(l.presumedAt.Add(l.maxDelay)) {
		l.presumed = false
	}
}

// over reports whether the last report proves that an order has had its last
// effect, and shows that effect.
func (l *Ledger) over(fence uint64, sentAt time.Time) bool {
	if l.report.ChecksFence {
		return l.report.Fence > fence
	}
	return l.askedAt.After(sentAt.Add(l.maxDelay))
}

// Known reports whether the ledger knows of every order that may act.
func (l *Ledger) Known() bool { return l.reported && !l.presumed }

// Free returns the bytes that a load may reserve.
func (l *Ledger) Free() int64 {
	if !l.Known() {
		return 0
	}
	return l.report.MemoryBytes - l.Used()
}

// Used returns the bytes of all copies that are, or may come to be, in memory.
func (l *Ledger) Used() int64 {
	var total int64
	for _, bytes := range l.charges() {
		total += bytes
	}
	return total
}

// charges returns the bytes that each copy is charged with.
func (l *Ledger) charges() map[Copy]int64 {
	charges := make(map[Copy]int64)
	for _, r := range l.report.Residents {
		charges[copyOf(r)] = r.MemoryBytes
	}
	for _, o := range l.orders {
		if o.Action == plat.ActionLoad {
			c := target(o.Order)
			charges[c] = max(charges[c], o.MemoryBytes)
		}
	}
	return charges
}

// Load reserves memory for a copy and returns the order to send.
func (l *Ledger) Load(now time.Time, c Copy, bytes int64) (plat.Order, error) {
	switch {
	case !l.Known():
		return plat.Order{}, ErrUnknown
	case l.full():
		return plat.Order{}, ErrWindow
	case l.pending(c) || l.pendingUnload(c.Base()):
		return plat.Order{}, ErrBusy
	case c.Adapter != "" && !l.Holds(c.Base()):
		return plat.Order{}, ErrAbsent
	case bytes > l.Free():
		return plat.Order{}, ErrMemory
	}
	return l.issue(now, plat.ActionLoad, c, bytes), nil
}

// Unload returns the order that drops a copy. Its memory stays reserved until
// a report proves the unload and that no load of the copy can act any more.
func (l *Ledger) Unload(now time.Time, c Copy) (plat.Order, error) {
	switch {
	case !l.Known():
		return plat.Order{}, ErrUnknown
	case l.full():
		return plat.Order{}, ErrWindow
	case !l.resident(c):
		return plat.Order{}, ErrAbsent
	case l.pendingUnload(c):
		return plat.Order{}, ErrBusy
	}
	return l.issue(now, plat.ActionUnload, c, 0), nil
}

// Barrier returns an order without effect whose number stops all earlier ones,
// if any of them has waited too long for its proof.
func (l *Ledger) Barrier(now time.Time) (o plat.Order, due bool) {
	if !l.reported || !l.report.ChecksFence || now.Sub(l.barrierAt) < orderTimeout {
		return o, false
	}
	if l.report.Fence < l.barrier {
		l.barrierAt = now
		return l.newOrder(l.barrier, plat.ActionUnload, Copy{}, 0), true
	}
	stale := func(o order) bool { return now.Sub(o.sentAt) >= orderTimeout && !l.done(o) }
	if !slices.ContainsFunc(l.orders, stale) {
		return o, false
	}
	l.barrierAt = now
	l.fence++
	return l.newOrder(l.fence, plat.ActionUnload, Copy{}, 0), true
}

// done reports whether a load that may still act would change nothing.
func (l *Ledger) done(o order) bool {
	return o.Action == plat.ActionLoad && l.resident(target(o.Order))
}

// Holds reports whether a copy serves calls and stays: it is ready, and no
// order that may still act drops it.
func (l *Ledger) Holds(c Copy) bool {
	if !l.Known() || l.pendingUnload(c.Base()) || l.pendingUnload(c) {
		return false
	}
	return l.Ready(c)
}

// Ready reports whether the engine has reported a copy as ready.
func (l *Ledger) Ready(c Copy) bool {
	return slices.ContainsFunc(l.report.Residents, func(r plat.Resident) bool { return r.Ready && copyOf(r) == c })
}

// Memory returns the bytes that the engine has in all.
func (l *Ledger) Memory() int64 { return l.report.MemoryBytes }

// Charge is what the ledger charges a copy with.
type Charge struct {
	Copy
	Bytes int64
}

// Charges returns all copies that are, or may come to be, in memory, by name.
func (l *Ledger) Charges() []Charge {
	charges := l.charges()
	list := make([]Charge, 0, len(charges))
	for _, c := range slices.SortedFunc(maps.Keys(charges), compareCopies) {
		list = append(list, Charge{
			Copy:  c,
			Bytes: charges[c],
		})
	}
	return list
}

// resident reports whether the engine has reported a copy, ready or not.
func (l *Ledger) resident(c Copy) bool {
	return slices.ContainsFunc(l.report.Residents, func(r plat.Resident) bool { return copyOf(r) == c })
}

// pending reports whether an order for a copy may still act.
func (l *Ledger) pending(c Copy) bool {
	return slices.ContainsFunc(l.orders, func(o order) bool { return target(o.Order) == c })
}

// pendingUnload reports whether an unload of a copy may still act.
func (l *Ledger) pendingUnload(c Copy) bool {
	return slices.ContainsFunc(l.orders, func(o order) bool {
		return o.Action == plat.ActionUnload && target(o.Order) == c
	})
}

// issue numbers an order and notes that it may act from now on.
func (l *Ledger) issue(now time.Time, action plat.Action, c Copy, bytes int64) plat.Order {
	l.fence++
	o := l.newOrder(l.fence, action, c, bytes)
	l.orders = append(l.orders, order{
		Order:  o,
		sentAt: now,
	})
	return o
}

// full reports whether the engine has left too many numbers unacknowledged for
// a later agent to start above all of them.
func (l *Ledger) full() bool {
	return l.report.ChecksFence && l.fence >= l.report.Fence+fenceWindow
}

func (l *Ledger) newOrder(fence uint64, action plat.Action, c Copy, bytes int64) plat.Order {
	return plat.Order{
		Fence:       fence,
		ID:          strconv.FormatUint(l.incarnation, 36) + "-" + strconv.FormatUint(fence, 10),
		Action:      action,
		Model:       c.Model,
		Version:     c.Version,
		Adapter:     c.Adapter,
		MemoryBytes: bytes,
	}
}

// target returns the copy that an order is about.
func target(o plat.Order) Copy {
	return Copy{
		Model:   o.Model,
		Version: o.Version,
		Adapter: o.Adapter,
	}
}

// copyOf returns the copy that a resident is.
func copyOf(r plat.Resident) Copy {
	return Copy{
		Model:   r.Model,
		Version: r.Version,
		Adapter: r.Adapter,
	}
}
