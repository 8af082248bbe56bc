package gate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
)

// losePower ends all entries and starts them again, with what the store tells.
func (f *entryFleet) losePower() {
	f.t.Helper()
	text, err := json.Marshal(f.lastRecord)
	if err != nil {
		f.t.Fatal(err)
	}
	var stored lease.Record
	if err := json.Unmarshal(text, &stored); err != nil {
		f.t.Fatal(err)
	}
	f.lastRecord = stored
	f.startEntries(len(f.cores))
	f.readStore()
	for host := range f.cores {
		f.apply(host, f.leaseRead())
	}
}

// beginStreams begins streams at all entries and returns where each was sent.
func (f *entryFleet) beginStreams(count int) map[string]Send {
	began := make(map[string]Send)
	for i := range count {
		id, host := fmt.Sprint("r-", i), fmt.Sprint("front-", 1+i%len(f.cores))
		call, send := f.request(host, &Request{ID: id})
		f.apply(host, FirstByteReceived{Call: call})
		began[id] = send
	}
	return began
}

// checkTakenUp checks that an entry resumes streams at the versions that began them.
func (f *entryFleet) checkTakenUp(host string, began map[string]Send) {
	f.t.Helper()
	for id, first := range began {
		_, second := f.request(host, &Request{
			ID:             id + "-" + host,
			LastEventID:    "3",
			ResumedRequest: id,
		})
		if second.SoftwareVersion != first.SoftwareVersion {
			f.t.Errorf("stream %s of %s resumed at %s by %s", id, first.SoftwareVersion, second.SoftwareVersion, host)
		}
	}
}

// All entries lose power at once while engines of two versions serve: without a memory that
// outlives them, no stream that clients take up could go on (LOST). They must go on before
// there is a leader, with one, and after a second loss.
func TestStreamVersionsOutliveAllEntries(t *testing.T) {
	f := newEntryFleet(t)
	began := f.beginStreams(8)
	versions := make(map[string]bool)
	for _, send := range began {
		versions[send.SoftwareVersion] = true
	}
	if len(versions) < 2 {
		t.Fatalf("all streams began at one version: %v", versions)
	}
	f.tick()
	f.tick()
	f.losePower()
	f.checkTakenUp("front-2", began)
	f.lead("front-1")
	f.tick()
	f.checkTakenUp("front-3", began)
	f.tick()
	f.losePower()
	f.checkTakenUp("front-3", began)
}

// A stream was assigned to an engine of one version and began at another one: the record must
// not name the first one (ORDER).
func TestAssignedVersionIsNotRecorded(t *testing.T) {
	f := newEntryFleet(t)
	f.calls++
	f.apply("front-3", RequestArrived{Call: f.calls, Request: &Request{
		ID: "r", Host: "h", Path: "/notes/1", Key: "k2", Model: "big", ArrivedAt: f.now,
	}})
	f.tick()
	f.tick()
	if len(f.lastRecord.Streams) > 0 {
		t.Errorf("the record names %+v", f.lastRecord.Streams)
	}
}

// What the records of the lease cost must not grow while the engines of each service have had
// one version for streamMemory.
func TestStreamsAreRecordedOnlyBesideSeveralVersions(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.streams.recordOwn(h.now, newStreamKey("r"), "v1")
	recorded := func() int {
		var record lease.Record
		h.core.recordStreams(h.now, &record)
		return len(record.Streams)
	}
	if recorded() > 0 {
		t.Error("recorded beside one version")
	}
	h.endpoints(versionedEngine("llm-2", "v2"))
	if recorded() == 0 {
		t.Error("not recorded beside two versions")
	}
	h.apply(EndpointsRead{
		SentAt:  h.now,
		Changes: []topo.EndpointChange{{ID: "llm-2"}},
	})
	if recorded() == 0 {
		t.Error("not recorded after one of two versions has left")
	}
	h.now = h.now.Add(streamMemory + time.Second)
	h.core.streams.recordOwn(h.now, newStreamKey("s"), "v1")
	if recorded() > 0 {
		t.Error("recorded long after the other version has left")
	}
}

// Pattern: many streams begin while versions roll. A record must stay below the limit of the
// store and name the newest streams.
func TestRecordNamesBoundedStreams(t *testing.T) {
	table := newStreamTable()
	for i := range 2 * maxRecordedStreams {
		table.recordOwn(start, streamKey(i), "v1")
	}
	begun := table.recorded(start)
	if len(begun) != 1 || len(begun[0].Keys) != maxRecordedStreams || begun[0].Keys[0] != 2*maxRecordedStreams-1 {
		t.Fatalf("%d versions, want the newest %d streams of one", len(begun), maxRecordedStreams)
	}
	const maxRecordBytes = 262_144
	if text, err := json.Marshal(lease.Record{Streams: begun}); err != nil || len(text) > maxRecordBytes/2 {
		t.Errorf("%d bytes, %v", len(text), err)
	}
}

// A stream that begins just after a record must not wait for the regular renewal, or a loss of
// all entries takes short streams with it.
func TestBeginningHastensRecord(t *testing.T) {
	f := newEntryFleet(t)
	f.tick()
	f.now = f.now.Add(f.cores["front-1"].settings.Lease.RenewalInterval)
	f.apply("front-1", Tick{})
	for _, begins := range []bool{false, true} {
		before := f.offset
		if begins {
			f.cores["front-1"].streams.recordOwn(f.now, newStreamKey("r"), "v1")
		}
		f.now = f.now.Add(streamRecordInterval)
		f.apply("front-1", Tick{})
		if hastened := f.offset > before; hastened != begins {
			t.Errorf("a stream begins: %t, the record is hastened: %t", begins, hastened)
		}
	}
}
