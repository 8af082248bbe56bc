package quota

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// requestTimeout bounds how long a call waits for the coordinator's answer.
	requestTimeout = 150 * time.Millisecond
	// maxCoordinatorSilence is how long a coordinator may be silent before
	// entries stop requesting tokens from it.
	maxCoordinatorSilence = 1500 * time.Millisecond
	// roundingMargin covers the tokens lost to rounding, as transfers are
	// counted in millitokens.
	roundingMargin = 0.01
)

// tokenRequest holds a customer's calls that wait for tokens.
type tokenRequest struct {
	calls []pendingCall
	// reportSequence is the sequence of the report that carried the request, 0
	// if none has been sent.
	reportSequence uint64
	// deniedUntil is the time before which no further request is sent.
	deniedUntil time.Time
}

// pendingCall is a call for which the entry's share held too few tokens.
type pendingCall struct {
	id       string
	tokens   float64
	queuedAt time.Time
}

// Decision is the result of Node.Reserve.
type Decision int

// Results of Node.Reserve.
const (
	// Refused means that the tokens are not available.
	Refused Decision = iota
	// Admitted means that the tokens are reserved.
	Admitted
	// Pending means that a Resolve effect with the result will follow.
	Pending
)

// Answer is the answer to Node.Reserve.
type Answer struct {
	Decision Decision
	// Reservation is set if the decision is Admitted.
	Reservation Reservation
	// RetryAfter is set if the decision is Refused: the time after which to retry,
	// zero if a retry can't succeed.
	RetryAfter time.Duration
	Effects    []Effect
}

// Reserve reserves tokens for a call. If the entry's share holds too few, it
// requests more from the coordinator before it refuses the call.
func (n *Node) Reserve(now time.Time, id, customer string, tokens float64) Answer {
	reservation, wait, ok := n.TryReserve(now, customer, tokens)
	if ok {
		return Answer{
			Decision:    Admitted,
			Reservation: reservation,
		}
	}
	req, known := n.requests[customer]
	if !known {
		req = &tokenRequest{}
		n.requests[customer] = req
	}
	unreachable := n.coordinatorHost == "" || now.Sub(n.coordinatorHeardAt) > maxCoordinatorSilence
	if unreachable || now.Before(req.deniedUntil) || tokens > n.limits[customer].Burst {
		return Answer{
			Decision:   Refused,
			RetryAfter: wait,
			Effects:    n.flushEffects(now),
		}
	}
	req.calls = append(req.calls, pendingCall{
		id:       id,
		tokens:   tokens,
		queuedAt: now,
	})
	n.requestTokens(now, customer, req)
	return Answer{
		Decision: Pending,
		Effects:  n.flushEffects(now),
	}
}

// TryReserve reserves tokens from the entry's own share only.
func (n *Node) TryReserve(now time.Time, customer string, tokens float64) (reservation Reservation, wait time.Duration, ok bool) {
	n.holder.recordDemand(now, customer, tokens)
	return n.holder.reserve(now, customer, tokens)
}

// Settle ends a reservation, given the tokens that were used, which may be
// fewer or more than were reserved.
func (n *Node) Settle(now time.Time, customer string, reservation Reservation, used float64) {
	n.holder.settle(now, customer, reservation, used)
}

// requestTokens reports to the coordinator how many tokens the pending calls
// lack. At most one request per customer is outstanding.
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

// handleAnswers resolves the requests that a grant answers.
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

// resolveRequest admits the pending calls that fit into the share. The others
// are refused if the request was denied; otherwise tokens are requested again.
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

// expireRequests resolves as denied the requests whose oldest call has waited
// for requestTimeout.
func (n *Node) expireRequests(now time.Time) {
	for customer, req := range n.requests {
		if len(req.calls) > 0 && now.Sub(req.calls[0].queuedAt) >= requestTimeout {
			req.deniedUntil = now.Add(maxDenial)
			n.resolveRequest(now, customer, req, true)
		}
	}
}

// NextDeadline returns when the oldest pending call times out, the zero time if
// none is pending.
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
