package lease

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func testTiming() Timing {
	return Timing{
		Duration:        3400 * time.Millisecond,
		OrderTime:       1600 * time.Millisecond,
		QuietPeriod:     3 * time.Second,
		RenewalInterval: 700 * time.Millisecond,
		Margin:          150 * time.Millisecond,
	}
}

func newLease(host string, incarnation uint64) *Lease {
	return New(host, incarnation, netip.MustParseAddrPort("10.0.0.1:7600"), testTiming())
}

// newHeldLease returns a lease of host "a" in its first term, and the record of it.
func newHeldLease() (*Lease, Record) {
	l := newLease("a", 1)
	l.HandleRead(startTime, Read{})
	record, offset := l.NextRecord(startTime, nil, false)
	l.HandleAppended(startTime, record, offset, 0)
	return l, record
}

// readOf returns the read of a log whose last record is at offset.
func readOf(r Record, offset int64) Read {
	return Read{Record: r, Offset: offset, Exists: true, End: offset + 1}
}

func TestNewEntryWaitsForTermToExpire(t *testing.T) {
	_, record := newHeldLease()
	b := newLease("b", 2)
	b.HandleRead(startTime, readOf(record, 0))
	if b.AppendDue(startTime.Add(3500 * time.Millisecond)) {
		t.Error("append is due within the term of the holder")
	}
	if !b.AppendDue(startTime.Add(3600 * time.Millisecond)) {
		t.Error("append is not due after the term of the holder")
	}
}

func TestRestartedHostReacquiresItsLease(t *testing.T) {
	_, record := newHeldLease()
	restarted := newLease("a", 3)
	restarted.HandleRead(startTime, readOf(record, 0))
	if !restarted.AppendDue(startTime) || restarted.Holds(startTime) {
		t.Error("a restarted host must append at once, and must not hold the lease before")
	}
}

func TestUnansweredAppendExtendsTermFromSendTime(t *testing.T) {
	l, _ := newHeldLease()
	sent := startTime.Add(time.Second)
	record, offset := l.NextRecord(sent, nil, false)
	l.HandleRead(startTime.Add(3*time.Second), readOf(record, offset))
	if !l.Holds(sent.Add(3300*time.Millisecond)) || l.Holds(sent.Add(3500*time.Millisecond)) {
		t.Error("the term doesn't end one lease duration after the append was sent")
	}
}

func TestReleasedLeaseIsAcquiredAtOnceButOrdersWait(t *testing.T) {
	a, _ := newHeldLease()
	released, offset := a.NextRecord(startTime, nil, true)
	a.HandleAppended(startTime, released, offset, 0)
	b := newLease("b", 2)
	b.HandleRead(startTime, readOf(released, offset))
	if a.Holds(startTime) || !b.AppendDue(startTime) {
		t.Fatal("the released lease was not passed on")
	}
	record, offset := b.NextRecord(startTime, nil, false)
	b.HandleAppended(startTime, record, offset, 0)
	if !b.Holds(startTime) || b.MayIssueOrders(startTime.Add(2900*time.Millisecond)) {
		t.Error("a holder may issue orders too soon after those of the last holder")
	}
}

func TestLateAppendDoesNotExtendResignedTerm(t *testing.T) {
	a, _ := newHeldLease()
	late, offset := a.NextRecord(startTime.Add(time.Second), nil, false)
	a.Resign(startTime.Add(2 * time.Second))
	a.HandleAppended(startTime.Add(3*time.Second), late, offset, 0)
	a.HandleRead(startTime.Add(3*time.Second), readOf(late, offset))
	if a.Holds(startTime.Add(3 * time.Second)) {
		t.Error("a late append extended a term that had ended")
	}
}

// The log was restored from a copy that lacks the newest records, so its offsets go
// back. The holder must go on at the new end, and a later holder's fencing token must
// be higher though its offset is lower.
func TestHolderGoesOnAfterLogIsRestored(t *testing.T) {
	l, first := newHeldLease()
	for i := range int64(5) {
		record, _ := l.NextRecord(startTime, nil, false)
		l.HandleAppended(startTime, record, i+1, 0)
	}
	restored := Read{Era: 1, Record: first, Offset: 0, Exists: true, End: 1}
	l.HandleRead(startTime.Add(time.Second), restored)
	if !l.Holds(startTime.Add(time.Second)) || !l.AppendDue(startTime.Add(time.Second)) {
		t.Fatal("the holder doesn't go on")
	}
	renewal, offset := l.NextRecord(startTime.Add(time.Second), nil, false)
	if offset != 1 || renewal.Era != 1 || renewal.Term != first.Term {
		t.Errorf("renewal is %+v at %d, want the same term in era 1 at offset 1", renewal, offset)
	}
	b := newLease("b", 2)
	b.HandleRead(startTime, Read{Record: renewal, Offset: 900, Exists: true, End: 901})
	before, _ := b.NextRecord(startTime.Add(5*time.Second), nil, false)
	b.HandleRead(startTime.Add(5*time.Second), restored)
	after, offset := b.NextRecord(startTime.Add(10*time.Second), nil, false)
	if offset != 1 || after.Term <= before.Term {
		t.Errorf("fencing token %d at offset %d after %d, want a higher one at offset 1", after.Term, offset, before.Term)
	}
}

// A record of an earlier release is valid for longer.
func TestRecordOfEarlierReleaseIsWaitedOut(t *testing.T) {
	_, record := newHeldLease()
	record.DurationMs = 0
	b := newLease("b", 2)
	b.HandleRead(startTime, readOf(record, 0))
	if b.AppendDue(startTime.Add(4700 * time.Millisecond)) {
		t.Error("append is due within the term of a holder of an earlier release")
	}
	if !b.AppendDue(startTime.Add(4800 * time.Millisecond)) {
		t.Error("append is not due after that term")
	}
}

// A release in a stale record doesn't pass the lease on: the holder after it may have
// been lost with the newest records.
func TestStaleReleaseDoesNotPassLeaseOn(t *testing.T) {
	a, _ := newHeldLease()
	released, offset := a.NextRecord(startTime, nil, true)
	read := readOf(released, offset)
	read.Era = 1
	b := newLease("b", 2)
	b.HandleRead(startTime, read)
	if b.AppendDue(startTime.Add(4700 * time.Millisecond)) {
		t.Error("append is due while a holder of the era before may hold the lease")
	}
	if !b.AppendDue(startTime.Add(4800 * time.Millisecond)) {
		t.Error("append is not due after that")
	}
}

// entry is one of the entries of TestOrdersOfTwoHoldersAreSeparated.
type entry struct {
	lease       *Lease
	callPending bool
	frozenUntil time.Time
	// acknowledged is the number of the last record whose append was acknowledged.
	acknowledged uint64
}

// simLog simulates a log whose responses are late or lost, and whose appends may take
// effect late.
type simLog struct {
	records []Record
	era     int64
	queue   []delayedCall
}

// read returns a read of the present content.
func (s *simLog) read() Read {
	result := Read{Era: s.era, End: int64(len(s.records))}
	if last := len(s.records) - 1; last >= 0 {
		result.Record, result.Offset, result.Exists = s.records[last], int64(last), true
	}
	return result
}

// restore replaces the content by a copy that lacks the last n records.
func (s *simLog) restore(n int) {
	s.era++
	s.records = s.records[:max(len(s.records)-n, 0)]
}

type delayedCall struct {
	at  time.Time
	run func(now time.Time)
}

func (s *simLog) schedule(at time.Time, run func(time.Time)) {
	s.queue = append(s.queue, delayedCall{at: at, run: run})
}

func (s *simLog) run(now time.Time) {
	queue := s.queue
	s.queue = nil
	for _, call := range queue {
		if now.Before(call.at) {
			s.queue = append(s.queue, call)
			continue
		}
		call.run(now)
	}
}

func (s *simLog) append(r Record, offset int64) bool {
	if int64(len(s.records)) != offset {
		return false
	}
	s.records = append(s.records, r)
	return true
}

// TestOrdersOfTwoHoldersAreSeparated checks that at most one entry holds the lease and
// that the orders of two holders are at least a quiet period apart. Entries freeze,
// restart and resign; their appends are acknowledged late, lost or executed late; the log is
// restored from copies. Fencing tokens never decrease.
func TestOrdersOfTwoHoldersAreSeparated(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		log := &simLog{}
		hosts := []string{"a", "b", "c"}
		entries := []*entry{{lease: newLease("a", 1)}, {lease: newLease("b", 2)}, {lease: newLease("c", 3)}}
		now := startTime
		lastOrder, lastIssuer, lastTerm := time.Time{}, -1, int64(-1)
		read := func(e *entry) {
			result, l := log.read(), e.lease
			log.schedule(now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rt, "read"))*time.Millisecond), func(now time.Time) {
				if e.lease != l {
					return // the process that read has ended
				}
				e.callPending = false
				l.HandleRead(now, result)
			})
		}
		appendNext := func(e *entry) {
			l := e.lease
			record, offset := l.NextRecord(now, nil, rapid.IntRange(0, 39).Draw(rt, "release") == 0)
			appendAt := now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "append")) * time.Millisecond)
			lost := rapid.IntRange(0, 3).Draw(rt, "lost") == 0
			if lost && rapid.Bool().Draw(rt, "late") {
				appendAt = now.Add(time.Duration(rapid.IntRange(1000, 6000).Draw(rt, "late append")) * time.Millisecond)
			}
			log.schedule(appendAt, func(now time.Time) {
				ok := log.append(record, offset)
				if lost || e.lease != l {
					return
				}
				if ok {
					l.HandleAppended(now, record, offset, log.era)
					e.acknowledged = record.Renewal
					e.callPending = false
					return
				}
				read(e)
			})
			if lost {
				log.schedule(now.Add(1500*time.Millisecond), func(time.Time) {
					if e.lease == l {
						read(e)
					}
				})
			}
		}
		// tellRenewal tells all entries of the last renewal of a holder, as its states do.
		tellRenewal := func(e *entry) {
			sentAt, known := e.lease.SentAt(e.acknowledged)
			if !known || !e.lease.Holds(now) {
				return
			}
			age := now.Sub(sentAt)
			told := Renewal{
				Host:        e.lease.host,
				Incarnation: e.lease.incarnation,
				Number:      e.acknowledged,
				SentAfter:   sentAt.Add(-time.Duration(rapid.IntRange(0, 300).Draw(rt, "report")) * time.Millisecond),
			}
			delay := time.Duration(rapid.IntRange(0, 600).Draw(rt, "state delay")) * time.Millisecond
			log.schedule(now.Add(delay), func(now time.Time) {
				told.SentBefore = now.Add(-age)
				for _, other := range entries {
					other.lease.HolderRenewed(told)
				}
			})
		}
		incarnation := uint64(len(entries))
		for range 600 {
			now = now.Add(step)
			log.run(now)
			if rapid.IntRange(0, 149).Draw(rt, "restore") == 0 {
				log.restore(rapid.IntRange(0, 8).Draw(rt, "records lost"))
			}
			holders := 0
			for i, e := range entries {
				if now.Before(e.frozenUntil) {
					continue
				}
				if rapid.IntRange(0, 199).Draw(rt, "freeze") == 0 {
					e.frozenUntil = now.Add(time.Duration(rapid.IntRange(500, 9000).Draw(rt, "freeze duration")) * time.Millisecond)
					continue
				}
				if rapid.IntRange(0, 149).Draw(rt, "restart") == 0 {
					incarnation++
					e.lease = newLease(hosts[i], incarnation)
					e.acknowledged = 0
					e.callPending = false
				}
				if e.lease.Holds(now) {
					holders++
				}
				if e.lease.MayIssueOrders(now) {
					if lastIssuer >= 0 && lastIssuer != i && now.Sub(lastOrder) < 3*time.Second {
						rt.Fatalf("orders of entries %d and %d are %v apart, want at least 3s", lastIssuer, i, now.Sub(lastOrder))
					}
					if term := e.lease.Term(); term < lastTerm || term == lastTerm && lastIssuer != i {
						rt.Fatalf("entry %d gives orders with fencing token %d after entry %d with %d", i, term, lastIssuer, lastTerm)
					}
					lastOrder, lastIssuer, lastTerm = now, i, e.lease.Term()
				}
				if rapid.IntRange(0, 4).Draw(rt, "state") == 0 {
					tellRenewal(e)
				}
				if e.lease.Unrenewed(now) && rapid.IntRange(0, 4).Draw(rt, "resign") == 0 {
					renewal := e.lease.Resign(now)
					for _, other := range entries {
						other.lease.HolderResigned(now, hosts[i], renewal)
					}
				}
				if e.callPending {
					continue
				}
				if !e.lease.HasRead() || rapid.IntRange(0, 19).Draw(rt, "read now") == 0 {
					e.callPending = true
					read(e)
				} else if e.lease.AppendDue(now) {
					e.callPending = true
					appendNext(e)
				}
			}
			if holders > 1 {
				rt.Fatalf("%d entries hold the lease, want at most 1", holders)
			}
		}
	})
}

// The holder of a term that has expired may have issued orders until its order time was
// over. Its successor must wait for the quiet period from then on.
func TestSuccessorOfExpiredTermWaitsWithOrders(t *testing.T) {
	_, record := newHeldLease()
	b := newLease("b", 2)
	b.HandleRead(startTime, readOf(record, 0))
	at := startTime.Add(3600 * time.Millisecond)
	next, offset := b.NextRecord(at, nil, false)
	b.HandleAppended(at, next, offset, 0)
	if !b.Holds(at) {
		t.Fatal("the successor doesn't hold the lease")
	}
	renewed := startTime.Add(4500 * time.Millisecond)
	next, offset = b.NextRecord(renewed, nil, false)
	b.HandleAppended(renewed, next, offset, 0)
	if b.MayIssueOrders(startTime.Add(4700 * time.Millisecond)) {
		t.Error("the successor orders within 3 s of the last possible order of the holder before")
	}
	if !b.MayIssueOrders(startTime.Add(4800 * time.Millisecond)) {
		t.Error("the successor doesn't order after that")
	}
}

// A holder has told when it sent its last record. An entry that reads this record much
// later waits from then, not from its own read; but it waits from the read if the record is
// newer than the one of which it was told.
func TestTermIsCountedFromToldRenewal(t *testing.T) {
	_, record := newHeldLease()
	told := Renewal{
		Host:        "a",
		Incarnation: 1,
		Number:      record.Renewal,
		SentAfter:   startTime.Add(-100 * time.Millisecond),
		SentBefore:  startTime.Add(100 * time.Millisecond),
	}
	readAt := startTime.Add(2 * time.Second)
	for _, test := range []struct {
		name      string
		newer     bool
		countFrom time.Time
	}{
		{name: "the record of which the holder told", countFrom: told.SentBefore},
		{name: "a newer record", newer: true, countFrom: readAt},
	} {
		b := newLease("b", 2)
		b.HandleRead(startTime, readOf(record, 0))
		b.HolderRenewed(told)
		read := readOf(record, 5)
		if test.newer {
			read.Record.Renewal++
		}
		b.HandleRead(readAt, read)
		end := test.countFrom.Add(b.timing.Duration + b.timing.Margin)
		if b.AppendDue(end.Add(-time.Millisecond)) {
			t.Errorf("%s: append is due before the end of the term", test.name)
		}
		if !b.AppendDue(end) {
			t.Errorf("%s: append is not due at the end of the term", test.name)
		}
	}
}

func TestConfirmedAtIsTheSendingOfTheNewestKnownRecord(t *testing.T) {
	holder, record := newHeldLease()
	if got := holder.ConfirmedAt(); !got.Equal(startTime) {
		t.Errorf("the holder's record is of %v, want its sending at %v", got, startTime)
	}
	follower := newLease("b", 2)
	if got := follower.ConfirmedAt(); !got.IsZero() {
		t.Errorf("without a record: %v, want no time", got)
	}
	readAt := startTime.Add(time.Second)
	follower.HandleRead(readAt, readOf(record, 0))
	if got := follower.ConfirmedAt(); !got.Equal(readAt) {
		t.Errorf("after a read: %v, want the time of the read, %v", got, readAt)
	}
	sentAt := readAt.Add(time.Second)
	follower.HolderRenewed(Renewal{
		Host:        record.Host,
		Incarnation: record.Incarnation,
		Number:      record.Renewal + 1,
		SentAfter:   sentAt,
		SentBefore:  sentAt.Add(time.Millisecond),
	})
	if got := follower.ConfirmedAt(); !got.Equal(sentAt) {
		t.Errorf("after the holder told of a renewal: %v, want its sending at %v", got, sentAt)
	}
}

// The keys of streams must be read from the log as they were written, and damaged ones be
// refused as a whole.
func TestStreamKeysAreReadAsWritten(t *testing.T) {
	keys := StreamKeys{0, 1, math.MaxUint64}
	text, err := keys.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	var read StreamKeys
	if err := read.UnmarshalText(text); err != nil || !slices.Equal(read, keys) {
		t.Errorf("read %v, %v, want %v", read, err, keys)
	}
	for _, damaged := range []string{"AAAA", "!"} {
		if err := read.UnmarshalText([]byte(damaged)); err == nil {
			t.Errorf("%q was read", damaged)
		}
	}
}
