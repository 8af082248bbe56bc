// Package pick estimates how soon each endpoint would answer and chooses the
// best one.
package pick

import (
	"time"
)

const (
	// failWeight is the weight of one outcome in the average of failures.
	failWeight = 0.2
	// failLimit is the share of failures from which an endpoint is avoided.
	failLimit = 0.25
	// probePause is how often an avoided endpoint is tried.
	probePause = time.Second
	// refusalPause is how long an endpoint that said it is full gets nothing.
	refusalPause = 150 * time.Millisecond
	// downPause is how long an endpoint that could not be reached gets nothing.
	downPause = time.Second
	// slowWeight is the weight of one observation in an endpoint's slowness.
	slowWeight = 0.15
	leastSlow  = 0.5
	mostSlow   = 20
	// slowFade is the time in which an estimate of slowness halves its distance
	// to normal while nothing is observed.
	slowFade = 4 * time.Second
	// otherLoadLifetime is how long a report of others' requests counts.
	otherLoadLifetime = 1500 * time.Millisecond
	// keptPrompts bounds the parts of prompts remembered for an endpoint.
	keptPrompts = 512
	// promptLifetime is how long an endpoint is expected to keep a part.
	promptLifetime = 20 * time.Second
)

// Load is a number of requests at an endpoint and the prefill that waits.
type Load struct {
	// Running counts all requests sent and not ended.
	Running int
	// Waiting is the expected prefill of those without a first event.
	Waiting time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Running: l.Running + other.Running,
		Waiting: l.Waiting + other.Waiting,
	}
}

// Sub returns what is left of a load without a part of it.
func (l Load) Sub(part Load) Load {
	return Load{
		Running: l.Running - part.Running,
		Waiting: l.Waiting - part.Waiting,
	}
}

// Track is what an entry has seen of one endpoint.
type Track struct {
	Own Load

	others   Load
	othersAt time.Time

	failures  float64
	nextProbe time.Time
	avoid     time.Time

	slow   float64
	slowAt time.Time

	prompts map[uint64]time.Time
}

// NewTrack returns the track of an endpoint that was not used yet.
func NewTrack() *Track {
	return &Track{
		slow:    1,
		prompts: make(map[uint64]time.Time),
	}
}

// SetOthers takes the load that other entries have put on the endpoint.
func (t *Track) SetOthers(now time.Time, load Load) {
	t.others = load
	t.othersAt = now
}

// Load returns the load of all entries.
func (t *Track) Load(now time.Time) Load {
	if now.Sub(t.othersAt) > otherLoadLifetime {
		return t.Own
	}
	return t.Own.Add(t.others)
}

// Succeeded counts a whole answer.
func (t *Track) Succeeded() { t.failures *= 1 - failWeight }

// Failed counts a failure that the endpoint is to blame for.
func (t *Track) Failed(now time.Time) {
	t.failures += failWeight * (1 - t.failures)
	t.nextProbe = now.Add(probePause)
}

// Refused counts an answer that says the endpoint is full.
func (t *Track) Refused(now time.Time) {
	t.avoid = now.Add(refusalPause)
}

// Down counts a failed connection.
func (t *Track) Down(now time.Time) {
	t.Failed(now)
	t.avoid = now.Add(downPause)
}

// Usable reports whether the endpoint should get a request. An endpoint that
// fails often gets one now and then.
func (t *Track) Usable(now time.Time) bool {
	if now.Before(t.avoid) {
		return false
	}
	return t.failures < failLimit || !now.Before(t.nextProbe)
}

// Sent notes a request; an endpoint on probation gets no other for a while.
func (t *Track) Sent(now time.Time) {
	if t.failures >= failLimit {
		t.nextProbe = now.Add(probePause)
	}
}

// Observe compares the time to the first byte with what was expected.
func (t *Track) Observe(now time.Time, expected, seen time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(seen.Seconds()/expected.Seconds(), leastSlow), mostSlow)
	t.slow = t.Slow(now)
	t.slow += slowWeight * (ratio - t.slow)
	t.slowAt = now
}

// Slow returns by which factor the endpoint is slower than expected.
func (t *Track) Slow(now time.Time) float64 {
	if t.slowAt.IsZero() {
		return 1
	}
	kept := 1.0
	for passed := now.Sub(t.slowAt); passed > slowFade; passed -= slowFade {
		kept /= 2
		if kept < 0.01 {
			return 1
		}
	}
	return 1 + (t.slow-1)*kept
}

// Part is a piece of a prompt, known by the hash of all pieces up to its end.
type Part struct {
	Hash   uint64
	Tokens int
}

// Cached returns how many tokens at the start of a prompt the endpoint has
// probably kept.
func (t *Track) Cached(now time.Time, parts []Part) int {
	tokens := 0
	for _, p := range parts {
		at, ok := t.prompts[p.Hash]
		if !ok || now.Sub(at) > promptLifetime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// Remember notes that the endpoint has read a prompt.
func (t *Track) Remember(now time.Time, parts []Part) {
	if len(t.prompts) > keptPrompts {
		for hash, at := range t.prompts {
			if now.Sub(at) > promptLifetime || len(t.prompts) > keptPrompts {
				delete(t.prompts, hash)
			}
		}
	}
	for _, p := range parts {
		t.prompts[p.Hash] = now
	}
}

// Forget drops what is known of kept prompts, since a model was unloaded.
func (t *Track) Forget() { clear(t.prompts) }

// Avoided reports whether the endpoint has just refused a request or a
// connection.
func (t *Track) Avoided(now time.Time) bool { return now.Before(t.avoid) }
