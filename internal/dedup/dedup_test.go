package dedup

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/fault"
)

const testWindow = time.Minute

// member is one agent process of a modeled fleet.
type member struct {
	table   *Table
	read    int
	queued  []Attempt
	running map[uint64]Attempt
}

// model is a fleet of agents over one log.
type model struct {
	t       *rapid.T
	now     time.Time
	records []plat.Record
	members []*member
	next    uint64
	// ranAt holds the times at which a key began to run and may have run.
	ranAt map[Key][]time.Time
}

func newMember(host int, incarnation uint64) *member {
	return &member{
		table: New(Settings{
			Self:      Holder{Host: fmt.Sprint("agent-", host), Incarnation: incarnation},
			Service:   "pedidos",
			Window:    testWindow,
			Keep:      testWindow / 4,
			ClaimWait: 2 * time.Second,
		}),
		running: make(map[uint64]Attempt),
	}
}

// arrive sends an attempt to a member.
func (m *model) arrive(a *member) {
	m.next++
	key := rapid.IntRange(0, 2).Draw(m.t, "key")
	attempt := Attempt{
		Call:  m.next,
		ID:    fmt.Sprint(m.next),
		Keyed: true,
		Key:   Key{byte(key)},
		Body:  Body(key),
	}
	d := a.table.Arrive(m.now, attempt)
	if d.Action == Admit {
		a.queued = append(a.queued, attempt)
	}
}

// start runs the first queued attempt of a member.
func (m *model) start(a *member) {
	if len(a.queued) == 0 {
		return
	}
	attempt := a.queued[0]
	a.queued = a.queued[1:]
	a.running[attempt.Call] = attempt
	if a.table.Start(m.now, attempt.Call) {
		m.run(attempt)
	}
}

// run notes that an attempt reached the endpoint and checks that no other one
// did within the window.
func (m *model) run(attempt Attempt) {
	for _, at := range m.ranAt[attempt.Key] {
		if m.now.Sub(at) < testWindow/2 {
			m.t.Fatalf("key %v ran twice within the window: %v after the first run", attempt.Key[0], m.now.Sub(at))
		}
	}
	m.ranAt[attempt.Key] = append(m.ranAt[attempt.Key], m.now)
}

// apply carries out a member's decisions.
func (m *model) apply(a *member, decisions []Decision) {
	for _, d := range decisions {
		attempt, known := a.running[d.Call]
		switch {
		case known && d.Action == Admit:
			m.run(attempt)
		case known:
			delete(a.running, d.Call)
			m.apply(a, a.table.End(m.now, d.Call, d.Outcome))
		}
	}
}

// end finishes one running attempt of a member.
func (m *model) end(a *member) {
	for call := range a.running {
		if w := a.table.pending.claims[a.running[call].Key]; w != nil && w.call == call {
			continue // its claim is on the way
		}
		delete(a.running, call)
		o := Outcome{Status: 200, Body: []byte("answer")}
		if rapid.Bool().Draw(m.t, "unsure") {
			o = Outcome{Err: fault.New(fault.MayHaveRun, fault.CodeEndpoint, "broken")}
		}
		m.apply(a, a.table.End(m.now, call, o))
		return
	}
}

// flush appends a member's batch. Its answer may be lost, and the append may
// fail with or without taking effect.
func (m *model) flush(a *member) {
	batch, _ := a.table.Flush(m.now)
	if batch == nil {
		return
	}
	fate := rapid.SampledFrom([]string{"ok", "lost answer", "failed"}).Draw(m.t, "append")
	if fate != "failed" {
		m.records = append(m.records, plat.Record{
			Offset: uint64(len(m.records) + 1),
			Time:   m.now,
			Data:   batch.Data,
		})
	}
	var err error
	if fate != "ok" {
		err = errors.New(fate)
	}
	a.table.Appended(batch.Tag, err)
}

// follow lets a member read some records.
func (m *model) follow(a *member) {
	n := rapid.IntRange(0, len(m.records)-a.read).Draw(m.t, "records")
	page := plat.Page{Records: m.records[a.read : a.read+n]}
	a.read += n
	decisions, err := a.table.Read(m.now, page)
	if err != nil {
		m.t.Fatal(err)
	}
	m.apply(a, decisions)
}

// TestKeyRunsOnce drives a fleet through lost appends, late reads, crashes and
// time, and checks that no key runs twice within its window.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t:       t,
			now:     time.Unix(1000, 0),
			members: []*member{newMember(0, 1), newMember(1, 2), newMember(2, 3)},
			ranAt:   make(map[Key][]time.Time),
		}
		incarnation := uint64(3)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.members)-1).Draw(t, "member")
			a := m.members[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				m.arrive(a)
			case 3:
				m.start(a)
			case 4:
				m.flush(a)
			case 5, 6:
				m.follow(a)
			case 7:
				m.end(a)
			case 8:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				m.apply(a, a.table.Expired(m.now))
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					incarnation++
					m.members[i] = newMember(i, incarnation)
				}
			}
		}
	})
}

// attemptOf returns an attempt with a key.
func attemptOf(call uint64, key byte, body Body) Attempt {
	return Attempt{
		Call:  call,
		ID:    fmt.Sprint("call-", call),
		Keyed: true,
		Key:   Key{key},
		Body:  body,
	}
}

// claimed returns a member that has run key 1 to an answer, and its claims.
func claimed(t *testing.T, now time.Time) (*Table, []plat.Record) {
	t.Helper()
	table := newMember(0, 1).table
	if d := table.Arrive(now, attemptOf(1, 1, 7)); d.Action != Admit {
		t.Fatalf("first attempt: %+v", d)
	}
	if table.Start(now, 1) {
		t.Fatal("ran before its claim was read back")
	}
	batch, _ := table.Flush(now)
	records := []plat.Record{{
		Offset: 1,
		Time:   now,
		Data:   batch.Data,
	}}
	decisions, err := table.Read(now, plat.Page{Records: records})
	if err != nil || len(decisions) != 1 || decisions[0].Action != Admit {
		t.Fatalf("decisions = %+v, %v; want a start", decisions, err)
	}
	return table, records
}

func TestRepeats(t *testing.T) {
	now := time.Unix(1000, 0)
	table, records := claimed(t, now)
	if d := table.Arrive(now, attemptOf(2, 1, 7)); d.Action != Join {
		t.Errorf("repeat while running: %+v, want Join", d)
	}
	waiters := table.End(now, 1, Outcome{Status: 201, Body: []byte("receipt")})
	if len(waiters) != 1 || string(waiters[0].Outcome.Body) != "receipt" {
		t.Errorf("waiters = %+v, want the answer", waiters)
	}
	if d := table.Arrive(now, attemptOf(3, 1, 7)); string(d.Outcome.Body) != "receipt" {
		t.Errorf("repeat after the end: %+v, want the answer", d)
	}
	if d := table.Arrive(now, attemptOf(4, 1, 8)); fault.CodeOf(d.Outcome.Err) != fault.CodeConflict {
		t.Errorf("other body: %+v, want %s", d, fault.CodeConflict)
	}
	later := now.Add(testWindow / 3)
	d := table.Arrive(later, attemptOf(5, 1, 7))
	if d.Action != Settle || fault.VerdictOf(d.Outcome.Err) != fault.MayHaveRun {
		t.Errorf("repeat after the answer was dropped: %+v, want may-have-run", d)
	}

	successor := newMember(0, 9).table
	if _, err := successor.Read(now, plat.Page{Records: records}); err != nil {
		t.Fatal(err)
	}
	d = successor.Arrive(now, attemptOf(6, 1, 7))
	if d.Holder != (Holder{Host: "agent-0", Incarnation: 1}) || fault.CodeOf(d.Outcome.Err) != fault.CodeClaimed {
		t.Errorf("repeat at the successor: %+v, want the holder", d)
	}
	if d := successor.Arrive(now, attemptOf(7, 1, 8)); fault.CodeOf(d.Outcome.Err) != fault.CodeConflict {
		t.Errorf("other body at the successor: %+v, want %s", d, fault.CodeConflict)
	}
}

func TestUnseenAttemptIsRefusedAfterTheQuestion(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newMember(0, 1).table
	o, running := table.Query(now, "late", 1)
	if running || fault.VerdictOf(o.Err) != fault.NotRun {
		t.Errorf("outcome = %+v, %v; want not-run", o, running)
	}
	d := table.Arrive(now, Attempt{Call: 1, ID: "late", Number: 1})
	if d.Action != Settle || fault.VerdictOf(d.Outcome.Err) != fault.NotRun {
		t.Errorf("late duplicate: %+v, want a refusal as not-run", d)
	}
}

func TestIDRunsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newMember(0, 1).table
	first := Attempt{Call: 1, ID: "x", Number: 1}
	if d := table.Arrive(now, first); d.Action != Admit || !table.Start(now, 1) {
		t.Fatalf("first = %+v", d)
	}
	if d := table.Arrive(now, Attempt{Call: 2, ID: "x", Number: 1}); d.Action != Join {
		t.Errorf("duplicate while running: %+v, want Join", d)
	}
	if _, running := table.Query(now, "x", 1); !running {
		t.Error("outcome of a running attempt is not running")
	}
	table.End(now, 1, Outcome{Status: 200, Body: []byte("once")})
	if o, running := table.Query(now, "x", 1); running || string(o.Body) != "once" {
		t.Errorf("outcome = %+v, %v", o, running)
	}
	if d := table.Arrive(now, Attempt{Call: 3, ID: "x", Number: 1}); string(d.Outcome.Body) != "once" {
		t.Errorf("duplicate after the end: %+v, want the answer", d)
	}
}

func TestLogDown(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newMember(0, 1).table
	table.Arrive(now, attemptOf(1, 1, 7))
	table.Start(now, 1)
	late := now.Add(3 * time.Second)
	decisions := table.Expired(late)
	if len(decisions) != 1 || fault.CodeOf(decisions[0].Outcome.Err) != fault.CodeLogDown ||
		fault.VerdictOf(decisions[0].Outcome.Err) != fault.NotRun || fault.RetryAfterOf(decisions[0].Outcome.Err) == 0 {
		t.Errorf("decisions = %+v, want not-run with a time to retry", decisions)
	}
	table.End(late, 1, decisions[0].Outcome)
	table.ReadFailed()
	table.ReadFailed()
	if d := table.Arrive(late, attemptOf(2, 2, 7)); fault.CodeOf(d.Outcome.Err) != fault.CodeLogDown {
		t.Errorf("while the log is down: %+v", d)
	}
	without := attemptOf(3, 3, 7)
	without.RunWithoutLog = true
	if d := table.Arrive(late, without); d.Action != Admit || !table.Start(late, 3) {
		t.Errorf("runWithoutLog: %+v, want a run", d)
	}
	if d := table.Arrive(late, attemptOf(4, 3, 7)); d.Action != Join {
		t.Errorf("repeat of a run without the log: %+v, want Join", d)
	}
}

func TestAnswersStayWithinBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Settings{
		Self:        Holder{Host: "a", Incarnation: 1},
		AnswerBytes: 1000,
		Records:     10,
	})
	for i := range 10 {
		a := Attempt{Call: uint64(i), ID: fmt.Sprint(i)}
		table.Arrive(now, a)
		table.End(now, a.Call, Outcome{Status: 200, Body: make([]byte, 300)})
	}
	if table.bytes > 1000 {
		t.Errorf("%d bytes are kept, bound 1000", table.bytes)
	}
	if d := table.Arrive(now, Attempt{Call: 20, ID: "0"}); fault.VerdictOf(d.Outcome.Err) != fault.Ran {
		t.Errorf("dropped answer: %+v, want ran", d)
	}
	if d := table.Arrive(now, Attempt{Call: 21, ID: "new"}); fault.CodeOf(d.Outcome.Err) != fault.CodeBusy {
		t.Errorf("full table: %+v, want %s", d, fault.CodeBusy)
	}
}

func TestOwnerMovesOnlyItsKeys(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for i := range 200 {
		key := NewKey("booth", "/charge", fmt.Sprint(i))
		before := Owner(key, names)
		after := Owner(key, names[:3])
		if before != "d" && before != after {
			t.Fatalf("key %d moved from %s to %s though its owner stayed", i, before, after)
		}
	}
}

func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget()
	spent := 0
	for range 1000 {
		b.Earn(now)
		if b.Spend(now) {
			spent++
		}
	}
	if bound := int(maxRetries + 1000*retriesPerCall); spent > bound {
		t.Errorf("%d retries, bound %d", spent, bound)
	}
}

func FuzzDecodeClaims(f *testing.F) {
	data, err := encodeClaims("pedidos", Holder{Host: "a", Incarnation: 1}, []claim{{key: Key{1}, body: 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"claims":"AA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, batch, err := decodeClaims(data)
		if err != nil {
			return
		}
		self := Holder{
			Host:        record.Host,
			Incarnation: record.Incarnation,
		}
		again, err := encodeClaims(record.Service, self, batch)
		if err != nil {
			t.Fatal(err)
		}
		if _, second, err := decodeClaims(again); err != nil || len(second) != len(batch) {
			t.Fatalf("%d claims became %d: %v", len(batch), len(second), err)
		}
	})
}
