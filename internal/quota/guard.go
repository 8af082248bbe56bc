package quota

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// witnessDelay is how long a newly started agent waits after its first view
// arrived before it queries other agents for the terms in force. After this
// delay no coordinator counts an acknowledgement of an earlier process on the
// agent's host (see ackLifetime).
const witnessDelay = 3 * time.Second

// Guard enforces views at an agent: it admits calls only from the entries that
// its view lists. It installs a view only if no higher term is in force, since
// an earlier coordinator could otherwise readmit fenced entries. A newly
// started agent therefore needs to learn the terms in force before it installs
// a view. It does so by reading the log to its end or, if the log can't be
// read, from another agent that knows them. That suffices because a coordinator
// recovers the share of a fenced entry only with the acknowledgement of all
// agents.
type Guard struct {
	incarnation uint64
	log         LogState
	// firstViewAt is when the first view arrived, queriedAt when other agents
	// were last queried.
	firstViewAt time.Time
	queriedAt   time.Time
	// peerConfirmed reports whether another agent has confirmed minTerm, the
	// lowest term that may be installed.
	peerConfirmed bool
	minTerm       uint64
	view          *wirepb.ShareView
	members       map[string]uint64
}

// NewGuard returns a guard without a view for an incarnation of an agent.
func NewGuard(incarnation uint64) *Guard { return &Guard{incarnation: incarnation} }

// ApplyLog applies a page of the fleet stream. It returns an error about records
// that can't be decoded and were skipped, nil if there are none.
func (g *Guard) ApplyLog(page plat.Page) *RecordError { return g.log.Apply(page) }

// synced reports whether the guard knows which terms are in force.
func (g *Guard) synced() bool { return g.log.caughtUp || g.peerConfirmed }

// highestTerm returns the highest term that the guard knows of.
func (g *Guard) highestTerm() uint64 { return max(g.log.Term, g.minTerm, g.view.GetTerm()) }

// Install installs a view if it is newer than the current one and no higher
// term is known to be in force. It returns an acknowledgement of the view that
// is enforced.
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

// WitnessQuery returns a query to the other agents, nil if none is due.
func (g *Guard) WitnessQuery(now time.Time) *wirepb.ShareWitness {
	if g.synced() || now.Sub(g.firstViewAt) < witnessDelay || now.Sub(g.queriedAt) < grantInterval {
		return nil
	}
	g.queriedAt = now
	return &wirepb.ShareWitness{Incarnation: g.incarnation}
}

// HandleWitness processes another agent's answer, or returns the answer to a
// query, nil if there is none.
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

// Admits reports whether calls from an incarnation of an entry are admitted.
func (g *Guard) Admits(host string, incarnation uint64) bool {
	listed, known := g.members[host]
	return known && listed == incarnation
}
