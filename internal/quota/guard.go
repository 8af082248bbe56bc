package quota

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// witnessDelay is how long a fresh agent waits before it asks others for the
// terms in force. By then no coordinator counts what an earlier process of its
// host has acknowledged (see ackLifetime).
const witnessDelay = 3 * time.Second

// Guard is an agent's side of the shares: it admits calls only from the
// entries that its view lists. A view is taken only if no higher term is in
// force, which a fresh agent must know: else an earlier coordinator could bring
// back entries that were fenced. It knows once it has read the log to its end,
// or, if the log can't be read, from another agent that knows: a coordinator
// fences an entry only with the acknowledgement of all agents.
type Guard struct {
	incarnation uint64
	log         LogState
	// firstViewAt is when the first view came, asked when others were asked.
	firstViewAt time.Time
	queriedAt   time.Time
	// peerConfirmed says that another agent told the floor, the lowest term taken.
	peerConfirmed bool
	minTerm       uint64
	view          *wirepb.ShareView
	members       map[string]uint64
}

// NewGuard returns the guard of an incarnation of an agent, without a view.
func NewGuard(incarnation uint64) *Guard { return &Guard{incarnation: incarnation} }

// ApplyLog takes over a page of the stream of the fleet.
func (g *Guard) ApplyLog(page plat.Page) { g.log.Apply(page) }

// synced reports whether the guard synced which terms are in force.
func (g *Guard) synced() bool { return g.log.caughtUp || g.peerConfirmed }

// highestTerm returns the highest highestTerm that the guard knows of.
func (g *Guard) highestTerm() uint64 { return max(g.log.Term, g.minTerm, g.view.GetTerm()) }

// Install takes over a view and returns what is in force.
func (g *Guard) Install(now time.Time, v *wirepb.ShareView) *wirepb.ShareViewAck {
	if g.firstViewAt.IsZero() {
		g.firstViewAt = now
	}
	if g.synced() && v.GetTerm() >= max(g.log.Term, g.minTerm) && isNewer(v, g.view) {
		g.view = v
		g.members = make(map[string]uint64)
		for _, m := range v.GetMembers() {
			g.members[m.GetHost()] = m.GetIncarnation()
		}
	}
	return &wirepb.ShareViewAck{
		Term:     g.view.GetTerm(),
		Sequence: g.view.GetSequence(),
		Attempt:  v.GetAttempt(),
	}
}

// WitnessQuery returns a question to the other agents, nil if none is due.
func (g *Guard) WitnessQuery(now time.Time) *wirepb.ShareWitness {
	if g.synced() || now.Sub(g.firstViewAt) < witnessDelay || now.Sub(g.queriedAt) < grantInterval {
		return nil
	}
	g.queriedAt = now
	return &wirepb.ShareWitness{Incarnation: g.incarnation}
}

// HandleWitness takes over another agent's answer, or returns the answer to a
// question, nil if there is none.
func (g *Guard) HandleWitness(w *wirepb.ShareWitness) *wirepb.ShareWitness {
	switch {
	case !w.GetAnswered() && g.synced():
		return &wirepb.ShareWitness{
			Asker:       w.GetAsker(),
			Incarnation: w.GetIncarnation(),
			Answered:    true,
			Term:        g.highestTerm(),
		}
	case w.GetAnswered() && w.GetIncarnation() == g.incarnation:
		g.peerConfirmed = true
		g.minTerm = max(g.minTerm, w.GetTerm())
	}
	return nil
}

// isNewer reports whether a view is later than the one in force.
func isNewer(v, old *wirepb.ShareView) bool {
	if v.GetTerm() != old.GetTerm() {
		return v.GetTerm() > old.GetTerm()
	}
	return v.GetSequence() > old.GetSequence()
}

// Admits reports whether calls of an incarnation of an entry are taken.
func (g *Guard) Admits(host string, incarnation uint64) bool {
	listed, known := g.members[host]
	return known && listed == incarnation
}
