package quota

import "time"

// Status describes a node's shares to operators.
type Status struct {
	// Coordinator is the entry that moves shares, empty if none is known yet.
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	// Shares are this entry's shares, by customer.
	Shares map[string]ShareStatus `json:"shares"`
}

// ShareStatus is an entry's share of one customer's rate and burst.
type ShareStatus struct {
	// Fraction is from 0 to 1; Tokens is the number that can be spent at once.
	Fraction float64 `json:"fraction"`
	Tokens   float64 `json:"tokens"`
}

// Status returns the node's current shares.
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
