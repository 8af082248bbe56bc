package gate

import "testing"

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
