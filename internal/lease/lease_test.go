package lease

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func testTiming() Timing {
	return Timing{
		Duration: 4600 * time.Millisecond,
		Quiet:    3 * time.Second,
		Renewal:  700 * time.Millisecond,
		Margin:   150 * time.Millisecond,
	}
}

func newLease(host string, incarnation uint64) *Lease {
	return New(host, incarnation, netip.MustParseAddrPort("10.0.0.1:7600"), testTiming())
}

// held returns a lease of host "a" in its first term, and the record.
func held() (*Lease, Record) {
	l := newLease("a", 1)
	l.Read(begin, Record{}, 0, 0, false)
	record, at := l.Next(begin, nil, false)
	l.Appended(begin, record, at)
	return l, record
}

func TestNewcomerWaitsTheTermOut(t *testing.T) {
	_, record := held()
	b := newLease("b", 2)
	b.Read(begin, record, 0, 1, true)
	if b.Due(begin.Add(4700 * time.Millisecond)) {
		t.Error("due within the term of the holder")
	}
	if !b.Due(begin.Add(4800 * time.Millisecond)) {
		t.Error("not due after the term of the holder")
	}
}

func TestRestartedHostTakesItsOwnLease(t *testing.T) {
	_, record := held()
	again := newLease("a", 3)
	again.Read(begin, record, 0, 1, true)
	if !again.Due(begin) || again.Holds(begin) {
		t.Error("a restarted host must append at once, and not hold before")
	}
}

func TestUnansweredAppendCountsFromItsSending(t *testing.T) {
	l, _ := held()
	sent := begin.Add(time.Second)
	record, at := l.Next(sent, nil, false)
	l.Read(begin.Add(3*time.Second), record, at, at+1, true)
	if !l.Holds(sent.Add(4500*time.Millisecond)) || l.Holds(sent.Add(4700*time.Millisecond)) {
		t.Error("the term doesn't end a duration after the append was sent")
	}
}

func TestReleasedLeaseIsTakenAtOnceButOrdersWait(t *testing.T) {
	a, _ := held()
	released, at := a.Next(begin, nil, true)
	a.Appended(begin, released, at)
	b := newLease("b", 2)
	b.Read(begin, released, at, at+1, true)
	if a.Holds(begin) || !b.Due(begin) {
		t.Fatal("the lease was not handed on")
	}
	record, at := b.Next(begin, nil, false)
	b.Appended(begin, record, at)
	if !b.Holds(begin) || b.MayOrder(begin.Add(2900*time.Millisecond)) {
		t.Error("orders follow those of the last holder too soon")
	}
}

func TestAbdicatedTermIsNotExtendedByALateAppend(t *testing.T) {
	a, _ := held()
	late, at := a.Next(begin.Add(time.Second), nil, false)
	a.Abdicate(begin.Add(2 * time.Second))
	a.Appended(begin.Add(3*time.Second), late, at)
	a.Read(begin.Add(3*time.Second), late, at, at+1, true)
	if a.Holds(begin.Add(3 * time.Second)) {
		t.Error("a term that was ended goes on")
	}
}

// entry is one of the entries of the check below.
type entry struct {
	lease   *Lease
	waiting bool
	frozen  time.Time
}

// simLog is a log whose answers are late or lost, and whose appends may act late.
type simLog struct {
	records []Record
	queue   []delayed
}

type delayed struct {
	at time.Time
	do func(now time.Time)
}

func (s *simLog) later(at time.Time, do func(time.Time)) {
	s.queue = append(s.queue, delayed{at: at, do: do})
}

func (s *simLog) run(now time.Time) {
	due := s.queue
	s.queue = nil
	for _, d := range due {
		if now.Before(d.at) {
			s.queue = append(s.queue, d)
			continue
		}
		d.do(now)
	}
}

func (s *simLog) append(r Record, at int64) bool {
	if int64(len(s.records)) != at {
		return false
	}
	s.records = append(s.records, r)
	return true
}

// TestOrdersOfTwoHoldersAreFarApart has entries that freeze, whose appends are
// answered late, lost or carried out late, and that abdicate.
func TestOrdersOfTwoHoldersAreFarApart(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		log := &simLog{}
		entries := []*entry{{lease: newLease("a", 1)}, {lease: newLease("b", 2)}, {lease: newLease("c", 3)}}
		now := begin
		lastOrder, lastHolder := time.Time{}, -1
		read := func(e *entry) {
			sent := append([]Record(nil), log.records...)
			log.later(now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rt, "read"))*time.Millisecond), func(now time.Time) {
				e.waiting = false
				if len(sent) == 0 {
					e.lease.Read(now, Record{}, 0, 0, false)
					return
				}
				e.lease.Read(now, sent[len(sent)-1], int64(len(sent)-1), int64(len(sent)), true)
			})
		}
		try := func(e *entry) {
			record, at := e.lease.Next(now, nil, rapid.IntRange(0, 39).Draw(rt, "release") == 0)
			done := now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "append")) * time.Millisecond)
			lost := rapid.IntRange(0, 3).Draw(rt, "lost") == 0
			if lost && rapid.Bool().Draw(rt, "late") {
				done = now.Add(time.Duration(rapid.IntRange(1000, 6000).Draw(rt, "acts")) * time.Millisecond)
			}
			log.later(done, func(now time.Time) {
				ok := log.append(record, at)
				if lost {
					return
				}
				if ok {
					e.lease.Appended(now, record, at)
					e.waiting = false
					return
				}
				read(e)
			})
			if lost {
				log.later(now.Add(1500*time.Millisecond), func(time.Time) { read(e) })
			}
		}
		for range 600 {
			now = now.Add(step)
			log.run(now)
			holders := 0
			for i, e := range entries {
				if now.Before(e.frozen) {
					continue
				}
				if rapid.IntRange(0, 199).Draw(rt, "freeze") == 0 {
					e.frozen = now.Add(time.Duration(rapid.IntRange(500, 9000).Draw(rt, "for")) * time.Millisecond)
					continue
				}
				if e.lease.Holds(now) {
					holders++
				}
				if e.lease.MayOrder(now) {
					if lastHolder >= 0 && lastHolder != i && now.Sub(lastOrder) < 3*time.Second {
						rt.Fatalf("orders of %d and %d are %v apart", lastHolder, i, now.Sub(lastOrder))
					}
					lastOrder, lastHolder = now, i
				}
				if e.lease.Unrenewed(now) && rapid.IntRange(0, 4).Draw(rt, "abdicate") == 0 {
					renewal := e.lease.Abdicate(now)
					for _, other := range entries {
						other.lease.Abdicated(now, []string{"a", "b", "c"}[i], renewal)
					}
				}
				if e.waiting {
					continue
				}
				if !e.lease.Known() || rapid.IntRange(0, 19).Draw(rt, "look") == 0 {
					e.waiting = true
					read(e)
				} else if e.lease.Due(now) {
					e.waiting = true
					try(e)
				}
			}
			if holders > 1 {
				rt.Fatalf("%d entries hold the lease", holders)
			}
		}
	})
}
