package quota

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// reportInterval is how often an entry reports to the coordinator.
	reportInterval = 500 * time.Millisecond
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
	// appendRetryInterval is how long to wait for a view to be read back from
	// the log before it is appended again.
	appendRetryInterval = 2 * time.Second
	// maxSelfRounds bounds how often the coordinator grants to its own node
	// within one event.
	maxSelfRounds = 4
	// viewRefreshInterval is how often the view is appended again, so that log
	// retention does not discard the last one.
	viewRefreshInterval = time.Minute
)

// Effect is an action that a Node requests from its caller.
type Effect interface{ isEffect() }

// Effects that a Node returns.
type (
	// Send sends a message to an entry or an agent.
	Send struct {
		Host    string
		Message *wirepb.ShareMessage
	}
	// Append appends a record to the fleet stream.
	Append struct{ Data []byte }
	// Resolve reports the result of a reservation that was Pending.
	Resolve struct {
		ID          string
		OK          bool
		Reservation Reservation
		Wait        time.Duration
	}
)

func (Send) isEffect()    {}
func (Append) isEffect()  {}
func (Resolve) isEffect() {}

// Node holds an entry's shares, requests tokens and can become the coordinator.
type Node struct {
	host               string
	processIncarnation uint64
	random             *rand.Rand
	limits             map[string]Limit
	holder             *Holder
	log                LogState
	agents             map[string]*agentState
	connectedEntries   map[string]bool
	leaving            bool

	coordinator        *Coordinator
	coordinatorHost    string
	coordinatorHeardAt time.Time
	nextClaimAt        time.Time
	// lostTerms counts the terms of this node that other entries' claims have
	// ended since it last heard from another coordinator.
	lostTerms    int
	lastReportAt time.Time
	lastCensusAt time.Time

	requests map[string]*tokenRequest
	effects  []Effect
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
	n.connectedEntries[host] = up
	if !up {
		delete(n.connectedEntries, host)
		n.handleSessionLoss(now, host)
	}
	n.lastCensusAt = time.Time{}
	if n.coordinator != nil {
		if m, known := n.coordinator.members[host]; known {
			m.connected = up
		}
	}
	return n.flushEffects(now)
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

// ApplyLog applies a page of the fleet stream.
func (n *Node) ApplyLog(now time.Time, page plat.Page) []Effect {
	before := n.log.Term
	n.log.Apply(page)
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
	n.lastCensusAt = time.Time{}
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

// HandleMessage processes a message from a host.
func (n *Node) HandleMessage(now time.Time, from string, message *wirepb.ShareMessage) []Effect {
	n.dispatch(now, from, message)
	return n.flushEffects(now)
}

func (n *Node) dispatch(now time.Time, from string, message *wirepb.ShareMessage) {
	switch body := message.GetBody().(type) {
	case *wirepb.ShareMessage_Report:
		n.handleReport(now, from, body.Report)
	case *wirepb.ShareMessage_Grant:
		n.handleGrant(now, from, body.Grant)
	case *wirepb.ShareMessage_Ack:
		if n.coordinator != nil {
			n.coordinator.handleAck(now, from, body.Ack)
		}
	case *wirepb.ShareMessage_Witness:
		n.forwardWitness(now, from, body.Witness)
	}
}

// forwardWitness forwards an agent's query to the other agents, and an answer
// to the agent that sent the query.
func (n *Node) forwardWitness(now time.Time, from string, w *wirepb.ShareWitness) {
	message := &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: w}}
	if w.GetAnswered() {
		n.sendMessage(now, w.GetAsker(), message)
		return
	}
	w.Asker = from
	for _, host := range slices.Sorted(maps.Keys(n.agents)) {
		if host != from && n.agents[host].connected {
			n.sendMessage(now, host, message)
		}
	}
}

func (n *Node) handleReport(now time.Time, from string, r *wirepb.ShareReport) {
	c := n.coordinator
	if c == nil || r.GetTerm() < c.term {
		return
	}
	if r.GetTerm() > c.term {
		n.stepDown(now)
		return
	}
	switch c.handleReport(now, from, r) {
	case reportNeedsFull:
		n.sendGrant(now, from, &wirepb.ShareGrant{
			Term:   c.term,
			Census: true,
		})
	case reportFenced:
		n.sendGrant(now, from, &wirepb.ShareGrant{
			Term:        c.term,
			Incarnation: r.GetIncarnation(),
			Fenced:      true,
		})
	}
}

// handleGrant applies a coordinator's grant, unless its term is outdated.
func (n *Node) handleGrant(now time.Time, from string, g *wirepb.ShareGrant) {
	if g.GetTerm() < n.holder.term {
		return
	}
	n.followTerm(now, g.GetTerm(), from)
	if from != n.host {
		n.lostTerms = 0
	}
	if g.GetCensus() {
		n.sendReport(now, true)
		return
	}
	if g.GetIncarnation() != n.holder.incarnation {
		return
	}
	if g.GetFenced() {
		n.holder.rejoin(now)
		n.sendReport(now, true)
		return
	}
	returnedAny := n.holder.applyMoves(now, g.GetMoves())
	n.handleAnswers(now, g)
	if returnedAny {
		n.sendReport(now, false)
	}
}

// sendReport reports the node's shares to the coordinator.
func (n *Node) sendReport(now time.Time, full bool) {
	if n.coordinatorHost == "" {
		return
	}
	n.lastReportAt = now
	r := n.holder.report(now, full)
	r.Leaving = n.leaving
	n.sendMessage(now, n.coordinatorHost, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Report{Report: r}})
}

func (n *Node) sendGrant(now time.Time, to string, g *wirepb.ShareGrant) {
	n.sendMessage(now, to, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Grant{Grant: g}})
}

// sendMessage sends a message; one to the node itself is processed at once.
func (n *Node) sendMessage(now time.Time, to string, m *wirepb.ShareMessage) {
	if to == n.host {
		n.dispatch(now, n.host, m)
		return
	}
	n.effects = append(n.effects, Send{
		Host:    to,
		Message: m,
	})
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
	if !n.log.caughtUp || n.leaving || !n.hasAgentSession() {
		return
	}
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
		return
	}
	if now.Before(n.nextClaimAt) {
		return
	}
	n.nextClaimAt = now.Add(minClaimTimeout + n.jitter(claimJitter))
	n.append(logRecord{Claim: &claimRecord{
		Host:        n.host,
		Incarnation: n.processIncarnation,
	}})
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}

func (n *Node) append(r logRecord) {
	data, err := json.Marshal(r)
	if err != nil {
		return // logRecord always encodes without error
	}
	n.effects = append(n.effects, Append{Data: data})
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
