package route

import (
	"math"
	"time"
)

const (
	// ejectionThreshold is how many failures in a row eject an agent.
	ejectionThreshold = 3
	baseEjection      = time.Second
	maxEjection       = 30 * time.Second
	// failurePenalty is added to an agent's cost for each failure in a row.
	failurePenalty = 200 * time.Millisecond
)

// health counts an agent's failures. An ejected agent gets one call at a time
// once its time is over.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= ejectionThreshold {
		doublings := min(h.consecutiveFailures-ejectionThreshold, 5)
		h.ejectedUntil = now.Add(min(maxEjection, baseEjection<<doublings))
	}
}

func (h *health) recordSuccess() { h.consecutiveFailures = 0 }

func (h *health) ejected(now time.Time, openCalls int) bool {
	return h.consecutiveFailures >= ejectionThreshold && (now.Before(h.ejectedUntil) || openCalls > 0)
}

func (h *health) penalty() time.Duration {
	return time.Duration(min(h.consecutiveFailures, ejectionThreshold)) * failurePenalty
}

const (
	// slowdownWeight is the weight of the newest call in the learned slowness.
	slowdownWeight = 0.2
	// slowdownDecay is the time in which the slowness fades.
	slowdownDecay = 30 * time.Second
	// slowdownSlack keeps short calls from counting as slow.
	slowdownSlack = 100 * time.Millisecond
	// slowdownTolerance is the factor up to which an agent counts as not slow.
	slowdownTolerance = 2.0
	// baselineWeight is the weight of the newest call in what all agents take.
	baselineWeight = 0.02
	maxSlowdown    = 16.0
)

// slowdown is how much longer an agent takes than expected.
type slowdown struct {
	factor    float64
	updatedAt time.Time
}

// multiplier returns what an agent's expected times are multiplied by.
func (s *slowdown) multiplier(now time.Time) float64 { return max(1, s.decayed(now)/slowdownTolerance) }

func (s *slowdown) decayed(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp(-float64(now.Sub(s.updatedAt))/float64(slowdownDecay))
}

// observe learns from a call; norm is what the agents take on the whole. It
// returns the new norm.
func (s *slowdown) observe(now time.Time, latency, expected time.Duration, baseline float64) float64 {
	ratio := min(maxSlowdown, s.multiplier(now)*float64(latency+slowdownSlack)/float64(expected+slowdownSlack))
	s.factor = s.decayed(now) + slowdownWeight*(ratio/baseline-s.decayed(now))
	s.updatedAt = now
	return baseline + baselineWeight*(ratio-baseline)
}
