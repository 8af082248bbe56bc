package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// call is a request from its arrival to its end.
type call struct {
	id       CallID
	request  *Request
	route    *topo.Route
	customer *topo.Customer
	service  string
	// cost is the customer's tokens, paid once they were taken.
	cost float64
	paid bool
	// limit is when the final answer is due.
	limit time.Time
	// parkedAt is when the call began to wait for an endpoint.
	parkedAt time.Time
	// waitUntil is when a parked call is refused.
	waitUntil time.Time

	// endpoint is where the attempt under way was sent.
	endpoint *endpoint
	sentAt   time.Time
	expected time.Duration
	estimate time.Duration
	// idle tells that the endpoint had no other prefill to do.
	idle bool
	// uncached is how many tokens of the prompt have to be read.
	uncached int
	begun    bool
	resumes  bool
	// tried are the endpoints that the request was sent to.
	tried map[string]bool
	// assignment is what the leader says of the call.
	assignment assignment
}

// work is the prefill that the attempt adds to its endpoint's queue.
func (k *call) work() time.Duration { return k.expected }

const (
	// parkLimit is the part of the objective that a request waits for an endpoint
	// that is full or can't be reached.
	parkLimit = 0.5
	// shortRetry is when to come back after a shortage that is over soon.
	shortRetry = 300 * time.Millisecond
	// staleRetry is when to come back to an entry without proof.
	staleRetry = time.Second
	// plainWork is the expected time of a request to a plain service.
	plainWork = 30 * time.Millisecond
	// perRunning is how much a running request slows another one down.
	perRunning = 300 * time.Microsecond
	// lateFactor is how far beyond its objective a request may be expected to be
	// answered when it is admitted.
	lateFactor = 1.0
	// answerReserve is the least time before the limit at which a request is
	// still worth sending.
	answerReserve = 30 * time.Millisecond
)

// arrive admits a request or refuses it.
func (c *Core) arrive(now time.Time, id CallID, r *Request) {
	k := &call{
		id:      id,
		request: r,
		tried:   make(map[string]bool),
	}
	c.calls[id] = k
	if c.leaving(now) {
		c.refuse(now, k, fault.NotRun, fault.CodeLeaving, "the entry is stopping", leastRetryAfter)
		return
	}
	if c.config == nil {
		c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the entry has no configuration yet", staleRetry)
		return
	}
	k.route = c.config.MatchRoute(r.Host, r.Path)
	if k.route == nil {
		if !c.fresh(now) {
			c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the configuration may have changed", staleRetry)
			return
		}
		c.refuse(now, k, fault.NotRun, fault.CodeNoRoute, "no route has this host and path", 0)
		return
	}
	wait := k.route.Timeout
	if r.Patience > 0 {
		wait = min(wait, r.Patience)
	}
	k.limit = r.Arrived.Add(wait)
	k.service = c.target(k.route)
	if !c.identify(now, k) {
		return
	}
	c.countDemand(now, k)
	c.spend(now, k)
}

// leaving reports whether a stopping entry takes no more requests.
func (c *Core) leaving(now time.Time) bool {
	return c.stopping && now.Sub(c.stoppedAt) > c.settings.StopAdmission
}

// identify finds the customer that holds the request's key.
func (c *Core) identify(now time.Time, k *call) bool {
	if k.route.Public || len(c.config.Customers) == 0 {
		return true
	}
	if !c.fresh(now) {
		c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetry)
		return false
	}
	k.customer = c.config.CustomerByKey(k.request.Key)
	if k.customer == nil {
		c.refuse(now, k, fault.NotRun, fault.CodeBadKey, "no customer holds this key", 0)
		return false
	}
	k.cost = k.request.Tokens
	if k.cost == 0 || !k.customer.ByTokens {
		k.cost = k.customer.DefaultTokens
	}
	return true
}

// target draws one of the services of a route by their weights.
func (c *Core) target(r *topo.Route) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := c.random.IntN(total)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// dispatch sends a call to the best endpoint, lets it wait or refuses it.
func (c *Core) dispatch(now time.Time, k *call) {
	if k.limit.Sub(now) < answerReserve {
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "no time is left", shortRetry)
		return
	}
	service := c.config.Services[k.service]
	if service == nil {
		c.refuse(now, k, fault.NotRun, fault.CodeNoEndpoint, "the service is not listed", staleRetry)
		return
	}
	held, candidates := c.candidates(now, k, service)
	if len(candidates) == 0 {
		c.await(now, k, service)
		return
	}
	if c.mayAskLeader(now, k, service) {
		c.askForEngine(now, k)
		return
	}
	choice := pick.Choose(now, c.random, candidates)
	best := held[choice.Index]
	if best.track.BackingOff(now) {
		c.park(now, k, c.patience(k))
		return
	}
	late := now.Sub(k.request.Arrived) + choice.Estimate
	if !k.resumes && late > time.Duration(float64(k.route.LatencyObjective)*lateFactor) && best.track.Load(now).Running > 0 {
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "every endpoint is busy", c.spread(choice.Estimate))
		return
	}
	c.send(now, k, best, candidates[choice.Index], choice)
}

// spread returns when to come back, so that those refused now return at
// different times.
func (c *Core) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.random.Float64()))
}

// patience returns until when a call waits for an endpoint that is full.
func (c *Core) patience(k *call) time.Time {
	wait := time.Duration(float64(k.route.LatencyObjective) * parkLimit)
	return earlier(k.request.Arrived.Add(wait), k.limit.Add(-answerReserve))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// candidates returns the endpoints that can run a call.
func (c *Core) candidates(now time.Time, k *call, service *topo.Service) ([]*endpoint, []pick.Candidate) {
	var held []*endpoint
	var out []pick.Candidate
	linked := c.linked(now)
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		if e.Service != k.service || e.Draining {
			continue
		}
		if len(k.tried) >= k.route.MaxAttempts && !k.tried[id] {
			continue
		}
		if k.tried[id] && len(k.tried) < k.route.MaxAttempts {
			continue
		}
		if service.Engine != nil && !e.holds(now, linked, k.request.Model, k.request.Adapter) {
			continue
		}
		held = append(held, e)
		out = append(out, c.candidate(now, k, e, service))
	}
	return held, out
}

func (c *Core) candidate(now time.Time, k *call, e *endpoint, service *topo.Service) pick.Candidate {
	out := pick.Candidate{
		Stats:             e.track,
		Slots:             max(e.Slots, 1),
		SameZone:          e.Zone == c.settings.Zone,
		Cold:              now.Before(e.coldUntil),
		ExpectedFirstByte: plainWork,
	}
	if service.Engine != nil {
		uncached := k.request.PromptTokens - e.track.CachedTokens(now, k.request.Parts)
		out.ExpectedFirstByte = c.pace(k.service, k.request.Model).FirstByteTime(max(uncached, 0))
		out.DelayPerRunning = perRunning
	}
	return out
}

// send passes a call to an endpoint.
func (c *Core) send(now time.Time, k *call, e *endpoint, candidate pick.Candidate, choice pick.Choice) {
	delete(c.parked, k.id)
	delete(c.assignments.waiting, k.id)
	if c.stopping {
		k.limit = earlier(k.limit, c.stoppedAt.Add(c.settings.StopLimit))
	}
	k.endpoint = e
	k.sentAt = now
	k.expected = candidate.ExpectedFirstByte
	k.estimate = choice.Estimate
	k.idle = e.track.Load(now).PendingPrefill == 0
	k.uncached = max(k.request.PromptTokens-e.track.CachedTokens(now, k.request.Parts), 0)
	k.begun = false
	k.tried[e.ID] = true
	e.track.Local.Running++
	e.track.Local.PendingPrefill += k.work()
	e.track.RecordSent(now)
	e.track.RecordPrompt(now, k.request.Parts)
	basis := c.basis(now, k)
	basis.Assigned = k.assignment.stage == assigned
	basis.Running = e.track.Load(now).Running - 1
	basis.Expected = choice.Estimate
	effect := Send{
		Call:     k.id,
		Basis:    basis,
		Endpoint: e.ID,
		Address:  e.Address,
		Service:  k.service,
		Priority: priority(k),
		Route:    k.route,
		Limit:    k.limit,
		Resume:   k.resumes,
	}
	if k.customer != nil {
		effect.Customer = k.customer.Name
		effect.FreshUntil = c.configProof.Add(c.settings.ProofLifetime)
	}
	c.do(effect)
}

// basis returns what the entry knows as it decides on a call.
func (c *Core) basis(now time.Time, k *call) Basis {
	b := Basis{
		ConfigAge:   now.Sub(c.configProof),
		RegistryAge: now.Sub(c.registryProof),
		Leader:      c.link.host,
	}
	if c.leads(now) {
		b.Leader = c.settings.Host
	}
	if c.config != nil {
		b.ConfigVersion = c.config.Version
	}
	if k.customer != nil {
		b.Customer = k.customer.Name
	}
	return b
}

// Ranks of requests at the engines, 0 the most urgent.
const (
	mostRank = 9
	// rankStep leaves room for the ranks of routes within one of a customer.
	rankStep = 3
)

// priority returns the rank of a call: the customer's goes before the route's.
func priority(k *call) int {
	rank := min(k.route.Priority, rankStep-1)
	if k.customer != nil {
		rank += k.customer.Priority * rankStep
	}
	return min(rank, mostRank)
}

// await lets a call wait for its model or adapter to be loaded, or refuses it if
// that comes too late.
func (c *Core) await(now time.Time, k *call, service *topo.Service) {
	if len(k.tried) > 0 {
		c.refuse(now, k, fault.NotRun, fault.CodeNoEndpoint, "no other endpoint may be tried", shortRetry)
		return
	}
	if service.Engine == nil {
		c.park(now, k, c.patience(k))
		return
	}
	c.want(now, k)
	arrival, loading := c.arrival(now, k)
	until := c.patience(k)
	switch {
	case loading && arrival.After(k.waitLimit()):
		c.refuse(now, k, fault.NotRun, fault.CodeNoEndpoint, "the model is being loaded", arrival.Sub(now)+c.spread(shortRetry))
		return
	case loading:
		until = earlier(arrival.Add(arrivalSlack), k.waitLimit())
	case !now.Before(until):
		c.refuse(now, k, fault.NotRun, fault.CodeNoEndpoint, "no endpoint holds the model", c.loadTime(now, k, service))
		return
	}
	c.park(now, k, until)
}

// loadTime returns when a copy that nobody holds or loads may be there: an
// adapter soon, a model after a load that has yet to begin.
func (c *Core) loadTime(now time.Time, k *call, service *topo.Service) time.Duration {
	m := service.Engine.Models[k.request.Model]
	if m == nil || c.modelHeld(now, k) {
		return c.spread(shortRetry)
	}
	return m.StoreLoadTime + c.spread(shortRetry)
}

const (
	// arrivalSlack is how much later than expected a load may end.
	arrivalSlack = 1500 * time.Millisecond
	// leastAbandon, objectiveAbandon and gapAbandon tell when clients abandon a
	// stream without a first event: after the longest of the first, that many
	// objectives, and that many of the longest pauses.
	leastAbandon     = 2 * time.Second
	objectiveAbandon = 4
	gapAbandon       = 8
	// abandonReserve is the time for the first event to come before that.
	abandonReserve = 300 * time.Millisecond
)

// waitLimit returns until when waiting for an endpoint is of use to the client.
func (k *call) waitLimit() time.Time {
	limit := k.limit.Add(-answerReserve)
	if k.route.Kind != topo.Stream {
		return limit
	}
	abandon := max(leastAbandon, k.route.LatencyObjective*objectiveAbandon, k.route.GapObjective*gapAbandon)
	return earlier(limit, k.request.Arrived.Add(abandon-abandonReserve))
}

// park lets a call wait until something changes, at most until a time.
func (c *Core) park(now time.Time, k *call, until time.Time) {
	if !now.Before(until) {
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "no endpoint can take the request", c.spread(shortRetry))
		return
	}
	if k.parkedAt.IsZero() {
		k.parkedAt = now
	}
	k.waitUntil = until
	c.parked[k.id] = k
}

// tendParked tries all waiting calls again, the most urgent first.
func (c *Core) tendParked(now time.Time) {
	if len(c.parked) == 0 {
		return
	}
	waiting := slices.SortedFunc(maps.Values(c.parked), func(a, b *call) int {
		if d := priority(a) - priority(b); d != 0 {
			return d
		}
		return a.request.Arrived.Compare(b.request.Arrived)
	})
	for _, k := range waiting {
		delete(c.parked, k.id)
		if c.leaving(now) {
			c.refuse(now, k, fault.NotRun, fault.CodeLeaving, "the entry is stopping", leastRetryAfter)
			continue
		}
		if k.customer != nil && !c.fresh(now) {
			c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetry)
			continue
		}
		c.dispatch(now, k)
	}
}

// dropWithdrawn refuses waiting calls whose key the configuration in force
// doesn't hold any more.
func (c *Core) dropWithdrawn(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		k := c.calls[id]
		if k.customer == nil || k.endpoint != nil {
			continue
		}
		holder := c.config.CustomerByKey(k.request.Key)
		if holder == nil {
			c.refuse(now, k, fault.NotRun, fault.CodeWithdrawn, "the key was withdrawn", 0)
			continue
		}
		k.customer = holder
	}
}

// refuse ends a call with a failure of the entry's own.
func (c *Core) refuse(now time.Time, k *call, v fault.Verdict, code fault.Code, message string, after time.Duration) {
	if k.resumes {
		// A part of the answer has reached the client.
		c.do(Cut{Call: k.id})
		c.forget(k)
		return
	}
	err := fault.New(v, code, message)
	if after > 0 {
		err = fault.WithRetryAfter(err, max(after, leastRetryAfter))
	}
	c.do(Refuse{
		Call:  k.id,
		Basis: c.basis(now, k),
		Err:   err,
	})
	if v == fault.NotRun {
		c.refund(now, k)
	}
	c.forget(k)
}

// leastRetryAfter keeps clients from returning at once.
const leastRetryAfter = 100 * time.Millisecond

// forget drops a call that has its final answer.
func (c *Core) forget(k *call) {
	delete(c.calls, k.id)
	delete(c.parked, k.id)
	delete(c.assignments.waiting, k.id)
	if w := c.walletOf(k); w != nil {
		w.waiting = slices.DeleteFunc(w.waiting, func(other *call) bool { return other == k })
	}
}
