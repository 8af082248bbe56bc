package quota

import "time"

// Status is what a node shows to operators of its shares.
type Status struct {
	// Coordinator is the entry that moves shares, empty before one is known.
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	// Shares are this entry's, by customer.
	Shares map[string]ShareStatus `json:"shares"`
}

// ShareStatus is an entry's share of one customer's rate and burst.
type ShareStatus struct {
	// Fraction is from 0 to 1; Tokens can be spent at once.
	Fraction float64 `json:"fraction"`
	Tokens   float64 `json:"tokens"`
}

// Status returns what the node holds at a time.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Coordinator: n.coordinatorHost,
		Term:        n.holder.term,
		Shares:      make(map[string]ShareStatus),
	}
	for name, a := range n.holder.accounts {
		s.Shares[name] = ShareStatus{
			Fraction: float64(a.share.parts) / TotalParts,
			Tokens:   a.share.bucket.Tokens(now),
		}
	}
	return s
}
