package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// censusTime is how long a new coordinator waits for reports.
	censusTime = 500 * time.Millisecond
	// fenceAfter is how long a member may be silent.
	fenceAfter = 2 * time.Second
	// listLag is how late the platform's list may name an agent.
	listLag = 5 * time.Second
	// ackLifetime is how long an agent's acknowledgement counts, from when it was
	// asked for: its process may end and another one start without a view.
	ackLifetime = 2 * time.Second
	// goneAfter is how long an agent that can't be reached must be off the
	// platform's list to be taken for gone.
	goneAfter = time.Minute
	// grantInterval is how often members hear from the coordinator.
	grantInterval = 500 * time.Millisecond
)

// member is an entry that the view lists.
type member struct {
	incarnation uint64
	heardAt     time.Time
	sequence    uint64
	answered    uint64
	ledgers     map[string]*ledger
	linked      bool
	leaving     bool
	// urgent says that a grant is to be sent at once.
	urgent bool
	toldAt time.Time
}

// fenced is what was held outside the view since a sequence. It returns to the
// pool once no agent admits its holders.
type fenced struct {
	sequence uint64
	parts    map[string]uint64
	// others stands for everything that no member, no pool and no other
	// fenced entry holds.
	others bool
}

// watched is an agent as the coordinator knows it.
type watched struct {
	incarnation uint64
	linked      bool
	term        uint64
	sequence    uint64
	sentAt      time.Time
	sentFor     uint64
	// attempt counts the sendings of views, ackedAt is when the last one that
	// was acknowledged was sent.
	attempt uint64
	ackedAt time.Time
	// delisted is when it left the list, zero if it has not.
	delisted time.Time
}

// Coordinator moves shares between the entries for one term.
type Coordinator struct {
	term    uint64
	fresh   bool
	claimed time.Time
	limits  map[string]Limit
	agents  map[string]*watched
	counted map[string]uint64

	census   bool
	sequence uint64
	recorded uint64
	members  map[string]*member
	fenced   []fenced
	// gone are the incarnations that were members. One of them never becomes
	// a member again, as grants to it may still be on their way.
	gone map[uint64]bool
	pool map[string]*share
	// owner says that everything outside the members is in the pool, owned
	// for which customers.
	owner bool
	owned map[string]bool
	// appendDue asks for the view to be appended to the log.
	appendDue bool
	appendAt  time.Time
	balanceAt time.Time
	tickedAt  time.Time
}

// newCoordinator begins a term. Only members that the last view before the
// claim lists are counted.
func newCoordinator(now time.Time, b *Book, agents map[string]*watched, limits map[string]Limit) *Coordinator {
	for _, a := range agents {
		a.term, a.sequence = 0, 0
		a.sentAt, a.ackedAt = time.Time{}, time.Time{}
	}
	return &Coordinator{
		term:    b.Term,
		fresh:   b.fresh,
		claimed: now,
		limits:  limits,
		agents:  agents,
		counted: b.counted,
		census:  true,
		members: make(map[string]*member),
		pool:    make(map[string]*share),
		owned:   make(map[string]bool),
		gone:    make(map[uint64]bool),
	}
}

// configure takes over the customers' limits. A customer that is new in this
// term starts with full buckets.
func (c *Coordinator) configure(now time.Time, limits map[string]Limit) {
	c.limits = limits
	for name, s := range c.pool {
		s.configure(now, limits[name])
	}
	if !c.owner {
		return
	}
	for name, limit := range limits {
		if !c.owned[name] {
			c.owned[name] = true
			c.fund(now, name, limit, Whole, true)
		}
	}
}

// fund adds parts to the pool, with tokens only if full is set.
func (c *Coordinator) fund(now time.Time, customer string, limit Limit, parts uint64, full bool) {
	a := amount{parts: parts}
	if full {
		a.millis = uint64(tokensOf(limit, parts) * milli)
	}
	c.poolOf(now, customer).add(now, a)
}

func (c *Coordinator) poolOf(now time.Time, customer string) *share {
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
	paused := now.Sub(c.tickedAt) > fenceAfter/2
	c.tickedAt = now
	if c.census {
		c.endCensus(now)
		return
	}
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[host]
		if paused {
			m.heardAt = now
		}
		if now.Sub(m.heardAt) > fenceAfter {
			c.fence(host)
		}
	}
	c.recover(now)
}

// endCensus begins the first view of the term.
func (c *Coordinator) endCensus(now time.Time) {
	missing := false
	for host, incarnation := range c.counted {
		m, known := c.members[host]
		missing = missing || !known || m.incarnation != incarnation
	}
	if missing && now.Sub(c.claimed) < censusTime {
		return
	}
	c.census = false
	c.fenced = []fenced{{
		sequence: c.sequence + 1,
		others:   true,
	}}
	c.changeView()
	c.recover(now)
}

// changeView begins a new view; it is sent to the agents and to the log.
func (c *Coordinator) changeView() {
	c.sequence++
	c.appendDue = true
}

// fence removes a member. What it held is recovered later.
func (c *Coordinator) fence(host string) {
	m := c.members[host]
	parts := make(map[string]uint64)
	for customer, l := range m.ledgers {
		parts[customer] = l.held()
	}
	delete(c.members, host)
	c.gone[m.incarnation] = true
	c.changeView()
	c.fenced = append(c.fenced, fenced{
		sequence: c.sequence,
		parts:    parts,
	})
}

// recover moves to the pool what no agent admits any more. It starts with
// empty buckets, but for the first coordinator of an empty log.
func (c *Coordinator) recover(now time.Time) {
	var kept []fenced
	for _, f := range c.fenced {
		if !c.installed(now, f) {
			kept = append(kept, f)
			continue
		}
		for customer, parts := range f.parts {
			c.fund(now, customer, c.limits[customer], parts, false)
		}
		if f.others {
			c.own(now)
		}
	}
	c.fenced = kept
}

// own takes over what nobody that is known holds. The other fenced entries are
// still listed and come later.
func (c *Coordinator) own(now time.Time) {
	c.owner = true
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
	for _, f := range c.fenced {
		for customer, parts := range f.parts {
			held[customer] += parts
		}
	}
	for customer, parts := range held {
		c.owned[customer] = true
		c.fund(now, customer, c.limits[customer], Whole-min(Whole, parts), c.fresh)
	}
}

// installed reports whether the view that a share was fenced by is recorded
// and in force at every agent.
func (c *Coordinator) installed(now time.Time, f fenced) bool {
	if c.recorded < f.sequence {
		return false
	}
	if c.fresh && f.others {
		return true // no agent can have an earlier view
	}
	if !c.fresh && now.Sub(c.claimed) < listLag {
		return false
	}
	for _, a := range c.agents {
		if a.term != c.term || a.sequence < f.sequence || now.Sub(a.ackedAt) > ackLifetime {
			return false
		}
	}
	return true
}

// recordedView notes that a view of this term was read in the log.
func (c *Coordinator) recordedView(now time.Time, v *viewRecord) {
	if v.Term == c.term {
		c.recorded = max(c.recorded, v.Sequence)
		c.recover(now)
	}
}

// acked notes which view an agent enforces.
func (c *Coordinator) acked(now time.Time, host string, ack *wirepb.ShareViewAck) {
	if a, known := c.agents[host]; known {
		a.term, a.sequence = ack.GetTerm(), ack.GetSequence()
		if ack.GetAttempt() == a.attempt {
			a.ackedAt = a.sentAt
		}
		c.recover(now)
	}
}

// view returns the view in force.
func (c *Coordinator) view() *wirepb.ShareView {
	v := &wirepb.ShareView{
		Term:     c.term,
		Sequence: c.sequence,
	}
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		v.Members = append(v.Members, &wirepb.ShareMember{
			Host:        host,
			Incarnation: c.members[host].incarnation,
		})
	}
	return v
}
