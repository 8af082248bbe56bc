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
	table     *Table
	readCount int
	queued    []Attempt
	running   map[uint64]Attempt
}

// fleetModel is a fleet of agents over one log.
type fleetModel struct {
	t          *rapid.T
	now        time.Time
	records    []plat.Record
	members    []*member
	lastCallID uint64
	// runTimes holds the times at which a key began to run and may have run.
	runTimes map[Key][]time.Time
}

func newMember(host int, incarnation uint64) *member {
	return &member{
		table: New(Settings{
			Self:             Process{Host: fmt.Sprint("agent-", host), Incarnation: incarnation},
			Service:          "pedidos",
			ClaimWindow:      testWindow,
			OutcomeRetention: testWindow / 4,
			ClaimWait:        2 * time.Second,
		}),
		running: make(map[uint64]Attempt),
	}
}

// arrive sends an attempt to a member.
func (m *fleetModel) arrive(a *member) {
	m.lastCallID++
	key := rapid.IntRange(0, 2).Draw(m.t, "key")
	attempt := Attempt{
		CallID:        m.lastCallID,
		RequestID:     fmt.Sprint(m.lastCallID),
		HasKey:        true,
		Key:           Key{byte(key)},
		RequestDigest: RequestDigest(key),
	}
	d := a.table.Submit(m.now, attempt)
	if d.Action == Admit {
		a.queued = append(a.queued, attempt)
	}
}

// startNext runs the first queued attempt of a member.
func (m *fleetModel) startNext(a *member) {
	if len(a.queued) == 0 {
		return
	}
	attempt := a.queued[0]
	a.queued = a.queued[1:]
	a.running[attempt.CallID] = attempt
	if a.table.TryStart(m.now, attempt.CallID) {
		m.recordRun(attempt)
	}
}

// recordRun notes that an attempt reached the endpoint and checks that no other one
// did within the window.
func (m *fleetModel) recordRun(attempt Attempt) {
	for _, at := range m.runTimes[attempt.Key] {
		if m.now.Sub(at) < testWindow/2 {
			m.t.Fatalf("key %v ran twice within the window: %v after the first run", attempt.Key[0], m.now.Sub(at))
		}
	}
	m.runTimes[attempt.Key] = append(m.runTimes[attempt.Key], m.now)
}

// applyDecisions carries out a member's decisions.
func (m *fleetModel) applyDecisions(a *member, decisions []Decision) {
	for _, d := range decisions {
		attempt, known := a.running[d.CallID]
		switch {
		case known && d.Action == Admit:
			m.recordRun(attempt)
		case known:
			delete(a.running, d.CallID)
			m.applyDecisions(a, a.table.Finish(m.now, d.CallID, d.Outcome))
		}
	}
}

// endOne finishes one running attempt of a member.
func (m *fleetModel) endOne(a *member) {
	for call := range a.running {
		if pc := a.table.writer.pending[a.running[call].Key]; pc != nil && pc.callID == call {
			continue // its claim is on the way
		}
		delete(a.running, call)
		o := Outcome{Status: 200, Body: []byte("answer")}
		if rapid.Bool().Draw(m.t, "unsure") {
			o = Outcome{Err: fault.New(fault.MayHaveRun, fault.CodeEndpoint, "broken")}
		}
		m.applyDecisions(a, a.table.Finish(m.now, call, o))
		return
	}
}

// appendBatch appends a member's batch. Its answer may be lost, and the append may
// fail with or without taking effect.
func (m *fleetModel) appendBatch(a *member) {
	batch, _ := a.table.NextBatch(m.now)
	if batch == nil {
		return
	}
	result := rapid.SampledFrom([]string{"ok", "lost answer", "failed"}).Draw(m.t, "append")
	if result != "failed" {
		m.records = append(m.records, plat.Record{
			Offset: uint64(len(m.records) + 1),
			Time:   m.now,
			Data:   batch.Data,
		})
	}
	var err error
	if result != "ok" {
		err = errors.New(result)
	}
	a.table.AppendDone(batch.Tag, err)
}

// readLog lets a member read some records.
func (m *fleetModel) readLog(a *member) {
	n := rapid.IntRange(0, len(m.records)-a.readCount).Draw(m.t, "records")
	page := plat.Page{Records: m.records[a.readCount : a.readCount+n]}
	a.readCount += n
	decisions, err := a.table.ApplyPage(m.now, page)
	if err != nil {
		m.t.Fatal(err)
	}
	m.applyDecisions(a, decisions)
}

// TestKeyRunsOnce drives a fleet through lost appends, late reads, crashes and
// time, and checks that no key runs twice within its window.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{
			t:        t,
			now:      time.Unix(1000, 0),
			members:  []*member{newMember(0, 1), newMember(1, 2), newMember(2, 3)},
			runTimes: make(map[Key][]time.Time),
		}
		incarnation := uint64(3)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.members)-1).Draw(t, "member")
			a := m.members[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				m.arrive(a)
			case 3:
				m.startNext(a)
			case 4:
				m.appendBatch(a)
			case 5, 6:
				m.readLog(a)
			case 7:
				m.endOne(a)
			case 8:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				m.applyDecisions(a, a.table.ExpireClaims(m.now))
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					incarnation++
					m.members[i] = newMember(i, incarnation)
				}
			}
		}
	})
}

// newKeyedAttempt returns an attempt with a key.
func newKeyedAttempt(call uint64, key byte, digest RequestDigest) Attempt {
	return Attempt{
		CallID:        call,
		RequestID:     fmt.Sprint("call-", call),
		HasKey:        true,
		Key:           Key{key},
		RequestDigest: digest,
	}
}

// newTableWithClaim returns a member that has run key 1 to an answer, and its claims.
func newTableWithClaim(t *testing.T, now time.Time) (*Table, []plat.Record) {
	t.Helper()
	table := newMember(0, 1).table
	if d := table.Submit(now, newKeyedAttempt(1, 1, 7)); d.Action != Admit {
		t.Fatalf("first attempt: %+v", d)
	}
	if table.TryStart(now, 1) {
		t.Fatal("ran before its claim was read back")
	}
	batch, _ := table.NextBatch(now)
	records := []plat.Record{{
		Offset: 1,
		Time:   now,
		Data:   batch.Data,
	}}
	decisions, err := table.ApplyPage(now, plat.Page{Records: records})
	if err != nil || len(decisions) != 1 || decisions[0].Action != Admit {
		t.Fatalf("decisions = %+v, %v; want a start", decisions, err)
	}
	return table, records
}

func TestRepeatedKey(t *testing.T) {
	now := time.Unix(1000, 0)
	table, records := newTableWithClaim(t, now)
	if d := table.Submit(now, newKeyedAttempt(2, 1, 7)); d.Action != Wait {
		t.Errorf("repeat while running: %+v, want Join", d)
	}
	waiters := table.Finish(now, 1, Outcome{Status: 201, Body: []byte("receipt")})
	if len(waiters) != 1 || string(waiters[0].Outcome.Body) != "receipt" {
		t.Errorf("waiters = %+v, want the answer", waiters)
	}
	if d := table.Submit(now, newKeyedAttempt(3, 1, 7)); string(d.Outcome.Body) != "receipt" {
		t.Errorf("repeat after the end: %+v, want the answer", d)
	}
	if d := table.Submit(now, newKeyedAttempt(4, 1, 8)); fault.CodeOf(d.Outcome.Err) != fault.CodeConflict {
		t.Errorf("other body: %+v, want %s", d, fault.CodeConflict)
	}
	later := now.Add(testWindow / 3)
	d := table.Submit(later, newKeyedAttempt(5, 1, 7))
	if d.Action != Complete || fault.VerdictOf(d.Outcome.Err) != fault.MayHaveRun {
		t.Errorf("repeat after the answer was dropped: %+v, want may-have-run", d)
	}

	successor := newMember(0, 9).table
	if _, err := successor.ApplyPage(now, plat.Page{Records: records}); err != nil {
		t.Fatal(err)
	}
	d = successor.Submit(now, newKeyedAttempt(6, 1, 7))
	if d.Holder != (Process{Host: "agent-0", Incarnation: 1}) || fault.CodeOf(d.Outcome.Err) != fault.CodeClaimed {
		t.Errorf("repeat at the successor: %+v, want the holder", d)
	}
	if d := successor.Submit(now, newKeyedAttempt(7, 1, 8)); fault.CodeOf(d.Outcome.Err) != fault.CodeConflict {
		t.Errorf("other body at the successor: %+v, want %s", d, fault.CodeConflict)
	}
}

func TestUnseenAttemptIsRejectedAfterQuery(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newMember(0, 1).table
	o, running := table.Query(now, "late", 1)
	if running || fault.VerdictOf(o.Err) != fault.NotRun {
		t.Errorf("outcome = %+v, %v; want not-run", o, running)
	}
	d := table.Submit(now, Attempt{CallID: 1, RequestID: "late", Number: 1})
	if d.Action != Complete || fault.VerdictOf(d.Outcome.Err) != fault.NotRun {
		t.Errorf("late duplicate: %+v, want a refusal as not-run", d)
	}
}

func TestIDRunsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newMember(0, 1).table
	first := Attempt{CallID: 1, RequestID: "x", Number: 1}
	if d := table.Submit(now, first); d.Action != Admit || !table.TryStart(now, 1) {
		t.Fatalf("first = %+v", d)
	}
	if d := table.Submit(now, Attempt{CallID: 2, RequestID: "x", Number: 1}); d.Action != Wait {
		t.Errorf("duplicate while running: %+v, want Join", d)
	}
	if _, running := table.Query(now, "x", 1); !running {
		t.Error("outcome of a running attempt is not running")
	}
	table.Finish(now, 1, Outcome{Status: 200, Body: []byte("once")})
	if o, running := table.Query(now, "x", 1); running || string(o.Body) != "once" {
		t.Errorf("outcome = %+v, %v", o, running)
	}
	if d := table.Submit(now, Attempt{CallID: 3, RequestID: "x", Number: 1}); string(d.Outcome.Body) != "once" {
		t.Errorf("duplicate after the end: %+v, want the answer", d)
	}
}

func TestLogUnavailable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newMember(0, 1).table
	table.Submit(now, newKeyedAttempt(1, 1, 7))
	table.TryStart(now, 1)
	late := now.Add(3 * time.Second)
	decisions := table.ExpireClaims(late)
	if len(decisions) != 1 || fault.CodeOf(decisions[0].Outcome.Err) != fault.CodeLogDown ||
		fault.VerdictOf(decisions[0].Outcome.Err) != fault.NotRun || fault.RetryAfterOf(decisions[0].Outcome.Err) == 0 {
		t.Errorf("decisions = %+v, want not-run with a time to retry", decisions)
	}
	table.Finish(late, 1, decisions[0].Outcome)
	table.RecordReadFailure()
	table.RecordReadFailure()
	if d := table.Submit(late, newKeyedAttempt(2, 2, 7)); fault.CodeOf(d.Outcome.Err) != fault.CodeLogDown {
		t.Errorf("while the log is down: %+v", d)
	}
	withoutLog := newKeyedAttempt(3, 3, 7)
	withoutLog.RunWithoutLog = true
	if d := table.Submit(late, withoutLog); d.Action != Admit || !table.TryStart(late, 3) {
		t.Errorf("runWithoutLog: %+v, want a run", d)
	}
	if d := table.Submit(late, newKeyedAttempt(4, 3, 7)); d.Action != Wait {
		t.Errorf("repeat of a run without the log: %+v, want Join", d)
	}
}

func TestResponsesStayWithinBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Settings{
		Self:             Process{Host: "a", Incarnation: 1},
		MaxResponseBytes: 1000,
		MaxRecords:       10,
	})
	for i := range 10 {
		a := Attempt{CallID: uint64(i), RequestID: fmt.Sprint(i)}
		table.Submit(now, a)
		table.Finish(now, a.CallID, Outcome{Status: 200, Body: make([]byte, 300)})
	}
	if table.responseBytes > 1000 {
		t.Errorf("%d bytes are kept, bound 1000", table.responseBytes)
	}
	if d := table.Submit(now, Attempt{CallID: 20, RequestID: "0"}); fault.VerdictOf(d.Outcome.Err) != fault.Ran {
		t.Errorf("dropped answer: %+v, want ran", d)
	}
	if d := table.Submit(now, Attempt{CallID: 21, RequestID: "new"}); fault.CodeOf(d.Outcome.Err) != fault.CodeBusy {
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

func TestRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudget()
	spent := 0
	for range 1000 {
		b.RecordCall(now)
		if b.Allow(now) {
			spent++
		}
	}
	if bound := int(maxSavedRetries + 1000*retriesPerCall); spent > bound {
		t.Errorf("%d retries, bound %d", spent, bound)
	}
}

func FuzzDecodeClaims(f *testing.F) {
	data, err := encodeClaims("pedidos", Process{Host: "a", Incarnation: 1}, []claim{{key: Key{1}, digest: 2}})
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
		self := Process{
			Host:        record.Host,
			Incarnation: record.Incarnation,
		}
		reencoded, err := encodeClaims(record.Service, self, batch)
		if err != nil {
			t.Fatal(err)
		}
		if _, redecoded, err := decodeClaims(reencoded); err != nil || len(redecoded) != len(batch) {
			t.Fatalf("%d claims became %d: %v", len(batch), len(redecoded), err)
		}
	})
}
