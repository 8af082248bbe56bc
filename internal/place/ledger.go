package place

import (
	"errors"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
)

const (
	// DefaultMaxOrderDelay is the maximum delay of an order if none is
	// configured.
	DefaultMaxOrderDelay = 10 * time.Second
	// fenceWindow bounds how far the fencing numbers of orders may exceed the
	// highest one that the engine has reported. A restarted agent starts beyond
	// the window, since the orders of earlier agents are within it.
	fenceWindow = 1 << 16
	// orderTimeout is how long an order may stay unconfirmed before the ledger
	// sends a barrier after it.
	orderTimeout = time.Second
)

// Reasons for refusing an order. Agents send these texts to entries as the
// reason of a refused wish.
var (
	ErrNotSynced          = errors.New("place: orders of an earlier agent may still act")
	ErrInsufficientMemory = errors.New("place: not enough free memory")
	ErrBusy               = errors.New("place: an order for the copy may still act")
	ErrNotLoaded          = errors.New("place: the copy is not there")
	ErrFenceWindowFull    = errors.New("place: too many orders without a report")
	ErrStaleConfig        = errors.New("place: the wish rests on an older configuration")
)

// Ledger is the authority on the memory of one engine. It accounts for each
// artifact that the engine reports and each load that may still take effect.
type Ledger struct {
	incarnation uint64
	// maxOrderDelay bounds the time from sending an order to its last effect,
	// for engines that ignore fencing numbers.
	maxOrderDelay time.Duration

	report      plat.Report
	requestedAt time.Time
	hasReport   bool
	// unsynced is set while orders that are unknown to the ledger may take
	// effect, which is possible since unsyncedSince. barrierFence is a fencing
	// number above all of theirs, 0 if none is chosen yet.
	unsynced      bool
	unsyncedSince time.Time
	barrierFence  uint64
	// syncByFence is set if the ledger is synced once the engine acknowledges
	// barrierFence.
	syncByFence bool

	lastFence     uint64
	barrierSentAt time.Time
	pending       []pendingOrder
}

// NewLedger returns the ledger of a newly started agent. It is not synced,
// since orders of an earlier agent may still take effect.
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

// ApplyReport applies an engine's report that was requested at requestedAt. It
// ignores a report that was not requested later than the last one applied.
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

// loseSync marks the ledger as not synced: the engine has restarted and has
// lost the highest fencing number it had seen, so that it may execute old
// orders again.
func (l *Ledger) loseSync(now time.Time) {
	l.unsynced = true
	l.unsyncedSince = now
	l.barrierFence = 0
	l.barrierSentAt = time.Time{}
}

// trySync marks the ledger as synced if the last report permits it. An engine
// that has seen no fencing number may have lost it in a restart, so that no
// barrier is known to be above all orders of earlier agents. The ledger then
// waits until the maximum order delay has passed.
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

// isFinished reports whether the last report proves that an order can have no
// further effect, and shows the effect that it had.
func (l *Ledger) isFinished(fence uint64, sentAt time.Time) bool {
	if l.report.ChecksFence {
		return l.report.Fence > fence
	}
	return l.requestedAt.After(sentAt.Add(l.maxOrderDelay))
}

// Synced reports whether the ledger knows each order that may take effect.
func (l *Ledger) Synced() bool { return l.hasReport && !l.unsynced }

// FreeBytes returns the bytes that loads may reserve, 0 if the ledger is not
// synced.
func (l *Ledger) FreeBytes() int64 {
	if !l.Synced() {
		return 0
	}
	return l.report.MemoryBytes - l.UsedBytes()
}

// UsedBytes returns the bytes of all artifacts that are in memory or may come
// to be.
func (l *Ledger) UsedBytes() int64 {
	var total int64
	for _, bytes := range l.allocations() {
		total += bytes
	}
	return total
}

// allocations returns the bytes that each artifact takes or has reserved.
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

// Retains reports whether an artifact is ready and stays: the ledger is synced,
// and no pending order unloads the artifact or its base model.
func (l *Ledger) Retains(a Artifact) bool {
	if !l.Synced() || l.hasPendingUnload(a.Base()) || l.hasPendingUnload(a) {
		return false
	}
	return l.Ready(a)
}

// Ready reports whether the engine has reported an artifact as ready.
func (l *Ledger) Ready(a Artifact) bool {
	return slices.ContainsFunc(l.report.Residents, func(r plat.Resident) bool { return r.Ready && residentArtifact(r) == a })
}

// TotalBytes returns the size of the engine's memory.
func (l *Ledger) TotalBytes() int64 { return l.report.MemoryBytes }

// Allocation is the memory that an artifact takes or has reserved.
type Allocation struct {
	Artifact
	Bytes int64
}

// Allocations returns all artifacts that are in memory or may come to be, in
// the order of compareArtifacts.
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

// isResident reports whether the engine has reported an artifact, ready or not.
func (l *Ledger) isResident(a Artifact) bool {
	return slices.ContainsFunc(l.report.Residents, func(r plat.Resident) bool { return residentArtifact(r) == a })
}
