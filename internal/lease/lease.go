// Package lease elects the leader of the fleet, at most one entry at a time. The
// lease is kept in records that are appended to a log; an append succeeds only if
// the log ends at the offset that the writer expects.
package lease

import (
	"net/netip"
	"time"
)

// Timing holds the durations that define a lease.
type Timing struct {
	// Duration is how long a record is valid from the time at which it was sent.
	Duration time.Duration
	// OrderTime is the part at the beginning of Duration in which the holder may issue
	// orders.
	OrderTime time.Duration
	// QuietPeriod is how far the orders of two holders are apart at least.
	QuietPeriod time.Duration
	// RenewalInterval is the time between renewals.
	RenewalInterval time.Duration
	// Margin is how much longer another entry waits than Duration, or than
	// QuietPeriod after a release or resignation.
	Margin time.Duration
}

// Lease is one entry's view of the lease. It does no I/O: the caller reads and
// appends records and passes the results on.
type Lease struct {
	host        string
	incarnation uint64
	peerAddr    netip.AddrPort
	timing      Timing
	// longestQuiet is the longest quiet period that has been set.
	longestQuiet time.Duration

	hasRead bool
	// record is the newest record that was read, if hasRecord is set.
	hasRecord bool
	record    Record
	// era is the newest era of the log that is known. In a new era the log has lost
	// its newest records.
	era int64
	// logEnd is the highest end offset of the log that is known in its era.
	logEnd int64
	// seenAt is when the newest record or a new era was first seen.
	seenAt time.Time
	// told is the newest renewal of which its holder has told.
	told Renewal
	// lastRenewal is the number of this entry's last record, sentTimes holds when
	// its records were sent.
	lastRenewal uint64
	sentTimes   map[uint64]time.Time
	// term is the fencing token of this entry's present or last term.
	term int64
	// heldUntil is the end of this entry's term, ordersFrom the time from which it
	// may issue orders.
	heldUntil  time.Time
	ordersFrom time.Time
	// earlierOrdersUntil is when the orders of the holder before had ended, zero if this
	// entry knows of none.
	earlierOrdersUntil time.Time
	// resignedIncarnation is the incarnation of a holder that announced, at
	// resignedAt, that it has ended its term; resignedRenewal is the number of the
	// last record that it may have sent before.
	resignedIncarnation uint64
	resignedRenewal     uint64
	resignedAt          time.Time
	// nextAppendAt is the time before which this entry appends nothing.
	nextAppendAt time.Time
}

// New returns the lease of an entry that has not read the log yet.
func New(host string, incarnation uint64, peerAddr netip.AddrPort, timing Timing) *Lease {
	return &Lease{
		host:        host,
		incarnation: incarnation,
		peerAddr:    peerAddr,
		timing:      timing,
		sentTimes:   make(map[uint64]time.Time),

		longestQuiet: timing.QuietPeriod,
	}
}

// maxDuration returns the longest time for which a record of any release is valid. Earlier
// releases derived it from the quiet period, and other hosts may not have a shorter one yet.
func (l *Lease) maxDuration() time.Duration {
	return max(l.timing.Duration, l.timing.OrderTime+l.longestQuiet)
}

// SetQuietPeriod changes how far the orders of two holders are apart. A longer period
// binds a term that has already begun, too.
func (l *Lease) SetQuietPeriod(period time.Duration) {
	l.timing.QuietPeriod = period
	l.longestQuiet = max(l.longestQuiet, period)
	if l.earlierOrdersUntil.IsZero() {
		return
	}
	if from := l.earlierOrdersUntil.Add(period + l.timing.Margin); from.After(l.ordersFrom) {
		l.ordersFrom = from
	}
}

// Holds reports whether this entry holds the lease.
func (l *Lease) Holds(now time.Time) bool { return now.Before(l.heldUntil) }

// MayIssueOrders reports whether this entry holds the lease and may issue orders.
func (l *Lease) MayIssueOrders(now time.Time) bool {
	return !now.Before(l.ordersFrom) && now.Before(l.OrdersUntil())
}

// Unrenewed reports whether this entry holds the lease but has been unable to renew
// it for so long that it may issue no more orders.
func (l *Lease) Unrenewed(now time.Time) bool {
	return l.Holds(now) && !now.Before(l.OrdersUntil())
}

// Resign ends this entry's term and returns the number of its last record. Appends
// that were sent before don't extend the term if they show up in the log later.
func (l *Lease) Resign(now time.Time) uint64 {
	l.heldUntil = time.Time{}
	clear(l.sentTimes)
	l.nextAppendAt = now.Add(l.timing.Duration)
	return l.lastRenewal
}

// OrdersUntil returns the time until which this entry may issue orders.
func (l *Lease) OrdersUntil() time.Time {
	return l.heldUntil.Add(l.timing.OrderTime - l.timing.Duration)
}

// SentAt returns when this entry sent the record with the given number, if that is
// still known.
func (l *Lease) SentAt(renewal uint64) (time.Time, bool) {
	at, ok := l.sentTimes[renewal]
	return at, ok
}

// Term returns the fencing token of this entry's term. It is valid while Holds is
// true.
func (l *Lease) Term() int64 { return l.term }

// PeerAddr returns the address at which this entry accepts sessions of others.
func (l *Lease) PeerAddr() netip.AddrPort { return l.peerAddr }

// Incarnation returns the incarnation of this entry.
func (l *Lease) Incarnation() uint64 { return l.incarnation }

// Current returns the newest known record, if there is one.
func (l *Lease) Current() (Record, bool) { return l.record, l.hasRecord }

// ConfirmedAt returns when the newest known record of the lease was sent or, if that isn't
// known, first read. It is zero if there is no record.
func (l *Lease) ConfirmedAt() time.Time {
	if !l.hasRecord {
		return time.Time{}
	}
	if sentAt, own := l.SentAt(l.record.Renewal); own && l.record.Incarnation == l.incarnation {
		return sentAt
	}
	if l.toldByHolder() && l.told.SentAfter.After(l.seenAt) {
		return l.told.SentAfter
	}
	return l.seenAt
}

// HasRead reports whether the log has been read at least once.
func (l *Lease) HasRead() bool { return l.hasRead }
