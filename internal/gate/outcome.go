package gate

import (
	"time"

	"dogwoodfold/pkg/fault"
)

// retryBudget limits retries to one service. Each request earns a fraction of a
// retry.
type retryBudget struct {
	tokens float64
}

// takeRetry takes one retry from the budget of a service and reports whether
// there was one.
func (c *Core) takeRetry(service string) bool {
	budget := c.retryBudget(service)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// creditRetry credits the budget of a service for the first attempt of a
// request.
func (c *Core) creditRetry(service string) {
	budget := c.retryBudget(service)
	budget.tokens = min(budget.tokens+c.settings.RetryRatio, max(c.retryBurst(), 1))
}

func (c *Core) retryBudget(service string) *retryBudget {
	budget := c.retryBudgets[service]
	if budget == nil {
		budget = &retryBudget{tokens: c.retryBurst()}
		c.retryBudgets[service] = budget
	}
	return budget
}

// minRetrySharers is the least number of entries among which the burst of retries is
// divided. Others may start at any time.
const minRetrySharers = 8

// retryBurst returns this entry's part of the fleet's burst of retries.
func (c *Core) retryBurst() float64 {
	return c.settings.RetryBurst / float64(max(c.memberCount(), minRetrySharers))
}

// handleFirstByte records that an endpoint has begun its response.
func (c *Core) handleFirstByte(now time.Time, e FirstByteReceived) {
	call := c.calls[e.Call]
	if call == nil || call.endpoint == nil || call.responseStarted {
		return
	}
	call.responseStarted = true
	call.firstByteAt = now
	if e.Unlimited {
		c.recordUnlimited(now, call.endpoint, call.sentAt)
	}
	c.recordStreamStart(now, call)
	stats := call.endpoint.stats
	stats.Local.PendingPrefill -= call.pendingPrefill()
	elapsed := now.Sub(call.sentAt)
	stats.ObserveFirstByte(now, call.expectedFirstByte, elapsed)
	if call.request.Model != "" {
		c.prefillRate(call.service, call.request.Model).Observe(call.uncachedTokens, elapsed, call.endpointIdle)
		c.recordPrefill(call, elapsed)
	}
}

// releaseEndpoint removes the attempt's load from its endpoint and returns the
// endpoint.
func (ac *activeCall) releaseEndpoint() *endpoint {
	ep := ac.endpoint
	ac.endpoint = nil
	ep.stats.Local.Running--
	if !ac.responseStarted {
		ep.stats.Local.PendingPrefill -= ac.pendingPrefill()
	}
	return ep
}

// handleAttemptEnded decides how a call proceeds after an attempt.
func (c *Core) handleAttemptEnded(now time.Time, id CallID, result Result) {
	call := c.calls[id]
	if call == nil || call.endpoint == nil {
		return
	}
	firstAttempt := len(call.triedEndpoints) == 1
	ep := call.releaseEndpoint()
	if firstAttempt && result.Reason != ReasonDial {
		c.creditRetry(call.service)
	}
	c.recordEnding(now, call, ep, result)
	if result.Unlimited {
		c.recordUnlimited(now, ep, call.sentAt)
	}
	if result.RetryAfter > 0 {
		ep.stats.RecordRetryAfter(now, result.RetryAfter)
	}
	if result.Reason == ReasonClientGone {
		c.removeCall(call)
		return
	}
	call.mayHaveRun = call.mayHaveRun || result.Outcome != OutcomeNotRun
	call.failed = result.Outcome == OutcomeFailed
	switch result.Outcome {
	case OutcomeComplete:
		ep.stats.RecordSuccess()
		c.recordStream(call, ep, result.MaxGap)
		c.recordDecode(now, call)
		c.removeCall(call)
	case OutcomeNotRun:
		c.handleNotRun(now, call, ep, result)
	case OutcomeFailed:
		ep.stats.RecordFailure(now)
		if call.route.MayRepeat() && c.retry(now, call) {
			return
		}
		c.forwardFailure(call)
	case OutcomeTruncated:
		ep.stats.RecordFailure(now)
		call.resuming = true
		call.waitingSince = now
		call.artifactAskedAt = time.Time{}
		if !call.versionKnown {
			call.setStreamVersion(ep.SoftwareVersion, versionForwarded)
		}
		denial := c.continueStream(now, call, result)
		if denial == "" {
			return
		}
		c.abort(call, denial)
	default:
		c.handleMayHaveRun(now, call, ep, result)
	}
	c.retryParked(now)
}

// continueStream dispatches a call again whose stream was cut. It returns why that isn't
// possible, empty if it is.
func (c *Core) continueStream(now time.Time, call *activeCall, result Result) (denial string) {
	switch {
	case !call.route.Resumable:
		return "the route's streams may not be resumed"
	case result.Reason == ReasonTimeout:
		return "the endpoint did not answer in time"
	}
	return c.tryRetry(now, call)
}

// retry dispatches a call again if its route, its deadline and the retry budget
// allow it, and reports whether it did. The caller must ensure that the request
// may run again.
func (c *Core) retry(now time.Time, call *activeCall) bool { return c.tryRetry(now, call) == "" }

// tryRetry is like retry, but returns why the call was not dispatched, empty if it was.
func (c *Core) tryRetry(now time.Time, call *activeCall) (denial string) {
	switch {
	case len(call.triedEndpoints) >= call.route.MaxAttempts:
		return "the route allows no more attempts"
	case call.deadline.Sub(now) < minRemainingTime:
		return "no time is left"
	case !c.mayRepeatPrompt(now, call):
		return "a part of the prompt may crash engines"
	case !c.takeRetry(call.service):
		return "the retry budget is used up"
	}
	c.dispatch(now, call)
	return ""
}

// handleNotRun retries or refuses a request that provably did not run.
func (c *Core) handleNotRun(now time.Time, call *activeCall, ep *endpoint, result Result) {
	switch result.Reason {
	case ReasonDial:
		ep.stats.RecordConnectFailure(now)
		// Nothing has reached the endpoint, so it does not count as tried.
		delete(call.triedEndpoints, ep.ID)
		c.dispatch(now, call)
		return
	case ReasonAddressReused:
		c.removeEndpoint(now, ep.ID)
	case ReasonModelMissing:
		ep.missingArtifacts[call.request.Model+"/"+call.request.Adapter] = now
	case ReasonConfigStale:
		delete(call.triedEndpoints, ep.ID)
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetryAfter)
		return
	case ReasonTimeout:
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "no time is left", shortRetryAfter)
		return
	default:
		ep.stats.RecordRefusal(now)
	}
	if !c.retry(now, call) {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "the endpoint refused the request", c.jitter(shortRetryAfter))
	}
}

// handleMayHaveRun handles an attempt that may have run. Only idempotent
// requests are retried.
func (c *Core) handleMayHaveRun(now time.Time, call *activeCall, ep *endpoint, result Result) {
	if result.Reason == ReasonTimeout {
		c.refuse(now, call, fault.MayHaveRun, fault.CodeDeadline, "the endpoint did not answer in time", 0)
		return
	}
	ep.stats.RecordFailure(now)
	if call.route.MayRepeat() && c.retry(now, call) {
		return
	}
	c.refuse(now, call, fault.MayHaveRun, fault.CodeEndpoint, "the endpoint's answer was lost", 0)
}

// handleClientDisconnected ends a call whose client disconnected before an attempt was
// started, the first one or a further one. An endpoint may already have been chosen.
func (c *Core) handleClientDisconnected(now time.Time, id CallID) {
	call := c.calls[id]
	if call == nil {
		return
	}
	if call.endpoint != nil {
		call.releaseEndpoint()
	}
	if call.assignment.stage == stageAssigned {
		c.endTrial(now, call.assignment.suspects)
	}
	c.releaseTrial(now, call)
	if !call.mayHaveRun {
		c.refund(now, call)
	}
	c.removeCall(call)
}
