package route

import (
	"math"
	"time"
)

const (
	// ejectionThreshold is the number of consecutive failures after which an
	// agent is ejected.
	ejectionThreshold = 3
	// baseEjection is the length of the first ejection. Each further
	// consecutive failure doubles it, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// maxDoublings is the number of doublings after which maxEjection is reached.
	maxDoublings = 5
	// failurePenalty is added to an agent's cost for each consecutive failure,
	// up to ejectionThreshold.
	failurePenalty = 200 * time.Millisecond
)

// health tracks an agent's consecutive failures. After an ejection, the agent
// gets one call at a time as a probe until a call succeeds.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
}

// recordFailure counts a failure and ejects the agent if there were too many.
func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= ejectionThreshold {
		doublings := min(h.consecutiveFailures-ejectionThreshold, maxDoublings)
		h.ejectedUntil = now.Add(min(maxEjection, baseEjection<<doublings))
	}
}

// recordSuccess ends a series of failures.
func (h *health) recordSuccess() { h.consecutiveFailures = 0 }

// ejected reports whether the agent should get no calls. openCalls is the
// number of this entry's calls to the agent that have not ended.
func (h *health) ejected(now time.Time, openCalls int) bool {
	return h.consecutiveFailures >= ejectionThreshold && (now.Before(h.ejectedUntil) || openCalls > 0)
}

// penalty returns what the agent's failures add to its cost.
func (h *health) penalty() time.Duration {
	return time.Duration(min(h.consecutiveFailures, ejectionThreshold)) * failurePenalty
}

const (
	// slowdownWeight is the weight of the newest call in the moving average of
	// an agent's slowdown.
	slowdownWeight = 0.2
	// slowdownDecay is the time constant with which the slowdown decays to 1
	// when there are no new calls.
	slowdownDecay = 30 * time.Second
	// slowdownSlack is added to the latencies that are compared, so that small
	// absolute delays don't make an agent with short calls count as slow.
	slowdownSlack = 100 * time.Millisecond
	// slowdownTolerance is the slowdown up to which an agent does not count as
	// slow.
	slowdownTolerance = 2.0
	// baselineWeight is the weight of the newest call in the moving average
	// over all agents.
	baselineWeight = 0.02
	// maxSlowdown limits the slowdown that a single call can show.
	maxSlowdown = 16.0
)

// slowdown is a moving average of the ratio of an agent's actual to its
// expected latency, relative to that of all agents.
type slowdown struct {
	factor    float64
	updatedAt time.Time
}

// multiplier returns the factor to apply to the agent's expected latency.
func (s *slowdown) multiplier(now time.Time) float64 { return max(1, s.decayed(now)/slowdownTolerance) }

// decayed returns the factor after its decay since the last update.
func (s *slowdown) decayed(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp(-float64(now.Sub(s.updatedAt))/float64(slowdownDecay))
}

// observe updates the slowdown from a call and returns the updated baseline.
// baseline is the moving average of the ratio of actual to expected latency
// over all agents. expected already includes the multiplier, which is taken out
// again so that the ratio refers to an agent of normal speed.
func (s *slowdown) observe(now time.Time, latency, expected time.Duration, baseline float64) float64 {
	ratio := min(maxSlowdown, s.multiplier(now)*float64(latency+slowdownSlack)/float64(expected+slowdownSlack))
	s.factor = s.decayed(now) + slowdownWeight*(ratio/baseline-s.decayed(now))
	s.updatedAt = now
	return baseline + baselineWeight*(ratio-baseline)
}
