package stock

import (
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// loadOrder returns the load that a plan orders at an engine, or fails the test.
func loadOrder(t *testing.T, plan Plan, model string) Order {
	t.Helper()
	for _, o := range plan.Orders {
		if o.Load && o.Model == model {
			return o
		}
	}
	t.Fatalf("orders are %+v, want a load of %s", plan.Orders, model)
	return Order{}
}

// A load gets no response and is refused when it is sent again, but the first one has
// been accepted. The engine's report shows that it has accepted one more order; until
// the planner knows what that order did, it must not order by the new count, or it
// would order more than the engine has room for.
func TestUnknownOrderIsNotCountedWithoutItsEffect(t *testing.T) {
	spec := testSpec()
	p := newTestPlanner(spec, []string{"a", "b"})
	now := startTime.Add(10 * time.Second)
	p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: "c"}})
	order := loadOrder(t, p.Plan(now), "c")
	p.HandleOutcome(now, order, Unanswered)
	now = now.Add(600 * time.Millisecond)
	p.Plan(now)
	p.HandleOutcome(now, order, Refused)
	for _, m := range []string{"d", "e"} {
		p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: m}})
	}
	holdings := []topo.Holding{{Model: "a"}, {Model: "b"}, {Model: "c"}}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		p.HandleReport(now, now, "e00", Report{AcceptedOrders: 1, Holdings: holdings})
		for _, o := range p.Plan(now).Orders {
			if o.Load && o.ExpectedAccepted == 1 {
				t.Fatalf("ordered %+v though the engine holds %d models of %v MB", o, len(holdings), spec.Models["a"].SizeMB)
			}
		}
	}
}

// Adapters on their way to an engine take places there. A report that names some
// doesn't show all that the engine will hold.
func TestIncomingAdaptersTakePlaces(t *testing.T) {
	spec := testSpec()
	p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
	held := []topo.Holding{{Model: "a"}}
	p.SetEndpoint(startTime, &topo.Endpoint{ID: "e1", Service: "llm", Incarnation: 1, Holdings: held}, spec)
	report := Report{Holdings: held, AcceptedOrders: int64(spec.AdapterSlots)}
	for i := range spec.AdapterSlots {
		report.IncomingAdapters = append(report.IncomingAdapters, "a/"+string(rune('p'+i)))
	}
	p.HandleReport(startTime, startTime, "e1", report)
	p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "a", Adapter: "z"}})
	for _, o := range p.Plan(startTime).Orders {
		if o.Load && o.Adapter != "" {
			t.Errorf("ordered %+v though %d adapters are on their way to %d places", o, spec.AdapterSlots, spec.AdapterSlots)
		}
	}
}

// A report of another incarnation under the same ID says nothing of this one.
func TestReportOfOtherIncarnationIsIgnored(t *testing.T) {
	p := newTestPlanner(testSpec(), []string{"a", "b"})
	now := startTime.Add(10 * time.Second)
	p.HandleReport(now, now, "e00", Report{Incarnation: 2, AcceptedOrders: 5})
	if !p.engines["e00"].canServe(Artifact{Model: "a"}) || p.engines["e00"].acceptedOrders != 0 {
		t.Error("the report of another incarnation was applied")
	}
}

// A slow process sends a load three times before it hears of any of them: the first send
// times out, the second is accepted, and the third is dropped because the lease has ended
// meanwhile. The engine is loading the model, so its memory must stay taken.
func TestRefusedResendDoesNotUndoAcceptedLoad(t *testing.T) {
	spec := testSpec()
	p := newTestPlanner(spec, []string{"a", "b"})
	now := startTime.Add(10 * time.Second)
	p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: "c"}})
	order := loadOrder(t, p.Plan(now), "c")
	p.HandleOutcome(now, order, Unanswered)
	p.HandleOutcome(now, order, Accepted)
	p.HandleOutcome(now, order, Refused)
	p.HandleOutcome(now, order, Conflict)
	for range 60 {
		now = now.Add(25 * time.Millisecond)
		p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: "d"}})
		p.RecordDemand(now, "llm", Artifact{Model: "d"}, 1, 100*time.Millisecond)
		p.HandleReport(now, now, "e00", Report{AcceptedOrders: 1, Holdings: []topo.Holding{{Model: "a"}, {Model: "b"}}})
		for _, o := range p.Plan(now).Orders {
			if o.Load && o.Model != order.Model {
				t.Fatalf("ordered %+v while the engine loads %s, which it has accepted", o, order.Model)
			}
		}
	}
}
