package quota

import (
	"maps"
	"slices"
	"time"
)

// censusTimeout is how long a new coordinator waits for the reports of the
// previous view's members.
const censusTimeout = 500 * time.Millisecond

// Coordinator moves shares between the entries for one term.
type Coordinator struct {
	term uint64
	// firstTerm reports whether no entry can have held shares in an earlier term.
	firstTerm bool
	claimedAt time.Time
	limits    map[string]Limit
	agents    map[string]*agentState
	// previousMembers maps the hosts in the last view before the term to their
	// incarnations.
	previousMembers map[string]uint64

	// inCensus is true at the start of the term, while the members of the previous
	// view report what they hold.
	inCensus bool
	// viewSequence numbers the current view, recordedSequence the newest view of the
	// term that was read back from the log.
	viewSequence     uint64
	recordedSequence uint64
	members          map[string]*member
	fencedShares     []fencedShare
	// retired holds the incarnations that were members and were fenced. They
	// can't become members again, as grants to them may still be in flight.
	retired map[uint64]bool
	// pool holds the shares, by customer, that no member holds.
	pool map[string]*share
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

// poolShare returns the pool's share of a customer's quota. It creates an empty
// one if there is none.
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
