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
	// balanceInterval is how often shares are moved towards the demand.
	balanceInterval = time.Second
	// poolFraction of a customer's right stays with the coordinator, to answer
	// entries that are about to refuse.
	poolFraction = 0.1
	// evenFraction of the rest is spread evenly, whatever the demand is.
	evenFraction = 0.2
	// rebalanceThreshold of a share is the least that balancing moves.
	rebalanceThreshold = 0.15
	// grantHeadroom is what a grant adds to what was asked for.
	grantHeadroom = 1.25
	// minGrantParts is the least number of parts that an answer moves.
	minGrantParts = TotalParts / 100
	// recallHeadroom is how much more than what is missing is recalled, as some of
	// it is spent or rounded away on its way.
	recallHeadroom = 1.1
	// maxDenial bounds how long an entry does not ask again.
	maxDenial = 200 * time.Millisecond
	// recallSilenceLimit is how long a member may be silent to be asked for tokens.
	recallSilenceLimit = 750 * time.Millisecond
)

// reportStatus is what the coordinator makes of an entry's report.
type reportStatus int

const (
	// reportAccepted means that the report was taken over.
	reportAccepted reportStatus = iota
	// reportNeedsFull means that a full report is needed first.
	reportNeedsFull
	// reportDeferred means that it is decided after the census.
	reportDeferred
	// reportFenced means that the shares reported are not counted.
	reportFenced
)

// handleReport takes over an entry's report.
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

// holdsShares reports whether an entry brings shares along.
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
		c.lastBalanceAt = time.Time{} // at once
	}
}

// updateMember takes over the totals of a member's report.
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

// serveRequests answers the members whose calls wait for tokens, in order of host.
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

// serveRequest grants what a member lacks, or denies it. It returns false if the
// tokens are still on their way back from other members.
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

// recallTokens recalls tokens from the members that have the most. It returns false
// if they don't have enough and nothing is on its way.
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

// expediteRecalls has the recalls of a customer's shares sent at once.
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
// member has to be told.
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

// unresponsive reports whether a member can't be expected to answer a recall.
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

// dueGrant returns what is to be told to a member, nil if nothing is due.
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
