package entry

import (
	"testing"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// breakConnection ends the first attempt of call 1 with a connection error.
func breakConnection(core *Core, now time.Time) []Effect {
	return core.Apply(now, AttemptEnded{
		ID:      "1",
		Attempt: 1,
		Outcome: Outcome{
			Verdict: fault.MayHaveRun,
			Err:     fault.New(fault.MayHaveRun, fault.CodeLink, "connection broken"),
		},
	})
}

// findOutcomeQuery returns the outcome query in the effects, nil if there is
// none.
func findOutcomeQuery(effects []Effect) *wirepb.OutcomeQuery {
	for _, effect := range effects {
		if send, ok := effect.(SendMessage); ok && send.Message.GetClaim().GetQuery() != nil {
			return send.Message.GetClaim().GetQuery()
		}
	}
	return nil
}

// reportOutcome delivers an agent's report on the first attempt of call 1.
func reportOutcome(core *Core, now time.Time, host string, report *wirepb.OutcomeReport) []Effect {
	report.Id, report.Attempt = "1", 1
	return core.Apply(now, MessageReceived{
		Host:        host,
		Incarnation: 1,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Report{Report: report},
		}}},
	})
}

func TestOutcomeQueryAfterBrokenConnection(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	first := arriveCall(t, core, now, "charge")[0].(SendAttempt)
	if query := findOutcomeQuery(breakConnection(core, now)); query.GetId() != "1" || query.GetAgentIncarnation() != 1 {
		t.Fatalf("query = %v, want one for call 1", query)
	}
	if effects := reportOutcome(core, now, first.Host, &wirepb.OutcomeReport{Running: true}); len(effects) != 0 {
		t.Errorf("effects while the call is running = %v, want none", effects)
	}
	if query := findOutcomeQuery(core.Apply(now.Add(outcomeQueryInterval), Tick{})); query == nil {
		t.Error("the query is not repeated")
	}
	effects := reportOutcome(core, now, first.Host, &wirepb.OutcomeReport{Status: 200, Body: []byte("receipt")})
	if deliver, ok := effects[0].(DeliverOutcome); !ok || string(deliver.Report.GetBody()) != "receipt" {
		t.Errorf("effects = %v, want DeliverOutcome", effects)
	}
	if len(core.calls) != 0 {
		t.Errorf("%d calls remain", len(core.calls))
	}
}

func TestUnreceivedAttemptIsRetriedOnOtherAgent(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	first := arriveCall(t, core, now, "charge")[0].(SendAttempt)
	breakConnection(core, now)
	effects := reportOutcome(core, now, first.Host, &wirepb.OutcomeReport{
		Verdict: uint32(fault.NotRun),
		Code:    string(fault.CodeLink),
	})
	if send, ok := effects[0].(SendAttempt); !ok || send.Host == first.Host {
		t.Errorf("effects = %v, want an attempt on the other agent", effects)
	}
}

func TestOutcomeQueryEnds(t *testing.T) {
	now := time.Unix(0, 0)
	for _, test := range []struct {
		name  string
		after time.Duration
		event Event
	}{
		{name: "new incarnation", event: SessionOpened{Host: "a", Hello: &wirepb.Hello{Incarnation: 2}}},
		{name: "timeout after the host has left the list", after: outcomeQueryTimeout, event: Tick{}},
		{name: "timeout", after: outcomeQueryTimeout, event: Tick{}},
	} {
		core := readyCore(t, now, "a")
		arriveCall(t, core, now, "charge")
		breakConnection(core, now)
		if test.name == "timeout after the host has left the list" {
			core.Apply(now, HostsRead{})
			core.Apply(now, SessionClosed{Host: "a", Incarnation: 1})
		}
		if got := failureVerdict(t, core.Apply(now.Add(test.after), test.event)); got != fault.MayHaveRun {
			t.Errorf("%s: verdict = %v, want %v", test.name, got, fault.MayHaveRun)
		}
	}
}

// arriveWithIdempotencyKey sends call 1 with an idempotency key.
func arriveWithIdempotencyKey(core *Core, now time.Time) []Effect {
	return core.Apply(now, CallArrived{Call: Call{
		ID:                "1",
		Route:             core.fold.Config.Routes["charge"],
		HasIdempotencyKey: true,
		IdempotencyKey:    dedup.NewKey("", "/charge", "k"),
		Deadline:          now.Add(time.Minute),
	}})
}

// refuseClaimed ends an attempt with a refusal because holder has the claim.
func refuseClaimed(core *Core, now time.Time, attempt int, holder dedup.Process) []Effect {
	return core.Apply(now, AttemptEnded{
		ID:      "1",
		Attempt: attempt,
		Outcome: Outcome{
			Verdict:     fault.NotRun,
			Err:         fault.New(fault.NotRun, fault.CodeClaimed, "claimed"),
			ClaimHolder: holder,
		},
	})
}

func TestClaimedCallIsSentToHolder(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b", "c")
	first := arriveWithIdempotencyKey(core, now)[0].(SendAttempt)
	holder := "a"
	if first.Host == holder {
		holder = "b"
	}
	effects := refuseClaimed(core, now, 1, dedup.Process{Host: holder, Incarnation: 1})
	if send, ok := effects[0].(SendAttempt); !ok || send.Host != holder {
		t.Fatalf("effects = %v, want an attempt on %s", effects, holder)
	}
	// The holder is overloaded, and no other agent may run the call.
	if got := failureVerdict(t, failAttempt(core, now, 2, fault.NotRun)); got != fault.NotRun {
		t.Errorf("verdict = %v, want %v", got, fault.NotRun)
	}
}

func TestClaimOfTerminatedProcessMayHaveRun(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	arriveWithIdempotencyKey(core, now)
	effects := refuseClaimed(core, now, 1, dedup.Process{Host: "a", Incarnation: 77})
	if got := failureVerdict(t, effects); got != fault.MayHaveRun {
		t.Errorf("verdict = %v, want %v", got, fault.MayHaveRun)
	}
}

// TestClaimConflictAtLastAttemptMayHaveRun checks the verdict when agents name
// each other as the claim holder until no attempt is left.
func TestClaimConflictAtLastAttemptMayHaveRun(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	effects := arriveWithIdempotencyKey(core, now)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		send, ok := effects[0].(SendAttempt)
		if !ok {
			break
		}
		other := "a"
		if send.Host == "a" {
			other = "b"
		}
		effects = refuseClaimed(core, now, attempt, dedup.Process{Host: other, Incarnation: 1})
	}
	if got := failureVerdict(t, effects); got != fault.MayHaveRun {
		t.Errorf("verdict = %v, want %v", got, fault.MayHaveRun)
	}
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	sent := 0
	const calls = 1000
	for range calls {
		effects := arriveCall(t, core, now, "look")
		for attempt := 1; ; attempt++ {
			if _, ok := effects[0].(SendAttempt); !ok {
				break
			}
			sent++
			effects = failAttempt(core, now, attempt, fault.MayHaveRun)
		}
	}
	if limit := calls + calls/10 + 50; sent > limit {
		t.Errorf("%d attempts for %d failing calls, want at most %d", sent, calls, limit)
	}
}

func TestDrainDelayAcceptsCalls(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a")
	core.drainDelay = time.Second
	for _, effect := range core.Apply(now, ShutdownRequested{}) {
		if _, ok := effect.(ShutdownFinished); ok {
			t.Error("shutdown finished before the drain delay")
		}
	}
	if err := core.checkAdmission(now, Call{}); err != nil {
		t.Errorf("checkAdmission while draining: %v", err)
	}
	later := now.Add(time.Second)
	if err := core.checkAdmission(later, Call{}); fault.CodeOf(err) != fault.CodeLeaving {
		t.Errorf("checkAdmission after the drain delay: %v, want %s", err, fault.CodeLeaving)
	}
	if effects := core.tickCalls(later); len(effects) != 1 || effects[0] != (ShutdownFinished{}) {
		t.Errorf("effects = %v, want ShutdownFinished", effects)
	}
}
