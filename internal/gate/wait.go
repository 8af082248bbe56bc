package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// waitForBackoff parks a call until the first of its endpoints takes requests
// again. If that is too late, it refuses the call at once.
func (c *Core) waitForBackoff(now time.Time, call *activeCall, endpoints []*endpoint) {
	first := endpoints[0].stats.BackoffUntil()
	for _, ep := range endpoints[1:] {
		first = earliest(first, ep.stats.BackoffUntil())
	}
	until := c.parkDeadline(call)
	if first.After(until) {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "every endpoint has asked for a pause",
			first.Sub(now)+c.jitter(shortRetryAfter))
		return
	}
	c.park(now, call, until)
}

// parkDeadline returns the time until which a call may wait for a full or
// unreachable endpoint.
func (c *Core) parkDeadline(call *activeCall) time.Time {
	if call.continuesStream() {
		return call.abandonedAt()
	}
	wait := time.Duration(float64(call.route.LatencyObjective) * parkObjectiveFraction)
	return earliest(call.request.ArrivedAt.Add(wait), call.deadline.Add(-minRemainingTime))
}

// waitForArtifact handles a call for which there is no candidate. It parks the
// call until its model or adapter is loaded or, for services without engines,
// until there is an endpoint. It refuses the call if that takes too long or if
// it has been sent before, unless it continues a stream.
func (c *Core) waitForArtifact(now time.Time, call *activeCall, service *topo.Service) {
	if len(call.triedEndpoints) > 0 && !call.mayWaitForOther() {
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "no other endpoint may be tried", shortRetryAfter)
		return
	}
	if call.continuesStream() && !c.servesVersion(now, call) {
		if beganBefore := call.request.ArrivedAt; !call.resuming && c.expectsRegistry(now, beganBefore) {
			c.requestRegistryRead(now, beganBefore)
			call.assignment = assignment{}
			c.park(now, call, call.abandonedAt())
			return
		}
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "no endpoint of the version that began the stream", 0)
		return
	}
	if service.Engine == nil {
		c.park(now, call, c.parkDeadline(call))
		return
	}
	c.requestArtifact(now, call)
	if call.artifactAskedAt.IsZero() {
		call.artifactAskedAt = now
	}
	expectedAt, loading := c.loadArrival(now, call)
	until := c.parkDeadline(call)
	if call.continuesStream() && !c.modelLoaded(now, call) {
		until = earliest(until, call.artifactAskedAt.Add(loadDecisionTime))
	}
	switch {
	case loading && expectedAt.After(call.abandonedAt()):
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "the model is being loaded",
			c.loadingRetryAfter(now, call, expectedAt))
		return
	case loading:
		until = earliest(expectedAt.Add(loadSlack), call.abandonedAt())
	case !now.Before(until):
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "no endpoint holds the model", c.loadRetryAfter(now, call, service))
		return
	}
	c.park(now, call, until)
}

// loadingRetryAfter returns the retry delay for a model that is expected to be loaded at
// expectedAt. A client that resumes a stream has little time left and comes back somewhat
// earlier, since its request may wait.
func (c *Core) loadingRetryAfter(now time.Time, call *activeCall, expectedAt time.Time) time.Duration {
	delay := expectedAt.Sub(now) + c.jitter(shortRetryAfter)
	if !call.continuesStream() {
		return delay
	}
	patience := call.abandonedAt().Sub(call.waitingSince)
	return max(delay-patience+loadSlack/2, c.jitter(shortRetryAfter))
}

// loadRetryAfter returns the retry delay for a model or adapter that no
// endpoint holds or loads. An adapter is loaded soon; a model takes a load that
// has yet to begin.
func (c *Core) loadRetryAfter(now time.Time, call *activeCall, service *topo.Service) time.Duration {
	model := service.Engine.Models[call.request.Model]
	if model == nil || c.modelLoaded(now, call) {
		return c.jitter(shortRetryAfter)
	}
	return model.StoreLoadTime + c.jitter(shortRetryAfter)
}

// mayWaitForOther reports whether a call that has been sent before may wait for an
// endpoint that has not been tried: a part of its stream has reached the client.
func (ac *activeCall) mayWaitForOther() bool {
	return ac.continuesStream() && len(ac.triedEndpoints) < ac.route.MaxAttempts
}

const (
	// loadDecisionTime is the time in which the leader begins a load for which a
	// request waits, if it begins one.
	loadDecisionTime = 500 * time.Millisecond
	// loadSlack is how much longer than expected a load may take.
	loadSlack = 1500 * time.Millisecond
	// Clients abandon a stream without a first event after the longest of
	// minAbandonTime, abandonObjectives times the objective and abandonGaps
	// times the longest allowed gap.
	minAbandonTime    = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
	// firstEventReserve is the time reserved before that for the first event to
	// arrive.
	firstEventReserve = 300 * time.Millisecond
)

// abandonedAt returns the time after which the client no longer benefits from waiting for an
// endpoint: it abandons a stream of which no event comes for long.
func (ac *activeCall) abandonedAt() time.Time {
	limit := ac.deadline.Add(-minRemainingTime)
	if ac.route.Kind != topo.Stream {
		return limit
	}
	abandonAfter := max(minAbandonTime, ac.route.LatencyObjective*abandonObjectives, ac.route.GapObjective*abandonGaps)
	return earliest(limit, ac.waitingSince.Add(abandonAfter-firstEventReserve))
}

// park makes a call wait until an endpoint may be available, at most until the
// given time. If that has passed, the call is refused.
func (c *Core) park(now time.Time, call *activeCall, until time.Time) {
	if !now.Before(until) {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "no endpoint can take the request", c.jitter(shortRetryAfter))
		return
	}
	if call.parkedAt.IsZero() {
		call.parkedAt = now
	}
	call.parkedUntil = until
	c.parked[call.id] = call
}

// retryParked dispatches all parked calls again, in order of priority and
// arrival.
func (c *Core) retryParked(now time.Time) {
	if len(c.parked) == 0 {
		return
	}
	parked := slices.SortedFunc(maps.Values(c.parked), func(a, b *activeCall) int {
		if d := priority(a) - priority(b); d != 0 {
			return d
		}
		return a.request.ArrivedAt.Compare(b.request.ArrivedAt)
	})
	for _, call := range parked {
		delete(c.parked, call.id)
		c.limitToShutdown(call)
		if c.admissionClosed(now) && !call.resuming {
			c.refuse(now, call, fault.NotRun, fault.CodeLeaving, "the entry is stopping", minRetryAfter)
			continue
		}
		if call.customer != nil && !c.configFresh(now) {
			c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetryAfter)
			continue
		}
		c.dispatch(now, call)
	}
}
