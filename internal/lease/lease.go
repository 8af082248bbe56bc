// Package lease decides who leads the fleet: one entry at a time, by records
// that are appended to a log only if the log ends where the writer expects.
package lease

import (
	"net/netip"
	"time"
)

// Member is an entry that the leader counts on, with its standing share of
// every customer's rate.
type Member struct {
	Host  string  `json:"host"`
	Share float64 `json:"share"`
}

// Record is one term or its renewal.
type Record struct {
	Host string `json:"host"`
	// Incarnation is the run of the holder's process, Renewal numbers its
	// records.
	Incarnation uint64         `json:"incarnation"`
	Renewal     uint64         `json:"renewal"`
	PeerAddr    netip.AddrPort `json:"peers"`
	// Term is the offset of the first record of the holder.
	Term int64 `json:"term"`
	// Released is true in the last record of a holder that stops.
	Released bool     `json:"released,omitempty"`
	Members  []Member `json:"members"`
}

// Timing bounds a lease.
type Timing struct {
	// Duration is how long a record counts from the time at which it was sent.
	Duration time.Duration
	// QuietPeriod is the part at the end of Duration in which the holder gives no
	// orders, so that the orders of two holders are that far apart.
	QuietPeriod time.Duration
	// RenewalInterval is the time between renewals.
	RenewalInterval time.Duration
	// Margin is what a newcomer waits beyond Duration.
	Margin time.Duration
}

// Lease is one entry's knowledge of the lease. The caller reads and appends
// records and tells the outcome.
type Lease struct {
	host        string
	incarnation uint64
	peerAddr    netip.AddrPort
	timing      Timing

	hasRead   bool
	hasRecord bool
	record    Record
	// logEnd is the offset at which the log ended when it was read.
	logEnd int64
	// seenAt is when the newest record was first seen.
	seenAt time.Time
	// lastRenewal numbers the own records, sent holds when they were sent.
	lastRenewal uint64
	sentTimes   map[uint64]time.Time
	// heldUntil is the end of the own term, ordersFrom when its orders may begin.
	heldUntil  time.Time
	ordersFrom time.Time
	// resignedIncarnation is the run of a holder that said, at quitAt, that it has ended
	// its term; quitRenewal is the last record that it may have sent before.
	resignedIncarnation uint64
	resignedRenewal     uint64
	resignedAt          time.Time
	nextAppendAt        time.Time
}

// New returns the knowledge of an entry that has read nothing yet.
func New(host string, incarnation uint64, peerAddr netip.AddrPort, timing Timing) *Lease {
	return &Lease{
		host:        host,
		incarnation: incarnation,
		peerAddr:    peerAddr,
		timing:      timing,
		sentTimes:   make(map[uint64]time.Time),
	}
}

// Holds reports whether this entry leads.
func (l *Lease) Holds(now time.Time) bool { return now.Before(l.heldUntil) }

// MayIssueOrders reports whether this entry leads and may give orders.
func (l *Lease) MayIssueOrders(now time.Time) bool {
	return !now.Before(l.ordersFrom) && now.Before(l.OrdersUntil())
}

// Unrenewed reports whether this entry leads but has not been able to renew its
// term for so long that it may give no more orders.
func (l *Lease) Unrenewed(now time.Time) bool {
	return l.Holds(now) && !now.Before(l.OrdersUntil())
}

// Resign ends the own term and returns the number of the last record of it.
// Appends that were sent before don't extend it if they turn up in the log later.
func (l *Lease) Resign(now time.Time) uint64 {
	l.heldUntil = time.Time{}
	clear(l.sentTimes)
	l.nextAppendAt = now.Add(l.timing.Duration)
	return l.lastRenewal
}

// HolderResigned takes the word of the holder that it has ended its term, whose
// records are numbered up to renewal.
func (l *Lease) HolderResigned(now time.Time, host string, renewal uint64) {
	if l.hasRecord && l.record.Host == host {
		l.resignedIncarnation = l.record.Incarnation
		l.resignedRenewal = renewal
		l.resignedAt = now
		l.nextAppendAt = now
	}
}

// OrdersUntil returns the end of the time in which this entry may give orders.
func (l *Lease) OrdersUntil() time.Time { return l.heldUntil.Add(-l.timing.QuietPeriod) }

// SentAt returns when an own record was sent.
func (l *Lease) SentAt(renewal uint64) (time.Time, bool) {
	at, ok := l.sentTimes[renewal]
	return at, ok
}

// Term returns the offset at which the own term began.
func (l *Lease) Term() int64 { return l.record.Term }

// Current returns the newest record that was seen.
func (l *Lease) Current() (Record, bool) { return l.record, l.hasRecord }

// HasRead reports whether the log was read at all.
func (l *Lease) HasRead() bool { return l.hasRead }

// HandleRead takes the newest record of the log, with the offset of that record and
// the end of the log. readAt is when the read was sent.
func (l *Lease) HandleRead(now time.Time, record Record, offset, end int64, exists bool) {
	l.hasRead = true
	if exists && (!l.hasRecord || offset+1 > l.logEnd || record.Incarnation != l.record.Incarnation) {
		l.seenAt = now
	}
	l.logEnd = max(l.logEnd, end)
	if !exists {
		return
	}
	if record.Term == 0 && record.Renewal == 1 {
		record.Term = offset
	}
	l.hasRecord = true
	l.record = record
	l.confirm(record)
}

// confirm extends the own term if a record of this process was found in the log.
func (l *Lease) confirm(record Record) {
	if record.Incarnation != l.incarnation || record.Host != l.host {
		l.heldUntil = time.Time{}
		return
	}
	if sentAt, ok := l.sentTimes[record.Renewal]; ok {
		l.extend(record, sentAt)
	}
}

func (l *Lease) extend(record Record, sentAt time.Time) {
	if record.Released {
		l.heldUntil = time.Time{}
		return
	}
	if until := sentAt.Add(l.timing.Duration); until.After(l.heldUntil) {
		l.heldUntil = until
	}
}

// AppendDue reports whether a record should be appended now: a renewal, or a first
// one since the last holder's term has passed.
func (l *Lease) AppendDue(now time.Time) bool {
	if !l.hasRead || now.Before(l.nextAppendAt) {
		return false
	}
	return l.Holds(now) || l.available(now)
}

// available reports whether no other host can hold the lease.
func (l *Lease) available(now time.Time) bool {
	if !l.hasRecord || l.record.Host == l.host {
		return true
	}
	if l.record.Released || l.resigned() {
		return true
	}
	return !now.Before(l.seenAt.Add(l.timing.Duration + l.timing.Margin))
}

// resigned reports whether the holder of the newest record has ended its term.
func (l *Lease) resigned() bool {
	return l.resignedIncarnation == l.record.Incarnation && l.record.Renewal <= l.resignedRenewal
}

// quietUntil returns until when the orders of an earlier holder forbid own ones.
func (l *Lease) quietUntil() time.Time {
	switch {
	case !l.hasRecord || l.record.Host == l.host:
		return time.Time{}
	case l.record.Released:
		return l.seenAt.Add(l.timing.QuietPeriod + l.timing.Margin)
	case l.resigned():
		return l.resignedAt.Add(l.timing.QuietPeriod + l.timing.Margin)
	default:
		// Its orders ended before its term, which has passed.
		return time.Time{}
	}
}

// NextRecord returns the record to append and the offset at which the log must end.
// It counts from now on, if it is found in the log. A release ends the own term
// at once.
func (l *Lease) NextRecord(now time.Time, members []Member, release bool) (Record, int64) {
	l.lastRenewal++
	l.nextAppendAt = now.Add(l.timing.RenewalInterval)
	record := Record{
		Host:        l.host,
		Incarnation: l.incarnation,
		Renewal:     l.lastRenewal,
		PeerAddr:    l.peerAddr,
		Released:    release,
		Members:     members,
		Term:        l.logEnd,
	}
	if l.hasRecord && l.record.Incarnation == l.incarnation {
		record.Term = l.record.Term
	} else {
		l.ordersFrom = l.quietUntil()
	}
	if release {
		// Others may take the lease as soon as the record is in the log, whether
		// its answer arrives or not.
		l.Resign(now)
		return record, l.logEnd
	}
	l.sentTimes[l.lastRenewal] = now
	delete(l.sentTimes, l.lastRenewal-maxTrackedRenewals)
	return record, l.logEnd
}

// maxTrackedRenewals is how many own records may still turn up in the log.
const maxTrackedRenewals = 32

// HandleAppended takes an append that the log has acknowledged.
func (l *Lease) HandleAppended(now time.Time, record Record, offset int64) {
	l.hasRecord = true
	l.record = record
	l.seenAt = now
	l.logEnd = max(l.logEnd, offset+1)
	if sentAt, ok := l.sentTimes[record.Renewal]; ok {
		l.extend(record, sentAt)
	}
}

// RetryAfter makes the next append due after a pause, for appends that failed.
func (l *Lease) RetryAfter(now time.Time, pause time.Duration) { l.nextAppendAt = now.Add(pause) }
