package agent

import (
	"testing"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// onceCore returns the reducer of an agent of a plain service.
func onceCore(slots int) *Core {
	return NewCore(CoreSettings{
		Incarnation: 1,
		Plain:       true,
		Slots:       slots,
		Once: dedup.Settings{
			Self:    dedup.Process{Host: "a", Incarnation: 1},
			Service: "pedidos",
		},
	})
}

// charge brings a call that may not be repeated, with a key if it is not empty.
func charge(c *Core, now time.Time, key uint64, id, onceKey string) []Effect {
	r := &wirepb.CallRequest{
		Id:               id,
		Attempt:          1,
		AgentIncarnation: 1,
		TimeoutMs:        10_000,
	}
	if onceKey != "" {
		r.IdempotencyKey = dedup.NewKey("booth", "/charge", onceKey).String()
	}
	return c.Apply(now, Arrived{Call: Call{
		Key:     key,
		Request: r,
	}})
}

// find returns the first effect of a type.
func find[F Effect](effects []Effect) (f F, ok bool) {
	for _, effect := range effects {
		if f, ok = effect.(F); ok {
			return f, true
		}
	}
	return f, false
}

func TestClaimComesBeforeTheStart(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(2)
	effects := charge(c, now, 1, "x", "k")
	appended, ok := find[Append](effects)
	if _, started := find[Start](effects); started || !ok {
		t.Fatalf("effects = %v, want an append and no start", effects)
	}
	if effects := charge(c, now, 2, "y", "k"); len(effects) != 0 {
		t.Errorf("repeat: %v, want it to wait", effects)
	}
	effects = c.Apply(now, LogRead{
		Stream: plat.StreamClaims,
		Page:   plat.Page{Records: []plat.Record{{Offset: 1, Time: now, Data: appended.Data}}},
	})
	if start, ok := find[Start](effects); !ok || start.Key != 1 {
		t.Fatalf("effects = %v, want the start of call 1", effects)
	}
	effects = c.Apply(now, Ended{
		Key:     1,
		Outcome: dedup.Outcome{Status: 200, Body: []byte("receipt")},
	})
	if replay, ok := find[Replay](effects); !ok || replay.Key != 2 || string(replay.Outcome.Body) != "receipt" {
		t.Errorf("effects = %v, want the answer replayed to call 2", effects)
	}
	if len(c.calls) != 0 || len(c.running) != 0 {
		t.Errorf("%d calls and %d running are left", len(c.calls), len(c.running))
	}
}

func TestClaimsShareAnAppend(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(1000)
	appends := 0
	for i := range 500 {
		if _, ok := find[Append](charge(c, now, uint64(i), string(rune('a'+i)), string(rune('a'+i)))); ok {
			appends++
		}
	}
	effects := c.Apply(now.Add(time.Second), Appended{Tag: "1", Offset: 1})
	if _, ok := find[Append](effects); !ok || appends != 1 {
		t.Errorf("%d appends for 500 claims, then %v; want one and then another", appends, effects)
	}
}

func TestAbandonedBeforeItsStartHasNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(1)
	charge(c, now, 1, "x", "")
	charge(c, now, 2, "y", "")
	if r, ok := find[Refuse](c.Apply(now, Abandoned{Key: 2})); !ok || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("refusal = %+v, want not-run", r)
	}
	effects := c.Apply(now, Received{
		Session: 1,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
				Id:               "y",
				Attempt:          1,
				AgentIncarnation: 1,
			}},
		}}},
	})
	tell, ok := find[Tell](effects)
	if v := fault.Verdict(tell.Message.GetClaim().GetReport().GetVerdict()); !ok || v != fault.NotRun {
		t.Errorf("report = %v, want not-run", tell.Message)
	}
}

func TestLeavingAgentStillKnowsAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(2)
	charge(c, now, 1, "x", "")
	c.Apply(now, Stopping{})
	if r, ok := find[Refuse](charge(c, now, 2, "y", "")); !ok || fault.CodeOf(r.Err) != fault.CodeLeaving {
		t.Errorf("refusal = %+v, want %s", r, fault.CodeLeaving)
	}
	if _, ended := find[Finished](c.Apply(now.Add(time.Minute), Tick{})); ended {
		t.Error("finished with a call running")
	}
	c.Apply(now, Ended{Key: 1, Outcome: dedup.Outcome{Status: 200}})
	if _, ok := find[Replay](charge(c, now, 3, "x", "")); !ok {
		t.Error("the answer is not replayed while leaving")
	}
	if _, ended := find[Finished](c.Apply(now.Add(lingerTime), Tick{})); !ended {
		t.Error("not finished after the last call")
	}
}

func TestRefusalsOfArrivingCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(1)
	other := c.Apply(now, Arrived{Call: Call{Key: 1, Request: &wirepb.CallRequest{AgentIncarnation: 9}}})
	if r, ok := find[Refuse](other); !ok || fault.CodeOf(r.Err) != fault.CodeLink || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("another incarnation: %+v", r)
	}
	for i := range 1 + queuePerSlot {
		charge(c, now, uint64(10+i), string(rune('a'+i)), "")
	}
	if r, ok := find[Refuse](charge(c, now, 99, "z", "")); !ok || fault.CodeOf(r.Err) != fault.CodeBusy {
		t.Errorf("full queue: %+v, want %s", r, fault.CodeBusy)
	}
	effects := c.Apply(now.Add(time.Minute), Tick{})
	if r, ok := find[Refuse](effects); !ok || fault.CodeOf(r.Err) != fault.CodeDeadline || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("late in the queue: %v", effects)
	}
	c.plain = false
	if r, ok := find[Refuse](charge(c, now, 100, "n", "")); !ok || fault.CodeOf(r.Err) != fault.CodeNoEndpoint {
		t.Errorf("model not held: %+v, want %s", r, fault.CodeNoEndpoint)
	}
}

// ask returns an agent's report on an attempt.
func ask(c *Core, now time.Time, id string) *wirepb.OutcomeReport {
	effects := c.Apply(now, Received{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
		Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
			Id:               id,
			Attempt:          1,
			AgentIncarnation: 1,
		}},
	}}}})
	tell, _ := find[Tell](effects)
	return tell.Message.GetClaim().GetReport()
}

func TestReportsOfOutcomes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(2)
	charge(c, now, 1, "dropped", "")
	charge(c, now, 2, "abandoned", "")
	if r := ask(c, now, "dropped"); !r.GetRunning() {
		t.Errorf("running attempt: %v", r)
	}
	c.Apply(now, Ended{Key: 1, Outcome: dedup.Outcome{Status: 200, BodyDropped: true}})
	c.Apply(now, Ended{Key: 2, Outcome: dedup.Outcome{Err: errAbandoned}})
	for id, want := range map[string]fault.Verdict{
		"dropped":   fault.Ran,
		"abandoned": fault.NotRun,
		"unseen":    fault.NotRun,
	} {
		if r := ask(c, now, id); fault.Verdict(r.GetVerdict()) != want || r.GetStatus() != 0 {
			t.Errorf("%s: %v, want the verdict %v", id, r, want)
		}
	}
}

func TestCallOfAnUnlistedEntryHasNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	c := onceCore(1)
	effects := c.Apply(now, Arrived{Call: Call{
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
	r, ok := find[Refuse](effects)
	if !ok || fault.CodeOf(r.Err) != fault.CodeFenced || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("effects = %v, want not-run %s", effects, fault.CodeFenced)
	}
}
