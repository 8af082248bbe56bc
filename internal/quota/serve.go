package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// grantHeadroom is the ratio of the tokens granted to those requested.
	grantHeadroom = 1.25
	// minGrantParts is the fewest parts that are granted in answer to a
	// request.
	minGrantParts = TotalParts / 100
	// recallHeadroom is the ratio of the tokens recalled to those missing, as
	// some are spent or lost to rounding before they arrive.
	recallHeadroom = 1.1
	// maxDenial is the longest time that an entry waits before it requests
	// tokens again.
	maxDenial = 200 * time.Millisecond
)

// serveRequests answers the members with pending calls, in order of host.
func (c *Coordinator) serveRequests(now time.Time) {
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[host]
		pending := false
		for customer, l := range m.ledgers {
			if l.shortfall <= 0 {
				continue
			}
			if c.serveRequest(now, customer, l) {
				m.grantDue = true
			} else {
				pending = true
			}
		}
		if !pending {
			m.answeredSequence = m.reportSequence
		}
	}
}

// serveRequest grants the tokens that a member lacks, or denies them. It
// returns false while the tokens are being recalled from other members.
func (c *Coordinator) serveRequest(now time.Time, customer string, l *ledger) bool {
	pool, limit := c.poolShare(now, customer), c.limits[customer]
	tokens := pool.bucket.Tokens(now)
	if tokens >= l.shortfall {
		l.addGrant(pool.remove(now, max(minGrantParts, partsForTokens(limit, l.shortfall*grantHeadroom)), true))
		l.shortfall = 0
		return true
	}
	missing := l.shortfall - tokens
	if c.recallTokens(now, customer, l, missing) {
		return false
	}
	l.addGrant(pool.remove(now, partsForTokens(limit, tokens), true))
	l.shortfall = 0
	l.deniedFor = maxDenial
	if limit.Rate > 0 {
		wait := time.Duration(missing / limit.Rate * float64(time.Second))
		l.deniedFor = min(maxDenial, max(time.Millisecond, wait))
	}
	return true
}

// recallTokens recalls the missing tokens from the members that hold the most.
// It returns false if these and the recalls already pending can't cover them.
func (c *Coordinator) recallTokens(now time.Time, customer string, requester *ledger, missing float64) bool {
	limit := c.limits[customer]
	var donors []*ledger
	recallable := 0.0
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[host]
		l, known := m.ledgers[customer]
		if !known || l == requester || m.unresponsive(now) {
			continue
		}
		recallable += min(tokenCapacity(limit, l.pendingRecall()), max(0, l.tokens))
		if l.shortfall == 0 && l.pendingRecall() == 0 {
			donors = append(donors, l)
			recallable += max(0, l.estimateTokens(now, limit))
		}
	}
	if recallable < missing {
		return false
	}
	missing = missing*recallHeadroom + 1
	slices.SortStableFunc(donors, func(a, b *ledger) int {
		return cmp.Compare(b.estimateTokens(now, limit), a.estimateTokens(now, limit))
	})
	for _, l := range donors {
		if missing <= 0 {
			break
		}
		recalled := min(missing, l.estimateTokens(now, limit))
		l.recall(partsForTokens(limit, recalled), true)
		missing -= recalled
	}
	c.expediteRecalls(customer)
	return true
}

// expediteRecalls causes a customer's pending recalls to be sent at once.
func (c *Coordinator) expediteRecalls(customer string) {
	for _, m := range c.members {
		if l, known := m.ledgers[customer]; known && l.pendingRecall() > 0 {
			m.grantDue = true
		}
	}
}
