package agent

import (
	"math"
	"time"

	"dogwoodfold/internal/queue"
)

const (
	// reservedFraction is the fraction of the slots that the largest customer
	// must leave free, so that other customers need not wait for a call to end.
	reservedFraction = 0.2
	// recentCallWindow is how long slots are left free for a customer after its
	// last call.
	recentCallWindow = 30 * time.Second
	// averagingTime is the time constant of the average of a customer's slots.
	averagingTime = 5 * time.Second
)

// slotShares decides which customers may take the last free slots.
type slotShares struct {
	slots     int
	running   int
	customers map[string]*customerShare
}

// customerShare is a customer's use of the slots.
type customerShare struct {
	running    int
	weight     float64
	lastCallAt time.Time
	// meanRunning is the exponentially weighted average of running up to
	// meanAt.
	meanRunning float64
	meanAt      time.Time
}

// weightedMean returns the customer's average number of slots divided by its
// weight.
func (s *customerShare) weightedMean(now time.Time) float64 {
	decay := math.Exp(-float64(now.Sub(s.meanAt)) / float64(averagingTime))
	return (float64(s.running) + (s.meanRunning-float64(s.running))*decay) / s.weight
}

// addRunning adds delta to the number of running calls.
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

// recordArrival records a call of a customer.
func (s *slotShares) recordArrival(now time.Time, item queue.Item[uint64]) {
	share, ok := s.customers[item.Customer]
	if !ok {
		share = &customerShare{}
		s.customers[item.Customer] = share
	}
	share.weight = item.Weight
	share.lastCallAt = now
}

// removeInactive removes customers without a running or recent call.
func (s *slotShares) removeInactive(now time.Time) {
	for name, share := range s.customers {
		if share.running == 0 && now.Sub(share.lastCallAt) > recentCallWindow {
			delete(s.customers, name)
		}
	}
}

// mayStart reports whether a customer may take a free slot. The last free slots
// are not available to the customer with the largest recent average for its
// weight.
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

// recordStart and recordEnd update a customer's number of running calls.
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
