package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

// reportInterval is how often an entry reports to the coordinator.
const reportInterval = 500 * time.Millisecond

// Node holds an entry's shares, requests tokens and can become the coordinator.
type Node struct {
	host string
	// processIncarnation identifies the process in its claims. The incarnation under
	// which it holds shares is the holder's, which changes when the node rejoins.
	processIncarnation uint64
	random             *rand.Rand
	limits             map[string]Limit
	holder             *Holder
	log                LogState
	agents             map[string]*agentState
	connectedEntries   map[string]bool
	leaving            bool

	// coordinator is nil unless this node is the coordinator.
	coordinator *Coordinator
	// coordinatorHost is the coordinator that this node follows, possibly itself.
	coordinatorHost    string
	coordinatorHeardAt time.Time
	// nextClaimAt is when a claim is due if the coordinator stays silent, zero if that
	// isn't decided yet.
	nextClaimAt time.Time
	// lostTerms counts the terms of this node that other entries' claims have
	// ended since it last heard from another coordinator.
	lostTerms    int
	lastReportAt time.Time
	// reportsRequestedAt is when this node, as the coordinator, last requested reports
	// of the entries that aren't members. Zero requests them at once.
	reportsRequestedAt time.Time

	// requests are the customers' requests for tokens, by customer.
	requests map[string]*tokenRequest
	// effects are those that the next flushEffects returns.
	effects []Effect
}

// NewNode returns a node without shares.
func NewNode(host string, incarnation, seed uint64) *Node {
	return &Node{
		host:               host,
		processIncarnation: incarnation,
		random:             rand.New(rand.NewPCG(seed, incarnation)),
		holder:             newHolder(incarnation),
		agents:             make(map[string]*agentState),
		connectedEntries:   make(map[string]bool),
		requests:           make(map[string]*tokenRequest),
	}
}

// Incarnation returns the incarnation that calls to agents carry. It changes
// when the node rejoins.
func (n *Node) Incarnation() uint64 { return n.holder.incarnation }

// IsCoordinator reports whether this node is the coordinator.
func (n *Node) IsCoordinator() bool { return n.coordinator != nil }

// HasCoordinator reports whether the node has heard from a coordinator.
func (n *Node) HasCoordinator() bool { return n.coordinatorHost != "" }

// SetLimits changes the customers' limits.
func (n *Node) SetLimits(now time.Time, limits map[string]Limit) []Effect {
	n.limits = limits
	n.holder.setLimits(now, limits)
	if n.coordinator != nil {
		n.coordinator.setLimits(now, limits)
	}
	return n.flushEffects(now)
}

// SetAgents sets the names of the agents on the platform's list. An agent that
// is no longer listed is removed after agentRemovalDelay.
func (n *Node) SetAgents(now time.Time, agents []string) {
	for _, host := range agents {
		a, known := n.agents[host]
		if !known {
			a = &agentState{}
			n.agents[host] = a
		}
		a.delistedAt = time.Time{}
	}
	for host, a := range n.agents {
		if slices.Contains(agents, host) {
			continue
		}
		if a.delistedAt.IsZero() {
			a.delistedAt = now
		}
		if now.Sub(a.delistedAt) > agentRemovalDelay {
			delete(n.agents, host)
		}
	}
}

// SetAgentSession notes that a session to an incarnation of an agent was
// established, or that it ended if incarnation is 0.
func (n *Node) SetAgentSession(now time.Time, host string, incarnation uint64) []Effect {
	a, known := n.agents[host]
	if !known {
		return nil
	}
	a.connected = incarnation != 0
	if a.connected && a.incarnation != incarnation {
		a.incarnation = incarnation
		a.ackedTerm, a.ackedSequence = 0, 0
	}
	a.viewSentAt = time.Time{}
	return n.flushEffects(now)
}

// SetEntrySession notes that a session to another entry was established or
// ended.
func (n *Node) SetEntrySession(now time.Time, host string, up bool) []Effect {
	if up {
		n.connectedEntries[host] = true
	} else {
		delete(n.connectedEntries, host)
		n.handleSessionLoss(now, host)
	}
	n.reportsRequestedAt = time.Time{}
	if n.coordinator != nil {
		if m, known := n.coordinator.members[host]; known {
			m.connected = up
		}
	}
	return n.flushEffects(now)
}

// Leave begins a graceful shutdown.
func (n *Node) Leave(now time.Time) []Effect {
	n.leaving = true
	n.sendReport(now, true)
	return n.flushEffects(now)
}

// Tick performs the periodic work that is due.
func (n *Node) Tick(now time.Time) []Effect {
	n.expireRequests(now)
	if n.leaving {
		n.holder.returnAllParts(now)
	}
	if now.Sub(n.lastReportAt) >= reportInterval {
		n.sendReport(now, n.leaving)
	}
	if n.coordinator != nil {
		n.coordinator.tick(now)
		n.coordinator.rebalance(now)
	} else {
		n.claimTerm(now)
	}
	return n.flushEffects(now)
}

// HeldFraction returns the fraction of a customer's quota that this node holds,
// including the pool.
func (n *Node) HeldFraction(customer string) float64 {
	parts := uint64(0)
	if a, known := n.holder.accounts[customer]; known {
		parts = a.share.parts
	}
	if n.coordinator != nil {
		if s, known := n.coordinator.pool[customer]; known {
			parts += s.parts
		}
	}
	return float64(parts) / TotalParts
}
