package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// activeCall is a call that the reducer knows.
type activeCall struct {
	Call
	attempt int
	// modelVersion is the version of the model that the attempt asks for.
	modelVersion string
	host         string
	triedHosts   map[string]bool
	// claimHolder is the agent process that holds the claim of the call's key, if
	// one is known.
	claimHolder dedup.Process
	// agentIncarnation is the agent process of the last attempt.
	agentIncarnation uint64
	// pendingQuery is the question for the last attempt's outcome, nil if none is open.
	pendingQuery *outcomeQuery
	ticket       *route.SentCall
	// mayHaveRunErr is the failure of an attempt that may have run, nil if none has.
	mayHaveRunErr error
	// lastRefusal is the last refusal of an agent, nil if there was none.
	lastRefusal error
	// revokedAt is when the call lost its permission, toldAt when its agent
	// was last told to drop it.
	revokedAt  time.Time
	dropSentAt time.Time
}

// finalError returns the error that ends a call. A later refusal says nothing of an
// earlier attempt that may have run.
func (a *activeCall) finalError(err error) error {
	if a.mayHaveRunErr != nil && fault.VerdictOf(err) == fault.NotRun {
		return a.mayHaveRunErr
	}
	return err
}

// noAgentError returns why no agent can take a call: what the last one said, if
// any was asked.
func (a *activeCall) noAgentError() error {
	if a.lastRefusal != nil {
		return a.lastRefusal
	}
	err := fault.New(fault.NotRun, fault.CodeNoEndpoint, "no endpoint can take the call now")
	return fault.WithRetryAfter(err, noEndpointRetryAfter)
}

// handleArrival admits a call and sends it, or refuses it.
func (c *Core) handleArrival(now time.Time, call Call) []Effect {
	c.countDemand(call)
	if err := c.checkAdmission(now, call); err != nil {
		return failEffects(call.ID, err)
	}
	if !call.Authenticated {
		return c.dispatch(now, call)
	}
	pending, effects, err := c.reserveTokens(now, &call)
	switch {
	case err != nil:
		return append(effects, failEffects(call.ID, err)...)
	case pending:
		return effects
	default:
		return append(effects, c.dispatch(now, call)...)
	}
}

// dispatch sends a call whose tokens are reserved.
func (c *Core) dispatch(now time.Time, call Call) []Effect {
	active := &activeCall{
		Call:       call,
		triedHosts: make(map[string]bool),
	}
	c.calls[call.ID] = active
	c.retryBudget.RecordCall(now)
	return c.sendAttempt(now, active)
}

// checkAdmission says why a call can't be taken whatever its tokens are.
func (c *Core) checkAdmission(now time.Time, call Call) error {
	if c.drainEnded(now) {
		return fault.New(fault.NotRun, fault.CodeLeaving, "this entry is leaving")
	}
	if !c.ready || c.relay.Isolated(now) {
		return fault.New(fault.NotRun, fault.CodeNotReady, "this entry does not know the newest configuration")
	}
	return c.authorizeCall(call)
}

// sendAttempt makes the next attempt of a call, or gives it up.
func (c *Core) sendAttempt(now time.Time, call *activeCall) []Effect {
	if err := c.authorizeCall(call.Call); err != nil {
		return c.failCall(now, call, err)
	}
	if call.Model != "" {
		call.modelVersion = c.currentModelVersion(call)
	}
	peer, err := c.pickAgent(now, call)
	if err != nil {
		return c.failCall(now, call, err)
	}
	call.attempt++
	call.host, call.agentIncarnation = peer.Host.Name, peer.Incarnation
	call.ticket = c.router.RecordSent(now, peer, call.routeQuery())
	return []Effect{SendAttempt{
		ID:           call.ID,
		Attempt:      call.attempt,
		Host:         peer.Host.Name,
		Incarnation:  peer.Incarnation,
		Version:      call.modelVersion,
		Weight:       c.index.Config.Customers[call.Customer].Weight,
		ConfigOffset: c.fold.Accepted,
		CachedTokens: call.ticket.CachedTokens,

		EntryIncarnation: call.Reservation.Incarnation,
	}}
}

// pickAgent chooses the agent of the next attempt, or says why there is none.
func (c *Core) pickAgent(now time.Time, call *activeCall) (*fleet.Peer, error) {
	if call.claimHolder.Incarnation != 0 {
		return c.claimHolderPeer(call)
	}
	if call.HasIdempotencyKey {
		if peer := c.keyOwner(call); peer != nil {
			return peer, nil
		}
		return nil, call.noAgentError()
	}
	peer := c.router.Pick(now, call.routeQuery())
	if peer == nil {
		return nil, call.noAgentError()
	}
	return peer, nil
}

// failCall refuses a call. Its tokens are returned if it is proved not to have
// run.
func (c *Core) failCall(now time.Time, call *activeCall, err error) []Effect {
	err = call.finalError(err)
	usedTokens := 0.0
	if fault.VerdictOf(err) != fault.NotRun {
		usedTokens = call.Tokens
	}
	c.endCall(now, call, usedTokens)
	return append(failEffects(call.ID, err), c.finishShutdown(now)...)
}

// endCall ends a call's reservation and forgets the call.
func (c *Core) endCall(now time.Time, call *activeCall, usedTokens float64) {
	if call.Authenticated {
		c.settleReservation(now, call.Call, usedTokens)
	}
	delete(c.calls, call.ID)
}

// handleAttemptEnd ends a call, or sends it again where that is safe.
func (c *Core) handleAttemptEnd(now time.Time, event AttemptEnded) []Effect {
	call, known := c.calls[event.ID]
	if !known || call.attempt != event.Attempt {
		return nil
	}
	c.recordOutcome(now, call, event.Outcome)
	if event.Outcome.Err == nil {
		c.endCall(now, call, event.Outcome.UsedTokens)
		return c.finishShutdown(now)
	}
	if c.shouldQueryOutcome(now, call, event.Outcome) {
		return c.startOutcomeQuery(now, call, event.Outcome.Err)
	}
	return c.retryOrFail(now, call, event.Outcome)
}

// retryOrFail sends a call again where that is safe, or gives it up.
func (c *Core) retryOrFail(now time.Time, call *activeCall, outcome Outcome) []Effect {
	call.triedHosts[call.host] = true
	if outcome.Verdict == fault.NotRun {
		call.lastRefusal = outcome.Err
	} else {
		call.mayHaveRunErr = outcome.Err
	}
	if outcome.ClaimHolder.Incarnation != 0 && call.HasIdempotencyKey {
		call.claimHolder = outcome.ClaimHolder
	}
	if c.canRetry(now, call, outcome) {
		return c.sendAttempt(now, call)
	}
	if fault.CodeOf(outcome.Err) == fault.CodeClaimed {
		return c.failCall(now, call, errOutcomeUnknown) // this attempt has not run, the claim's may have
	}
	return c.failCall(now, call, outcome.Err)
}

// canRetry reports whether a failed attempt may be followed by another one. A
// call that may have run is only repeated if that is safe.
func (c *Core) canRetry(now time.Time, call *activeCall, outcome Outcome) bool {
	if outcome.ResponseStarted || call.attempt >= maxAttempts || !now.Before(call.Deadline) {
		return false
	}
	if outcome.Verdict != fault.NotRun && (!c.isIdempotent(call.Call) || outcome.Verdict != fault.MayHaveRun) {
		return false
	}
	switch fault.CodeOf(outcome.Err) {
	case fault.CodeConflict, fault.CodeLogDown:
		return false // each agent would say the same
	case fault.CodeClaimed:
		return call.claimHolder.Incarnation != 0 && call.claimHolder != call.lastAgent()
	}
	if call.claimHolder.Incarnation != 0 {
		return false // no other agent may run it
	}
	return isFreeRetry(outcome) || c.retryBudget.Allow(now)
}

// isFreeRetry reports whether the refusal cost the agent next to nothing, and
// will not come again from it.
func isFreeRetry(outcome Outcome) bool {
	code := fault.CodeOf(outcome.Err)
	return outcome.Verdict == fault.NotRun && (code == fault.CodeLeaving || code == fault.CodeLink)
}

// lastAgent returns the process of the last attempt.
func (a *activeCall) lastAgent() dedup.Process {
	return dedup.Process{
		Host:        a.host,
		Incarnation: a.agentIncarnation,
	}
}

func failEffects(id string, err error) []Effect {
	return []Effect{FailCall{
		ID:  id,
		Err: err,
	}}
}
