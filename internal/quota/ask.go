package quota

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// askTimeout bounds how long a call waits for the coordinator's answer.
	askTimeout = 150 * time.Millisecond
	// leaderSilence is how long a coordinator may be silent to be asked.
	leaderSilence = 1500 * time.Millisecond
	// roundingTokens covers what is lost as moves count in millitokens.
	roundingTokens = 0.01
)

// ask is a customer's calls that wait for tokens.
type ask struct {
	calls []waiting
	// sequence is that of the report that asked for them, 0 if none has.
	sequence uint64
	// deniedUntil is when to ask again.
	deniedUntil time.Time
}

// waiting is a call that the share was too small for.
type waiting struct {
	id     string
	tokens float64
	since  time.Time
}

// Decision is the answer to a reservation.
type Decision int

// The decisions.
const (
	// Refused means that the customer's right is spent.
	Refused Decision = iota
	// Admitted means that the tokens are reserved.
	Admitted
	// Asked means that a Decide will follow.
	Asked
)

// Reserve takes tokens for a call, or asks the coordinator for more before it
// refuses. A refusal says after what time to try again, zero if never.
func (n *Node) Reserve(now time.Time, id, customer string, tokens float64) (Decision, Hold, time.Duration, []Effect) {
	hold, wait, ok := n.Take(now, customer, tokens)
	if ok {
		return Admitted, hold, 0, nil
	}
	a, known := n.asks[customer]
	if !known {
		a = &ask{}
		n.asks[customer] = a
	}
	away := n.leader == "" || now.Sub(n.heardAt) > leaderSilence
	if away || now.Before(a.deniedUntil) || tokens > n.limits[customer].Burst {
		return Refused, Hold{}, wait, n.finish(now)
	}
	a.calls = append(a.calls, waiting{
		id:     id,
		tokens: tokens,
		since:  now,
	})
	n.ask(now, customer, a)
	return Asked, Hold{}, 0, n.finish(now)
}

// Take takes tokens without asking for more.
func (n *Node) Take(now time.Time, customer string, tokens float64) (hold Hold, wait time.Duration, ok bool) {
	n.holder.want(now, customer, tokens)
	return n.holder.take(now, customer, tokens)
}

// Settle ends a reservation, of which less or more was used.
func (n *Node) Settle(now time.Time, customer string, hold Hold, used float64) {
	n.holder.settle(now, customer, hold, used)
}

// ask tells the coordinator what the waiting calls lack. One question for each
// customer is open at a time.
func (n *Node) ask(now time.Time, customer string, a *ask) {
	if a.sequence != 0 {
		return
	}
	account := n.holder.account(now, customer)
	account.need = roundingTokens - account.share.bucket.Tokens(now)
	for _, w := range a.calls {
		account.need += w.tokens
	}
	a.sequence = n.holder.sequence + 1
	n.report(now, false)
}

// answered decides the waiting calls whose question was answered.
func (n *Node) answered(now time.Time, g *wirepb.ShareGrant) {
	for _, m := range g.GetMoves() {
		a, known := n.asks[m.GetCustomer()]
		if !known || a.sequence == 0 {
			continue
		}
		denied := m.GetDeniedMs() > 0
		if denied {
			a.deniedUntil = now.Add(time.Duration(m.GetDeniedMs()) * time.Millisecond)
		}
		if denied || g.GetAnswered() >= a.sequence {
			n.decide(now, m.GetCustomer(), a, denied)
		}
	}
}

// decide admits the waiting calls that fit. If the question was denied the
// others are refused, else they are asked for again.
func (n *Node) decide(now time.Time, customer string, a *ask, denied bool) {
	calls := a.calls
	a.calls, a.sequence = nil, 0
	n.holder.account(now, customer).need = 0
	for _, w := range calls {
		hold, wait, ok := n.holder.take(now, customer, w.tokens)
		if !ok && !denied {
			a.calls = append(a.calls, w)
			continue
		}
		n.out = append(n.out, Decide{
			ID:   w.id,
			OK:   ok,
			Hold: hold,
			Wait: wait,
		})
	}
	if len(a.calls) > 0 {
		n.ask(now, customer, a)
	}
}

// expire refuses the calls that have waited too long.
func (n *Node) expire(now time.Time) {
	for customer, a := range n.asks {
		if len(a.calls) > 0 && now.Sub(a.calls[0].since) >= askTimeout {
			a.deniedUntil = now.Add(longestDenial)
			n.decide(now, customer, a, true)
		}
	}
}

// Next returns when the oldest waiting call must be decided, zero if none
// waits.
func (n *Node) Next() time.Time {
	var next time.Time
	for _, a := range n.asks {
		if len(a.calls) > 0 && (next.IsZero() || a.calls[0].since.Before(next)) {
			next = a.calls[0].since
		}
	}
	if next.IsZero() {
		return next
	}
	return next.Add(askTimeout)
}
