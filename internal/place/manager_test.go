package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/plat"
)

const (
	testCapacity = 100
	testMaxDelay = 5 * time.Second
)

// testEngine executes each order, even one that exceeds its memory, unless it
// checks fencing numbers and has seen a higher one.
type testEngine struct {
	checksFence bool
	fence       uint64
	sequence    uint64
	residents   []plat.Resident
	peakBytes   int64
}

func (e *testEngine) execute(o plat.Order) {
	if e.checksFence && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	a := orderArtifact(o)
	if o.Action == plat.ActionUnload {
		e.residents = slices.DeleteFunc(e.residents, func(r plat.Resident) bool {
			return residentArtifact(r) == a || residentArtifact(r).Base() == a
		})
		return
	}
	if slices.ContainsFunc(e.residents, func(r plat.Resident) bool { return residentArtifact(r) == a }) {
		return
	}
	e.residents = append(e.residents, plat.Resident{
		Model: a.Model, Version: a.Version, Adapter: a.Adapter, MemoryBytes: o.MemoryBytes, Ready: true,
	})
	var total int64
	for _, r := range e.residents {
		total += r.MemoryBytes
	}
	e.peakBytes = max(e.peakBytes, total)
}

func (e *testEngine) report() plat.Report {
	e.sequence++
	return plat.Report{
		Sequence: e.sequence, MemoryBytes: testCapacity, Residents: slices.Clone(e.residents),
		Fence: e.fence, ChecksFence: e.checksFence,
	}
}

// inFlightOrder is an order that was sent and can arrive until expiresAt.
type inFlightOrder struct {
	order     plat.Order
	expiresAt time.Time
}

// node is one host: the manager of its agent, its engine, and the orders in
// flight.
type node struct {
	manager  *ReplicaManager
	engine   *testEngine
	inFlight []inFlightOrder
	// report is a report in flight, requested at reportRequestedAt.
	report            *plat.Report
	reportRequestedAt time.Time
}

// pinMessage is a pin request, reply or release in flight between agents.
type pinMessage struct {
	pin     Pin
	kind    int
	granted bool
}

const (
	kindRequest = iota
	kindReply
	kindRelease
)

// cluster is a simulated fleet in which orders and messages may be delayed, lost
// or duplicated and agents and engines may restart.
type cluster struct {
	now             time.Time
	nodes           []*node
	messages        []pinMessage
	lastIncarnation uint64
	models          []string
	everHeld        map[string]bool
}

func newCluster(t *rapid.T, nodes int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), models: []string{"a", "b"}, everHeld: make(map[string]bool)}
	for i := range nodes {
		n := &node{engine: &testEngine{checksFence: rapid.Bool().Draw(t, "checksFence")}}
		c.nodes = append(c.nodes, n)
		c.startAgent(i)
	}
	return c
}

// loadInitial loads some artifacts before the random operations start.
func (c *cluster) loadInitial(t *rapid.T) {
	c.runWithoutFaults(8)
	for i := range c.nodes {
		for _, model := range c.models[:rapid.IntRange(1, 2).Draw(t, "loaded")] {
			actions, _ := c.nodes[i].manager.Load(c.now, Artifact{Model: model, Version: "1"}, rapid.Int64Range(40, 50).Draw(t, "bytes"))
			c.perform(i, actions)
		}
	}
	c.runWithoutFaults(7)
}

func (c *cluster) startAgent(i int) {
	c.lastIncarnation++
	c.nodes[i].manager = NewReplicaManager(fmt.Sprint(i), c.lastIncarnation, testMaxDelay)
	c.nodes[i].report = nil
}

func (c *cluster) perform(i int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendOrder:
			c.nodes[i].inFlight = append(c.nodes[i].inFlight, inFlightOrder{a.Order, c.now.Add(testMaxDelay)})
		case RequestPin:
			c.messages = append(c.messages, pinMessage{pin: a.Pin, kind: kindRequest})
		case ReleasePin:
			c.messages = append(c.messages, pinMessage{pin: a.Pin, kind: kindRelease})
		}
	}
}

// deliver delivers a message to the agent that it is addressed to.
func (c *cluster) deliver(m pinMessage) {
	var from, to int
	_, _ = fmt.Sscan(m.pin.From, &from)
	_, _ = fmt.Sscan(m.pin.To, &to)
	switch m.kind {
	case kindRequest:
		granted := c.nodes[to].manager.GrantPin(c.now, m.pin)
		c.messages = append(c.messages, pinMessage{pin: m.pin, kind: kindReply, granted: granted})
	case kindReply:
		c.nodes[from].manager.HandlePinReply(m.pin, m.granted)
	case kindRelease:
		c.nodes[to].manager.HandlePinRelease(m.pin)
	}
}

// advance moves the clock and drops the orders that have expired.
func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		n.inFlight = slices.DeleteFunc(n.inFlight, func(f inFlightOrder) bool { return c.now.After(f.expiresAt) })
	}
}

// refresh applies a new report of one engine and steps its manager.
func (c *cluster) refresh(i int) {
	n := c.nodes[i]
	c.advance(time.Millisecond)
	n.manager.ApplyReport(c.now, c.now, n.engine.report())
	c.perform(i, n.manager.Step(c.now, func(Artifact) bool { return true }))
}

// pollAll applies a new report of each engine and steps each manager.
func (c *cluster) pollAll() {
	for i, n := range c.nodes {
		n.manager.ApplyReport(c.now, c.now, n.engine.report())
		c.perform(i, n.manager.Step(c.now, func(Artifact) bool { return true }))
	}
}

// deliverAll delivers all orders and messages in flight.
func (c *cluster) deliverAll() {
	for _, n := range c.nodes {
		for _, f := range n.inFlight {
			n.engine.execute(f.order)
		}
		n.inFlight = nil
	}
	for len(c.messages) > 0 {
		m := c.messages[0]
		c.messages = c.messages[1:]
		c.deliver(m)
	}
}

// runWithoutFaults runs the cluster for some seconds without faults.
func (c *cluster) runWithoutFaults(seconds int) {
	for range seconds {
		c.pollAll()
		c.deliverAll()
		c.advance(time.Second)
	}
	c.pollAll()
}

func (c *cluster) countReplicas(model string) int {
	n := 0
	for _, node := range c.nodes {
		if slices.ContainsFunc(node.engine.residents, func(r plat.Resident) bool { return r.Model == model }) {
			n++
		}
	}
	return n
}

func (c *cluster) checkInvariants(t *rapid.T) {
	for i, n := range c.nodes {
		if n.engine.peakBytes > testCapacity {
			t.Fatalf("engine %d (checks fencing numbers: %v) held %d bytes, has memory for %d",
				i, n.engine.checksFence, n.engine.peakBytes, testCapacity)
		}
	}
	for _, model := range c.models {
		if c.countReplicas(model) > 0 {
			c.everHeld[model] = true
		} else if c.everHeld[model] {
			t.Fatalf("no replica of %s is left", model)
		}
	}
}

// operations returns the operations that rapid chooses from. With
// engineRestarts, restarts of engines lose replicas, so that only the memory
// limit can be checked. The sorted order of the keys decides which operation a
// seed selects.
func (c *cluster) operations(engineRestarts bool) map[string]func(*rapid.T) {
	pickNode := func(t *rapid.T) int { return drawNode(t, len(c.nodes)) }
	drawArtifact := func(t *rapid.T) Artifact {
		return Artifact{
			Model:   rapid.SampledFrom(c.models).Draw(t, "model"),
			Version: rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "version"),
		}
	}
	pickOrder := func(t *rapid.T) (*node, int) {
		n := c.nodes[pickNode(t)]
		if len(n.inFlight) == 0 {
			t.Skip("no order in flight")
		}
		return n, rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "order")
	}
	operations := map[string]func(*rapid.T){
		"load": func(t *rapid.T) {
			i := pickNode(t)
			actions, _ := c.nodes[i].manager.Load(c.now, drawArtifact(t), rapid.Int64Range(40, 60).Draw(t, "bytes"))
			c.perform(i, actions)
		},
		"unload": func(t *rapid.T) {
			i, a := pickNode(t), drawArtifact(t)
			keeper := fmt.Sprint(pickNode(t))
			actions, _ := c.nodes[i].manager.Unload(c.now, a, keeper, drawArtifact(t).Version)
			c.perform(i, actions)
		},
		"step": func(t *rapid.T) {
			i := pickNode(t)
			idle := rapid.Bool().Draw(t, "idle")
			c.perform(i, c.nodes[i].manager.Step(c.now, func(Artifact) bool { return idle }))
		},
		"deliver":   func(t *rapid.T) { n, i := pickOrder(t); c.deliverOrder(n, i, true) },
		"duplicate": func(t *rapid.T) { n, i := pickOrder(t); c.deliverOrder(n, i, false) },
		"lose":      func(t *rapid.T) { n, i := pickOrder(t); n.inFlight = slices.Delete(n.inFlight, i, i+1) },
		"readReport": func(t *rapid.T) {
			n := c.nodes[pickNode(t)]
			r := n.engine.report()
			n.report, n.reportRequestedAt = &r, c.now
		},
		"receiveReport": func(t *rapid.T) {
			n := c.nodes[pickNode(t)]
			if n.report == nil {
				t.Skip("no report in flight")
			}
			n.manager.ApplyReport(c.now, n.reportRequestedAt, *n.report)
			n.report = nil
		},
		"message": func(t *rapid.T) {
			if len(c.messages) == 0 {
				t.Skip("no message in flight")
			}
			i := rapid.IntRange(0, len(c.messages)-1).Draw(t, "message")
			m := c.messages[i]
			if !rapid.Bool().Draw(t, "duplicate") {
				c.messages = slices.Delete(c.messages, i, i+1)
			}
			c.deliver(m)
		},
		"restart": func(t *rapid.T) { c.startAgent(pickNode(t)) },
		"refresh": func(t *rapid.T) { c.refresh(pickNode(t)) },
		"restartAndRefresh": func(t *rapid.T) {
			i := pickNode(t)
			c.startAgent(i)
			c.refresh(i)
		},
		"takeAllMessages": func(*rapid.T) {
			messages := c.messages
			c.messages = nil
			for _, m := range messages {
				c.deliver(m)
			}
		},
		"time":     func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond) },
		"noFaults": func(*rapid.T) { c.runWithoutFaults(7) },
		"":         c.checkInvariants,
	}
	if engineRestarts {
		operations["engineRestart"] = func(t *rapid.T) {
			n := c.nodes[pickNode(t)]
			n.engine.residents, n.engine.fence, n.engine.sequence = nil, 0, 0
			n.report = nil
			c.everHeld = make(map[string]bool)
		}
	}
	return operations
}

// drawNode draws the index of one of n nodes.
func drawNode(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "node") }

// deliverOrder makes the engine execute an order in flight. The order stays in
// flight, as a duplicate, unless remove is set.
func (c *cluster) deliverOrder(n *node, i int, remove bool) {
	o := n.inFlight[i].order
	if remove {
		n.inFlight = slices.Delete(n.inFlight, i, i+1)
	}
	n.engine.execute(o)
}

func TestMemoryAndLastReplicaUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(2, 3).Draw(t, "nodes"))
		c.loadInitial(t)
		t.Repeat(c.operations(false))
		t.Repeat(c.operations(false))
	})
}

func TestMemoryWhenEnginesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 1)
		c.loadInitial(t)
		operations := c.operations(true)
		operations[""] = func(t *rapid.T) {
			c.everHeld = make(map[string]bool)
			c.checkInvariants(t)
		}
		t.Repeat(operations)
		t.Repeat(operations)
	})
}

// TestUnloadCompletes guards against rules that are safe only because they
// refuse every unload.
func TestUnloadCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 2)
		c.runWithoutFaults(15)
		for i := range 2 {
			actions, err := c.nodes[i].manager.Load(c.now, Artifact{Model: "a", Version: "1"}, 60)
			if err != nil {
				t.Fatalf("load: %v", err)
			}
			c.perform(i, actions)
		}
		c.runWithoutFaults(7)
		actions, err := c.nodes[0].manager.Unload(c.now, Artifact{Model: "a", Version: "1"}, "1", "1")
		if err != nil {
			t.Fatalf("unload: %v", err)
		}
		c.perform(0, actions)
		c.runWithoutFaults(7)
		if n := c.countReplicas("a"); n != 1 {
			t.Errorf("%d replicas after the unload, want 1", n)
		}
		if free := c.nodes[0].manager.FreeBytes(); free != testCapacity {
			t.Errorf("%d bytes free after the unload, want %d", free, testCapacity)
		}
	})
}

// Guards against an attempt to unload that the ledger ends without a trace.
func TestRefusedUnloadIsReported(t *testing.T) {
	c := newSyncedCluster(1)
	c.load(t, 0, artifactA)
	c.runWithoutFaults(7)
	manager := c.nodes[0].manager
	if _, err := manager.Unload(c.now, artifactA, "", ""); err != nil {
		t.Fatalf("unload: %v", err)
	}
	c.nodes[0].engine.sequence = 0 // the engine has restarted, so that the ledger isn't synced
	c.advance(time.Millisecond)
	manager.ApplyReport(c.now, c.now, c.nodes[0].engine.report())
	want := ReportRefusal{
		Artifact: artifactA,
		Err:      ErrNotSynced,
	}
	if actions := manager.Step(c.now, func(Artifact) bool { return true }); !slices.Contains(actions, Action(want)) {
		t.Errorf("actions %v, want %v among them", actions, want)
	}
}
