package gate

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// standingFraction is the fraction of every customer's rate that is divided
	// among the entries as standing shares; the leader grants the rest on
	// demand.
	standingFraction = 0.5
	// standingBurstFraction is the fraction of its share of the burst that an
	// entry may accumulate, requestBurst the number of tokens beyond that,
	// enough for a long request.
	standingBurstFraction = 0.5
	requestBurst          = 3000
	// minStandingRate is the smallest useful standing share of a customer's
	// rate, in tokens per second. A smaller one accumulates the tokens for a
	// request too slowly, so the leader grants from the whole rate instead.
	minStandingRate = 1500
	// leaderReplyTimeout is how long requests wait for the leader to grant
	// tokens or to assign an engine.
	leaderReplyTimeout = 150 * time.Millisecond
	// leaderSilence is the time without a message from the leader from which it counts as
	// lost, for what clients are told.
	leaderSilence = 2 * reportInterval
	// prefetchHorizon is the time for which an entry asks for tokens in
	// advance, at its current usage.
	prefetchHorizon = 300 * time.Millisecond
	// retainHorizon is the time for which an entry retains tokens, at its
	// current usage, when it returns the rest.
	retainHorizon = time.Second
	// usageTimeConstant is the time constant of the moving average of a
	// customer's usage.
	usageTimeConstant = 2 * time.Second
	// minReturn is the smallest number of tokens worth returning.
	minReturn = 100
	// maxTokenWaiters limits the number of a customer's requests that wait for
	// tokens.
	maxTokenWaiters = 64
	// excessMemory is the time without a refused request after which a customer is logged
	// to be within its rate again.
	excessMemory = 2 * time.Second
)

// customerQuota is an entry's token bucket for one customer.
type customerQuota struct {
	customer *topo.Customer
	bucket   rate.Bucket
	// usage is the moving average of the tokens per second that requests ask
	// for.
	usage   float64
	usageAt time.Time
	waiting []*activeCall
	// requestedAt is when tokens were requested from the leader, zero if no
	// request is outstanding; requestedAmount is how many.
	requestedAt     time.Time
	requestedAmount float64
	asks            tokenAsks
	excess          excess
}

// excess is the state of a customer that asks for more than its rate.
type excess struct {
	// since is when the first request was refused, zero if none was lately, last when the
	// last one was. refused counts them.
	since   time.Time
	last    time.Time
	refused int
}

func (q *customerQuota) addUsage(now time.Time, cost float64) {
	q.decayUsage(now)
	q.usage += cost / usageTimeConstant.Seconds()
}

func (q *customerQuota) decayUsage(now time.Time) {
	if !q.usageAt.IsZero() {
		q.usage *= math.Exp(-now.Sub(q.usageAt).Seconds() / usageTimeConstant.Seconds())
	}
	q.usageAt = now
}

// waitingCost returns the number of tokens that waiting requests need.
func (q *customerQuota) waitingCost() float64 {
	sum := 0.0
	for _, call := range q.waiting {
		sum += call.cost
	}
	return sum
}

func (c *Core) callQuota(call *activeCall) *customerQuota {
	if call.customer == nil {
		return nil
	}
	return c.quotas[call.customer.Name]
}

// quota returns the quota of a customer, creating or updating it if necessary.
func (c *Core) quota(now time.Time, customer *topo.Customer) *customerQuota {
	quota := c.quotas[customer.Name]
	if quota == nil {
		quota = &customerQuota{}
		c.quotas[customer.Name] = quota
	}
	if quota.customer != customer {
		quota.customer = customer
		c.updateQuota(now, quota)
	}
	return quota
}

// updateQuotas applies a new configuration or standing share to all quotas and,
// if this entry leads, to the pools.
func (c *Core) updateQuotas(now time.Time) {
	if c.config == nil {
		return
	}
	share := c.standingShare(now)
	for name, customer := range c.config.Customers {
		// A standing share fills also where the customer sends nothing, so that its tokens
		// are returned to the pool.
		if c.quotas[name] == nil && usesStandingShare(share, customer) {
			c.quotas[name] = &customerQuota{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		quota := c.quotas[name]
		if customer := c.config.Customers[name]; customer != nil {
			quota.customer = customer
		}
		if quota.customer != nil {
			c.updateQuota(now, quota)
		}
	}
	if c.leader != nil {
		c.leader.updatePools(now, c.config)
	}
}

// usesStandingShare reports whether a standing share of a customer's rate is
// large enough to be useful.
func usesStandingShare(share float64, customer *topo.Customer) bool {
	return share*customer.Rate >= minStandingRate
}

func (c *Core) updateQuota(now time.Time, quota *customerQuota) {
	share := c.standingShare(now)
	if !usesStandingShare(share, quota.customer) {
		share = 0
	}
	capacity := 0.0
	if share > 0 {
		capacity = share*standingBurstFraction*quota.customer.Burst + min(requestBurst, quota.customer.Burst*standingBurstFraction)
	}
	// Tokens granted beyond the standing share are kept, up to a fraction of
	// the burst.
	granted := min(quota.bucket.Level(now), quota.customer.Burst*standingBurstFraction)
	quota.bucket.Set(now, share*quota.customer.Rate, max(capacity, granted))
}

// chargeCall charges a call's tokens and dispatches the call. If the quota does
// not cover it, the call waits for tokens from the leader or is refused.
func (c *Core) chargeCall(now time.Time, call *activeCall) {
	if call.customer == nil || call.customer.Rate <= 0 {
		c.dispatch(now, call)
		return
	}
	quota := c.quota(now, call.customer)
	quota.addUsage(now, call.cost)
	if len(quota.waiting) == 0 && c.tryCharge(now, quota, call) {
		return
	}
	if !c.leaderReachable(now) {
		c.refuseWithoutLeader(now, call, "no leader grants tokens")
		return
	}
	refused := c.decidesByRequest(now) && quota.asks.refuses(now, call.cost-quota.bucket.Level(now))
	if refused || len(quota.waiting) >= maxTokenWaiters {
		c.refuseOverRate(now, call, quota)
		return
	}
	quota.waiting = append(quota.waiting, call)
	c.requestTokens(now, quota)
}

// tryCharge charges a call's tokens and dispatches the call if the quota covers
// it, and reports whether it did.
func (c *Core) tryCharge(now time.Time, quota *customerQuota, call *activeCall) bool {
	if !quota.bucket.Take(now, call.cost) {
		return false
	}
	call.paid = true
	c.dispatch(now, call)
	return true
}

// refuseOverRate refuses a call that exceeds its customer's rate.
func (c *Core) refuseOverRate(now time.Time, call *activeCall, quota *customerQuota) {
	retryAfter := time.Duration((quota.waitingCost()+call.cost)/call.customer.Rate*float64(time.Second)) + shortRetryAfter
	if c.decidesByRequest(now) && now.Before(quota.asks.refusedUntil) {
		retryAfter = quota.asks.retryAfter
	}
	c.refuseForRate(now, call, retryAfter)
}

// refuseForRate refuses a call that exceeds its customer's rate. Tokens are expected for it
// after the given time.
func (c *Core) refuseForRate(now time.Time, call *activeCall, retryAfter time.Duration) {
	if quota := c.callQuota(call); quota != nil {
		c.recordExcess(now, quota)
	}
	c.refuse(now, call, fault.NotRun, fault.CodeRate, "the customer's rate is used up", c.jitter(retryAfter))
}

// recordExcess counts a request that was refused since its customer's rate is used up.
func (c *Core) recordExcess(now time.Time, quota *customerQuota) {
	name := quota.customer.Name
	c.emit(CountTokens{
		Customer: name,
		Refused:  1,
	})
	if quota.excess.since.IsZero() {
		quota.excess.since = now
		c.logChange("customer exceeds its rate", name, "", 0)
	}
	quota.excess.last = now
	quota.excess.refused++
}

// endExcess notes that no request of a customer has been refused for some time.
func (c *Core) endExcess(now time.Time, quota *customerQuota) {
	e := quota.excess
	if e.since.IsZero() || now.Sub(e.last) < excessMemory {
		return
	}
	quota.excess = excess{}
	detail := strconv.Itoa(e.refused) + " requests refused within " + e.last.Sub(e.since).String()
	c.logChange("customer is within its rate again", quota.customer.Name, detail, now.Sub(e.last))
}

// requestTokens asks the leader for tokens, unless a request is outstanding.
func (c *Core) requestTokens(now time.Time, quota *customerQuota) {
	if !quota.requestedAt.IsZero() {
		return
	}
	if c.decidesByRequest(now) {
		c.askForWaiting(now, quota)
		return
	}
	quota.decayUsage(now)
	amount := quota.waitingCost() - quota.bucket.Level(now) + quota.usage*prefetchHorizon.Seconds()
	if amount <= 0 {
		return
	}
	quota.requestedAt = now
	quota.requestedAmount = amount
	c.follower.tokenRequests = append(c.follower.tokenRequests, &wirepb.GateTokens{
		Customer: quota.customer.Name,
		Amount:   amount,
	})
	c.sendReport(now)
}

// handleGrant adds granted tokens and charges the waiting calls. If the grant
// is smaller than requested, the calls that it does not cover exceed the
// customer's rate. Otherwise they arrived after the request, and more tokens
// are requested for them.
func (c *Core) handleGrant(now time.Time, quota *customerQuota, amount float64) {
	partial := amount < quota.requestedAmount*fullGrantRatio
	quota.requestedAt = time.Time{}
	quota.bucket.Add(now, amount, math.Inf(1))
	c.countGranted(quota, amount)
	waiting := quota.waiting
	quota.waiting = nil
	for i, call := range waiting {
		if c.tryCharge(now, quota, call) {
			continue
		}
		if !partial {
			quota.waiting = waiting[i:]
			c.requestTokens(now, quota)
			return
		}
		c.refuseOverRate(now, call, quota)
	}
}

func (c *Core) countGranted(quota *customerQuota, amount float64) {
	if amount > 0 {
		c.emit(CountTokens{
			Customer: quota.customer.Name,
			Granted:  amount,
		})
	}
}

// fullGrantRatio is the fraction of the requested amount from which a grant
// counts as complete. It allows for rounding.
const fullGrantRatio = 0.999

// refund returns the tokens of a call that did not run to the quota.
func (c *Core) refund(now time.Time, call *activeCall) {
	if !call.paid {
		return
	}
	call.paid = false
	if quota := c.callQuota(call); quota != nil {
		quota.bucket.Add(now, call.cost, math.Inf(1))
	}
}

// expireQuotas drops an expired standing share and ends waits for tokens that
// the leader did not grant in time.
func (c *Core) expireQuotas(now time.Time) {
	if expired := now.After(c.follower.shareUntil); expired && c.follower.share > 0 {
		c.follower.share = 0
		c.logChange("standing share expired", "", "", now.Sub(c.follower.shareUntil))
		c.updateQuotas(now)
	}
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		quota := c.quotas[name]
		c.useGrantedTokens(now, quota)
		c.endExcess(now, quota)
		if !quota.requestedAt.IsZero() && now.Sub(quota.requestedAt) > leaderReplyTimeout {
			c.refuseUnanswered(now, quota)
		}
	}
}

// refuseUnanswered refuses the calls that wait for tokens after the leader did
// not answer. They are not refused as exceeding the rate, because they may be
// within it.
func (c *Core) refuseUnanswered(now time.Time, quota *customerQuota) {
	quota.requestedAt = time.Time{}
	quota.asks.calls = nil
	waiting := quota.takeUngranted()
	for _, call := range waiting {
		quota.releaseTokens(call)
	}
	quota.reclaim(now)
	for _, call := range waiting {
		if c.tryCharge(now, quota, call) {
			continue
		}
		c.refuseWithoutLeader(now, call, "the leader did not answer")
	}
}

// refuseWithoutLeader refuses a call that only a leader could admit. Its client is told to
// come back when a leader is expected, after the requests that come back just then.
func (c *Core) refuseWithoutLeader(now time.Time, call *activeCall, message string) {
	c.refuse(now, call, fault.NotRun, fault.CodeNotReady, message, c.leaderExpectedIn(now)+c.jitter(staleRetryAfter))
}

// leaderExpectedIn returns the time until another leader can be expected, 0 if the leader
// was heard of only just now.
func (c *Core) leaderExpectedIn(now time.Time) time.Duration {
	if now.Sub(c.follower.lastHeard) < leaderSilence {
		return 0
	}
	return max(c.lease.TermEnd().Sub(now), 0)
}

// returnOwnSurplus returns the surplus tokens of the leader's own quotas to its pools.
func (c *Core) returnOwnSurplus(now time.Time) {
	if !c.isLeader(now) || now.Sub(c.follower.returnedAt) < reportInterval {
		return
	}
	c.follower.returnedAt = now
	for _, surplus := range c.takeSurplus(now) {
		if customer := c.customer(surplus.GetCustomer()); customer != nil {
			c.leader.returnTokens(now, customer, surplus.GetAmount())
		}
	}
}

// takeSurplus removes the tokens that the entry will not need soon from its
// quotas and returns them.
func (c *Core) takeSurplus(now time.Time) []*wirepb.GateTokens {
	var out []*wirepb.GateTokens
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		quota := c.quotas[name]
		quota.reclaim(now)
		quota.decayUsage(now)
		surplus := quota.bucket.Level(now) - quota.usage*retainHorizon.Seconds()
		if len(quota.waiting) > 0 || surplus < minReturn {
			continue
		}
		out = append(out, &wirepb.GateTokens{
			Customer: name,
			Amount:   quota.bucket.TakeUpTo(now, surplus),
		})
	}
	return out
}
