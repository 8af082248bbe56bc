package pick

import (
	"math/rand/v2"
	"time"
)

// Candidate describes an endpoint that could serve a request.
type Candidate struct {
	Stats *EndpointStats
	// Slots is how many requests the endpoint runs concurrently.
	Slots int
	// SameZone is whether the endpoint is in the entry's availability zone.
	SameZone bool
	// Cold is whether the endpoint has just started and is still slow.
	Cold bool
	// ExpectedFirstByte is the time to the first byte that is expected for the
	// request by itself, without other requests at the endpoint.
	ExpectedFirstByte time.Duration
	// DelayPerRunning is how much each running request adds to ExpectedFirstByte.
	DelayPerRunning time.Duration
	// Concurrent is whether the endpoint runs the requests in its slots side by side, as plain
	// endpoints do. Engines process prompts one after the other.
	Concurrent bool
}

const (
	// crossZoneCost is how much faster an endpoint in another availability zone
	// must be to be chosen, since traffic between zones is charged for.
	crossZoneCost = 6 * time.Millisecond
	// coldStartCost is the penalty for endpoints that have just started.
	coldStartCost = 100 * time.Millisecond
	// jitter spreads the choices of entries that decide at the same time over
	// equal endpoints.
	jitter = 2 * time.Millisecond
	// unhealthyCost makes an unhealthy endpoint the last choice.
	unhealthyCost = time.Hour
)

// Estimate returns the expected time to the first byte of the response.
func Estimate(now time.Time, c Candidate) time.Duration {
	if c.Concurrent {
		return EstimateUnqueued(now, c) // the wait for a slot is all that other requests cost
	}
	prefill := time.Duration(float64(c.Stats.Load(now).PendingPrefill) * c.Stats.Slowdown(now))
	return prefill + EstimateUnqueued(now, c)
}

// EstimateUnqueued returns the expected time to the first byte if no other prompt is
// waiting at the endpoint.
func EstimateUnqueued(now time.Time, c Candidate) time.Duration {
	return time.Duration(float64(serviceTime(now, c)) * c.Stats.Slowdown(now))
}

// EstimateScheduled is EstimateUnqueued for endpoints that are sent their prompts one
// at a time, so that the prompts don't slow each other down.
func EstimateScheduled(now time.Time, c Candidate) time.Duration {
	return time.Duration(float64(serviceTime(now, c)) * ExcessSlowdown(now, c.Stats))
}

// ExcessSlowdown returns the factor by which an endpoint is slower than its load
// explains. Contention with the prompts and events of other requests makes an
// endpoint up to maxContentionSlowdown times as slow.
func ExcessSlowdown(now time.Time, stats *EndpointStats) float64 {
	return max(stats.Slowdown(now)/maxContentionSlowdown, 1)
}

// maxContentionSlowdown is the factor by which a busy but healthy endpoint may be
// slower than expected.
const maxContentionSlowdown = 2.0

// serviceTime returns the expected time to the first byte at an endpoint of normal
// speed, including the delay by running requests and the wait for a slot.
func serviceTime(now time.Time, c Candidate) time.Duration {
	running, slot := loadDelays(now, c)
	return c.ExpectedFirstByte + running + slot
}

// loadDelays returns the delay by running requests and the wait for a slot at an endpoint of
// normal speed.
func loadDelays(now time.Time, c Candidate) (running, slot time.Duration) {
	load := c.Stats.Load(now)
	// A full endpoint starts a request when a running one ends, in the order of
	// its queue.
	queued := max(0, load.Running+1-c.Slots)
	slot = time.Duration(float64(queued) / float64(max(c.Slots, 1)) * float64(slotHoldTime(c)))
	return time.Duration(load.Running) * c.DelayPerRunning, slot
}

// Penalty returns what is added to the estimate of an endpoint when it is compared
// with others.
func Penalty(c Candidate) time.Duration {
	var sum time.Duration
	if !c.SameZone {
		sum += crossZoneCost
	}
	if c.Cold {
		sum += coldStartCost
	}
	return sum
}

// occupancyCost is the cost of the requests that run at a plain endpoint: they don't delay
// another one while slots are free, but the loads of other entries are known late, and an
// endpoint may slow down when it is nearly full.
func occupancyCost(now time.Time, c Candidate) time.Duration {
	if !c.Concurrent {
		return 0
	}
	return time.Duration(c.Stats.Load(now).Running) * c.ExpectedFirstByte / time.Duration(max(c.Slots, 1))
}

// slotHoldTime estimates how long a request holds its slot: until the first byte at a plain
// endpoint, otherwise a multiple of that. The estimate ignores the length of the response.
func slotHoldTime(c Candidate) time.Duration {
	if c.Concurrent {
		return c.ExpectedFirstByte
	}
	return max(c.ExpectedFirstByte*slotHoldFactor, minSlotHoldTime)
}

const (
	slotHoldFactor  = 2
	minSlotHoldTime = 30 * time.Millisecond
)

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the chosen candidate, -1 if there is none.
	Index    int
	Estimate time.Duration
	// Healthy is false if all candidates are failing or full.
	Healthy bool
}

// Choose returns the candidate with the lowest estimate, penalties included. It
// returns an unhealthy candidate only if all are unhealthy.
func Choose(now time.Time, random *rand.Rand, candidates []Candidate) Choice {
	best := Choice{Index: -1}
	lowestCost := time.Duration(0)
	for i, c := range candidates {
		estimate := Estimate(now, c)
		usable := c.Stats.Usable(now)
		cost := Cost(now, c) + time.Duration(random.Int64N(int64(jitter)))
		if best.Index < 0 || cost < lowestCost {
			lowestCost = cost
			best = Choice{
				Index:    i,
				Estimate: estimate,
				Healthy:  usable,
			}
		}
	}
	return best
}

// PrefillRate estimates how fast the endpoints of a model process prompts.
type PrefillRate struct {
	tokensPerMs float64
	// samples is the number of observations.
	samples int
}

const (
	// Prefill rates are in tokens per millisecond. prefillRateWeight is the least
	// weight of one observation in the estimate.
	initialPrefillRate = 20.0
	prefillRateWeight  = 0.05
	minPrefillRate     = 2.0
	// MinSampleTokens is the length of the shortest prompt from which a rate can
	// be derived, minPrefillTime the shortest prefill time that can be
	// distinguished from zero.
	MinSampleTokens = 200
	minPrefillTime  = 2 * time.Millisecond
	// grossErrorFactor is the factor by which an observation at a busy endpoint
	// must exceed the estimate to count; smaller differences come from prompts
	// that are partly cached.
	grossErrorFactor = 2.0
	// minRemoteSamples is how many observations an estimate of another entry must
	// be based on to be used.
	minRemoteSamples = 4
	maxPrefillRate   = 400.0
	// FirstByteOverhead is the part of the time to the first byte that is
	// independent of the prompt.
	FirstByteOverhead = 25 * time.Millisecond
)

// NewPrefillRate returns the initial estimate for a model without observations.
func NewPrefillRate() *PrefillRate { return &PrefillRate{tokensPerMs: initialPrefillRate} }

// PrefillTime returns the expected time to process a prompt.
func (r *PrefillRate) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.tokensPerMs * float64(time.Millisecond))
}

// FirstByteTime returns the expected time to the first byte at an idle endpoint.
func (r *PrefillRate) FirstByteTime(tokens int) time.Duration {
	return FirstByteOverhead + r.PrefillTime(tokens)
}

// Observe records the time to the first byte of a prompt at an endpoint. If the
// endpoint was not idle, the time includes other prompts, and is used only if it
// shows that the estimated rate is far too low.
func (r *PrefillRate) Observe(tokens int, observed time.Duration, idle bool) {
	if tokens < MinSampleTokens {
		return
	}
	prefill := max(observed-FirstByteOverhead, minPrefillTime)
	rate := float64(tokens) / (float64(prefill) / float64(time.Millisecond))
	if idle || rate > grossErrorFactor*r.tokensPerMs {
		r.update(rate)
	}
}

// update adds one observation. The first ones have more weight.
func (r *PrefillRate) update(rate float64) {
	r.samples++
	weight := max(prefillRateWeight, 1/float64(r.samples+1))
	rate = min(max(rate, minPrefillRate), maxPrefillRate)
	r.tokensPerMs += weight * (rate - r.tokensPerMs)
}

// Value returns the estimated rate in tokens per millisecond and the number of
// observations.
func (r *PrefillRate) Value() (tokensPerMs float64, samples int) { return r.tokensPerMs, r.samples }

// MergeRemote adds the estimate of another entry as one observation if it is
// based on enough observations itself.
func (r *PrefillRate) MergeRemote(tokensPerMs float64, samples int) {
	if samples >= minRemoteSamples {
		r.update(tokensPerMs)
	}
}
