package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// Incident ORDER at scale: the leader assigned a stream to one version; its answer was lost, and the
// entry began the stream at the other one and ended before the leader heard of that. The leader then
// had another entry resume it at the version that it had assigned.
func TestAssignedVersionIsNotTheBeginningForTheLeader(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v1", "big"), engineRecord("e2", "v2", "big"))
	h.apply(PeerConnected{Host: "front-2"})
	h.receiveReport(&wirepb.GateReport{Sequence: 1})
	h.apply(AssignmentRequested{
		Host: "front-2",
		Request: &wirepb.GateAssignmentAsk{
			Call:        1,
			Service:     "llm",
			Model:       "big",
			ObjectiveUs: 1e6,
			Stream:      uint64(newStreamKey("began")),
		},
	})
	assigned, ok := findEffect[SendAssignment](h.effects)
	if !ok || assigned.Assignment.GetVerdict() != wirepb.GateAssignment_SEND {
		t.Fatalf("not assigned: %+v", h.effects)
	}
	h.apply(PeerDisconnected{Host: "front-2"})
	_, effects := h.live("began")
	if send, sent := findEffect[Send](effects); sent {
		t.Errorf("resumed at %s, by an assignment that the entry may not have followed", send.SoftwareVersion)
	}
}

// A stream begins where the leader has assigned it while two versions serve: its entry must tell the
// leader soon, which can't conclude that from the assignment.
func TestLeaderIsToldOfStreamThatBeginsWhereAssigned(t *testing.T) {
	f := newEntryFleet(t)
	call, first := f.request("front-3", &Request{ID: "r"})
	if !first.Decision.AssignedByLeader {
		t.Fatal("not assigned by the leader")
	}
	f.apply("front-3", FirstByteReceived{Call: call})
	f.now = f.now.Add(minReportInterval)
	f.apply("front-3", Tick{})
	delete(f.cores, "front-3")
	f.apply("front-1", PeerDisconnected{Host: "front-3"})
	_, second := f.request("front-2", &Request{ID: "r-again", LastEventID: "3", ResumedRequest: "r"})
	if second.SoftwareVersion != first.SoftwareVersion {
		t.Errorf("stream of %s resumed at %s", first.SoftwareVersion, second.SoftwareVersion)
	}
}

// A stream that had begun at one endpoint without any event begins anew at another version: the leader
// was told of the first beginning and must be told of the second at once, since it would be wrong.
func TestLeaderIsToldAtOnceOfStreamThatBeginsAnew(t *testing.T) {
	f := newEntryFleet(t)
	call, first := f.request("front-3", &Request{ID: "r"})
	f.apply("front-3", FirstByteReceived{Call: call})
	other, _ := f.request("front-3", &Request{ID: "s"})
	f.tick()
	for _, ep := range f.cores["front-3"].sortedEndpoints() {
		if ep.SoftwareVersion == first.SoftwareVersion {
			ep.stats.RecordRetryAfter(f.now, unusableTime)
		}
	}
	f.effects["front-3"] = nil
	f.apply("front-3", AttemptEnded{Call: call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
	second, sent := findEffect[Send](f.effects["front-3"])
	if !sent || second.SoftwareVersion == first.SoftwareVersion {
		t.Fatalf("not sent on to the other version: %+v", f.effects["front-3"])
	}
	f.apply("front-3", FirstByteReceived{Call: other}) // is reported
	f.apply("front-3", FirstByteReceived{Call: call})
	version, _, known := f.cores["front-1"].streams.lookup(f.now, newStreamKey("r"))
	if !known || version != second.SoftwareVersion {
		t.Errorf("the leader knows version %q, want %s", version, second.SoftwareVersion)
	}
}

// unusableTime is how long an entry of a test sends nothing to an endpoint.
const unusableTime = 2 * time.Second
