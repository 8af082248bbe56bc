package gate

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// standingFraction is the part of every customer's rate that lies with the
	// entries; the leader lends out the rest on demand.
	standingFraction = 0.5
	// standingBurstFraction is the part of a standing share's burst that an entry may
	// gather, requestRoom the tokens beyond it, enough for a long request.
	standingBurstFraction = 0.5
	requestBurst          = 3000
	// minStandingRate is the least standing share of a customer's rate, in tokens a
	// second, that is of use: a smaller one gathers a request's tokens too slowly,
	// so the leader lends out the whole rate.
	minStandingRate = 1500
	// poolBurstFraction is the part of the burst that the leader's pool may hold, tokens
	// that others gave back included.
	poolBurstFraction = 0.75
	// leaderReplyTimeout is how long requests wait for tokens of the leader.
	leaderReplyTimeout = 150 * time.Millisecond
	// prefetchHorizon is how far ahead of its use an entry asks for tokens.
	prefetchHorizon = 300 * time.Millisecond
	// retainHorizon is how much of its use an entry keeps when it gives tokens back.
	retainHorizon = time.Second
	// usageTimeConstant is the time constant of the average of a customer's use.
	usageTimeConstant = 2 * time.Second
	// minReturn is the fewest tokens worth giving back.
	minReturn = 100
	// maxTokenWaiters bounds the requests of a customer that wait for tokens.
	maxTokenWaiters = 64
)

// customerQuota is an entry's right to spend one customer's tokens.
type customerQuota struct {
	customer *topo.Customer
	bucket   rate.Bucket
	// usage is the tokens that requests ask for a second.
	usage   float64
	usageAt time.Time
	waiting []*activeCall
	// requestedAt is when the leader was requestedAt and for how much, zero if it was not.
	requestedAt     time.Time
	requestedAmount float64
}

func (quota *customerQuota) addUsage(now time.Time, cost float64) {
	quota.decayUsage(now)
	quota.usage += cost / usageTimeConstant.Seconds()
}

func (quota *customerQuota) decayUsage(now time.Time) {
	if !quota.usageAt.IsZero() {
		quota.usage *= math.Exp(-now.Sub(quota.usageAt).Seconds() / usageTimeConstant.Seconds())
	}
	quota.usageAt = now
}

// waitingCost returns the tokens that waiting requests need.
func (quota *customerQuota) waitingCost() float64 {
	sum := 0.0
	for _, call := range quota.waiting {
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

// quota returns the quota of a customer.
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

// updateQuotas takes a new configuration or a new standing share.
func (c *Core) updateQuotas(now time.Time) {
	if c.config == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		quota := c.quotas[name]
		if customer := c.config.Customers[name]; customer != nil {
			quota.customer = customer
		}
		c.updateQuota(now, quota)
	}
	if c.leader != nil {
		c.leader.updatePools(now, c.config)
	}
}

// usesStandingShare reports whether a standing share of a customer's rate is of use.
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
	// What was lent beyond the standing share stays, within the burst.
	lent := min(quota.bucket.Level(now), quota.customer.Burst*standingBurstFraction)
	quota.bucket.Set(now, share*quota.customer.Rate, max(capacity, lent))
}

// chargeCall takes a call's tokens and sends it on its way.
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
	if !c.leaderReachable(now) || len(quota.waiting) >= maxTokenWaiters {
		c.refuseOverRate(now, call, quota)
		return
	}
	quota.waiting = append(quota.waiting, call)
	c.requestTokens(now, quota)
}

// tryCharge takes a call's tokens and sends it on its way, if the wallet holds them.
func (c *Core) tryCharge(now time.Time, quota *customerQuota, call *activeCall) bool {
	if !quota.bucket.Take(now, call.cost) {
		return false
	}
	call.paid = true
	c.dispatch(now, call)
	return true
}

// refuseOverRate refuses a call that its customer's rate doesn't cover.
func (c *Core) refuseOverRate(now time.Time, call *activeCall, quota *customerQuota) {
	retryAfter := time.Duration((quota.waitingCost() + call.cost) / call.customer.Rate * float64(time.Second))
	c.refuse(now, call, fault.NotRun, fault.CodeRate, "the customer's rate is used up", c.jitter(retryAfter+shortRetryAfter))
}

// requestTokens asks the leader for tokens, unless an answer is due.
func (c *Core) requestTokens(now time.Time, quota *customerQuota) {
	if !quota.requestedAt.IsZero() {
		return
	}
	quota.decayUsage(now)
	amount := quota.waitingCost() - quota.bucket.Level(now) + quota.usage*prefetchHorizon.Seconds()
	if amount <= 0 {
		return
	}
	quota.requestedAt = now
	quota.requestedAmount = amount
	if c.isLeader(now) {
		c.handleGrant(now, quota, c.leader.withdrawTokens(now, quota.customer, amount))
		return
	}
	c.follower.tokenRequests = append(c.follower.tokenRequests, &wirepb.GateTokens{
		Customer: quota.customer.Name,
		Amount:   amount,
	})
	c.sendReport(now)
}

// handleGrant takes what the leader has lent. If that is less than what was asked
// for, calls that it doesn't cover are over the customer's rate; otherwise they
// came after the leader was asked.
func (c *Core) handleGrant(now time.Time, quota *customerQuota, amount float64) {
	partial := amount < quota.requestedAmount*fullGrantRatio
	quota.requestedAt = time.Time{}
	quota.bucket.Add(now, amount, math.Inf(1))
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

// fullGrantRatio allows for rounding in what the leader gives.
const fullGrantRatio = 0.999

// refund gives back the tokens of a call that did not run.
func (c *Core) refund(now time.Time, call *activeCall) {
	if !call.paid {
		return
	}
	call.paid = false
	if quota := c.callQuota(call); quota != nil {
		quota.bucket.Add(now, call.cost, math.Inf(1))
	}
}

// expireQuotas ends waits for tokens that the leader doesn't answer and drops
// standing shares whose proof has lapsed.
func (c *Core) expireQuotas(now time.Time) {
	if lapsed := now.After(c.follower.shareUntil); lapsed && c.follower.share > 0 {
		c.follower.share = 0
		c.logChange("standing share lapsed", "", "", now.Sub(c.follower.shareUntil))
		c.updateQuotas(now)
	}
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		quota := c.quotas[name]
		if !quota.requestedAt.IsZero() && now.Sub(quota.requestedAt) > leaderReplyTimeout {
			c.refuseUnanswered(now, quota)
		}
	}
}

// refuseUnanswered refuses the calls that wait for a leader that doesn't answer. They
// may well be within their customer's rate.
func (c *Core) refuseUnanswered(now time.Time, quota *customerQuota) {
	quota.requestedAt = time.Time{}
	waiting := quota.waiting
	quota.waiting = nil
	for _, call := range waiting {
		if c.tryCharge(now, quota, call) {
			continue
		}
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the leader did not answer", c.jitter(staleRetryAfter))
	}
}

// takeSurplus takes the tokens that an entry doesn't need soon out of its wallets.
func (c *Core) takeSurplus(now time.Time) []*wirepb.GateTokens {
	var out []*wirepb.GateTokens
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		quota := c.quotas[name]
		quota.decayUsage(now)
		extra := quota.bucket.Level(now) - quota.usage*retainHorizon.Seconds()
		if len(quota.waiting) > 0 || extra < minReturn {
			continue
		}
		out = append(out, &wirepb.GateTokens{
			Customer: name,
			Amount:   quota.bucket.TakeUpTo(now, extra),
		})
	}
	return out
}
