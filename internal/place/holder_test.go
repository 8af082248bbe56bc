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

// testEngine does whatever an order says, also beyond its memory.
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

// inFlightOrder is an order on its way, with the time after which it is gone.
type inFlightOrder struct {
	order     plat.Order
	expiresAt time.Time
}

// node is one host: an agent's holder, its engine and the orders between.
type node struct {
	holder   *ReplicaManager
	engine   *testEngine
	inFlight []inFlightOrder
	// report is a report on its way, asked for at readAt.
	report            *plat.Report
	reportRequestedAt time.Time
}

// pinMessage is a pin, an answer or a release on its way between holders.
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

// cluster is a fleet under an adversary.
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
		n := &node{engine: &testEngine{checksFence: rapid.Bool().Draw(t, "checks")}}
		c.nodes = append(c.nodes, n)
		c.startAgent(i)
	}
	return c
}

// loadInitial loads some copies before the adversary begins.
func (c *cluster) loadInitial(t *rapid.T) {
	c.runWithoutFaults(8)
	for i := range c.nodes {
		for _, model := range c.models[:rapid.IntRange(1, 2).Draw(t, "held")] {
			actions, _ := c.nodes[i].holder.Load(c.now, Artifact{Model: model, Version: "1"}, rapid.Int64Range(40, 50).Draw(t, "bytes"))
			c.perform(i, actions)
		}
	}
	c.runWithoutFaults(7)
}

func (c *cluster) startAgent(i int) {
	c.lastIncarnation++
	c.nodes[i].holder = NewReplicaManager(fmt.Sprint(i), c.lastIncarnation, testMaxDelay)
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

// deliver brings a message to its holder.
func (c *cluster) deliver(m pinMessage) {
	var from, to int
	_, _ = fmt.Sscan(m.pin.From, &from)
	_, _ = fmt.Sscan(m.pin.To, &to)
	switch m.kind {
	case kindRequest:
		granted := c.nodes[to].holder.GrantPin(c.now, m.pin)
		c.messages = append(c.messages, pinMessage{pin: m.pin, kind: kindReply, granted: granted})
	case kindReply:
		c.nodes[from].holder.HandlePinReply(m.pin, m.granted)
	case kindRelease:
		c.nodes[to].holder.HandlePinRelease(m.pin)
	}
}

// advance moves the clock; orders that are too old are gone.
func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		n.inFlight = slices.DeleteFunc(n.inFlight, func(f inFlightOrder) bool { return c.now.After(f.expiresAt) })
	}
}

// refresh brings one holder up to date with its engine.
func (c *cluster) refresh(i int) {
	n := c.nodes[i]
	c.advance(time.Millisecond)
	n.holder.ApplyReport(c.now, c.now, n.engine.report())
	c.perform(i, n.holder.Step(c.now, func(Artifact) bool { return true }))
}

// pollAll takes a whole report of each engine and steps each holder.
func (c *cluster) pollAll() {
	for i, n := range c.nodes {
		n.holder.ApplyReport(c.now, c.now, n.engine.report())
		c.perform(i, n.holder.Step(c.now, func(Artifact) bool { return true }))
	}
}

// deliverAll carries out everything on its way.
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

// runWithoutFaults lets time pass without faults.
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
			t.Fatalf("engine %d (checks fences: %v) held %d of %d bytes", i, n.engine.checksFence, n.engine.peakBytes, testCapacity)
		}
	}
	for _, model := range c.models {
		if c.countReplicas(model) > 0 {
			c.everHeld[model] = true
		} else if c.everHeld[model] {
			t.Fatalf("no copy of %s is left", model)
		}
	}
}

// operations returns the adversary's moves. With engineRestarts copies are lost
// by the engines' own fault, so that only the memory can be checked.
func (c *cluster) operations(engineRestarts bool) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return drawNode(t, len(c.nodes)) }
	drawArtifact := func(t *rapid.T) Artifact {
		return Artifact{Model: rapid.SampledFrom(c.models).Draw(t, "model"), Version: rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "version")}
	}
	pickOrder := func(t *rapid.T) (*node, int) {
		n := c.nodes[pick(t)]
		if len(n.inFlight) == 0 {
			t.Skip("nothing on its way")
		}
		return n, rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "order")
	}
	operations := map[string]func(*rapid.T){
		"load": func(t *rapid.T) {
			i := pick(t)
			actions, _ := c.nodes[i].holder.Load(c.now, drawArtifact(t), rapid.Int64Range(40, 60).Draw(t, "bytes"))
			c.perform(i, actions)
		},
		"unload": func(t *rapid.T) {
			i, a := pick(t), drawArtifact(t)
			keeper := fmt.Sprint(pick(t))
			actions, _ := c.nodes[i].holder.Unload(c.now, a, keeper, drawArtifact(t).Version)
			c.perform(i, actions)
		},
		"step": func(t *rapid.T) {
			i := pick(t)
			idle := rapid.Bool().Draw(t, "idle")
			c.perform(i, c.nodes[i].holder.Step(c.now, func(Artifact) bool { return idle }))
		},
		"act":    func(t *rapid.T) { n, i := pickOrder(t); c.deliverOrder(n, i, true) },
		"double": func(t *rapid.T) { n, i := pickOrder(t); c.deliverOrder(n, i, false) },
		"lose":   func(t *rapid.T) { n, i := pickOrder(t); n.inFlight = slices.Delete(n.inFlight, i, i+1) },
		"read": func(t *rapid.T) {
			n := c.nodes[pick(t)]
			r := n.engine.report()
			n.report, n.reportRequestedAt = &r, c.now
		},
		"receive": func(t *rapid.T) {
			n := c.nodes[pick(t)]
			if n.report == nil {
				t.Skip("no report")
			}
			n.holder.ApplyReport(c.now, n.reportRequestedAt, *n.report)
			n.report = nil
		},
		"message": func(t *rapid.T) {
			if len(c.messages) == 0 {
				t.Skip("no message")
			}
			i := rapid.IntRange(0, len(c.messages)-1).Draw(t, "message")
			m := c.messages[i]
			if !rapid.Bool().Draw(t, "doubled") {
				c.messages = slices.Delete(c.messages, i, i+1)
			}
			c.deliver(m)
		},
		"restart": func(t *rapid.T) { c.startAgent(pick(t)) },
		"refresh": func(t *rapid.T) { c.refresh(pick(t)) },
		"restartAndRefresh": func(t *rapid.T) {
			i := pick(t)
			c.startAgent(i)
			c.refresh(i)
		},
		"talk": func(*rapid.T) {
			messages := c.messages
			c.messages = nil
			for _, m := range messages {
				c.deliver(m)
			}
		},
		"time":  func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond) },
		"quiet": func(*rapid.T) { c.runWithoutFaults(7) },
		"":      c.checkInvariants,
	}
	if engineRestarts {
		operations["engineRestart"] = func(t *rapid.T) {
			n := c.nodes[pick(t)]
			n.engine.residents, n.engine.fence, n.engine.sequence = nil, 0, 0
			n.report = nil
			c.everHeld = make(map[string]bool)
		}
	}
	return operations
}

// drawNode draws one of n nodes.
func drawNode(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "node") }

// deliverOrder makes an order act; a copy of it stays on its way if it is doubled.
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

// TestUnloadCompletes shows that the rules do not just refuse everything.
func TestUnloadCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 2)
		c.runWithoutFaults(15)
		for i := range 2 {
			actions, err := c.nodes[i].holder.Load(c.now, Artifact{Model: "a", Version: "1"}, 60)
			if err != nil {
				t.Fatalf("load: %v", err)
			}
			c.perform(i, actions)
		}
		c.runWithoutFaults(7)
		actions, err := c.nodes[0].holder.Unload(c.now, Artifact{Model: "a", Version: "1"}, "1", "1")
		if err != nil {
			t.Fatalf("unload: %v", err)
		}
		c.perform(0, actions)
		c.runWithoutFaults(7)
		if n := c.countReplicas("a"); n != 1 {
			t.Errorf("%d copies, want 1", n)
		}
		if free := c.nodes[0].holder.FreeBytes(); free != testCapacity {
			t.Errorf("%d bytes free after the unload, want %d", free, testCapacity)
		}
	})
}
