package agent

import (
	"math"
	"time"

	"dogwoodfold/internal/queue"
)

const (
	// reservedFraction is the part of the slots that the largest customer leaves
	// free for the others, so that these need not wait for a call to end.
	reservedFraction = 0.2
	// recentCallWindow is how long after its last call a customer counts as one that
	// others leave slots free for.
	recentCallWindow = 30 * time.Second
	// averagingTime is the time over which a customer's slots are averaged.
	averagingTime = 5 * time.Second
)

// slotShares decides which customers may take the last free slots.
type slotShares struct {
	slots     int
	running   int
	customers map[string]*customerShare
}

// customerShare is a customer's part of the slots.
type customerShare struct {
	running    int
	weight     float64
	lastCallAt time.Time
	// meanRunning is the fading meanRunning of running up to a time.
	meanRunning float64
	meanAt      time.Time
}

// weightedMean returns the customer's slots over the last while, for its weight.
func (s *customerShare) weightedMean(now time.Time) float64 {
	decay := math.Exp(-float64(now.Sub(s.meanAt)) / float64(averagingTime))
	return (float64(s.running) + (s.meanRunning-float64(s.running))*decay) / s.weight
}

// addRunning changes the number of running calls.
func (s *customerShare) addRunning(now time.Time, delta int) {
	s.meanRunning = s.weightedMean(now) * s.weight
	s.meanAt = now
	s.running += delta
}

func newSlotShares(slots int) *slotShares {
	return &slotShares{
		slots:     slots,
		customers: make(map[string]*customerShare),
	}
}

// recordArrival notes a call of a customer.
func (s *slotShares) recordArrival(now time.Time, item queue.Item[uint64]) {
	share, ok := s.customers[item.Customer]
	if !ok {
		share = &customerShare{}
		s.customers[item.Customer] = share
	}
	share.weight = item.Weight
	share.lastCallAt = now
}

// removeInactive forgets customers without a recent call.
func (s *slotShares) removeInactive(now time.Time) {
	for name, share := range s.customers {
		if share.running == 0 && now.Sub(share.lastCallAt) > recentCallWindow {
			delete(s.customers, name)
		}
	}
}

// mayStart reports whether a customer mayStart take a free slot. The last ones are not
// for the customer that had most for its weight over the last while.
func (s *slotShares) mayStart(now time.Time, customer string) bool {
	share, ok := s.customers[customer]
	if !ok || len(s.customers) == 1 || s.slots-s.running > int(reservedFraction*float64(s.slots)) {
		return true
	}
	ownMean := share.weightedMean(now)
	for _, other := range s.customers {
		otherMean := other.weightedMean(now)
		if otherMean > ownMean || (otherMean == ownMean && other.running > share.running) {
			return true
		}
	}
	return false
}

// recordStart and end note a customer's running calls.
func (s *slotShares) recordStart(now time.Time, customer string) {
	s.running++
	if share, ok := s.customers[customer]; ok {
		share.addRunning(now, 1)
	}
}

func (s *slotShares) recordEnd(now time.Time, customer string) {
	s.running--
	if share, ok := s.customers[customer]; ok {
		share.addRunning(now, -1)
	}
}
