package agent

import (
	"testing"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newTestCore returns the reducer of an agent of a plain service.
func newTestCore(slots int) *Core {
	return NewCore(CoreSettings{
		Incarnation:  1,
		PlainService: true,
		Slots:        slots,
		Dedup: dedup.Settings{
			Self:    dedup.Process{Host: "a", Incarnation: 1},
			Service: "pedidos",
		},
	})
}

// sendCharge brings a call that may not be repeated, with a key if it is not empty.
func sendCharge(c *Core, now time.Time, key uint64, id, idempotencyKey string) []Effect {
	request := &wirepb.CallRequest{
		Id:               id,
		Attempt:          1,
		AgentIncarnation: 1,
		TimeoutMs:        10_000,
	}
	if idempotencyKey != "" {
		request.IdempotencyKey = dedup.NewKey("booth", "/charge", idempotencyKey).String()
	}
	return c.Apply(now, CallArrived{Call: Call{
		Key:     key,
		Request: request,
	}})
}

// findEffect returns the first effect of a type.
func findEffect[F Effect](effects []Effect) (f F, ok bool) {
	for _, effect := range effects {
		if f, ok = effect.(F); ok {
			return f, true
		}
	}
	return f, false
}

func TestCallStartsOnlyAfterClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(2)
	effects := sendCharge(c, now, 1, "x", "k")
	appended, ok := findEffect[AppendLog](effects)
	if _, started := findEffect[Start](effects); started || !ok {
		t.Fatalf("effects = %v, want an append and no start", effects)
	}
	if effects := sendCharge(c, now, 2, "y", "k"); len(effects) != 0 {
		t.Errorf("repeat: %v, want it to wait", effects)
	}
	effects = c.Apply(now, LogRead{
		Stream: plat.StreamClaims,
		Page:   plat.Page{Records: []plat.Record{{Offset: 1, Time: now, Data: appended.Data}}},
	})
	if start, ok := findEffect[Start](effects); !ok || start.Key != 1 {
		t.Fatalf("effects = %v, want the start of call 1", effects)
	}
	effects = c.Apply(now, CallEnded{
		Key:     1,
		Outcome: dedup.Outcome{Status: 200, Body: []byte("receipt")},
	})
	if replay, ok := findEffect[Replay](effects); !ok || replay.Key != 2 || string(replay.Outcome.Body) != "receipt" {
		t.Errorf("effects = %v, want the answer replayed to call 2", effects)
	}
	if len(c.calls) != 0 || len(c.running) != 0 {
		t.Errorf("%d calls and %d running are left", len(c.calls), len(c.running))
	}
}

func TestClaimsAreBatchedIntoOneAppend(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(1000)
	appends := 0
	for i := range 500 {
		if _, ok := findEffect[AppendLog](sendCharge(c, now, uint64(i), string(rune('a'+i)), string(rune('a'+i)))); ok {
			appends++
		}
	}
	effects := c.Apply(now.Add(time.Second), LogAppended{Tag: "1", Offset: 1})
	if _, ok := findEffect[AppendLog](effects); !ok || appends != 1 {
		t.Errorf("%d appends for 500 claims, then %v; want one and then another", appends, effects)
	}
}

func TestCallCanceledBeforeStartIsNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(1)
	sendCharge(c, now, 1, "x", "")
	sendCharge(c, now, 2, "y", "")
	if r, ok := findEffect[Refuse](c.Apply(now, CallCanceled{Key: 2})); !ok || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("refusal = %+v, want not-run", r)
	}
	effects := c.Apply(now, MessageReceived{
		Session: 1,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
				Id:               "y",
				Attempt:          1,
				AgentIncarnation: 1,
			}},
		}}},
	})
	tell, ok := findEffect[SendMessage](effects)
	if v := fault.Verdict(tell.Message.GetClaim().GetReport().GetVerdict()); !ok || v != fault.NotRun {
		t.Errorf("report = %v, want not-run", tell.Message)
	}
}

func TestDrainingAgentReplaysResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(2)
	sendCharge(c, now, 1, "x", "")
	c.Apply(now, StopRequested{})
	if r, ok := findEffect[Refuse](sendCharge(c, now, 2, "y", "")); !ok || fault.CodeOf(r.Err) != fault.CodeLeaving {
		t.Errorf("refusal = %+v, want %s", r, fault.CodeLeaving)
	}
	if _, ended := findEffect[Drained](c.Apply(now.Add(time.Minute), Tick{})); ended {
		t.Error("finished with a call running")
	}
	c.Apply(now, CallEnded{Key: 1, Outcome: dedup.Outcome{Status: 200}})
	if _, ok := findEffect[Replay](sendCharge(c, now, 3, "x", "")); !ok {
		t.Error("the answer is not replayed while leaving")
	}
	if _, ended := findEffect[Drained](c.Apply(now.Add(drainLinger), Tick{})); !ended {
		t.Error("not finished after the last call")
	}
}

func TestArrivalRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(1)
	wrongIncarnation := c.Apply(now, CallArrived{Call: Call{Key: 1, Request: &wirepb.CallRequest{AgentIncarnation: 9}}})
	if r, ok := findEffect[Refuse](wrongIncarnation); !ok || fault.CodeOf(r.Err) != fault.CodeLink || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("another incarnation: %+v", r)
	}
	for i := range 1 + maxQueuedPerSlot {
		sendCharge(c, now, uint64(10+i), string(rune('a'+i)), "")
	}
	if r, ok := findEffect[Refuse](sendCharge(c, now, 99, "z", "")); !ok || fault.CodeOf(r.Err) != fault.CodeBusy {
		t.Errorf("full queue: %+v, want %s", r, fault.CodeBusy)
	}
	effects := c.Apply(now.Add(time.Minute), Tick{})
	if r, ok := findEffect[Refuse](effects); !ok || fault.CodeOf(r.Err) != fault.CodeDeadline || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("late in the queue: %v", effects)
	}
	c.plainService = false
	if r, ok := findEffect[Refuse](sendCharge(c, now, 100, "n", "")); !ok || fault.CodeOf(r.Err) != fault.CodeNoEndpoint {
		t.Errorf("model not held: %+v, want %s", r, fault.CodeNoEndpoint)
	}
}

// queryOutcome returns an agent's report on an attempt.
func queryOutcome(c *Core, now time.Time, id string) *wirepb.OutcomeReport {
	effects := c.Apply(now, MessageReceived{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
		Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
			Id:               id,
			Attempt:          1,
			AgentIncarnation: 1,
		}},
	}}}})
	tell, _ := findEffect[SendMessage](effects)
	return tell.Message.GetClaim().GetReport()
}

func TestOutcomeReports(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(2)
	sendCharge(c, now, 1, "dropped", "")
	sendCharge(c, now, 2, "abandoned", "")
	if r := queryOutcome(c, now, "dropped"); !r.GetRunning() {
		t.Errorf("running attempt: %v", r)
	}
	c.Apply(now, CallEnded{Key: 1, Outcome: dedup.Outcome{Status: 200, BodyDropped: true}})
	c.Apply(now, CallEnded{Key: 2, Outcome: dedup.Outcome{Err: errCanceledBeforeStart}})
	for id, want := range map[string]fault.Verdict{
		"dropped":   fault.Ran,
		"abandoned": fault.NotRun,
		"unseen":    fault.NotRun,
	} {
		if r := queryOutcome(c, now, id); fault.Verdict(r.GetVerdict()) != want || r.GetStatus() != 0 {
			t.Errorf("%s: %v, want the verdict %v", id, r, want)
		}
	}
}

func TestCallFromEntryOutsideViewIsNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCore(1)
	effects := c.Apply(now, CallArrived{Call: Call{
		Key: 1,
		Request: &wirepb.CallRequest{
			Id:               "x",
			AgentIncarnation: 1,
			Customer:         "booth",
			Entry:            "paused",
			EntryIncarnation: 9,
			TimeoutMs:        1000,
		},
	}})
	r, ok := findEffect[Refuse](effects)
	if !ok || fault.CodeOf(r.Err) != fault.CodeFenced || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("effects = %v, want not-run %s", effects, fault.CodeFenced)
	}
}
