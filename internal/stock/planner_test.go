package stock

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// fleet returns a planner over engines that hold the given models and whose
// accounts are known.
func fleet(spec *topo.Engine, holdings ...[]string) *Planner {
	p := NewPlanner(begin, DefaultSettings(5*time.Second), true)
	for i, models := range holdings {
		var held []topo.Holding
		for _, m := range models {
			held = append(held, topo.Holding{Model: m})
		}
		id := fmt.Sprintf("e%02d", i)
		p.SetEndpoint(begin, &topo.Endpoint{ID: id, Service: "llm", Born: 1, Holdings: held}, spec)
		p.Reported(begin, id, Report{Holdings: held})
	}
	return p
}

func counted(orders []Order, load bool) int {
	n := 0
	for _, o := range orders {
		if o.Load == load {
			n++
		}
	}
	return n
}

// The pattern: a model rises everywhere at once, and every engine is full. Copies
// of other models must not be given up faster than loads may begin, or the fleet
// stands half empty until the store's ceiling admits the loads.
func TestCopiesAreGivenUpOnlyForLoadsThatMayBegin(t *testing.T) {
	spec := simSpec()
	spec.LoadsPerSecond = 0.4 // two loads in the window
	var holdings [][]string
	for range 8 {
		holdings = append(holdings, []string{"a", "b", "c"})
	}
	holdings[0] = []string{"a", "b", "d"}
	p := fleet(spec, holdings...)
	for range 100 {
		p.Demand(begin, "llm", Copy{Model: "d"}, 100*time.Millisecond)
	}
	now := begin.Add(10 * time.Second)
	given := 0
	for range 20 {
		for range 10 {
			p.Demand(now, "llm", Copy{Model: "d"}, 100*time.Millisecond)
		}
		plan := p.Plan(now)
		given += counted(plan.Orders, false)
		for _, o := range plan.Orders {
			p.Answered(now, o, Accepted)
		}
		now = now.Add(50 * time.Millisecond)
	}
	if given == 0 || given > 2 {
		t.Errorf("%d copies given up in a second, want 1 or 2", given)
	}
}

func TestWantedModelWithoutACopyGoesFirst(t *testing.T) {
	p := fleet(simSpec(), []string{"a", "b"}, []string{"a", "b"})
	p.Want(begin, "llm", Copy{Model: "e"})
	plan := p.Plan(begin)
	if len(plan.Orders) == 0 || plan.Orders[0].Model != "e" || !plan.Orders[0].Load {
		t.Errorf("orders %+v, want a load of e first", plan.Orders)
	}
}

func TestLastCopyStaysWhileItIsAskedFor(t *testing.T) {
	p := fleet(simSpec(), []string{"a", "b", "c"}, []string{"a", "b", "d"})
	now := begin.Add(10 * time.Second)
	for _, m := range []string{"a", "b", "c", "d"} {
		p.Demand(now, "llm", Copy{Model: m}, 10*time.Millisecond)
	}
	p.Want(now, "llm", Copy{Model: "e"})
	for _, o := range p.Plan(now).Orders {
		if !o.Load && (o.Model == "c" || o.Model == "d") {
			t.Errorf("gives up the last copy of %s", o.Model)
		}
	}
}

func TestUnansweredOrderIsSentAgainWithTheSameCount(t *testing.T) {
	p := fleet(simSpec(), []string{"a"})
	p.Want(begin, "llm", Copy{Model: "b"})
	first := p.Plan(begin).Orders[0]
	p.Answered(begin.Add(700*time.Millisecond), first, Lost)
	again := p.Plan(begin.Add(time.Second)).Orders
	if len(again) != 1 || again[0] != first {
		t.Errorf("sent again as %+v, want %+v", again, first)
	}
}

func TestSuccessorHoldsBackLoads(t *testing.T) {
	p := fleet(simSpec(), []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"})
	p.quietUntil = begin.Add(5 * time.Second)
	for _, m := range []string{"b", "c", "d", "e"} {
		p.Want(begin, "llm", Copy{Model: m})
	}
	if n := counted(p.Plan(begin).Orders, true); n != 2 {
		t.Errorf("%d loads in the window of the predecessor, want 2", n)
	}
}

// The pattern: a model rises, and copies of it are on their way when another one
// rises more. Copies on their way don't serve yet, so they don't make the one
// that does dispensable.
func TestServingCopyStaysWhileOthersAreLoaded(t *testing.T) {
	p := fleet(simSpec(), []string{"a", "b", "c"}, []string{"e"}, []string{"d", "e"})
	now := begin.Add(10 * time.Second)
	loads := 0
	for i := range 40 {
		p.Demand(now, "llm", Copy{Model: "a"}, 10*time.Millisecond)
		p.Demand(now, "llm", Copy{Model: "b"}, 10*time.Millisecond)
		p.Demand(now, "llm", Copy{Model: "c"}, 100*time.Millisecond)
		if i >= 10 {
			p.Demand(now, "llm", Copy{Model: "d"}, time.Second)
		}
		orders := p.Plan(now).Orders
		loads += counted(orders, true)
		for _, o := range orders {
			if !o.Load && o.Model == "c" {
				t.Fatal("gives up the only copy of c that serves")
			}
			p.Answered(now, o, Accepted)
		}
		now = now.Add(20 * time.Millisecond)
	}
	if loads < 2 {
		t.Errorf("%d loads, want both engines with room to load c", loads)
	}
}
