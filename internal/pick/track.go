// Package pick estimates how soon each endpoint would answer and chooses the
// best one.
package pick

import (
	"time"
)

const (
	// failureWeight is the weight of one outcome in the average of failures.
	failureWeight = 0.2
	// failureThreshold is the share of failures from which an endpoint is avoided.
	failureThreshold = 0.25
	// probeInterval is how often an avoided endpoint is tried.
	probeInterval = time.Second
	// refusalBackoff is how long an endpoint that said it is full gets nothing.
	refusalBackoff = 150 * time.Millisecond
	// connectFailureBackoff is how long an endpoint that could not be reached gets nothing.
	connectFailureBackoff = time.Second
	// slowdownWeight is the weight of one observation in an endpoint's slowness.
	slowdownWeight = 0.15
	minSlowdown    = 0.5
	maxSlowdown    = 20
	// slowdownHalfLife is the time in which an estimate of slowness halves its distance
	// to normal while nothing is observed.
	slowdownHalfLife = 4 * time.Second
	// remoteLoadLifetime is how long a report of others' requests counts.
	remoteLoadLifetime = 1500 * time.Millisecond
	// maxPromptParts bounds the parts of prompts remembered for an endpoint.
	maxPromptParts = 512
	// promptPartLifetime is how long an endpoint is expected to keep a part.
	promptPartLifetime = 20 * time.Second
)

// Load is a number of requests at an endpoint and the prefill that waits.
type Load struct {
	// Running counts all requests sent and not ended.
	Running int
	// PendingPrefill is the expected prefill of those without a first event.
	PendingPrefill time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Running:        l.Running + other.Running,
		PendingPrefill: l.PendingPrefill + other.PendingPrefill,
	}
}

// Sub returns what is left of a load without a part of it.
func (l Load) Sub(part Load) Load {
	return Load{
		Running:        l.Running - part.Running,
		PendingPrefill: l.PendingPrefill - part.PendingPrefill,
	}
}

// EndpointStats is what an entry has seen of one endpoint.
type EndpointStats struct {
	Local Load

	remote   Load
	remoteAt time.Time

	failureRate  float64
	nextProbeAt  time.Time
	backoffUntil time.Time

	slowdown   float64
	slowdownAt time.Time

	promptParts map[uint64]time.Time
}

// NewEndpointStats returns the track of an endpoint that was not used yet.
func NewEndpointStats() *EndpointStats {
	return &EndpointStats{
		slowdown:    1,
		promptParts: make(map[uint64]time.Time),
	}
}

// SetRemote takes the load that other entries have put on the endpoint.
func (s *EndpointStats) SetRemote(now time.Time, load Load) {
	s.remote = load
	s.remoteAt = now
}

// Load returns the load of all entries.
func (s *EndpointStats) Load(now time.Time) Load {
	if now.Sub(s.remoteAt) > remoteLoadLifetime {
		return s.Local
	}
	return s.Local.Add(s.remote)
}

// RecordSuccess counts a whole answer.
func (s *EndpointStats) RecordSuccess() { s.failureRate *= 1 - failureWeight }

// RecordFailure counts a failure that the endpoint is to blame for.
func (s *EndpointStats) RecordFailure(now time.Time) {
	s.failureRate += failureWeight * (1 - s.failureRate)
	s.nextProbeAt = now.Add(probeInterval)
}

// RecordRefusal counts an answer that says the endpoint is full.
func (s *EndpointStats) RecordRefusal(now time.Time) {
	s.backoffUntil = now.Add(refusalBackoff)
}

// RecordConnectFailure counts a failed connection.
func (s *EndpointStats) RecordConnectFailure(now time.Time) {
	s.RecordFailure(now)
	s.backoffUntil = now.Add(connectFailureBackoff)
}

// Usable reports whether the endpoint should get a request. An endpoint that
// fails often gets one now and then.
func (s *EndpointStats) Usable(now time.Time) bool {
	if now.Before(s.backoffUntil) {
		return false
	}
	return s.failureRate < failureThreshold || !now.Before(s.nextProbeAt)
}

// RecordSent notes a request; an endpoint on probation gets no other for a while.
func (s *EndpointStats) RecordSent(now time.Time) {
	if s.failureRate >= failureThreshold {
		s.nextProbeAt = now.Add(probeInterval)
	}
}

// ObserveFirstByte compares the time to the first byte with what was expected.
func (s *EndpointStats) ObserveFirstByte(now time.Time, expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(observed.Seconds()/expected.Seconds(), minSlowdown), maxSlowdown)
	s.slowdown = s.Slowdown(now)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	s.slowdownAt = now
}

// Slowdown returns by which factor the endpoint is slower than expected.
func (s *EndpointStats) Slowdown(now time.Time) float64 {
	if s.slowdownAt.IsZero() {
		return 1
	}
	remaining := 1.0
	for elapsed := now.Sub(s.slowdownAt); elapsed > slowdownHalfLife; elapsed -= slowdownHalfLife {
		remaining /= 2
		if remaining < 0.01 {
			return 1
		}
	}
	return 1 + (s.slowdown-1)*remaining
}

// PromptPart is a piece of a prompt, known by the hash of all pieces up to its end.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// CachedTokens returns how many tokens at the start of a prompt the endpoint has
// probably kept.
func (s *EndpointStats) CachedTokens(now time.Time, parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		at, ok := s.promptParts[p.Hash]
		if !ok || now.Sub(at) > promptPartLifetime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// RecordPrompt notes that the endpoint has read a prompt.
func (s *EndpointStats) RecordPrompt(now time.Time, parts []PromptPart) {
	if len(s.promptParts) > maxPromptParts {
		for hash, at := range s.promptParts {
			if now.Sub(at) > promptPartLifetime || len(s.promptParts) > maxPromptParts {
				delete(s.promptParts, hash)
			}
		}
	}
	for _, p := range parts {
		s.promptParts[p.Hash] = now
	}
}

// ForgetPrompts drops what is known of kept prompts, since a model was unloaded.
func (s *EndpointStats) ForgetPrompts() { clear(s.promptParts) }

// BackingOff reports whether the endpoint has just refused a request or a
// connection.
func (s *EndpointStats) BackingOff(now time.Time) bool { return now.Before(s.backoffUntil) }
