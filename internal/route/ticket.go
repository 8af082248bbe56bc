package route

import (
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// A call without a response is overdue after stallFactor times its expected
	// time, but not before minStallTimeout. The expected time is that to the
	// first token of a streamed response, or to the end of any other.
	stallFactor     = 4
	minStallTimeout = 2 * time.Second
)

// SentCall is a call that was sent to an agent.
type SentCall struct {
	agent  *agentState
	peer   *fleet.Peer
	sentAt time.Time
	// overdueAt is the time from which a missing response counts as a stall.
	overdueAt time.Time
	// expected is the expected time to the first token.
	expected time.Duration
	tokens   int
	// prefillTokens is the number of prompt tokens still to be computed. It is
	// 0 after the first token.
	prefillTokens float64
	blockHashes   []uint64
	// knownBlocks is the number of leading blocks that were expected in the
	// agent's cache before this call.
	knownBlocks int
	// CachedTokens is the number of prompt tokens expected to be in the agent's
	// cache.
	CachedTokens int
	// responded is set at the first token or the end of the call.
	responded bool
}

// Outcome is the result of a call that was sent.
type Outcome int

// The possible outcomes.
const (
	// Completed means that a complete response was received.
	Completed Outcome = iota
	// Refused means that the agent did not run the call.
	Refused
	// Failed means that the agent or its endpoint failed.
	Failed
	// DeadlineExceeded means that the deadline has passed. It counts as a
	// failure of the agent if the call was overdue without a response.
	DeadlineExceeded
	// OtherError means that the call ended for a reason unrelated to the
	// agent's health.
	OtherError
)

// RecordSent records that a call is sent to an agent.
func (r *Router) RecordSent(now time.Time, p *fleet.Peer, q Query) *SentCall {
	state := r.state(p)
	call := &SentCall{
		agent:        state,
		peer:         p,
		sentAt:       now,
		expected:     state.timeToFirstToken(now, p, q),
		tokens:       q.TotalTokens,
		blockHashes:  q.BlockHashes,
		CachedTokens: min(q.PromptTokens, int(state.cachedTokens(q))),
	}
	responseTime := call.expected
	if !q.Streaming {
		responseTime += time.Duration(q.TotalTokens) * time.Duration(p.Load.GetNsPerToken())
	}
	call.overdueAt = now.Add(max(minStallTimeout, stallFactor*responseTime))
	call.prefillTokens = state.uncachedTokens(q)
	call.knownBlocks = state.cache.Add(q.BlockHashes)
	state.openCalls++
	state.pendingCalls = append(state.pendingCalls, call)
	state.recordChange(p, loadChange{
		at:            now,
		calls:         1,
		tokens:        q.TotalTokens,
		prefillTokens: call.prefillTokens,
	})
	return call
}

// RecordFirstToken records the first token of a streamed response.
func (r *Router) RecordFirstToken(now time.Time, call *SentCall) {
	if !call.responded {
		call.responded = true
		call.agent.recordChange(call.peer, loadChange{
			at:            now,
			prefillTokens: -call.prefillTokens,
		})
		call.prefillTokens = 0
		r.baseline = call.agent.slowdown.observe(now, now.Sub(call.sentAt), call.expected, r.baseline)
	}
}

// RecordEnd records the outcome of a call. retryAfter is the delay that an
// agent asked for when it refused the call.
func (r *Router) RecordEnd(now time.Time, call *SentCall, outcome Outcome, retryAfter time.Duration) {
	state := call.agent
	if outcome == DeadlineExceeded && !call.responded && now.After(call.overdueAt) {
		outcome = Failed
	}
	call.responded = true
	state.openCalls--
	state.recordChange(call.peer, loadChange{
		at:            now,
		calls:         -1,
		tokens:        -call.tokens,
		prefillTokens: -call.prefillTokens,
	})
	switch outcome {
	case Completed:
		state.health.recordSuccess()
	case Failed:
		state.health.recordFailure(now)
	case Refused:
		state.busyUntil = latest(state.busyUntil, now.Add(retryAfter))
	}
	if outcome == Failed || outcome == Refused {
		state.cache.Remove(call.blockHashes[call.knownBlocks:])
	}
}

// ApplyCacheEvents updates the expected cache contents of an agent from the
// events it relays.
func (r *Router) ApplyCacheEvents(host string, events *wirepb.CacheEvents) {
	p := r.fleet.Peer(host)
	if p == nil || !p.Linked() {
		return
	}
	cache := r.state(p).cache
	if events.GetCleared() {
		cache.Clear()
	}
	if events.GetGap() {
		cache.MarkGap()
	}
	cache.Remove(events.GetEvicted())
	cache.Add(events.GetStored())
}
