package quota

import "time"

// Standing is what a node shows to operators of its shares.
type Standing struct {
	// Coordinator is the entry that moves shares, empty before one is known.
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	// Shares are this entry's, by customer.
	Shares map[string]Part `json:"shares"`
}

// Part is an entry's share of one customer's rate and burst.
type Part struct {
	// Fraction is from 0 to 1; Tokens can be spent at once.
	Fraction float64 `json:"fraction"`
	Tokens   float64 `json:"tokens"`
}

// Standing returns what the node holds at a time.
func (n *Node) Standing(now time.Time) Standing {
	s := Standing{
		Coordinator: n.leader,
		Term:        n.holder.term,
		Shares:      make(map[string]Part),
	}
	for name, a := range n.holder.accounts {
		s.Shares[name] = Part{
			Fraction: float64(a.share.parts) / Whole,
			Tokens:   a.share.bucket.Tokens(now),
		}
	}
	return s
}
