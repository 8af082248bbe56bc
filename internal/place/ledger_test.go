package place

import (
	"errors"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

var copyA = Copy{Model: "a", Version: "1"}

// settled returns a world of checking engines whose holders know all orders.
func settled(nodes int) *world {
	w := &world{now: time.Unix(1000, 0)}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{engine: &testEngine{checks: true}})
		w.start(i)
	}
	w.quiet(8)
	return w
}

// load makes one holder load a copy, without any report since.
func (w *world) load(t *testing.T, i int, c Copy) {
	t.Helper()
	actions, err := w.nodes[i].holder.Load(w.now, c, 60)
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	w.take(i, actions)
}

func TestRestartedAgentStartsAboveFencesInFlight(t *testing.T) {
	w := settled(1)
	w.load(t, 0, copyA)
	flying := w.nodes[0].flights[0].order
	w.start(0)
	w.refresh(0)
	w.pass(2 * orderTimeout)
	w.refresh(0)
	flights := w.nodes[0].flights
	if len(flights) < 2 {
		t.Fatal("a restarted agent sends no barrier")
	}
	if barrier := flights[len(flights)-1].order; barrier.Fence <= flying.Fence {
		t.Errorf("barrier %d is not above order %d, which may still act", barrier.Fence, flying.Fence)
	}
	if free := w.nodes[0].holder.Free(); free != 0 {
		t.Errorf("%d bytes free before the barrier was acknowledged", free)
	}
}

func TestEngineRestartIsNoticed(t *testing.T) {
	for name, restart := range map[string]func(*testEngine){
		"sequence": func(e *testEngine) { e.sequence = 0 },
		"fence":    func(e *testEngine) { e.fence = 0 },
	} {
		w := settled(1)
		restart(w.nodes[0].engine)
		w.refresh(0)
		if free := w.nodes[0].holder.Free(); free != 0 {
			t.Errorf("%s: %d bytes free though old orders may act again", name, free)
		}
	}
}

func TestLostLoadIsGivenUpByBarrier(t *testing.T) {
	w := settled(1)
	w.load(t, 0, copyA)
	w.nodes[0].flights = nil
	w.pass(2 * orderTimeout)
	w.refresh(0)
	if free := w.nodes[0].holder.Free(); free != testCapacity-60 {
		t.Fatalf("%d bytes free while the load may act", free)
	}
	w.quiet(2)
	if free := w.nodes[0].holder.Free(); free != testCapacity {
		t.Errorf("%d bytes free after a higher fence was acknowledged, want %d", free, testCapacity)
	}
}

func TestNoLoadOverAnUnloadThatMayAct(t *testing.T) {
	w := settled(1)
	w.load(t, 0, copyA)
	w.quiet(3)
	h := w.nodes[0].holder
	if _, err := h.Unload(w.now, copyA, "", ""); err != nil {
		t.Fatal(err)
	}
	w.refresh(0)
	w.deliverAll()
	w.refresh(0)
	if h.Free() != testCapacity {
		t.Errorf("%d bytes free, want all after the unload's report", h.Free())
	}
	if _, err := h.Load(w.now, copyA, 60); !errors.Is(err, ErrBusy) {
		t.Errorf("load = %v, want ErrBusy: a doubled unload would drop the copy", err)
	}
}

func TestGrantToEarlierAgentIsDropped(t *testing.T) {
	w := settled(2)
	for i := range 2 {
		w.load(t, i, copyA)
	}
	w.quiet(3)
	ask := func() Pin {
		actions, err := w.nodes[0].holder.Unload(w.now, copyA, "1", "1")
		if err != nil {
			t.Fatal(err)
		}
		return actions[0].(Ask).Pin
	}
	early := ask()
	w.start(0)
	w.quiet(8)
	ask()
	w.nodes[0].holder.Answered(early, true)
	w.refresh(0)
	for _, f := range w.nodes[0].flights {
		if f.order.Action == plat.ActionUnload && f.order.Model != "" {
			t.Errorf("unloads by a pin that an earlier agent was given")
		}
	}
}

func TestKeeperRefusesWhatItUnloads(t *testing.T) {
	w := settled(2)
	for i := range 2 {
		w.load(t, i, copyA)
	}
	w.quiet(3)
	for i, keeper := range []string{"1", "0"} {
		actions, err := w.nodes[i].holder.Unload(w.now, copyA, keeper, "1")
		if err != nil {
			t.Fatal(err)
		}
		w.take(i, actions)
	}
	w.quiet(6)
	if n := w.copies("a"); n != 2 {
		t.Errorf("%d copies left, want both: each keeper unloads itself", n)
	}
}

func TestModelIsKeptWithItsAdapters(t *testing.T) {
	w := settled(2)
	adapter := Copy{Model: "a", Version: "1", Adapter: "x"}
	for i := range 2 {
		w.load(t, i, copyA)
	}
	w.quiet(3)
	actions, err := w.nodes[0].holder.Load(w.now, adapter, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.take(0, actions)
	w.quiet(3)
	actions, err = w.nodes[0].holder.Unload(w.now, copyA, "1", "1")
	if err != nil {
		t.Fatal(err)
	}
	w.take(0, actions)
	w.quiet(3)
	if !w.nodes[0].holder.Holds(adapter) {
		t.Error("the last copy of the adapter went with its model")
	}
}

func TestReservationOutlastsTheOrderDelay(t *testing.T) {
	w := settled(1)
	w.nodes[0].engine.checks = false
	w.load(t, 0, copyA)
	w.nodes[0].flights = nil
	w.pass(testDelay / 2)
	w.refresh(0)
	if free := w.nodes[0].holder.Free(); free != testCapacity-60 {
		t.Errorf("%d bytes free while the order may be late", free)
	}
	w.pass(testDelay)
	w.refresh(0)
	if free := w.nodes[0].holder.Free(); free != testCapacity {
		t.Errorf("%d bytes free after the longest delay", free)
	}
}
