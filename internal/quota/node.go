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
	// claimAfter is how long a coordinator may be silent; claimSpread keeps
	// the entries from claiming at once.
	claimAfter  = 2 * time.Second
	claimSpread = time.Second
	// longestClaimAfter bounds how long an entry waits that has lost terms to
	// entries that it does not hear.
	longestClaimAfter = time.Minute
	// linkGrace is how long it may be silent once the session to it has ended.
	linkGrace = 500 * time.Millisecond
	// firstSpread is the same for an empty log.
	firstSpread = 200 * time.Millisecond
	// appendRetry is how long a record may take to be read back.
	appendRetry = 2 * time.Second
	// selfRounds bounds how often a node answers itself at one time.
	selfRounds = 4
	// refreshInterval keeps the last view in a log that forgets.
	refreshInterval = time.Minute
)

// Effect is something that a node wants done.
type Effect interface{ isEffect() }

// Effects.
type (
	// Tell sends a message to an entry or an agent.
	Tell struct {
		Host    string
		Message *wirepb.ShareMessage
	}
	// Append adds a record to the stream of the fleet.
	Append struct{ Data []byte }
	// Decide ends the wait of a call for tokens.
	Decide struct {
		ID   string
		OK   bool
		Hold Hold
		Wait time.Duration
	}
)

func (Tell) isEffect()   {}
func (Append) isEffect() {}
func (Decide) isEffect() {}

// Node is the part of an entry that holds shares, asks for more and can become
// coordinator.
type Node struct {
	host    string
	self    uint64
	random  *rand.Rand
	limits  map[string]Limit
	holder  *Holder
	book    Book
	agents  map[string]*watched
	entries map[string]bool
	leaving bool

	coordinator *Coordinator
	leader      string
	heardAt     time.Time
	claimAt     time.Time
	// lostTerms counts the terms that other entries' claims have ended since
	// this entry last heard from a coordinator.
	lostTerms int
	reportAt  time.Time
	censusAt  time.Time

	asks map[string]*ask
	out  []Effect
}

// NewNode returns a node without shares.
func NewNode(host string, incarnation, seed uint64) *Node {
	return &Node{
		host:    host,
		self:    incarnation,
		random:  rand.New(rand.NewPCG(seed, incarnation)),
		holder:  newHolder(incarnation),
		agents:  make(map[string]*watched),
		entries: make(map[string]bool),
		asks:    make(map[string]*ask),
	}
}

// Incarnation is what calls to agents carry; it changes when the node rejoins.
func (n *Node) Incarnation() uint64 { return n.holder.incarnation }

// Coordinates reports whether this node is coordinator.
func (n *Node) Coordinates() bool { return n.coordinator != nil }

// Joined reports whether the node has heard from a coordinator.
func (n *Node) Joined() bool { return n.leader != "" }

// Configure takes over the customers' limits.
func (n *Node) Configure(now time.Time, limits map[string]Limit) []Effect {
	n.limits = limits
	n.holder.configure(now, limits)
	if n.coordinator != nil {
		n.coordinator.configure(now, limits)
	}
	return n.finish(now)
}

// Listed takes over the names of the agents on the platform's list.
func (n *Node) Listed(now time.Time, agents []string) {
	for _, host := range agents {
		a, known := n.agents[host]
		if !known {
			a = &watched{}
			n.agents[host] = a
		}
		a.delisted = time.Time{}
	}
	for host, a := range n.agents {
		if slices.Contains(agents, host) {
			continue
		}
		if a.delisted.IsZero() {
			a.delisted = now
		}
		if now.Sub(a.delisted) > goneAfter {
			delete(n.agents, host)
		}
	}
}

// LinkedAgent notes that a session to an agent came up, incarnation 0 that it
// ended.
func (n *Node) LinkedAgent(now time.Time, host string, incarnation uint64) []Effect {
	a, known := n.agents[host]
	if !known {
		return nil
	}
	a.linked = incarnation != 0
	if a.linked && a.incarnation != incarnation {
		a.incarnation = incarnation
		a.term, a.sequence = 0, 0
	}
	a.sentAt = time.Time{}
	return n.finish(now)
}

// LinkedEntry notes that a session to another entry came up or ended.
func (n *Node) LinkedEntry(now time.Time, host string, up bool) []Effect {
	n.entries[host] = up
	if !up {
		delete(n.entries, host)
		n.lost(now, host)
	}
	n.censusAt = time.Time{}
	if n.coordinator != nil {
		if m, known := n.coordinator.members[host]; known {
			m.linked = up
		}
	}
	return n.finish(now)
}

// lost notes that a session ended. The coordinator's silence then counts as
// nearly over, since a process that died ends its sessions at once.
func (n *Node) lost(now time.Time, host string) {
	if host != n.leader || n.coordinator != nil {
		return
	}
	if early := now.Add(linkGrace - n.patience()); early.Before(n.heardAt) {
		n.heardAt = early
		n.claimAt = time.Time{}
	}
}

// LogRead takes over a page of the stream of the fleet.
func (n *Node) LogRead(now time.Time, page plat.Page) []Effect {
	before := n.book.Term
	n.book.Read(page)
	if n.coordinator != nil && n.book.last != nil {
		n.coordinator.recordedView(now, n.book.last)
	}
	if n.book.Term != before {
		n.claimAt = time.Time{}
		n.heardAt = now
		n.claimed(now)
	}
	return n.finish(now)
}

// claimed obeys a claim that was read in the log.
func (n *Node) claimed(now time.Time) {
	if n.coordinator != nil && n.coordinator.term < n.book.Term {
		n.stepDown(now)
		n.lostTerms++
	}
	own := n.book.Host == n.host && n.book.Incarnation == n.self
	if !own || n.book.Term <= n.holder.term || n.leaving {
		return
	}
	n.coordinator = newCoordinator(now, &n.book, n.agents, n.limits)
	n.obey(now, n.book.Term, n.host)
	n.censusAt = time.Time{}
}

// stepDown ends this node's term. The pool becomes part of its own share.
func (n *Node) stepDown(now time.Time) {
	for customer, s := range n.coordinator.pool {
		n.holder.account(now, customer).share.add(now, s.split(now, s.parts, true))
	}
	n.coordinator = nil
}

// obey adopts a higher term.
func (n *Node) obey(now time.Time, term uint64, leader string) {
	if n.coordinator != nil && n.coordinator.term < term {
		n.stepDown(now)
	}
	n.leader, n.heardAt = leader, now
	if term > n.holder.term {
		n.holder.adopt(term)
	}
}

// Received takes over a message of a host.
func (n *Node) Received(now time.Time, from string, message *wirepb.ShareMessage) []Effect {
	n.deliver(now, from, message)
	return n.finish(now)
}

func (n *Node) deliver(now time.Time, from string, message *wirepb.ShareMessage) {
	switch body := message.GetBody().(type) {
	case *wirepb.ShareMessage_Report:
		n.reported(now, from, body.Report)
	case *wirepb.ShareMessage_Grant:
		n.granted(now, from, body.Grant)
	case *wirepb.ShareMessage_Ack:
		if n.coordinator != nil {
			n.coordinator.acked(now, from, body.Ack)
		}
	case *wirepb.ShareMessage_Witness:
		n.passWitness(now, from, body.Witness)
	}
}

// passWitness hands an agent's question on to the others, and an answer to the
// agent that asked.
func (n *Node) passWitness(now time.Time, from string, w *wirepb.ShareWitness) {
	message := &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: w}}
	if w.GetAnswered() {
		n.tell(now, w.GetAsker(), message)
		return
	}
	w.Asker = from
	for _, host := range slices.Sorted(maps.Keys(n.agents)) {
		if host != from && n.agents[host].linked {
			n.tell(now, host, message)
		}
	}
}

func (n *Node) reported(now time.Time, from string, r *wirepb.ShareReport) {
	c := n.coordinator
	if c == nil || r.GetTerm() < c.term {
		return
	}
	if r.GetTerm() > c.term {
		n.stepDown(now)
		return
	}
	switch c.reported(now, from, r) {
	case standingUnknown:
		n.grant(now, from, &wirepb.ShareGrant{
			Term:   c.term,
			Census: true,
		})
	case standingFenced:
		n.grant(now, from, &wirepb.ShareGrant{
			Term:        c.term,
			Incarnation: r.GetIncarnation(),
			Fenced:      true,
		})
	}
}

// granted obeys a coordinator.
func (n *Node) granted(now time.Time, from string, g *wirepb.ShareGrant) {
	if g.GetTerm() < n.holder.term {
		return
	}
	n.obey(now, g.GetTerm(), from)
	if from != n.host {
		n.lostTerms = 0
	}
	if g.GetCensus() {
		n.report(now, true)
		return
	}
	if g.GetIncarnation() != n.holder.incarnation {
		return
	}
	if g.GetFenced() {
		n.holder.rejoin(now)
		n.report(now, true)
		return
	}
	gave := n.holder.moved(now, g.GetMoves())
	n.answered(now, g)
	if gave {
		n.report(now, false)
	}
}

// report tells the coordinator of the shares.
func (n *Node) report(now time.Time, full bool) {
	if n.leader == "" {
		return
	}
	n.reportAt = now
	r := n.holder.report(now, full)
	r.Leaving = n.leaving
	n.tell(now, n.leader, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Report{Report: r}})
}

func (n *Node) grant(now time.Time, to string, g *wirepb.ShareGrant) {
	n.tell(now, to, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Grant{Grant: g}})
}

// tell sends a message; one to the node itself is taken over at once.
func (n *Node) tell(now time.Time, to string, m *wirepb.ShareMessage) {
	if to == n.host {
		n.deliver(now, n.host, m)
		return
	}
	n.out = append(n.out, Tell{
		Host:    to,
		Message: m,
	})
}

// Leave begins a graceful shutdown.
func (n *Node) Leave(now time.Time) []Effect {
	n.leaving = true
	n.report(now, true)
	return n.finish(now)
}

// Tick passes time.
func (n *Node) Tick(now time.Time) []Effect {
	n.expire(now)
	if n.leaving {
		n.holder.giveAll(now)
	}
	if now.Sub(n.reportAt) >= reportInterval {
		n.report(now, n.leaving)
	}
	if n.coordinator != nil {
		n.coordinator.tick(now)
		n.coordinator.balance(now)
	} else {
		n.claim(now)
	}
	return n.finish(now)
}

// patience is how long a coordinator may be silent. It grows with each term
// that was lost to an entry that this one does not hear: entries that share the
// log and nothing else would end each other's terms for ever.
func (n *Node) patience() time.Duration {
	const mostDoublings = 5
	return min(longestClaimAfter, claimAfter<<min(n.lostTerms, mostDoublings))
}

// reachesAgents reports whether a view could be installed anywhere.
func (n *Node) reachesAgents() bool {
	for _, a := range n.agents {
		if a.linked {
			return true
		}
	}
	return len(n.agents) == 0
}

// claim asks the log for a term once the coordinator is silent.
func (n *Node) claim(now time.Time) {
	if !n.book.head || n.leaving || !n.reachesAgents() {
		return
	}
	if n.heardAt.IsZero() {
		n.heardAt = now
	}
	if n.claimAt.IsZero() {
		n.claimAt = n.heardAt.Add(n.patience() + n.spread(claimSpread))
		if n.book.Term == 0 {
			n.claimAt = n.heardAt.Add(n.spread(firstSpread))
		}
	}
	if now.Sub(n.heardAt) < n.patience() && n.book.Term != 0 {
		n.claimAt = time.Time{}
		return
	}
	if now.Before(n.claimAt) {
		return
	}
	n.claimAt = now.Add(claimAfter + n.spread(claimSpread))
	n.append(record{Claim: &claimRecord{
		Host:        n.host,
		Incarnation: n.self,
	}})
}

func (n *Node) spread(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(limit)))
}

func (n *Node) append(r record) {
	data, err := json.Marshal(r)
	if err != nil {
		return // the records' types can always be encoded
	}
	n.out = append(n.out, Append{Data: data})
}

// Held returns the fraction of a customer's right that is at this node, the
// pool included.
func (n *Node) Held(customer string) float64 {
	parts := uint64(0)
	if a, known := n.holder.accounts[customer]; known {
		parts = a.share.parts
	}
	if n.coordinator != nil {
		if s, known := n.coordinator.pool[customer]; known {
			parts += s.parts
		}
	}
	return float64(parts) / Whole
}
