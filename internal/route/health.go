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
	// slowSlack keeps short calls from counting as slow.
	slowSlack = 100 * time.Millisecond
	// slowTolerance is the factor up to which an agent counts as not slow.
	slowTolerance = 2.0
	// normWeight is the weight of the newest call in what all agents take.
	normWeight = 0.02
	mostSlow   = 16.0
)

// slowness is how much longer an agent takes than expected.
type slowness struct {
	factor float64
	asOf   time.Time
}

// at returns what an agent's expected times are multiplied by.
func (s *slowness) at(now time.Time) float64 { return max(1, s.faded(now)/slowTolerance) }

func (s *slowness) faded(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp(-float64(now.Sub(s.asOf))/float64(slowMemory))
}

// observe learns from a call; norm is what the agents take on the whole. It
// returns the new norm.
func (s *slowness) observe(now time.Time, took, expected time.Duration, norm float64) float64 {
	ratio := min(mostSlow, s.at(now)*float64(took+slowSlack)/float64(expected+slowSlack))
	s.factor = s.faded(now) + slowWeight*(ratio/norm-s.faded(now))
	s.asOf = now
	return norm + normWeight*(ratio-norm)
}
