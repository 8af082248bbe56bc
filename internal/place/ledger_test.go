package place

import (
	"errors"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

var artifactA = Artifact{Model: "a", Version: "1"}

// newSyncedCluster returns a cluster of engines that check fencing numbers,
// with synced ledgers.
func newSyncedCluster(nodes int) *cluster {
	c := &cluster{now: time.Unix(1000, 0)}
	for i := range nodes {
		c.nodes = append(c.nodes, &node{engine: &testEngine{checksFence: true}})
		c.startAgent(i)
	}
	c.runWithoutFaults(8)
	return c
}

// load makes one agent load an artifact. No report follows.
func (c *cluster) load(t *testing.T, i int, a Artifact) {
	t.Helper()
	actions, err := c.nodes[i].manager.Load(c.now, a, 60)
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	c.perform(i, actions)
}

func TestRestartedAgentStartsAboveFencesInFlight(t *testing.T) {
	c := newSyncedCluster(1)
	c.load(t, 0, artifactA)
	inFlight := c.nodes[0].inFlight[0].order
	c.startAgent(0)
	c.refresh(0)
	c.advance(2 * orderTimeout)
	c.refresh(0)
	orders := c.nodes[0].inFlight
	if len(orders) < 2 {
		t.Fatal("the restarted agent sent no barrier")
	}
	if barrier := orders[len(orders)-1].order; barrier.Fence <= inFlight.Fence {
		t.Errorf("barrier has fence %d, want more than %d of the order that may still take effect", barrier.Fence, inFlight.Fence)
	}
	if free := c.nodes[0].manager.FreeBytes(); free != 0 {
		t.Errorf("%d bytes free before the barrier was acknowledged, want 0", free)
	}
}

func TestEngineRestartIsDetected(t *testing.T) {
	for name, restart := range map[string]func(*testEngine){
		"sequence": func(e *testEngine) { e.sequence = 0 },
		"fence":    func(e *testEngine) { e.fence = 0 },
	} {
		c := newSyncedCluster(1)
		restart(c.nodes[0].engine)
		c.refresh(0)
		if free := c.nodes[0].manager.FreeBytes(); free != 0 {
			t.Errorf("reset of %s: %d bytes free, want 0: the engine may execute old orders again", name, free)
		}
	}
}

func TestBarrierReleasesLostLoad(t *testing.T) {
	c := newSyncedCluster(1)
	c.load(t, 0, artifactA)
	c.nodes[0].inFlight = nil
	c.advance(2 * orderTimeout)
	c.refresh(0)
	if free := c.nodes[0].manager.FreeBytes(); free != testCapacity-60 {
		t.Fatalf("%d bytes free while the load may take effect", free)
	}
	c.runWithoutFaults(2)
	if free := c.nodes[0].manager.FreeBytes(); free != testCapacity {
		t.Errorf("%d bytes free after a higher fence was acknowledged, want %d", free, testCapacity)
	}
}

func TestLoadRefusedWhileUnloadPending(t *testing.T) {
	c := newSyncedCluster(1)
	c.load(t, 0, artifactA)
	c.runWithoutFaults(3)
	m := c.nodes[0].manager
	if _, err := m.Unload(c.now, artifactA, "", ""); err != nil {
		t.Fatal(err)
	}
	c.refresh(0)
	c.deliverAll()
	c.refresh(0)
	if m.FreeBytes() != testCapacity {
		t.Errorf("%d bytes free after the unload was reported, want all", m.FreeBytes())
	}
	if _, err := m.Load(c.now, artifactA, 60); !errors.Is(err, ErrBusy) {
		t.Errorf("load = %v, want ErrBusy: a duplicate of the unload would unload the artifact again", err)
	}
}

func TestGrantToEarlierIncarnationIsIgnored(t *testing.T) {
	c := newSyncedCluster(2)
	for i := range 2 {
		c.load(t, i, artifactA)
	}
	c.runWithoutFaults(3)
	requestPin := func() Pin {
		actions, err := c.nodes[0].manager.Unload(c.now, artifactA, "1", "1")
		if err != nil {
			t.Fatal(err)
		}
		return actions[0].(RequestPin).Pin
	}
	earlier := requestPin()
	c.startAgent(0)
	c.runWithoutFaults(8)
	requestPin()
	c.nodes[0].manager.HandlePinReply(earlier, true)
	c.refresh(0)
	for _, f := range c.nodes[0].inFlight {
		if f.order.Action == plat.ActionUnload && f.order.Model != "" {
			t.Errorf("unload sent because of a pin granted to an earlier incarnation of the agent")
		}
	}
}

func TestKeeperRefusesPinDuringOwnUnload(t *testing.T) {
	c := newSyncedCluster(2)
	for i := range 2 {
		c.load(t, i, artifactA)
	}
	c.runWithoutFaults(3)
	for i, keeper := range []string{"1", "0"} {
		actions, err := c.nodes[i].manager.Unload(c.now, artifactA, keeper, "1")
		if err != nil {
			t.Fatal(err)
		}
		c.perform(i, actions)
	}
	c.runWithoutFaults(6)
	if n := c.countReplicas("a"); n != 2 {
		t.Errorf("%d replicas left, want 2: each keeper is unloading its own", n)
	}
}

func TestKeeperMustHoldAdapters(t *testing.T) {
	c := newSyncedCluster(2)
	adapter := Artifact{Model: "a", Version: "1", Adapter: "x"}
	for i := range 2 {
		c.load(t, i, artifactA)
	}
	c.runWithoutFaults(3)
	actions, err := c.nodes[0].manager.Load(c.now, adapter, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.perform(0, actions)
	c.runWithoutFaults(3)
	actions, err = c.nodes[0].manager.Unload(c.now, artifactA, "1", "1")
	if err != nil {
		t.Fatal(err)
	}
	c.perform(0, actions)
	c.runWithoutFaults(3)
	if !c.nodes[0].manager.Retains(adapter) {
		t.Error("the last replica of the adapter was unloaded with its model")
	}
}

func TestReservationOutlastsMaxOrderDelay(t *testing.T) {
	c := newSyncedCluster(1)
	c.nodes[0].engine.checksFence = false
	c.load(t, 0, artifactA)
	c.nodes[0].inFlight = nil
	c.advance(testMaxDelay / 2)
	c.refresh(0)
	if free := c.nodes[0].manager.FreeBytes(); free != testCapacity-60 {
		t.Errorf("%d bytes free within the maximum order delay", free)
	}
	c.advance(testMaxDelay)
	c.refresh(0)
	if free := c.nodes[0].manager.FreeBytes(); free != testCapacity {
		t.Errorf("%d bytes free after the maximum order delay, want all", free)
	}
}
