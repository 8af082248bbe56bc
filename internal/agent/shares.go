package agent

import (
	"time"

	"dogwoodfold/internal/queue"
)

const (
	// reservedPart is the part of the slots that the largest customer leaves
	// free for the others, so that these need not wait for a call to end.
	reservedPart = 0.2
	// recentFor is how long after its last call a customer counts as one that
	// others leave slots free for.
	recentFor = 30 * time.Second
)

// shares decides which customers may take the last free slots.
type shares struct {
	slots  int
	total  int
	recent map[string]*share
}

// share is a customer's part of the slots.
type share struct {
	running int
	weight  float64
	seenAt  time.Time
}

func newShares(slots int) *shares {
	return &shares{
		slots:  slots,
		recent: make(map[string]*share),
	}
}

// seen notes a call of a customer.
func (s *shares) seen(now time.Time, item queue.Item[uint64]) {
	c, known := s.recent[item.Customer]
	if !known {
		c = &share{}
		s.recent[item.Customer] = c
	}
	c.weight = item.Weight
	c.seenAt = now
}

// sweep forgets customers without a recent call.
func (s *shares) sweep(now time.Time) {
	for name, c := range s.recent {
		if c.running == 0 && now.Sub(c.seenAt) > recentFor {
			delete(s.recent, name)
		}
	}
}

// may reports whether a customer may take a free slot. The last ones are not
// for the customer that has most for its weight.
func (s *shares) may(customer string) bool {
	c, known := s.recent[customer]
	if !known || len(s.recent) == 1 || s.slots-s.total > int(reservedPart*float64(s.slots)) {
		return true
	}
	own := float64(c.running+1) / c.weight
	for _, other := range s.recent {
		if other != c && float64(other.running)/other.weight >= own {
			return true
		}
	}
	return false
}

// begin and end note a customer's running calls.
func (s *shares) begin(customer string) {
	s.total++
	if c, known := s.recent[customer]; known {
		c.running++
	}
}

func (s *shares) end(customer string) {
	s.total--
	if c, known := s.recent[customer]; known {
		c.running--
	}
}
