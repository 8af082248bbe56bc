package quota

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// requestTimeout bounds how long a call waits for the coordinator's answer.
	requestTimeout = 150 * time.Millisecond
	// maxCoordinatorSilence is how long a coordinator may be silent to be asked.
	maxCoordinatorSilence = 1500 * time.Millisecond
	// roundingMargin covers what is lost as moves count in millitokens.
	roundingMargin = 0.01
)

// tokenRequest is a customer's calls that wait for tokens.
type tokenRequest struct {
	calls []pendingCall
	// reportSequence is that of the report that asked for them, 0 if none has.
	reportSequence uint64
	// deniedUntil is when to ask again.
	deniedUntil time.Time
}

// pendingCall is a call that the share was too small for.
type pendingCall struct {
	id       string
	tokens   float64
	queuedAt time.Time
}

// Decision is the answer to a reservation.
type Decision int

// The decisions.
const (
	// Refused means that the customer's right is spent.
	Refused Decision = iota
	// Admitted means that the tokens are reserved.
	Admitted
	// Pending means that a Decide will follow.
	Pending
)

// Reserve takes tokens for a call, or asks the coordinator for more before it
// refuses. A refusal says after what time to try again, zero if never.
func (n *Node) Reserve(now time.Time, id, customer string, tokens float64) (Decision, Reservation, time.Duration, []Effect) {
	reservation, wait, ok := n.TryReserve(now, customer, tokens)
	if ok {
		return Admitted, reservation, 0, nil
	}
	req, known := n.requests[customer]
	if !known {
		req = &tokenRequest{}
		n.requests[customer] = req
	}
	unreachable := n.coordinatorHost == "" || now.Sub(n.coordinatorHeardAt) > maxCoordinatorSilence
	if unreachable || now.Before(req.deniedUntil) || tokens > n.limits[customer].Burst {
		return Refused, Reservation{}, wait, n.flushEffects(now)
	}
	req.calls = append(req.calls, pendingCall{
		id:       id,
		tokens:   tokens,
		queuedAt: now,
	})
	n.requestTokens(now, customer, req)
	return Pending, Reservation{}, 0, n.flushEffects(now)
}

// TryReserve takes tokens without asking for more.
func (n *Node) TryReserve(now time.Time, customer string, tokens float64) (reservation Reservation, wait time.Duration, ok bool) {
	n.holder.recordDemand(now, customer, tokens)
	return n.holder.reserve(now, customer, tokens)
}

// Settle ends a reservation, of which less or more was used.
func (n *Node) Settle(now time.Time, customer string, reservation Reservation, used float64) {
	n.holder.settle(now, customer, reservation, used)
}

// requestTokens tells the coordinator what the waiting calls lack. One question for each
// customer is open at a time.
func (n *Node) requestTokens(now time.Time, customer string, req *tokenRequest) {
	if req.reportSequence != 0 {
		return
	}
	account := n.holder.account(now, customer)
	account.shortfall = roundingMargin - account.share.bucket.Tokens(now)
	for _, call := range req.calls {
		account.shortfall += call.tokens
	}
	req.reportSequence = n.holder.reportSequence + 1
	n.sendReport(now, false)
}

// handleAnswers decides the waiting calls whose question was handleAnswers.
func (n *Node) handleAnswers(now time.Time, g *wirepb.ShareGrant) {
	for _, m := range g.GetMoves() {
		req, known := n.requests[m.GetCustomer()]
		if !known || req.reportSequence == 0 {
			continue
		}
		denied := m.GetDeniedMs() > 0
		if denied {
			req.deniedUntil = now.Add(time.Duration(m.GetDeniedMs()) * time.Millisecond)
		}
		if denied || g.GetAnswered() >= req.reportSequence {
			n.resolveRequest(now, m.GetCustomer(), req, denied)
		}
	}
}

// resolveRequest admits the waiting calls that fit. If the question was denied the
// others are refused, else they are asked for again.
func (n *Node) resolveRequest(now time.Time, customer string, req *tokenRequest, denied bool) {
	calls := req.calls
	req.calls, req.reportSequence = nil, 0
	n.holder.account(now, customer).shortfall = 0
	for _, call := range calls {
		reservation, wait, ok := n.holder.reserve(now, customer, call.tokens)
		if !ok && !denied {
			req.calls = append(req.calls, call)
			continue
		}
		n.effects = append(n.effects, Resolve{
			ID:          call.id,
			OK:          ok,
			Reservation: reservation,
			Wait:        wait,
		})
	}
	if len(req.calls) > 0 {
		n.requestTokens(now, customer, req)
	}
}

// expireRequests refuses the calls that have waited too long.
func (n *Node) expireRequests(now time.Time) {
	for customer, req := range n.requests {
		if len(req.calls) > 0 && now.Sub(req.calls[0].queuedAt) >= requestTimeout {
			req.deniedUntil = now.Add(maxDenial)
			n.resolveRequest(now, customer, req, true)
		}
	}
}

// NextDeadline returns when the oldest waiting call must be decided, zero if none
// waits.
func (n *Node) NextDeadline() time.Time {
	var earliest time.Time
	for _, req := range n.requests {
		if len(req.calls) > 0 && (earliest.IsZero() || req.calls[0].queuedAt.Before(earliest)) {
			earliest = req.calls[0].queuedAt
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	return earliest.Add(requestTimeout)
}
