package route

import (
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// stallFactor and leastStall say when a call without a sign of life is
	// overdue, by its expected time.
	stallFactor = 4
	leastStall  = 2 * time.Second
)

// Ticket is a call that was sent to an agent.
type Ticket struct {
	track    *track
	peer     *fleet.Peer
	sentAt   time.Time
	due      time.Time
	expected time.Duration
	tokens   int
	// prompt is the work on the prompt until the first sign of life.
	prompt float64
	blocks []uint64
	// known is how many of the blocks were there before this call.
	known int
	// Cached is how many tokens of the prompt are expected to be cached.
	Cached int
	// seen is set by the first sign of life.
	seen bool
}

// Outcome is how a sent call has ended.
type Outcome int

// The outcomes of sent calls.
const (
	// Answered means that a whole answer came.
	Answered Outcome = iota
	// Refused means that the agent did not run the call.
	Refused
	// Failed means that the agent or its endpoint failed.
	Failed
	// Overdue means that the deadline passed. The agent has failed if it has
	// given no sign of life for long.
	Overdue
	// Stopped means that the call ended for a reason of its own.
	Stopped
)

// Sent notes that a call goes to an agent.
func (r *Router) Sent(now time.Time, p *fleet.Peer, q Query) *Ticket {
	t := r.track(p)
	k := &Ticket{
		track:    t,
		peer:     p,
		sentAt:   now,
		expected: t.expected(now, p, q),
		tokens:   q.Tokens,
		blocks:   q.Blocks,
		Cached:   min(q.Prompt, int(t.cached(q))),
	}
	whole := k.expected
	if !q.Streams {
		whole += time.Duration(q.Tokens) * time.Duration(p.Load.GetNsPerToken())
	}
	k.due = now.Add(max(leastStall, stallFactor*whole))
	k.prompt = t.uncached(q)
	k.known = t.cache.Add(q.Blocks)
	t.open++
	t.pending = append(t.pending, k)
	t.moved(p, move{
		at:     now,
		calls:  1,
		tokens: q.Tokens,
		prompt: k.prompt,
	})
	return k
}

// Begun notes the first token of a streamed answer.
func (r *Router) Begun(now time.Time, k *Ticket) {
	if !k.seen {
		k.seen = true
		k.track.moved(k.peer, move{
			at:     now,
			prompt: -k.prompt,
		})
		k.prompt = 0
		r.norm = k.track.slow.observe(now, now.Sub(k.sentAt), k.expected, r.norm)
	}
}

// Ended notes the end of a call. wait is what a refusing agent said.
func (r *Router) Ended(now time.Time, k *Ticket, o Outcome, wait time.Duration) {
	t := k.track
	if o == Overdue && !k.seen && now.After(k.due) {
		o = Failed
	}
	k.seen = true
	t.open--
	t.moved(k.peer, move{
		at:     now,
		calls:  -1,
		tokens: -k.tokens,
		prompt: -k.prompt,
	})
	switch o {
	case Answered:
		t.health.succeeded()
	case Failed:
		t.health.failed(now)
	case Refused:
		t.busyUntil = later(t.busyUntil, now.Add(wait))
	}
	if o == Failed || o == Refused {
		t.cache.Remove(k.blocks[k.known:])
	}
}

// Cached takes over cache events that an agent relays.
func (r *Router) Cached(host string, events *wirepb.CacheEvents) {
	p := r.fleet.Peer(host)
	if p == nil || !p.Linked() {
		return
	}
	cache := r.track(p).cache
	if events.GetCleared() {
		cache.Clear()
	}
	if events.GetGap() {
		cache.Gap()
	}
	cache.Remove(events.GetEvicted())
	cache.Add(events.GetStored())
}
