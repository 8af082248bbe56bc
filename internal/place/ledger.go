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
	// DefaultMaxOrderDelay is the longest delay of an order if none is set.
	DefaultMaxOrderDelay = 10 * time.Second
	// fenceWindow bounds the fencing numbers beyond the highest one that the
	// engine has reported. A restarted agent starts above the window.
	fenceWindow = 1 << 16
	// orderTimeout is how long an order may take before the ledger sends a
	// barrier behind it.
	orderTimeout = time.Second
)

// Reasons for which the ledger refuses an order.
var (
	ErrNotSynced          = errors.New("place: orders of an earlier agent may still act")
	ErrInsufficientMemory = errors.New("place: not enough free memory")
	ErrBusy               = errors.New("place: an order for the copy may still act")
	ErrNotLoaded          = errors.New("place: the copy is not there")
	ErrFenceWindowFull    = errors.New("place: too many orders without a report")
	ErrStaleConfig        = errors.New("place: the wish rests on an older configuration")
)

// pendingOrder is an pendingOrder that may still act.
type pendingOrder struct {
	plat.Order
	sentAt time.Time
}

// Ledger is the authority on one engine's memory. It counts every copy that
// the engine reports, and every load that may still act.
type Ledger struct {
	incarnation uint64
	// maxOrderDelay bounds the time from an order's sending to its last effect, for
	// engines that ignore fencing numbers.
	maxOrderDelay time.Duration

	report      plat.Report
	requestedAt time.Time
	hasReport   bool
	// unsynced says that unknown orders may act, since presumedAt; barrier is
	// a number above all of theirs.
	unsynced      bool
	unsyncedSince time.Time
	barrierFence  uint64
	// syncByFence says that the barrier's acknowledgement ends the presumption.
	syncByFence bool

	lastFence     uint64
	barrierSentAt time.Time
	pending       []pendingOrder
}

// NewLedger returns the ledger of a fresh agent, which presumes that orders of
// an earlier one may still act.
func NewLedger(incarnation uint64, maxOrderDelay time.Duration) *Ledger {
	if maxOrderDelay == 0 {
		maxOrderDelay = DefaultMaxOrderDelay
	}
	return &Ledger{
		incarnation:   incarnation,
		maxOrderDelay: maxOrderDelay,
		unsynced:      true,
	}
}

// ApplyReport takes over an engine's report that was asked for at askedAt.
func (l *Ledger) ApplyReport(now, requestedAt time.Time, r plat.Report) {
	if l.hasReport && !requestedAt.After(l.requestedAt) {
		return
	}
	if l.hasReport && r.ChecksFence && (r.Sequence <= l.report.Sequence || r.Fence < l.report.Fence) {
		l.loseSync(now)
	}
	if !l.hasReport {
		l.unsyncedSince = requestedAt
	}
	l.report, l.requestedAt, l.hasReport = r, requestedAt, true
	if l.unsynced {
		l.trySync()
	}
	l.pending = slices.DeleteFunc(l.pending, func(o pendingOrder) bool { return l.isFinished(o.Fence, o.sentAt) })
}

// loseSync forgets what is known of orders: the engine has restarted, and with
// it its highest fencing number.
func (l *Ledger) loseSync(now time.Time) {
	l.unsynced = true
	l.unsyncedSince = now
	l.barrierFence = 0
	l.barrierSentAt = time.Time{}
}

// trySync ends the presumption if the last report allows it. An engine that has
// seen no number may have lost it in a restart, so that no barrier is known to
// be above all orders of earlier agents; then only time helps.
func (l *Ledger) trySync() {
	if l.barrierFence == 0 {
		l.syncByFence = l.report.ChecksFence && max(l.lastFence, l.report.Fence) > 0
		l.barrierFence = max(l.lastFence, l.report.Fence) + fenceWindow + 1
		l.lastFence = l.barrierFence
	}
	acknowledged := l.syncByFence && l.report.Fence >= l.barrierFence
	if acknowledged || l.requestedAt.After(l.unsyncedSince.Add(l.maxOrderDelay)) {
		l.unsynced = false
	}
}

// isFinished reports whether the last report proves that an order has had its last
// effect, and shows that effect.
func (l *Ledger) isFinished(fence uint64, sentAt time.Time) bool {
	if l.report.ChecksFence {
		return l.report.Fence > fence
	}
	return l.requestedAt.After(sentAt.Add(l.maxOrderDelay))
}

// Synced reports whether the ledger knows of every order that may act.
func (l *Ledger) Synced() bool { return l.hasReport && !l.unsynced }

// FreeBytes returns the bytes that a load may reserve.
func (l *Ledger) FreeBytes() int64 {
	if !l.Synced() {
		return 0
	}
	return l.report.MemoryBytes - l.UsedBytes()
}

// UsedBytes returns the bytes of all copies that are, or may come to be, in memory.
func (l *Ledger) UsedBytes() int64 {
	var total int64
	for _, bytes := range l.allocations() {
		total += bytes
	}
	return total
}

// allocations returns the bytes that each copy is charged with.
func (l *Ledger) allocations() map[Artifact]int64 {
	allocations := make(map[Artifact]int64)
	for _, r := range l.report.Residents {
		allocations[residentArtifact(r)] = r.MemoryBytes
	}
	for _, o := range l.pending {
		if o.Action == plat.ActionLoad {
			a := orderArtifact(o.Order)
			allocations[a] = max(allocations[a], o.MemoryBytes)
		}
	}
	return allocations
}

// Load reserves memory for a copy and returns the order to send.
func (l *Ledger) Load(now time.Time, a Artifact, bytes int64) (plat.Order, error) {
	switch {
	case !l.Synced():
		return plat.Order{}, ErrNotSynced
	case l.fenceWindowFull():
		return plat.Order{}, ErrFenceWindowFull
	case l.hasPendingOrder(a) || l.hasPendingUnload(a.Base()):
		return plat.Order{}, ErrBusy
	case a.Adapter != "" && !l.Retains(a.Base()):
		return plat.Order{}, ErrNotLoaded
	case bytes > l.FreeBytes():
		return plat.Order{}, ErrInsufficientMemory
	}
	return l.issueOrder(now, plat.ActionLoad, a, bytes), nil
}

// Unload returns the order that drops a copy. Its memory stays reserved until
// a report proves the unload and that no load of the copy can act any more.
func (l *Ledger) Unload(now time.Time, a Artifact) (plat.Order, error) {
	switch {
	case !l.Synced():
		return plat.Order{}, ErrNotSynced
	case l.fenceWindowFull():
		return plat.Order{}, ErrFenceWindowFull
	case !l.isResident(a):
		return plat.Order{}, ErrNotLoaded
	case l.hasPendingUnload(a):
		return plat.Order{}, ErrBusy
	}
	return l.issueOrder(now, plat.ActionUnload, a, 0), nil
}

// Barrier returns an order without effect whose number stops all earlier ones,
// if any of them has waited too long for its proof.
func (l *Ledger) Barrier(now time.Time) (o plat.Order, due bool) {
	if !l.hasReport || !l.report.ChecksFence || now.Sub(l.barrierSentAt) < orderTimeout {
		return o, false
	}
	if l.report.Fence < l.barrierFence {
		l.barrierSentAt = now
		return l.newOrder(l.barrierFence, plat.ActionUnload, Artifact{}, 0), true
	}
	overdue := func(o pendingOrder) bool { return now.Sub(o.sentAt) >= orderTimeout && !l.isRedundant(o) }
	if !slices.ContainsFunc(l.pending, overdue) {
		return o, false
	}
	l.barrierSentAt = now
	l.lastFence++
	return l.newOrder(l.lastFence, plat.ActionUnload, Artifact{}, 0), true
}

// isRedundant reports whether a load that may still act would change nothing.
func (l *Ledger) isRedundant(o pendingOrder) bool {
	return o.Action == plat.ActionLoad && l.isResident(orderArtifact(o.Order))
}

// Retains reports whether a copy serves calls and stays: it is ready, and no
// order that may still act drops it.
func (l *Ledger) Retains(a Artifact) bool {
	if !l.Synced() || l.hasPendingUnload(a.Base()) || l.hasPendingUnload(a) {
		return false
	}
	return l.Ready(a)
}

// Ready reports whether the engine has reported a copy as ready.
func (l *Ledger) Ready(a Artifact) bool {
	return slices.ContainsFunc(l.report.Residents, func(r plat.Resident) bool { return r.Ready && residentArtifact(r) == a })
}

// TotalBytes returns the bytes that the engine has in all.
func (l *Ledger) TotalBytes() int64 { return l.report.MemoryBytes }

// Allocation is what the ledger charges a copy with.
type Allocation struct {
	Artifact
	Bytes int64
}

// Allocations returns all copies that are, or may come to be, in memory, by name.
func (l *Ledger) Allocations() []Allocation {
	allocations := l.allocations()
	list := make([]Allocation, 0, len(allocations))
	for _, a := range slices.SortedFunc(maps.Keys(allocations), compareArtifacts) {
		list = append(list, Allocation{
			Artifact: a,
			Bytes:    allocations[a],
		})
	}
	return list
}

// isResident reports whether the engine has reported a copy, ready or not.
func (l *Ledger) isResident(a Artifact) bool {
	return slices.ContainsFunc(l.report.Residents, func(r plat.Resident) bool { return residentArtifact(r) == a })
}

// hasPendingOrder reports whether an order for a copy may still act.
func (l *Ledger) hasPendingOrder(a Artifact) bool {
	return slices.ContainsFunc(l.pending, func(o pendingOrder) bool { return orderArtifact(o.Order) == a })
}

// hasPendingUnload reports whether an unload of a copy may still act.
func (l *Ledger) hasPendingUnload(a Artifact) bool {
	return slices.ContainsFunc(l.pending, func(o pendingOrder) bool {
		return o.Action == plat.ActionUnload && orderArtifact(o.Order) == a
	})
}

// issueOrder numbers an order and notes that it may act from now on.
func (l *Ledger) issueOrder(now time.Time, action plat.Action, a Artifact, bytes int64) plat.Order {
	l.lastFence++
	o := l.newOrder(l.lastFence, action, a, bytes)
	l.pending = append(l.pending, pendingOrder{
		Order:  o,
		sentAt: now,
	})
	return o
}

// fenceWindowFull reports whether the engine has left too many numbers unacknowledged for
// a later agent to start above all of them.
func (l *Ledger) fenceWindowFull() bool {
	return l.report.ChecksFence && l.lastFence >= l.report.Fence+fenceWindow
}

func (l *Ledger) newOrder(fence uint64, action plat.Action, a Artifact, bytes int64) plat.Order {
	return plat.Order{
		Fence:       fence,
		ID:          strconv.FormatUint(l.incarnation, 36) + "-" + strconv.FormatUint(fence, 10),
		Action:      action,
		Model:       a.Model,
		Version:     a.Version,
		Adapter:     a.Adapter,
		MemoryBytes: bytes,
	}
}

// orderArtifact returns the copy that an order is about.
func orderArtifact(o plat.Order) Artifact {
	return Artifact{
		Model:   o.Model,
		Version: o.Version,
		Adapter: o.Adapter,
	}
}

// residentArtifact returns the copy that a resident is.
func residentArtifact(r plat.Resident) Artifact {
	return Artifact{
		Model:   r.Model,
		Version: r.Version,
		Adapter: r.Adapter,
	}
}
