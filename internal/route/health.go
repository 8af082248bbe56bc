package route

import (
	"math"
	"time"
)

const (
	// ejectAfter is how many failures in a row eject an agent.
	ejectAfter      = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// failurePenalty is added to an agent's cost for each failure in a row.
	failurePenalty = 200 * time.Millisecond
)

// health counts an agent's failures. An ejected agent gets one call at a time
// once its time is over.
type health struct {
	streak int
	until  time.Time
}

func (h *health) failed(now time.Time) {
	h.streak++
	if h.streak >= ejectAfter {
		doublings := min(h.streak-ejectAfter, 5)
		h.until = now.Add(min(longestEjection, firstEjection<<doublings))
	}
}

func (h *health) succeeded() { h.streak = 0 }

func (h *health) ejected(now time.Time, open int) bool {
	return h.streak >= ejectAfter && (now.Before(h.until) || open > 0)
}

func (h *health) penalty() time.Duration {
	return time.Duration(min(h.streak, ejectAfter)) * failurePenalty
}

const (
	// slowWeight is the weight of the newest call in the learned slowness.
	slowWeight = 0.2
	// slowMemory is the time in which the slowness fades.
	slowMemory = 30 * time.Second
	mostSlow   = 8.0
	leastSlow  = 0.5
)

// slowness is how much longer an agent takes than expected.
type slowness struct {
	factor float64
	asOf   time.Time
}

// at returns the factor at a time.
func (s *slowness) at(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp(-float64(now.Sub(s.asOf))/float64(slowMemory))
}

func (s *slowness) observe(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, baseCost))
	ratio *= s.at(now)
	ratio = max(leastSlow, min(mostSlow, ratio))
	s.factor = s.at(now) + slowWeight*(ratio-s.at(now))
	s.asOf = now
}
