package quota

import (
	"time"

	"dogwoodfold/internal/plat"
)

const (
	// minClaimTimeout is how long a coordinator may be silent before an entry
	// claims a term; claimJitter keeps the entries from claiming
	// simultaneously.
	minClaimTimeout = 2 * time.Second
	claimJitter     = time.Second
	// maxClaimTimeout bounds the claim timeout of an entry that has lost terms
	// to entries from which it receives no messages.
	maxClaimTimeout = time.Minute
	// disconnectGrace is how long the coordinator may remain silent once the
	// session to it has ended.
	disconnectGrace = 500 * time.Millisecond
	// initialClaimJitter bounds the random delay of a claim while the log holds
	// none.
	initialClaimJitter = 200 * time.Millisecond
)

// ApplyLog applies a page of the fleet stream.
func (n *Node) ApplyLog(now time.Time, page plat.Page) []Effect {
	before := n.log.Term
	if skipped := n.log.Apply(page); skipped != nil {
		n.effects = append(n.effects, ReportSkipped{Err: skipped})
	}
	if n.coordinator != nil && n.log.lastView != nil {
		n.coordinator.handleRecordedView(now, n.log.lastView)
	}
	if n.log.Term != before {
		n.nextClaimAt = time.Time{}
		n.coordinatorHeardAt = now
		n.handleClaim(now)
	}
	return n.flushEffects(now)
}

// handleClaim handles a new term that was read from the log.
func (n *Node) handleClaim(now time.Time) {
	if n.coordinator != nil && n.coordinator.term < n.log.Term {
		n.stepDown(now)
		n.lostTerms++
	}
	isOwnClaim := n.log.Host == n.host && n.log.Incarnation == n.processIncarnation
	if !isOwnClaim || n.log.Term <= n.holder.term || n.leaving {
		return
	}
	n.coordinator = newCoordinator(now, &n.log, n.agents, n.limits)
	n.followTerm(now, n.log.Term, n.host)
	n.reportsRequestedAt = time.Time{}
}

// stepDown ends this node's term. The pool becomes part of the node's own
// share.
func (n *Node) stepDown(now time.Time) {
	for customer, s := range n.coordinator.pool {
		n.holder.account(now, customer).share.add(now, s.remove(now, s.parts, true))
	}
	n.coordinator = nil
}

// followTerm makes host the coordinator that the node follows, and adopts the
// term if it is higher.
func (n *Node) followTerm(now time.Time, term uint64, host string) {
	if n.coordinator != nil && n.coordinator.term < term {
		n.stepDown(now)
	}
	n.coordinatorHost, n.coordinatorHeardAt = host, now
	if term > n.holder.term {
		n.holder.adoptTerm(term)
	}
}

// handleSessionLoss shortens the rest of the claim timeout to disconnectGrace
// if the session to the coordinator ended, since the sessions of a process end
// as soon as it exits.
func (n *Node) handleSessionLoss(now time.Time, host string) {
	if host != n.coordinatorHost || n.coordinator != nil {
		return
	}
	if adjusted := now.Add(disconnectGrace - n.claimTimeout()); adjusted.Before(n.coordinatorHeardAt) {
		n.coordinatorHeardAt = adjusted
		n.nextClaimAt = time.Time{}
	}
}

// claimTimeout returns how long a coordinator may be silent before this node
// claims a term. It doubles with each term lost to an entry from which this
// node receives no messages: entries that share only the log would otherwise
// keep ending each other's terms.
func (n *Node) claimTimeout() time.Duration {
	const maxDoublings = 5
	return min(maxClaimTimeout, minClaimTimeout<<min(n.lostTerms, maxDoublings))
}

// hasAgentSession reports whether a view of this node could be installed at any
// agent. It also returns true if no agents are known.
func (n *Node) hasAgentSession() bool {
	for _, a := range n.agents {
		if a.connected {
			return true
		}
	}
	return len(n.agents) == 0
}

// claimTerm appends a claim to the log once the coordinator has been silent for
// too long.
func (n *Node) claimTerm(now time.Time) {
	if !n.log.caughtUp || n.leaving || !n.hasAgentSession() || !n.claimDue(now) {
		return
	}
	n.nextClaimAt = now.Add(minClaimTimeout + n.jitter(claimJitter))
	n.append(logRecord{Claim: &claimRecord{
		Host:        n.host,
		Incarnation: n.processIncarnation,
	}})
}

// claimDue reports whether the coordinator has been silent for too long. While it
// hasn't, the time of the next claim is drawn anew.
func (n *Node) claimDue(now time.Time) bool {
	if n.coordinatorHeardAt.IsZero() {
		n.coordinatorHeardAt = now
	}
	if n.nextClaimAt.IsZero() {
		n.nextClaimAt = n.coordinatorHeardAt.Add(n.claimTimeout() + n.jitter(claimJitter))
		if n.log.Term == 0 {
			n.nextClaimAt = n.coordinatorHeardAt.Add(n.jitter(initialClaimJitter))
		}
	}
	if now.Sub(n.coordinatorHeardAt) < n.claimTimeout() && n.log.Term != 0 {
		n.nextClaimAt = time.Time{}
		return false
	}
	return !now.Before(n.nextClaimAt)
}

// jitter returns a random duration below limit.
func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}
