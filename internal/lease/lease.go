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
	Peers       netip.AddrPort `json:"peers"`
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
	// Quiet is the part at the end of Duration in which the holder gives no
	// orders, so that the orders of two holders are that far apart.
	Quiet time.Duration
	// Renewal is the time between renewals.
	Renewal time.Duration
	// Margin is what a newcomer waits beyond Duration.
	Margin time.Duration
}

// Lease is one entry's knowledge of the lease. The caller reads and appends
// records and tells the outcome.
type Lease struct {
	host        string
	incarnation uint64
	peers       netip.AddrPort
	timing      Timing

	known  bool
	exists bool
	record Record
	// end is the offset at which the log ended when it was read.
	end int64
	// seenAt is when the newest record was first seen.
	seenAt time.Time
	// renewal numbers the own records, sent holds when they were sent.
	renewal uint64
	sent    map[uint64]time.Time
	// until is the end of the own term, ordersFrom when its orders may begin.
	until      time.Time
	ordersFrom time.Time
	// abdicated is the run of a holder that said, at quitAt, that it has ended
	// its term; quitRenewal is the last record that it may have sent before.
	abdicated   uint64
	quitRenewal uint64
	quitAt      time.Time
	next        time.Time
}

// New returns the knowledge of an entry that has read nothing yet.
func New(host string, incarnation uint64, peers netip.AddrPort, timing Timing) *Lease {
	return &Lease{
		host:        host,
		incarnation: incarnation,
		peers:       peers,
		timing:      timing,
		sent:        make(map[uint64]time.Time),
	}
}

// Holds reports whether this entry leads.
func (l *Lease) Holds(now time.Time) bool { return now.Before(l.until) }

// MayOrder reports whether this entry leads and may give orders.
func (l *Lease) MayOrder(now time.Time) bool {
	return !now.Before(l.ordersFrom) && now.Before(l.OrdersUntil())
}

// Unrenewed reports whether this entry leads but has not been able to renew its
// term for so long that it may give no more orders.
func (l *Lease) Unrenewed(now time.Time) bool {
	return l.Holds(now) && !now.Before(l.OrdersUntil())
}

// Abdicate ends the own term and returns the number of the last record of it.
// Appends that were sent before don't extend it if they turn up in the log later.
func (l *Lease) Abdicate(now time.Time) uint64 {
	l.until = time.Time{}
	clear(l.sent)
	l.next = now.Add(l.timing.Duration)
	return l.renewal
}

// Abdicated takes the word of the holder that it has ended its term, whose
// records are numbered up to renewal.
func (l *Lease) Abdicated(now time.Time, host string, renewal uint64) {
	if l.exists && l.record.Host == host {
		l.abdicated = l.record.Incarnation
		l.quitRenewal = renewal
		l.quitAt = now
		l.next = now
	}
}

// OrdersUntil returns the end of the time in which this entry may give orders.
func (l *Lease) OrdersUntil() time.Time { return l.until.Add(-l.timing.Quiet) }

// SentAt returns when an own record was sent.
func (l *Lease) SentAt(renewal uint64) (time.Time, bool) {
	at, ok := l.sent[renewal]
	return at, ok
}

// Term returns the offset at which the own term began.
func (l *Lease) Term() int64 { return l.record.Term }

// Current returns the newest record that was seen.
func (l *Lease) Current() (Record, bool) { return l.record, l.exists }

// Known reports whether the log was read at all.
func (l *Lease) Known() bool { return l.known }

// Read takes the newest record of the log, with the offset of that record and
// the end of the log. readAt is when the read was sent.
func (l *Lease) Read(now time.Time, record Record, offset, end int64, exists bool) {
	l.known = true
	if exists && (!l.exists || offset+1 > l.end || record.Incarnation != l.record.Incarnation) {
		l.seenAt = now
	}
	l.end = max(l.end, end)
	if !exists {
		return
	}
	if record.Term == 0 && record.Renewal == 1 {
		record.Term = offset
	}
	l.exists = true
	l.record = record
	l.confirm(record)
}

// confirm extends the own term if a record of this process was found in the log.
func (l *Lease) confirm(record Record) {
	if record.Incarnation != l.incarnation || record.Host != l.host {
		l.until = time.Time{}
		return
	}
	if sent, ok := l.sent[record.Renewal]; ok {
		l.extend(record, sent)
	}
}

func (l *Lease) extend(record Record, sent time.Time) {
	if record.Released {
		l.until = time.Time{}
		return
	}
	if until := sent.Add(l.timing.Duration); until.After(l.until) {
		l.until = until
	}
}

// Due reports whether a record should be appended now: a renewal, or a first
// one since the last holder's term has passed.
func (l *Lease) Due(now time.Time) bool {
	if !l.known || now.Before(l.next) {
		return false
	}
	return l.Holds(now) || l.free(now)
}

// free reports whether no other host can hold the lease.
func (l *Lease) free(now time.Time) bool {
	if !l.exists || l.record.Host == l.host {
		return true
	}
	if l.record.Released || l.quit() {
		return true
	}
	return !now.Before(l.seenAt.Add(l.timing.Duration + l.timing.Margin))
}

// quit reports whether the holder of the newest record has ended its term.
func (l *Lease) quit() bool {
	return l.abdicated == l.record.Incarnation && l.record.Renewal <= l.quitRenewal
}

// quietEnd returns until when the orders of an earlier holder forbid own ones.
func (l *Lease) quietEnd() time.Time {
	switch {
	case !l.exists || l.record.Host == l.host:
		return time.Time{}
	case l.record.Released:
		return l.seenAt.Add(l.timing.Quiet + l.timing.Margin)
	case l.quit():
		return l.quitAt.Add(l.timing.Quiet + l.timing.Margin)
	default:
		// Its orders ended before its term, which has passed.
		return time.Time{}
	}
}

// Next returns the record to append and the offset at which the log must end.
// It counts from now on, if it is found in the log. A release ends the own term
// at once.
func (l *Lease) Next(now time.Time, members []Member, release bool) (Record, int64) {
	l.renewal++
	l.next = now.Add(l.timing.Renewal)
	record := Record{
		Host:        l.host,
		Incarnation: l.incarnation,
		Renewal:     l.renewal,
		Peers:       l.peers,
		Released:    release,
		Members:     members,
		Term:        l.end,
	}
	if l.exists && l.record.Incarnation == l.incarnation {
		record.Term = l.record.Term
	} else {
		l.ordersFrom = l.quietEnd()
	}
	if release {
		// Others may take the lease as soon as the record is in the log, whether
		// its answer arrives or not.
		l.Abdicate(now)
		return record, l.end
	}
	l.sent[l.renewal] = now
	delete(l.sent, l.renewal-keptRenewals)
	return record, l.end
}

// keptRenewals is how many own records may still turn up in the log.
const keptRenewals = 32

// Appended takes an append that the log has acknowledged.
func (l *Lease) Appended(now time.Time, record Record, at int64) {
	l.exists = true
	l.record = record
	l.seenAt = now
	l.end = max(l.end, at+1)
	if sent, ok := l.sent[record.Renewal]; ok {
		l.extend(record, sent)
	}
}

// Retry makes the next append due after a pause, for appends that failed.
func (l *Lease) Retry(now time.Time, pause time.Duration) { l.next = now.Add(pause) }
