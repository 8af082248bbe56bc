package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// finish adds what the coordinator has to say and returns all effects.
func (n *Node) finish(now time.Time) []Effect {
	if n.coordinator != nil {
		n.call(now)
		n.distribute(now)
		n.record(now)
		n.install(now)
	}
	out := n.out
	n.out = nil
	return out
}

// record appends the view to the log until it is read back, and again before
// the log forgets it.
func (n *Node) record(now time.Time) {
	c := n.coordinator
	if c.census {
		return
	}
	since := now.Sub(c.appendAt)
	lost := c.recorded < c.sequence && since >= appendRetry
	if !c.appendDue && !lost && since < refreshInterval {
		return
	}
	c.appendDue, c.appendAt = false, now
	members := make(map[string]uint64)
	for host, m := range c.members {
		members[host] = m.incarnation
	}
	n.append(record{View: &viewRecord{
		Term:     c.term,
		Sequence: c.sequence,
		Members:  members,
		Seen:     n.book.next - 1,
	}})
}

// install sends the view to the agents that don't enforce it yet.
func (n *Node) install(now time.Time) {
	c := n.coordinator
	if c.census {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(n.agents)) {
		a := n.agents[host]
		behind := a.term != c.term || a.sequence < c.sequence
		// While shares wait to come back, acknowledgements must stay fresh.
		behind = behind || len(c.fenced) > 0 && now.Sub(a.ackedAt) > grantInterval
		resent := a.sentFor == c.sequence && now.Sub(a.sentAt) < grantInterval
		if a.linked && behind && !resent {
			a.sentAt, a.sentFor = now, c.sequence
			a.attempt++
			view := c.view()
			view.Attempt = a.attempt
			n.tell(now, host, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_View{View: view}})
		}
	}
}

// call asks entries that are no members to report.
func (n *Node) call(now time.Time) {
	if now.Sub(n.censusAt) < grantInterval {
		return
	}
	n.censusAt = now
	hosts := append(slices.Sorted(maps.Keys(n.entries)), n.host)
	for _, host := range hosts {
		if _, known := n.coordinator.members[host]; !known {
			n.grant(now, host, &wirepb.ShareGrant{
				Term:   n.coordinator.term,
				Census: true,
			})
		}
	}
}

// distribute tells members of their grants. What this node returns to itself
// can serve others in turn; the rest is left to the next event.
func (n *Node) distribute(now time.Time) {
	for range selfRounds {
		again := false
		for _, host := range slices.Sorted(maps.Keys(n.coordinator.members)) {
			g := n.coordinator.grants(now, n.coordinator.members[host])
			if g == nil {
				continue
			}
			n.grant(now, host, g)
			again = again || host == n.host
		}
		if !again {
			return
		}
	}
}
