package gate

import (
	"slices"
	"testing"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// beginAnew begins a stream at front-3 whose first endpoint answers without an event, so that
// it begins again at another one. It returns both.
func (f *entryFleet) beginAnew(id string) (first, second Send) {
	f.t.Helper()
	call, first := f.request("front-3", &Request{ID: id})
	f.apply("front-3", FirstByteReceived{Call: call})
	f.tick()
	f.effects["front-3"] = nil
	f.apply("front-3", AttemptEnded{Call: call, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})
	for range 20 {
		if second, sent := findEffect[Send](f.effects["front-3"]); sent {
			f.apply("front-3", FirstByteReceived{Call: call})
			return first, second
		}
		f.tick()
	}
	f.t.Fatal("the stream did not begin again")
	return first, Send{}
}

// Guards against entries that tell a new leader where a stream seemed to begin, after the one
// that began it has told where it did: its client would get events of both versions (ORDER).
func TestNewLeaderKeepsWhatBeginnerTold(t *testing.T) {
	checked := 0
	for i := range 8 {
		f := newEntryFleetOf(t, 4)
		first, second := f.beginAnew("r")
		if first.SoftwareVersion == second.SoftwareVersion {
			continue
		}
		checked++
		// The leader ends before it has told front-4.
		f.cores["front-4"].streams.record(f.now, newStreamKey("r"), first.SoftwareVersion)
		delete(f.cores, "front-1")
		appended := f.acquireLease("front-2")
		f.leader = "front-2"
		f.recordAppend(appended)
		order := []string{"front-3", "front-4"}
		for j := range order {
			host := order[(i+j)%2]
			f.apply(host, f.leaseRead())
			f.openSession(host, "front-2")
		}
		_, resumed := f.request("front-4", &Request{ID: "again", LastEventID: "3", ResumedRequest: "r"})
		if resumed.SoftwareVersion != second.SoftwareVersion {
			t.Errorf("stream of %s resumed at %s", second.SoftwareVersion, resumed.SoftwareVersion)
		}
	}
	if checked == 0 {
		t.Fatal("no stream began again at another version")
	}
}

// Guards against entries that go on believing where a stream seemed to begin, since the last
// engine of that version left before the stream began anew at another: without a leader they
// would take it up at the wrong one (ORDER), or nowhere (LOST).
func TestBeginningAnewIsToldAfterVersionHasLeft(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.endpoints(versionedEngine("llm-1", "v1"), versionedEngine("llm-2", "v2"))
	key := newStreamKey("r")
	h.core.streams.recordLearned(h.now, key, "v1", true)
	h.receiveReport(&wirepb.GateReport{Sequence: 1})
	h.apply(EndpointsRead{
		SentAt:  h.now,
		Changes: []topo.EndpointChange{{ID: "llm-1"}},
	})
	h.core.streams.recordLearned(h.now, key, "v2", true)
	state, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 2}))
	for _, group := range state.State.GetStarts() {
		if group.GetSoftwareVersion() == "v2" && slices.Contains(group.GetStreams(), uint64(key)) {
			return
		}
	}
	t.Errorf("told %v", state.State.GetStarts())
}
