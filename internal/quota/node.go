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
	// reportInterval is how often the coordinator hears from an entry.
	reportInterval = 500 * time.Millisecond
	// minClaimTimeout is how long a coordinator may be silent; claimSpread keeps
	// the entries from claiming at once.
	minClaimTimeout = 2 * time.Second
	claimJitter     = time.Second
	// maxClaimTimeout bounds how long an entry waits that has lost terms to
	// entries that it does not hear.
	maxClaimTimeout = time.Minute
	// disconnectGrace is how long it may be silent once the session to it has ended.
	disconnectGrace = 500 * time.Millisecond
	// initialClaimJitter is the same for an empty log.
	initialClaimJitter = 200 * time.Millisecond
	// appendRetryInterval is how long a record may take to be read back.
	appendRetryInterval = 2 * time.Second
	// maxSelfRounds bounds how often a node answers itself at one time.
	maxSelfRounds = 4
	// viewRefreshInterval keeps the last view in a log that forgets.
	viewRefreshInterval = time.Minute
)

// Effect is something that a node wants done.
type Effect interface{ isEffect() }

// Effects.
type (
	// Send sends a message to an entry or an agent.
	Send struct {
		Host    string
		Message *wirepb.ShareMessage
	}
	// Append adds a record to the stream of the fleet.
	Append struct{ Data []byte }
	// Resolve ends the wait of a call for tokens.
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

// Node is the part of an entry that holds shares, asks for more and can become
// coordinator.
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
	// lostTerms counts the terms that other entries' claims have ended since
	// this entry last heard from a coordinator.
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

// Incarnation is what calls to agents carry; it changes when the node rejoins.
func (n *Node) Incarnation() uint64 { return n.holder.incarnation }

// IsCoordinator reports whether this node is coordinator.
func (n *Node) IsCoordinator() bool { return n.coordinator != nil }

// HasCoordinator reports whether the node has heard from a coordinator.
func (n *Node) HasCoordinator() bool { return n.coordinatorHost != "" }

// SetLimits takes over the customers' limits.
func (n *Node) SetLimits(now time.Time, limits map[string]Limit) []Effect {
	n.limits = limits
	n.holder.setLimits(now, limits)
	if n.coordinator != nil {
		n.coordinator.setLimits(now, limits)
	}
	return n.flushEffects(now)
}

// SetAgents takes over the names of the agents on the platform's list.
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

// SetAgentSession notes that a session to an agent came up, incarnation 0 that it
// ended.
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

// SetEntrySession notes that a session to another entry came up or ended.
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

// handleSessionLoss notes that a session ended. The coordinator's silence then counts as
// nearly over, since a process that died ends its sessions at once.
func (n *Node) handleSessionLoss(now time.Time, host string) {
	if host != n.coordinatorHost || n.coordinator != nil {
		return
	}
	if adjusted := now.Add(disconnectGrace - n.claimTimeout()); adjusted.Before(n.coordinatorHeardAt) {
		n.coordinatorHeardAt = adjusted
		n.nextClaimAt = time.Time{}
	}
}

// ApplyLog takes over a page of the stream of the fleet.
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

// handleClaim obeys a claim that was read in the log.
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

// stepDown ends this node's term. The pool becomes part of its own share.
func (n *Node) stepDown(now time.Time) {
	for customer, s := range n.coordinator.pool {
		n.holder.account(now, customer).share.add(now, s.remove(now, s.parts, true))
	}
	n.coordinator = nil
}

// followTerm adopts a higher term.
func (n *Node) followTerm(now time.Time, term uint64, host string) {
	if n.coordinator != nil && n.coordinator.term < term {
		n.stepDown(now)
	}
	n.coordinatorHost, n.coordinatorHeardAt = host, now
	if term > n.holder.term {
		n.holder.adoptTerm(term)
	}
}

// HandleMessage takes over a message of a host.
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

// forwardWitness hands an agent's question on to the others, and an answer to the
// agent that asked.
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

// handleGrant obeys a coordinator.
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

// sendReport tells the coordinator of the shares.
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

// sendMessage sends a message; one to the node itself is taken over at once.
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

// Tick passes time.
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

// claimTimeout is how long a coordinator may be silent. It grows with each term
// that was lost to an entry that this one does not hear: entries that share the
// log and nothing else would end each other's terms for ever.
func (n *Node) claimTimeout() time.Duration {
	const maxDoublings = 5
	return min(maxClaimTimeout, minClaimTimeout<<min(n.lostTerms, maxDoublings))
}

// hasAgentSession reports whether a view could be installed anywhere.
func (n *Node) hasAgentSession() bool {
	for _, a := range n.agents {
		if a.connected {
			return true
		}
	}
	return len(n.agents) == 0
}

// claimTerm asks the log for a term once the coordinator is silent.
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
		return // the records' types can always be encoded
	}
	n.effects = append(n.effects, Append{Data: data})
}

// HeldFraction returns the fraction of a customer's right that is at this node, the
// pool included.
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
