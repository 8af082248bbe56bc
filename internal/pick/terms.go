package pick

import "time"

// Terms are the parts of the cost of a candidate. Their sum is the cost by which it is
// compared with others.
type Terms struct {
	// Queue is the time until the endpoint begins with the prompt.
	Queue time.Duration
	// Request is the time that the request takes by itself.
	Request time.Duration
	// Running is the delay by running requests, Slot the wait for a slot.
	Running time.Duration
	Slot    time.Duration
	// Slowdown is what an endpoint that is slower than expected adds to the three above.
	Slowdown time.Duration
	// Zone, Cold and Unhealthy are the penalties for another availability zone, for a fresh
	// start and for failures.
	Zone      time.Duration
	Cold      time.Duration
	Unhealthy time.Duration
	// Occupancy is the penalty for the requests that run at a plain endpoint.
	Occupancy time.Duration
}

// TermsOf returns the terms of Cost.
func TermsOf(now time.Time, c Candidate) Terms {
	slowdown := c.Stats.Slowdown(now)
	t := newTerms(now, c, slowdown)
	t.Occupancy = occupancyCost(now, c)
	if !c.Concurrent {
		t.Queue = time.Duration(float64(c.Stats.Load(now).PendingPrefill) * slowdown)
	}
	if !c.Stats.Usable(now) {
		t.Unhealthy = unhealthyCost
	}
	return t
}

// ScheduledTermsOf returns the terms of EstimateScheduled and Penalty for an endpoint that
// begins with the prompt after a wait.
func ScheduledTermsOf(now time.Time, c Candidate, wait time.Duration) Terms {
	t := newTerms(now, c, ExcessSlowdown(now, c.Stats))
	t.Queue = wait
	return t
}

// newTerms returns all terms but the queue.
func newTerms(now time.Time, c Candidate, slowdown float64) Terms {
	running, slot := loadDelays(now, c)
	service := c.ExpectedFirstByte + running + slot
	t := Terms{
		Request:  c.ExpectedFirstByte,
		Running:  running,
		Slot:     slot,
		Slowdown: time.Duration(float64(service)*slowdown) - service,
	}
	if !c.SameZone {
		t.Zone = crossZoneCost
	}
	if c.Cold {
		t.Cold = coldStartCost
	}
	return t
}

// Estimate returns the expected time to the first byte of the response.
func (t Terms) Estimate() time.Duration {
	return t.Queue + t.Request + t.Running + t.Slot + t.Slowdown
}

// Cost returns the estimate with all penalties.
func (t Terms) Cost() time.Duration {
	return t.Estimate() + t.Zone + t.Cold + t.Unhealthy + t.Occupancy
}

// Cost returns the cost by which Choose compares candidates, without the random part that is
// less than MaxJitter.
func Cost(now time.Time, c Candidate) time.Duration {
	cost := Estimate(now, c) + Penalty(c) + occupancyCost(now, c)
	if !c.Stats.Usable(now) {
		cost += unhealthyCost
	}
	return cost
}

// MaxJitter bounds the random part of the cost of a candidate: it may decide between
// candidates whose costs differ by less.
const MaxJitter = jitter
