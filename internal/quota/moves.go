package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// balanceInterval is how often shares are rebalanced towards the demand.
	balanceInterval = time.Second
	// poolFraction of a customer's quota stays in the coordinator's pool, for
	// entries that are about to refuse calls.
	poolFraction = 0.1
	// evenFraction of the rest is distributed evenly, whatever the demand is.
	evenFraction = 0.2
	// rebalanceThreshold is the smallest relative change of a share that
	// rebalancing makes.
	rebalanceThreshold = 0.15
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
	// recallSilenceLimit is how long a member may be silent before tokens are no
	// longer recalled from it.
	recallSilenceLimit = 750 * time.Millisecond
)

// reportStatus is the result of handling an entry's report.
type reportStatus int

const (
	// reportAccepted means that the report was applied.
	reportAccepted reportStatus = iota
	// reportNeedsFull means that a full report is needed first.
	reportNeedsFull
	// reportDeferred means that the report is not considered before the census
	// has ended.
	reportDeferred
	// reportFenced means that the reported shares are not counted.
	reportFenced
)

// handleReport applies an entry's report, if the entry is or can become a
// member.
func (c *Coordinator) handleReport(now time.Time, host string, r *wirepb.ShareReport) reportStatus {
	m, known := c.members[host]
	if known && m.incarnation == r.GetIncarnation() {
		c.updateMember(now, m, r)
		return reportAccepted
	}
	if c.inCensus && c.previousMembers[host] != r.GetIncarnation() {
		return reportDeferred
	}
	if !r.GetFull() {
		return reportNeedsFull
	}
	if c.inCensus {
		c.addMember(now, host, r)
		c.endCensus(now)
		return reportAccepted
	}
	if holdsShares(r) || c.retired[r.GetIncarnation()] {
		return reportFenced
	}
	if known {
		c.fenceMember(host)
	}
	c.addMember(now, host, r)
	c.changeView()
	return reportAccepted
}

// holdsShares reports whether an entry already held shares or was granted some.
func holdsShares(r *wirepb.ShareReport) bool {
	return slices.ContainsFunc(r.GetHoldings(), func(h *wirepb.ShareHolding) bool {
		return h.GetBaseParts() > 0 || h.GetGrantedParts() > 0
	})
}

// addMember makes an incarnation a member with the shares that it reports.
func (c *Coordinator) addMember(now time.Time, host string, r *wirepb.ShareReport) {
	m := &member{
		incarnation: r.GetIncarnation(),
		connected:   true,
		ledgers:     make(map[string]*ledger),
	}
	for _, h := range r.GetHoldings() {
		m.ledgers[h.GetCustomer()] = &ledger{baseParts: h.GetBaseParts()}
	}
	c.members[host] = m
	c.updateMember(now, m, r)
	if !c.inCensus {
		c.lastBalanceAt = time.Time{} // rebalance at the next tick
	}
}

// updateMember applies the totals of a member's report.
func (c *Coordinator) updateMember(now time.Time, m *member, r *wirepb.ShareReport) {
	if r.GetSequence() <= m.reportSequence {
		return
	}
	m.reportSequence = r.GetSequence()
	m.lastHeardAt = now
	for _, l := range m.ledgers {
		l.shortfall = 0
	}
	for _, h := range r.GetHoldings() {
		l, known := m.ledgers[h.GetCustomer()]
		if !known {
			l = &ledger{}
			m.ledgers[h.GetCustomer()] = l
		}
		if returned := l.update(now, h); returned.parts > 0 {
			c.poolShare(now, h.GetCustomer()).add(now, returned)
		}
	}
	m.leaving = r.GetLeaving()
	c.serveRequests(now)
}

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

// rebalance moves shares towards the demand.
func (c *Coordinator) rebalance(now time.Time) {
	if now.Sub(c.lastBalanceAt) < balanceInterval {
		return
	}
	c.lastBalanceAt = now
	for customer := range c.pool {
		c.rebalanceCustomer(now, customer)
	}
}

func (c *Coordinator) rebalanceCustomer(now time.Time, customer string) {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		if !c.members[host].leaving {
			hosts = append(hosts, host)
		}
	}
	totalDemand, parts := 0.0, float64(c.pool[customer].parts)
	for _, host := range hosts {
		l := c.members[host].ledger(customer)
		totalDemand += l.demand
		parts += float64(l.held())
	}
	distributable := parts * (1 - poolFraction)
	for _, host := range hosts {
		l := c.members[host].ledger(customer)
		target := distributable / float64(len(hosts))
		if totalDemand > 0 {
			target = target*evenFraction + distributable*(1-evenFraction)*l.demand/totalDemand
		}
		if c.adjustShare(now, customer, l, target) {
			c.members[host].grantDue = true
		}
	}
}

// adjustShare moves one member's share towards a target. It reports whether the
// member must be sent a grant.
func (c *Coordinator) adjustShare(now time.Time, customer string, l *ledger, target float64) bool {
	current := float64(l.retained())
	if math.Abs(target-current) < rebalanceThreshold*max(target, current) {
		return false
	}
	if target < current {
		l.recall(uint64(current-target), false)
		return true
	}
	pool := c.pool[customer]
	available := float64(pool.parts) - poolFraction*TotalParts/2
	if available <= 0 {
		return false
	}
	l.addGrant(pool.remove(now, uint64(min(available, target-current)), false))
	return true
}

// unresponsive reports whether a member is not expected to answer a recall.
func (m *member) unresponsive(now time.Time) bool {
	return !m.connected || now.Sub(m.lastHeardAt) > recallSilenceLimit
}

func (m *member) ledger(customer string) *ledger {
	l, known := m.ledgers[customer]
	if !known {
		l = &ledger{}
		m.ledgers[customer] = l
	}
	return l
}

// dueGrant returns the grant to send to a member, nil if none is due.
func (c *Coordinator) dueGrant(now time.Time, m *member) *wirepb.ShareGrant {
	if !m.grantDue && now.Sub(m.lastGrantAt) < grantInterval {
		return nil
	}
	m.grantDue, m.lastGrantAt = false, now
	g := &wirepb.ShareGrant{
		Term:        c.term,
		Incarnation: m.incarnation,
		Answered:    m.answeredSequence,
	}
	for _, customer := range slices.Sorted(maps.Keys(m.ledgers)) {
		if l := m.ledgers[customer]; l.hasPending() {
			g.Moves = append(g.Moves, l.shareMove(customer))
		}
	}
	return g
}
