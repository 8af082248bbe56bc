package pick

import (
	"math/rand/v2"
	"time"
)

// Candidate is an endpoint that could serve a request.
type Candidate struct {
	Stats *EndpointStats
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// SameZone endpoints are in the entry's availability zone.
	SameZone bool
	// Cold endpoints have just started and are slow.
	Cold bool
	// ExpectedFirstByte is the time that the request itself takes to its first byte.
	ExpectedFirstByte time.Duration
	// DelayPerRunning is how much each running request adds to it.
	DelayPerRunning time.Duration
}

const (
	// crossZoneCost is what another availability zone must be faster by; bytes between
	// zones cost.
	crossZoneCost = 6 * time.Millisecond
	// coldStartCost is added for endpoints that have just started.
	coldStartCost = 100 * time.Millisecond
	// jitter spreads equal endpoints over entries that decide at once.
	jitter = 2 * time.Millisecond
	// unhealthyCost makes an endpoint the last choice.
	unhealthyCost = time.Hour
)

// Estimate returns the expected time to the first byte of the answer.
func Estimate(now time.Time, c Candidate) time.Duration {
	prefill := time.Duration(float64(c.Stats.Load(now).PendingPrefill) * c.Stats.Slowdown(now))
	return prefill + EstimateUnqueued(now, c)
}

// EstimateUnqueued returns the expected time to the first byte if no other prompt waits at
// the endpoint.
func EstimateUnqueued(now time.Time, c Candidate) time.Duration {
	return time.Duration(float64(serviceTime(now, c)) * c.Stats.Slowdown(now))
}

// EstimateScheduled is Alone for endpoints that get their prompts one after the other.
func EstimateScheduled(now time.Time, c Candidate) time.Duration {
	return time.Duration(float64(serviceTime(now, c)) * ExcessSlowdown(now, c.Stats))
}

// ExcessSlowdown returns by which factor an endpoint is slower than its load explains:
// the prompts and events of others make it up to contention times as slow.
func ExcessSlowdown(now time.Time, stats *EndpointStats) float64 {
	return max(stats.Slowdown(now)/maxContentionSlowdown, 1)
}

// maxContentionSlowdown is by how much a busy endpoint that is sound may be slower than
// expected.
const maxContentionSlowdown = 2.0

func serviceTime(now time.Time, c Candidate) time.Duration {
	load := c.Stats.Load(now)
	// A full endpoint starts a request when a running one ends; those before it
	// in the queue go first.
	queued := max(0, load.Running+1-c.Slots)
	slotWait := time.Duration(float64(queued) / float64(max(c.Slots, 1)) * float64(slotHoldTime(c)))
	return c.ExpectedFirstByte + time.Duration(load.Running)*c.DelayPerRunning + slotWait
}

// Penalty returns what is added to an endpoint's estimate for the comparison
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

// slotHoldTime is how long a request holds its slot, by rule of thumb.
func slotHoldTime(c Candidate) time.Duration {
	return max(c.ExpectedFirstByte*slotHoldFactor, minSlotHoldTime)
}

const (
	slotHoldFactor  = 2
	minSlotHoldTime = 30 * time.Millisecond
)

// Choice is the outcome of Best.
type Choice struct {
	// Index is the place of the chosen candidate, -1 if there is none.
	Index    int
	Estimate time.Duration
	// Healthy is false if all candidates fail or are full.
	Healthy bool
}

// Choose returns the candidate with the lowest estimate. Unhealthy ones are chosen
// only if all are.
func Choose(now time.Time, random *rand.Rand, candidates []Candidate) Choice {
	best := Choice{Index: -1}
	lowestCost := time.Duration(0)
	for i, c := range candidates {
		estimate := Estimate(now, c)
		usable := c.Stats.Usable(now)
		cost := estimate + time.Duration(random.Int64N(int64(jitter))) + Penalty(c)
		if !usable {
			cost += unhealthyCost
		}
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

// PrefillRate learns how fast the endpoints of a model read prompts.
type PrefillRate struct {
	tokensPerMs float64
	// samples is how many times were observed.
	samples int
}

const (
	initialPrefillRate = 20.0
	prefillRateWeight  = 0.05
	minPrefillRate     = 2.0
	// MinSampleTokens is the shortest prompt that tells a pace, leastReading the
	// shortest time that is told from none.
	MinSampleTokens = 200
	minPrefillTime  = 2 * time.Millisecond
	// grossErrorFactor is by how much a pace must be too low for a busy endpoint to
	// show it; smaller differences come from prompts that are partly kept.
	grossErrorFactor = 2.0
	// minRemoteSamples is how many observations an estimate of others needs.
	minRemoteSamples = 4
	maxPrefillRate   = 400.0
	// FirstByteOverhead is the part of the time to the first byte that doesn't
	// depend on the prompt.
	FirstByteOverhead = 25 * time.Millisecond
)

// NewPrefillRate returns the pace of a model that nothing is known of.
func NewPrefillRate() *PrefillRate { return &PrefillRate{tokensPerMs: initialPrefillRate} }

// PrefillTime returns how long a prompt takes to be read.
func (r *PrefillRate) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.tokensPerMs * float64(time.Millisecond))
}

// FirstByteTime returns the time to the first byte at an idle endpoint.
func (r *PrefillRate) FirstByteTime(tokens int) time.Duration {
	return FirstByteOverhead + r.PrefillTime(tokens)
}

// Observe takes the time that an endpoint took for a prompt. If it was not idle,
// the time holds other prompts too, and only shows that a pace is far too low.
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

// update takes one observation. The first ones count more.
func (r *PrefillRate) update(rate float64) {
	r.samples++
	weight := max(prefillRateWeight, 1/float64(r.samples+1))
	rate = min(max(rate, minPrefillRate), maxPrefillRate)
	r.tokensPerMs += weight * (rate - r.tokensPerMs)
}

// Value returns the tokens read in a millisecond, and how often that was
// observed.
func (r *PrefillRate) Value() (tokensPerMs float64, samples int) { return r.tokensPerMs, r.samples }

// MergeRemote takes another entry's estimate, if that rests on more than a few
// observations.
func (r *PrefillRate) MergeRemote(tokensPerMs float64, samples int) {
	if samples >= minRemoteSamples {
		r.update(tokensPerMs)
	}
}
