package lease

import (
	"cmp"
	"time"
)

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
	switch {
	case l.Stale():
		return !now.Before(l.seenAt.Add(l.maxDuration() + l.timing.Margin))
	case !l.hasRecord || l.record.Host == l.host:
		return true
	case l.record.Released || l.resigned():
		return true
	default:
		return !now.Before(l.TermEnd())
	}
}

// TermEnd returns when the term of another host's newest record is over for certain, if
// the holder doesn't renew it.
func (l *Lease) TermEnd() time.Time {
	duration := cmp.Or(time.Duration(l.record.DurationMs)*time.Millisecond, l.maxDuration())
	sent := l.sentBefore()
	if l.toldByHolder() && l.told.SentAfter.After(sent) {
		sent = l.told.SentAfter // a later record than the one that was read
	}
	return sent.Add(duration + l.timing.Margin)
}

// sentBefore returns a time before which the newest record of the log was sent, provided
// that the log ends where this entry expects. A record of which its holder has told is
// newer than the one that was read, or the same.
func (l *Lease) sentBefore() time.Time {
	if l.toldByHolder() && l.record.Renewal <= l.told.Number && l.told.SentBefore.Before(l.seenAt) {
		return l.told.SentBefore
	}
	return l.seenAt
}

// toldByHolder reports whether the holder of the newest record has told of a renewal.
func (l *Lease) toldByHolder() bool { return l.told.Incarnation == l.record.Incarnation }

// resigned reports whether the holder of the newest record has ended its term.
func (l *Lease) resigned() bool {
	return l.resignedIncarnation == l.record.Incarnation && l.record.Renewal <= l.resignedRenewal
}

// quietUntil returns the time before which this entry must not issue orders because
// of the orders of an earlier holder.
func (l *Lease) quietUntil() time.Time {
	switch {
	case l.followsOtherHolder():
		return l.earlierOrdersEnd().Add(l.timing.QuietPeriod + l.timing.Margin)
	case l.hasRecord:
		return l.seenAt.Add(time.Duration(l.record.QuietMs) * time.Millisecond)
	default:
		return time.Time{}
	}
}

// followsOtherHolder reports whether another host may have held the lease last.
func (l *Lease) followsOtherHolder() bool {
	return l.Stale() || l.hasRecord && l.record.Host != l.host
}

// earlierOrdersEnd returns the time by which another holder's orders have ended.
func (l *Lease) earlierOrdersEnd() time.Time {
	switch {
	case l.Stale():
		return l.seenAt.Add(l.timing.OrderTime)
	case l.record.Released:
		return l.seenAt
	case l.resigned():
		return l.resignedAt
	default:
		return l.sentBefore().Add(l.timing.OrderTime)
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
