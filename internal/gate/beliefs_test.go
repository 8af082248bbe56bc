package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
)

// askBeliefs returns what the entry believes.
func (h *harness) askBeliefs() Beliefs {
	reply := make(chan Beliefs, 1)
	h.apply(BeliefsRequested{Reply: reply})
	return <-reply
}

// endpointOf returns the belief about an endpoint.
func (h *harness) endpointOf(b Beliefs, id string) EndpointBelief {
	h.t.Helper()
	for _, ep := range b.Endpoints {
		if ep.ID == id {
			return ep
		}
	}
	h.t.Fatalf("no belief about endpoint %s in %+v", id, b)
	return EndpointBelief{}
}

func TestBeliefsOfAFreshEntryHaveNoTimes(t *testing.T) {
	b := newHarness(t).askBeliefs()
	if !b.ConfigAt.IsZero() || !b.RegistryAt.IsZero() || !b.LeaseAt.IsZero() || b.Members != 0 || len(b.Endpoints) != 0 {
		t.Errorf("beliefs %+v, want none", b)
	}
}

func TestBeliefsTellStatesLoadsAndModels(t *testing.T) {
	h := newServingHarness(t)
	sentAt := h.now
	draining := testEndpoint("shop-1", "shop")
	draining.Sequence, draining.Draining = 2, true
	cold := testEndpoint("shop-3", "shop")
	cold.ColdRemaining = time.Minute
	h.endpoints(draining, cold)
	_, effects := h.arrive("/open/1", "")
	sent := h.mustSend(effects).Endpoint
	h.apply(LimitNamed{Endpoint: "shop-3", Incarnation: 1, PerSecond: 12})
	h.advance(time.Second)
	b := h.askBeliefs()
	if !b.ConfigAt.Equal(sentAt) || !b.RegistryAt.Equal(sentAt) || b.Now.Sub(b.ConfigAt) != time.Second {
		t.Errorf("configuration of %v and registry of %v at %v, want both of %v", b.ConfigAt, b.RegistryAt, b.Now, sentAt)
	}
	for id, want := range map[string]EndpointState{
		"shop-1": EndpointDraining, "shop-2": EndpointReady, "shop-3": EndpointCold, "llm-1": EndpointReady,
	} {
		if got := h.endpointOf(b, id).State; got != want {
			t.Errorf("state of %s is %s, want %s", id, got, want)
		}
	}
	if got := h.endpointOf(b, sent); got.Running != 1 || got.Slots != 8 {
		t.Errorf("endpoint %+v, want 1 running request and 8 slots", got)
	}
	if got := h.endpointOf(b, "shop-3"); got.Limit != 12 {
		t.Errorf("limit %v, want 12", got.Limit)
	}
	if got := h.endpointOf(b, "llm-1"); len(got.Models) != 1 || got.Models[0] != "big" || !got.HoldingsAt.IsZero() {
		t.Errorf("engine %+v, want the model of the registry", got)
	}
}

func TestBeliefsTellModelsOfTheLeader(t *testing.T) {
	h := newServingHarness(t)
	h.advance(time.Second)
	h.core.setLeaderHoldings(h.now, h.core.endpoints["llm-1"], []topo.Holding{{Model: "small"}})
	got := h.endpointOf(h.askBeliefs(), "llm-1")
	if len(got.Models) != 1 || got.Models[0] != "small" || !got.HoldingsAt.Equal(h.now) {
		t.Errorf("engine %+v, want the model that the leader has named at %v", got, h.now)
	}
}

func TestBeliefsTellLeaseMembersAndQuarantines(t *testing.T) {
	h := newServingHarness(t)
	record := leaseRecord("front-2", 5)
	record.Members = []lease.Member{{Host: "front-1", Share: 0.25}, {Host: "front-2", Share: 0.25}}
	record.Quarantine = []lease.QuarantinedPart{
		{Part: 7, RemainingMs: 60000, DurationMs: 120000},
		{Part: 8, RemainingMs: -1000, DurationMs: 120000},
	}
	readAt := h.now
	h.apply(LeaseRead{
		Read: lease.Read{
			Record: record,
			Offset: 3,
			Exists: true,
			End:    4,
		},
		SentAt: h.now,
	})
	h.apply(LeaderConnected{Host: "front-2"})
	h.advance(500 * time.Millisecond)
	b := h.askBeliefs()
	if b.Status.IsLeader || b.Status.Leader != "front-2" || !b.Connected || !b.LeaseAt.Equal(readAt) {
		t.Errorf("leader %q, connected %v, lease of %v; want a session to front-2 and the lease of %v",
			b.Status.Leader, b.Connected, b.LeaseAt, readAt)
	}
	if b.Members != 2 || b.Share != 0.25 {
		t.Errorf("%d members and a share of %v, want 2 and 0.25", b.Members, b.Share)
	}
	if len(b.Quarantines) != 1 || b.Quarantines[0].Part != 7 || b.Quarantines[0].Until.Sub(readAt) != time.Minute {
		t.Errorf("quarantines %+v, want that of part 7 for a minute from %v", b.Quarantines, readAt)
	}
}
