package gate

import (
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newRegionHarness returns a harness with zones a and b in region east and zone c in west.
// Customer free is confined to the given regions and route notes to west and east.
func newRegionHarness(t *testing.T, regions ...string) *harness {
	h := newServingHarness(t)
	h.core.settings.Regions = map[string]string{"a": "east", "b": "east", "c": "west"}
	h.endpoints(zonedFleet()...)
	h.endpoints(zonedEndpoint("shop-3", "shop", "c"), zonedEndpoint("shop-9", "shop", "unlisted"),
		zonedEndpoint("llm-3", "llm", "c", topo.Holding{Model: "big"}))
	config := testConfig()
	config.Version = 2
	config.Customers["free"].AllowedRegions = regions
	config.MatchRoute("h", "/notes/1").AllowedRegions = []string{"west", "east"}
	h.apply(ConfigRead{Config: config, SentAt: h.now})
	return h
}

// Guards against requests that leave their regions, and against restrictions of route and
// customer of which only one applies.
func TestRequestsStayInTheirRegions(t *testing.T) {
	h := newRegionHarness(t)
	h.wantSends("/look/1", "", "shop-1")
	h = newRegionHarness(t, "west")
	h.wantSends("/look/1", "", "shop-3")
	h.wantSends("/chat/1", "big", "llm-3")
	h.wantSends("/notes/1", "big", "llm-3")
	h.core.evacuateZone(h.now, "c", time.Time{})
	_, effects := h.arrive("/look/1", "k2")
	h.wantNotRun(effects, fault.CodeNoEndpoint)
	h = newRegionHarness(t, "north") // nothing is left of both lists
	_, effects = h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "big", ArrivedAt: h.now})
	h.wantNotRun(effects, fault.CodeNoEndpoint)
	h = newRegionHarness(t, "")
	_, effects = h.arrive("/look/1", "k2")
	h.wantNotRun(effects, fault.CodeNoEndpoint) // an unlisted zone isn't in a region without a name
}

// Guards against retries and resumed streams that leave the region of the first attempt.
func TestFurtherAttemptsStayInTheirRegions(t *testing.T) {
	h := newRegionHarness(t, "west")
	h.endpoints(zonedEndpoint("shop-4", "shop", "c"), zonedEndpoint("llm-4", "llm", "c", topo.Holding{Model: "big"}))
	id, effects := h.arrive("/look/1", "k2")
	h.mustSend(effects)
	stream, _ := h.startStream("r-1")
	for _, further := range [][]Effect{
		h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}}),
		h.apply(AttemptEnded{Call: stream, Result: truncated}),
		h.resume("r-1"),
	} {
		if send := h.mustSend(further); h.core.endpoints[send.Endpoint].Zone != "c" {
			t.Errorf("a further attempt goes to %s outside the region", send.Endpoint)
		}
	}
	// The last endpoints of the region are gone: nothing may go elsewhere.
	id, effects = h.arrive("/look/2", "k2")
	tried := h.mustSend(effects).Endpoint
	for _, left := range []string{"shop-3", "shop-4"} {
		if left != tried {
			h.apply(EndpointsRead{SentAt: h.now, Changes: []topo.EndpointChange{{ID: left}}})
		}
	}
	if sent(h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonRefused}})) {
		t.Error("a retry leaves the region")
	}
}

// Guards against a leader that assigns an engine outside the request's regions, and against an
// entry that follows the assignment of a leader of an older release.
func TestAssignmentsStayInTheRegions(t *testing.T) {
	leader := newLeaderHarness(t)
	leader.core.settings.Regions = map[string]string{"a": "east", "b": "east", "c": "west"}
	leader.endpoints(zonedFleet()...)
	leader.endpoints(zonedEndpoint("llm-3", "llm", "c", topo.Holding{Model: "big"}))
	leader.core.leader = nil // the planner's holdings are those of the registry
	leader.core.startLeading(leader.now, nil, true)
	for range 10 {
		reply := leader.core.assignEngine(leader.now, &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", ObjectiveUs: 5_000_000, AllowedRegions: []string{"west"},
		})
		if reply.GetEndpoint() != "llm-3" {
			t.Fatalf("assigned %q, want llm-3", reply.GetEndpoint())
		}
	}
	h := newFollowerHarness(t)
	region := newRegionHarness(t, "west")
	h.core.settings, h.core.config = region.core.settings, region.core.config
	h.endpoints(zonedEndpoint("llm-1", "llm", "a", topo.Holding{Model: "big"}), zonedEndpoint("llm-3", "llm", "c", topo.Holding{Model: "big"}))
	id, effects := h.arriveRequest(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "big", ArrivedAt: h.now})
	ask, asks := findEffect[RequestAssignment](effects)
	if !asks || len(ask.Request.GetAllowedRegions()) != 1 {
		t.Fatalf("the leader isn't told the regions: %+v", effects)
	}
	effects = h.apply(AssignmentReceived{Host: "front-2", Assignment: &wirepb.GateAssignment{
		Call: uint64(id), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1",
	}})
	if send := h.mustSend(effects); send.Endpoint != "llm-3" {
		t.Errorf("sent to %s outside the region", send.Endpoint)
	}
}

// Guards against a model that is loaded outside the regions of the requests that wait for it:
// what the entry tells the leader, and what the leader tells of loads.
func TestWaitingRequestsNameTheirRegions(t *testing.T) {
	h := newFollowerHarness(t)
	region := newRegionHarness(t, "west")
	h.core.settings, h.core.config = region.core.settings, region.core.config
	h.endpoints(zonedEndpoint("llm-3", "llm", "c"))
	h.advance(reportInterval)
	id, effects := h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "big", ArrivedAt: h.now})
	report, reports := findEffect[SendReport](effects)
	missing := func(d *wirepb.GateDemand) bool {
		return d.GetMissing() && slices.Equal(d.GetAllowedRegions(), []string{"west"})
	}
	if !reports || !slices.ContainsFunc(report.Report.GetDemands(), missing) {
		t.Fatalf("the leader isn't told where the model is missing: %+v", report.Report.GetDemands())
	}
	for _, load := range []struct {
		region string
		want   bool
	}{{"east", false}, {"west", true}} {
		h.receiveState(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{
			{Service: "llm", Model: "big", AfterUs: 1_000_000, Region: load.region},
		}})
		if _, loading := h.core.loadArrival(h.now, h.core.calls[id]); loading != load.want {
			t.Errorf("a load in %s counts: %t, want %t", load.region, loading, load.want)
		}
	}
	leader := newLeaderHarness(t)
	leader.core.settings.Regions = region.core.settings.Regions
	leader.endpoints(zonedEndpoint("llm-1", "llm", "a", topo.Holding{Model: "big"}), zonedEndpoint("llm-3", "llm", "c"))
	leader.core.applyDemand(leader.now, newPeer(leader.now, true), report.Report.GetDemands()[slices.IndexFunc(report.Report.GetDemands(), missing)])
	orders := leader.planFor(500 * time.Millisecond)
	loadsThere := func(o SendOrder) bool { return o.Order.Engine == "llm-3" && o.Order.Load && o.Order.Model == "big" }
	if !slices.ContainsFunc(orders, loadsThere) {
		t.Errorf("the model isn't loaded in the region: %+v", orders)
	}
}
