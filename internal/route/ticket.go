package route

import (
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// stallFactor and leastStall say when a call without a sign of life is
	// overdue, by its expected time.
	stallFactor     = 4
	minStallTimeout = 2 * time.Second
)

// SentCall is a call that was sent to an agent.
type SentCall struct {
	agent     *agentState
	peer      *fleet.Peer
	sentAt    time.Time
	overdueAt time.Time
	expected  time.Duration
	tokens    int
	// prefillTokens is the work on the prefillTokens until the first sign of life.
	prefillTokens float64
	blockHashes   []uint64
	// knownBlocks is how many of the blocks were there before this call.
	knownBlocks int
	// CachedTokens is how many tokens of the prompt are expected to be cached.
	CachedTokens int
	// responded is set by the first sign of life.
	responded bool
}

// Outcome is how a sent call has ended.
type Outcome int

// The outcomes of sent calls.
const (
	// Completed means that a whole answer came.
	Completed Outcome = iota
	// Refused means that the agent did not run the call.
	Refused
	// Failed means that the agent or its endpoint failed.
	Failed
	// DeadlineExceeded means that the deadline passed. The agent has failed if it has
	// given no sign of life for long.
	DeadlineExceeded
	// OtherError means that the call ended for a reason of its own.
	OtherError
)

// RecordSent notes that a call goes to an agent.
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
	full := call.expected
	if !q.Streaming {
		full += time.Duration(q.TotalTokens) * time.Duration(p.Load.GetNsPerToken())
	}
	call.overdueAt = now.Add(max(minStallTimeout, stallFactor*full))
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

// RecordFirstToken notes the first token of a streamed answer.
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

// RecordEnd notes the end of a call. wait is what a refusing agent said.
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

// ApplyCacheEvents takes over cache events that an agent relays.
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
		cache.Gap()
	}
	cache.Remove(events.GetEvicted())
	cache.Add(events.GetStored())
}
