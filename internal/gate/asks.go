package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// heldTokens are the tokens of a call that waits for more.
type heldTokens struct {
	// reserved were taken from the entry's bucket, need is what the call lacks beyond them.
	reserved float64
	need     float64
	// granted is true once the leader has granted what the call lacks.
	granted bool
}

// tokenAsks is the state of an entry's asks to a leader that decides by request.
type tokenAsks struct {
	// number is that of the last ask, calls are the calls in it while it is outstanding,
	// needs what each of them lacked.
	number uint64
	calls  []*activeCall
	needs  []float64
	// grants are tokens that may be used only later.
	grants []laterGrant
	// wakeAt is when the earliest Tick that was scheduled for them comes.
	wakeAt time.Time
	// released are tokens that calls had reserved and didn't use.
	released float64
	// Until refusedUntil, the leader grants nothing to requests that lack refusedNeed or
	// more. Their clients may expect tokens after retryAfter.
	refusedUntil time.Time
	refusedNeed  float64
	retryAfter   time.Duration
}

// laterGrant is a number of tokens that may be used from a point in time on, by call if it
// still waits.
type laterGrant struct {
	at     time.Time
	amount float64
	call   *activeCall
}

// refuses reports whether the leader is known to refuse a request that lacks need tokens.
func (a *tokenAsks) refuses(now time.Time, need float64) bool {
	return now.Before(a.refusedUntil) && need >= a.refusedNeed
}

// decidesByRequest reports whether the leader decides for each request whether it gets
// tokens.
func (c *Core) decidesByRequest(now time.Time) bool {
	return c.isLeader(now) || c.follower.decidesByRequest
}

// releaseTokens makes a call give up the tokens that it has reserved.
func (q *customerQuota) releaseTokens(call *activeCall) {
	q.asks.released += call.tokens.reserved
	call.tokens = heldTokens{}
}

// reclaim returns released tokens to the bucket.
func (q *customerQuota) reclaim(now time.Time) {
	if q.asks.released > 0 {
		q.bucket.Add(now, q.asks.released, math.Inf(1))
		q.asks.released = 0
	}
}

// removeWaiting removes a call from those that wait.
func (q *customerQuota) removeWaiting(call *activeCall) {
	q.releaseTokens(call)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *activeCall) bool { return other == call })
}

// takeUngranted removes the waiting calls that have been granted no tokens, and returns them.
func (q *customerQuota) takeUngranted() []*activeCall {
	var ungranted, granted []*activeCall
	for _, call := range q.waiting {
		if call.tokens.granted {
			granted = append(granted, call)
		} else {
			ungranted = append(ungranted, call)
		}
	}
	q.waiting = granted
	return ungranted
}

// askForWaiting asks the leader for the tokens that each waiting call lacks, the cheapest
// first. Those that the entry's own tokens suffice for are dispatched.
func (c *Core) askForWaiting(now time.Time, quota *customerQuota) {
	quota.reclaim(now)
	quota.decayUsage(now)
	waiting := quota.takeUngranted()
	slices.SortStableFunc(waiting, func(a, b *activeCall) int { return cmp.Compare(a.cost, b.cost) })
	ask := &wirepb.GateTokenAsk{Customer: quota.customer.Name}
	var calls []*activeCall
	for _, call := range waiting {
		call.tokens.reserved += quota.bucket.TakeUpTo(now, call.cost-call.tokens.reserved)
		call.tokens.need = call.cost - call.tokens.reserved
		if call.tokens.need <= 0 {
			c.dispatchPaid(now, call)
			continue
		}
		calls = append(calls, call)
		ask.Needs = append(ask.Needs, call.tokens.need)
		ask.MaxWaitsUs = append(ask.MaxWaitsUs, uint64(call.maxTokenWait(now).Microseconds()))
	}
	quota.waiting = append(quota.waiting, calls...)
	if len(calls) == 0 {
		return
	}
	quota.asks.number++
	quota.asks.calls = calls
	quota.asks.needs = ask.GetNeeds()
	quota.requestedAt = now
	ask.Number = quota.asks.number
	if prefetch := quota.usage * prefetchHorizon.Seconds(); prefetch >= calls[0].cost {
		// Less than that would lie idle here while others lack it.
		ask.Prefetch = prefetch
	}
	if c.isLeader(now) {
		c.applyTokenAnswer(now, c.leader.answerTokenAsk(now, quota.customer, ask))
		return
	}
	c.follower.tokenAsks = append(c.follower.tokenAsks, ask)
	c.sendReport(now)
}

// maxTokenWait returns how long a call may wait for tokens: half of its objective, counted
// from its arrival.
func (ac *activeCall) maxTokenWait(now time.Time) time.Duration {
	half := time.Duration(float64(ac.route.LatencyObjective) * parkObjectiveFraction)
	return max(0, ac.request.ArrivedAt.Add(half).Sub(now))
}

// dispatchPaid dispatches a call whose tokens are all reserved or granted.
func (c *Core) dispatchPaid(now time.Time, call *activeCall) {
	call.tokens = heldTokens{}
	call.paid = true
	c.dispatch(now, call)
}

// applyTokenAnswer applies the leader's decisions on the calls that wait for tokens.
func (c *Core) applyTokenAnswer(now time.Time, answer *wirepb.GateTokenAnswer) {
	quota := c.quotas[answer.GetCustomer()]
	if quota == nil {
		return
	}
	quota.bucket.Add(now, answer.GetPrefetched(), math.Inf(1))
	c.countGranted(quota, answer.GetAmount()+answer.GetPrefetched())
	asks := &quota.asks
	if quota.requestedAt.IsZero() || answer.GetNumber() != asks.number || len(answer.GetDecisions()) != len(asks.calls) {
		// The calls have been refused in the meantime. Others may use the tokens.
		asks.grants = append(asks.grants, laterGrant{
			at:     now.Add(longestWait(answer)),
			amount: answer.GetAmount(),
		})
		return
	}
	calls, needs := asks.calls, asks.needs
	asks.calls, asks.needs = nil, nil
	quota.requestedAt = time.Time{}
	if answer.GetLeastRefused() > 0 {
		asks.refusedUntil = now.Add(wirepb.Microseconds(answer.GetAskAgainUs()))
		asks.refusedNeed = answer.GetLeastRefused()
	}
	for i, decision := range answer.GetDecisions() {
		call := calls[i]
		after := wirepb.Microseconds(decision.GetAfterUs())
		switch {
		case decision.GetGranted():
			call.tokens.granted = c.calls[call.id] == call
			asks.grants = append(asks.grants, laterGrant{
				at:     now.Add(after),
				amount: needs[i],
				call:   call,
			})
		case c.calls[call.id] == call:
			asks.retryAfter = after
			c.refuseForRate(now, call, after)
		}
	}
	quota.reclaim(now)
	c.useGrantedTokens(now, quota)
	if slices.ContainsFunc(quota.waiting, func(call *activeCall) bool { return !call.tokens.granted }) {
		c.requestTokens(now, quota)
	}
}

// longestWait returns the longest time after which tokens of an answer may be used.
func longestWait(answer *wirepb.GateTokenAnswer) time.Duration {
	longest := time.Duration(0)
	for _, decision := range answer.GetDecisions() {
		if decision.GetGranted() {
			longest = max(longest, wirepb.Microseconds(decision.GetAfterUs()))
		}
	}
	return longest
}

// useGrantedTokens dispatches the calls whose granted tokens may be used by now. Tokens of
// calls that have ended go to the bucket.
func (c *Core) useGrantedTokens(now time.Time, quota *customerQuota) {
	asks := &quota.asks
	if len(asks.grants) == 0 {
		return
	}
	grants := asks.grants
	asks.grants = nil
	var due []laterGrant
	next := time.Time{}
	for _, grant := range grants {
		if !now.Before(grant.at) {
			due = append(due, grant)
			continue
		}
		asks.grants = append(asks.grants, grant)
		if next.IsZero() || grant.at.Before(next) {
			next = grant.at
		}
	}
	for _, grant := range due {
		call := grant.call
		if call == nil || !slices.Contains(quota.waiting, call) {
			quota.bucket.Add(now, grant.amount, math.Inf(1))
			continue
		}
		quota.waiting = slices.DeleteFunc(quota.waiting, func(other *activeCall) bool { return other == call })
		c.dispatchPaid(now, call)
	}
	if !next.IsZero() && (!asks.wakeAt.After(now) || next.Before(asks.wakeAt)) {
		asks.wakeAt = next
		c.emit(ScheduleTick{After: next.Sub(now)})
	}
}
