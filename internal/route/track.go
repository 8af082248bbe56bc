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
	// prefillFree is when the endpoint has prefilled all prompts it has.
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
	at      time.Time
	calls   int
	tokens  int
	prefill time.Duration
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
	t.calls, t.tokens = 0, 0
	t.busyUntil = time.Time{}
	t.prefillFree = at.Add(prefillTime(p, float64(p.Load.GetPrefillTokens())))
	for _, m := range t.moves {
		t.apply(m)
	}
}

// apply adds a move to the sums.
func (t *track) apply(m move) {
	t.calls += m.calls
	t.tokens += m.tokens
	if m.prefill > 0 {
		t.prefillFree = later(t.prefillFree, m.at).Add(m.prefill)
	}
}

// moved notes a move.
func (t *track) moved(m move) {
	if len(t.moves) >= maxMoves {
		t.moves = t.moves[maxMoves/2:]
	}
	t.moves = append(t.moves, m)
	t.apply(m)
}

// expected returns the time to the first token of a call, network apart.
func (t *track) expected(now time.Time, p *fleet.Peer, q Query) time.Duration {
	cost := baseCost + t.queueWait(p) + t.prefill(p, q)
	cost += max(0, t.prefillFree.Sub(now))
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

// prefill returns the time for the part of a prompt that is not cached.
func (t *track) prefill(p *fleet.Peer, q Query) time.Duration {
	return prefillTime(p, max(0, float64(q.Prompt)-t.cached(q)))
}

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
