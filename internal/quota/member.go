package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// memberTimeout is how long a member may be silent before it is fenced.
	memberTimeout = 2 * time.Second
	// recallSilenceLimit is how long a member may be silent before tokens are no
	// longer recalled from it.
	recallSilenceLimit = 750 * time.Millisecond
	// grantInterval is how often the coordinator sends grants to members.
	grantInterval = 500 * time.Millisecond
)

// member is an entry that the current view lists.
type member struct {
	incarnation      uint64
	lastHeardAt      time.Time
	reportSequence   uint64
	answeredSequence uint64
	ledgers          map[string]*ledger
	connected        bool
	leaving          bool
	// grantDue requests that a grant be sent at once.
	grantDue    bool
	lastGrantAt time.Time
}

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
		if returned := m.ledger(h.GetCustomer()).update(now, h); returned.parts > 0 {
			c.poolShare(now, h.GetCustomer()).add(now, returned)
		}
	}
	m.leaving = r.GetLeaving()
	c.serveRequests(now)
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

// unresponsive reports whether a member is not expected to answer a recall.
func (m *member) unresponsive(now time.Time) bool {
	return !m.connected || now.Sub(m.lastHeardAt) > recallSilenceLimit
}

// ledger returns the member's ledger for a customer. It creates an empty one if
// there is none.
func (m *member) ledger(customer string) *ledger {
	l, known := m.ledgers[customer]
	if !known {
		l = &ledger{}
		m.ledgers[customer] = l
	}
	return l
}
