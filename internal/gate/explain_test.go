package gate

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// explain returns the explanation of a query and checks that it has no effects.
func (h *harness) explain(query ExplainQuery) Explanation {
	h.t.Helper()
	reply := make(chan Explanation, 1)
	if effects := h.core.Apply(h.now, ExplainRequested{Query: query, Reply: reply}); len(effects) > 0 {
		h.t.Errorf("explaining has the effects %+v, want none", effects)
	}
	return <-reply
}

// mustExplain is explain for queries that can be answered.
func (h *harness) mustExplain(query ExplainQuery) Explanation {
	h.t.Helper()
	out := h.explain(query)
	if out.Err != nil {
		h.t.Fatalf("explaining %+v: %v", query, out.Err)
	}
	return out
}

func (h *harness) optionOf(x Explanation, id string) EndpointOption {
	h.t.Helper()
	i := slices.IndexFunc(x.Options, func(o EndpointOption) bool { return o.ID == id })
	if i < 0 {
		h.t.Fatalf("endpoint %s isn't explained in %+v", id, x.Options)
	}
	return x.Options[i]
}

// chatQuery is the query for a request to the model big.
func chatQuery() ExplainQuery {
	return ExplainQuery{
		Service:      "llm",
		Model:        "big",
		PromptTokens: 1200,
		OutputTokens: 100,
		Rank:         RankOfRoute,
	}
}

// drawnRequest returns a random request for one of the models of the harness and its query.
func (h *harness) drawnRequest(random *rand.Rand) (*Request, ExplainQuery) {
	parts := []pick.PromptPart{{Hash: random.Uint64N(4) + 1, Tokens: 300}, {Hash: random.Uint64(), Tokens: random.IntN(2000)}}
	request := &Request{
		Host:          "h",
		Path:          []string{"/chat/1", "/notes/1"}[random.IntN(2)],
		Key:           "k2",
		Model:         []string{"big", "small"}[random.IntN(2)],
		PromptParts:   parts,
		PromptTokens:  parts[0].Tokens + parts[1].Tokens,
		ClientTimeout: 10 * time.Second,
		ArrivedAt:     h.now,
	}
	request.MaxTokens = float64(request.PromptTokens + 100)
	return request, ExplainQuery{
		Host:         request.Host,
		Path:         request.Path,
		Model:        request.Model,
		PromptParts:  parts,
		PromptTokens: request.PromptTokens,
		OutputTokens: 100,
		Customer:     "free",
		Rank:         RankOfRoute,
	}
}

// loadEngines adds engines of both models, in two zones, with random loads.
func (h *harness) loadEngines(random *rand.Rand) {
	var list []*topo.Endpoint
	for i := range 8 {
		ep := testEndpoint(fmt.Sprint("llm-", i+1), "llm", topo.Holding{Model: []string{"big", "small"}[i%2]})
		ep.Zone = []string{"a", "b"}[i/2%2]
		ep.Sequence = 2
		list = append(list, ep)
	}
	h.endpoints(list...)
	for i, ep := range list {
		h.core.endpoints[ep.ID].stats.Local = pick.Load{
			Running:        i + random.IntN(20),
			PendingPrefill: time.Duration(random.IntN(80)) * time.Millisecond,
		}
	}
}

// Guards against explanations that name another endpoint than the one that the next such
// request is sent to, at the leader and at an entry that decides by itself.
func TestExplanationNamesEndpointOfNextRequest(t *testing.T) {
	const tries, minAgreeing = 100, 95
	for name, newHarness := range map[string]func(*testing.T) *harness{"leader": newLeaderHarness, "alone": newServingHarness} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			random := rand.New(rand.NewPCG(1, 2))
			agreeing, sent := 0, 0
			for range tries {
				h.advance(300 * time.Millisecond) // the engines' schedules are empty again
				h.apply(ConfigRead{SentAt: h.now})
				h.holdLease(name == "leader")
				h.loadEngines(random)
				request, query := h.drawnRequest(random)
				explained := h.mustExplain(query)
				_, effects := h.arriveRequest(request)
				send, isSent := findEffect[Send](effects)
				if isSent {
					sent++
				}
				if isSent == (explained.Outcome == OutcomeSend) && send.Endpoint == explained.Endpoint {
					agreeing++
				} else {
					t.Logf("explained %v %s, sent to %q: %+v", explained.Outcome, explained.Endpoint, send.Endpoint, explained.Options)
				}
			}
			if agreeing < minAgreeing || sent < tries/2 {
				t.Errorf("%d of %d explanations agree with the decision, want %d; %d requests were sent", agreeing, tries, minAgreeing, sent)
			}
		})
	}
}

// holdLease renews the lease of a harness that leads.
func (h *harness) holdLease(leads bool) {
	if !leads {
		return
	}
	for _, e := range h.apply(Tick{}) {
		if appendLease, ok := e.(AppendLease); ok {
			h.apply(LeaseAppendEnded{Record: appendLease.Record, Offset: appendLease.Offset, Result: AppendDone})
		}
	}
	if !h.core.isLeader(h.now) {
		h.t.Fatal("the entry doesn't lead any more")
	}
}

// Guards against endpoints that get no requests without the explanation saying why.
func TestExplanationTellsWhatExcludesEndpoints(t *testing.T) {
	cases := map[Exclusion]func(h *harness, ep *endpoint){
		ExcludedDraining: func(h *harness, _ *endpoint) {
			record := testEndpoint("llm-1", "llm", topo.Holding{Model: "big"})
			record.Sequence, record.Draining = 2, true
			h.endpoints(record)
		},
		ExcludedLeaving: func(h *harness, _ *endpoint) { h.apply(EndpointLeaving{Endpoint: "llm-1", Incarnation: 1}) },
		ExcludedEnded: func(h *harness, ep *endpoint) {
			h.core.crashes.log.AddCrash(h.now, poison.Crash{Run: runOf(ep.Endpoint), At: h.now, EndedAt: h.now})
		},
		ExcludedModel: func(_ *harness, ep *endpoint) { ep.Holdings = []topo.Holding{{Model: "small"}} },
		ExcludedAdapter: func(_ *harness, ep *endpoint) {
			ep.Holdings = []topo.Holding{{Model: "big", Adapters: []string{"other"}}}
		},
		ExcludedBackingOff: func(h *harness, ep *endpoint) { ep.stats.RecordRetryAfter(h.now, time.Minute) },
		ExcludedFailing: func(h *harness, ep *endpoint) {
			for range 5 {
				ep.stats.RecordFailure(h.now)
			}
		},
		ExcludedAvoided: func(_ *harness, _ *endpoint) {},
	}
	for want, cause := range cases {
		t.Run(string(want), func(t *testing.T) {
			h := newLeaderHarness(t)
			h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big", Adapters: []string{"a1"}}))
			cause(h, h.core.endpoints["llm-1"])
			query := chatQuery()
			if want == ExcludedAdapter {
				query.Adapter = "a1"
			}
			if want == ExcludedAvoided {
				query.ForOther, query.Avoid = true, []string{"llm-1"}
			}
			x := h.mustExplain(query)
			if got := h.optionOf(x, "llm-1"); got.Exclusion != want {
				t.Errorf("llm-1 is excluded by %q, want %q", got.Exclusion, want)
			}
			if x.Outcome != OutcomeSend || x.Endpoint != "llm-2" || h.optionOf(x, "llm-2").Exclusion != NotExcluded {
				t.Errorf("%s to %q, want it sent to llm-2", x.Outcome, x.Endpoint)
			}
		})
	}
}

func TestExplanationTellsOfNamedLimits(t *testing.T) {
	h := newServingHarness(t)
	h.apply(LimitNamed{Endpoint: "shop-1", Incarnation: 1, PerSecond: 0.5})
	x := h.mustExplain(ExplainQuery{Service: "shop", Rank: RankOfRoute})
	if got := h.optionOf(x, "shop-1"); got.Exclusion != ExcludedLimited || got.Limit != 0.5 {
		t.Errorf("shop-1 is excluded by %q with a limit of %v, want limited and 0.5", got.Exclusion, got.Limit)
	}
	if x.Endpoint != "shop-2" {
		t.Errorf("%s to %q, want shop-2", x.Outcome, x.Endpoint)
	}
	h.apply(LimitNamed{Endpoint: "shop-2", Incarnation: 1, PerSecond: 0.5})
	if x = h.mustExplain(ExplainQuery{Service: "shop", Rank: RankOfRoute}); x.Outcome != OutcomeRefuse || x.After <= 0 {
		t.Errorf("%s after %v, want a refusal until an endpoint may get a request", x.Outcome, x.After)
	}
}

func TestUnknownNamesAreNamed(t *testing.T) {
	h := newLeaderHarness(t)
	for name, change := range map[string]func(*ExplainQuery){
		"service":  func(q *ExplainQuery) { q.Service = "no" },
		"model":    func(q *ExplainQuery) { q.Model = "no" },
		"customer": func(q *ExplainQuery) { q.Customer = "no" },
		"route":    func(q *ExplainQuery) { q.Host, q.Path = "h", "no" },
		"adapter":  func(q *ExplainQuery) { q.Service, q.Model, q.Adapter = "shop", "", "no" },
	} {
		query := chatQuery()
		change(&query)
		unknown := (*UnknownNameError)(nil)
		if err := h.explain(query).Err; !errors.As(err, &unknown) || unknown.Kind != name {
			t.Errorf("error %v, want an unknown %s", err, name)
		}
	}
	query := chatQuery()
	query.Adapter = "no"
	if x := h.mustExplain(query); x.Outcome != OutcomeWait || h.optionOf(x, "llm-1").Exclusion != ExcludedAdapter {
		t.Errorf("%s, want a wait for an adapter that no engine holds: %+v", x.Outcome, x)
	}
	if err := newHarness(t).explain(chatQuery()).Err; !errors.Is(err, ErrNoConfiguration) {
		t.Errorf("error %v without a configuration, want %v", err, ErrNoConfiguration)
	}
}

// Guards against queries that change what the entry believes: the same events must have the
// same effects with and without explanations between them.
func TestExplainingChangesNoState(t *testing.T) {
	play := func(t *testing.T, newHarness func(*testing.T) *harness, explains bool) []Effect {
		h := newHarness(t)
		random := rand.New(rand.NewPCG(3, 4))
		h.loadEngines(random)
		h.apply(LimitNamed{Endpoint: "shop-1", Incarnation: 1, PerSecond: 5})
		for range 200 {
			h.advance(time.Duration(random.IntN(40)) * time.Millisecond)
			request, query := h.drawnRequest(random)
			if explains {
				for _, customer := range []string{"acme", "free"} {
					query.Customer = customer
					before := newStateCopy(h.core)
					h.mustExplain(query)
					h.mustExplain(ExplainQuery{Service: "shop", Customer: customer, Rank: 2, Zone: "b"})
					if after := newStateCopy(h.core); !reflect.DeepEqual(before, after) {
						t.Fatalf("state %+v after explanations, %+v before", after, before)
					}
				}
			}
			h.apply(ConfigRead{SentAt: h.now})
			h.apply(Tick{})
			id, _ := h.arriveRequest(request)
			h.arrive("/look/1", "k1")
			h.advance(time.Millisecond)
			h.apply(FirstByteReceived{Call: id})
			h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeComplete}})
		}
		return h.effects
	}
	for name, newHarness := range map[string]func(*testing.T) *harness{
		"leader": newLeaderHarness, "follower": newFollowerHarness, "alone": newServingHarness,
	} {
		t.Run(name, func(t *testing.T) {
			with, without := play(t, newHarness, true), play(t, newHarness, false)
			if len(with) != len(without) {
				t.Fatalf("%d effects with explanations, %d without", len(with), len(without))
			}
			for i := range with {
				sortReported(with[i])
				sortReported(without[i])
				if !reflect.DeepEqual(with[i], without[i]) {
					t.Fatalf("effect %d: %+v with explanations, %+v without", i, with[i], without[i])
				}
			}
		})
	}
}

// stateCopy is a copy of state that decisions use and that reads may update.
type stateCopy struct {
	quotas    map[string]customerQuota
	pools     map[string]rate.Bucket
	limits    map[string]endpointLimit
	schedules map[string]pacer.Schedule
	rates     map[string]pick.PrefillRate
	calls     int
}

func newStateCopy(c *Core) stateCopy {
	out := stateCopy{
		quotas:    make(map[string]customerQuota),
		pools:     make(map[string]rate.Bucket),
		limits:    make(map[string]endpointLimit),
		schedules: make(map[string]pacer.Schedule),
		rates:     make(map[string]pick.PrefillRate),
		calls:     len(c.calls) + len(c.parked) + len(c.assignments.pending),
	}
	for name, quota := range c.quotas {
		out.quotas[name] = *quota
	}
	for id, ep := range c.endpoints {
		out.limits[id] = ep.limit
		out.schedules[id] = ep.schedule
	}
	for key, prefillRate := range c.prefillRates {
		out.rates[key] = *prefillRate
	}
	if c.leader != nil {
		for name, pool := range c.leader.pools {
			out.pools[name] = *pool
		}
	}
	return out
}

// sortReported sorts what a report or a request to the leader lists in the order of a map.
func sortReported(e Effect) {
	switch e := e.(type) {
	case SendReport:
		slices.SortFunc(e.Report.GetDemands(), func(a, b *wirepb.GateDemand) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	case RequestAssignment:
		slices.Sort(e.Request.GetAvoid())
	}
}

func TestFollowerNamesLeaderThatDecides(t *testing.T) {
	h := newFollowerHarness(t)
	query := chatQuery()
	query.PromptParts = []pick.PromptPart{{Hash: 5, Tokens: 1200}}
	h.core.endpoints["shop-1"].stats.RecordRetryAfter(h.now, time.Minute)
	h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	h.core.endpoints["llm-2"].stats.RecordRetryAfter(h.now, time.Minute)
	x := h.mustExplain(query)
	if x.Outcome != OutcomeAskLeader || x.Leader != "front-2" || x.LeaderAddress != leaseRecord("front-2", 7).PeerAddr {
		t.Fatalf("%s, leader %q at %v; want the leader front-2 asked", x.Outcome, x.Leader, x.LeaderAddress)
	}
	asked := x.LeaderQuery
	if !asked.ForOther || asked.Zone != "a" || !slices.Equal(asked.Avoid, []string{"llm-2"}) || len(asked.PromptParts) != 1 {
		t.Errorf("the leader is asked %+v, want it to avoid llm-2, with the parts", asked)
	}
	leader := newLeaderHarness(t)
	if x = leader.mustExplain(asked); x.Outcome != OutcomeSend || x.Endpoint != "llm-1" || !x.Leads {
		t.Errorf("the leader explains %s to %q, want llm-1", x.Outcome, x.Endpoint)
	}
}

func TestExplanationTellsOfRates(t *testing.T) {
	query := chatQuery()
	query.Customer = "acme" // 1,000 tokens per second
	alone := newServingHarness(t)
	if x := alone.mustExplain(query); x.Rate.Outcome != RateRefuse || x.Rate.RetryAfter <= 0 || x.Rate.Cost != 1300 {
		t.Errorf("without a leader %+v, want a refusal of 1300 tokens", x.Rate)
	}
	if x := newFollowerHarness(t).mustExplain(query); x.Rate.Outcome != RateWait {
		t.Errorf("with a leader elsewhere %+v, want the leader asked", x.Rate)
	}
	h := newLeaderHarness(t)
	query.PromptTokens, query.OutputTokens = 200, 100
	h.core.leader.updatePools(h.now, h.core.config)
	if x := h.mustExplain(query); x.Rate.Outcome != RateRefuse || !x.Rate.PoolKnown || x.Rate.RetryAfter < 300*time.Millisecond {
		t.Errorf("with an empty pool %+v, want a refusal for 0.3 s or more", x.Rate)
	}
	h.advance(500 * time.Millisecond)
	x := h.mustExplain(query)
	if x.Rate.Outcome != RateGranted || x.Rate.Pool < 300 {
		t.Errorf("with 500 tokens in the pool %+v, want 300 granted", x.Rate)
	}
	request := &Request{Host: "h", Path: "/chat/1", Key: "k1", Model: "big", MaxTokens: 300, PromptTokens: 200, ArrivedAt: h.now}
	_, effects := h.arriveRequest(request)
	h.mustSend(effects)
	query.Customer = "free"
	if x = h.mustExplain(query); x.Rate.Outcome != RateUnlimited {
		t.Errorf("without a rate %+v, want no limit", x.Rate)
	}
}

// Guards against costs that don't add up to their terms.
func TestTermsAddUpToCost(t *testing.T) {
	for _, newHarness := range []func(*testing.T) *harness{newLeaderHarness, newServingHarness} {
		h := newHarness(t)
		h.loadEngines(rand.New(rand.NewPCG(5, 6)))
		h.core.endpoints["llm-3"].stats.ObserveFirstByte(h.now, time.Millisecond, 20*time.Millisecond)
		h.core.endpoints["llm-5"].coldUntil = h.now.Add(time.Second)
		for _, o := range h.mustExplain(chatQuery()).Options {
			sum := time.Duration(0)
			for _, term := range o.Terms {
				sum += term.Time
			}
			if sum != o.Cost || o.Exclusion == NotExcluded && o.Cost <= 0 {
				t.Errorf("%s: terms %+v of %v, cost %v", o.ID, o.Terms, sum, o.Cost)
			}
		}
	}
}

func TestExplanationTellsAgesAndQuarantine(t *testing.T) {
	h := newServingHarness(t)
	h.advance(time.Second)
	x := h.mustExplain(chatQuery())
	if x.Now.Sub(x.ConfigAt) != time.Second || x.Now.Sub(x.RegistryAt) != time.Second || x.ConfigVersion != 1 {
		t.Errorf("configuration of %v and registry of %v at %v, want both a second old", x.ConfigAt, x.RegistryAt, x.Now)
	}
	h.core.crashes.log.AddQuarantine(h.now, poison.Quarantine{Part: 7, Until: h.now.Add(time.Minute), Duration: time.Minute})
	query := chatQuery()
	query.SharedParts = []poison.Part{7}
	if x = h.mustExplain(query); x.Outcome != OutcomeRefuse || x.Endpoint != "" {
		t.Errorf("%s to %q, want a refusal of the quarantined part", x.Outcome, x.Endpoint)
	}
	h.advance(3 * time.Second)
	if x = h.mustExplain(chatQuery()); x.Outcome != OutcomeRefuse {
		t.Errorf("%s, want a refusal as the configuration is too old", x.Outcome)
	}
}

// Guards against a leader that names an engine for a request that it would refuse or postpone.
func TestExplanationTellsOfBusyEngines(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.endpoints["llm-1"].schedule.Reserve(h.now, time.Second, 1)
	query := chatQuery()
	if x := h.mustExplain(query); x.Outcome != OutcomeRefuse || x.After < time.Second {
		t.Errorf("%s after %v, want a refusal for a second", x.Outcome, x.After)
	}
	query.Host, query.Path = "h", "/notes/1" // its objective leaves slack
	if x := h.mustExplain(query); x.Outcome != OutcomeWait {
		t.Errorf("%s, want a wait", x.Outcome)
	}
	h.core.endpoints["llm-1"].Holdings = nil
	h.core.endpoints["llm-1"].leaderHoldings = nil
	if x := h.mustExplain(chatQuery()); x.Outcome != OutcomeWait || x.Endpoint != "" {
		t.Errorf("%s to %q, want a wait for the model", x.Outcome, x.Endpoint)
	}
}
