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

// harness drives a core with a simulated clock.
type harness struct {
	t        *testing.T
	core     *Core
	now      time.Time
	lastCall CallID
	effects  []Effect
}

func testSettings(host string) Settings {
	return Settings{
		Host:                host,
		Zone:                "a",
		ConfigMaxAge:        3300 * time.Millisecond,
		ConfigBound:         testConfigBound,
		ShareLifetime:       4 * time.Second,
		RegistryGracePeriod: 2300 * time.Millisecond,
		WeightLoadWindow:    5 * time.Second,
		RetryRatio:          0.1,
		RetryBurst:          32,
		EvacuationBound:     5 * time.Second,
		ShutdownAdmission:   2800 * time.Millisecond,
		ShutdownTimeout:     7 * time.Second,
		Lease: lease.Timing{
			Duration:        3400 * time.Millisecond,
			OrderTime:       1600 * time.Millisecond,
			QuietPeriod:     3 * time.Second,
			RenewalInterval: 500 * time.Millisecond,
			Margin:          150 * time.Millisecond,
		},
	}
}

func newHarness(t *testing.T) *harness {
	settings := testSettings("front-1")
	leaseState := lease.New(settings.Host, 1, netip.MustParseAddrPort("10.0.0.1:7600"), settings.Lease)
	return &harness{
		t:    t,
		core: New(settings, leaseState, rand.New(rand.NewPCG(1, 2))),
		now:  start,
	}
}

// apply delivers an event and records the effects.
func (h *harness) apply(e Event) []Effect {
	effects := h.core.Apply(h.now, e)
	h.effects = append(h.effects, effects...)
	return effects
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

func testConfig() *topo.Config {
	config := &topo.Config{
		Version: 1,
		Routes: []*topo.Route{
			{
				Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: topo.Stream,
				Timeout: 10 * time.Second, LatencyObjective: 500 * time.Millisecond,
				Targets: []topo.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 1,
			},
			{
				Name: "notes", Host: "h", PathPrefix: "/notes/", Kind: topo.Stream,
				Timeout: 30 * time.Second, LatencyObjective: 10 * time.Second,
				Targets: []topo.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 2, Resumable: true, Priority: 1,
			},
			{
				Name: "charge", Host: "h", PathPrefix: "/charge/", Kind: topo.NonIdempotent,
				Timeout: time.Second, LatencyObjective: 150 * time.Millisecond,
				Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2,
			},
			{
				Name: "look", Host: "h", PathPrefix: "/look/", Kind: topo.Idempotent,
				Timeout: time.Second, LatencyObjective: 150 * time.Millisecond,
				Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2,
			},
			{
				Name: "open", Host: "h", PathPrefix: "/open/", Kind: topo.Idempotent,
				Timeout: time.Second, LatencyObjective: 150 * time.Millisecond,
				Targets: []topo.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 2, Public: true,
			},
		},
		Services: map[string]*topo.Service{
			"shop": {Name: "shop", MaxConns: 100},
			"llm": {Name: "llm", MaxConns: 300, Engine: &topo.EngineSpec{
				Slots: 64, KVCacheTokens: 100000, WeightMemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 1,
				Models: map[string]*topo.Model{
					"big": {
						Name: "big", SizeMB: 60, StoreLoadTime: 9 * time.Second,
						DiskLoadTime: 2 * time.Second, MemoryLoadTime: time.Second, AdapterSizeMB: 1,
					},
					"small": {
						Name: "small", SizeMB: 60, StoreLoadTime: 9 * time.Second,
						DiskLoadTime: 2 * time.Second, MemoryLoadTime: time.Second, AdapterSizeMB: 1,
					},
				},
			}},
		},
		Customers: map[string]*topo.Customer{
			"acme": {Name: "acme", Keys: []string{"k1"}, DefaultTokens: 100, ByTokens: true, Rate: 1000, Burst: 1000},
			"free": {Name: "free", Keys: []string{"k2"}, DefaultTokens: 100, ByTokens: true},
		},
	}
	return config.BuildIndex()
}

func testEndpoint(id, service string, holdings ...topo.Holding) *topo.Endpoint {
	return &topo.Endpoint{
		ID: id, Service: service, Address: netip.MustParseAddrPort("10.1.0.1:80"),
		Zone: "a", Slots: 8, Sequence: 1, Incarnation: 1, Holdings: holdings,
	}
}

// newServingHarness returns a harness with a configuration and endpoints.
func newServingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.apply(ConfigRead{Config: testConfig(), SentAt: h.now})
	h.endpoints(testEndpoint("shop-1", "shop"), testEndpoint("shop-2", "shop"),
		testEndpoint("llm-1", "llm", topo.Holding{Model: "big"}))
	return h
}

func (h *harness) endpoints(list ...*topo.Endpoint) {
	event := EndpointsRead{SentAt: h.now}
	for _, ep := range list {
		event.Changes = append(event.Changes, topo.EndpointChange{ID: ep.ID, Endpoint: ep})
	}
	h.apply(event)
}

// arrive delivers a request and returns its ID and the immediate effects.
func (h *harness) arrive(path, key string) (CallID, []Effect) {
	return h.arriveRequest(&Request{Host: "h", Path: path, Key: key, ClientTimeout: 10 * time.Second, ArrivedAt: h.now})
}

func (h *harness) arriveRequest(request *Request) (CallID, []Effect) {
	h.lastCall++
	return h.lastCall, h.apply(RequestArrived{Call: h.lastCall, Request: request})
}

// mustSend returns the Send among effects.
func (h *harness) mustSend(effects []Effect) Send {
	h.t.Helper()
	send, ok := findEffect[Send](effects)
	if !ok {
		h.t.Fatalf("request was not sent: %+v", effects)
	}
	return send
}

// mustRefuse returns the error of the Refuse among effects.
func (h *harness) mustRefuse(effects []Effect) error {
	h.t.Helper()
	refusal, ok := findEffect[Refuse](effects)
	if !ok {
		h.t.Fatalf("request was not refused: %+v", effects)
	}
	return refusal.Err
}

func findEffect[E Effect](effects []Effect) (E, bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var zero E
	return zero, false
}

// wantNotRun checks that a call was refused as not run, with the given code.
func (h *harness) wantNotRun(effects []Effect, code fault.Code) {
	h.t.Helper()
	err := h.mustRefuse(effects)
	if fault.VerdictOf(err) != fault.NotRun || fault.CodeOf(err) != code {
		h.t.Errorf("refused with %v %v, want not-run %v", fault.VerdictOf(err), fault.CodeOf(err), code)
	}
}

func TestRequestIsSentAndReleased(t *testing.T) {
	h := newServingHarness(t)
	id, effects := h.arrive("/charge/1", "k2")
	send := h.mustSend(effects)
	if send.Customer != "free" || send.Service != "shop" || !send.Deadline.Equal(start.Add(time.Second)) {
		t.Errorf("sent %+v", send)
	}
	h.apply(FirstByteReceived{Call: id})
	h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
	if len(h.core.calls) != 0 || h.core.endpoints[send.Endpoint].stats.Local.Running != 0 {
		t.Error("the ended call still counts as running")
	}
}

func TestNonIdempotentIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for _, reason := range []Reason{ReasonReset, ReasonMalformed, ReasonTimeout} {
		h := newServingHarness(t)
		id, effects := h.arrive("/charge/1", "k2")
		h.mustSend(effects)
		h.wantOtherVerdict(h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeMayHaveRun, Reason: reason}}), fault.NotRun)
	}
}

// wantOtherVerdict checks that a call was refused with a verdict other than the
// given one.
func (h *harness) wantOtherVerdict(effects []Effect, verdict fault.Verdict) {
	h.t.Helper()
	if err := h.mustRefuse(effects); fault.VerdictOf(err) == verdict {
		h.t.Errorf("refused with verdict %v, want another one", verdict)
	}
}

func TestIdempotentIsRetriedOnAnotherEndpoint(t *testing.T) {
	h := newServingHarness(t)
	id, effects := h.arrive("/look/1", "k2")
	first := h.mustSend(effects)
	second := h.mustSend(h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}}))
	if first.Endpoint == second.Endpoint {
		t.Errorf("the retry was sent to %s again", first.Endpoint)
	}
	h.wantOtherVerdict(
		h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}}), fault.NotRun)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	h := newServingHarness(t)
	retries := 0
	for range 200 {
		id, effects := h.arrive("/look/1", "k2")
		h.mustSend(effects)
		if _, again := findEffect[Send](h.apply(
			AttemptEnded{Call: id, Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}})); again {
			retries++
			h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
		}
		h.advance(10 * time.Millisecond)
	}
	settings := testSettings("")
	if maxRetries := 200*settings.RetryRatio + settings.RetryBurst/minRetrySharers; float64(retries) > maxRetries || retries == 0 {
		t.Errorf("%d retries, want 1 to %v", retries, maxRetries)
	}
}

func TestKeysNeedFreshConfig(t *testing.T) {
	h := newServingHarness(t)
	h.failStore(3400 * time.Millisecond)
	_, effects := h.arrive("/charge/1", "k2")
	h.wantNotRun(effects, fault.CodeNotReady)
	_, effects = h.arrive("/open/1", "")
	h.mustSend(effects)
	// A stale configuration must not reject an unknown key or route for good.
	_, effects = h.arrive("/nowhere/1", "k2")
	h.wantNotRun(effects, fault.CodeNotReady)
	h.apply(ConfigRead{SentAt: h.now})
	_, effects = h.arrive("/charge/1", "k2")
	if send := h.mustSend(effects); !send.ConfigValidUntil.Equal(h.now.Add(3300 * time.Millisecond)) {
		t.Errorf("the request may be sent until %v, want 3.3 s from now", send.ConfigValidUntil)
	}
	_, effects = h.arrive("/charge/1", "other")
	h.wantNotRun(effects, fault.CodeBadKey)
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	h := newServingHarness(t)
	later := testConfig()
	later.Version = 9
	h.apply(ConfigRead{Config: later, SentAt: h.now})
	h.apply(ConfigRead{Config: testConfig(), SentAt: h.now})
	if h.core.config.Version != 9 {
		t.Errorf("version %d, want 9", h.core.config.Version)
	}
}

// A stopping entry admits requests while the load balancer still sends clients,
// and refuses them afterwards: a stream begun late would be cut off at the end
// of the grace period.
func TestStoppingEntryRefusesLateRequests(t *testing.T) {
	h := newServingHarness(t)
	h.apply(ShutdownRequested{})
	_, effects := h.arrive("/charge/1", "k2")
	h.mustSend(effects)
	h.advance(2900 * time.Millisecond)
	h.apply(ConfigRead{SentAt: h.now})
	_, effects = h.arrive("/charge/1", "k2")
	h.wantNotRun(effects, fault.CodeLeaving)
}

// A request that waits for a model at a stopping entry must be refused in time
// for the client to retry at another entry, instead of waiting until the
// process ends.
func TestStoppingEntryRefusesParkedRequests(t *testing.T) {
	h := newServingHarness(t)
	id, _ := h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	if _, parked := h.core.parked[id]; !parked {
		t.Fatal("the request does not wait for its model")
	}
	h.apply(ShutdownRequested{})
	h.advance(2900 * time.Millisecond)
	h.apply(ConfigRead{SentAt: h.now})
	for _, e := range h.effects {
		if refusal, ok := e.(Refuse); ok && refusal.Call == id {
			if fault.CodeOf(refusal.Err) != fault.CodeLeaving || fault.VerdictOf(refusal.Err) != fault.NotRun {
				t.Errorf("refused with %v, want not-run with the code for a stopping entry", refusal.Err)
			}
			return
		}
	}
	t.Error("the request is still parked")
}

// Requests sent by a stopping entry must end before the process does.
func TestStoppingEntryBoundsDeadlines(t *testing.T) {
	h := newServingHarness(t)
	h.apply(ShutdownRequested{})
	_, effects := h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "big", ArrivedAt: h.now})
	if send := h.mustSend(effects); send.Deadline.After(start.Add(testSettings("").ShutdownTimeout)) {
		t.Errorf("the deadline is %v after the stop, want at most the shutdown timeout", send.Deadline.Sub(start))
	}
}

func modelArtifact(model string) stock.Artifact { return stock.Artifact{Model: model} }

func TestRevokedKeyRefusesParkedRequests(t *testing.T) {
	h := newServingHarness(t)
	id, _ := h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	later := testConfig()
	later.Version = 2
	later.Customers["free"].Keys = nil
	effects := h.apply(ConfigRead{Config: later.BuildIndex(), SentAt: h.now})
	h.wantNotRun(effects, fault.CodeWithdrawn)
	if _, parked := h.core.parked[id]; parked {
		t.Error("the request is still parked")
	}
}

// A model that no endpoint holds is being loaded. A request that cannot wait
// that long is told when to retry; one that can is parked.
func TestRequestIsRefusedIfModelLoadsTooLate(t *testing.T) {
	h := newFollowerHarness(t)
	h.receiveState(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 9_000_000}}})
	_, effects := h.arriveRequest(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	h.wantNotRun(effects, fault.CodeNoEndpoint)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < 8*time.Second || after > 10*time.Second {
		t.Errorf("retry after %v, want about 9 s", after)
	}
	id, _ := h.arriveRequest(&Request{Host: "h", Path: "/notes/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	if _, parked := h.core.parked[id]; !parked {
		t.Error("a request with a timeout of 30 s does not wait 9 s for its model")
	}
}

// The only copy of a busy model is gone and a load takes 9 s. Clients abandon a
// stream without a first event after 2 s (here), so waiting longer is of no use
// to them: they must be told when the model will be loaded.
func TestStreamRequestDoesNotWaitPastClientAbandon(t *testing.T) {
	h := newFollowerHarness(t)
	h.core.config.MatchRoute("h", "/chat/1").Timeout = 15 * time.Second
	h.receiveState(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 8_500_000}}})
	_, effects := h.arriveRequest(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	h.wantNotRun(effects, fault.CodeNoEndpoint)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < 8*time.Second || after > 10*time.Second {
		t.Errorf("retry after %v, want about 9 s", after)
	}
	h.core.follower.reportTimes[h.core.follower.sequence] = h.now
	h.receiveState(&wirepb.GateState{Arrivals: []*wirepb.GateArrival{{Service: "llm", Model: "small", AfterUs: 1_000_000}}})
	id, _ := h.arriveRequest(&Request{Host: "h", Path: "/chat/1", Key: "k2", Model: "small", ArrivedAt: h.now})
	if _, parked := h.core.parked[id]; !parked {
		t.Error("the request does not wait 1 s for its model")
	}
}
