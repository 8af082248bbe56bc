// Package pick estimates how soon each endpoint would respond to a request and
// chooses the best one.
package pick

import (
	"time"
)

const (
	// failureWeight is the weight of one outcome in the average failure rate.
	failureWeight = 0.2
	// failureThreshold is the failure rate from which an endpoint is avoided.
	failureThreshold = 0.25
	// probeInterval is the time between requests to an avoided endpoint.
	probeInterval = time.Second
	// refusalBackoff is how long an endpoint gets no requests after it was full.
	refusalBackoff = 150 * time.Millisecond
	// connectFailureBackoff is how long an endpoint gets no requests after a
	// connection to it failed.
	connectFailureBackoff = time.Second
	// slowdownWeight is the weight of one observation in the average slowdown of
	// an endpoint.
	slowdownWeight = 0.15
	minSlowdown    = 0.5
	maxSlowdown    = 20
	// slowdownHalfLife is the time in which the difference of a slowdown estimate
	// from 1 halves while there are no observations.
	slowdownHalfLife = 4 * time.Second
	// remoteLoadLifetime is how long a report of other entries' load counts.
	remoteLoadLifetime = 1500 * time.Millisecond
	// maxPromptParts is the number of prompt parts remembered for an endpoint
	// beyond which parts are dropped.
	maxPromptParts = 512
	// promptPartLifetime is how long an endpoint is expected to cache a prompt part.
	promptPartLifetime = 20 * time.Second
)

// Load is the number of requests at an endpoint and the prefill pending there.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// PendingPrefill is the expected prefill time of the requests that have had no
	// event yet.
	PendingPrefill time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Running:        l.Running + other.Running,
		PendingPrefill: l.PendingPrefill + other.PendingPrefill,
	}
}

// Sub returns a load without a part of it.
func (l Load) Sub(part Load) Load {
	return Load{
		Running:        l.Running - part.Running,
		PendingPrefill: l.PendingPrefill - part.PendingPrefill,
	}
}

// EndpointStats is what an entry has observed of one endpoint.
type EndpointStats struct {
	// Local is the load from this entry, remote the load from all others.
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

// NewEndpointStats returns the statistics of an endpoint that was not used yet.
func NewEndpointStats() *EndpointStats {
	return &EndpointStats{
		slowdown:    1,
		promptParts: make(map[uint64]time.Time),
	}
}

// SetRemote sets the load that other entries put on the endpoint.
func (s *EndpointStats) SetRemote(now time.Time, load Load) {
	s.remote = load
	s.remoteAt = now
}

// RemoteAt returns when the load of other entries was last set, zero if it never was.
func (s *EndpointStats) RemoteAt() time.Time { return s.remoteAt }

// Load returns the load from all entries. That from other entries counts only for
// remoteLoadLifetime after it was set.
func (s *EndpointStats) Load(now time.Time) Load {
	if now.Sub(s.remoteAt) > remoteLoadLifetime {
		return s.Local
	}
	return s.Local.Add(s.remote)
}

// RecordSuccess counts a complete response.
func (s *EndpointStats) RecordSuccess() { s.failureRate *= 1 - failureWeight }

// RecordFailure counts a failure that the endpoint caused.
func (s *EndpointStats) RecordFailure(now time.Time) {
	s.failureRate += failureWeight * (1 - s.failureRate)
	s.nextProbeAt = now.Add(probeInterval)
}

// RecordRefusal records a response that says that the endpoint is full.
func (s *EndpointStats) RecordRefusal(now time.Time) { s.backOff(now, refusalBackoff) }

// RecordRetryAfter records that the endpoint wants no requests for a time.
func (s *EndpointStats) RecordRetryAfter(now time.Time, retryAfter time.Duration) {
	s.backOff(now, retryAfter)
}

func (s *EndpointStats) backOff(now time.Time, duration time.Duration) {
	if until := now.Add(duration); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// RecordConnectFailure counts a failed connection.
func (s *EndpointStats) RecordConnectFailure(now time.Time) {
	s.RecordFailure(now)
	s.backOff(now, connectFailureBackoff)
}

// Usable reports whether the endpoint should get a request. An endpoint that fails
// often gets one per probeInterval.
func (s *EndpointStats) Usable(now time.Time) bool {
	if now.Before(s.backoffUntil) {
		return false
	}
	return s.failureRate < failureThreshold || !now.Before(s.nextProbeAt)
}

// RecordSent records that a request was sent. An endpoint that fails often gets no
// other one for probeInterval.
func (s *EndpointStats) RecordSent(now time.Time) {
	if s.failureRate >= failureThreshold {
		s.nextProbeAt = now.Add(probeInterval)
	}
}

// ObserveFirstByte records the expected and the observed time to the first byte.
func (s *EndpointStats) ObserveFirstByte(now time.Time, expected, observed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(observed.Seconds()/expected.Seconds(), minSlowdown), maxSlowdown)
	s.slowdown = s.Slowdown(now)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	s.slowdownAt = now
}

// Slowdown returns the factor by which the endpoint is slower than expected.
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

// PromptPart is a part of a prompt, identified by the hash of the prompt up to its
// end.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// CachedTokens returns how many tokens at the start of a prompt the endpoint has
// probably cached.
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

// RecordPrompt records that the endpoint has processed a prompt.
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

// ForgetPrompts drops all prompt parts. It is meant for an endpoint that has
// unloaded a model.
func (s *EndpointStats) ForgetPrompts() { clear(s.promptParts) }

// BackingOff reports whether the endpoint gets no requests because it has refused
// a request or a connection.
func (s *EndpointStats) BackingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

// BackoffUntil returns the time until which BackingOff holds.
func (s *EndpointStats) BackoffUntil() time.Time { return s.backoffUntil }
