package gate

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

var (
	systemPart = poison.NewPart("system")
	badPart    = poison.NewPart("bad")
)

var errNotSent = errors.New("neither sent nor refused")

// try delivers a request with the given shared parts and returns where it was sent, or
// the error with which it was refused.
func (f *entryFleet) try(host, path string, parts ...poison.Part) (Send, error) {
	f.calls++
	request := &Request{
		ID: fmt.Sprint("call-", f.calls), Host: "h", Path: path, Key: "k2", Model: "big", ArrivedAt: f.now, SharedParts: parts,
	}
	f.effects[host] = nil
	f.apply(host, RequestArrived{Call: f.calls, Request: request})
	return f.await(host)
}

// await lets time pass until an entry has sent or refused its last request.
func (f *entryFleet) await(host string) (Send, error) {
	for range 20 {
		if send, sent := findEffect[Send](f.effects[host]); sent {
			return send, nil
		}
		if refuse, refused := findEffect[Refuse](f.effects[host]); refused {
			return Send{}, refuse.Err
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.apply(host, Tick{})
	}
	return Send{}, errNotSent
}

// crash ends the engine to which a request was sent, and starts another one under the
// same ID or a new one.
func (f *entryFleet) crash(host string, sent Send, sameID bool) {
	f.apply(host, AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeTruncated, Reason: ReasonReset}})
	f.apply(host, EngineProbed{Run: poison.Run{Engine: sent.Endpoint, Incarnation: sent.Incarnation}})
	next := versionedEngine(sent.Endpoint, "v1")
	next.Incarnation = sent.Incarnation + 1
	if !sameID {
		next.ID += "x"
	}
	for other := range f.cores {
		changes := []topo.EndpointChange{{ID: next.ID, Endpoint: next}}
		if !sameID {
			changes = append(changes, topo.EndpointChange{ID: sent.Endpoint})
		}
		f.apply(other, EndpointsRead{SentAt: f.now, Changes: changes})
	}
	f.now = f.now.Add(time.Second)
	f.tick()
}

// answer completes a request.
func (f *entryFleet) answer(host string, sent Send) {
	f.apply(host, AttemptEnded{Call: sent.Call, Result: Result{Outcome: OutcomeComplete}})
}

// mustTry is try for requests that must be sent.
func (f *entryFleet) mustTry(host, path string, parts ...poison.Part) Send {
	f.t.Helper()
	sent, err := f.try(host, path, parts...)
	if err != nil {
		f.t.Fatalf("%s refused a request: %v", host, err)
	}
	return sent
}

// wantQuarantined checks that an entry refuses requests with a part as not run, and
// tells the time until which it does.
func (f *entryFleet) wantQuarantined(host string, part poison.Part) {
	f.t.Helper()
	for _, path := range []string{"/chat/1", "/notes/1"} {
		_, err := f.try(host, path, systemPart, part)
		if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun {
			f.t.Errorf("%s answered a request with the part with %v, want it refused as not run", host, err)
		}
		if after := fault.RetryAfterOf(err); after < 10*time.Second {
			f.t.Errorf("%s told to come back after %v, want the end of the quarantine", host, after)
		}
	}
}

// hostOf returns the i-th entry, in turn.
func hostOf(i int) string { return fmt.Sprint("front-", i%3+1) }

// hostLeft returns the i-th entry, in turn, or the third if that one has ended.
func (f *entryFleet) hostLeft(i int) string {
	if host := hostOf(i); f.cores[host] != nil {
		return host
	}
	return hostOf(2)
}

// newCrashedFleet returns entries each of which has lost an engine to the part bad, and
// has had an answer to a sound prompt in between.
func newCrashedFleet(t *testing.T, sameID bool) *entryFleet {
	f := newEntryFleet(t)
	for i := range 3 {
		f.answer(hostOf(i+1), f.mustTry(hostOf(i+1), "/chat/1", systemPart))
		f.crash(hostOf(i), f.mustTry(hostOf(i), "/chat/1", systemPart, badPart), sameID)
	}
	return f
}

// Each entry sees one engine crash: what they saw must add up, also if the engines come
// back under the IDs that they had.
func TestCrashesSeenByDifferentEntriesAddUp(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		f := newCrashedFleet(t, sameID)
		for i := range 3 {
			f.wantQuarantined(hostOf(i), badPart)
			f.answer(hostOf(i), f.mustTry(hostOf(i), "/chat/1", systemPart))
		}
	}
}

// The leader dies between the crashes or after them. Its successor must know what all
// entries saw, also what the dead one saw itself.
func TestQuarantineSurvivesChangeOfLeader(t *testing.T) {
	for crashes := 1; crashes <= 3; crashes++ {
		f := newEntryFleet(t)
		f.answer("front-2", f.mustTry("front-2", "/chat/1", systemPart))
		for i := range 3 {
			if i == crashes {
				f.replaceLeader("front-2")
			}
			host := f.hostLeft(i)
			f.crash(host, f.mustTry(host, "/chat/1", systemPart, badPart), true)
		}
		f.wantQuarantined("front-2", badPart)
		f.wantQuarantined("front-3", badPart)
	}
}

// All entries are killed at the same moment: the quarantine is in the record of the
// lease.
func TestQuarantineSurvivesAllEntries(t *testing.T) {
	f := newCrashedFleet(t, false)
	f.now = f.now.Add(time.Second)
	f.tick()
	restarted := newEntryFleet(t)
	restarted.now = f.now
	restarted.readStore()
	for host := range restarted.cores {
		read := f.leaseRead()
		read.Era, read.SentAt = 0, f.now
		restarted.apply(host, read)
		restarted.wantQuarantined(host, badPart)
		restarted.answer(host, restarted.mustTry(host, "/chat/1", systemPart))
	}
}

// An entry that is cut off from the leader still keeps to what it knows, and tells the
// leader what it saw once it is back.
func TestCrashesSeenDuringCutAreReported(t *testing.T) {
	f := newEntryFleet(t)
	f.answer("front-2", f.mustTry("front-2", "/chat/1", systemPart))
	f.crash("front-1", f.mustTry("front-1", "/chat/1", systemPart, badPart), true)
	f.apply("front-3", LeaderDisconnected{Host: "front-1"})
	f.apply("front-1", PeerDisconnected{Host: "front-3"})
	for range 2 {
		sent, err := f.try("front-3", "/chat/1", systemPart, badPart)
		if err != nil {
			break
		}
		f.crash("front-3", sent, true)
	}
	if _, err := f.try("front-3", "/chat/1", systemPart, badPart); fault.CodeOf(err) != fault.CodeQuarantine {
		t.Errorf("the entry that was cut off answers %v after two crashes", err)
	}
	f.apply("front-1", PeerConnected{Host: "front-3"})
	f.apply("front-3", LeaderConnected{Host: "front-1"})
	f.tick()
	f.crash("front-2", f.mustTry("front-2", "/chat/1", systemPart, badPart), true)
	f.wantQuarantined("front-2", badPart)
}

// Engines end for reasons of their own, one after the other and all at once, with sound
// requests on them, and connections are reset: every sound request must go on being
// sent.
func TestOrdinaryFailuresQuarantineNothing(t *testing.T) {
	f := newEntryFleet(t)
	for round := range 30 {
		var sent []Send
		for i := range 6 {
			sent = append(sent, f.mustTry(hostOf(i), "/chat/1", systemPart, poison.NewPart(fmt.Sprint("topic-", (round+i)%7))))
		}
		for i, send := range sent {
			run := poison.Run{Engine: send.Endpoint, Incarnation: send.Incarnation}
			switch {
			case round%3 == 0 || round%3 == 1 && send.Endpoint == sent[0].Endpoint:
				f.apply(hostOf(i), AttemptEnded{Call: send.Call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
				f.apply(hostOf(i), EngineProbed{Run: run})
			case i%2 == 0:
				f.apply(hostOf(i), AttemptEnded{Call: send.Call, Result: Result{Outcome: OutcomeTruncated, Reason: ReasonReset}})
				f.apply(hostOf(i), EngineProbed{Run: run, Running: true})
			default:
				f.answer(hostOf(i), send)
			}
		}
		for host := range f.cores {
			read := EndpointsRead{SentAt: f.now}
			for i := range 4 {
				ep := versionedEngine(fmt.Sprint("llm-", i), "v1")
				ep.Incarnation, ep.Sequence = int64(round+2), int64(round+2)
				read.Changes = append(read.Changes, topo.EndpointChange{ID: ep.ID, Endpoint: ep})
			}
			f.apply(host, read)
		}
		f.now = f.now.Add(2 * time.Second)
		f.tick()
	}
}

// Two engines have crashed, and no prompt with the part was ever answered: only one
// request with it may be on its way in the whole fleet, and its answer clears the part.
func TestSuspectPartIsTriedOnce(t *testing.T) {
	f := newEntryFleet(t)
	f.answer("front-2", f.mustTry("front-2", "/chat/1", systemPart))
	for i := range 2 {
		f.crash(hostOf(i), f.mustTry(hostOf(i), "/chat/1", systemPart, badPart), true)
	}
	trial := f.mustTry("front-3", "/chat/1", systemPart, badPart)
	for i := range 3 {
		_, err := f.try(hostOf(i), "/chat/1", systemPart, badPart)
		if fault.VerdictOf(err) != fault.NotRun || fault.RetryAfterOf(err) < time.Second {
			t.Errorf("%s answered a second request with the part with %v", hostOf(i), err)
		}
		f.answer(hostOf(i), f.mustTry(hostOf(i), "/chat/1", systemPart))
	}
	f.apply("front-3", AnswerContinues{Call: trial.Call})
	f.tick()
	for i := range 3 {
		f.mustTry(hostOf(i), "/chat/1", systemPart, badPart)
	}
}

// The client of a request on trial leaves: the next request is on trial at once.
func TestTrialEndsWithItsClient(t *testing.T) {
	f := newEntryFleet(t)
	for i := range 2 {
		f.crash(hostOf(i), f.mustTry(hostOf(i), "/chat/1", badPart), true)
	}
	for range 3 {
		trial := f.mustTry("front-3", "/chat/1", badPart)
		f.apply("front-3", ClientDisconnected{Call: trial.Call})
	}
}

// Streams that may be resumed are not sent on to the next engine by the entry, nor when
// their client resumes them.
func TestQuarantinedStreamIsNotResumed(t *testing.T) {
	f := newCrashedFleet(t, true)
	_, err := f.try("front-2", "/notes/1", systemPart, badPart)
	if fault.CodeOf(err) != fault.CodeQuarantine {
		t.Errorf("a new stream is answered with %v", err)
	}
	f.calls++
	f.effects["front-2"] = nil
	f.apply("front-2", RequestArrived{Call: f.calls, Request: &Request{
		ID: "again", Host: "h", Path: "/notes/1", Key: "k2", Model: "big", ArrivedAt: f.now,
		LastEventID: "3", ResumedRequest: "call-1", SharedParts: []poison.Part{systemPart, badPart},
	}})
	if _, sent := findEffect[Send](f.effects["front-2"]); sent {
		t.Error("a stream with the part is resumed")
	}
	f = newEntryFleet(t)
	for i := range 2 {
		f.crash(hostOf(i), f.mustTry(hostOf(i), "/notes/1", badPart), true)
	}
	trial := f.mustTry("front-3", "/notes/1", badPart)
	f.effects["front-3"] = nil
	f.crash("front-3", trial, true)
	if _, sent := findEffect[Send](f.effects["front-3"]); sent {
		t.Error("the entry sent a stream with a suspect part to another engine")
	}
}
