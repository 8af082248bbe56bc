package gate

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

const (
	badContent   = "bad"
	soundContent = "sound"
	// crashGap is the time between two crashes in which all entries learn of the first.
	crashGap = 500 * time.Millisecond
	// runTime is how long a request runs before its endpoint ends.
	runTime = 50 * time.Millisecond
	// budgetContact is the time after the third crash from which at most badRetries of the
	// bad requests may reach endpoints.
	budgetContact = 3 * time.Second
	badRetries    = 3
)

// plainFleet is a set of entries with plain endpoints.
type plainFleet struct {
	*entryFleet
	shops int
}

func newPlainFleet(t *testing.T) *plainFleet {
	f := &plainFleet{entryFleet: newEntryFleet(t)}
	for range 3 {
		f.addShop()
	}
	return f
}

// addShop starts an endpoint under a new ID.
func (f *plainFleet) addShop() {
	f.shops++
	ep := testEndpoint(fmt.Sprint("shop-", f.shops), "shop")
	f.change(topo.EndpointChange{ID: ep.ID, Endpoint: ep})
}

func (f *plainFleet) change(changes ...topo.EndpointChange) {
	for host := range f.cores {
		f.apply(host, EndpointsRead{SentAt: f.now, Changes: changes})
	}
}

// arrivePlain delivers a request with the given content and lets no time pass.
func (f *plainFleet) arrivePlain(host, path, key, content string) CallID {
	f.calls++
	f.effects[host] = nil
	f.apply(host, RequestArrived{Call: f.calls, Request: &Request{
		ID: fmt.Sprint("call-", f.calls), Host: "h", Path: path, Key: key, ArrivedAt: f.now, Content: content,
	}})
	return f.calls
}

// tryPlain delivers a request and returns where it was sent, or the error with which it
// was refused.
func (f *plainFleet) tryPlain(host, path, content string) (Send, error) {
	f.arrivePlain(host, path, "k2", content)
	return f.await(host)
}

func (f *plainFleet) mustTryPlain(host, path, content string) Send {
	f.t.Helper()
	sent, err := f.tryPlain(host, path, content)
	if err != nil {
		f.t.Fatalf("%s refused a request with content %q: %v", host, content, err)
	}
	return sent
}

// cut ends the endpoint of a request. It reports whether the entry sent the request again.
func (f *plainFleet) cut(host string, sent Send) (again bool) {
	f.now = f.now.Add(runTime)
	f.effects[host] = nil
	f.apply(host, AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
	_, again = findEffect[Send](f.effects[host])
	probe, probed := findEffect[ProbeEngine](f.effects[host])
	if probed && !probe.Plain {
		f.t.Error("a plain endpoint is probed like an engine")
	}
	f.apply(host, EngineProbed{Run: poison.Run{Engine: sent.Endpoint, Incarnation: sent.Incarnation}})
	return again
}

// crashPlain is cut; another endpoint starts later.
func (f *plainFleet) crashPlain(host string, sent Send) {
	f.cut(host, sent)
	f.change(topo.EndpointChange{ID: sent.Endpoint})
	f.addShop()
	f.pass(crashGap)
}

// pass lets time pass and all entries report.
func (f *plainFleet) pass(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.tick()
	}
}

// crashBad lets the bad request crash endpoints, sent by all entries in turn.
func (f *plainFleet) crashBad(count int) {
	f.t.Helper()
	for i := range count {
		f.crashPlain(hostOf(i), f.mustTryPlain(hostOf(i), "/charge/1", badContent))
	}
}

// attack lets the bad request come for a time, and returns how often it reached an endpoint.
func (f *plainFleet) attack(d time.Duration) (reached int) {
	f.t.Helper()
	for i, until := 0, f.now.Add(d); f.now.Before(until); i++ {
		sent, err := f.tryPlain(hostOf(i), "/charge/1", badContent)
		if err != nil {
			f.pass(crashGap)
			continue
		}
		reached++
		f.crashPlain(hostOf(i), sent)
	}
	return reached
}

// wantPlainQuarantined checks that an entry refuses the bad request as not run, and sends
// another one of its customer.
func (f *plainFleet) wantPlainQuarantined(host string) {
	f.t.Helper()
	_, err := f.tryPlain(host, "/look/1", badContent)
	if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun {
		f.t.Errorf("%s answered the bad request with %v, want it refused as not run", host, err)
	}
	if after := fault.RetryAfterOf(err); after < 5*time.Second || after > 30*time.Second {
		f.t.Errorf("%s told to come back after %v, want the end of the quarantine", host, after)
	}
	f.answer(host, f.mustTryPlain(host, "/charge/1", soundContent))
}

// wantOtherCustomerServed checks that an entry sends another customer's request with the
// bad content.
func (f *plainFleet) wantOtherCustomerServed(host string) {
	f.t.Helper()
	f.arrivePlain(host, "/charge/1", "k1", badContent)
	other, err := f.await(host)
	if err != nil {
		f.t.Errorf("%s answers another customer's request with the same content with %v", host, err)
		return
	}
	f.answer(host, other)
}

// Guards against entries that each have to lose endpoints of their own to a request.
func TestCrashesOfPlainRequestAddUp(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(4)
	for i := range 3 {
		f.wantPlainQuarantined(hostOf(i))
		f.wantOtherCustomerServed(hostOf(i))
	}
}

// Guards against a quarantine that is lost with the leader, before or after it began.
func TestPlainQuarantineSurvivesChangeOfLeader(t *testing.T) {
	for crashes := 1; crashes <= 4; crashes++ {
		f := newPlainFleet(t)
		for i := range 4 {
			if i == crashes {
				delete(f.cores, "front-1")
				f.lead("front-2")
				f.tick()
			}
			host := hostOf(i)
			if f.cores[host] == nil {
				host = "front-3"
			}
			f.crashPlain(host, f.mustTryPlain(host, "/charge/1", badContent))
		}
		f.wantPlainQuarantined("front-2")
		f.wantPlainQuarantined("front-3")
	}
}

// Guards against a quarantine that is lost when all entries start anew.
func TestPlainQuarantineSurvivesAllEntries(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(4)
	f.pass(time.Second)
	restarted := newPlainFleet(t)
	restarted.now = f.now
	restarted.readStore()
	for host := range restarted.cores {
		read := f.leaseRead()
		read.Era, read.SentAt = 0, f.now
		restarted.apply(host, read)
		restarted.wantPlainQuarantined(host)
	}
}

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

// wantWaitForTrial checks that the suspect request is tried with one at a time, and that
// one that waits is sent no later than the given time after the trial ends with a result.
func (f *plainFleet) wantWaitForTrial(result Result, within time.Duration) (trial, next Send) {
	f.t.Helper()
	trial = f.mustTryPlain("front-3", "/charge/1", badContent)
	f.wantOnTrial()
	waits := f.arrivePlain("front-2", "/charge/1", "k2", badContent)
	f.apply("front-3", AttemptEnded{Call: trial.Call, Result: result})
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
		f.answer(hostOf(i), f.mustTryPlain(hostOf(i), "/charge/1", soundContent))
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
		if reached := f.attack(time.Minute); 1+reached > badRetries {
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

// Guards against refusing sound requests, which repeat, because their endpoints end for
// reasons of their own, one after the other or all at once.
func TestOrdinaryFailuresQuarantineNoPlainRequest(t *testing.T) {
	f := newPlainFleet(t)
	for round := range 30 {
		var sent []Send
		for i := range 6 {
			sent = append(sent, f.mustTryPlain(hostOf(i), "/charge/1", fmt.Sprint("content-", (round+i)%7)))
		}
		var ended []string
		for i, send := range sent {
			if round%3 == 0 || round%3 == 1 && send.Endpoint == sent[0].Endpoint {
				f.cut(hostOf(i), send)
				ended = append(ended, send.Endpoint)
				continue
			}
			f.answer(hostOf(i), send)
		}
		slices.Sort(ended)
		for _, id := range slices.Compact(ended) {
			f.change(topo.EndpointChange{ID: id})
			f.addShop()
		}
		f.pass(2 * time.Second)
	}
}

// Guards against an entry that tells any other time than the end of a quarantine of which
// only the leader knows.
func TestQuarantineKnownToLeaderIsToldTruly(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	const remaining = 17 * time.Second
	f.cores["front-1"].crashes.log.AddQuarantine(f.now, poison.Quarantine{
		Part: poison.NewFingerprint("free", badContent), Until: f.now.Add(remaining), Duration: 20 * time.Second,
	})
	_, err := f.tryPlain("front-3", "/charge/1", badContent)
	if after := fault.RetryAfterOf(err); fault.CodeOf(err) != fault.CodeQuarantine || after != remaining {
		t.Errorf("refused with %v and told to come back after %v, want %v", err, after, remaining)
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

// Guards against a stream request that comes again, identically, and crashes engine after
// engine though all parts of its prompt that others share are sound.
func TestIdenticalStreamRequestIsQuarantined(t *testing.T) {
	f := newEntryFleet(t)
	send := func(host, content, resumes string) (Send, error) {
		f.calls++
		f.effects[host] = nil
		f.apply(host, RequestArrived{Call: f.calls, Request: &Request{
			ID: fmt.Sprint("call-", f.calls), Host: "h", Path: "/chat/1", Key: "k2", Model: "big", ArrivedAt: f.now,
			SharedParts: []poison.Part{systemPart}, Content: content, ResumedRequest: resumes,
		}})
		return f.await(host)
	}
	for i := range 4 {
		sound, err := send(hostOf(i+1), fmt.Sprint("sound-", i), "")
		bad, badErr := send(hostOf(i), badContent, "")
		if err := errors.Join(err, badErr); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		f.answer(hostOf(i+1), sound)
		f.now = f.now.Add(runTime)
		f.crash(hostOf(i), bad, false)
	}
	for i := range 3 {
		for _, resumes := range []string{"", "call-1"} {
			_, err := send(hostOf(i), badContent, resumes)
			if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun {
				t.Errorf("%s answers the request with %v, want it refused as not run", hostOf(i), err)
			}
		}
		if _, err := send(hostOf(i), soundContent, ""); err != nil {
			t.Errorf("%s refuses a request with the same parts: %v", hostOf(i), err)
		}
	}
}

// Guards against a trial that stays granted to a client that has left while its entry
// waited for the grant, and keeps sound requests with the same content waiting.
func TestTrialGrantedToLeftClientEnds(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	core := f.cores["front-3"]
	f.calls++
	id := f.calls
	asked, ok := findEffect[RequestAssignment](core.Apply(f.now, RequestArrived{Call: id, Request: &Request{
		ID:        "left",
		Host:      "h",
		Path:      "/charge/1",
		Key:       "k2",
		ArrivedAt: f.now,
		Content:   badContent,
	}}))
	if !ok {
		t.Fatal("no trial is asked for")
	}
	core.Apply(f.now, ClientDisconnected{Call: id})
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
	core := f.cores["front-3"]
	f.calls++
	asked, ok := findEffect[RequestAssignment](core.Apply(f.now, RequestArrived{Call: f.calls, Request: &Request{
		ID:        "late",
		Host:      "h",
		Path:      "/charge/1",
		Key:       "k2",
		ArrivedAt: f.now,
		Content:   badContent,
	}}))
	if !ok {
		t.Fatal("no trial is asked for")
	}
	f.now = f.now.Add(leaderReplyTimeout)
	if refuse, refused := findEffect[Refuse](core.Apply(f.now, Tick{})); !refused {
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

// Guards against a record of the lease that drops the quarantines of requests first, and
// not the shortest ones.
func TestRecordKeepsLongestQuarantines(t *testing.T) {
	f := newPlainFleet(t)
	core := f.cores["front-1"]
	for i := range maxRecordedQuarantines {
		core.crashes.log.AddQuarantine(f.now, poison.Quarantine{
			Part:     poison.NewPart(fmt.Sprint("old-", i)),
			Until:    f.now.Add(time.Second),
			Duration: 20 * time.Second,
		})
	}
	bad := poison.NewFingerprint("free", badContent)
	core.crashes.log.AddQuarantine(f.now, poison.Quarantine{
		Part:     bad,
		Until:    f.now.Add(time.Hour),
		Duration: time.Hour,
	})
	for _, q := range core.recordedQuarantine(f.now) {
		if poison.Part(q.Part) == bad {
			return
		}
	}
	t.Errorf("of %d quarantines the longest one is not in the record", maxRecordedQuarantines+1)
}
