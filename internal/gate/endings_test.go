package gate

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// An answer that ends with its connection, or without any event, may be one that the
// engine's end has cut off. If a connection to it then fails, it counts as such.
func TestAnswerThatMayBeCutOffIsNoProof(t *testing.T) {
	for _, result := range []Result{
		{Outcome: OutcomeComplete, CloseDelimited: true},
		{Outcome: OutcomeComplete, WithoutEvents: true},
	} {
		checkNoProof(t, result)
	}
}

func checkNoProof(t *testing.T, result Result) {
	t.Helper()
	f := newEntryFleet(t)
	f.answer("front-2", f.mustTry("front-2", "/chat/1", systemPart))
	for i := range 3 {
		host := hostOf(i)
		sent := f.mustTry(host, "/chat/1", systemPart, badPart)
		f.apply(host, AttemptEnded{Call: sent.Call, Result: result})
		core := f.cores[host]
		call := &activeCall{request: &Request{SharedParts: []poison.Part{systemPart}}}
		core.recordEnding(f.now, call, core.endpoints[sent.Endpoint], Result{Outcome: OutcomeNotRun, Reason: ReasonDial})
		f.crash(host, sent, true)
	}
	f.wantQuarantined("front-1", badPart)
}

// One entry can't reach an engine. Its report of a crash must not keep the engine from the
// others once the engine has answered the leader since.
func TestEngineThatAnswersHasNotCrashed(t *testing.T) {
	h := newLiveHarness(t)
	e1 := engineRecord("e1", "v1", "big")
	h.replaceEngines(e1)
	h.reportEngines(e1)
	h.apply(PeerConnected{Host: "front-2"})
	h.receiveReport(&wirepb.GateReport{
		Sequence: 1,
		Poison: poison.Encode(h.now, poison.Changes{Crashes: []poison.Crash{{
			Run: poison.Run{Engine: "e1", Incarnation: e1.Incarnation},
			At:  h.now,
		}}}),
	})
	h.advance(100 * time.Millisecond)
	h.apply(Tick{})
	h.reportEngines(e1) // asked for and answered after the crash
	_, effects := h.live("")
	h.mustSend(effects)
}

// An entry's link to an engine was cut for a moment, long ago, which was taken for a crash.
// Now the engine does end: that must be found out, and no part be blamed unseen.
func TestRunThatOutlivedItsCrashIsProbedAgain(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v1", "big"))
	h.core.crashes.log.AddCrash(h.now, poison.Crash{Run: poison.Run{Engine: "e1", Incarnation: 1}, At: h.now})
	h.passTime(endedRecordLifetime + time.Second)
	id, effects := h.live("")
	h.mustSend(effects)
	h.core.calls[id].request.SharedParts = []poison.Part{systemPart}
	h.apply(FirstByteReceived{Call: id})
	h.advance(200 * time.Millisecond)
	effects = h.apply(AttemptEnded{Call: id, Result: truncated})
	if _, probed := findEffect[ProbeEngine](effects); !probed {
		t.Error("the engine was not probed")
	}
}

// Guards against news of crashes that are lost for as long as a session lasts, because the
// state with them is too old for the entry that gets it.
func TestCrashesInDroppedStateAreToldAgain(t *testing.T) {
	f := newPlainFleet(t)
	f.pass(time.Second)
	for range 2 {
		// front-3's reports take longer than maxStateAge, so it drops the states meanwhile.
		f.now = f.now.Add(maxStateAge + 100*time.Millisecond)
		sent := f.mustTryPlain("front-1", "/charge/1", badContent)
		f.cut("front-1", sent)
		f.apply("front-1", Tick{})
		f.pass(time.Second)
	}
	bad := poison.NewFingerprint("free", badContent)
	for i := range 3 {
		if !f.cores[hostOf(i)].crashes.log.ResolvedSince(bad, time.Time{}) {
			t.Errorf("%s, in touch with the leader, doesn't know of the crashes", hostOf(i))
		}
	}
}

// Guards against news of crashes that are lost because the leader's term had just run out
// when they were reported, and was renewed in the same session.
func TestReportToLapsedLeaderIsToldAgain(t *testing.T) {
	f := newPlainFleet(t)
	f.pass(time.Second)
	core := f.cores["front-1"]
	for step := 0; core.isLeader(f.now); step++ {
		f.now = f.now.Add(100 * time.Millisecond) // the store answers no renewal
		if step > 200 {
			t.Fatal("the term doesn't run out")
		}
	}
	f.readStore()
	f.cut("front-2", f.mustTryPlain("front-2", "/charge/1", badContent))
	lapsed := f.now
	f.recordAppend(f.acquireLease("front-1"))
	silent := f.now.Sub(lapsed)
	f.pass(2 * time.Second)
	bad := poison.NewFingerprint("free", badContent)
	if !core.isLeader(f.now) {
		t.Fatal("front-1 doesn't lead again")
	}
	for i := range 3 {
		if !f.cores[hostOf(i)].crashes.log.ResolvedSince(bad, time.Time{}) {
			t.Errorf("%s doesn't know of the crash, reported %v before the leader's next term", hostOf(i), silent)
		}
	}
}

// Guards against losing an answer that ended with its endpoint because another entry has
// proved the endpoint's end: this entry then has no reason to connect, and so to probe.
func TestEndProvedByAnotherEntryTellsOfOwnEndings(t *testing.T) {
	bad := poison.NewFingerprint("free", badContent)
	for name, result := range map[string]Result{
		"ends with its connection": {Outcome: OutcomeComplete, CloseDelimited: true},
		"client gone":              {Outcome: OutcomeMayHaveRun, Reason: ReasonClientGone},
	} {
		f := newPlainFleet(t)
		sent := f.mustTryPlain("front-2", "/charge/1", badContent)
		var beside Send
		for i := 0; beside.Endpoint != sent.Endpoint; i++ {
			beside = f.mustTryPlain("front-3", "/charge/1", fmt.Sprint("sound-", i))
		}
		f.now = f.now.Add(runTime)
		f.apply("front-2", AttemptEnded{Call: sent.Call, Result: result})
		f.apply("front-3", AttemptEnded{Call: beside.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
		f.apply("front-3", EngineProbed{
			Run:   poison.Run{Engine: beside.Endpoint, Incarnation: beside.Incarnation},
			Ended: true,
		})
		f.pass(time.Second)
		f.change(topo.EndpointChange{ID: sent.Endpoint})
		f.pass(endingMemory + time.Second)
		log := f.cores["front-1"].crashes.log
		if !log.ResolvedSince(bad, time.Time{}) {
			t.Errorf("%s: the bad request isn't in the crash", name)
		}
		own := f.cores["front-2"].crashes.log
		own.AddCrash(f.now, poison.Crash{Run: poison.Run{Engine: "a"}, At: f.now, Parts: []poison.Part{bad}})
		own.AddCrash(f.now, poison.Crash{Run: poison.Run{Engine: "b"}, At: f.now, Parts: []poison.Part{bad}})
		if own.Judge(f.now, []poison.Part{bad}).Verdict == poison.Clear {
			t.Errorf("%s: the bad request counts as answered, so that two further crashes don't lead to a trial", name)
		}
	}
}

// Guards against missing the end of an endpoint whose address another one has taken at
// once: no connection to it fails, but its successor says that it is another one.
func TestReusedAddressShowsEnd(t *testing.T) {
	f := newPlainFleet(t)
	bad := poison.NewFingerprint("free", badContent)
	for i := range 6 {
		sent, err := f.tryPlain("front-2", "/charge/1", badContent)
		if err != nil {
			return // it is kept away
		}
		f.now = f.now.Add(runTime)
		f.apply("front-2", AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeComplete, CloseDelimited: true}})
		var next Send
		for j := 0; next.Endpoint != sent.Endpoint; j++ {
			next = f.mustTryPlain("front-2", "/charge/1", fmt.Sprint("sound-", i, j))
		}
		f.apply("front-2", AttemptEnded{Call: next.Call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonAddressReused}})
		f.change(topo.EndpointChange{ID: sent.Endpoint})
		f.addShop()
		f.pass(endingMemory + time.Second)
	}
	if f.cores["front-2"].crashes.log.Judge(f.now, []poison.Part{bad}).Verdict == poison.Clear {
		t.Error("a request is clear after 6 endpoints have ended with its answer and were replaced at their addresses")
	}
}

// Guards against a request that ends its endpoints without a reset, as when the endpoint's
// host is lost with it: the attempt ends at its deadline, and nothing listens any more.
func TestSilentEndIsSeen(t *testing.T) {
	f := newPlainFleet(t)
	bad := poison.NewFingerprint("free", badContent)
	for i := range 6 {
		sent, err := f.tryPlain("front-2", "/charge/1", badContent)
		if err != nil {
			return // it is kept away
		}
		f.now = f.now.Add(time.Second)
		f.readStore()
		f.effects["front-2"] = nil
		f.apply("front-2", AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonTimeout}})
		var next Send
		for j := 0; next.Endpoint != sent.Endpoint; j++ {
			next = f.mustTryPlain("front-2", "/charge/1", fmt.Sprint("sound-", i, j))
		}
		f.apply("front-2", AttemptEnded{Call: next.Call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonDial}})
		if probe, probed := findEffect[ProbeEngine](f.effects["front-2"]); probed {
			f.apply("front-2", EngineProbed{Run: probe.Run, Ended: true})
		}
		f.change(topo.EndpointChange{ID: sent.Endpoint})
		f.addShop()
		f.pass(time.Second)
	}
	if f.cores["front-2"].crashes.log.Judge(f.now, []poison.Part{bad}).Verdict == poison.Clear {
		t.Error("a request is clear after 6 endpoints have ended silently while it was under way")
	}
}

// Guards against a trial that ends with its deadline, so that the next one begins, before
// it is known whether the endpoint has ended, and against one that an endpoint which goes
// on running keeps for good.
func TestSilentTrialEndsWithProbe(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(2)
	trial := f.mustTryPlain("front-3", "/charge/1", badContent)
	f.effects["front-3"] = nil
	f.apply("front-3", AttemptEnded{Call: trial.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonTimeout}})
	probe, probed := findEffect[ProbeEngine](f.effects["front-3"])
	if !probed {
		t.Fatal("the endpoint of a trial that wasn't answered in time is not probed")
	}
	f.wantOnTrial()
	f.apply("front-3", EngineProbed{Run: probe.Run, Running: true})
	f.mustTryPlain("front-2", "/charge/1", badContent)
}

// Guards against a request that was still waiting for its deadline when connections to its
// ended endpoint had failed already.
func TestSilentEndIsSeenAfterConnectionsFailed(t *testing.T) {
	f := newPlainFleet(t)
	sent := f.mustTryPlain("front-2", "/charge/1", badContent)
	var next Send
	for i := 0; next.Endpoint != sent.Endpoint; i++ {
		next = f.mustTryPlain("front-2", "/charge/1", fmt.Sprint("sound-", i))
	}
	f.apply("front-2", AttemptEnded{Call: next.Call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonDial}})
	f.now = f.now.Add(runTime)
	f.effects["front-2"] = nil
	f.apply("front-2", AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonTimeout}})
	if _, probed := findEffect[ProbeEngine](f.effects["front-2"]); !probed {
		t.Error("the endpoint is not probed")
	}
}
