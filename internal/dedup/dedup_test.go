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

// agentProcess models one agent process and the attempts that it queues and
// runs.
type agentProcess struct {
	table *Table
	// readCount is the number of log records that the process has read.
	readCount int
	queued    []Attempt
	running   map[uint64]Attempt
}

// fleetModel models agent processes that share one log.
type fleetModel struct {
	t          *rapid.T
	now        time.Time
	records    []plat.Record
	processes  []*agentProcess
	lastCallID uint64
	// runTimes holds the times at which calls with each key started to run.
	runTimes map[Key][]time.Time
}

func newAgentProcess(host int, incarnation uint64) *agentProcess {
	return &agentProcess{
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

// submit sends an attempt with one of three keys to a process.
func (m *fleetModel) submit(process *agentProcess) {
	m.lastCallID++
	key := rapid.IntRange(0, 2).Draw(m.t, "key")
	attempt := Attempt{
		CallID:        m.lastCallID,
		RequestID:     fmt.Sprint(m.lastCallID),
		HasKey:        true,
		Key:           Key{byte(key)},
		RequestDigest: RequestDigest(key),
	}
	d := process.table.Submit(m.now, attempt)
	if d.Action == Admit {
		process.queued = append(process.queued, attempt)
	}
}

// startNext tries to start the first queued attempt of a process.
func (m *fleetModel) startNext(process *agentProcess) {
	if len(process.queued) == 0 {
		return
	}
	attempt := process.queued[0]
	process.queued = process.queued[1:]
	process.running[attempt.CallID] = attempt
	if process.table.TryStart(m.now, attempt.CallID) {
		m.recordRun(attempt)
	}
}

// recordRun records that an attempt reached the endpoint and checks that no
// other one with its key did so in the preceding half window.
func (m *fleetModel) recordRun(attempt Attempt) {
	for _, at := range m.runTimes[attempt.Key] {
		if m.now.Sub(at) < testWindow/2 {
			m.t.Fatalf("key %v ran again only %v after an earlier run, want at least half a window", attempt.Key[0], m.now.Sub(at))
		}
	}
	m.runTimes[attempt.Key] = append(m.runTimes[attempt.Key], m.now)
}

// applyDecisions carries out the decisions of a process's table.
func (m *fleetModel) applyDecisions(process *agentProcess, decisions []Decision) {
	for _, d := range decisions {
		attempt, known := process.running[d.CallID]
		switch {
		case known && d.Action == Admit:
			m.recordRun(attempt)
		case known:
			delete(process.running, d.CallID)
			m.applyDecisions(process, process.table.Finish(m.now, d.CallID, d.Outcome))
		}
	}
}

// endOne finishes one running attempt of a process, with a response or an
// unknown outcome.
func (m *fleetModel) endOne(process *agentProcess) {
	for callID := range process.running {
		if pc := process.table.writer.pending[process.running[callID].Key]; pc != nil && pc.callID == callID {
			continue // waits for its claim
		}
		delete(process.running, callID)
		outcome := Outcome{Status: 200, Body: []byte("answer")}
		if rapid.Bool().Draw(m.t, "unsure") {
			outcome = Outcome{Err: fault.New(fault.MayHaveRun, fault.CodeEndpoint, "broken")}
		}
		m.applyDecisions(process, process.table.Finish(m.now, callID, outcome))
		return
	}
}

// appendBatch appends a process's batch to the log. The append may report an
// error whether or not the log has stored the batch.
func (m *fleetModel) appendBatch(process *agentProcess) {
	batch, _ := process.table.NextBatch(m.now)
	if batch == nil {
		return
	}
	result := rapid.SampledFrom([]string{"ok", "lost response", "failed"}).Draw(m.t, "append")
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
	process.table.AppendDone(batch.Tag, err)
}

// readLog makes a process read some of the records it has not read.
func (m *fleetModel) readLog(process *agentProcess) {
	n := rapid.IntRange(0, len(m.records)-process.readCount).Draw(m.t, "records")
	page := plat.Page{Records: m.records[process.readCount : process.readCount+n]}
	process.readCount += n
	decisions, err := process.table.ApplyPage(m.now, page)
	if err != nil {
		m.t.Fatal(err)
	}
	m.applyDecisions(process, decisions)
}

// TestKeyRunsOnce simulates lost append responses, failed appends, late reads,
// crashes and the passage of time in a fleet. It checks that two runs of a key
// are at least half a window apart.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{
			t:         t,
			now:       time.Unix(1000, 0),
			processes: []*agentProcess{newAgentProcess(0, 1), newAgentProcess(1, 2), newAgentProcess(2, 3)},
			runTimes:  make(map[Key][]time.Time),
		}
		incarnation := uint64(3)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.processes)-1).Draw(t, "member")
			process := m.processes[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				m.submit(process)
			case 3:
				m.startNext(process)
			case 4:
				m.appendBatch(process)
			case 5, 6:
				m.readLog(process)
			case 7:
				m.endOne(process)
			case 8:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				m.applyDecisions(process, process.table.ExpireClaims(m.now))
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					incarnation++
					m.processes[i] = newAgentProcess(i, incarnation)
				}
			}
		}
	})
}

func newKeyedAttempt(callID uint64, key byte, digest RequestDigest) Attempt {
	return Attempt{
		CallID:        callID,
		RequestID:     fmt.Sprint("call-", callID),
		HasKey:        true,
		Key:           Key{key},
		RequestDigest: digest,
	}
}

// newTableWithClaim returns a table in which an attempt with key 1 has read
// back its claim and started, and the log records with the claim.
func newTableWithClaim(t *testing.T, now time.Time) (*Table, []plat.Record) {
	t.Helper()
	table := newAgentProcess(0, 1).table
	if d := table.Submit(now, newKeyedAttempt(1, 1, 7)); d.Action != Admit {
		t.Fatalf("first attempt: %+v, want Admit", d)
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
		t.Fatalf("decisions = %+v, %v; want one Admit", decisions, err)
	}
	return table, records
}

// TestRepeatedKey repeats a key while its call runs, after the call has ended,
// after its outcome has been evicted, and at another process. Only the first
// call may run.
func TestRepeatedKey(t *testing.T) {
	now := time.Unix(1000, 0)
	table, records := newTableWithClaim(t, now)
	if d := table.Submit(now, newKeyedAttempt(2, 1, 7)); d.Action != Wait {
		t.Errorf("repeated key while running: %+v, want Wait", d)
	}
	waiters := table.Finish(now, 1, Outcome{Status: 201, Body: []byte("receipt")})
	if len(waiters) != 1 || string(waiters[0].Outcome.Body) != "receipt" {
		t.Errorf("waiters = %+v, want one with the response", waiters)
	}
	if d := table.Submit(now, newKeyedAttempt(3, 1, 7)); string(d.Outcome.Body) != "receipt" {
		t.Errorf("repeated key after the end: %+v, want the response", d)
	}
	if d := table.Submit(now, newKeyedAttempt(4, 1, 8)); fault.CodeOf(d.Outcome.Err) != fault.CodeConflict {
		t.Errorf("same key with another request: %+v, want %s", d, fault.CodeConflict)
	}
	later := now.Add(testWindow / 3)
	d := table.Submit(later, newKeyedAttempt(5, 1, 7))
	if d.Action != Complete || fault.VerdictOf(d.Outcome.Err) != fault.MayHaveRun {
		t.Errorf("repeated key after the retention time: %+v, want may-have-run", d)
	}

	successor := newAgentProcess(0, 9).table
	if _, err := successor.ApplyPage(now, plat.Page{Records: records}); err != nil {
		t.Fatal(err)
	}
	d = successor.Submit(now, newKeyedAttempt(6, 1, 7))
	if d.Holder != (Process{Host: "agent-0", Incarnation: 1}) || fault.CodeOf(d.Outcome.Err) != fault.CodeClaimed {
		t.Errorf("repeated key at another process: %+v, want a rejection that names the holder", d)
	}
	if d := successor.Submit(now, newKeyedAttempt(7, 1, 8)); fault.CodeOf(d.Outcome.Err) != fault.CodeConflict {
		t.Errorf("same key with another request at another process: %+v, want %s", d, fault.CodeConflict)
	}
}

// TestUnseenAttemptIsRejectedAfterQuery checks that an attempt that arrives
// after a query reported it as not run is rejected.
func TestUnseenAttemptIsRejectedAfterQuery(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newAgentProcess(0, 1).table
	outcome, running := table.Query(now, "late", 1)
	if running || fault.VerdictOf(outcome.Err) != fault.NotRun {
		t.Errorf("outcome = %+v, running = %v; want not-run", outcome, running)
	}
	d := table.Submit(now, Attempt{CallID: 1, RequestID: "late", Number: 1})
	if d.Action != Complete || fault.VerdictOf(d.Outcome.Err) != fault.NotRun {
		t.Errorf("attempt that arrived after the query: %+v, want Complete with not-run", d)
	}
}

// TestIDRunsOnce checks that duplicates of an attempt without a key get the
// outcome of the first one.
func TestIDRunsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newAgentProcess(0, 1).table
	first := Attempt{CallID: 1, RequestID: "x", Number: 1}
	if d := table.Submit(now, first); d.Action != Admit || !table.TryStart(now, 1) {
		t.Fatalf("first attempt: %+v, want Admit and a start", d)
	}
	if d := table.Submit(now, Attempt{CallID: 2, RequestID: "x", Number: 1}); d.Action != Wait {
		t.Errorf("duplicate while running: %+v, want Wait", d)
	}
	if _, running := table.Query(now, "x", 1); !running {
		t.Error("Query reports a running attempt as ended")
	}
	table.Finish(now, 1, Outcome{Status: 200, Body: []byte("once")})
	if outcome, running := table.Query(now, "x", 1); running || string(outcome.Body) != "once" {
		t.Errorf("outcome = %+v, running = %v; want the response", outcome, running)
	}
	if d := table.Submit(now, Attempt{CallID: 3, RequestID: "x", Number: 1}); string(d.Outcome.Body) != "once" {
		t.Errorf("duplicate after the end: %+v, want the response", d)
	}
}

// TestLogUnavailable checks that attempts with a key are rejected if their
// claims can't be read back, unless they may run without the log.
func TestLogUnavailable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newAgentProcess(0, 1).table
	table.Submit(now, newKeyedAttempt(1, 1, 7))
	table.TryStart(now, 1)
	late := now.Add(3 * time.Second)
	decisions := table.ExpireClaims(late)
	if len(decisions) != 1 || fault.CodeOf(decisions[0].Outcome.Err) != fault.CodeLogDown ||
		fault.VerdictOf(decisions[0].Outcome.Err) != fault.NotRun || fault.RetryAfterOf(decisions[0].Outcome.Err) == 0 {
		t.Errorf("decisions = %+v, want one rejection with not-run and a retry delay", decisions)
	}
	table.Finish(late, 1, decisions[0].Outcome)
	table.RecordReadFailure()
	table.RecordReadFailure()
	if d := table.Submit(late, newKeyedAttempt(2, 2, 7)); fault.CodeOf(d.Outcome.Err) != fault.CodeLogDown {
		t.Errorf("attempt while the log is unavailable: %+v, want a rejection", d)
	}
	withoutLog := newKeyedAttempt(3, 3, 7)
	withoutLog.RunWithoutLog = true
	if d := table.Submit(late, withoutLog); d.Action != Admit || !table.TryStart(late, 3) {
		t.Errorf("attempt with RunWithoutLog: %+v, want Admit and a start", d)
	}
	if d := table.Submit(late, newKeyedAttempt(4, 3, 7)); d.Action != Wait {
		t.Errorf("repeated key of a run without the log: %+v, want Wait", d)
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
		t.Errorf("%d response bytes are stored, want at most 1000", table.responseBytes)
	}
	if d := table.Submit(now, Attempt{CallID: 20, RequestID: "0"}); fault.VerdictOf(d.Outcome.Err) != fault.Ran {
		t.Errorf("duplicate after its response was dropped: %+v, want ran", d)
	}
	if d := table.Submit(now, Attempt{CallID: 21, RequestID: "new"}); fault.CodeOf(d.Outcome.Err) != fault.CodeBusy {
		t.Errorf("new attempt with a full table: %+v, want %s", d, fault.CodeBusy)
	}
}

func TestOwnerMovesOnlyItsKeys(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for i := range 200 {
		key := NewKey("booth", "/charge", fmt.Sprint(i))
		before := Owner(key, names)
		after := Owner(key, names[:3])
		if before != "d" && before != after {
			t.Fatalf("key %d moved from %s to %s although its owner is still a candidate", i, before, after)
		}
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
			t.Fatalf("encoding and decoding again turned %d claims into %d, %v", len(batch), len(redecoded), err)
		}
	})
}
