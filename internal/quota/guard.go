package quota

import (
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// Guard is an agent's side of the shares: it admits calls only from the
// entries that its view lists. A view is taken only if no higher term is
// known from the log, which a fresh agent must have read to its end once: else
// an earlier coordinator could bring back entries that were fenced.
type Guard struct {
	book    Book
	view    *wirepb.ShareView
	members map[string]uint64
}

// NewGuard returns a guard without a view.
func NewGuard() *Guard { return &Guard{} }

// Read takes over a page of the stream of the fleet.
func (g *Guard) Read(page plat.Page) { g.book.Read(page) }

// Install takes over a view and returns what is in force.
func (g *Guard) Install(v *wirepb.ShareView) *wirepb.ShareViewAck {
	if g.book.head && v.GetTerm() >= g.book.Term && newer(v, g.view) {
		g.view = v
		g.members = make(map[string]uint64)
		for _, m := range v.GetMembers() {
			g.members[m.GetHost()] = m.GetIncarnation()
		}
	}
	return &wirepb.ShareViewAck{
		Term:     g.view.GetTerm(),
		Sequence: g.view.GetSequence(),
	}
}

// newer reports whether a view is later than the one in force.
func newer(v, old *wirepb.ShareView) bool {
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
