package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// censusTimeout is how long a new coordinator waits for the reports of the
	// previous view's members.
	censusTimeout = 500 * time.Millisecond
	// memberTimeout is how long a member may be silent before it is fenced.
	memberTimeout = 2 * time.Second
	// agentListLag is the longest delay until an agent appears on the
	// platform's list.
	agentListLag = 5 * time.Second
	// ackLifetime is how long an agent's acknowledgement counts, measured from
	// when the view was sent: the agent's process may end and be replaced by
	// one without a view.
	ackLifetime = 2 * time.Second
	// agentRemovalDelay is how long an agent must be off the platform's list
	// before it is considered removed. Until then recovery waits for its
	// acknowledgement, even if it can't be reached.
	agentRemovalDelay = time.Minute
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

// fencedShare is what was held by entries that the view with viewSequence and
// later ones exclude. It returns to the pool once no agent admits calls of its
// holders.
type fencedShare struct {
	viewSequence uint64
	parts        map[string]uint64
	// remainder marks everything that is held by no member, is not in the pool
	// and is part of no other fencedShare.
	remainder bool
}

// agentState is what the coordinator knows about an agent.
type agentState struct {
	incarnation   uint64
	connected     bool
	ackedTerm     uint64
	ackedSequence uint64
	viewSentAt    time.Time
	sentSequence  uint64
	// attempt counts the views sent to the agent. ackedSentAt is when the last
	// acknowledged view was sent.
	attempt     uint64
	ackedSentAt time.Time
	// delistedAt is when the agent left the platform's list, zero if it is
	// listed.
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
	// retired holds the incarnations that were members and were fenced. They
	// can't become members again, as grants to them may still be in flight.
	retired map[uint64]bool
	pool    map[string]*share
	// ownsRemainder reports whether everything that is not held by members or
	// fenced is in the pool; ownedCustomers are the customers for which it is.
	ownsRemainder  bool
	ownedCustomers map[string]bool
	// viewAppendDue requests that the view be appended to the log.
	viewAppendDue  bool
	viewAppendedAt time.Time
	lastBalanceAt  time.Time
	lastTickAt     time.Time
}

// newCoordinator begins a term. It counts the shares only of members that the
// last view before the claim lists.
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

// setLimits changes the customers' limits. A customer that is new in this term
// starts with a full bucket.
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

// addToPool adds parts to the pool, with their full tokens if withTokens is set
// and none otherwise.
func (c *Coordinator) addToPool(now time.Time, customer string, limit Limit, parts uint64, withTokens bool) {
	t := transfer{parts: parts}
	if withTokens {
		t.millitokens = uint64(tokenCapacity(limit, parts) * millitokensPerToken)
	}
	c.poolShare(now, customer).add(now, t)
}

func (c *Coordinator) poolShare(now time.Time, customer string) *share {
	s, known := c.pool[customer]
	if !known {
		s = newShare(now, c.limits[customer])
		c.pool[customer] = s
	}
	return s
}

// tick ends the census, fences silent members and recovers their shares. If the
// coordinator was itself paused, the members' timeouts start anew.
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

// endCensus begins the first view of the term, once all previous members have
// reported or censusTimeout has passed.
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

// changeView begins a new view, to be sent to the agents and appended to the
// log.
func (c *Coordinator) changeView() {
	c.viewSequence++
	c.viewAppendDue = true
}

// fenceMember removes a member from the view. Its shares are recovered later.
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

// recover moves fenced shares to the pool once no agent admits calls of their
// holders. They arrive without tokens, except for the remainder in the first
// term of an empty log.
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

// takeRemainder moves to the pool everything that no known holder has. The
// other fenced shares are still in c.fencedShares at this point; they count as
// held and are recovered later.
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

// viewInstalled reports whether the view that fenced a share is recorded in the
// log and enforced by every agent.
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

// handleRecordedView notes that a view was read back from the log.
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

// currentView returns the message that describes the current view.
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
