package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// Incident LOST: the last engine of the older version has left, and each model has one copy at
// the newer one, though other engines are empty. While streams of either version may still be
// resumed, a model in use must have two copies.
func TestModelHasTwoCopiesAfterRelease(t *testing.T) {
	for _, released := range []bool{true, false} {
		h := newLiveHarness(t) // its engine "llm-1" has no version
		old := "v2"
		if released {
			old = "v1"
		}
		e1, e2, last := engineRecord("e1", "v2", "big", "small"), engineRecord("e2", "v2", "small"), engineRecord("e3", old)
		h.replaceEngines(e1, e2, last)
		h.core.departedVersions = make(map[string]map[string]time.Time)
		h.removeEndpoint(last.ID)
		h.reportEngines(e1, e2)
		h.effects = nil
		for range 4 {
			_, _ = h.live("")
		}
		h.advance(planInterval)
		h.apply(Tick{})
		order, ordered := findEffect[SendOrder](h.effects)
		if copied := ordered && order.Order.Engine == "e2" && order.Order.Model == "big"; copied != released {
			t.Errorf("after a release %v: ordered %+v", released, order.Order)
		}
	}
}

func (h *harness) removeEndpoint(id string) {
	h.apply(EndpointsRead{
		SentAt:  h.now,
		Changes: []topo.EndpointChange{{ID: id}},
	})
}

// A new fleet has a leader before the operator has written the first configuration.
func TestLeaderPlansWithoutConfig(t *testing.T) {
	h := newHarness(t)
	h.apply(Tick{})
	h.apply(LeaseRead{SentAt: h.now})
	appendLease, ok := findEffect[AppendLease](h.apply(Tick{}))
	if !ok {
		t.Fatal("a free lease was not acquired")
	}
	h.apply(LeaseAppendEnded{
		Record: appendLease.Record,
		Offset: appendLease.Offset,
		Result: AppendDone,
	})
	h.advance(planInterval)
	h.apply(Tick{}) // plans, and must not panic
	if !h.core.isLeader(h.now) || h.core.leader.plannedAt != h.now {
		t.Error("the entry did not plan as the leader")
	}
}
