package gate

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// zonedEndpoint is testEndpoint in a zone.
func zonedEndpoint(id, service, zone string, holdings ...topo.Holding) *topo.Endpoint {
	ep := testEndpoint(id, service, holdings...)
	ep.Zone = zone
	return ep
}

// zonedFleet are plain endpoints and engines in zones a and b. Only llm-a holds small.
func zonedFleet() []*topo.Endpoint {
	return []*topo.Endpoint{
		zonedEndpoint("shop-1", "shop", "a"), zonedEndpoint("shop-2", "shop", "b"),
		zonedEndpoint("llm-1", "llm", "a", topo.Holding{Model: "big"}, topo.Holding{Model: "small"}),
		zonedEndpoint("llm-2", "llm", "b", topo.Holding{Model: "big"}),
	}
}

// newestZones is a read of the newest records with the given evacuated zones.
func newestZones(at time.Time, offset int64, zones ...string) ConfigRead {
	read := &ZonesRead{Complete: true, NextOffset: offset}
	for _, zone := range zones {
		read.Changes = append(read.Changes, topo.ZoneChange{Zone: zone, Evacuated: true})
	}
	return ConfigRead{SentAt: at, Zones: read}
}

// changedZone is a read of one change at an offset.
func changedZone(at time.Time, offset int64, zone string, evacuated bool) ConfigRead {
	return ConfigRead{SentAt: at, Zones: &ZonesRead{
		NextOffset: offset + 1, Changes: []topo.ZoneChange{{Zone: zone, Evacuated: evacuated, Offset: offset}},
	}}
}

// newZonedHarness returns a harness with endpoints in zones a and b, none of them evacuated
// at offset 5.
func newZonedHarness(t *testing.T) *harness {
	h := newServingHarness(t)
	h.endpoints(zonedFleet()...)
	h.apply(newestZones(h.now, 5))
	return h
}

// sendsTo sends plain requests and returns the endpoints that got some.
func (h *harness) sendsTo(path, model string) map[string]bool {
	out := make(map[string]bool)
	for range 30 {
		id, effects := h.arriveRequest(&Request{Host: "h", Path: path, Key: "k2", Model: model, ArrivedAt: h.now})
		if send, sent := findEffect[Send](effects); sent {
			out[send.Endpoint] = true
			h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
		}
	}
	return out
}

func (h *harness) wantSends(path, model string, want ...string) {
	h.t.Helper()
	got := h.sendsTo(path, model)
	for _, id := range want {
		if !got[id] {
			h.t.Errorf("%s %s: %s gets no requests", path, model, id)
		}
	}
	if len(got) != len(want) {
		h.t.Errorf("%s %s: requests go to %v, want %v", path, model, got, want)
	}
}

// Guards against requests to an evacuated zone, and against a zone that stays unused after
// its evacuation.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	h := newZonedHarness(t)
	h.wantSends("/look/1", "", "shop-1") // the entry's own zone
	h.apply(changedZone(h.now, 5, "a", true))
	h.wantSends("/look/1", "", "shop-2")
	h.wantSends("/chat/1", "big", "llm-2")
	h.apply(changedZone(h.now, 6, "a", false))
	h.wantSends("/look/1", "", "shop-1")
}

// Guards against retries and continued streams that go to a zone which was evacuated after
// the first attempt.
func TestFurtherAttemptsLeaveTheEvacuatedZone(t *testing.T) {
	h := newZonedHarness(t)
	h.endpoints(zonedEndpoint("shop-3", "shop", "b"), zonedEndpoint("llm-3", "llm", "b", topo.Holding{Model: "big"}))
	id, effects := h.arrive("/look/1", "k2")
	first := h.mustSend(effects)
	stream, begun := h.startStream("r-1")
	if h.core.endpoints[first.Endpoint].Zone != "a" || h.core.endpoints[begun.Endpoint].Zone != "a" {
		t.Fatalf("first attempts at %s and %s, want zone a", first.Endpoint, begun.Endpoint)
	}
	h.endpoints(zonedEndpoint("shop-4", "shop", "a"), zonedEndpoint("llm-4", "llm", "a", topo.Holding{Model: "big"}))
	h.apply(changedZone(h.now, 5, "a", true))
	for _, further := range [][]Effect{
		h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}}),
		h.apply(AttemptEnded{Call: stream, Result: truncated}),
		h.resume("r-1"),
	} {
		if send := h.mustSend(further); h.core.endpoints[send.Endpoint].Zone == "a" {
			t.Errorf("%s in the evacuated zone gets a further attempt", send.Endpoint)
		}
	}
}

// Guards against assignments that were made before the entry learned of an evacuation and
// wait for their send time.
func TestWaitingAssignmentLeavesTheEvacuatedZone(t *testing.T) {
	h := newFollowerHarness(t)
	h.endpoints(zonedFleet()...)
	h.apply(newestZones(h.now, 5))
	id, effects := h.arriveRequest(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "big", ArrivedAt: h.now})
	if _, asks := findEffect[RequestAssignment](effects); !asks {
		t.Fatal("the leader isn't asked")
	}
	h.apply(AssignmentReceived{Host: "front-2", Assignment: &wirepb.GateAssignment{
		Call: uint64(id), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 100_000,
	}})
	h.apply(changedZone(h.now, 5, "a", true))
	h.advance(100 * time.Millisecond)
	if send := h.mustSend(h.apply(Tick{})); send.Endpoint != "llm-2" {
		t.Errorf("sent to %s, want llm-2", send.Endpoint)
	}
}

// Guards against requests that are dropped at once though only the zone can serve them, and
// against requests that still go there when the bound has passed.
func TestLoneHolderIsUsedForAShortTime(t *testing.T) {
	h := newZonedHarness(t)
	h.apply(changedZone(h.now, 5, "a", true))
	h.wantSends("/chat/1", "small", "llm-1")
	h.wantSends("/chat/1", "big", "llm-2")
	h.advance(loneHolderTime)
	h.apply(ConfigRead{SentAt: h.now})
	h.wantSends("/chat/1", "small")
}

// Guards against requests to the zone from an entry that was cut off while it was evacuated:
// the bound may have passed when it learns of that.
func TestEntryCutOffSendsNothingToTheZoneWhenItIsBack(t *testing.T) {
	for _, back := range []string{"store", "leader"} {
		h := newFollowerHarness(t)
		h.endpoints(zonedFleet()...)
		h.apply(newestZones(h.now, 5))
		h.apply(LeaderDisconnected{Host: "front-2"})
		h.advance(20 * time.Second)
		h.apply(Tick{})
		h.wantSends("/look/1", "") // no proof for keys
		h.apply(EndpointsRead{SentAt: h.now})
		if back == "store" {
			h.apply(changedZone(h.now, 5, "a", true))
		} else {
			h.apply(LeaderConnected{Host: "front-2"})
			h.receiveState(&wirepb.GateState{ConfigVersion: 1, Evacuation: &wirepb.GateEvacuation{
				Offset: 6, Zones: []*wirepb.GateZone{{Name: "a"}},
			}})
			h.apply(LeaderDisconnected{Host: "front-2"}) // chooses by itself
		}
		h.wantSends("/look/1", "", "shop-2")
		h.wantSends("/chat/1", "small")
	}
}

// Guards against an entry that has just started and takes an old evacuation for a new one.
func TestStartedEntrySendsNothingToTheZone(t *testing.T) {
	h := newServingHarness(t)
	h.endpoints(zonedFleet()...)
	h.apply(newestZones(h.now, 6, "a"))
	h.wantSends("/chat/1", "small")
}

// Guards against requests that wait until shortly before their deadline, or are lost, while
// all zones are evacuated, and against an unknown zone that has an effect.
func TestAllZonesAndUnknownZones(t *testing.T) {
	h := newZonedHarness(t)
	h.apply(changedZone(h.now, 5, "nowhere", true))
	h.wantSends("/look/1", "", "shop-1")
	h.apply(changedZone(h.now, 6, "a", true))
	h.apply(changedZone(h.now, 7, "b", true))
	_, effects := h.arrive("/charge/1", "k2")
	h.wantNotRun(effects, fault.CodeNoEndpoint)
	_, effects = h.arriveRequest(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "big", ArrivedAt: h.now})
	h.mustSend(effects) // nothing else holds the model
	h.advance(loneHolderTime)
	h.apply(ConfigRead{SentAt: h.now})
	_, effects = h.arriveRequest(&Request{Host: "h", Path: "/chat/2", Key: "k2", Model: "big", ArrivedAt: h.now})
	h.wantNotRun(effects, fault.CodeNoEndpoint)
	h.apply(changedZone(h.now, 8, "b", false))
	h.wantSends("/look/1", "", "shop-2")
}

// Guards against requests that wait for a load and are sent to the zone when it has ended.
func TestRequestThatWaitsForALoadLeavesTheEvacuatedZone(t *testing.T) {
	h := newFollowerHarness(t)
	h.endpoints(zonedEndpoint("llm-1", "llm", "a"), zonedEndpoint("llm-2", "llm", "b"))
	h.apply(newestZones(h.now, 5))
	h.receiveState(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 1_000_000}}})
	h.apply(LeaderDisconnected{Host: "front-2"})
	id, _ := h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	if h.core.parked[id] == nil {
		t.Fatal("the request doesn't wait")
	}
	h.apply(changedZone(h.now, 5, "a", true))
	h.advance(loneHolderTime)
	loaded := zonedEndpoint("llm-1", "llm", "a", topo.Holding{Model: "small"})
	loaded.Sequence = 2
	for _, event := range []Event{ConfigRead{SentAt: h.now}, EndpointsRead{
		SentAt: h.now, Changes: []topo.EndpointChange{{ID: "llm-1", Endpoint: loaded}},
	}} {
		if sent(h.apply(event)) {
			t.Error("the request is sent to the evacuated zone")
		}
	}
}

// Guards against an older read that undoes a newer one, in the same era and in an earlier
// one, and against a newest read that leaves zones in the set.
func TestReadsOfZonesAreOrdered(t *testing.T) {
	h := newZonedHarness(t)
	h.apply(changedZone(h.now, 8, "a", true))
	for _, older := range []ConfigRead{newestZones(h.now, 6), changedZone(h.now, 6, "a", false)} {
		if h.apply(older); !h.core.isEvacuated("a") {
			t.Fatalf("an older read ends the evacuation: %+v", older.Zones)
		}
	}
	h.receiveOlderState(7)
	if !h.core.isEvacuated("a") {
		t.Fatal("an older state ends the evacuation")
	}
	h.apply(newestZones(h.now, 12, "b"))
	if h.core.isEvacuated("a") || !h.core.isEvacuated("b") {
		t.Error("a newest read doesn't replace the set")
	}
	restored := newestZones(h.now, 3)
	restored.Era = 1
	h.apply(restored)
	h.apply(newestZones(h.now, 20, "c"))
	if h.core.isEvacuated("c") {
		t.Error("a read of an earlier era is applied")
	}
}

func (h *harness) receiveOlderState(offset int64) {
	h.core.applyEvacuation(h.now, &wirepb.GateEvacuation{Offset: offset})
}

// Pattern: the store comes back from a copy that lacks an evacuation. The operator writes it
// again within two seconds, or has ended it.
func TestZoneStaysEvacuatedJustAfterRestore(t *testing.T) {
	for _, written := range []bool{true, false} {
		h := newZonedHarness(t)
		h.apply(changedZone(h.now, 5, "a", true))
		restored := newestZones(h.now, 3)
		restored.Era = 1
		h.apply(restored)
		h.apply(Tick{})
		h.wantSends("/look/1", "", "shop-2")
		if relayed := h.core.encodeEvacuation(h.now); len(relayed.GetZones()) != 1 || relayed.GetZones()[0].GetLapsesUs() == 0 {
			t.Errorf("other entries are told %v", relayed)
		}
		if written {
			again := changedZone(h.now, 3, "a", true)
			again.Era = 1
			h.apply(again)
		}
		h.advance(restoreGracePeriod)
		h.apply(Tick{})
		if h.core.isEvacuated("a") != written {
			t.Errorf("written again %t: evacuated %t", written, h.core.isEvacuated("a"))
		}
	}
}

// Pattern: the leader is of an older release and sends no set. The entry must keep its own
// and read the set itself, but not with each state.
func TestEntryKeepsItsZonesUnderAnOlderLeader(t *testing.T) {
	h := newFollowerHarness(t)
	h.endpoints(zonedFleet()...)
	h.apply(changedZone(h.now, 0, "a", true))
	h.apply(newestZones(h.now, 6, "a"))
	reads := 0
	for range 24 {
		h.advance(reportInterval)
		h.apply(Tick{})
		effects := h.receiveState(&wirepb.GateState{ConfigVersion: 1, Renewal: 1, Incarnation: leaderIncarnation})
		if _, fetches := findEffect[FetchConfig](effects); fetches {
			reads++
			h.apply(newestZones(h.now, 6, "a"))
			h.apply(ConfigFetchEnded{})
		}
	}
	if !h.core.isEvacuated("a") {
		t.Error("a state without the set ends the evacuation")
	}
	if reads < 2 || reads > 4 {
		t.Errorf("%d reads of the newest records in 6 s, want about 3", reads)
	}
}

// Guards against a set that the leader doesn't learn of or doesn't spread: from its own read
// at once, from another entry's read with the next report, and across a change of the
// leader.
func TestFleetLearnsOfEvacuations(t *testing.T) {
	f := newEntryFleet(t)
	for host := range f.cores {
		f.apply(host, newestZones(f.now, 5))
	}
	f.apply("front-1", changedZone(f.now, 5, "a", true))
	f.wantEvacuated("a", true)
	f.apply("front-3", changedZone(f.now, 6, "b", true))
	f.tick()
	f.wantEvacuated("b", true)
	f.replaceLeader("front-2")
	f.wantEvacuated("a", true)
	f.wantEvacuated("b", true)
	f.apply("front-2", changedZone(f.now, 7, "b", false))
	f.wantEvacuated("b", false)
	f.wantEvacuated("a", true)
}

func (f *entryFleet) wantEvacuated(zone string, evacuated bool) {
	f.t.Helper()
	for host, core := range f.cores {
		if core.isEvacuated(zone) != evacuated {
			f.t.Errorf("%s: zone %s evacuated %t, want %t", host, zone, !evacuated, evacuated)
		}
	}
}

// Guards against loads in the evacuated zone, and against models that only it holds and that
// nobody loads elsewhere.
func TestModelsOfTheEvacuatedZoneAreLoadedElsewhere(t *testing.T) {
	h := newLeaderHarness(t)
	h.endpoints(zonedEndpoint("llm-1", "llm", "a", topo.Holding{Model: "big"}), zonedEndpoint("llm-2", "llm", "b"))
	h.apply(newestZones(h.now, 5))
	orders := h.planFor(time.Second)
	h.apply(changedZone(h.now, 5, "a", true))
	orders = append(orders[:0], h.planFor(time.Second)...)
	loaded := map[string]bool{}
	for _, o := range orders {
		if o.Order.Engine == "llm-1" {
			t.Errorf("an order goes to the evacuated zone: %+v", o.Order)
		}
		loaded[o.Order.Model] = loaded[o.Order.Model] || o.Order.Load
	}
	if !loaded["big"] {
		t.Errorf("the model that only the zone holds isn't loaded elsewhere: %v", loaded)
	}
}

// planFor lets a leader plan, with engines that report what the registry has, and returns its
// orders.
func (h *harness) planFor(d time.Duration) []SendOrder {
	var orders []SendOrder
	for end := h.now.Add(d); h.now.Before(end); h.advance(planInterval) {
		h.apply(ConfigRead{SentAt: h.now})
		for _, e := range h.apply(Tick{}) {
			switch e := e.(type) {
			case RequestEngineReport:
				h.reportEngine(e.Engine)
			case SendOrder:
				orders = append(orders, e)
			}
		}
	}
	return orders
}

// Guards against a leader that assigns engines of the zone.
func TestLeaderAssignsNoEngineOfTheEvacuatedZone(t *testing.T) {
	h := newLeaderHarness(t)
	h.endpoints(zonedFleet()...)
	h.core.leader = nil // the planner's holdings are those of the registry
	h.core.startLeading(h.now, nil, true)
	h.apply(newestZones(h.now, 5))
	ask := func(model string) string {
		got := h.core.assignEngine(h.now, &wirepb.GateAssignmentAsk{Service: "llm", Model: model, ObjectiveUs: 500_000})
		return got.GetEndpoint()
	}
	h.apply(changedZone(h.now, 5, "a", true))
	for range 10 {
		if id := ask("big"); id != "llm-2" {
			t.Fatalf("assigned %q, want llm-2", id)
		}
	}
	if id := ask("small"); id != "llm-1" {
		t.Errorf("a model that nothing else holds is assigned %q, want llm-1", id)
	}
	h.advance(loneHolderTime)
	if id := ask("small"); id != "" {
		t.Errorf("assigned %q in the evacuated zone", id)
	}
	if state := h.core.endpointState(h.now, h.core.endpoints["llm-1"]); state != EndpointEvacuated {
		t.Error(fmt.Sprint("the endpoint's state is ", state))
	}
}

// reportEngine delivers an engine's own report of what the registry has.
func (h *harness) reportEngine(id string) {
	h.apply(EngineReported{Engine: id, SentAt: h.now, Report: &stock.Report{
		Incarnation: 1, Holdings: h.core.endpoints[id].Holdings,
	}})
}

// Guards against requests to plain endpoints of an evacuated zone that name a model, which no
// plain endpoint holds.
func TestPlainRequestWithAModelLeavesTheEvacuatedZone(t *testing.T) {
	h := newZonedHarness(t)
	h.apply(changedZone(h.now, 5, "a", true))
	h.wantSends("/look/1", "big", "shop-2")
}
