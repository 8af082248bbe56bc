package gate

import (
	"time"

	"dogwoodfold/pkg/fault"
)

// RateOutcome is what a customer's rate limit decides.
type RateOutcome string

// Outcomes of rate limits.
const (
	// RateUnasked means that no customer was given.
	RateUnasked   RateOutcome = "no customer given"
	RateUnlimited RateOutcome = "no limit"
	RateGranted   RateOutcome = "granted"
	// RateWait means that the request waits for the leader's answer.
	RateWait   RateOutcome = "ask the leader"
	RateRefuse RateOutcome = "refuse"
)

// RateExplanation tells what a customer's rate limit would decide.
type RateExplanation struct {
	Outcome RateOutcome
	Detail  string
	// Cost is that of the request, Level what the bucket of the entry to which it comes holds
	// and WaitingCost what is claimed by requests that wait, in tokens.
	Cost        float64
	Level       float64
	WaitingCost float64
	// Pool is what the leader may grant, if PoolKnown, which it is at the leader.
	Pool      float64
	PoolKnown bool
	// RatePerSecond and Burst are the customer's, Share is the entry's standing share of them.
	RatePerSecond float64
	Burst         float64
	Share         float64
	RetryAfter    time.Duration
}

// explainRate returns what the rate limit of a call's customer would decide.
func (c *Core) explainRate(now time.Time, call *activeCall, query ExplainQuery) RateExplanation {
	if call.customer == nil {
		return RateExplanation{Outcome: RateUnasked}
	}
	out := RateExplanation{
		Outcome:       RateUnlimited,
		Cost:          call.cost,
		RatePerSecond: call.customer.Rate,
		Burst:         call.customer.Burst,
		Share:         c.standingShare(now),
	}
	if call.customer.Rate <= 0 {
		return out
	}
	waiting := 0
	if quota := c.quotas[call.customer.Name]; query.ForOther {
		out.Level = query.TokensHeld
	} else if quota != nil {
		bucket := quota.bucket // Level would change the original
		out.Level = bucket.Level(now)
		out.WaitingCost = quota.waitingCost()
		waiting = len(quota.waiting)
	}
	if c.isLeader(now) {
		if pool := c.leader.pools[call.customer.Name]; pool != nil {
			copied := *pool
			out.Pool = copied.Level(now)
		}
		out.PoolKnown = true
	}
	switch {
	case waiting == 0 && out.Cost <= out.Level:
		out.Outcome = RateGranted
	case !c.leaderReachable(now):
		out.Outcome = RateRefuse
		out.Detail = "no leader grants tokens"
		out.RetryAfter = c.leaderExpectedIn(now) + staleRetryAfter
	case waiting >= maxTokenWaiters || out.PoolKnown && out.WaitingCost+out.Cost > out.Level+out.Pool:
		out.Outcome = RateRefuse
		out.Detail = string(fault.CodeRate)
		seconds := (out.WaitingCost + out.Cost) / call.customer.Rate
		out.RetryAfter = time.Duration(seconds*float64(time.Second)) + shortRetryAfter
	case out.PoolKnown:
		out.Outcome = RateGranted
		out.Detail = "from the leader's pool"
	default:
		out.Outcome = RateWait
	}
	return out
}
