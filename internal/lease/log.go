package lease

import "time"

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
	if l.isNew(read) {
		l.seenAt = now
	}
	l.logEnd = max(l.logEnd, read.End)
	if !read.Exists {
		return
	}
	l.hasRecord = true
	l.record = read.Record
	l.confirm(read.Record)
}

// isNew reports whether a read found a record that was not seen before.
func (l *Lease) isNew(read Read) bool {
	return read.Exists &&
		(!l.hasRecord || read.Offset+1 > l.logEnd || read.Record.Incarnation != l.record.Incarnation)
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

const (
	// eraShift is the position of the era in a fencing token. It leaves room for 2^21
	// eras and 2^32 offsets in a number that JSON keeps exactly.
	eraShift = 32
	// maxTrackedRenewals is how many of this entry's last records may still show up in
	// the log.
	maxTrackedRenewals = 32
)

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
		l.earlierOrdersUntil = time.Time{}
		if l.followsOtherHolder() {
			l.earlierOrdersUntil = l.earlierOrdersEnd()
		}
	}
}

// RetryAfter delays the next append by a pause after an append or a read failed.
func (l *Lease) RetryAfter(now time.Time, delay time.Duration) { l.nextAppendAt = now.Add(delay) }
