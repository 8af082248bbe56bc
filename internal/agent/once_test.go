package agent

import (
	"testing"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newTestCore returns the reducer of an agent for a plain service.
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

// sendCharge delivers a non-idempotent call, with an idempotency key unless it
// is empty.
func sendCharge(core *Core, now time.Time, key uint64, id, idempotencyKey string) []Effect {
	request := &wirepb.CallRequest{
		Id:               id,
		Attempt:          1,
		AgentIncarnation: 1,
		TimeoutMs:        10_000,
	}
	if idempotencyKey != "" {
		request.IdempotencyKey = dedup.NewKey("booth", "/charge", idempotencyKey).String()
	}
	return core.Apply(now, CallArrived{Call: Call{
		Key:     key,
		Request: request,
	}})
}

// findEffect returns the first effect of type F.
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
	core := newTestCore(2)
	effects := sendCharge(core, now, 1, "x", "k")
	appended, ok := findEffect[AppendRecord](effects)
	if _, started := findEffect[Start](effects); started || !ok {
		t.Fatalf("first call: effects = %v, want an append and no start", effects)
	}
	if effects := sendCharge(core, now, 2, "y", "k"); len(effects) != 0 {
		t.Errorf("repeated call: effects = %v, want none until the first call ends", effects)
	}
	effects = core.Apply(now, LogRead{
		Stream: plat.StreamClaims,
		Page:   plat.Page{Records: []plat.Record{{Offset: 1, Time: now, Data: appended.Data}}},
	})
	if start, ok := findEffect[Start](effects); !ok || start.Key != 1 {
		t.Fatalf("claim read from the log: effects = %v, want the start of call 1", effects)
	}
	effects = core.Apply(now, CallEnded{
		Key:     1,
		Outcome: dedup.Outcome{Status: 200, Body: []byte("receipt")},
	})
	if replay, ok := findEffect[Replay](effects); !ok || replay.Key != 2 || string(replay.Outcome.Body) != "receipt" {
		t.Errorf("end of call 1: effects = %v, want its response replayed to call 2", effects)
	}
	if len(core.calls) != 0 || len(core.running) != 0 {
		t.Errorf("%d calls and %d running calls left at the end, want none", len(core.calls), len(core.running))
	}
}

func TestClaimsAreBatchedIntoOneAppend(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(1000)
	appends := 0
	for i := range 500 {
		if _, ok := findEffect[AppendRecord](sendCharge(core, now, uint64(i), string(rune('a'+i)), string(rune('a'+i)))); ok {
			appends++
		}
	}
	effects := core.Apply(now.Add(time.Second), AppendEnded{Tag: "1", Offset: 1})
	if _, ok := findEffect[AppendRecord](effects); !ok || appends != 1 {
		t.Errorf("got %d appends for 500 claims and then effects %v; want 1 append and then another one", appends, effects)
	}
}

func TestCallCanceledBeforeStartIsNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(1)
	sendCharge(core, now, 1, "x", "")
	sendCharge(core, now, 2, "y", "")
	if r, ok := findEffect[Refuse](core.Apply(now, CallCanceled{Key: 2})); !ok || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("refusal of the canceled call = %+v, want not-run", r)
	}
	effects := core.Apply(now, MessageReceived{
		Session: 1,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
				Id:               "y",
				Attempt:          1,
				AgentIncarnation: 1,
			}},
		}}},
	})
	reply, ok := findEffect[SendMessage](effects)
	if v := fault.Verdict(reply.Message.GetClaim().GetReport().GetVerdict()); !ok || v != fault.NotRun {
		t.Errorf("outcome report = %v, want not-run", reply.Message)
	}
}

func TestDrainingAgentReplaysResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(2)
	sendCharge(core, now, 1, "x", "")
	core.Apply(now, ShutdownRequested{})
	if r, ok := findEffect[Refuse](sendCharge(core, now, 2, "y", "")); !ok || fault.CodeOf(r.Err) != fault.CodeLeaving {
		t.Errorf("refusal = %+v, want %s", r, fault.CodeLeaving)
	}
	if _, ended := findEffect[ShutdownFinished](core.Apply(now.Add(time.Minute), Tick{})); ended {
		t.Error("drained while a call was running")
	}
	core.Apply(now, CallEnded{Key: 1, Outcome: dedup.Outcome{Status: 200}})
	if _, ok := findEffect[Replay](sendCharge(core, now, 3, "x", "")); !ok {
		t.Error("response was not replayed while draining")
	}
	if _, ended := findEffect[ShutdownFinished](core.Apply(now.Add(drainLinger), Tick{})); !ended {
		t.Error("not drained after the last call")
	}
}

func TestArrivalRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(1)
	wrongIncarnation := core.Apply(now, CallArrived{Call: Call{Key: 1, Request: &wirepb.CallRequest{AgentIncarnation: 9}}})
	if r, ok := findEffect[Refuse](wrongIncarnation); !ok || fault.CodeOf(r.Err) != fault.CodeLink ||
		fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("call for another incarnation: refusal = %+v, want a not-run link error", r)
	}
	for i := range 1 + maxQueuedPerSlot {
		sendCharge(core, now, uint64(10+i), string(rune('a'+i)), "")
	}
	if r, ok := findEffect[Refuse](sendCharge(core, now, 99, "z", "")); !ok || fault.CodeOf(r.Err) != fault.CodeBusy {
		t.Errorf("full queue: refusal = %+v, want %s", r, fault.CodeBusy)
	}
	effects := core.Apply(now.Add(time.Minute), Tick{})
	if r, ok := findEffect[Refuse](effects); !ok || fault.CodeOf(r.Err) != fault.CodeDeadline ||
		fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("deadline passed in the queue: effects = %v, want a not-run deadline refusal", effects)
	}
	core.plainService = false
	if r, ok := findEffect[Refuse](sendCharge(core, now, 100, "n", "")); !ok || fault.CodeOf(r.Err) != fault.CodeNoEndpoint {
		t.Errorf("model not held: refusal = %+v, want %s", r, fault.CodeNoEndpoint)
	}
}

// queryOutcome returns an agent's report on the outcome of an attempt.
func queryOutcome(core *Core, now time.Time, id string) *wirepb.OutcomeReport {
	effects := core.Apply(now, MessageReceived{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
		Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
			Id:               id,
			Attempt:          1,
			AgentIncarnation: 1,
		}},
	}}}})
	reply, _ := findEffect[SendMessage](effects)
	return reply.Message.GetClaim().GetReport()
}

func TestOutcomeReports(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(3)
	sendCharge(core, now, 1, "dropped", "")
	sendCharge(core, now, 2, "canceled", "")
	sendCharge(core, now, 3, "crashed", "")
	if r := queryOutcome(core, now, "dropped"); !r.GetRunning() {
		t.Errorf("running attempt: report = %v, want running", r)
	}
	core.Apply(now, CallEnded{Key: 1, Outcome: dedup.Outcome{Status: 200, BodyDropped: true}})
	core.Apply(now, CallEnded{Key: 2, Outcome: dedup.Outcome{Err: errCanceledBeforeStart}})
	core.Apply(now, CallEnded{Key: 3, Outcome: dedup.Outcome{
		Err: fault.WithEndedRun(fault.New(fault.MayHaveRun, fault.CodeEndpoint, "cut"), 7),
	}})
	if r := queryOutcome(core, now, "crashed"); r.GetEndedRun() != 7 || fault.Verdict(r.GetVerdict()) != fault.MayHaveRun {
		t.Errorf("crashed: report = %v, want the ended run 7", r)
	}
	for id, want := range map[string]fault.Verdict{
		"dropped":  fault.Ran,
		"canceled": fault.NotRun,
		"unseen":   fault.NotRun,
	} {
		if r := queryOutcome(core, now, id); fault.Verdict(r.GetVerdict()) != want || r.GetStatus() != 0 {
			t.Errorf("%s: report = %v, want verdict %v without a status", id, r, want)
		}
	}
}

func TestCallFromEntryOutsideViewIsNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(1)
	effects := core.Apply(now, CallArrived{Call: Call{
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
		t.Errorf("effects = %v, want a not-run refusal with %s", effects, fault.CodeFenced)
	}
}
