package pick

import (
	"math/rand/v2"
	"time"
)

// Candidate is an endpoint that could serve a request.
type Candidate struct {
	Track *Track
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Near endpoints are in the entry's availability zone.
	Near bool
	// Cold endpoints have just started and are slow.
	Cold bool
	// Expected is the time that the request itself takes to its first byte.
	Expected time.Duration
	// PerRunning is how much each running request adds to it.
	PerRunning time.Duration
}

const (
	// farCost is what another availability zone must be faster by; bytes between
	// zones cost.
	farCost = 6 * time.Millisecond
	// coldCost is added for endpoints that have just started.
	coldCost = 100 * time.Millisecond
	// jitter spreads equal endpoints over entries that decide at once.
	jitter = 2 * time.Millisecond
	// unhealthyCost makes an endpoint the last choice.
	unhealthyCost = time.Hour
)

// Estimate returns the expected time to the first byte of the answer.
func Estimate(now time.Time, c Candidate) time.Duration {
	waiting := time.Duration(float64(c.Track.Load(now).Waiting) * c.Track.Slow(now))
	return waiting + Alone(now, c)
}

// Alone returns the expected time to the first byte if no other prompt waits at
// the endpoint.
func Alone(now time.Time, c Candidate) time.Duration {
	return time.Duration(float64(work(now, c)) * c.Track.Slow(now))
}

// Spaced is Alone for endpoints that get their prompts one after the other.
func Spaced(now time.Time, c Candidate) time.Duration {
	return time.Duration(float64(work(now, c)) * Faulty(now, c.Track))
}

// Faulty returns by which factor an endpoint is slower than its load explains:
// the prompts and events of others make it up to contention times as slow.
func Faulty(now time.Time, t *Track) float64 { return max(t.Slow(now)/contention, 1) }

// contention is by how much a busy endpoint that is sound may be slower than
// expected.
const contention = 2.0

func work(now time.Time, c Candidate) time.Duration {
	load := c.Track.Load(now)
	// A full endpoint starts a request when a running one ends; those before it
	// in the queue go first.
	queued := max(0, load.Running+1-c.Slots)
	turn := time.Duration(float64(queued) / float64(max(c.Slots, 1)) * float64(slotTime(c)))
	return c.Expected + time.Duration(load.Running)*c.PerRunning + turn
}

// Handicap returns what is added to an endpoint's estimate for the comparison
// with others.
func Handicap(c Candidate) time.Duration {
	var sum time.Duration
	if !c.Near {
		sum += farCost
	}
	if c.Cold {
		sum += coldCost
	}
	return sum
}

// slotTime is how long a request holds its slot, by rule of thumb.
func slotTime(c Candidate) time.Duration {
	return max(c.Expected*holdFactor, leastSlotTime)
}

const (
	holdFactor    = 2
	leastSlotTime = 30 * time.Millisecond
)

// Choice is the outcome of Best.
type Choice struct {
	// Index is the place of the chosen candidate, -1 if there is none.
	Index    int
	Estimate time.Duration
	// Healthy is false if all candidates fail or are full.
	Healthy bool
}

// Best returns the candidate with the lowest estimate. Unhealthy ones are chosen
// only if all are.
func Best(now time.Time, random *rand.Rand, candidates []Candidate) Choice {
	best := Choice{Index: -1}
	lowest := time.Duration(0)
	for i, c := range candidates {
		estimate := Estimate(now, c)
		usable := c.Track.Usable(now)
		cost := estimate + time.Duration(random.Int64N(int64(jitter))) + Handicap(c)
		if !usable {
			cost += unhealthyCost
		}
		if best.Index < 0 || cost < lowest {
			lowest = cost
			best = Choice{
				Index:    i,
				Estimate: estimate,
				Healthy:  usable,
			}
		}
	}
	return best
}

// Pace learns how fast the endpoints of a model read prompts.
type Pace struct {
	tokensPerMs float64
	// samples is how many times were observed.
	samples int
}

const (
	firstPace  = 20.0
	paceWeight = 0.05
	leastPace  = 2.0
	// FewestTokens is the shortest prompt that tells a pace, leastReading the
	// shortest time that is told from none.
	FewestTokens = 200
	leastReading = 2 * time.Millisecond
	// grossError is by how much a pace must be too low for a busy endpoint to
	// show it; smaller differences come from prompts that are partly kept.
	grossError = 2.0
	// fewSamples is how many observations an estimate of others needs.
	fewSamples = 4
	mostPace   = 400.0
	// FirstByteFloor is the part of the time to the first byte that doesn't
	// depend on the prompt.
	FirstByteFloor = 25 * time.Millisecond
)

// NewPace returns the pace of a model that nothing is known of.
func NewPace() *Pace { return &Pace{tokensPerMs: firstPace} }

// Prefill returns how long a prompt takes to be read.
func (p *Pace) Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.tokensPerMs * float64(time.Millisecond))
}

// Expected returns the time to the first byte at an idle endpoint.
func (p *Pace) Expected(tokens int) time.Duration { return FirstByteFloor + p.Prefill(tokens) }

// Observe takes the time that an endpoint took for a prompt. If it was not idle,
// the time holds other prompts too, and only shows that a pace is far too low.
func (p *Pace) Observe(tokens int, seen time.Duration, idle bool) {
	if tokens < FewestTokens {
		return
	}
	reading := max(seen-FirstByteFloor, leastReading)
	pace := float64(tokens) / (float64(reading) / float64(time.Millisecond))
	if idle || pace > grossError*p.tokensPerMs {
		p.learn(pace)
	}
}

// learn takes one observation. The first ones count more.
func (p *Pace) learn(pace float64) {
	p.samples++
	weight := max(paceWeight, 1/float64(p.samples+1))
	pace = min(max(pace, leastPace), mostPace)
	p.tokensPerMs += weight * (pace - p.tokensPerMs)
}

// Known returns the tokens read in a millisecond, and how often that was
// observed.
func (p *Pace) Known() (tokensPerMs float64, samples int) { return p.tokensPerMs, p.samples }

// Hear takes another entry's estimate, if that rests on more than a few
// observations.
func (p *Pace) Hear(tokensPerMs float64, samples int) {
	if samples >= fewSamples {
		p.learn(tokensPerMs)
	}
}
