// Package lease elects the leader of the fleet, at most one entry at a time. The
// lease is kept in records that are appended to a log; an append succeeds only if
// the log ends at the offset that the writer expects.
package lease

import (
	"net/netip"
	"time"
)

// Member is an entry that the leader counts as part of the fleet, with its standing
// share of every customer's rate.
type Member struct {
	Host  string  `json:"host"`
	Share float64 `json:"share"`
}

// Record starts or renews a term of a leader.
type Record struct {
	Host string `json:"host"`
	// Incarnation identifies a run of the holder's process, Renewal numbers the
	// records of that run.
	Incarnation uint64         `json:"incarnation"`
	Renewal     uint64         `json:"renewal"`
	PeerAddr    netip.AddrPort `json:"peers"`
	// Era is the era of the log for which the record was written.
	Era int64 `json:"era,omitempty"`
	// Term is the fencing token of the term. It grows with the era of the log and
	// the offset of the first record of the term.
	Term int64 `json:"term"`
	// DurationMs is how long the record is valid from when it was sent, in milliseconds.
	// Earlier releases don't write it; their records are valid for the order time and the
	// quiet period together.
	DurationMs int64 `json:"durationMs,omitempty"`
	// QuietMs is how long the holder must still issue no orders, in milliseconds, because
	// of those of an earlier holder. It also binds later processes on its host.
	QuietMs int64 `json:"quietMs,omitempty"`
	// Released is true in the last record of a holder that shuts down.
	Released bool     `json:"released,omitempty"`
	Members  []Member `json:"members"`
	// Quarantine holds the parts of prompts that are kept from engines, so that it
	// outlives all entries.
	Quarantine []QuarantinedPart `json:"quarantine,omitempty"`
}

// QuarantinedPart is a part of prompts that is kept from engines.
type QuarantinedPart struct {
	Part uint64 `json:"part,string"`
	// RemainingMs is the time to the end of the quarantine in milliseconds when the
	// record was written, negative after it; DurationMs is that of the whole
	// quarantine.
	RemainingMs int64 `json:"remainingMs"`
	DurationMs  int64 `json:"durationMs"`
}

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

	hasRead   bool
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
	// resignedIncarnation is the incarnation of a holder that announced, at
	// resignedAt, that it has ended its term; resignedRenewal is the number of the
	// last record that it may have sent before.
	resignedIncarnation uint64
	resignedRenewal     uint64
	resignedAt          time.Time
	nextAppendAt        time.Time
}

// New returns the lease of an entry that has not read the log yet.
func New(host string, incarnation uint64, peerAddr netip.AddrPort, timing Timing) *Lease {
	return &Lease{
		host:        host,
		incarnation: incarnation,
		peerAddr:    peerAddr,
		timing:      timing,
		sentTimes:   make(map[uint64]time.Time),
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

// HolderResigned records the holder's announcement that it has ended its term, and
// that the records of the term are numbered up to renewal.
func (l *Lease) HolderResigned(now time.Time, host string, renewal uint64) {
	if l.hasRecord && l.record.Host == host {
		l.resignedIncarnation = l.record.Incarnation
		l.resignedRenewal = renewal
		l.resignedAt = now
		l.nextAppendAt = now
	}
}

// Renewal is a holder's word that a record of its own is in the log.
type Renewal struct {
	Host        string
	Incarnation uint64
	Number      uint64
	// SentAfter and SentBefore bound the time at which the record was sent.
	SentAfter  time.Time
	SentBefore time.Time
}

// HolderRenewed records what the holder of the newest record has told of its last renewal.
func (l *Lease) HolderRenewed(r Renewal) {
	if l.hasRecord && l.record.Host == r.Host && l.record.Incarnation == r.Incarnation {
		l.told = r
	}
}

// sentBefore returns a time before which the newest record of the log was sent, provided
// that the log ends where this entry expects. A record of which its holder has told is
// newer than the one that was read, or the same.
func (l *Lease) sentBefore() time.Time {
	if l.told.Incarnation == l.record.Incarnation && l.record.Renewal <= l.told.Number && l.told.SentBefore.Before(l.seenAt) {
		return l.told.SentBefore
	}
	return l.seenAt
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

// Incarnation returns the incarnation of this entry.
func (l *Lease) Incarnation() uint64 { return l.incarnation }

// Current returns the newest known record, if there is one.
func (l *Lease) Current() (Record, bool) { return l.record, l.hasRecord }

// HasRead reports whether the log has been read at least once.
func (l *Lease) HasRead() bool { return l.hasRead }

// Read is the result of a read of the log.
type Read struct {
	// Era is the era of the log.
	Era int64
	// Record is the newest record and Offset its offset, if Exists is set.
	Record Record
	Offset int64
	Exists bool
	// End is the end of the log.
	End int64
}

// HandleRead handles the result of a read, which arrived at now. Results of earlier
// eras are ignored.
func (l *Lease) HandleRead(now time.Time, read Read) {
	if read.Era < l.era {
		return
	}
	l.hasRead = true
	if read.Era > l.era {
		l.era = read.Era
		l.logEnd = 0
		l.seenAt = now
	}
	record := read.Record
	if read.Exists && (!l.hasRecord || read.Offset+1 > l.logEnd || record.Incarnation != l.record.Incarnation) {
		l.seenAt = now
	}
	l.logEnd = max(l.logEnd, read.End)
	if !read.Exists {
		return
	}
	l.hasRecord = true
	l.record = record
	l.confirm(record)
}

// Stale reports whether the newest record is of an earlier era of the log: records
// that followed it may have been lost, so it doesn't tell who holds the lease.
func (l *Lease) Stale() bool { return l.era > 0 && (!l.hasRecord || l.record.Era != l.era) }

// confirm extends this entry's term if the record that was read from the log is its
// own, and ends the term otherwise. A stale record proves neither: an append for an
// earlier era may take effect in this one.
func (l *Lease) confirm(record Record) {
	if l.Stale() {
		return
	}
	if record.Incarnation != l.incarnation || record.Host != l.host {
		l.heldUntil = time.Time{}
		return
	}
	if sentAt, ok := l.sentTimes[record.Renewal]; ok {
		l.extend(record, sentAt)
	}
}

// extend extends this entry's term by a record of its own that is in the log. A
// release ends the term instead.
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
// record because the last holder's term is over.
func (l *Lease) AppendDue(now time.Time) bool {
	if !l.hasRead || now.Before(l.nextAppendAt) {
		return false
	}
	return l.Holds(now) || l.available(now)
}

// available reports whether no other host can be holding the lease.
func (l *Lease) available(now time.Time) bool {
	longest := l.timing.OrderTime + l.timing.QuietPeriod // of the records of any release
	if l.Stale() {
		return !now.Before(l.seenAt.Add(longest + l.timing.Margin))
	}
	if !l.hasRecord || l.record.Host == l.host {
		return true
	}
	if l.record.Released || l.resigned() {
		return true
	}
	return !now.Before(l.TermEnd())
}

// TermEnd returns when the term of another host's newest record is over for certain, if
// the holder doesn't renew it.
func (l *Lease) TermEnd() time.Time {
	duration := time.Duration(l.record.DurationMs) * time.Millisecond
	if duration == 0 {
		duration = l.timing.OrderTime + l.timing.QuietPeriod
	}
	sent := l.sentBefore()
	if l.told.Incarnation == l.record.Incarnation && l.told.SentAfter.After(sent) {
		sent = l.told.SentAfter // a later record than the one that was read
	}
	return sent.Add(duration + l.timing.Margin)
}

// resigned reports whether the holder of the newest record has ended its term.
func (l *Lease) resigned() bool {
	return l.resignedIncarnation == l.record.Incarnation && l.record.Renewal <= l.resignedRenewal
}

// quietUntil returns the time before which this entry must not issue orders because
// of the orders of an earlier holder.
func (l *Lease) quietUntil() time.Time {
	// Orders that a record permits end before this time.
	ordersEnd := l.sentBefore().Add(l.timing.OrderTime)
	switch {
	case l.Stale():
		return l.seenAt.Add(l.timing.OrderTime + l.timing.QuietPeriod + l.timing.Margin)
	case !l.hasRecord:
		return time.Time{}
	case l.record.Host == l.host:
		return l.seenAt.Add(time.Duration(l.record.QuietMs) * time.Millisecond)
	case l.record.Released:
		return l.seenAt.Add(l.timing.QuietPeriod + l.timing.Margin)
	case l.resigned():
		return l.resignedAt.Add(l.timing.QuietPeriod + l.timing.Margin)
	default:
		return ordersEnd.Add(l.timing.QuietPeriod + l.timing.Margin)
	}
}

// NextRecord returns the record to append and the offset at which the log must end.
// The record is valid from now on if it is found in the log. A release ends this
// entry's term at once.
func (l *Lease) NextRecord(now time.Time, members []Member, release bool) (Record, int64) {
	l.lastRenewal++
	l.nextAppendAt = now.Add(l.timing.RenewalInterval)
	if !l.Holds(now) {
		l.beginTerm()
	}
	record := Record{
		Host:        l.host,
		Incarnation: l.incarnation,
		Renewal:     l.lastRenewal,
		PeerAddr:    l.peerAddr,
		Era:         l.era,
		DurationMs:  l.timing.Duration.Milliseconds(),
		QuietMs:     max(l.ordersFrom.Sub(now), 0).Milliseconds(),
		Released:    release,
		Members:     members,
		Term:        l.term,
	}
	if release {
		// Others may acquire the lease as soon as the record is in the log, whether
		// or not the acknowledgement arrives.
		l.Resign(now)
		return record, l.logEnd
	}
	l.sentTimes[l.lastRenewal] = now
	delete(l.sentTimes, l.lastRenewal-maxTrackedRenewals)
	return record, l.logEnd
}

// beginTerm sets the fencing token of a new term, and the time from which it permits
// orders.
func (l *Lease) beginTerm() {
	l.term = l.era<<eraShift + l.logEnd
	if l.Stale() || !l.hasRecord || l.record.Incarnation != l.incarnation {
		l.ordersFrom = l.quietUntil()
	}
}

// eraShift is the position of the era in a fencing token. It leaves room for 2^21
// eras and 2^32 offsets in a number that JSON keeps exactly.
const eraShift = 32

// maxTrackedRenewals is how many of this entry's last records may still show up in
// the log.
const maxTrackedRenewals = 32

// HandleAppended handles an append that the log has acknowledged, in the given era.
func (l *Lease) HandleAppended(now time.Time, record Record, offset, era int64) {
	l.HandleRead(now, Read{
		Era:    era,
		Record: record,
		Offset: offset,
		Exists: true,
		End:    offset + 1,
	})
}

// RetryAfter delays the next append by a pause after an append or a read failed.
func (l *Lease) RetryAfter(now time.Time, delay time.Duration) { l.nextAppendAt = now.Add(delay) }
