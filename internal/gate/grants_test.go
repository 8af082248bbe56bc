package gate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newAskingHarness returns a harness that follows a leader which decides by request.
func newAskingHarness(t *testing.T) *harness {
	h := newFollowerHarness(t)
	h.receiveState(&wirepb.GateState{DecidesByRequest: true})
	return h
}

// answer delivers the leader's decisions on the outstanding ask.
func (h *harness) answer(decisions ...*wirepb.GateTokenDecision) []Effect {
	asks := &h.core.quotas["acme"].asks
	a := &wirepb.GateTokenAnswer{Customer: "acme", Number: asks.number, Decisions: decisions}
	for i, d := range decisions {
		if d.GetGranted() {
			a.Amount += asks.needs[i]
		}
	}
	return h.receiveState(&wirepb.GateState{DecidesByRequest: true, TokenAnswers: []*wirepb.GateTokenAnswer{a}})
}

// The leader grants one of two requests. Failure: the other one keeps a part of the tokens, or
// is refused without the time after which tokens can be expected.
func TestRequestsGetAllTokensOrNone(t *testing.T) {
	h := newAskingHarness(t)
	h.arrive("/charge/1", "k1")
	effects := h.answer(&wirepb.GateTokenDecision{Granted: true})
	h.mustSend(effects)
	h.arrive("/charge/2", "k1")
	effects = h.answer(&wirepb.GateTokenDecision{AfterUs: 2_000_000})
	h.wantNotRun(effects, fault.CodeRate)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < time.Second || after > 3*time.Second {
		t.Errorf("retry after %v, want 2 s, jittered by half", after)
	}
	if level := h.core.quotas["acme"].bucket.Level(h.now); level != 0 {
		t.Errorf("%v tokens are left at the entry, want none", level)
	}
}

// Tokens that are granted for later must not be used before, or the pool is spent twice.
func TestTokensGrantedForLaterAreUsedLater(t *testing.T) {
	h := newAskingHarness(t)
	h.arrive("/charge/1", "k1")
	effects := h.answer(&wirepb.GateTokenDecision{Granted: true, AfterUs: 40_000})
	if _, sent := findEffect[Send](effects); sent {
		t.Fatal("the request was sent before its tokens may be used")
	}
	if tick, scheduled := findEffect[ScheduleTick](effects); !scheduled || tick.After != 40*time.Millisecond {
		t.Errorf("no Tick is scheduled for the tokens")
	}
	h.advance(39 * time.Millisecond)
	if _, sent := findEffect[Send](h.apply(Tick{})); sent {
		t.Fatal("the request was sent before its tokens may be used")
	}
	h.advance(time.Millisecond)
	h.mustSend(h.apply(Tick{}))
}

// A client leaves while its request waits, or the answer comes after the wait has ended.
// The tokens must go to the entry's bucket, once.
func TestTokensOfEndedRequestsStayAtTheEntry(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newAskingHarness(t)
		call, _ := h.arrive("/charge/1", "k1")
		asks := &h.core.quotas["acme"].asks
		state := &wirepb.GateState{
			DecidesByRequest: true,
			TokenAnswers: []*wirepb.GateTokenAnswer{{
				Customer: "acme", Number: asks.number, Amount: 100,
				Decisions: []*wirepb.GateTokenDecision{{Granted: true}},
			}},
		}
		if late {
			h.advance(leaderReplyTimeout + time.Millisecond)
			h.wantNotRun(h.apply(Tick{}), fault.CodeNotReady)
		} else {
			h.apply(ClientDisconnected{Call: call})
		}
		h.receiveState(state)
		h.apply(Tick{})
		if level := h.core.quotas["acme"].bucket.Level(h.now); level != 100 {
			t.Errorf("late %v: %v tokens at the entry, want 100", late, level)
		}
	}
}

// During a rolling upgrade a leader of an older release is asked for amounts, and an entry of
// an older release is granted them.
func TestAmountsAreAskedOfOlderLeaders(t *testing.T) {
	h := newFollowerHarness(t)
	_, effects := h.arrive("/charge/1", "k1")
	report, ok := findEffect[SendReport](effects)
	if !ok || len(report.Report.GetAsks()) != 1 || len(report.Report.GetTokenAsks()) != 0 {
		t.Errorf("reported %v, want an ask for an amount", report.Report)
	}
	l := newLeaderHarness(t)
	l.apply(PeerConnected{Host: "front-2"})
	l.advance(time.Second)
	effects = l.receiveReport(&wirepb.GateReport{
		Sequence: 1,
		Asks:     []*wirepb.GateTokens{{Customer: "acme", Amount: 100}},
	})
	state, _ := findEffect[SendState](effects)
	if grants := state.State.GetGrants(); len(grants) != 1 || grants[0].GetAmount() != 100 {
		t.Errorf("granted %v, want 100 tokens", grants)
	}
}

// While a customer asks for more than its rate, refused requests must not make their entry
// ask again for each further one.
func TestEntryRefusesUntilAskingIsOfUse(t *testing.T) {
	h := newAskingHarness(t)
	h.arrive("/charge/1", "k1")
	h.receiveState(&wirepb.GateState{DecidesByRequest: true, TokenAnswers: []*wirepb.GateTokenAnswer{{
		Customer: "acme", Number: 1, Decisions: []*wirepb.GateTokenDecision{{AfterUs: 500_000}},
		AskAgainUs: 20_000, LeastRefused: 100,
	}}})
	_, effects := h.arrive("/charge/2", "k1")
	h.wantNotRun(effects, fault.CodeRate)
	h.advance(21 * time.Millisecond)
	if _, effects = h.arrive("/charge/3", "k1"); len(h.core.quotas["acme"].asks.calls) != 1 {
		t.Errorf("the entry does not ask again: %+v", effects)
	}
}

// TestGrantsKeepToTheBucket asks for tokens at random. What may be used by any time must not
// exceed the burst and what the rate has brought, but for what cheap requests get before the
// ones that wait.
func TestGrantsKeepToTheBucket(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		customer := &topo.Customer{Name: "acme", Rate: rapid.Float64Range(1000, 200_000).Draw(rt, "rate")}
		customer.Burst = customer.Rate
		l := &leader{
			allotment:   rate.NewAllotment(standingFraction, 4*time.Second, nil),
			pools:       make(map[string]*rate.Bucket),
			contentions: make(map[string]*contention),
		}
		l.updatePools(start, &topo.Config{Customers: map[string]*topo.Customer{"acme": customer}})
		now := start
		granted := 0.0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * time.Millisecond)
			ask := &wirepb.GateTokenAsk{
				Needs:      []float64{rapid.Float64Range(1, 5000).Draw(rt, "need")},
				MaxWaitsUs: []uint64{uint64(rapid.IntRange(0, 400_000).Draw(rt, "wait"))},
				Prefetch:   rapid.Float64Range(0, 2000).Draw(rt, "prefetch"),
			}
			answer := l.answerTokenAsk(now, customer, ask)
			granted += answer.GetAmount() + answer.GetPrefetched()
			after := wirepb.Microseconds(answer.GetDecisions()[0].GetAfterUs())
			if after > maxGrantWait && answer.GetDecisions()[0].GetGranted() {
				rt.Fatalf("granted for %v later, want at most %v", after, maxGrantWait)
			}
			oversize := max(0, 5000-customer.Burst)
			limit := customer.Rate*(now.Sub(start)+maxGrantWait).Seconds() + oversize
			if granted > limit+1 {
				rt.Fatalf("granted %.0f by %v, want at most %.0f", granted, now.Sub(start), limit)
			}
		}
	})
}

// Requests for 200 and 2,000 tokens ask for a multiple of the rate, also each kind alone. Neither kind
// may keep the other from being served.
func TestNeitherCheapNorCostlyRequestsAreStarved(t *testing.T) {
	for _, perSecond := range []float64{2_700, 20_000, 130_000} {
		customer := &topo.Customer{Name: "acme", Rate: perSecond, Burst: perSecond}
		l := &leader{
			allotment:   rate.NewAllotment(standingFraction, 4*time.Second, nil),
			pools:       make(map[string]*rate.Bucket),
			contentions: make(map[string]*contention),
		}
		l.updatePools(start, &topo.Config{Customers: map[string]*topo.Customer{"acme": customer}})
		used := map[float64]float64{}
		const seconds = 20
		step := time.Duration(200 / (3 * perSecond) * float64(time.Second))
		for at := time.Duration(0); at < seconds*time.Second; at += step {
			for i, need := range []float64{200, 2000} {
				if i == 1 && int64(at/step)%10 != 0 {
					continue // each kind asks for three times the rate
				}
				answer := l.answerTokenAsk(start.Add(at), customer, &wirepb.GateTokenAsk{
					Needs: []float64{need}, MaxWaitsUs: []uint64{250_000},
				})
				used[need] += answer.GetAmount()
			}
		}
		for need, tokens := range used {
			if fraction := tokens / perSecond / seconds; fraction < 0.2 {
				t.Errorf("rate %v: requests for %v tokens got %.2f of it, want 0.2", perSecond, need, fraction)
			}
		}
	}
}
