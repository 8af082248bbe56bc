package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newFollowerHarness returns a serving harness that follows a leader, front-2.
func newFollowerHarness(t *testing.T) *harness {
	h := newServingHarness(t)
	h.apply(LeaseRead{Read: lease.Read{Record: leaseRecord("front-2", 7), Offset: 0, End: 1, Exists: true}, SentAt: h.now})
	h.apply(LeaderConnected{Host: "front-2"})
	h.receiveState(&wirepb.GateState{})
	return h
}

// receiveState delivers a state that answers the latest report.
func (h *harness) receiveState(state *wirepb.GateState) []Effect {
	state.Echo = h.core.follower.sequence
	return h.apply(StateReceived{Host: "front-2", State: state})
}

// Requests that arrive while a token request is outstanding must not be refused
// for lack of tokens that have not been requested yet. This happens with many
// entries that each have a small standing share.
func TestWaitingRequestsAskForTokensAgain(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	h.arrive("/charge/2", "k1")
	quota := h.core.quotas["acme"]
	if len(quota.waiting) != 2 {
		t.Fatalf("%d requests wait for tokens, want 2", len(quota.waiting))
	}
	effects := h.receiveState(&wirepb.GateState{Grants: []*wirepb.GateTokens{{Customer: "acme", Amount: quota.requestedAmount}}})
	h.mustSend(effects)
	if _, refused := findEffect[Refuse](effects); refused {
		t.Fatal("a request was refused though the leader granted the requested amount")
	}
	h.mustSend(h.receiveState(&wirepb.GateState{Grants: []*wirepb.GateTokens{{Customer: "acme", Amount: quota.requestedAmount}}}))
}

func TestRequestsOverRateGetRetryAfter(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	effects := h.receiveState(&wirepb.GateState{Grants: []*wirepb.GateTokens{{Customer: "acme"}}})
	h.wantNotRun(effects, fault.CodeRate)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < 50*time.Millisecond || after > 2*time.Second {
		t.Errorf("retry after %v, want 50ms to 2s", after)
	}
}

func TestTokenRequestTimesOut(t *testing.T) {
	h := newFollowerHarness(t)
	h.arrive("/charge/1", "k1")
	h.advance(leaderReplyTimeout + time.Millisecond)
	// It is not known whether the customer's rate is used up, so the code must
	// not say so.
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
		t.Errorf("%v tokens from a late grant, want none", level)
	}
}

// With many entries and a customer with a low rate, each standing share would
// take half a minute to accumulate the tokens for one request. The leader must
// grant from the whole rate instead, and entries must accumulate nothing.
func TestLowRatesUseOnlyThePool(t *testing.T) {
	h := newLeaderHarness(t)
	acme := h.core.config.Customers["acme"] // 1,000 tokens a second
	granted := 0.0
	for range 40 {
		h.advance(250 * time.Millisecond)
		h.core.leader.renewedAt = h.now
		granted += h.core.leader.withdrawTokens(h.now, acme, 250)
	}
	if granted < 9_000 {
		t.Errorf("the leader granted %v tokens in 10 s, want about 10,000", granted)
	}
	h.core.follower.share, h.core.follower.shareUntil = 0.02, h.now.Add(time.Minute)
	quota := h.core.quota(h.now, acme)
	h.advance(10 * time.Second)
	if level := quota.bucket.Level(h.now); level > 0 {
		t.Errorf("a share of 20 tokens per second accumulated %v, want none", level)
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
		t.Errorf("%v of 400 idle tokens were returned", returned)
	}
}

// Pattern: the leader is lost, and only it grants tokens of customers with low rates. Their
// requests are refused at once, not as over their rate, and told to come back when another
// leader can be there, not before.
func TestRequestsWithoutLeaderAreToldWhenOneIsExpected(t *testing.T) {
	h := newFollowerHarness(t)
	h.follow(10 * time.Second)
	h.advance(2 * time.Second)
	h.apply(ConfigRead{SentAt: h.now})
	_, effects := h.arrive("/charge/1", "k1")
	h.wantNotRun(effects, fault.CodeNotReady)
	free := h.core.lease.TermEnd().Sub(h.now)
	after := fault.RetryAfterOf(h.mustRefuse(effects))
	if free < time.Second || after < free || after > free+2*staleRetryAfter {
		t.Errorf("retry after %v, want it soon after the %v until another leader can be there", after, free)
	}
}
