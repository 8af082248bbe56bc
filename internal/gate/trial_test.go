package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// Guards against several trials at a time, and against refusing a sound request that can
// wait for the trial of its like.
func TestPlainSuspectIsTriedOnce(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	f.wantWaitForTrial(Result{Outcome: OutcomeComplete}, 0)
	for i := range 3 {
		f.mustTryPlain(hostOf(i), "/charge/1", badContent)
	}
}

// wantWaitForTrial checks that the suspect request is tried with one at a time until its
// endpoint has outlived the result, and that one that waits then is sent no later than the
// given time after that.
func (f *plainFleet) wantWaitForTrial(result Result, within time.Duration) (trial, next Send) {
	f.t.Helper()
	trial = f.mustTryPlain("front-3", "/charge/1", badContent)
	f.wantOnTrial()
	f.apply("front-3", AttemptEnded{Call: trial.Call, Result: result})
	began := f.now
	f.wantOnTrial()
	f.now = began.Add(answerSettleTime - trialRequestInterval)
	f.apply("front-3", Tick{})
	waits := f.arrivePlain("front-2", "/charge/1", "k2", badContent)
	f.now = began.Add(answerSettleTime)
	f.apply("front-3", Tick{})
	f.now = f.now.Add(within)
	f.apply("front-1", Tick{})
	f.apply("front-2", Tick{})
	next, sent := findEffect[Send](f.effects["front-2"])
	if !sent || next.Call != waits {
		f.t.Errorf("after %v of the trial the request that waits isn't sent: %+v", result.Outcome, f.effects["front-2"])
	}
	return trial, next
}

// wantOnTrial checks that all entries refuse the bad request as not run during a trial, and
// send another one of its customer.
func (f *plainFleet) wantOnTrial() {
	f.t.Helper()
	for i := range 3 {
		_, err := f.tryPlain(hostOf(i), "/charge/1", badContent)
		if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun || fault.RetryAfterOf(err) == 0 {
			f.t.Errorf("%s answered another request during the trial with %v", hostOf(i), err)
		}
		f.entryFleet.answer(hostOf(i), f.mustTryPlain(hostOf(i), "/charge/1", soundContent))
	}
}

// Guards against a failure that proves a suspect sound, against one that blocks the next
// trial, and against a sound request that always fails and stays on trial for good.
func TestPlainSuspectThatFailsIsTriedAtOtherEndpoint(t *testing.T) {
	failure := Result{Outcome: OutcomeFailed, Reason: ReasonStatus, Status: 500}
	f := newPlainFleet(t)
	f.crashBad(2)
	first, next := f.wantWaitForTrial(failure, trialRequestInterval)
	f.wantOnTrial()
	f.apply("front-2", AttemptEnded{Call: next.Call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonRefused}})
	for failures := 0; ; failures++ {
		if failures == 5 {
			t.Fatalf("after %d failures the suspect was never tried at another endpoint than %s", failures, first.Endpoint)
		}
		trial := f.mustTryPlain("front-3", "/charge/1", badContent)
		f.wantOnTrial()
		f.apply("front-3", AttemptEnded{Call: trial.Call, Result: failure})
		f.pass(answerSettleTime)
		if trial.Endpoint != first.Endpoint {
			break
		}
	}
	for i := range 3 {
		f.mustTryPlain(hostOf(i), "/charge/1", badContent)
	}
}

// Guards against taking the 500 of an endpoint that fails part of its requests for proof
// that a request is sound: it may have failed before the request ran.
func TestFailureOfFaultyEndpointDoesNotClearBadRequest(t *testing.T) {
	for _, closeDelimited := range []bool{false, true} {
		f := newPlainFleet(t)
		f.crashBad(3)
		f.pass(budgetContact)
		trial := f.mustTryPlain("front-3", "/charge/1", badContent)
		f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{
			Outcome:        OutcomeFailed,
			Reason:         ReasonStatus,
			Status:         500,
			CloseDelimited: closeDelimited,
		}})
		f.pass(endingMemory + crashGap)
		if reached := f.attack(); 1+reached > badRetries {
			t.Errorf("%d requests reached endpoints later than %v after the third crash, want at most %d",
				1+reached, budgetContact, badRetries)
		}
	}
}

// Guards against a trial that blocks the next one though it shows nothing any more.
func TestPlainTrialEndsWithoutAnswer(t *testing.T) {
	for name, end := range map[string]func(f *plainFleet, trial Send){
		"client gone": func(f *plainFleet, trial Send) { f.apply("front-3", ClientDisconnected{Call: trial.Call}) },
		"client gone from attempt": func(f *plainFleet, trial Send) {
			f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{Reason: ReasonClientGone}})
		},
		"refused by the endpoint": func(f *plainFleet, trial Send) {
			f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonRefused}})
		},
		"cut off by a running endpoint": func(f *plainFleet, trial Send) {
			f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{Reason: ReasonReset}})
			f.apply("front-3", EngineProbed{Run: poison.Run{Engine: trial.Endpoint, Incarnation: trial.Incarnation}, Running: true})
		},
	} {
		f := newPlainFleet(t)
		f.crashBad(2)
		for range 3 {
			trial, err := f.tryPlain("front-3", "/charge/1", badContent)
			if err != nil {
				t.Errorf("%s: the next trial is refused: %v", name, err)
			}
			end(f, trial)
		}
	}
}

// Guards against an entry that sends a suspect to the next endpoint by itself.
func TestPlainSuspectIsNotRepeated(t *testing.T) {
	f := newPlainFleet(t)
	if !f.cut("front-1", f.mustTryPlain("front-1", "/look/1", badContent)) {
		t.Fatal("a request that isn't suspect is not repeated")
	}
	f.crashBad(1)
	if f.cut("front-3", f.mustTryPlain("front-3", "/look/1", badContent)) {
		t.Error("a suspect is repeated")
	}
	f.tick()
	if _, sent := findEffect[Send](f.effects["front-3"]); sent {
		t.Error("a suspect is repeated once its endpoint is known to have ended")
	}
}

// Guards against a second request on trial while the first one, whose endpoint can't be
// reached, is sent to another endpoint.
func TestPlainTrialGoesOnAtAnotherEndpoint(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	trial := f.mustTryPlain("front-3", "/charge/1", badContent)
	f.effects["front-3"] = nil
	f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonDial}})
	if _, err := f.await("front-3"); err != nil {
		t.Fatalf("the trial doesn't go on: %v", err)
	}
	if _, err := f.tryPlain("front-2", "/charge/1", badContent); fault.CodeOf(err) != fault.CodeQuarantine {
		t.Errorf("another request is answered with %v during the trial", err)
	}
}

// Guards against trials without the leader, which alone knows of all others.
func TestPlainTrialNeedsLeader(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	f.apply("front-3", LeaderDisconnected{Host: "front-1"})
	f.apply("front-1", PeerDisconnected{Host: "front-3"})
	_, err := f.tryPlain("front-3", "/charge/1", badContent)
	if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun || fault.RetryAfterOf(err) > 3*time.Second {
		t.Errorf("an entry without a leader answers a suspect with %v", err)
	}
	f.answer("front-3", f.mustTryPlain("front-3", "/charge/1", soundContent))
}

// Guards against a suspect that is never tried because its endpoints name limits, or
// tried more often than they allow.
func TestPlainTrialKeepsToLimits(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	for _, ep := range f.cores["front-1"].sortedEndpoints() {
		if ep.Service == "shop" {
			f.apply("front-1", LimitNamed{Endpoint: ep.ID, Incarnation: ep.Incarnation, PerSecond: 50})
		}
	}
	f.pass(crashGap)
	f.answer("front-3", f.mustTryPlain("front-3", "/charge/1", badContent))
	f.answer("front-2", f.mustTryPlain("front-2", "/charge/1", badContent))
}

// Guards against an answer that ends with its connection, and is therefore no proof at
// once, keeping a sound request on trial for good.
func TestAnswerThatEndsWithConnectionClearsLater(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	trial := f.mustTryPlain("front-3", "/charge/1", badContent)
	f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{Outcome: OutcomeComplete, CloseDelimited: true}})
	if n := len(f.cores["front-3"].crashes.log.Suspects()); n != 1 {
		t.Errorf("%d suspects after an answer that may have been cut off, want 1", n)
	}
	f.pass(endingMemory + crashGap)
	for i := range 3 {
		f.mustTryPlain(hostOf(i), "/charge/1", badContent)
	}
}

// Guards against a trial that goes on though its request was never sent.
func TestPlainTrialEndsWithRefusal(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	core := f.cores["front-3"]
	pause := func(until time.Time) {
		for _, ep := range core.sortedEndpoints() {
			if ep.Service == "shop" {
				ep.stats.RecordRetryAfter(f.now, until.Sub(f.now))
			}
		}
	}
	pause(f.now.Add(2 * time.Second))
	if _, err := f.tryPlain("front-3", "/charge/1", badContent); fault.CodeOf(err) != fault.CodeBusy {
		t.Fatalf("a request whose endpoints have asked for a pause is answered with %v", err)
	}
	f.mustTryPlain("front-2", "/charge/1", badContent)
}

// askForTrial delivers a request with a suspect content whose entry asks for a trial, and
// returns what it asks the leader, which doesn't hear of it.
func (f *plainFleet) askForTrial(host, id string) RequestAssignment {
	f.t.Helper()
	f.calls++
	asked, ok := findEffect[RequestAssignment](f.cores[host].Apply(f.now, RequestArrived{Call: f.calls, Request: &Request{
		ID:        id,
		Host:      "h",
		Path:      "/charge/1",
		Key:       "k2",
		ArrivedAt: f.now,
		Content:   badContent,
	}}))
	if !ok {
		f.t.Fatal("no trial is asked for")
	}
	return asked
}

// Guards against a trial that stays granted to a client that has left while its entry
// waited for the grant, and keeps sound requests with the same content waiting.
func TestTrialGrantedToLeftClientEnds(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	asked := f.askForTrial("front-3", "left")
	f.cores["front-3"].Apply(f.now, ClientDisconnected{Call: f.calls})
	f.apply("front-1", AssignmentRequested{Host: "front-3", Request: asked.Request})
	f.pass(time.Second)
	if _, err := f.tryPlain("front-2", "/charge/1", badContent); err != nil {
		t.Errorf("a second after a trial was granted to a client that had left, the next one is refused: %v", err)
	}
}

// Guards against a trial that stays granted to a call whose entry had already given up
// waiting for the grant.
func TestTrialGrantedTooLateEnds(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	asked := f.askForTrial("front-3", "late")
	f.now = f.now.Add(leaderReplyTimeout)
	if refuse, refused := findEffect[Refuse](f.cores["front-3"].Apply(f.now, Tick{})); !refused {
		t.Fatalf("the call still waits: %v", refuse)
	}
	f.apply("front-1", AssignmentRequested{Host: "front-3", Request: asked.Request})
	f.pass(time.Second)
	if _, err := f.tryPlain("front-2", "/charge/1", badContent); err != nil {
		t.Errorf("a second after a trial was granted too late, the next one is refused: %v", err)
	}
}

// triesAfterThird is how many requests with one content may reach endpoints later than
// shortly after its third crash.
const triesAfterThird = 3

// Guards against two bad requests that are tried at the same moment, at the only endpoint,
// and so never told apart.
func TestTrialsOfRivalsExcludeEachOther(t *testing.T) {
	f := newPlainFleet(t)
	f.change(topo.EndpointChange{ID: "shop-2"}, topo.EndpointChange{ID: "shop-3"})
	const other = "bad too"
	reached := 0
	for i := range 12 {
		var running []Send
		var hosts []string
		for j, content := range []string{badContent, other} {
			if sent, err := f.tryPlain(hostOf(i+j), "/charge/1", content); err == nil {
				running = append(running, sent)
				hosts = append(hosts, hostOf(i+j))
			}
		}
		if len(running) == 0 {
			f.pass(time.Second)
			continue
		}
		reached += len(running)
		f.now = f.now.Add(runTime)
		for j, sent := range running {
			f.apply(hosts[j], AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
		}
		for j, sent := range running {
			f.apply(hosts[j], EngineProbed{Run: poison.Run{Engine: sent.Endpoint, Incarnation: sent.Incarnation}, Ended: true})
		}
		f.change(topo.EndpointChange{ID: running[0].Endpoint})
		f.addShop()
		f.pass(2 * time.Second)
	}
	if reached > 2*(3+triesAfterThird) {
		t.Errorf("two bad requests reached the only endpoint %d times, want at most %d", reached, 2*(3+triesAfterThird))
	}
}
