package stock

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// newTestPlanner returns a planner whose engines hold the given models and have
// reported them.
func newTestPlanner(spec *topo.EngineSpec, holdings ...[]string) *Planner {
	p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
	for i, models := range holdings {
		var held []topo.Holding
		for _, m := range models {
			held = append(held, topo.Holding{Model: m})
		}
		id := fmt.Sprintf("e%02d", i)
		p.SetEndpoint(startTime, &topo.Endpoint{ID: id, Service: "llm", Incarnation: 1, Holdings: held}, spec)
		p.HandleReport(startTime, startTime, id, Report{Holdings: held})
	}
	return p
}

func countOrders(orders []Order, load bool) int {
	n := 0
	for _, o := range orders {
		if o.Load == load {
			n++
		}
	}
	return n
}

// The demand for a model rises on all entries at once while every engine is full.
// If copies of other models are unloaded faster than loads may begin, the fleet stays
// half empty until the rate limit of the weight store admits the loads.
func TestUnloadsOnlyForAdmittedLoads(t *testing.T) {
	spec := testSpec()
	spec.LoadsPerSecond = 0.4 // two loads per window
	var holdings [][]string
	for range 8 {
		holdings = append(holdings, []string{"a", "b", "c"})
	}
	holdings[0] = []string{"a", "b", "d"}
	p := newTestPlanner(spec, holdings...)
	for range 100 {
		p.RecordDemand(startTime, "llm", Artifact{Model: "d"}, 1, 100*time.Millisecond)
	}
	now := startTime.Add(10 * time.Second)
	unloads := 0
	for range 20 {
		for range 10 {
			p.RecordDemand(now, "llm", Artifact{Model: "d"}, 1, 100*time.Millisecond)
		}
		plan := p.Plan(now)
		unloads += countOrders(plan.Orders, false)
		for _, o := range plan.Orders {
			p.HandleOutcome(now, o, Accepted)
		}
		now = now.Add(50 * time.Millisecond)
	}
	if unloads == 0 || unloads > 2 {
		t.Errorf("%d copies unloaded within a second, want 1 or 2", unloads)
	}
}

func TestMissingModelIsLoadedFirst(t *testing.T) {
	p := newTestPlanner(testSpec(), []string{"a", "b"}, []string{"a", "b"})
	p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "e"}})
	plan := p.Plan(startTime)
	if len(plan.Orders) == 0 || plan.Orders[0].Model != "e" || !plan.Orders[0].Load {
		t.Errorf("orders are %+v, want a load of e first", plan.Orders)
	}
}

func TestLastCopyStaysWhileInDemand(t *testing.T) {
	p := newTestPlanner(testSpec(), []string{"a", "b", "c"}, []string{"a", "b", "d"})
	now := startTime.Add(10 * time.Second)
	for _, m := range []string{"a", "b", "c", "d"} {
		p.RecordDemand(now, "llm", Artifact{Model: m}, 1, 10*time.Millisecond)
	}
	p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: "e"}})
	for _, o := range p.Plan(now).Orders {
		if !o.Load && (o.Model == "c" || o.Model == "d") {
			t.Errorf("planned to unload the last copy of %s", o.Model)
		}
	}
}

func TestUnansweredOrderIsResentWithSameCount(t *testing.T) {
	p := newTestPlanner(testSpec(), []string{"a"})
	p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "b"}})
	first := p.Plan(startTime).Orders[0]
	p.HandleOutcome(startTime.Add(700*time.Millisecond), first, Unanswered)
	resent := p.Plan(startTime.Add(time.Second)).Orders
	if len(resent) != 1 || resent[0] != first {
		t.Errorf("resent orders are %+v, want only %+v", resent, first)
	}
}

func TestSuccessorLimitsLoadsInPredecessorWindow(t *testing.T) {
	p := newTestPlanner(testSpec(), []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"})
	p.inheritedLoadsUntil = startTime.Add(5 * time.Second)
	for _, m := range []string{"b", "c", "d", "e"} {
		p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: m}})
	}
	if n := countOrders(p.Plan(startTime).Orders, true); n != 2 {
		t.Errorf("%d loads within the window of the earlier planner, want 2", n)
	}
}

// The demand for a model rises, and while copies of it are being loaded the demand
// for another model rises more. Copies that are being loaded don't serve yet, so the
// only copy that serves must not be evicted.
func TestOnlyServingCopyIsNotEvictedDuringLoads(t *testing.T) {
	p := newTestPlanner(testSpec(), []string{"a", "b", "c"}, []string{"e"}, []string{"d", "e"})
	now := startTime.Add(10 * time.Second)
	loads := 0
	for i := range 40 {
		p.RecordDemand(now, "llm", Artifact{Model: "a"}, 1, 10*time.Millisecond)
		p.RecordDemand(now, "llm", Artifact{Model: "b"}, 1, 10*time.Millisecond)
		p.RecordDemand(now, "llm", Artifact{Model: "c"}, 1, 100*time.Millisecond)
		if i >= 10 {
			p.RecordDemand(now, "llm", Artifact{Model: "d"}, 1, time.Second)
		}
		orders := p.Plan(now).Orders
		loads += countOrders(orders, true)
		for _, o := range orders {
			if !o.Load && o.Model == "c" {
				t.Fatal("planned to unload the only copy of c that serves")
			}
			p.HandleOutcome(now, o, Accepted)
		}
		now = now.Add(20 * time.Millisecond)
	}
	if loads < 2 {
		t.Errorf("%d loads, want one at each of the two engines with room for c", loads)
	}
}

// Requests that continue a stream run only at engines of one software version. An
// artifact that other versions hold must be loaded there too.
func TestMissOfOneVersionIsLoadedAtThatVersion(t *testing.T) {
	spec := testSpec()
	newVersioned := func(withAdapter bool, second ...topo.Holding) *Planner {
		p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
		first := topo.Holding{Model: "a"}
		if withAdapter {
			first.Adapters = []string{"a1"}
		}
		for id, ep := range map[string]*topo.Endpoint{
			"e1": {SoftwareVersion: "v1", Holdings: []topo.Holding{first}},
			"e2": {SoftwareVersion: "v2", Holdings: second},
		} {
			ep.ID, ep.Service, ep.Incarnation = id, "llm", 1
			p.SetEndpoint(startTime, ep, spec)
			p.HandleReport(startTime, startTime, id, Report{Holdings: ep.Holdings})
		}
		return p
	}
	t.Run("model", func(t *testing.T) {
		p := newVersioned(false)
		p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "a"}, SoftwareVersion: "v2"})
		wantLoadAt(t, p.Plan(startTime), "e2", Artifact{Model: "a"})
		if _, loading := FirstLoad(p.LoadETAs("llm"), "a", "v2"); !loading {
			t.Error("the load isn't among those of its version")
		}
		if _, loading := FirstLoad(p.LoadETAs("llm"), "a", "v1"); loading {
			t.Error("the load is among those of another version")
		}
	})
	t.Run("adapter", func(t *testing.T) {
		p := newVersioned(true, topo.Holding{Model: "a"})
		p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "a", Adapter: "a1"}, SoftwareVersion: "v2"})
		wantLoadAt(t, p.Plan(startTime), "e2", Artifact{Model: "a", Adapter: "a1"})
	})
}

func wantLoadAt(t *testing.T, plan Plan, engine string, a Artifact) {
	t.Helper()
	for _, o := range plan.Orders {
		if o.Load && o.Engine == engine && o.Artifact == a {
			return
		}
	}
	t.Errorf("orders are %+v, want a load of %+v at %s", plan.Orders, a, engine)
}

// The engines that hold a busy model name a limit on the requests that they take: copies
// must be loaded on engines without one, and no more than carry the demand.
func TestCopiesAreLoadedBesideLimitedEngines(t *testing.T) {
	for _, limited := range []bool{false, true} {
		p := newTestPlanner(testSpec(), []string{"a", "b"}, []string{"a", "c"}, []string{"b"}, []string{"c"}, []string{"d", "e"})
		p.SetLimited("e00", limited)
		p.SetLimited("e01", limited)
		p.SetLimited("e02", limited)
		loads := map[string]int{}
		for now := startTime; now.Before(startTime.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
			p.RecordDemand(now, "llm", Artifact{Model: "a"}, 1, 35*time.Millisecond) // two copies' worth
			for _, o := range p.Plan(now).Orders {
				if o.Load && o.Model == "a" {
					loads[o.Engine]++
				}
				p.HandleOutcome(now, o, Accepted)
			}
		}
		if !limited && len(loads) > 0 {
			t.Errorf("without limits: loads at %v, want none", loads)
		}
		if limited && (len(loads) != 1 || loads["e02"] > 0) {
			t.Errorf("with limits: loads at %v, want one at an engine without a limit", loads)
		}
	}
}

// Two software versions serve, and a model in use has one copy at each: if the engine of
// either ends, its streams can't go on. A second copy must be loaded at one version.
func TestModelHasTwoCopiesAtOneVersion(t *testing.T) {
	spec := testSpec()
	p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
	add := func(id, version string, models ...string) {
		ep := &topo.Endpoint{
			ID:              id,
			Service:         "llm",
			Incarnation:     1,
			SoftwareVersion: version,
		}
		for _, model := range models {
			ep.Holdings = append(ep.Holdings, topo.Holding{Model: model})
		}
		p.SetEndpoint(startTime, ep, spec)
		p.HandleReport(startTime, startTime, id, Report{Holdings: ep.Holdings})
	}
	add("e1", "v1", "a")
	add("e2", "v1", "b", "c")
	add("e3", "v1", "b", "c")
	add("e4", "v2", "a")
	p.RecordDemand(startTime, "llm", Artifact{Model: "a"}, 1, 50*time.Millisecond)
	loads := 0
	for _, o := range p.Plan(startTime).Orders {
		if !o.Load || o.Model != "a" {
			continue
		}
		if loads++; o.Engine != "e2" && o.Engine != "e3" {
			t.Errorf("loaded at %s, want an engine of v1, which has several", o.Engine)
		}
	}
	if loads != 1 {
		t.Errorf("%d loads of the model, want 1", loads)
	}
}

func newVersionedPlanner(spec *topo.EngineSpec) (*Planner, func(id, version string, models ...string)) {
	p := NewPlanner(startTime, DefaultSettings(5*time.Second), true)
	return p, func(id, version string, models ...string) {
		ep := &topo.Endpoint{ID: id, Service: "llm", Incarnation: 1, SoftwareVersion: version}
		for _, model := range models {
			ep.Holdings = append(ep.Holdings, topo.Holding{Model: model})
		}
		p.SetEndpoint(startTime, ep, spec)
		p.HandleReport(startTime, startTime, id, Report{Holdings: ep.Holdings})
	}
}

// An engine ends while it loads a model. Its load must not be announced any more: requests
// would wait for it.
func TestLoadAtCrashedEngineIsNotExpected(t *testing.T) {
	p, add := newVersionedPlanner(testSpec())
	add("e1", "v1")
	p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "a"}, SoftwareVersion: "v1"})
	for _, o := range p.Plan(startTime).Orders {
		p.HandleOutcome(startTime, o, Accepted)
	}
	if _, loading := FirstLoad(p.LoadETAs("llm"), "a", "v1"); !loading {
		t.Fatal("the model is not being loaded")
	}
	p.SetEnded("e1", true)
	p.Plan(startTime.Add(20 * time.Millisecond))
	if _, loading := FirstLoad(p.LoadETAs("llm"), "a", "v1"); loading {
		t.Error("a load at an engine that has crashed is still expected")
	}
}

// An engine ends while it loads an adapter. Another engine must get it.
func TestAdapterOfCrashedEngineIsLoadedElsewhere(t *testing.T) {
	p, add := newVersionedPlanner(testSpec())
	add("e1", "v1", "a")
	add("e2", "v1", "a")
	m := Miss{Artifact: Artifact{Model: "a", Adapter: "x"}, SoftwareVersion: "v1"}
	p.RecordMiss(startTime, "llm", m)
	orders := p.Plan(startTime).Orders
	if len(orders) == 0 || orders[0].Adapter != "x" {
		t.Fatalf("orders are %+v, want one for the adapter", orders)
	}
	for _, o := range orders[1:] {
		p.HandleOutcome(startTime, o, Refused)
	}
	add("e2", "v1", "a")
	p.SetEnded(orders[0].Engine, true)
	now := startTime.Add(20 * time.Millisecond)
	p.RecordMiss(now, "llm", m)
	for _, o := range p.Plan(now).Orders {
		if o.Adapter == "x" && o.Engine != orders[0].Engine {
			return
		}
	}
	t.Errorf("the adapter is not loaded at the engine that is left")
}

// A model's copies at one version must not be evicted for another model's demand because
// there is a copy at another version, at which its streams can't go on.
func TestBackupIsNotEvictedForOtherVersionsCopy(t *testing.T) {
	spec := testSpec()
	p, add := newVersionedPlanner(spec)
	add("e1", "v1", "a", "b", "c")
	add("e2", "v1", "a", "b", "c")
	add("e3", "v2", "a", "b", "c")
	add("e4", "v2", "d")
	now := startTime.Add(20 * time.Second)
	for range 50 {
		for _, m := range []string{"b", "c"} {
			p.RecordDemand(now, "llm", Artifact{Model: m}, 1, 40*time.Millisecond)
		}
		p.RecordDemand(now, "llm", Artifact{Model: "a"}, 1, 15*time.Millisecond)
	}
	p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: "e"}, SoftwareVersion: "v1"})
	p.RecordMiss(now, "llm", Miss{Artifact: Artifact{Model: "d"}, SoftwareVersion: "v1"})
	evicted := map[string]int{}
	for _, o := range p.Plan(now).Orders {
		if !o.Load && (o.Engine == "e1" || o.Engine == "e2") {
			evicted[o.Model]++
		}
	}
	for m, n := range evicted {
		if n > 1 {
			t.Errorf("both copies of %s at v1 are evicted", m)
		}
	}
}

// A model has no copy at all. The load for its demand and the one for its second copy are
// planned together and must come to one version, or a third is needed.
func TestFirstCopiesAreAtOneVersion(t *testing.T) {
	p, add := newVersionedPlanner(testSpec())
	add("e1", "v1", "b")
	add("e2", "v1", "b")
	add("e3", "v2", "b")
	add("e4", "v2", "b")
	p.SetRunning("e3", 10)
	p.SetRunning("e4", 10)
	loads := map[string]int{}
	p.RecordDemand(startTime, "llm", Artifact{Model: "a"}, 1, 50*time.Millisecond)
	p.RecordMiss(startTime, "llm", Miss{Artifact: Artifact{Model: "a"}})
	for _, o := range p.Plan(startTime).Orders {
		if o.Load && o.Model == "a" {
			loads[p.engines[o.Engine].softwareVersion]++
		}
	}
	if len(loads) > 1 {
		t.Errorf("loads by version: %v", loads)
	}
}

// An engine with a limit takes few requests: it can't be the one that continues the streams of
// another.
func TestLimitedEngineIsNoBackup(t *testing.T) {
	p, add := newVersionedPlanner(testSpec())
	add("e1", "v1", "a", "d")
	add("e2", "v1", "a")
	add("e3", "v1", "b")
	add("e4", "v2", "a", "c", "e")
	p.SetLimited("e2", true)
	p.RecordDemand(startTime, "llm", Artifact{Model: "a"}, 1, 50*time.Millisecond)
	for _, o := range p.Plan(startTime).Orders {
		if o.Load && o.Model == "a" && o.Engine == "e3" {
			return
		}
	}
	t.Error("no second copy is loaded at an engine of v1 without a limit")
}
