package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newFollowerHarness returns a rig that follows a leader, front-2.
func newFollowerHarness(t *testing.T) *harness {
	h := newServingHarness(t)
	h.apply(LeaseRead{Record: leaseRecord("front-2", 7), Offset: 0, EndOffset: 1, Exists: true, SentAt: h.now})
	h.apply(LeaderConnected{Host: "front-2"})
	h.receiveState(&wirepb.GateState{})
	return h
}

// receiveState delivers a receiveState that answers the newest report.
func (h *harness) receiveState(state *wirepb.GateState) []Effect {
	state.Echo = h.core.follower.sequence
	return h.apply(StateReceived{Host: "front-2", State: state})
}

// Requests that arrive while the leader is asked are not refused for want of
// tokens that nobody has asked for yet: the pattern of many fronts with a small
// standing share each.
func TestWaitingRequestsAskForTokensAgain(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	h.arrive("/charge/2", "k1")
	quota := h.core.quotas["acme"]
	if len(quota.waiting) != 2 {
		t.Fatalf("%d wait, want 2", len(quota.waiting))
	}
	effects := h.receiveState(&wirepb.GateState{Grants: []*wirepb.GateTokens{{Customer: "acme", Amount: quota.requestedAmount}}})
	h.mustSend(effects)
	if _, refused := findEffect[Refuse](effects); refused {
		t.Fatal("a request was refused though the leader gave all that was asked for")
	}
	h.mustSend(h.receiveState(&wirepb.GateState{Grants: []*wirepb.GateTokens{{Customer: "acme", Amount: quota.requestedAmount}}}))
}

func TestRequestsOverRateGetRetryAfter(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	effects := h.receiveState(&wirepb.GateState{Grants: []*wirepb.GateTokens{{Customer: "acme"}}})
	h.wantNotRun(effects, fault.CodeRate)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < 50*time.Millisecond || after > 2*time.Second {
		t.Errorf("come back after %v", after)
	}
}

func TestTokenRequestTimesOut(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	h.advance(leaderReplyTimeout + time.Millisecond)
	// Nobody knows that the customer's rate is used up.
	h.wantNotRun(h.apply(Tick{}), fault.CodeNotReady)
}

func TestLateGrantsAreDiscarded(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	echo := h.core.follower.sequence
	h.advance(2 * time.Second)
	h.apply(StateReceived{Host: "front-2", State: &wirepb.GateState{
		Echo:   echo,
		Grants: []*wirepb.GateTokens{{Customer: "acme", Amount: 5000}},
	}})
	if level := h.core.quotas["acme"].bucket.Level(h.now); level > 0 {
		t.Errorf("%v tokens of an old grant", level)
	}
}

// The pattern: many entries and a customer with a low rate. Its standing shares
// would each take half a minute to gather one request's tokens, so the leader
// lends out the whole rate and entries gather nothing.
func TestLowRatesUseOnlyThePool(t *testing.T) {
	h := newLeaderHarness(t)
	acme := h.core.config.Customers["acme"] // 1,000 tokens a second
	lent := 0.0
	for range 40 {
		h.advance(250 * time.Millisecond)
		h.core.leader.renewedAt = h.now
		lent += h.core.leader.withdrawTokens(h.now, acme, 250)
	}
	if lent < 9_000 {
		t.Errorf("the leader lent %v tokens in 10 s, want about 10,000", lent)
	}
	h.core.follower.share, h.core.follower.shareUntil = 0.02, h.now.Add(time.Minute)
	quota := h.core.quota(h.now, acme)
	h.advance(10 * time.Second)
	if level := quota.bucket.Level(h.now); level > 0 {
		t.Errorf("a share of 20 tokens a second has gathered %v", level)
	}
}

func TestIdleTokensAreReturned(t *testing.T) {
	h := newFollowerHarness(t)
	quota := h.core.quota(h.now, h.core.config.Customers["acme"])
	quota.bucket.Add(h.now, 400, 1000)
	h.advance(time.Second)
	returned := 0.0
	for _, s := range h.core.takeSurplus(h.now) {
		returned += s.GetAmount()
	}
	if returned != 400 {
		t.Errorf("%v of 400 idle tokens go back", returned)
	}
}
