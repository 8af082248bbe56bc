package route

import (
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/prefix"
)

const (
	// defaultPrefillRate is the prefill rate, in tokens per second, assumed for
	// an agent that reports none.
	defaultPrefillRate = 10_000
	// baseLatency is the time to the first token of a call with an empty prompt
	// at an idle endpoint.
	baseLatency = 20 * time.Millisecond
	// maxLoadChanges limits the load changes that are kept for an agent.
	maxLoadChanges = 4 << 10
	// tokensPerBlock is the assumed number of tokens in a prompt block, at 3
	// bytes per token.
	tokensPerBlock = prefix.BlockBytes / 3.0
)

// agentState is what this entry knows about an agent in addition to the agent's
// load reports.
type agentState struct {
	incarnation uint64
	// sequence is the sequence number of the last load report that was applied.
	sequence uint64
	// changes are the effects of calls sent and ended since the last load
	// report was taken. calls, tokens and prefillTokens are their sums.
	changes       []loadChange
	calls         int
	tokens        int
	prefillTokens float64
	// prefillDoneAt is the time at which the endpoint is expected to have
	// processed all its prompts.
	prefillDoneAt time.Time
	// busyUntil is the time before which the agent asked for no retry when it
	// refused a call.
	busyUntil time.Time
	// openCalls is the number of calls from this entry that have not ended.
	openCalls int
	// pendingCalls are the calls without a response, in the order they were
	// sent. Calls with a response are removed when they are the oldest.
	pendingCalls []*SentCall
	slowdown     slowdown
	health       health
	cache        *prefix.CacheEstimate
}

// loadChange is the effect on an agent's load of a call that was sent, had its
// first token, or ended.
type loadChange struct {
	at     time.Time
	calls  int
	tokens int
	// prefillTokens is the change in prompt tokens to be computed. They are
	// subtracted at the first token or, without one, at the end of the call.
	prefillTokens float64
}

// newAgentState returns the state of an agent to which no call was sent. Its cache
// estimate holds at most the given number of blocks.
func newAgentState(incarnation uint64, blocks int) *agentState {
	return &agentState{
		incarnation: incarnation,
		slowdown:    slowdown{factor: 1},
		cache:       prefix.NewCacheEstimate(blocks),
	}
}

// applyReport removes the load changes that the agent's latest report includes,
// and recomputes the sums of the others.
func (s *agentState) applyReport(p *fleet.Peer) {
	s.sequence = p.Load.GetSequence()
	measuredAt := p.LoadReceivedAt.Add(-time.Duration(p.Load.GetAgeMs()) * time.Millisecond)
	included := 0
	for included < len(s.changes) && !s.changes[included].at.After(measuredAt) {
		included++
	}
	s.changes = s.changes[included:]
	s.calls, s.tokens, s.prefillTokens = 0, 0, 0
	s.busyUntil = time.Time{}
	s.prefillDoneAt = measuredAt.Add(prefillTime(p, float64(p.Load.GetPrefillTokens())))
	for _, change := range s.changes {
		s.applyChange(p, change)
	}
}

// applyChange adds a load change to the sums.
func (s *agentState) applyChange(p *fleet.Peer, change loadChange) {
	s.calls += change.calls
	s.tokens += change.tokens
	s.prefillTokens += change.prefillTokens
	if change.prefillTokens > 0 {
		s.prefillDoneAt = latest(s.prefillDoneAt, change.at).Add(prefillTime(p, change.prefillTokens))
	}
}

// recordChange keeps a load change and applies it. If there are too many, the
// older half is dropped.
func (s *agentState) recordChange(p *fleet.Peer, change loadChange) {
	if len(s.changes) >= maxLoadChanges {
		s.changes = s.changes[maxLoadChanges/2:]
	}
	s.changes = append(s.changes, change)
	s.applyChange(p, change)
}

// timeToFirstToken returns the expected time to the first token of a call,
// without the network.
func (s *agentState) timeToFirstToken(now time.Time, p *fleet.Peer, q Query) time.Duration {
	cost := baseLatency + s.queueWait(p) + s.prefillWait(now, p) + prefillTime(p, s.uncachedTokens(q))
	cost = time.Duration(float64(cost) * s.slowdown.multiplier(now))
	cost = max(cost, s.busyUntil.Sub(now))
	if oldest := s.oldestPending(); oldest != nil && now.After(oldest.overdueAt) {
		cost += now.Sub(oldest.sentAt)
	}
	return cost + s.health.penalty()
}

// queueWait returns the expected time until a slot is free for a call.
func (s *agentState) queueWait(p *fleet.Peer) time.Duration {
	calls := max(s.openCalls, int(p.Load.GetRunning()+p.Load.GetQueued())+s.calls)
	slots := max(1, int(p.Load.GetSlots()))
	if calls < slots {
		return 0
	}
	tokens := max(calls, int(p.Load.GetRunningTokens()+p.Load.GetQueuedTokens())+s.tokens)
	perToken := time.Duration(p.Load.GetNsPerToken())
	return time.Duration(tokens/calls*(calls-slots+1)) * perToken / time.Duration(slots)
}

// prefillWait returns the expected time to process the prompts ahead of a call.
// It is the lesser of two estimates: the time for the prompts without a first
// token yet, and the time until prefillDoneAt.
func (s *agentState) prefillWait(now time.Time, p *fleet.Peer) time.Duration {
	outstanding := prefillTime(p, max(0, float64(p.Load.GetPrefillTokens())+s.prefillTokens))
	return max(0, min(outstanding, s.prefillDoneAt.Sub(now)))
}

// uncachedTokens returns how many prompt tokens are not expected to be in the
// agent's cache.
func (s *agentState) uncachedTokens(q Query) float64 {
	return max(0, float64(q.PromptTokens)-s.cachedTokens(q))
}

// prefillTime returns the time to process prompt tokens at the agent's prefill
// rate.
func prefillTime(p *fleet.Peer, tokens float64) time.Duration {
	rate := p.Load.GetPrefillTokensPerSecond()
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// cachedTokens returns how many prompt tokens are expected to be in the agent's
// cache.
func (s *agentState) cachedTokens(q Query) float64 {
	return s.cache.ExpectedHits(q.BlockHashes) * tokensPerBlock
}

// oldestPending returns the call that has waited longest for a response, or nil
// if none waits.
func (s *agentState) oldestPending() *SentCall {
	for len(s.pendingCalls) > 0 && s.pendingCalls[0].responded {
		s.pendingCalls = s.pendingCalls[1:]
	}
	if len(s.pendingCalls) == 0 {
		return nil
	}
	return s.pendingCalls[0]
}

// unavailable reports whether the agent should get no calls for now, because it
// is ejected or its oldest call is overdue.
func (s *agentState) unavailable(now time.Time) bool {
	oldest := s.oldestPending()
	stalled := oldest != nil && now.After(oldest.overdueAt)
	return stalled || s.health.ejected(now, s.openCalls)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
