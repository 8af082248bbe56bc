package entry

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// Guards the product's own interface against calls that crash endpoint after endpoint and
// come again: at other entries, with other keys, by retries, and with prompts whose
// messages are sound elsewhere. A sound call of the same path and customer is served.
func TestCallThatCrashesEndpointsIsQuarantined(t *testing.T) {
	const messages = `{"model":"m","max_tokens":1,"prompt":"hello"`
	soundPlain := crashCall{text: request("/look", "", "sound"), runTime: 80 * time.Millisecond}
	soundPrompt := crashCall{text: request("/chat", "", messages+"}"), runTime: 80 * time.Millisecond}
	for _, test := range []struct {
		name  string
		text  func(round int) string
		sound crashCall
	}{
		{name: "not repeatable", sound: soundPlain, text: func(int) string { return request("/charge", "", "bad") }},
		{name: "repeatable", sound: soundPlain, text: func(int) string { return request("/look", "", "bad") }},
		{name: "other idempotency keys", sound: soundPlain, text: func(round int) string {
			return request("/charge", fmt.Sprintf("Idempotency-Key: k%d\r\n", round), "bad")
		}},
		{name: "other deadlines", sound: soundPlain, text: func(round int) string {
			return request("/charge", fmt.Sprintf("X-Request-Timeout: %ds\r\n", round+1), "bad")
		}},
		{name: "prompt without messages", sound: soundPrompt, text: func(int) string {
			return request("/chat", "", `{"model":"m","max_tokens":1,"stream":true}`)
		}},
		{name: "prompt with sound messages", sound: soundPrompt, text: func(int) string {
			return request("/chat", "", messages+`,"temperature":-1}`)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newCrashNetwork(t, 3)
			n.repeat(time.Minute, func(round int) crashCall {
				return crashCall{text: test.text(round), crashes: true, runTime: separateRunTime}
			}, test.sound)
			n.checkQuarantined(t)
		})
	}
}

// What three entries saw adds up: once each has lost an endpoint by the same call, all
// refuse it at once, as not run and with a true time to return.
func TestCrashesOfCallAddUpOverEntries(t *testing.T) {
	n := newCrashNetwork(t, 3)
	call := crashCall{text: request("/charge", "", "bad"), crashes: true, runTime: separateRunTime}
	for _, name := range n.entries {
		n.arrive(name, call)
		for range 6 {
			n.step()
		}
	}
	if len(n.endedAt) != 3 {
		t.Fatalf("%d endpoints have ended, want 3", len(n.endedAt))
	}
	n.refusedCrashing = nil
	for _, name := range n.entries {
		n.arrive(name, call)
	}
	if len(n.refusedCrashing) != 3 || len(n.running) > 0 {
		t.Fatalf("%d of 3 calls are refused, %d are running", len(n.refusedCrashing), len(n.running))
	}
	for _, err := range n.refusedCrashing {
		if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun || fault.RetryAfterOf(err) < 10*time.Second {
			t.Errorf("the call is refused with %v, verdict %v, Retry-After %v", err, fault.VerdictOf(err), fault.RetryAfterOf(err))
		}
	}
}

// Crashes that were on their way to another entry when the session to it broke are sent
// again over the next session to the same process.
func TestCrashesAreSharedAfterBrokenSession(t *testing.T) {
	n := newCrashNetwork(t, 2)
	bad := &activeCall{Call: Call{Fingerprint: poison.NewPart("bad"), PromptParts: []poison.Part{badMessage}}}
	n.partitioned["e2"] = true
	for i := range uint64(3) {
		n.cores["e1"].crashes.recordCrash(n.now, bad, i+1)
		n.run(time.Second)
	}
	n.partitioned["e2"] = false
	n.apply("e1", SessionClosed{Host: "e2", Incarnation: 1})
	n.apply("e1", SessionOpened{Host: "e2", Hello: &wirepb.Hello{Incarnation: 1}})
	n.run(time.Second)
	crashes := &n.cores["e2"].crashes
	if verdict := crashes.calls.Judge(n.now, bad.fingerprints()).Verdict; verdict != poison.Quarantined {
		t.Errorf("the other entry's verdict on the call is %v", verdict)
	}
	if verdict := crashes.messages.Judge(n.now, bad.PromptParts).Verdict; verdict != poison.Quarantined {
		t.Errorf("the other entry's verdict on the message is %v", verdict)
	}
}

// What an agent reports of an attempt after its link has broken counts like what it would
// have sent: ends of its endpoint, and answers of any status.
func TestQueriedOutcomesAreEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	core := readyCore(t, now, "a", "b")
	call := Call{
		ID:          "1",
		Route:       core.fold.Config.Routes["charge"],
		Fingerprint: poison.NewPart("bad"),
	}
	attempt := func(report *wirepb.OutcomeReport) {
		t.Helper()
		call.Deadline = now.Add(time.Minute)
		sent, ok := core.Apply(now, CallArrived{Call: call})[0].(SendAttempt)
		if !ok {
			t.Fatal("the call was not sent")
		}
		breakConnection(core, now)
		reportOutcome(core, now, sent.Host, report)
		now = now.Add(time.Second)
	}
	crash := func(run uint64) {
		t.Helper()
		attempt(&wirepb.OutcomeReport{Verdict: uint32(fault.MayHaveRun), Code: string(fault.CodeEndpoint), EndedRun: run})
	}
	verdict := func() poison.Verdict { return core.crashes.calls.Judge(now, call.fingerprints()).Verdict }
	crash(1)
	crash(2)
	if got := verdict(); got != poison.Trial {
		t.Errorf("after two crashes the verdict is %v, want %v", got, poison.Trial)
	}
	attempt(&wirepb.OutcomeReport{Status: 500, Body: []byte("failed")})
	if got := verdict(); got != poison.Clear {
		t.Errorf("after an answer the verdict is %v, want %v", got, poison.Clear)
	}
}

// An answer that is repeated by an idempotency key has run nothing, and clears no call.
func TestReplayedAnswerIsNoEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	core := readyCore(t, now, "a", "b")
	call := Call{
		ID:          "1",
		Route:       core.fold.Config.Routes["charge"],
		Fingerprint: poison.NewPart("bad"),
		Deadline:    now.Add(time.Minute),
	}
	for run := range uint64(2) {
		core.crashes.recordCrash(now, &activeCall{Call: call}, run+1)
		now = now.Add(time.Second)
	}
	sent := core.Apply(now, CallArrived{Call: call})[0].(SendAttempt)
	core.Apply(now, AttemptEnded{ID: "1", Attempt: sent.Attempt, Outcome: Outcome{Verdict: fault.Ran, Replayed: true}})
	if verdict := core.crashes.calls.Judge(now, call.fingerprints()).Verdict; verdict != poison.Trial {
		t.Errorf("after a replayed answer the verdict is %v, want %v", verdict, poison.Trial)
	}
}

// After a quarantine the entries try the call one after the other, so that a call that
// still crashes endpoints reaches few of them, however many entries there are.
func TestEndedQuarantineIsTriedByOneEntry(t *testing.T) {
	n := newCrashNetwork(t, 8)
	call := crashCall{text: request("/charge", "", "bad"), crashes: true, runTime: separateRunTime}
	for range 25 * 60 * 2 {
		for _, name := range n.entries {
			n.arrive(name, call)
		}
		for range 5 {
			n.step()
		}
	}
	t.Logf("%d endpoints ended; the call was sent %d times, %d times after the third end", len(n.endedAt), len(n.sentAt), n.sentAfterThirdEnd())
	if got := n.sentAfterThirdEnd(); got > maxSentAfterThirdEnd {
		t.Errorf("the call was sent %d times after the third end, want at most %d", got, maxSentAfterThirdEnd)
	}
}

// A call that has become sound is served again after its quarantine at whichever entry it
// arrives, at the time that its refusals have named.
func TestEndedQuarantineIsTriedByEachEntry(t *testing.T) {
	for lucky := range 4 {
		n := newCrashNetwork(t, 4)
		call := crashCall{text: request("/charge", "", "bad"), crashes: true, runTime: separateRunTime}
		for len(n.endedAt) < 3 {
			n.arrive(n.entries[lucky], call)
			for range 6 {
				n.step()
			}
		}
		call.crashes = false
		for end := n.now.Add(time.Minute); n.answered == 0 && n.now.Before(end); {
			n.refused = nil
			n.arrive(n.entries[lucky], call)
			wait := separateRunTime
			if len(n.refused) > 0 {
				wait = fault.RetryAfterOf(n.refused[0])
			}
			for until := n.now.Add(wait); !n.now.After(until); {
				n.step()
			}
		}
		if n.answered == 0 {
			t.Errorf("%s has not served the call within a minute", n.entries[lucky])
		}
	}
}

// Endpoints end by themselves, also while they run a call that is often repeated or that
// takes long: no call may be refused for it.
func TestEndpointsThatEndQuarantineNoCall(t *testing.T) {
	n := newCrashNetwork(t, 3)
	slow := crashCall{text: request("/look", "", "slow"), runTime: 900 * time.Millisecond}
	quick := crashCall{text: request("/look", "", "quick"), runTime: 80 * time.Millisecond}
	charge := crashCall{text: request("/charge", "", "charge"), runTime: 250 * time.Millisecond}
	for round := range 240 {
		for i, call := range []crashCall{slow, quick, charge} {
			n.arrive(n.entries[(round+i)%len(n.entries)], call)
		}
		for i := range 5 {
			n.step()
			if i == 0 && round%4 == 0 {
				n.endEndpoint(fmt.Sprint("plain-", round/4%6))
			}
		}
	}
	ends := 0
	for _, err := range n.refused {
		if fault.CodeOf(err) == fault.CodeQuarantine {
			t.Fatal("a sound call is refused:", err)
		}
		ends++
	}
	t.Logf("%d endpoints ended, %d calls were answered, %d ended with their endpoint", len(n.endedAt), n.answered, ends)
	if len(n.endedAt) < 50 || n.answered < 500 || !strings.Contains(fmt.Sprint(n.refused), "cut") {
		t.Error("the test has not ended endpoints under calls")
	}
}

// The fingerprint of a repeated prompt and its message explain the same crashes. That must
// not weaken the quarantine of either.
func TestRepeatedPromptStaysQuarantined(t *testing.T) {
	const body = `{"model":"m","max_tokens":1,"messages":["sys"%s]}`
	for _, test := range []struct {
		name  string
		other func(round int) string
	}{
		{name: "same prompt", other: func(int) string { return `,"bad"` }},
		{name: "other prompts", other: func(round int) string { return fmt.Sprintf(`,"bad","message-%d"`, round) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newCrashNetwork(t, 3)
			sound := crashCall{text: request("/chat", "", fmt.Sprintf(body, "")), runTime: 80 * time.Millisecond}
			n.repeat(25*time.Minute, func(round int) crashCall {
				return crashCall{text: request("/chat", "", fmt.Sprintf(body, test.other(round))), crashes: true, runTime: separateRunTime}
			}, sound)
			n.checkQuarantined(t)
		})
	}
}

// Thousands of distinct calls a second take a bounded memory, and don't displace the
// answers of a call whose endpoints ended by themselves.
func TestDistinctCallsAreBounded(t *testing.T) {
	const (
		callsPerSecond = 5000
		seconds        = 120
		maxGrowth      = 4 << 20
	)
	watch := newCrashWatch()
	repeated := distinctCall("repeated")
	now := time.Unix(1000, 0)
	before := heapInUse()
	for second := range seconds {
		if second%15 == 0 {
			watch.recordCrash(now, repeated, uint64(second+1))
		}
		for i := range callsPerSecond {
			now = now.Add(time.Second / callsPerSecond)
			watch.recordAnswer(now, distinctCall(fmt.Sprint(second, "-", i)))
			if second%15 == 1 && i == 0 {
				watch.recordAnswer(now, repeated)
			}
		}
		if verdict := watch.calls.Judge(now, repeated.fingerprints()).Verdict; verdict != poison.Clear {
			t.Fatalf("after %d s the verdict on a sound call is %v", second, verdict)
		}
		if verdict := watch.messages.Judge(now, repeated.PromptParts).Verdict; verdict != poison.Clear {
			t.Fatalf("after %d s the verdict on a sound message is %v", second, verdict)
		}
	}
	if growth := int64(heapInUse()) - int64(before); growth > maxGrowth {
		t.Errorf("the heap has grown by %d bytes, want at most %d", growth, maxGrowth)
	}
	runtime.KeepAlive(watch)
}

// distinctCall returns a call with a fingerprint and a message of its own.
func distinctCall(name string) *activeCall {
	return &activeCall{Call: Call{
		ID:          name,
		Fingerprint: poison.NewPart(name),
		PromptParts: []poison.Part{poison.NewPart("message " + name)},
	}}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A suspect call with an idempotency key is sent on to the holder of its claim. If it is
// kept from there, the holder may have run it.
func TestSuspectCallReachesHolderOfItsClaim(t *testing.T) {
	for _, quarantined := range []bool{false, true} {
		now := time.Unix(1000, 0)
		core := readyCore(t, now, "a", "b")
		call := Call{
			ID:                "1",
			Route:             core.fold.Config.Routes["charge"],
			HasIdempotencyKey: true,
			IdempotencyKey:    dedup.NewKey("", "/charge", "k"),
			Fingerprint:       poison.NewPart("bad"),
			Deadline:          now.Add(time.Minute),
		}
		crashed := &activeCall{Call: call}
		for i := range uint64(2) {
			core.crashes.recordCrash(now.Add(time.Duration(i)*time.Second), crashed, i+1)
		}
		now = now.Add(2 * time.Second)
		first := core.Apply(now, CallArrived{Call: call})[0].(SendAttempt)
		if quarantined {
			core.crashes.recordCrash(now, crashed, 3)
		}
		holder := map[string]string{"a": "b", "b": "a"}[first.Host]
		effects := refuseClaimed(core, now, 1, dedup.Process{Host: holder, Incarnation: 1})
		if quarantined {
			if verdict := failureVerdict(t, effects); verdict != fault.MayHaveRun {
				t.Errorf("verdict = %v, want %v", verdict, fault.MayHaveRun)
			}
			continue
		}
		if sent, ok := effects[0].(SendAttempt); !ok || sent.Host != holder {
			t.Errorf("effects = %v, want an attempt on %s", effects, holder)
		}
	}
}

// Guards against judging a part of the calls, at random, by the numbers for fingerprints
// and the others by those for parts of prompts.
func TestFingerprintsOfCallsAreOfOneKind(t *testing.T) {
	const tag poison.Part = 0xff << 56
	tagged := 0
	const calls = 10000
	for i := range calls {
		if fingerprint(&wirepb.CallRequest{Method: "POST", Path: fmt.Sprint("/", i)})&tag == tag {
			tagged++
		}
	}
	if tagged != 0 && tagged != calls {
		t.Errorf("%d of %d calls are judged as fingerprints, the others as parts", tagged, calls)
	}
}
