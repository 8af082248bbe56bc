package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// activeCall is a request from its arrival to its end.
type activeCall struct {
	id       CallID
	request  *Request
	route    *topo.Route
	customer *topo.Customer
	service  string
	// cost is the customer's tokens, paid once they were taken.
	cost float64
	paid bool
	// deadline is when the final answer is due.
	deadline time.Time
	// parkedAt is when the call began to wait for an endpoint.
	parkedAt time.Time
	// parkedUntil is when a parked call is refused.
	parkedUntil time.Time

	// endpoint is where the attempt under way was sent.
	endpoint          *endpoint
	sentAt            time.Time
	expectedWork      time.Duration
	expectedFirstByte time.Duration
	// endpointIdle tells that the endpoint had no other prefill to do.
	endpointIdle bool
	// uncachedTokens is how many tokens of the prompt have to be read.
	uncachedTokens  int
	responseStarted bool
	resuming        bool
	// triedEndpoints are the endpoints that the request was sent to.
	triedEndpoints map[string]bool
	// assignment is what the leader says of the call.
	assignment assignment
}

// queuedWork is the prefill that the attempt adds to its endpoint's queue.
func (call *activeCall) queuedWork() time.Duration { return call.expectedWork }

const (
	// parkObjectiveFraction is the part of the objective that a request waits for an endpoint
	// that is full or can't be reached.
	parkObjectiveFraction = 0.5
	// shortRetryAfter is when to come back after a shortage that is over soon.
	shortRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is when to come back to an entry without proof.
	staleRetryAfter = time.Second
	// plainRequestTime is the expected time of a request to a plain service.
	plainRequestTime = 30 * time.Millisecond
	// slowdownPerRunning is how much a running request slows another one down.
	slowdownPerRunning = 300 * time.Microsecond
	// admissionObjectiveRatio is how far beyond its objective a request may be expected to be
	// answered when it is admitted.
	admissionObjectiveRatio = 1.0
	// minRemainingTime is the least time before the limit at which a request is
	// still worth sending.
	minRemainingTime = 30 * time.Millisecond
)

// admit admits a request or refuses it.
func (c *Core) admit(now time.Time, id CallID, request *Request) {
	call := &activeCall{
		id:             id,
		request:        request,
		triedEndpoints: make(map[string]bool),
	}
	c.calls[id] = call
	if c.admissionClosed(now) {
		c.refuse(now, call, fault.NotRun, fault.CodeLeaving, "the entry is stopping", minRetryAfter)
		return
	}
	if c.config == nil {
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the entry has no configuration yet", staleRetryAfter)
		return
	}
	call.route = c.config.MatchRoute(request.Host, request.Path)
	if call.route == nil {
		if !c.configFresh(now) {
			c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the configuration may have changed", staleRetryAfter)
			return
		}
		c.refuse(now, call, fault.NotRun, fault.CodeNoRoute, "no route has this host and path", 0)
		return
	}
	timeout := call.route.Timeout
	if request.ClientTimeout > 0 {
		timeout = min(timeout, request.ClientTimeout)
	}
	call.deadline = request.ArrivedAt.Add(timeout)
	call.service = c.chooseService(call.route)
	if !c.authenticate(now, call) {
		return
	}
	c.recordDemand(now, call)
	c.chargeCall(now, call)
}

// admissionClosed reports whether a stopping entry takes no more requests.
func (c *Core) admissionClosed(now time.Time) bool {
	return c.stopping && now.Sub(c.stoppedAt) > c.settings.ShutdownAdmission
}

// authenticate finds the customer that holds the request's key.
func (c *Core) authenticate(now time.Time, call *activeCall) bool {
	if call.route.Public || len(c.config.Customers) == 0 {
		return true
	}
	if !c.configFresh(now) {
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetryAfter)
		return false
	}
	call.customer = c.config.CustomerByKey(call.request.Key)
	if call.customer == nil {
		c.refuse(now, call, fault.NotRun, fault.CodeBadKey, "no customer holds this key", 0)
		return false
	}
	call.cost = call.request.MaxTokens
	if call.cost == 0 || !call.customer.ByTokens {
		call.cost = call.customer.DefaultTokens
	}
	return true
}

// chooseService draws one of the services of a route by their weights.
func (c *Core) chooseService(route *topo.Route) string {
	total := 0
	for _, t := range route.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return route.Targets[0].Service
	}
	n := c.random.IntN(total)
	for _, t := range route.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return route.Targets[0].Service
}

// dispatch sends a call to the best endpoint, lets it wait or refuses it.
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
	endpoints, candidates := c.candidates(now, call, service)
	if len(candidates) == 0 {
		c.waitForCopy(now, call, service)
		return
	}
	if c.shouldRequestAssignment(now, call, service) {
		c.requestAssignment(now, call)
		return
	}
	choice := pick.Choose(now, c.random, candidates)
	best := endpoints[choice.Index]
	if best.track.BackingOff(now) {
		c.park(now, call, c.parkDeadline(call))
		return
	}
	expectedLatency := now.Sub(call.request.ArrivedAt) + choice.Estimate
	if !call.resuming && expectedLatency > time.Duration(float64(call.route.LatencyObjective)*admissionObjectiveRatio) && best.track.Load(now).Running > 0 {
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "every endpoint is busy", c.jitter(choice.Estimate))
		return
	}
	c.send(now, call, best, candidates[choice.Index], choice)
}

// jitter returns when to come back, so that those refused now return at
// different times.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.random.Float64()))
}

// parkDeadline returns until when a call waits for an endpoint that is full.
func (c *Core) parkDeadline(call *activeCall) time.Time {
	wait := time.Duration(float64(call.route.LatencyObjective) * parkObjectiveFraction)
	return earliest(call.request.ArrivedAt.Add(wait), call.deadline.Add(-minRemainingTime))
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// candidates returns the endpoints that can run a call.
func (c *Core) candidates(now time.Time, call *activeCall, service *topo.Service) ([]*endpoint, []pick.Candidate) {
	var endpoints []*endpoint
	var out []pick.Candidate
	leaderCurrent := c.leaderStateCurrent(now)
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		if e.Service != call.service || e.Draining {
			continue
		}
		if len(call.triedEndpoints) >= call.route.MaxAttempts && !call.triedEndpoints[id] {
			continue
		}
		if call.triedEndpoints[id] && len(call.triedEndpoints) < call.route.MaxAttempts {
			continue
		}
		if service.Engine != nil && !e.holds(now, leaderCurrent, call.request.Model, call.request.Adapter) {
			continue
		}
		endpoints = append(endpoints, e)
		out = append(out, c.newCandidate(now, call, e, service))
	}
	return endpoints, out
}

func (c *Core) newCandidate(now time.Time, call *activeCall, e *endpoint, service *topo.Service) pick.Candidate {
	candidate := pick.Candidate{
		Stats:             e.track,
		Slots:             max(e.Slots, 1),
		SameZone:          e.Zone == c.settings.Zone,
		Cold:              now.Before(e.coldUntil),
		ExpectedFirstByte: plainRequestTime,
	}
	if service.Engine != nil {
		uncached := call.request.PromptTokens - e.track.CachedTokens(now, call.request.PromptParts)
		candidate.ExpectedFirstByte = c.pace(call.service, call.request.Model).FirstByteTime(max(uncached, 0))
		candidate.DelayPerRunning = slowdownPerRunning
	}
	return candidate
}

// send passes a call to an endpoint.
func (c *Core) send(now time.Time, call *activeCall, e *endpoint, candidate pick.Candidate, choice pick.Choice) {
	delete(c.parked, call.id)
	delete(c.assignments.pending, call.id)
	if c.stopping {
		call.deadline = earliest(call.deadline, c.stoppedAt.Add(c.settings.ShutdownTimeout))
	}
	call.endpoint = e
	call.sentAt = now
	call.expectedWork = candidate.ExpectedFirstByte
	call.expectedFirstByte = choice.Estimate
	call.endpointIdle = e.track.Load(now).PendingPrefill == 0
	call.uncachedTokens = max(call.request.PromptTokens-e.track.CachedTokens(now, call.request.PromptParts), 0)
	call.responseStarted = false
	call.triedEndpoints[e.ID] = true
	e.track.Local.Running++
	e.track.Local.PendingPrefill += call.queuedWork()
	e.track.RecordSent(now)
	e.track.RecordPrompt(now, call.request.PromptParts)
	decision := c.decisionContext(now, call)
	decision.AssignedByLeader = call.assignment.stage == stageAssigned
	decision.Running = e.track.Load(now).Running - 1
	decision.Expected = choice.Estimate
	effect := Send{
		Call:     call.id,
		Basis:    decision,
		Endpoint: e.ID,
		Address:  e.Address,
		Service:  call.service,
		Priority: priority(call),
		Route:    call.route,
		Deadline: call.deadline,
		Resume:   call.resuming,
	}
	if call.customer != nil {
		effect.Customer = call.customer.Name
		effect.ConfigValidUntil = c.configConfirmedAt.Add(c.settings.ConfigMaxAge)
	}
	c.emit(effect)
}

// decisionContext returns what the entry knows as it decides on a call.
func (c *Core) decisionContext(now time.Time, call *activeCall) DecisionContext {
	decision := DecisionContext{
		ConfigAge:   now.Sub(c.configConfirmedAt),
		RegistryAge: now.Sub(c.registryConfirmedAt),
		Leader:      c.leaderLink.host,
	}
	if c.isLeader(now) {
		decision.Leader = c.settings.Host
	}
	if c.config != nil {
		decision.ConfigVersion = c.config.Version
	}
	if call.customer != nil {
		decision.Customer = call.customer.Name
	}
	return decision
}

// Ranks of requests at the engines, 0 the most urgent.
const (
	maxRank = 9
	// routeRanks leaves room for the ranks of routes within one of a customer.
	routeRanks = 3
)

// priority returns the rank of a call: the customer's goes before the route's.
func priority(call *activeCall) int {
	rank := min(call.route.Priority, routeRanks-1)
	if call.customer != nil {
		rank += call.customer.Priority * routeRanks
	}
	return min(rank, maxRank)
}

// waitForCopy lets a call wait for its model or adapter to be loaded, or refuses it if
// that comes too late.
func (c *Core) waitForCopy(now time.Time, call *activeCall, service *topo.Service) {
	if len(call.triedEndpoints) > 0 {
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "no other endpoint may be tried", shortRetryAfter)
		return
	}
	if service.Engine == nil {
		c.park(now, call, c.parkDeadline(call))
		return
	}
	c.requestCopy(now, call)
	expectedAt, loading := c.loadArrival(now, call)
	until := c.parkDeadline(call)
	switch {
	case loading && expectedAt.After(call.loadWaitDeadline()):
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "the model is being loaded", expectedAt.Sub(now)+c.jitter(shortRetryAfter))
		return
	case loading:
		until = earliest(expectedAt.Add(loadSlack), call.loadWaitDeadline())
	case !now.Before(until):
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "no endpoint holds the model", c.loadRetryAfter(now, call, service))
		return
	}
	c.park(now, call, until)
}

// loadRetryAfter returns when a copy that nobody holds or loads may be there: an
// adapter soon, a model after a load that has yet to begin.
func (c *Core) loadRetryAfter(now time.Time, call *activeCall, service *topo.Service) time.Duration {
	model := service.Engine.Models[call.request.Model]
	if model == nil || c.modelLoaded(now, call) {
		return c.jitter(shortRetryAfter)
	}
	return model.StoreLoadTime + c.jitter(shortRetryAfter)
}

const (
	// loadSlack is how much later than expected a load may end.
	loadSlack = 1500 * time.Millisecond
	// minAbandonTime, objectiveAbandon and gapAbandon tell when clients abandon a
	// stream without a first event: after the longest of the first, that many
	// objectives, and that many of the longest pauses.
	minAbandonTime    = 2 * time.Second
	abandonObjectives = 4
	abandonGaps       = 8
	// firstEventReserve is the time for the first event to come before that.
	firstEventReserve = 300 * time.Millisecond
)

// loadWaitDeadline returns until when waiting for an endpoint is of use to the client.
func (call *activeCall) loadWaitDeadline() time.Time {
	limit := call.deadline.Add(-minRemainingTime)
	if call.route.Kind != topo.Stream {
		return limit
	}
	abandonAfter := max(minAbandonTime, call.route.LatencyObjective*abandonObjectives, call.route.GapObjective*abandonGaps)
	return earliest(limit, call.request.ArrivedAt.Add(abandonAfter-firstEventReserve))
}

// park lets a call wait until something changes, at most until a time.
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

// retryParked tries all waiting calls again, the most urgent first.
func (c *Core) retryParked(now time.Time) {
	if len(c.parked) == 0 {
		return
	}
	waiting := slices.SortedFunc(maps.Values(c.parked), func(a, b *activeCall) int {
		if d := priority(a) - priority(b); d != 0 {
			return d
		}
		return a.request.ArrivedAt.Compare(b.request.ArrivedAt)
	})
	for _, call := range waiting {
		delete(c.parked, call.id)
		if c.admissionClosed(now) {
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

// refuseRevokedKeys refuses waiting calls whose key the configuration in force
// doesn't hold any more.
func (c *Core) refuseRevokedKeys(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		call := c.calls[id]
		if call.customer == nil || call.endpoint != nil {
			continue
		}
		customer := c.config.CustomerByKey(call.request.Key)
		if customer == nil {
			c.refuse(now, call, fault.NotRun, fault.CodeWithdrawn, "the key was withdrawn", 0)
			continue
		}
		call.customer = customer
	}
}

// refuse ends a call with a failure of the entry's own.
func (c *Core) refuse(now time.Time, call *activeCall, verdict fault.Verdict, code fault.Code, message string, retryAfter time.Duration) {
	if call.resuming {
		// A part of the answer has reached the client.
		c.emit(AbortResponse{Call: call.id})
		c.removeCall(call)
		return
	}
	err := fault.New(verdict, code, message)
	if retryAfter > 0 {
		err = fault.WithRetryAfter(err, max(retryAfter, minRetryAfter))
	}
	c.emit(Refuse{
		Call:  call.id,
		Basis: c.decisionContext(now, call),
		Err:   err,
	})
	if verdict == fault.NotRun {
		c.refund(now, call)
	}
	c.removeCall(call)
}

// minRetryAfter keeps clients from returning at once.
const minRetryAfter = 100 * time.Millisecond

// removeCall drops a call that has its final answer.
func (c *Core) removeCall(call *activeCall) {
	delete(c.calls, call.id)
	delete(c.parked, call.id)
	delete(c.assignments.pending, call.id)
	if quota := c.callQuota(call); quota != nil {
		quota.waiting = slices.DeleteFunc(quota.waiting, func(other *activeCall) bool { return other == call })
	}
}
