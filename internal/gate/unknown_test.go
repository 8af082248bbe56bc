package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// The leader doesn't answer for a moment, and nobody else knows where a stream began: its
// client must not be refused while it would wait.
func TestResumedStreamWaitsForLeaderThatKnowsIt(t *testing.T) {
	h := newFollowerHarness(t)
	h.apply(ConfigRead{
		Config: liveConfig(),
		SentAt: h.now,
	})
	h.endpoints(versionedEngine("llm-1", "v1"), versionedEngine("llm-2", "v2"))
	_, effects := h.live("began")
	if _, asked := findEffect[RequestAssignment](effects); !asked {
		t.Fatalf("the leader was not asked: %+v", effects)
	}
	h.advance(leaderReplyTimeout)
	h.effects = nil
	h.apply(Tick{})
	h.advance(leaderBackoff)
	h.apply(Tick{})
	if err, refused := findEffect[Refuse](h.effects); refused {
		t.Fatalf("the stream was refused: %v", err.Err)
	}
	ask, asked := findEffect[RequestAssignment](h.effects)
	if !asked {
		t.Fatal("the leader was not asked again")
	}
	effects = h.apply(AssignmentReceived{
		Host: "front-2",
		Assignment: &wirepb.GateAssignment{
			Call:            ask.Request.GetCall(),
			Verdict:         wirepb.GateAssignment_SEND,
			Endpoint:        "llm-2",
			SoftwareVersion: "v2",
			VersionKnown:    true,
		},
	})
	if send := h.mustSend(effects); send.Endpoint != "llm-2" {
		t.Errorf("sent to %s, want llm-2", send.Endpoint)
	}
	h.advance(5 * time.Second)
	h.apply(ConfigRead{SentAt: h.now})
	_, effects = h.live("unknown")
	h.wantNotRun(append(effects, h.passTime(3*time.Second)...), fault.CodeNoEndpoint)
}

// passTime lets time pass in ticks and returns their effects.
func (h *harness) passTime(d time.Duration) []Effect {
	var out []Effect
	for end := h.now.Add(d); h.now.Before(end); h.advance(20 * time.Millisecond) {
		out = append(out, h.apply(ConfigRead{SentAt: h.now})...)
		out = append(out, h.apply(Tick{})...)
	}
	return out
}

// A new leader is asked for a stream before the entry that knows it has reported: it must
// not answer that nobody knows it.
func TestNewLeaderHearsAllEntriesBeforeItGivesUpStream(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v1", "big"), engineRecord("e2", "v2", "big"))
	h.apply(PeerConnected{Host: "front-2"})
	_, effects := h.live("began")
	if err, refused := findEffect[Refuse](effects); refused {
		t.Fatalf("the stream was refused: %v", err.Err)
	}
	h.receiveReport(&wirepb.GateReport{
		Sequence: 1,
		Starts: encodeStarts([]streamStart{{
			key:     newStreamKey("began"),
			version: "v2",
		}}),
	})
	h.effects = nil
	h.advance(reportInterval)
	h.apply(Tick{})
	if send := h.mustSend(h.effects); send.Endpoint != "e2" {
		t.Errorf("sent to %s, want e2", send.Endpoint)
	}
	_, effects = h.live("unknown")
	h.wantNotRun(effects, fault.CodeNoEndpoint)
}

// An entry holds its session to the leader open and is stopped: unknown streams must not
// wait for its report for ever.
func TestSilentPeerDoesNotDelayUnknownStreams(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v1", "big"), engineRecord("e2", "v2", "big"))
	h.apply(PeerConnected{Host: "front-2"})
	h.advance(peerGracePeriod + time.Second)
	if h.core.awaitsFirstReport(h.now) {
		t.Error("the leader still waits for the first report")
	}
}

// The leader's term ended long ago and nobody leads, as while the store is down. A stream that
// nobody here knows must not be held for as long as its client waits, 24 s and more on routes
// with a long objective.
func TestUnknownStreamIsNotHeldWithoutAnyLeader(t *testing.T) {
	h := newFollowerHarness(t)
	h.endpoints(versionedEngine("llm-1", "v1"), versionedEngine("llm-2", "v2"))
	h.passTime(20 * time.Second)
	_, effects := h.arriveRequest(&Request{
		ID: "again", Host: "h", Path: "/notes/1", Key: "k2", Model: "big", ArrivedAt: h.now,
		LastEventID: "3", ResumedRequest: "unknown",
	})
	arrived := h.now
	for h.now.Sub(arrived) < 29*time.Second {
		if _, refused := findEffect[Refuse](effects); refused {
			break
		}
		effects = h.passTime(100 * time.Millisecond)
	}
	if held := h.now.Sub(arrived); held > 7*time.Second { // a term and the wait after it
		t.Errorf("held for %v", held)
	}
}

// startedEntry returns an entry that has read the configuration and the registry, which lists
// one version, and the lease's record, which names the versions of the last minute.
func startedEntry(t *testing.T) (*harness, LeaseRead) {
	leader := newLeaderHarness(t)
	leader.endpoints(versionedEngine("llm-1", "v1"), versionedEngine("llm-2", "v2"))
	leader.advance(time.Second)
	appended, found := findEffect[AppendLease](leader.passTime(time.Second))
	if !found {
		t.Fatal("the leader did not renew its lease")
	}
	h := newHarness(t)
	h.advance(2 * time.Second)
	h.apply(ConfigRead{
		Config: liveConfig(),
		SentAt: h.now,
	})
	h.endpoints(versionedEngine("llm-2", "v2"))
	record := appended.Record
	record.Host, record.Incarnation = "front-2", 7
	return h, LeaseRead{
		Read: lease.Read{
			Record: record,
			End:    1,
			Exists: true,
		},
		SentAt: h.now,
	}
}

// An entry that has just started finds one version registered. Streams may have begun at
// another one, whose last engine has left since: it must learn that from the lease's record.
func TestStartedEntryKnowsVersionThatHasLeft(t *testing.T) {
	h, read := startedEntry(t)
	h.apply(read)
	_, effects := h.live("began")
	if send, sent := findEffect[Send](append(effects, h.passTime(3*time.Second)...)); sent {
		t.Errorf("a stream that may have begun at v1 was resumed at %s", send.SoftwareVersion)
	}
}

// ORDER, soak seed 62019: a stream was resumed 5 ms after the entry had started, before it had
// read the lease.
func TestStreamIsNotResumedBeforeLeaseIsRead(t *testing.T) {
	h, read := startedEntry(t)
	_, effects := h.live("began")
	effects = append(effects, h.passTime(100*time.Millisecond)...)
	read.SentAt = h.now
	effects = append(effects, h.apply(read)...)
	if send, sent := findEffect[Send](append(effects, h.passTime(3*time.Second)...)); sent {
		t.Errorf("a stream that may have begun at v1 was resumed at %s", send.SoftwareVersion)
	}
}

// The same without another version: the stream waits for the lease to be read and goes on.
func TestStreamIsResumedOnceLeaseIsRead(t *testing.T) {
	for _, exists := range []bool{true, false} {
		h, read := startedEntry(t)
		_, effects := h.live("began")
		if refusal, refused := findEffect[Refuse](effects); refused {
			t.Fatalf("refused before the lease was read: %v", refusal.Err)
		}
		h.advance(100 * time.Millisecond)
		read.SentAt = h.now
		read.Exists = exists
		read.Record.Versions = nil
		effects = h.apply(read)
		if _, sent := findEffect[Send](append(effects, h.passTime(200*time.Millisecond)...)); !sent {
			t.Errorf("a stream of the only version did not go on after the lease was read, with a record %v", exists)
		}
	}
}
