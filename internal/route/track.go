package route

import (
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/prefix"
)

const (
	// defaultPrefill is the prefill rate, in tokens a second, of an agent that
	// tells none.
	defaultPrefill = 10_000
	// baseCost is the time to the first token of a call with an empty prompt
	// at an idle endpoint.
	baseCost = 20 * time.Millisecond
	// maxMoves bounds the remembered moves of an agent.
	maxMoves = 4 << 10
	// blockTokens is how many tokens a block of a prompt has.
	blockTokens = prefix.BlockBytes / 3.0
)

// track is what an entry knows of an agent beside its reports.
type track struct {
	incarnation uint64
	sequence    uint64
	// moves are the calls sent and answered since the last report was taken.
	moves  []move
	calls  int
	tokens int
	prompt float64
	// prefillFree is when the endpoint should have prefilled all its prompts.
	prefillFree time.Time
	// busyUntil is what the agent said when it refused a call.
	busyUntil time.Time
	open      int
	pending   []*Ticket
	slow      slowness
	health    health
	cache     *prefix.Cache
}

// move is a call that came to an agent or left it.
type move struct {
	at     time.Time
	calls  int
	tokens int
	// prompt is the work on a prompt in tokens; it leaves with the first sign
	// of life.
	prompt float64
}

func newTrack(incarnation uint64, blocks int) *track {
	return &track{
		incarnation: incarnation,
		slow:        slowness{factor: 1},
		cache:       prefix.NewCache(blocks),
	}
}

// reported drops the moves that a report includes.
func (t *track) reported(p *fleet.Peer) {
	t.sequence = p.Load.GetSequence()
	at := p.LoadAt.Add(-time.Duration(p.Load.GetAgeMs()) * time.Millisecond)
	kept := 0
	for kept < len(t.moves) && !t.moves[kept].at.After(at) {
		kept++
	}
	t.moves = t.moves[kept:]
	t.calls, t.tokens, t.prompt = 0, 0, 0
	t.busyUntil = time.Time{}
	t.prefillFree = at.Add(prefillTime(p, float64(p.Load.GetPrefillTokens())))
	for _, m := range t.moves {
		t.apply(p, m)
	}
}

// apply adds a move to the sums.
func (t *track) apply(p *fleet.Peer, m move) {
	t.calls += m.calls
	t.tokens += m.tokens
	t.prompt += m.prompt
	if m.prompt > 0 {
		t.prefillFree = later(t.prefillFree, m.at).Add(prefillTime(p, m.prompt))
	}
}

// moved notes a move.
func (t *track) moved(p *fleet.Peer, m move) {
	if len(t.moves) >= maxMoves {
		t.moves = t.moves[maxMoves/2:]
	}
	t.moves = append(t.moves, m)
	t.apply(p, m)
}

// expected returns the time to the first token of a call, network apart.
func (t *track) expected(now time.Time, p *fleet.Peer, q Query) time.Duration {
	cost := baseCost + t.queueWait(p) + t.promptWait(now, p) + prefillTime(p, t.uncached(q))
	cost = time.Duration(float64(cost) * t.slow.at(now))
	cost = max(cost, t.busyUntil.Sub(now))
	if oldest := t.oldest(); oldest != nil && now.After(oldest.due) {
		cost += now.Sub(oldest.sentAt)
	}
	return cost + t.health.penalty()
}

// queueWait returns how long a call waits for a slot.
func (t *track) queueWait(p *fleet.Peer) time.Duration {
	calls := max(t.open, int(p.Load.GetRunning()+p.Load.GetQueued())+t.calls)
	slots := max(1, int(p.Load.GetSlots()))
	if calls < slots {
		return 0
	}
	tokens := max(calls, int(p.Load.GetRunningTokens()+p.Load.GetQueuedTokens())+t.tokens)
	perToken := time.Duration(p.Load.GetNsPerToken())
	return time.Duration(tokens/calls*(calls-slots+1)) * perToken / time.Duration(slots)
}

// promptWait returns how long the prompts before a call take: no longer than
// the work takes that has shown no sign of life, nor than it should have taken.
func (t *track) promptWait(now time.Time, p *fleet.Peer) time.Duration {
	open := prefillTime(p, max(0, float64(p.Load.GetPrefillTokens())+t.prompt))
	return max(0, min(open, t.prefillFree.Sub(now)))
}

// uncached returns how many tokens of a prompt are not expected to be cached.
func (t *track) uncached(q Query) float64 { return max(0, float64(q.Prompt)-t.cached(q)) }

// prefillTime returns the time for prompt tokens.
func prefillTime(p *fleet.Peer, tokens float64) time.Duration {
	rate := p.Load.GetPrefillTokensPerSecond()
	if rate <= 0 {
		rate = defaultPrefill
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// cached returns how many tokens of a prompt are expected to be cached.
func (t *track) cached(q Query) float64 { return t.cache.Expected(q.Blocks) * blockTokens }

// oldest returns the call that has waited longest for a sign of life.
func (t *track) oldest() *Ticket {
	for len(t.pending) > 0 && t.pending[0].seen {
		t.pending = t.pending[1:]
	}
	if len(t.pending) == 0 {
		return nil
	}
	return t.pending[0]
}

// ejected reports whether an agent should get no calls for now.
func (t *track) ejected(now time.Time) bool {
	oldest := t.oldest()
	stalled := oldest != nil && now.After(oldest.due)
	return stalled || t.health.ejected(now, t.open)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
