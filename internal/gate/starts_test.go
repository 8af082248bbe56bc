package gate

import (
	"testing"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// changeEndpoints delivers a read of the registry with changes to all entries.
func (f *entryFleet) changeEndpoints(changes ...topo.EndpointChange) {
	for host := range f.cores {
		f.apply(host, EndpointsRead{
			SentAt:  f.now,
			Changes: changes,
		})
	}
}

// A stream begins while all engines have one version. Then another version appears, and the
// leader and the stream's entry end at one moment: the other entries must know its version.
func TestStreamFromBeforeSecondVersionIsResumedWithoutLeaderAndItsEntry(t *testing.T) {
	f := newEntryFleet(t)
	f.changeEndpoints(topo.EndpointChange{ID: "llm-1"}, topo.EndpointChange{ID: "llm-3"})
	call, first := f.request("front-3", &Request{ID: "r"})
	if first.SoftwareVersion != "v1" {
		t.Fatalf("the stream began at %s", first.SoftwareVersion)
	}
	f.apply("front-3", FirstByteReceived{Call: call})
	f.tick()
	f.changeEndpoints(topo.EndpointChange{
		ID:       "llm-5",
		Endpoint: versionedEngine("llm-5", "v2"),
	})
	f.tick()
	delete(f.cores, "front-1")
	delete(f.cores, "front-3")
	f.apply("front-2", LeaderDisconnected{Host: "front-1"})
	_, second := f.request("front-2", &Request{
		ID:             "r-again",
		LastEventID:    "3",
		ResumedRequest: "r",
	})
	if second.SoftwareVersion != first.SoftwareVersion {
		t.Errorf("stream of %s resumed at %s", first.SoftwareVersion, second.SoftwareVersion)
	}
}

// toldStarts returns the streams of which the state tells that answers a report.
func (h *harness) toldStarts(report *wirepb.GateReport) []uint64 {
	state, _ := findEffect[SendState](h.receiveReport(report))
	var told []uint64
	for _, group := range state.State.GetStarts() {
		told = append(told, group.GetStreams()...)
	}
	return told
}

// More streams begin at one moment than a state tells of: the later states must tell of the
// rest, each of a bounded number and of new ones first.
func TestLaterStatesTellOfBurstOfStarts(t *testing.T) {
	const burst = 4 * maxLearnedPerState
	h := newLeaderHarness(t)
	h.endpoints(versionedEngine("llm-2", "v2"))
	h.apply(PeerConnected{Host: "front-2"})
	report := &wirepb.GateReport{Sequence: 1}
	for i := range burst {
		report.Starts = append(report.Starts, &wirepb.GateStarts{
			SoftwareVersion: "v2",
			Streams:         []uint64{uint64(i + 1)},
		})
	}
	told := make(map[uint64]int)
	for sequence := range uint64(6) {
		starts := h.toldStarts(report)
		if len(starts) > maxLearnedPerState {
			t.Errorf("a state tells of %d streams, want at most %d", len(starts), maxLearnedPerState)
		}
		for _, key := range starts {
			told[key]++
		}
		if sequence > 0 && sequence < 3 && told[burst+sequence] != 1 {
			t.Errorf("state %d doesn't tell of the newest stream", sequence)
		}
		h.advance(reportInterval)
		report = &wirepb.GateReport{
			Sequence: sequence + 2,
			Starts: []*wirepb.GateStarts{{
				SoftwareVersion: "v2",
				Streams:         []uint64{burst + sequence + 1},
			}},
		}
	}
	for key := range uint64(burst) {
		if told[key+1] != 1 {
			t.Fatalf("told %d times of stream %d, want once", told[key+1], key+1)
		}
	}
}
