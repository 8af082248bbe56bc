package gate

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

func leaseRecord(host string, incarnation uint64) lease.Record {
	return lease.Record{Host: host, Incarnation: incarnation, Renewal: 1, PeerAddr: netip.MustParseAddrPort("10.0.0.2:7600")}
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// rig drives a core with a clock of its own.
type rig struct {
	t    *testing.T
	core *Core
	now  time.Time
	next CallID
	all  []Effect
}

func testSettings(host string) Settings {
	return Settings{
		Host:          host,
		Zone:          "a",
		ProofLifetime: 3300 * time.Millisecond,
		ShareLifetime: 4 * time.Second,
		RegistryLag:   2300 * time.Millisecond,
		LoadWindow:    5 * time.Second,
		RetryRatio:    0.1,
		RetryReserve:  4,
		StopAdmission: 2800 * time.Millisecond,
		StopLimit:     7 * time.Second,
		Lease: lease.Timing{
			Duration:        4600 * time.Millisecond,
			QuietPeriod:     3 * time.Second,
			RenewalInterval: 500 * time.Millisecond,
			Margin:          150 * time.Millisecond,
		},
	}
}

func newRig(t *testing.T) *rig {
	s := testSettings("front-1")
	l := lease.New(s.Host, 1, netip.MustParseAddrPort("10.0.0.1:7600"), s.Lease)
	return &rig{
		t:    t,
		core: New(s, l, rand.New(rand.NewPCG(1, 2))),
		now:  start,
	}
}

// apply feeds an event and keeps all effects.
func (r *rig) apply(e Event) []Effect {
	effects := r.core.Apply(r.now, e)
	r.all = append(r.all, effects...)
	return effects
}

func (r *rig) pass(d time.Duration) { r.now = r.now.Add(d) }

func testConfig() *topo.Config {
	c := &topo.Config{
		Version: 1,
		Routes: []*topo.Route{
			{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: topo.Stream, Timeout: 10 * time.Second, LatencyObjective: 500 * time.Millisecond, Targets: []topo.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 1},
			{Name: "notes", Host: "h", PathPrefix: "/notes/", Kind: topo.Stream, Timeout: 30 * time.Second, LatencyObjective: 10 * time.Second, Targets: []topo.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 2, Resumable: true, Priority: 1},
			{Name: "charge", Host: "h", PathPrefix: "/charge/", Kind: topo.NonIdempotent, Timeout: time.Second, LatencyObjective: 150 * time.Millisecond, Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2},
			{Name: "look", Host: "h", PathPrefix: "/look/", Kind: topo.Idempotent, Timeout: time.Second, LatencyObjective: 150 * time.Millisecond, Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2},
			{Name: "open", Host: "h", PathPrefix: "/open/", Kind: topo.Idempotent, Timeout: time.Second, LatencyObjective: 150 * time.Millisecond, Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2, Public: true},
		},
		Services: map[string]*topo.Service{
			"shop": {Name: "shop", MaxConns: 100},
			"llm": {Name: "llm", MaxConns: 300, Engine: &topo.EngineSpec{
				Slots: 64, KVCacheTokens: 100000, WeightMemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 1,
				Models: map[string]*topo.Model{
					"big":   {Name: "big", SizeMB: 60, StoreLoadTime: 9 * time.Second, DiskLoadTime: 2 * time.Second, MemoryLoadTime: time.Second, AdapterSizeMB: 1},
					"small": {Name: "small", SizeMB: 60, StoreLoadTime: 9 * time.Second, DiskLoadTime: 2 * time.Second, MemoryLoadTime: time.Second, AdapterSizeMB: 1},
				},
			}},
		},
		Customers: map[string]*topo.Customer{
			"acme": {Name: "acme", Keys: []string{"k1"}, DefaultTokens: 100, ByTokens: true, Rate: 1000, Burst: 1000},
			"free": {Name: "free", Keys: []string{"k2"}, DefaultTokens: 100, ByTokens: true},
		},
	}
	return c.BuildIndex()
}

func testEndpoint(id, service string, holdings ...topo.Holding) *topo.Endpoint {
	return &topo.Endpoint{
		ID: id, Service: service, Address: netip.MustParseAddrPort("10.1.0.1:80"), Zone: "a", Slots: 8, Sequence: 1, Incarnation: 1, Holdings: holdings,
	}
}

// serving returns a rig with a configuration and endpoints.
func serving(t *testing.T) *rig {
	r := newRig(t)
	r.apply(ConfigRead{Config: testConfig(), SentAt: r.now})
	r.endpoints(testEndpoint("shop-1", "shop"), testEndpoint("shop-2", "shop"),
		testEndpoint("llm-1", "llm", topo.Holding{Model: "big"}))
	return r
}

func (r *rig) endpoints(list ...*topo.Endpoint) {
	e := EndpointsRead{SentAt: r.now}
	for _, ep := range list {
		e.Changes = append(e.Changes, topo.EndpointChange{ID: ep.ID, Endpoint: ep})
	}
	r.apply(e)
}

// arrive sends a request and returns its name and what was done at once.
func (r *rig) arrive(path, key string) (CallID, []Effect) {
	return r.arriveFor(&Request{Host: "h", Path: path, Key: key, Patience: 10 * time.Second, Arrived: r.now})
}

func (r *rig) arriveFor(q *Request) (CallID, []Effect) {
	r.next++
	return r.next, r.apply(Arrived{Call: r.next, Request: q})
}

// sent returns the only send among effects.
func (r *rig) sent(effects []Effect) Send {
	r.t.Helper()
	s, ok := find[Send](effects)
	if !ok {
		r.t.Fatalf("not sent: %+v", effects)
	}
	return s
}

// refused returns the only refusal among effects.
func (r *rig) refused(effects []Effect) error {
	r.t.Helper()
	f, ok := find[Refuse](effects)
	if !ok {
		r.t.Fatalf("not refused: %+v", effects)
	}
	return f.Err
}

func find[E Effect](effects []Effect) (E, bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var none E
	return none, false
}

// wantCode checks that a call was refused as not run.
func (r *rig) wantCode(effects []Effect, code fault.Code) {
	r.t.Helper()
	err := r.refused(effects)
	if fault.VerdictOf(err) != fault.NotRun || fault.CodeOf(err) != code {
		r.t.Errorf("refused as %v %v, want not-run %v", fault.VerdictOf(err), fault.CodeOf(err), code)
	}
}

func TestRequestIsSentAndEnds(t *testing.T) {
	r := serving(t)
	id, effects := r.arrive("/charge/1", "k2")
	s := r.sent(effects)
	if s.Customer != "free" || s.Service != "shop" || !s.Limit.Equal(start.Add(time.Second)) {
		t.Errorf("sent %+v", s)
	}
	r.apply(FirstByte{Call: id})
	r.apply(Ended{Call: id, Result: Result{Outcome: Complete}})
	if len(r.core.calls) != 0 || r.core.endpoints[s.Endpoint].track.Local.Running != 0 {
		t.Error("the call is still booked")
	}
}

func TestNonIdempotentIsNeverSentAgainAfterItMayHaveRun(t *testing.T) {
	for _, reason := range []Reason{ReasonReset, ReasonGarbled, ReasonTimeout} {
		r := serving(t)
		id, effects := r.arrive("/charge/1", "k2")
		r.sent(effects)
		r.wantCodeNot(r.apply(Ended{Call: id, Result: Result{Outcome: Unknown, Reason: reason}}), fault.NotRun)
	}
}

// wantCodeNot checks that a call was refused without the promise of a verdict.
func (r *rig) wantCodeNot(effects []Effect, v fault.Verdict) {
	r.t.Helper()
	if err := r.refused(effects); fault.VerdictOf(err) == v {
		r.t.Errorf("refused as %v", v)
	}
}

func TestIdempotentIsSentToAnotherEndpoint(t *testing.T) {
	r := serving(t)
	id, effects := r.arrive("/look/1", "k2")
	first := r.sent(effects)
	second := r.sent(r.apply(Ended{Call: id, Result: Result{Outcome: Unknown, Reason: ReasonReset}}))
	if first.Endpoint == second.Endpoint {
		t.Errorf("sent to %s twice", first.Endpoint)
	}
	r.wantCodeNot(r.apply(Ended{Call: id, Result: Result{Outcome: Unknown, Reason: ReasonReset}}), fault.NotRun)
}

func TestRepeatsStayWithinTheirBudget(t *testing.T) {
	r := serving(t)
	repeats := 0
	for range 200 {
		id, effects := r.arrive("/look/1", "k2")
		r.sent(effects)
		if _, again := find[Send](r.apply(Ended{Call: id, Result: Result{Outcome: Unknown, Reason: ReasonReset}})); again {
			repeats++
			r.apply(Ended{Call: id, Result: Result{Outcome: Complete}})
		}
		r.pass(10 * time.Millisecond)
	}
	s := testSettings("")
	if most := 200*s.RetryRatio + s.RetryReserve; float64(repeats) > most || repeats == 0 {
		t.Errorf("%d repeats, want 1 to %v", repeats, most)
	}
}

func TestKeysNeedFreshProof(t *testing.T) {
	r := serving(t)
	r.pass(3400 * time.Millisecond)
	_, effects := r.arrive("/charge/1", "k2")
	r.wantCode(effects, fault.CodeNotReady)
	if _, effects = r.arrive("/open/1", ""); effects != nil {
		r.sent(effects)
	}
	// A wrong key or route isn't denied by a configuration that may be old.
	_, effects = r.arrive("/nowhere/1", "k2")
	r.wantCode(effects, fault.CodeNotReady)
	r.apply(ConfigRead{SentAt: r.now})
	_, effects = r.arrive("/charge/1", "k2")
	if s := r.sent(effects); !s.FreshUntil.Equal(r.now.Add(3300 * time.Millisecond)) {
		t.Errorf("may be sent until %v", s.FreshUntil)
	}
	_, effects = r.arrive("/charge/1", "other")
	r.wantCode(effects, fault.CodeBadKey)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	r := serving(t)
	later := testConfig()
	later.Version = 9
	r.apply(ConfigRead{Config: later, SentAt: r.now})
	r.apply(ConfigRead{Config: testConfig(), SentAt: r.now})
	if r.core.config.Version != 9 {
		t.Errorf("version %d", r.core.config.Version)
	}
}

// A stopping entry serves what reaches it while the balancer still sends clients,
// then refuses: a stream begun late would be cut at the end of the grace.
func TestStoppingEntryRefusesLateRequests(t *testing.T) {
	r := serving(t)
	r.apply(Stop{})
	_, effects := r.arrive("/charge/1", "k2")
	r.sent(effects)
	r.pass(2900 * time.Millisecond)
	r.apply(ConfigRead{SentAt: r.now})
	_, effects = r.arrive("/charge/1", "k2")
	r.wantCode(effects, fault.CodeLeaving)
}

// A request that waits for a model at a stopping entry is refused in time to go
// elsewhere; it must not wait until the process ends.
func TestStoppingEntryRefusesWhatWaits(t *testing.T) {
	r := serving(t)
	id, _ := r.arriveFor(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", Arrived: r.now})
	if _, waits := r.core.parked[id]; !waits {
		t.Fatal("the request doesn't wait for its model")
	}
	r.apply(Stop{})
	r.pass(2900 * time.Millisecond)
	r.apply(ConfigRead{SentAt: r.now})
	for _, e := range r.all {
		if f, ok := e.(Refuse); ok && f.Call == id {
			if fault.CodeOf(f.Err) != fault.CodeLeaving || fault.VerdictOf(f.Err) != fault.NotRun {
				t.Errorf("refused as %v", f.Err)
			}
			return
		}
	}
	t.Error("the request still waits")
}

// What a stopping entry sends ends before the process does.
func TestStoppingEntryBoundsWhatItSends(t *testing.T) {
	r := serving(t)
	r.apply(Stop{})
	_, effects := r.arriveFor(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "big", Arrived: r.now})
	if s := r.sent(effects); s.Limit.After(start.Add(testSettings("").StopLimit)) {
		t.Errorf("may take until %v", s.Limit.Sub(start))
	}
}

func stockCopy(model string) stock.Artifact { return stock.Artifact{Model: model} }

func TestWithdrawnKeysOfWaitingRequests(t *testing.T) {
	r := serving(t)
	id, _ := r.arriveFor(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", Arrived: r.now})
	later := testConfig()
	later.Version = 2
	later.Customers["free"].Keys = nil
	effects := r.apply(ConfigRead{Config: later.BuildIndex(), SentAt: r.now})
	r.wantCode(effects, fault.CodeWithdrawn)
	if _, waits := r.core.parked[id]; waits {
		t.Error("the request still waits")
	}
}

// The pattern: a model that nobody holds is being loaded. A request that can't
// wait so long is told when to come back; one that can waits.
func TestModelThatComesTooLateIsRefused(t *testing.T) {
	r := following(t)
	r.state(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 9_000_000}}})
	_, effects := r.arriveFor(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "small", Arrived: r.now})
	r.wantCode(effects, fault.CodeNoEndpoint)
	if after := fault.RetryAfterOf(r.refused(effects)); after < 8*time.Second || after > 10*time.Second {
		t.Errorf("come back after %v, want about 9 s", after)
	}
	id, _ := r.arriveFor(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", Arrived: r.now})
	if _, waits := r.core.parked[id]; !waits {
		t.Error("a request with 30 s doesn't wait 9 s for its model")
	}
}

// The pattern: the only copy of a busy model is gone and a load takes 9 s. Clients
// abandon a stream without a first event after 2 s (here), so waiting longer is
// of no use to them: they are told when the model is there.
func TestNobodyWaitsBeyondTheClientsPatienceForAStream(t *testing.T) {
	r := following(t)
	r.core.config.MatchRoute("h", "/chat/1").Timeout = 15 * time.Second
	r.state(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 8_500_000}}})
	_, effects := r.arriveFor(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "small", Arrived: r.now})
	r.wantCode(effects, fault.CodeNoEndpoint)
	if after := fault.RetryAfterOf(r.refused(effects)); after < 8*time.Second || after > 10*time.Second {
		t.Errorf("come back after %v, want about 9 s", after)
	}
	r.core.member.sent[r.core.member.sequence] = r.now
	r.state(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 1_000_000}}})
	id, _ := r.arriveFor(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "small", Arrived: r.now})
	if _, waits := r.core.parked[id]; !waits {
		t.Error("doesn't wait a second for the model")
	}
}
