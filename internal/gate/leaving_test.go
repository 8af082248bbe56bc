package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// An endpoint says in its answers that it leaves, before or without a record in the
// registry: it must get no further request from this entry, whatever the registry
// says of this incarnation.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	h := newServingHarness(t)
	h.apply(EndpointLeaving{Endpoint: "shop-1", Incarnation: 1})
	again := testEndpoint("shop-1", "shop")
	again.Sequence = 2
	h.endpoints(again)
	for range 20 {
		id, effects := h.arrive("/look/1", "k2")
		if send := h.mustSend(effects); send.Endpoint != "shop-2" {
			t.Fatalf("sent to %s, which leaves", send.Endpoint)
		}
		h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
	}
	// The record lapses while the store is away, and is back.
	h.apply(EndpointsRead{SentAt: h.now, Changes: []topo.EndpointChange{{ID: "shop-1"}}})
	again.Sequence = 3
	h.endpoints(again)
	if !h.core.endpoints["shop-1"].Draining {
		t.Error("the endpoint no longer counts as leaving")
	}
	restarted := testEndpoint("shop-1", "shop")
	restarted.Incarnation, restarted.Sequence = 2, 1
	h.endpoints(restarted)
	h.apply(EndpointLeaving{Endpoint: "shop-1", Incarnation: 1})
	if h.core.endpoints["shop-1"].Draining {
		t.Error("a new incarnation counts as leaving")
	}
}

// The leader must not assign an engine that an answer to it has shown to leave, and
// must tell the other entries.
func TestLeaderTellsOfLeavingEndpoint(t *testing.T) {
	f := newEntryFleet(t)
	f.tick()
	f.apply("front-1", EndpointLeaving{Endpoint: "llm-0", Incarnation: 1})
	f.tick()
	for host, core := range f.cores {
		if !core.endpoints["llm-0"].Draining {
			t.Errorf("%s doesn't know that the endpoint leaves", host)
		}
	}
}

// An endpoint that turns a request away may say for how long it wants no other one
// from this entry. If all of them do, callers are told when to come back.
func TestEndpointsPauseIsKept(t *testing.T) {
	h := newServingHarness(t)
	refused := Result{Outcome: OutcomeNotRun, Reason: ReasonRefused, Status: 503, RetryAfter: 2 * time.Second}
	id, effects := h.arrive("/look/1", "k2")
	first := h.mustSend(effects)
	second := h.mustSend(h.apply(AttemptEnded{Call: id, Result: refused}))
	h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
	if first.Endpoint == second.Endpoint {
		t.Fatal("the request was sent to the same endpoint again")
	}
	for range 19 {
		h.advance(100 * time.Millisecond)
		h.apply(ConfigRead{SentAt: h.now})
		id, effects = h.arrive("/look/1", "k2")
		if send := h.mustSend(effects); send.Endpoint == first.Endpoint {
			t.Fatalf("sent to %s within its pause", send.Endpoint)
		}
		h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
	}
	h.core.endpoints[first.Endpoint].stats.RecordConnectFailure(h.now)
	id, effects = h.arrive("/charge/1", "k2")
	h.mustSend(effects)
	h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeFailed, Status: 503, RetryAfter: 3 * time.Second}})
	h.core.endpoints[first.Endpoint].stats.RecordRetryAfter(h.now, 4*time.Second)
	_, effects = h.arrive("/look/1", "k2")
	h.wantNotRun(effects, fault.CodeBusy)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < 3*time.Second || after > 4*time.Second {
		t.Errorf("retry after %v, want a little over 3 s", after)
	}
}
