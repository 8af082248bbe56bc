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
	// slackFraction of a share is the least that balancing moves.
	slackFraction = 0.15
	// askSpare is what a grant adds to what was asked for.
	askSpare = 1.25
	// gatherSpare is how much more than what is missing is recalled, as some of
	// it is spent or rounded away on its way.
	gatherSpare = 1.1
	// longestDenial bounds how long an entry does not ask again.
	longestDenial = 200 * time.Millisecond
	// silentAfter is how long a member may be silent to be asked for tokens.
	silentAfter = 750 * time.Millisecond
)

// standing is what the coordinator makes of an entry's report.
type standing int

const (
	// standingMember means that the report was taken over.
	standingMember standing = iota
	// standingUnknown means that a full report is needed first.
	standingUnknown
	// standingLater means that it is decided after the census.
	standingLater
	// standingFenced means that the shares reported are not counted.
	standingFenced
)

// reported takes over an entry's report.
func (c *Coordinator) reported(now time.Time, host string, r *wirepb.ShareReport) standing {
	m, known := c.members[host]
	if known && m.incarnation == r.GetIncarnation() {
		c.update(now, m, r)
		return standingMember
	}
	if c.census && c.counted[host] != r.GetIncarnation() {
		return standingLater
	}
	if !r.GetFull() {
		return standingUnknown
	}
	if c.census {
		c.join(now, host, r)
		c.endCensus(now)
		return standingMember
	}
	if holdsAny(r) || c.gone[r.GetIncarnation()] {
		return standingFenced
	}
	if known {
		c.fence(host)
	}
	c.join(now, host, r)
	c.changeView()
	return standingMember
}

// holdsAny reports whether an entry brings shares along.
func holdsAny(r *wirepb.ShareReport) bool {
	return slices.ContainsFunc(r.GetHoldings(), func(h *wirepb.ShareHolding) bool {
		return h.GetBaseParts() > 0 || h.GetGrantedParts() > 0
	})
}

// join makes an incarnation a member with the shares that it reports.
func (c *Coordinator) join(now time.Time, host string, r *wirepb.ShareReport) {
	m := &member{
		incarnation: r.GetIncarnation(),
		linked:      true,
		ledgers:     make(map[string]*ledger),
	}
	for _, h := range r.GetHoldings() {
		m.ledgers[h.GetCustomer()] = &ledger{base: h.GetBaseParts()}
	}
	c.members[host] = m
	c.update(now, m, r)
	if !c.census {
		c.balanceAt = time.Time{} // at once
	}
}

// update takes over the totals of a member's report.
func (c *Coordinator) update(now time.Time, m *member, r *wirepb.ShareReport) {
	if r.GetSequence() <= m.sequence {
		return
	}
	m.sequence = r.GetSequence()
	m.heardAt = now
	for _, l := range m.ledgers {
		l.need = 0
	}
	for _, h := range r.GetHoldings() {
		l, known := m.ledgers[h.GetCustomer()]
		if !known {
			l = &ledger{}
			m.ledgers[h.GetCustomer()] = l
		}
		if back := l.reported(now, h); back.parts > 0 {
			c.poolOf(now, h.GetCustomer()).add(now, back)
		}
	}
	m.leaving = r.GetLeaving()
	c.serve(now)
}

// serve answers the members whose calls wait for tokens, in order of host.
func (c *Coordinator) serve(now time.Time) {
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[host]
		waits := false
		for customer, l := range m.ledgers {
			if l.need <= 0 {
				continue
			}
			if c.serveOne(now, customer, l) {
				m.urgent = true
			} else {
				waits = true
			}
		}
		if !waits {
			m.answered = m.sequence
		}
	}
}

// serveOne grants what a member lacks, or denies it. It returns false if the
// tokens are still on their way back from other members.
func (c *Coordinator) serveOne(now time.Time, customer string, l *ledger) bool {
	pool, limit := c.poolOf(now, customer), c.limits[customer]
	tokens := pool.bucket.Tokens(now)
	if tokens >= l.need {
		l.grant(pool.split(now, partsOf(limit, l.need*askSpare), true))
		l.need = 0
		return true
	}
	missing := l.need - tokens
	if c.gather(now, customer, l, missing) {
		return false
	}
	l.grant(pool.split(now, partsOf(limit, tokens), true))
	l.need = 0
	l.denied = longestDenial
	if limit.Rate > 0 {
		wait := time.Duration(missing / limit.Rate * float64(time.Second))
		l.denied = min(longestDenial, max(time.Millisecond, wait))
	}
	return true
}

// gather recalls tokens from the members that have the most. It returns false
// if they don't have enough and nothing is on its way.
func (c *Coordinator) gather(now time.Time, customer string, asker *ledger, missing float64) bool {
	limit := c.limits[customer]
	var givers []*ledger
	total := 0.0
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		m := c.members[host]
		l, known := m.ledgers[customer]
		if !known || l == asker || m.silent(now) {
			continue
		}
		total += min(tokensOf(limit, l.recalling()), max(0, l.tokens))
		if l.need == 0 && l.recalling() == 0 {
			givers = append(givers, l)
			total += max(0, l.estimate(now, limit))
		}
	}
	if total < missing {
		return false
	}
	missing = missing*gatherSpare + 1
	slices.SortStableFunc(givers, func(a, b *ledger) int {
		return cmp.Compare(b.estimate(now, limit), a.estimate(now, limit))
	})
	for _, l := range givers {
		if missing <= 0 {
			break
		}
		part := min(missing, l.estimate(now, limit))
		l.recall(partsOf(limit, part), true)
		missing -= part
	}
	c.hurry(customer)
	return true
}

// hurry has the recalls of a customer's shares sent at once.
func (c *Coordinator) hurry(customer string) {
	for _, m := range c.members {
		if l, known := m.ledgers[customer]; known && l.recalling() > 0 {
			m.urgent = true
		}
	}
}

// balance moves shares towards the demand.
func (c *Coordinator) balance(now time.Time) {
	if now.Sub(c.balanceAt) < balanceInterval {
		return
	}
	c.balanceAt = now
	for customer := range c.pool {
		c.balanceOne(now, customer)
	}
}

func (c *Coordinator) balanceOne(now time.Time, customer string) {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		if !c.members[host].leaving {
			hosts = append(hosts, host)
		}
	}
	total, right := 0.0, float64(c.pool[customer].parts)
	for _, host := range hosts {
		l := c.members[host].ledger(customer)
		total += l.demand
		right += float64(l.held())
	}
	spread := right * (1 - poolFraction)
	for _, host := range hosts {
		l := c.members[host].ledger(customer)
		target := spread / float64(len(hosts))
		if total > 0 {
			target = target*evenFraction + spread*(1-evenFraction)*l.demand/total
		}
		c.steer(now, customer, l, target)
	}
}

// steer moves one member's share towards a target.
func (c *Coordinator) steer(now time.Time, customer string, l *ledger, target float64) {
	kept := float64(l.kept())
	if math.Abs(target-kept) < slackFraction*max(target, kept) {
		return
	}
	if target < kept {
		l.recall(uint64(kept-target), false)
		return
	}
	pool := c.pool[customer]
	spare := float64(pool.parts) - poolFraction*Whole/2
	if spare > 0 {
		l.grant(pool.split(now, uint64(min(spare, target-kept)), false))
	}
}

// silent reports whether a member can't be expected to answer a recall.
func (m *member) silent(now time.Time) bool {
	return !m.linked || now.Sub(m.heardAt) > silentAfter
}

func (m *member) ledger(customer string) *ledger {
	l, known := m.ledgers[customer]
	if !known {
		l = &ledger{}
		m.ledgers[customer] = l
	}
	return l
}

// grants returns what is to be told to a member, nil if nothing is due.
func (c *Coordinator) grants(now time.Time, m *member) *wirepb.ShareGrant {
	if !m.urgent && now.Sub(m.toldAt) < grantInterval {
		return nil
	}
	m.urgent, m.toldAt = false, now
	g := &wirepb.ShareGrant{
		Term:        c.term,
		Incarnation: m.incarnation,
		Answered:    m.answered,
	}
	for _, customer := range slices.Sorted(maps.Keys(m.ledgers)) {
		if l := m.ledgers[customer]; l.pending() {
			g.Moves = append(g.Moves, l.move(customer))
		}
	}
	return g
}
