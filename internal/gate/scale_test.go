package gate

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// fleetSize is the size of a fleet whose leader is measured.
type fleetSize struct {
	entries   int
	engines   int
	models    int
	customers int
	// requestRate is how many requests per second the fleet gets.
	requestRate int
	// versions is the number of software versions of the engines.
	versions int
}

func (s fleetSize) String() string {
	return fmt.Sprintf("entries=%d/engines=%d/models=%d/versions=%d", s.entries, s.engines, s.models, s.versions)
}

// busyFleet is a leader with its fleet, and the events that reach it.
type busyFleet struct {
	*harness
	size     fleetSize
	sequence []uint64
	engines  map[string]*simpleEngine
	calls    uint64
	orders   int
}

// simpleEngine carries out orders at once.
type simpleEngine struct {
	accepted int64
	models   map[string]map[string]bool
}

// apply carries out an order and returns its outcome.
func (e *simpleEngine) apply(o stock.Order) stock.Outcome {
	if o.ExpectedAccepted != e.accepted {
		return stock.Conflict
	}
	e.accepted++
	switch {
	case o.Load && o.Adapter == "":
		e.models[o.Model] = make(map[string]bool)
	case o.Load:
		e.models[o.Model][o.Adapter] = true
	case o.Adapter == "":
		delete(e.models, o.Model)
	default:
		delete(e.models[o.Model], o.Adapter)
	}
	return stock.Accepted
}

func (e *simpleEngine) holdings() []topo.Holding {
	var out []topo.Holding
	for _, model := range slices.Sorted(maps.Keys(e.models)) {
		out = append(out, topo.Holding{
			Model:    model,
			Adapters: slices.Sorted(maps.Keys(e.models[model])),
		})
	}
	return out
}

// engineSlots is how many models an engine of the fleet has room for.
const engineSlots = 3

func newBusyFleet(size fleetSize) *busyFleet {
	f := &busyFleet{
		harness:  newLeaderHarness(&testing.T{}),
		size:     size,
		sequence: make([]uint64, size.entries),
		engines:  make(map[string]*simpleEngine),
	}
	config := testConfig()
	config.Version = 2
	spec := config.Services["llm"].Engine
	spec.LoadsPerSecond = float64(size.engines) / 7
	spec.AdapterSlots = 8
	spec.Models = make(map[string]*topo.Model, size.models)
	for i := range size.models {
		name := modelName(i)
		spec.Models[name] = &topo.Model{
			Name:           name,
			SizeMB:         60,
			StoreLoadTime:  9 * time.Second,
			DiskLoadTime:   2400 * time.Millisecond,
			MemoryLoadTime: 1200 * time.Millisecond,
			AdapterSizeMB:  0.1,
		}
	}
	for i := range size.customers {
		name := customerName(i)
		config.Customers[name] = &topo.Customer{
			Name:          name,
			Keys:          []string{"key-" + name},
			DefaultTokens: 200,
			ByTokens:      true,
			Rate:          50_000,
			Burst:         100_000,
		}
	}
	f.apply(ConfigRead{Config: config.BuildIndex(), SentAt: f.now})
	list := []*topo.Endpoint{testEndpoint("shop-1", "shop"), testEndpoint("shop-2", "shop")}
	for i := range size.engines {
		e := &simpleEngine{models: make(map[string]map[string]bool)}
		for n := range engineSlots {
			e.models[modelName((i*engineSlots+n)%size.models)] = make(map[string]bool)
		}
		f.engines[engineName(i)] = e
		list = append(list, f.engineRecord(i, 1))
	}
	read := EndpointsRead{SentAt: f.now, Full: true}
	for _, ep := range list {
		read.Changes = append(read.Changes, topo.EndpointChange{ID: ep.ID, Endpoint: ep})
	}
	f.apply(read)
	for i := range size.entries {
		f.apply(PeerConnected{Host: entryName(i)})
	}
	f.apply(Tick{})
	f.effects = nil
	return f
}

func modelName(i int) string    { return fmt.Sprintf("m%03d", i) }
func customerName(i int) string { return fmt.Sprintf("customer-%02d", i) }
func entryName(i int) string    { return fmt.Sprintf("front-%03d", i+2) }
func engineName(i int) string   { return fmt.Sprintf("llm-%04d", i) }

func (f *busyFleet) engineRecord(i int, sequence int64) *topo.Endpoint {
	ep := testEndpoint(engineName(i), "llm", f.engines[engineName(i)].holdings()...)
	ep.Sequence = sequence
	ep.Slots = 16
	ep.SoftwareVersion = fmt.Sprint("v", i%f.size.versions)
	return ep
}

// second delivers the events of one second: reports and requests of all entries,
// orders that have been carried out, and the leader's reads of the store.
func (f *busyFleet) second() {
	const ticks = 20
	step := time.Second / ticks
	for tick := range ticks {
		f.deliver(Tick{})
		for i := range f.size.entries {
			if i%5 == tick%5 {
				f.regularReport(i)
			}
		}
		for range f.size.requestRate / ticks {
			f.request()
		}
		if tick%4 == 0 {
			f.heartbeats(tick)
		}
		f.advance(step)
	}
}

// deliver applies an event and answers the orders that result from it.
func (f *busyFleet) deliver(e Event) {
	for _, effect := range f.core.Apply(f.now, e) {
		switch e := effect.(type) {
		case SendOrder:
			f.orders++
			f.deliver(OrderAnswered{
				Order:   e.Order,
				Outcome: f.engines[e.Order.Engine].apply(e.Order),
			})
		case RequestEngineReport:
			engine := f.engines[e.Engine]
			f.deliver(EngineReported{
				Engine: e.Engine,
				SentAt: f.now,
				Report: &stock.Report{
					AcceptedOrders: engine.accepted,
					Holdings:       engine.holdings(),
				},
			})
		case AppendLease:
			f.deliver(LeaseAppendEnded{Record: e.Record, Offset: e.Offset, Result: AppendDone})
		}
	}
}

func (f *busyFleet) regularReport(entry int) {
	f.sequence[entry]++
	report := &wirepb.GateReport{Sequence: f.sequence[entry]}
	for n := range 5 {
		report.Loads = append(report.Loads, &wirepb.GateLoad{
			Endpoint: engineName((entry*7 + n) % f.size.engines),
			Running:  1,
		})
		report.Demands = append(report.Demands, &wirepb.GateDemand{
			Service: "llm",
			Model:   modelName((entry + n) % 20),
			WorkUs:  50_000,
		})
	}
	begun := &wirepb.GateStarts{SoftwareVersion: "v0"}
	for n := range f.size.requestRate / f.size.entries / 4 {
		begun.Streams = append(begun.Streams, uint64(entry)<<40+f.sequence[entry]<<8+uint64(n)+1)
	}
	report.Starts = append(report.Starts, begun)
	f.deliver(ReportReceived{Host: entryName(entry), Report: report})
}

// request delivers what a request makes its entry ask the leader for: tokens of its
// customer, then an engine. Some requests are for adapters that no engine holds.
func (f *busyFleet) request() {
	f.calls++
	entry := int(f.calls) % f.size.entries
	f.sequence[entry]++
	report := &wirepb.GateReport{
		Sequence: f.sequence[entry],
		Asks:     []*wirepb.GateTokens{{Customer: customerName(int(f.calls) % f.size.customers), Amount: 2000}},
	}
	if f.calls%30 == 0 {
		report.Demands = append(report.Demands, &wirepb.GateDemand{
			Service: "llm",
			Model:   modelName(int(f.calls/30) % 20),
			Adapter: fmt.Sprintf("adapter-%03d", f.calls/30%200),
			Missing: true,
		})
	}
	f.deliver(ReportReceived{Host: entryName(entry), Report: report})
	f.deliver(AssignmentRequested{
		Host: entryName(entry),
		Request: &wirepb.GateAssignmentAsk{
			Call:         f.calls,
			Service:      "llm",
			Model:        modelName(int(f.calls) % 20),
			PromptTokens: 1000,
			ObjectiveUs:  800_000,
			Zone:         "a",
			Stream:       f.calls,
			Parts:        []*wirepb.GatePart{{Hash: f.calls % 3, Tokens: 200}, {Hash: f.calls % 141, Tokens: 100}, {Hash: f.calls, Tokens: 700}},
		},
	})
}

// heartbeats delivers a read of the registry with new records of some engines.
func (f *busyFleet) heartbeats(tick int) {
	event := EndpointsRead{SentAt: f.now}
	for i := range f.size.engines {
		if i%3 == tick%3 {
			ep := f.engineRecord(i, int64(f.now.Sub(start)/time.Millisecond)+2)
			event.Changes = append(event.Changes, topo.EndpointChange{ID: ep.ID, Endpoint: ep})
		}
	}
	f.deliver(event)
	f.deliver(ConfigRead{SentAt: f.now})
}

// BenchmarkLeaderSecond measures what a second of a busy fleet costs its leader. The
// time of an operation is that of one second, so 100 ms are a tenth of a core.
func BenchmarkLeaderSecond(b *testing.B) {
	sizes := []fleetSize{
		{entries: 100, engines: 160, models: 266, customers: 40, requestRate: 880, versions: 1},
		{entries: 100, engines: 160, models: 266, customers: 40, requestRate: 880, versions: 2},
		{entries: 400, engines: 160, models: 266, customers: 40, requestRate: 880, versions: 1},
		{entries: 100, engines: 1000, models: 266, customers: 40, requestRate: 880, versions: 1},
		{entries: 1000, engines: 160, models: 266, customers: 40, requestRate: 880, versions: 1},
	}
	for _, size := range sizes {
		b.Run(size.String(), func(b *testing.B) {
			f := newBusyFleet(size)
			f.second()
			f.orders = 0
			for b.Loop() {
				f.second()
			}
			b.ReportMetric(float64(f.orders)/float64(b.N), "orders/op")
		})
	}
}

// Pattern: many entries miss a model at the same time. The leader must not plan for each
// of them, but soon after the first one.
func TestPlansDoNotMultiplyWithEvents(t *testing.T) {
	h := newLeaderHarness(t)
	h.advance(time.Second)
	plans := 0
	last := h.core.leader.plannedAt
	for i := range 200 {
		host := entryName(i)
		h.apply(PeerConnected{Host: host})
		h.apply(ReportReceived{Host: host, Report: &wirepb.GateReport{
			Sequence: 1,
			Demands:  []*wirepb.GateDemand{{Service: "llm", Model: "small", Missing: true}},
		}})
		if at := h.core.leader.plannedAt; at != last {
			plans++
			last = at
		}
		h.advance(minPlanInterval / 20)
	}
	if plans < 2 || plans > 11 {
		t.Errorf("%d plans in %v, want 2 to 11", plans, 10*minPlanInterval)
	}
}

// Pattern: a miss just after a plan. The next plan must be scheduled, not left to the
// next regular event.
func TestPlanIsScheduledForMissAfterPlan(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.advance(time.Second)
	h.receiveReport(&wirepb.GateReport{Sequence: 1})
	effects := h.receiveReport(&wirepb.GateReport{
		Sequence: 2,
		Demands:  []*wirepb.GateDemand{{Service: "llm", Model: "small", Missing: true}},
	})
	tick, scheduled := findEffect[ScheduleTick](effects)
	if !scheduled || tick.After > minPlanInterval {
		t.Fatalf("scheduled %v after %v, want a plan within %v", scheduled, tick.After, minPlanInterval)
	}
	h.advance(tick.After)
	h.apply(Tick{})
	if h.core.leader.plannedAt != h.now {
		t.Error("the scheduled tick didn't plan")
	}
}

// Pattern: a large fleet at rest. What the leader does for an entry's report must not grow
// with the number of endpoints that haven't changed.
func TestStateCostDoesNotGrowWithFleet(t *testing.T) {
	allocations := func(engines int) float64 {
		h := newLeaderHarness(t)
		for i := range engines {
			h.endpoints(testEndpoint(engineName(i), "llm", topo.Holding{Model: "big"}))
		}
		h.apply(PeerConnected{Host: "front-2"})
		h.receiveReport(&wirepb.GateReport{Sequence: 1})
		sequence := uint64(1)
		return testing.AllocsPerRun(50, func() {
			sequence++
			h.core.Apply(h.now, ReportReceived{Host: "front-2", Report: &wirepb.GateReport{Sequence: sequence}})
		})
	}
	if few, many := allocations(10), allocations(1000); many > few {
		t.Errorf("%v allocations for a report with 1,000 engines, %v with 10", many, few)
	}
}

// An engine has loaded an adapter: only the entries that wait for it are told at once, the
// others with the answers to their next reports.
func TestOnlyWaitingEntriesAreToldOfHoldings(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(EngineReported{Engine: "llm-1", SentAt: h.now, Report: &stock.Report{Holdings: []topo.Holding{{Model: "big"}, {Model: "small"}}}})
	for _, host := range []string{"front-2", "front-3"} {
		h.apply(PeerConnected{Host: host})
		h.apply(ReportReceived{Host: host, Report: &wirepb.GateReport{Sequence: 1}})
	}
	h.advance(time.Second)
	order, ok := findEffect[SendOrder](h.receiveReport(&wirepb.GateReport{
		Sequence: 2,
		Demands:  []*wirepb.GateDemand{{Service: "llm", Model: "big", Adapter: "a1", Missing: true}},
	}))
	if !ok {
		t.Fatal("the adapter was not ordered")
	}
	h.apply(OrderAnswered{Order: order.Order, Outcome: stock.Accepted})
	h.advance(100 * time.Millisecond)
	told := map[string]bool{}
	for _, e := range h.apply(Tick{}) {
		if state, ok := e.(SendState); ok {
			told[state.Host] = true
		}
	}
	if !told["front-2"] || told["front-3"] {
		t.Errorf("told %v, want front-2, which waits", told)
	}
	effects := h.apply(ReportReceived{Host: "front-3", Report: &wirepb.GateReport{Sequence: 2}})
	state, _ := findEffect[SendState](effects)
	if n := len(state.State.GetHoldings()); n != 1 {
		t.Errorf("front-3 is told of %d engines with its next report, want 1", n)
	}
}
