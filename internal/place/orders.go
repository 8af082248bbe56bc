package place

import (
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/plat"
)

// pendingOrder is an order that may still take effect.
type pendingOrder struct {
	plat.Order
	sentAt time.Time
}

// Load reserves memory for an artifact and returns the order to send.
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

// Unload returns the order that unloads an artifact. Its memory stays reserved
// until a report proves that it is unloaded and that no load of it can take
// effect any more.
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

// Barrier returns an order without effect, with a fencing number that makes the
// engine refuse all earlier orders. It is due if the engine has not acknowledged
// barrierFence, or if an order has been unconfirmed for too long.
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

// isRedundant reports whether a pending load would have no effect, because the
// artifact is already resident.
func (l *Ledger) isRedundant(o pendingOrder) bool {
	return o.Action == plat.ActionLoad && l.isResident(orderArtifact(o.Order))
}

// hasPendingOrder reports whether an order for an artifact may still take
// effect.
func (l *Ledger) hasPendingOrder(a Artifact) bool {
	return slices.ContainsFunc(l.pending, func(o pendingOrder) bool { return orderArtifact(o.Order) == a })
}

// hasPendingUnload reports whether an unload of an artifact may still take
// effect.
func (l *Ledger) hasPendingUnload(a Artifact) bool {
	return slices.ContainsFunc(l.pending, func(o pendingOrder) bool {
		return o.Action == plat.ActionUnload && orderArtifact(o.Order) == a
	})
}

// issueOrder creates an order with the next fencing number and records it as
// pending.
func (l *Ledger) issueOrder(now time.Time, action plat.Action, a Artifact, bytes int64) plat.Order {
	l.lastFence++
	o := l.newOrder(l.lastFence, action, a, bytes)
	l.pending = append(l.pending, pendingOrder{
		Order:  o,
		sentAt: now,
	})
	return o
}

// fenceWindowFull reports whether so many fencing numbers are unacknowledged
// that a later agent could not start above all of them after one more.
func (l *Ledger) fenceWindowFull() bool {
	return l.report.ChecksFence && l.lastFence >= l.report.Fence+fenceWindow
}

// newOrder returns an order with a fencing number and the ID made of it.
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
