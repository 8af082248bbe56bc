package quota

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// appendRetryInterval is how long to wait for a view to be read back from
	// the log before it is appended again.
	appendRetryInterval = 2 * time.Second
	// viewRefreshInterval is how often the view is appended again, so that log
	// retention does not discard the last one.
	viewRefreshInterval = time.Minute
	// maxSelfRounds bounds how often the coordinator grants to its own node
	// within one event.
	maxSelfRounds = 4
)

// recordView appends the view to the log, retrying until it is read back, and
// again before the log discards it.
func (n *Node) recordView(now time.Time) {
	c := n.coordinator
	if c.inCensus {
		return
	}
	sinceAppend := now.Sub(c.viewAppendedAt)
	unconfirmed := c.recordedSequence < c.viewSequence && sinceAppend >= appendRetryInterval
	if !c.viewAppendDue && !unconfirmed && sinceAppend < viewRefreshInterval {
		return
	}
	c.viewAppendDue, c.viewAppendedAt = false, now
	members := make(map[string]uint64)
	for host, m := range c.members {
		members[host] = m.incarnation
	}
	n.append(logRecord{View: &viewRecord{
		Term:     c.term,
		Sequence: c.viewSequence,
		Members:  members,
		Seen:     n.log.nextOffset - 1,
	}})
}

// sendViews sends the view to the agents that don't enforce it yet.
func (n *Node) sendViews(now time.Time) {
	c := n.coordinator
	if c.inCensus {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(n.agents)) {
		if a := n.agents[host]; a.connected && c.viewDue(now, a) {
			a.viewSentAt, a.sentSequence = now, c.viewSequence
			a.attempt++
			view := c.currentView()
			view.Attempt = a.attempt
			n.sendMessage(now, host, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_View{View: view}})
		}
	}
}

// viewDue reports whether an agent should be sent the view now.
func (c *Coordinator) viewDue(now time.Time, a *agentState) bool {
	outdated := a.ackedTerm != c.term || a.ackedSequence < c.viewSequence
	// Shares are recovered only on recent acknowledgements, so these must be
	// renewed while any share is fenced.
	ackNeeded := len(c.fencedShares) > 0 && now.Sub(a.ackedSentAt) > grantInterval
	recentlySent := a.sentSequence == c.viewSequence && now.Sub(a.viewSentAt) < grantInterval
	return (outdated || ackNeeded) && !recentlySent
}

// requestReports requests reports from entries that are not members.
func (n *Node) requestReports(now time.Time) {
	if now.Sub(n.reportsRequestedAt) < grantInterval {
		return
	}
	n.reportsRequestedAt = now
	hosts := append(slices.Sorted(maps.Keys(n.connectedEntries)), n.host)
	for _, host := range hosts {
		if _, known := n.coordinator.members[host]; !known {
			n.requestFullReport(now, host)
		}
	}
}

// requestFullReport requests a report of all shares that an entry holds.
func (n *Node) requestFullReport(now time.Time, host string) {
	n.sendGrant(now, host, &wirepb.ShareGrant{
		Term:   n.coordinator.term,
		Census: true,
	})
}

// sendGrants sends the members their grants. Parts that this node returns to
// itself can serve other members in another round; after maxSelfRounds the rest
// waits for the next event.
func (n *Node) sendGrants(now time.Time) {
	for range maxSelfRounds {
		grantedSelf := false
		for _, host := range slices.Sorted(maps.Keys(n.coordinator.members)) {
			g := n.coordinator.dueGrant(now, n.coordinator.members[host])
			if g == nil {
				continue
			}
			n.sendGrant(now, host, g)
			grantedSelf = grantedSelf || host == n.host
		}
		if !grantedSelf {
			return
		}
	}
}
