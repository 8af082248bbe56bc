package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// censusTimeout is how long a new coordinator waits for reports.
	censusTimeout = 500 * time.Millisecond
	// memberTimeout is how long a member may be silent.
	memberTimeout = 2 * time.Second
	// agentListLag is how late the platform's list may name an agent.
	agentListLag = 5 * time.Second
	// ackLifetime is how long an agent's acknowledgement counts, from when it was
	// asked for: its process may end and another one start without a view.
	ackLifetime = 2 * time.Second
	// agentRemovalDelay is how long an agent that can't be reached must be off the
	// platform's list to be taken for gone.
	agentRemovalDelay = time.Minute
	// grantInterval is how often members hear from the coordinator.
	grantInterval = 500 * time.Millisecond
)

// member is an entry that the view lists.
type member struct {
	incarnation      uint64
	lastHeardAt      time.Time
	reportSequence   uint64
	answeredSequence uint64
	ledgers          map[string]*ledger
	connected        bool
	leaving          bool
	// grantDue says that a grant is to be sent at once.
	grantDue    bool
	lastGrantAt time.Time
}

// fencedShare is what was held outside the view since a sequence. It returns to the
// pool once no agent admits its holders.
type fencedShare struct {
	viewSequence uint64
	parts        map[string]uint64
	// remainder stands for everything that no member, no pool and no other
	// fenced entry holds.
	remainder bool
}

// agentState is an agent as the coordinator knows it.
type agentState struct {
	incarnation   uint64
	connected     bool
	ackedTerm     uint64
	ackedSequence uint64
	viewSentAt    time.Time
	sentSequence  uint64
	// attempt counts the sendings of views, ackedAt is when the last one that
	// was acknowledged was sent.
	attempt     uint64
	ackedSentAt time.Time
	// delistedAt is when it left the list, zero if it has not.
	delistedAt time.Time
}

// Coordinator moves shares between the entries for one term.
type Coordinator struct {
	term            uint64
	firstTerm       bool
	claimedAt       time.Time
	limits          map[string]Limit
	agents          map[string]*agentState
	previousMembers map[string]uint64

	inCensus         bool
	viewSequence     uint64
	recordedSequence uint64
	members          map[string]*member
	fencedShares     []fencedShare
	// retired are the incarnations that were members. One of them never becomes
	// a member again, as grants to it may still be on their way.
	retired map[uint64]bool
	pool    map[string]*share
	// ownsRemainder says that everything outside the members is in the pool, owned
	// for which customers.
	ownsRemainder  bool
	ownedCustomers map[string]bool
	// viewAppendDue asks for the view to be appended to the log.
	viewAppendDue  bool
	viewAppendedAt time.Time
	lastBalanceAt  time.Time
	lastTickAt     time.Time
}

// newCoordinator begins a term. Only members that the last view before the
// claim lists are counted.
func newCoordinator(now time.Time, log *LogState, agents map[string]*agentState, limits map[string]Limit) *Coordinator {
	for _, a := range agents {
		a.ackedTerm, a.ackedSequence = 0, 0
		a.viewSentAt, a.ackedSentAt = time.Time{}, time.Time{}
	}
	return &Coordinator{
		term:            log.Term,
		firstTerm:       log.firstTerm,
		claimedAt:       now,
		limits:          limits,
		agents:          agents,
		previousMembers: log.previousMembers,
		inCensus:        true,
		members:         make(map[string]*member),
		pool:            make(map[string]*share),
		ownedCustomers:  make(map[string]bool),
		retired:         make(map[uint64]bool),
	}
}

// setLimits takes over the customers' limits. A customer that is new in this
// term starts with full buckets.
func (c *Coordinator) setLimits(now time.Time, limits map[string]Limit) {
	c.limits = limits
	for name, s := range c.pool {
		s.setLimit(now, limits[name])
	}
	if !c.ownsRemainder {
		return
	}
	for name, limit := range limits {
		if !c.ownedCustomers[name] {
			c.ownedCustomers[name] = true
			c.addToPool(now, name, limit, TotalParts, true)
		}
	}
}

// addToPool adds parts to the pool, with tokens only if full is set.
func (c *Coordinator) addToPool(now time.Time, customer string, limit Limit, parts uint64, withTokens bool) {
	a := transfer{parts: parts}
	if withTokens {
		a.millitokens = uint64(tokenCapacity(limit, parts) * millitokensPerToken)
	}
	c.poolShare(now, customer).add(now, a)
}

func (c *Coordinator) poolShare(now time.Time, customer string) *share {
	s, known := c.pool[customer]
	if !known {
		s = newShare(now, c.limits[customer])
		c.pool[customer] = s
	}
	return s
}

// tick ends the census, fences silent members and takes back their shares. A
// coordinator that was paused itself gives the members time to speak.
func (c *Coordinator) tick(now time.Time) {
	paused := now.Sub(c.lastTickAt) > memberTimeout/2
	c.lastTickAt = now
	if c.inCensus {
		c.endCensus(now)
		return
	}
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[host]
		if paused {
			m.lastHeardAt = now
		}
		if now.Sub(m.lastHeardAt) > memberTimeout {
			c.fenceMember(host)
		}
	}
	c.recover(now)
}

// endCensus begins the first view of the term.
func (c *Coordinator) endCensus(now time.Time) {
	missing := false
	for host, incarnation := range c.previousMembers {
		m, known := c.members[host]
		missing = missing || !known || m.incarnation != incarnation
	}
	if missing && now.Sub(c.claimedAt) < censusTimeout {
		return
	}
	c.inCensus = false
	c.fencedShares = []fencedShare{{
		viewSequence: c.viewSequence + 1,
		remainder:    true,
	}}
	c.changeView()
	c.recover(now)
}

// changeView begins a new view; it is sent to the agents and to the log.
func (c *Coordinator) changeView() {
	c.viewSequence++
	c.viewAppendDue = true
}

// fenceMember removes a member. What it held is recovered later.
func (c *Coordinator) fenceMember(host string) {
	m := c.members[host]
	parts := make(map[string]uint64)
	for customer, l := range m.ledgers {
		parts[customer] = l.held()
	}
	delete(c.members, host)
	c.retired[m.incarnation] = true
	c.changeView()
	c.fencedShares = append(c.fencedShares, fencedShare{
		viewSequence: c.viewSequence,
		parts:        parts,
	})
}

// recover moves to the pool what no agent admits any more. It starts with
// empty buckets, but for the first coordinator of an empty log.
func (c *Coordinator) recover(now time.Time) {
	var remaining []fencedShare
	for _, f := range c.fencedShares {
		if !c.viewInstalled(now, f) {
			remaining = append(remaining, f)
			continue
		}
		for customer, parts := range f.parts {
			c.addToPool(now, customer, c.limits[customer], parts, false)
		}
		if f.remainder {
			c.takeRemainder(now)
		}
	}
	c.fencedShares = remaining
}

// takeRemainder takes over what nobody that is known holds. The other fenced entries are
// still listed and come later.
func (c *Coordinator) takeRemainder(now time.Time) {
	c.ownsRemainder = true
	held := make(map[string]uint64)
	for customer := range c.limits {
		held[customer] = 0
	}
	for customer, s := range c.pool {
		held[customer] += s.parts
	}
	for _, m := range c.members {
		for customer, l := range m.ledgers {
			held[customer] += l.held()
		}
	}
	for _, f := range c.fencedShares {
		for customer, parts := range f.parts {
			held[customer] += parts
		}
	}
	for customer, parts := range held {
		c.ownedCustomers[customer] = true
		c.addToPool(now, customer, c.limits[customer], TotalParts-min(TotalParts, parts), c.firstTerm)
	}
}

// viewInstalled reports whether the view that a share was fenced by is recorded
// and in force at every agent.
func (c *Coordinator) viewInstalled(now time.Time, f fencedShare) bool {
	if c.recordedSequence < f.viewSequence {
		return false
	}
	if c.firstTerm && f.remainder {
		return true // no agent can have an earlier view
	}
	if !c.firstTerm && now.Sub(c.claimedAt) < agentListLag {
		return false
	}
	for _, a := range c.agents {
		if a.ackedTerm != c.term || a.ackedSequence < f.viewSequence || now.Sub(a.ackedSentAt) > ackLifetime {
			return false
		}
	}
	return true
}

// handleRecordedView notes that a view of this term was read in the log.
func (c *Coordinator) handleRecordedView(now time.Time, v *viewRecord) {
	if v.Term == c.term {
		c.recordedSequence = max(c.recordedSequence, v.Sequence)
		c.recover(now)
	}
}

// handleAck notes which view an agent enforces.
func (c *Coordinator) handleAck(now time.Time, host string, ack *wirepb.ShareViewAck) {
	if a, known := c.agents[host]; known {
		a.ackedTerm, a.ackedSequence = ack.GetTerm(), ack.GetSequence()
		if ack.GetAttempt() == a.attempt {
			a.ackedSentAt = a.viewSentAt
		}
		c.recover(now)
	}
}

// currentView returns the currentView in force.
func (c *Coordinator) currentView() *wirepb.ShareView {
	v := &wirepb.ShareView{
		Term:     c.term,
		Sequence: c.viewSequence,
	}
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		v.Members = append(v.Members, &wirepb.ShareMember{
			Host:        host,
			Incarnation: c.members[host].incarnation,
		})
	}
	return v
}
