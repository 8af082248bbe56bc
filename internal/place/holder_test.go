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
	testDelay    = 5 * time.Second
)

// testEngine does whatever an order says, also beyond its memory.
type testEngine struct {
	checks    bool
	fence     uint64
	sequence  uint64
	residents []plat.Resident
	peak      int64
}

func (e *testEngine) act(o plat.Order) {
	if e.checks && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	c := target(o)
	if o.Action == plat.ActionUnload {
		e.residents = slices.DeleteFunc(e.residents, func(r plat.Resident) bool {
			return copyOf(r) == c || copyOf(r).Base() == c
		})
		return
	}
	if slices.ContainsFunc(e.residents, func(r plat.Resident) bool { return copyOf(r) == c }) {
		return
	}
	e.residents = append(e.residents, plat.Resident{
		Model: c.Model, Version: c.Version, Adapter: c.Adapter, MemoryBytes: o.MemoryBytes, Ready: true,
	})
	var total int64
	for _, r := range e.residents {
		total += r.MemoryBytes
	}
	e.peak = max(e.peak, total)
}

func (e *testEngine) report() plat.Report {
	e.sequence++
	return plat.Report{
		Sequence: e.sequence, MemoryBytes: testCapacity, Residents: slices.Clone(e.residents),
		Fence: e.fence, ChecksFence: e.checks,
	}
}

// flight is an order on its way, with the time after which it is gone.
type flight struct {
	order plat.Order
	until time.Time
}

// node is one host: an agent's holder, its engine and the orders between.
type node struct {
	holder  *Holder
	engine  *testEngine
	flights []flight
	// read is a report on its way, asked for at readAt.
	read   *plat.Report
	readAt time.Time
}

// message is a pin, an answer or a release on its way between holders.
type message struct {
	pin     Pin
	kind    int
	granted bool
}

const (
	kindAsk = iota
	kindAnswer
	kindRelease
)

// world is a fleet under an adversary.
type world struct {
	now      time.Time
	nodes    []*node
	messages []message
	starts   uint64
	models   []string
	had      map[string]bool
}

func newWorld(t *rapid.T, nodes int) *world {
	w := &world{now: time.Unix(1000, 0), models: []string{"a", "b"}, had: make(map[string]bool)}
	for i := range nodes {
		n := &node{engine: &testEngine{checks: rapid.Bool().Draw(t, "checks")}}
		w.nodes = append(w.nodes, n)
		w.start(i)
	}
	return w
}

// fill loads some copies before the adversary begins.
func (w *world) fill(t *rapid.T) {
	w.quiet(8)
	for i := range w.nodes {
		for _, model := range w.models[:rapid.IntRange(1, 2).Draw(t, "held")] {
			actions, _ := w.nodes[i].holder.Load(w.now, Copy{Model: model, Version: "1"}, rapid.Int64Range(40, 50).Draw(t, "bytes"))
			w.take(i, actions)
		}
	}
	w.quiet(7)
}

func (w *world) start(i int) {
	w.starts++
	w.nodes[i].holder = NewHolder(fmt.Sprint(i), w.starts, testDelay)
	w.nodes[i].read = nil
}

func (w *world) take(i int, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			w.nodes[i].flights = append(w.nodes[i].flights, flight{a.Order, w.now.Add(testDelay)})
		case Ask:
			w.messages = append(w.messages, message{pin: a.Pin, kind: kindAsk})
		case Release:
			w.messages = append(w.messages, message{pin: a.Pin, kind: kindRelease})
		}
	}
}

// arrive brings a message to its holder.
func (w *world) arrive(m message) {
	var from, to int
	_, _ = fmt.Sscan(m.pin.From, &from)
	_, _ = fmt.Sscan(m.pin.To, &to)
	switch m.kind {
	case kindAsk:
		granted := w.nodes[to].holder.Grant(w.now, m.pin)
		w.messages = append(w.messages, message{pin: m.pin, kind: kindAnswer, granted: granted})
	case kindAnswer:
		w.nodes[from].holder.Answered(m.pin, m.granted)
	case kindRelease:
		w.nodes[to].holder.Released(m.pin)
	}
}

// pass moves the clock; orders that are too old are gone.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		n.flights = slices.DeleteFunc(n.flights, func(f flight) bool { return w.now.After(f.until) })
	}
}

// refresh brings one holder up to date with its engine.
func (w *world) refresh(i int) {
	n := w.nodes[i]
	w.pass(time.Millisecond)
	n.holder.Report(w.now, w.now, n.engine.report())
	w.take(i, n.holder.Step(w.now, func(Copy) bool { return true }))
}

// poll takes a whole report of each engine and steps each holder.
func (w *world) poll() {
	for i, n := range w.nodes {
		n.holder.Report(w.now, w.now, n.engine.report())
		w.take(i, n.holder.Step(w.now, func(Copy) bool { return true }))
	}
}

// deliverAll carries out everything on its way.
func (w *world) deliverAll() {
	for _, n := range w.nodes {
		for _, f := range n.flights {
			n.engine.act(f.order)
		}
		n.flights = nil
	}
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		w.arrive(m)
	}
}

// quiet lets time pass without faults.
func (w *world) quiet(seconds int) {
	for range seconds {
		w.poll()
		w.deliverAll()
		w.pass(time.Second)
	}
	w.poll()
}

func (w *world) copies(model string) int {
	n := 0
	for _, node := range w.nodes {
		if slices.ContainsFunc(node.engine.residents, func(r plat.Resident) bool { return r.Model == model }) {
			n++
		}
	}
	return n
}

func (w *world) check(t *rapid.T) {
	for i, n := range w.nodes {
		if n.engine.peak > testCapacity {
			t.Fatalf("engine %d (checks fences: %v) held %d of %d bytes", i, n.engine.checks, n.engine.peak, testCapacity)
		}
	}
	for _, model := range w.models {
		if w.copies(model) > 0 {
			w.had[model] = true
		} else if w.had[model] {
			t.Fatalf("no copy of %s is left", model)
		}
	}
}

// actions returns the adversary's moves. With engineRestarts copies are lost
// by the engines' own fault, so that only the memory can be checked.
func (w *world) actions(engineRestarts bool) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return drawNode(t, len(w.nodes)) }
	draw := func(t *rapid.T) Copy {
		return Copy{Model: rapid.SampledFrom(w.models).Draw(t, "model"), Version: rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "version")}
	}
	order := func(t *rapid.T) (*node, int) {
		n := w.nodes[pick(t)]
		if len(n.flights) == 0 {
			t.Skip("nothing on its way")
		}
		return n, rapid.IntRange(0, len(n.flights)-1).Draw(t, "order")
	}
	moves := map[string]func(*rapid.T){
		"load": func(t *rapid.T) {
			i := pick(t)
			actions, _ := w.nodes[i].holder.Load(w.now, draw(t), rapid.Int64Range(40, 60).Draw(t, "bytes"))
			w.take(i, actions)
		},
		"unload": func(t *rapid.T) {
			i, c := pick(t), draw(t)
			keeper := fmt.Sprint(pick(t))
			actions, _ := w.nodes[i].holder.Unload(w.now, c, keeper, draw(t).Version)
			w.take(i, actions)
		},
		"step": func(t *rapid.T) {
			i := pick(t)
			idle := rapid.Bool().Draw(t, "idle")
			w.take(i, w.nodes[i].holder.Step(w.now, func(Copy) bool { return idle }))
		},
		"act":    func(t *rapid.T) { n, i := order(t); w.land(n, i, true) },
		"double": func(t *rapid.T) { n, i := order(t); w.land(n, i, false) },
		"lose":   func(t *rapid.T) { n, i := order(t); n.flights = slices.Delete(n.flights, i, i+1) },
		"read": func(t *rapid.T) {
			n := w.nodes[pick(t)]
			r := n.engine.report()
			n.read, n.readAt = &r, w.now
		},
		"receive": func(t *rapid.T) {
			n := w.nodes[pick(t)]
			if n.read == nil {
				t.Skip("no report")
			}
			n.holder.Report(w.now, n.readAt, *n.read)
			n.read = nil
		},
		"message": func(t *rapid.T) {
			if len(w.messages) == 0 {
				t.Skip("no message")
			}
			i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
			m := w.messages[i]
			if !rapid.Bool().Draw(t, "doubled") {
				w.messages = slices.Delete(w.messages, i, i+1)
			}
			w.arrive(m)
		},
		"restart": func(t *rapid.T) { w.start(pick(t)) },
		"refresh": func(t *rapid.T) { w.refresh(pick(t)) },
		"restartAndRefresh": func(t *rapid.T) {
			i := pick(t)
			w.start(i)
			w.refresh(i)
		},
		"talk": func(*rapid.T) {
			messages := w.messages
			w.messages = nil
			for _, m := range messages {
				w.arrive(m)
			}
		},
		"time":  func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond) },
		"quiet": func(*rapid.T) { w.quiet(7) },
		"":      w.check,
	}
	if engineRestarts {
		moves["engineRestart"] = func(t *rapid.T) {
			n := w.nodes[pick(t)]
			n.engine.residents, n.engine.fence, n.engine.sequence = nil, 0, 0
			n.read = nil
			w.had = make(map[string]bool)
		}
	}
	return moves
}

// drawNode draws one of n nodes.
func drawNode(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "node") }

// land makes an order act; a copy of it stays on its way if it is doubled.
func (w *world) land(n *node, i int, last bool) {
	o := n.flights[i].order
	if last {
		n.flights = slices.Delete(n.flights, i, i+1)
	}
	n.engine.act(o)
}

func TestMemoryAndLastCopyUnderAnyOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 3).Draw(t, "nodes"))
		w.fill(t)
		t.Repeat(w.actions(false))
		t.Repeat(w.actions(false))
	})
}

func TestMemoryWhenEnginesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		w.fill(t)
		moves := w.actions(true)
		moves[""] = func(t *rapid.T) {
			w.had = make(map[string]bool)
			w.check(t)
		}
		t.Repeat(moves)
		t.Repeat(moves)
	})
}

// TestUnloadComesAbout shows that the rules do not just refuse everything.
func TestUnloadComesAbout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		w.quiet(15)
		for i := range 2 {
			actions, err := w.nodes[i].holder.Load(w.now, Copy{Model: "a", Version: "1"}, 60)
			if err != nil {
				t.Fatalf("load: %v", err)
			}
			w.take(i, actions)
		}
		w.quiet(7)
		actions, err := w.nodes[0].holder.Unload(w.now, Copy{Model: "a", Version: "1"}, "1", "1")
		if err != nil {
			t.Fatalf("unload: %v", err)
		}
		w.take(0, actions)
		w.quiet(7)
		if n := w.copies("a"); n != 1 {
			t.Errorf("%d copies, want 1", n)
		}
		if free := w.nodes[0].holder.Free(); free != testCapacity {
			t.Errorf("%d bytes free after the unload, want %d", free, testCapacity)
		}
	})
}
