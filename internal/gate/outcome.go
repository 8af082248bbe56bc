package gate

import (
	"time"

	"dogwoodfold/pkg/fault"
)

// retryBudget bounds repeats to one service: each request earns a part of one.
type retryBudget struct {
	tokens float64
}

// takeRetry takes one repeat from the budget of a service if there is one.
func (c *Core) takeRetry(service string) bool {
	budget := c.retryBudget(service)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// creditRetry counts a request that was sent for the first time.
func (c *Core) creditRetry(service string) {
	budget := c.retryBudget(service)
	budget.tokens = min(budget.tokens+c.settings.RetryRatio, c.settings.RetryBurst)
}

func (c *Core) retryBudget(service string) *retryBudget {
	budget := c.retryBudgets[service]
	if budget == nil {
		budget = &retryBudget{tokens: c.settings.RetryBurst}
		c.retryBudgets[service] = budget
	}
	return budget
}

// handleFirstByte notes that an endpoint has begun to answer.
func (c *Core) handleFirstByte(now time.Time, id CallID) {
	call := c.calls[id]
	if call == nil || call.endpoint == nil || call.responseStarted {
		return
	}
	call.responseStarted = true
	track := call.endpoint.track
	track.Local.PendingPrefill -= call.queuedWork()
	elapsed := now.Sub(call.sentAt)
	track.ObserveFirstByte(now, call.expectedFirstByte, elapsed)
	if call.request.Model != "" {
		c.pace(call.service, call.request.Model).Observe(call.uncachedTokens, elapsed, call.endpointIdle)
		c.recordPrefill(call, elapsed)
	}
}

// releaseEndpoint ends an attempt's claim on its endpoint and returns the endpoint.
func (call *activeCall) releaseEndpoint() *endpoint {
	e := call.endpoint
	call.endpoint = nil
	e.track.Local.Running--
	if !call.responseStarted {
		e.track.Local.PendingPrefill -= call.queuedWork()
	}
	return e
}

// handleAttemptEnded decides what follows an attempt.
func (c *Core) handleAttemptEnded(now time.Time, id CallID, result Result) {
	call := c.calls[id]
	if call == nil || call.endpoint == nil {
		return
	}
	firstAttempt := len(call.triedEndpoints) == 1
	e := call.releaseEndpoint()
	if firstAttempt && result.Reason != ReasonDial {
		c.creditRetry(call.service)
	}
	if result.Reason == ReasonClientGone {
		c.removeCall(call)
		return
	}
	switch result.Outcome {
	case OutcomeComplete:
		e.track.RecordSuccess()
		c.recordStream(call, e, result.MaxGap)
		c.removeCall(call)
	case OutcomeNotRun:
		c.handleNotRun(now, call, e, result)
	case OutcomeFailed:
		e.track.RecordFailure(now)
		if call.route.MayRepeat() && c.retry(now, call) {
			return
		}
		c.emit(PassFailure{Call: call.id})
		c.removeCall(call)
	case OutcomeTruncated:
		e.track.RecordFailure(now)
		call.resuming = true
		if call.route.Resumable && result.Reason != ReasonTimeout && c.retry(now, call) {
			return
		}
		c.emit(AbortResponse{Call: call.id})
		c.removeCall(call)
	default:
		c.handleMayHaveRun(now, call, e, result)
	}
	c.retryParked(now)
}

// retry sends a request that may run retry to another endpoint, if its route,
// its time and the budget of repeats allow it.
func (c *Core) retry(now time.Time, call *activeCall) bool {
	if len(call.triedEndpoints) >= call.route.MaxAttempts || call.deadline.Sub(now) < minRemainingTime || !c.takeRetry(call.service) {
		return false
	}
	c.dispatch(now, call)
	return true
}

// handleNotRun sends a request elsewhere that is proved not to have run.
func (c *Core) handleNotRun(now time.Time, call *activeCall, e *endpoint, result Result) {
	switch result.Reason {
	case ReasonDial:
		e.track.RecordConnectFailure(now)
		// Nothing has reached the endpoint, so it doesn't count as tried.
		delete(call.triedEndpoints, e.ID)
		c.dispatch(now, call)
		return
	case ReasonAddressReused:
		c.removeEndpoint(e.ID)
	case ReasonModelMissing:
		e.missingCopies[call.request.Model+"/"+call.request.Adapter] = now
	case ReasonConfigStale:
		delete(call.triedEndpoints, e.ID)
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetryAfter)
		return
	case ReasonTimeout:
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "no time is left", shortRetryAfter)
		return
	default:
		e.track.RecordRefusal(now)
	}
	if !c.retry(now, call) {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "the endpoint refused the request", c.jitter(shortRetryAfter))
	}
}

// handleMayHaveRun ends an attempt that may have run. Only idempotent requests are sent
// again.
func (c *Core) handleMayHaveRun(now time.Time, call *activeCall, e *endpoint, result Result) {
	if result.Reason == ReasonTimeout {
		c.refuse(now, call, fault.MayHaveRun, fault.CodeDeadline, "the endpoint did not answer in time", 0)
		return
	}
	e.track.RecordFailure(now)
	if call.route.MayRepeat() && c.retry(now, call) {
		return
	}
	c.refuse(now, call, fault.MayHaveRun, fault.CodeEndpoint, "the endpoint's answer was lost", 0)
}

// handleClientDisconnected ends a call whose client has gone before an attempt was begun.
func (c *Core) handleClientDisconnected(now time.Time, id CallID) {
	call := c.calls[id]
	if call == nil {
		return
	}
	if call.endpoint != nil {
		call.releaseEndpoint()
	}
	c.refund(now, call)
	c.removeCall(call)
}
