package route

import (
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/prefix"
)

const (
	// defaultPrefillRate is the prefill rate, in tokens a second, of an agent that
	// tells none.
	defaultPrefillRate = 10_000
	// baseLatency is the time to the first token of a call with an empty prompt
	// at an idle endpoint.
	baseLatency = 20 * time.Millisecond
	// maxLoadChanges bounds the remembered moves of an agent.
	maxLoadChanges = 4 << 10
	// tokensPerBlock is how many tokens a block of a prompt has.
	tokensPerBlock = prefix.BlockBytes / 3.0
)

// agentState is what an entry knows of an agent beside its reports.
type agentState struct {
	incarnation uint64
	sequence    uint64
	// changes are the calls sent and answered since the last report was taken.
	changes       []loadChange
	calls         int
	tokens        int
	prefillTokens float64
	// prefillDoneAt is when the endpoint should have prefilled all its prompts.
	prefillDoneAt time.Time
	// busyUntil is what the agent said when it refused a call.
	busyUntil    time.Time
	openCalls    int
	pendingCalls []*SentCall
	slowdown     slowdown
	health       health
	cache        *prefix.Cache
}

// loadChange is a call that came to an agent or left it.
type loadChange struct {
	at     time.Time
	calls  int
	tokens int
	// prefillTokens is the work on a prefillTokens in tokens; it leaves with the first sign
	// of life.
	prefillTokens float64
}

func newAgentState(incarnation uint64, blocks int) *agentState {
	return &agentState{
		incarnation: incarnation,
		slowdown:    slowdown{factor: 1},
		cache:       prefix.NewCache(blocks),
	}
}

// applyReport drops the moves that a report includes.
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

// applyChange adds a move to the sums.
func (s *agentState) applyChange(p *fleet.Peer, change loadChange) {
	s.calls += change.calls
	s.tokens += change.tokens
	s.prefillTokens += change.prefillTokens
	if change.prefillTokens > 0 {
		s.prefillDoneAt = latest(s.prefillDoneAt, change.at).Add(prefillTime(p, change.prefillTokens))
	}
}

// recordChange notes a move.
func (s *agentState) recordChange(p *fleet.Peer, change loadChange) {
	if len(s.changes) >= maxLoadChanges {
		s.changes = s.changes[maxLoadChanges/2:]
	}
	s.changes = append(s.changes, change)
	s.applyChange(p, change)
}

// timeToFirstToken returns the time to the first token of a call, network apart.
func (s *agentState) timeToFirstToken(now time.Time, p *fleet.Peer, q Query) time.Duration {
	cost := baseLatency + s.queueWait(p) + s.prefillWait(now, p) + prefillTime(p, s.uncachedTokens(q))
	cost = time.Duration(float64(cost) * s.slowdown.multiplier(now))
	cost = max(cost, s.busyUntil.Sub(now))
	if oldest := s.oldestPending(); oldest != nil && now.After(oldest.overdueAt) {
		cost += now.Sub(oldest.sentAt)
	}
	return cost + s.health.penalty()
}

// queueWait returns how long a call waits for a slot.
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

// prefillWait returns how long the prompts before a call take: no longer than
// the work takes that has shown no sign of life, nor than it should have taken.
func (s *agentState) prefillWait(now time.Time, p *fleet.Peer) time.Duration {
	outstanding := prefillTime(p, max(0, float64(p.Load.GetPrefillTokens())+s.prefillTokens))
	return max(0, min(outstanding, s.prefillDoneAt.Sub(now)))
}

// uncachedTokens returns how many tokens of a prompt are not expected to be cached.
func (s *agentState) uncachedTokens(q Query) float64 {
	return max(0, float64(q.PromptTokens)-s.cachedTokens(q))
}

// prefillTime returns the time for prompt tokens.
func prefillTime(p *fleet.Peer, tokens float64) time.Duration {
	rate := p.Load.GetPrefillTokensPerSecond()
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// cachedTokens returns how many tokens of a prompt are expected to be cachedTokens.
func (s *agentState) cachedTokens(q Query) float64 {
	return s.cache.Expected(q.BlockHashes) * tokensPerBlock
}

// oldestPending returns the call that has waited longest for a sign of life.
func (s *agentState) oldestPending() *SentCall {
	for len(s.pendingCalls) > 0 && s.pendingCalls[0].responded {
		s.pendingCalls = s.pendingCalls[1:]
	}
	if len(s.pendingCalls) == 0 {
		return nil
	}
	return s.pendingCalls[0]
}

// unavailable reports whether an agent should get no calls for now.
func (s *agentState) unavailable(now time.Time) bool {
	oldest := s.oldestPending()
	stalled := oldest != nil && now.After(oldest.overdueAt)
	return stalled || s.health.ejected(now, s.openCalls)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
