package stock

import (
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// Guards against requests that are confined to a region and never served, since engines
// elsewhere hold their model or adapter; and against loads in evacuated zones.
func TestMissOfARegionIsLoadedThere(t *testing.T) {
	newPlanner := func(evacuated string, second ...topo.Holding) *Planner {
		p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
		for id, holdings := range map[string][]topo.Holding{
			"e1": {{Model: "a", Adapters: []string{"a1"}}}, "e2": second, "e3": nil,
		} {
			ep := &topo.Endpoint{ID: id, Service: "llm", Incarnation: 1, Holdings: holdings}
			p.SetEndpoint(startTime, ep, testSpec())
			p.SetRegion(id, map[string]string{"e1": "east", "e2": "west", "e3": "west"}[id])
			p.SetEvacuated(id, id == evacuated)
			p.HandleReport(startTime, startTime, id, Report{Holdings: holdings})
		}
		return p
	}
	west := NewRegions([]string{"west", "north", "west"})
	model, adapter := Artifact{Model: "a"}, Artifact{Model: "a", Adapter: "a1"}
	p := newPlanner("e2")
	p.RecordMiss(startTime, "llm", Miss{Artifact: model, Regions: west})
	wantLoadAt(t, p.Plan(startTime), "e3", model)
	if _, loading := FirstLoadIn(p.LoadETAs("llm"), "a", "", west); !loading {
		t.Error("the load isn't among those of its region")
	}
	if _, loading := FirstLoadIn(p.LoadETAs("llm"), "a", "", NewRegions([]string{"east"})); loading {
		t.Error("the load is among those of another region")
	}
	p = newPlanner("e3", topo.Holding{Model: "a"})
	p.RecordMiss(startTime, "llm", Miss{Artifact: adapter, Regions: west})
	wantLoadAt(t, p.Plan(startTime), "e2", adapter)
	if names := west.Names(); !slices.Equal(names, []string{"north", "west"}) || NewRegions(nil).Names() != nil {
		t.Errorf("regions %v", names)
	}
}

// Guards against a load that is ordered again in a zone that was evacuated before the order was
// answered.
func TestUnansweredOrderIsNotSentAgainToAnEvacuatedZone(t *testing.T) {
	p := newTestPlanner(testSpec(), nil)
	sent := p.Plan(startTime).Orders
	if len(sent) == 0 {
		t.Fatal("no order is sent")
	}
	p.HandleOutcome(startTime, sent[0], Unanswered)
	p.SetEvacuated(sent[0].Engine, true)
	later := startTime.Add(2 * resendDelay)
	if orders := p.Plan(later).Orders; len(orders) > 0 {
		t.Errorf("sent to the evacuated zone: %+v", orders)
	}
	p.SetEvacuated(sent[0].Engine, false)
	if orders := p.Plan(later).Orders; len(orders) != 1 || orders[0] != sent[0] {
		t.Errorf("sent after the evacuation: %+v, want %+v again", orders, sent[0])
	}
}
