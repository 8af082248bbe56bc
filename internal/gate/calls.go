package gate

import (
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// activeCall is the state of a request from its arrival to its final answer.
type activeCall struct {
	id       CallID
	request  *Request
	route    *topo.Route
	customer *topo.Customer
	service  string
	// fingerprint stands for all requests of the customer with the same content, 0 if it
	// isn't known.
	fingerprint poison.Part
	// plain is true if the call's service has no engines. trial are the parts for which a
	// trial was granted without an engine, trialRequestAt is when it may be asked again.
	plain          bool
	trial          []poison.Part
	trialRequestAt time.Time
	// cost is the number of the customer's tokens that the request uses. paid
	// is true while they are charged.
	cost float64
	paid bool
	// tokens are the tokens that the call holds or has been granted while it waits.
	tokens heldTokens
	// deadline is when the final answer is due.
	deadline time.Time
	// waitingSince is since when the client has waited for the first event or, if its
	// stream was cut, for the next one.
	waitingSince time.Time
	// artifactAskedAt is when the call first asked for its model or adapter since then.
	artifactAskedAt time.Time
	// parkedAt is when the call began to wait for an endpoint.
	parkedAt time.Time
	// parkedUntil is when a parked call is refused.
	parkedUntil time.Time

	// endpoint is the target of the current attempt, nil if there is none.
	endpoint *endpoint
	sentAt   time.Time
	// expectedWork is the expected time to the first byte without other
	// requests at the endpoint, expectedFirstByte the expected time with them.
	expectedWork      time.Duration
	expectedFirstByte time.Duration
	// endpointIdle is true if the endpoint had no other prefill queued.
	endpointIdle bool
	// uncachedTokens is the number of prompt tokens that need prefill.
	uncachedTokens  int
	responseStarted bool
	// firstByteAt is when the response of the current attempt began, if responseStarted.
	firstByteAt time.Time
	// resuming is true once a part of the response has been forwarded and the
	// attempt that returned it has ended.
	resuming bool
	// softwareVersion is the software version that began the stream which the call
	// continues, if versionKnown.
	softwareVersion string
	versionKnown    bool
	versionSource   VersionSource
	// versionsDiffer is true if the leader doesn't know that version and knows of several.
	versionsDiffer bool
	// answered is true once the current attempt's response has gone on for so long
	// that its prompt hasn't crashed the endpoint.
	answered bool
	// mayHaveRun is true once an attempt may have run, failed while the response of the
	// last attempt is a failure that can be forwarded.
	mayHaveRun bool
	failed     bool
	// triedEndpoints are the endpoints that the request was sent to.
	triedEndpoints map[string]bool
	// assignment is the state of engine assignment by the leader.
	assignment assignment
}

// pendingPrefill returns the prefill time that the attempt adds to the load of
// its endpoint until the response begins.
func (ac *activeCall) pendingPrefill() time.Duration { return ac.expectedWork }

const (
	// parkObjectiveFraction is the fraction of the objective for which a
	// request waits for an endpoint that is full or unreachable.
	parkObjectiveFraction = 0.5
	// shortRetryAfter is the retry delay after a short-lived shortage.
	shortRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is the retry delay if the configuration or the leader's state
	// is stale or missing.
	staleRetryAfter = time.Second
	// plainRequestTime is the expected time to the first byte of a request to a
	// service without engines.
	plainRequestTime = 30 * time.Millisecond
	// slowdownPerRunning is the delay that each running request adds to another
	// one.
	slowdownPerRunning = 300 * time.Microsecond
	// admissionObjectiveRatio is the largest expected latency at admission, as
	// a multiple of the objective.
	admissionObjectiveRatio = 1.0
	// minRemainingTime is the least time before the deadline at which a request
	// is still worth sending.
	minRemainingTime = 30 * time.Millisecond
)

// dispatch sends a call to the best endpoint, asks the leader for one, parks
// the call or refuses it.
func (c *Core) dispatch(now time.Time, call *activeCall) {
	if call.deadline.Sub(now) < minRemainingTime {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "no time is left", shortRetryAfter)
		return
	}
	service := c.config.Services[call.service]
	if service == nil {
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "the service is not listed", staleRetryAfter)
		return
	}
	if c.awaitsRegistry(now, call) || !c.resolveStreamVersion(now, call) {
		return
	}
	if !c.checkQuarantine(now, call, service) {
		return
	}
	endpoints, candidates, limited := c.candidates(now, call, service)
	if len(candidates)+len(limited) == 0 {
		if c.refuseExcluded(now, call, c.placementOf(now, call)) {
			return
		}
		c.waitForArtifact(now, call, service)
		return
	}
	if c.shouldRequestAssignment(now, call, service) {
		c.requestAssignment(now, call)
		return
	}
	confined := c.isConfined(now, call)
	if !confined && !c.checkTrial(now, call) {
		return
	}
	c.requestPermits(now, limited)
	if len(candidates) == 0 {
		c.waitForLimit(now, call, limited)
		return
	}
	endpoints, candidates = c.preferOthers(now, call, endpoints, candidates)
	if confined {
		endpoints, candidates = confine(now, call.fingerprint, endpoints, candidates)
	}
	choice := pick.Choose(now, c.random, candidates)
	best := endpoints[choice.Index]
	if best.stats.BackingOff(now) {
		c.waitForBackoff(now, call, endpoints)
		return
	}
	if now.Add(choice.Estimate).After(call.admissionLimit()) && best.stats.Load(now).Running > 0 {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "every endpoint is busy", c.jitter(choice.Estimate))
		return
	}
	c.useLimit(now, best)
	c.send(now, call, best, candidates[choice.Index], choice)
}

// admissionLimit returns the time by which the response, or the next event of a stream,
// must be expected for a call to be sent to a busy endpoint. A stream that its client has
// begun to read is of use to it for as long as it waits.
func (ac *activeCall) admissionLimit() time.Time {
	if ac.continuesStream() {
		return ac.abandonedAt()
	}
	objective := time.Duration(float64(ac.route.LatencyObjective) * admissionObjectiveRatio)
	return ac.request.ArrivedAt.Add(objective)
}

// jitter randomizes a delay by ±50%, so that requests refused at the same time
// are not retried at the same time.
func (c *Core) jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.5 + c.random.Float64()))
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuse ends a call with an error generated by this entry. A call with a
// partial response is aborted instead.
func (c *Core) refuse(
	now time.Time, call *activeCall, verdict fault.Verdict, code fault.Code, message string, retryAfter time.Duration,
) {
	c.releaseTrial(now, call)
	if call.resuming {
		// Part of the response has already reached the client.
		c.abort(call, message)
		return
	}
	if call.mayHaveRun && verdict == fault.NotRun {
		c.endAfterRun(now, call)
		return
	}
	err := fault.New(verdict, code, message)
	if retryAfter > 0 {
		err = fault.WithRetryAfter(err, max(retryAfter, minRetryAfter))
	}
	c.emit(Refuse{
		Call:     call.id,
		Decision: c.decisionContext(now, call),
		Err:      err,
	})
	if verdict == fault.NotRun {
		c.refund(now, call)
	}
	c.removeCall(call)
}

// abort ends a call whose partial response is not continued, for the given reason.
func (c *Core) abort(call *activeCall, detail string) {
	c.emit(AbortResponse{
		Call:   call.id,
		Detail: detail,
	})
	c.removeCall(call)
}

// endAfterRun ends a call that can't be sent again and may have run before. Its client
// gets the last failure or, if there is none, an error that says so.
func (c *Core) endAfterRun(now time.Time, call *activeCall) {
	if call.failed {
		c.forwardFailure(call)
		return
	}
	c.refuse(now, call, fault.MayHaveRun, fault.CodeEndpoint, "the endpoint's answer was lost", 0)
}

// forwardFailure ends a call with the failure of its last attempt. A call with a partial
// response is aborted instead.
func (c *Core) forwardFailure(call *activeCall) {
	if call.resuming {
		c.abort(call, "the endpoint failed")
		return
	}
	c.emit(ForwardFailure{Call: call.id})
	c.removeCall(call)
}

// minRetryAfter is the shortest retry delay given to clients. It keeps them
// from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// removeCall removes a call that has ended from all maps and queues.
func (c *Core) removeCall(call *activeCall) {
	c.assignments.abandonTrial(call)
	delete(c.calls, call.id)
	delete(c.parked, call.id)
	delete(c.assignments.pending, call.id)
	if quota := c.callQuota(call); quota != nil {
		quota.removeWaiting(call)
	}
}
