package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
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
)

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

// changeView begins a new view, to be sent to the agents and appended to the
// log.
func (c *Coordinator) changeView() {
	c.viewSequence++
	c.viewAppendDue = true
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
	for customer, parts := range c.heldParts() {
		c.ownedCustomers[customer] = true
		c.addToPool(now, customer, c.limits[customer], TotalParts-min(TotalParts, parts), c.firstTerm)
	}
}

// heldParts returns the parts that are in the pool, held by members or fenced, by
// customer.
func (c *Coordinator) heldParts() map[string]uint64 {
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
	return held
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
