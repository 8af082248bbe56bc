package agent

import (
	"math"
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
	// meanOver is the time over which a customer's slots are averaged.
	meanOver = 5 * time.Second
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
	// mean is the fading mean of running up to a time.
	mean   float64
	meanAt time.Time
}

// average returns the customer's slots over the last while, for its weight.
func (s *share) average(now time.Time) float64 {
	faded := math.Exp(-float64(now.Sub(s.meanAt)) / float64(meanOver))
	return (float64(s.running) + (s.mean-float64(s.running))*faded) / s.weight
}

// add changes the number of running calls.
func (s *share) add(now time.Time, calls int) {
	s.mean = s.average(now) * s.weight
	s.meanAt = now
	s.running += calls
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
// for the customer that had most for its weight over the last while.
func (s *shares) may(now time.Time, customer string) bool {
	c, known := s.recent[customer]
	if !known || len(s.recent) == 1 || s.slots-s.total > int(reservedPart*float64(s.slots)) {
		return true
	}
	own := c.average(now)
	for _, other := range s.recent {
		theirs := other.average(now)
		if theirs > own || (theirs == own && other.running > c.running) {
			return true
		}
	}
	return false
}

// begin and end note a customer's running calls.
func (s *shares) begin(now time.Time, customer string) {
	s.total++
	if c, known := s.recent[customer]; known {
		c.add(now, 1)
	}
}

func (s *shares) end(now time.Time, customer string) {
	s.total--
	if c, known := s.recent[customer]; known {
		c.add(now, -1)
	}
}
