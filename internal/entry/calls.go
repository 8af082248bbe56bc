package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// activeCall is the reducer's state of a dispatched call.
type activeCall struct {
	Call
	attempt int
	// modelVersion is the version of the model that the current attempt
	// requests.
	modelVersion string
	host         string
	triedHosts   map[string]bool
	// claimHolder is the agent process that holds the claim of the call's
	// idempotency key, if one is known.
	claimHolder dedup.Process
	// agentIncarnation identifies the agent process of the last attempt.
	agentIncarnation uint64
	// pendingQuery is the open query for the outcome of the last attempt, nil
	// if there is none.
	pendingQuery *outcomeQuery
	sentCall     *route.SentCall
	// streamStartedAt is when the first part of a streamed response arrived in the
	// current attempt, zero before.
	streamStartedAt time.Time
	// suspects are the parts of the prompt, and the fingerprint, for which the call is on
	// trial.
	suspects []poison.Part
	// mayHaveRunErr is the error of the last failed attempt that may have run,
	// nil if there was none.
	mayHaveRunErr error
	// lastRefusal is the last error of an attempt that did not run, nil if
	// there was none.
	lastRefusal error
	// revokedAt is when the configuration stopped permitting the call;
	// dropSentAt is when its agent was last told to drop it.
	revokedAt  time.Time
	dropSentAt time.Time
}

// finalError returns the error that ends a call. A refusal of a later attempt
// does not show that an earlier attempt, which may have run, did not run.
func (a *activeCall) finalError(err error) error {
	if a.mayHaveRunErr != nil && fault.VerdictOf(err) == fault.NotRun {
		return a.mayHaveRunErr
	}
	return err
}

// noAgentError returns why no agent can take a call: the last refusal, if any
// agent has refused it.
func (a *activeCall) noAgentError() error {
	if a.lastRefusal != nil {
		return a.lastRefusal
	}
	err := fault.New(fault.NotRun, fault.CodeNoEndpoint, "no endpoint can take the call now")
	return fault.WithRetryAfter(err, noEndpointRetryAfter)
}

// handleArrival admits and dispatches a call, or rejects it.
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

// dispatch starts the first attempt of a call whose tokens are reserved.
func (c *Core) dispatch(now time.Time, call Call) []Effect {
	active := &activeCall{
		Call:       call,
		triedHosts: make(map[string]bool),
	}
	c.calls[call.ID] = active
	c.retryBudget.recordCall(now)
	return c.sendAttempt(now, active)
}

// checkAdmission returns why a call can't be admitted, regardless of its
// tokens.
func (c *Core) checkAdmission(now time.Time, call Call) error {
	if c.drainEnded(now) {
		return fault.New(fault.NotRun, fault.CodeLeaving, "this entry is leaving")
	}
	if !c.ready || c.relay.Isolated(now) {
		return fault.New(fault.NotRun, fault.CodeNotReady, "this entry does not know the newest configuration")
	}
	return c.authorizeCall(call)
}

// sendAttempt starts the next attempt of a call, or fails the call.
func (c *Core) sendAttempt(now time.Time, call *activeCall) []Effect {
	if err := c.authorizeCall(call.Call); err != nil {
		return c.failCall(now, call, err)
	}
	if err := c.checkQuarantine(now, call); err != nil {
		if call.claimHolder.Incarnation != 0 {
			err = errOutcomeUnknown // the holder of the claim may have run the call
		}
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
	call.streamStartedAt = time.Time{}
	c.crashes.startTrial(call)
	call.host, call.agentIncarnation = peer.Host.Name, peer.Incarnation
	call.sentCall = c.router.RecordSent(now, peer, call.routeQuery())
	return []Effect{SendAttempt{
		ID:           call.ID,
		Attempt:      call.attempt,
		Host:         peer.Host.Name,
		Incarnation:  peer.Incarnation,
		Version:      call.modelVersion,
		Weight:       c.index.Config.Customers[call.Customer].Weight,
		ConfigOffset: c.fold.Accepted,
		CachedTokens: call.sentCall.CachedTokens,

		EntryIncarnation: call.Reservation.Incarnation,
	}}
}

// pickAgent selects the agent of the next attempt, or returns why there is
// none.
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

// failCall ends a call with an error. Its tokens are returned only if it is
// proven not to have run.
func (c *Core) failCall(now time.Time, call *activeCall, err error) []Effect {
	err = call.finalError(err)
	usedTokens := 0.0
	if fault.VerdictOf(err) != fault.NotRun {
		usedTokens = call.Tokens
	}
	c.endCall(now, call, usedTokens)
	return append(failEffects(call.ID, err), c.finishShutdown(now)...)
}

// endCall settles the reservation of a call and removes the call.
func (c *Core) endCall(now time.Time, call *activeCall, usedTokens float64) {
	if call.Authenticated {
		c.settleReservation(now, call.Call, usedTokens)
	}
	c.crashes.endTrial(call.ID)
	delete(c.calls, call.ID)
}

// handleAttemptEnd ends a call, or retries it if that is safe.
func (c *Core) handleAttemptEnd(now time.Time, event AttemptEnded) []Effect {
	call, known := c.calls[event.ID]
	if !known || call.attempt != event.Attempt {
		return nil
	}
	c.recordOutcome(now, call, event.Outcome)
	c.recordCrashEvidence(now, call, event.Outcome)
	if event.Outcome.Err == nil {
		c.endCall(now, call, event.Outcome.UsedTokens)
		return c.finishShutdown(now)
	}
	if c.shouldQueryOutcome(now, call, event.Outcome) {
		return c.startOutcomeQuery(now, call, event.Outcome.Err)
	}
	return c.retryOrFail(now, call, event.Outcome)
}

// retryOrFail retries a call if that is safe, or else fails it.
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
		return c.failCall(now, call, errOutcomeUnknown) // this attempt did not run, but the holder of the claim may have run the call
	}
	return c.failCall(now, call, outcome.Err)
}

// canRetry reports whether a failed attempt may be followed by another one. An
// attempt that may have run is only repeated if the call is idempotent.
func (c *Core) canRetry(now time.Time, call *activeCall, outcome Outcome) bool {
	if outcome.ResponseStarted || call.attempt >= maxAttempts || !now.Before(call.Deadline) {
		return false
	}
	if outcome.Verdict != fault.NotRun && (!c.isIdempotent(call.Call) || outcome.Verdict != fault.MayHaveRun) {
		return false
	}
	switch fault.CodeOf(outcome.Err) {
	case fault.CodeConflict, fault.CodeLogDown:
		return false // every agent would give the same answer
	case fault.CodeClaimed:
		return call.claimHolder.Incarnation != 0 && call.claimHolder != call.lastAgent()
	}
	if call.claimHolder.Incarnation != 0 {
		return false // no agent but the claim holder may run it
	}
	return isFreeRetry(outcome) || c.retryBudget.allow(now)
}

// isFreeRetry reports whether a retry does not count against the budget: the
// refusal cost the agent almost nothing, and the same agent will not refuse
// again.
func isFreeRetry(outcome Outcome) bool {
	code := fault.CodeOf(outcome.Err)
	return outcome.Verdict == fault.NotRun && (code == fault.CodeLeaving || code == fault.CodeLink)
}

// lastAgent returns the agent process of the last attempt.
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
