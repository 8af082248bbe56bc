package gate

import (
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// explainer follows the decisions of dispatch and assignEngine for one query.
type explainer struct {
	core    *Core
	now     time.Time
	query   ExplainQuery
	call    *activeCall
	service *topo.Service
	out     Explanation
}

// decide sets the outcome and the options.
func (x *explainer) decide() {
	c, now := x.core, x.now
	switch {
	case c.admissionClosed(now):
		x.explainOwnChoice()
		x.end(OutcomeRefuse, "the entry is stopping", minRetryAfter)
	case !c.configInForce(now):
		x.explainOwnChoice()
		x.end(OutcomeRefuse, "no proof that the configuration is in force", staleRetryAfter)
	case !x.call.route.Public && len(c.config.Customers) > 0 && !c.configFresh(now):
		x.explainOwnChoice()
		x.end(OutcomeRefuse, "no proof that the key still works", staleRetryAfter)
	case x.isQuarantined():
		x.explainOwnChoice()
		x.end(OutcomeRefuse, "a part of the prompt crashes endpoints", 0)
	case x.query.ForOther && !x.out.Leads:
		x.explainOwnChoice()
		x.end(OutcomeOwnChoice, "this entry doesn't lead", 0)
	case x.service.Engine != nil && x.out.Leads:
		x.explainAssignment()
	default:
		x.explainOwnChoice()
	}
}

// isQuarantined reports whether a part of the prompt is under quarantine.
func (x *explainer) isQuarantined() bool {
	parts := x.call.promptParts()
	return slices.ContainsFunc(x.core.crashes.log.Quarantines(), func(q poison.Quarantine) bool {
		return slices.Contains(parts, q.Part) && x.now.Before(q.Until)
	})
}

// end sets the outcome of a request that isn't sent.
func (x *explainer) end(outcome ExplainedOutcome, detail string, after time.Duration) {
	x.out.Outcome = outcome
	x.out.Detail = detail
	x.out.Endpoint = ""
	x.out.After = after
}

// explainAssignment sets the options and the outcome of the leader's decision. If the leader has
// no engine, the entry decides by itself.
func (x *explainer) explainAssignment() {
	c, now := x.core, x.now
	req := c.newAssignmentRequest(now, x.call)
	req.Zone = x.out.Zone
	if x.query.ForOther {
		req.Avoid = x.query.Avoid
	}
	reply := &wirepb.GateAssignment{}
	options, pausing := c.engineOptions(now, req, reply)
	best := cheapestOption(options)
	if best == nil || pausing && best.endpoint.limitStart(now).After(now) {
		x.explainOwnChoice()
		if x.query.ForOther && x.out.Outcome == OutcomeSend {
			x.end(OutcomeOwnChoice, "the leader knows of no engine that it may assign", 0)
		}
		return
	}
	byEndpoint := make(map[string]*engineOption, len(options))
	for _, option := range options {
		byEndpoint[option.endpoint.ID] = option
	}
	place := c.askedPlacement(now, req, reply)
	for _, ep := range x.serviceEndpoints() {
		out := EndpointOption{EndpointBelief: c.endpointBelief(now, ep)}
		if option := byEndpoint[ep.ID]; option != nil {
			out.setEngineCost(now, option, x.call.request.PromptTokens)
		} else {
			out.Exclusion = c.engineExclusion(now, req, reply, ep, place)
		}
		x.out.Options = append(x.out.Options, out)
	}
	x.sortOptions()
	wait := best.start.Sub(now)
	switch admitOption(now, req, best) {
	case wirepb.GateAssignment_LATER:
		x.end(OutcomeWait, "it has slack and yields to urgent requests", max(wait-slackMaxBacklog, slackMinRetry))
	case wirepb.GateAssignment_BUSY:
		x.end(OutcomeRefuse, "every endpoint is busy", c.busyRetryAfter(now, req, "", best.estimate))
	default:
		x.end(OutcomeSend, "", wait)
		x.out.Endpoint = best.endpoint.ID
	}
}

// setEngineCost sets the terms of the leader's cost of an engine.
func (o *EndpointOption) setEngineCost(now time.Time, option *engineOption, promptTokens int) {
	terms := pick.ScheduledTermsOf(now, option.candidate, option.start.Sub(now))
	o.setCost(terms, option.estimate, option.cost)
	o.CachedTokens = promptTokens - option.uncachedTokens
	o.Terms = append(o.Terms, CostTerm{Name: "overdue", Time: option.overdue})
	if other := option.cost - option.overdue - terms.Cost(); other != 0 {
		// A penalty for streams that could not be resumed.
		o.Terms = append(o.Terms, CostTerm{Name: "resumption", Time: other})
	}
}

func (o *EndpointOption) setCost(t pick.Terms, estimate, cost time.Duration) {
	o.Estimate = estimate
	o.Cost = cost
	o.Terms = []CostTerm{
		{Name: "queue", Time: t.Queue},
		{Name: "request", Time: t.Request},
		{Name: "load", Time: t.Running},
		{Name: "slot", Time: t.Slot},
		{Name: "slowdown", Time: t.Slowdown},
		{Name: "crossZone", Time: t.Zone},
		{Name: "coldStart", Time: t.Cold},
		{Name: "unhealthy", Time: t.Unhealthy},
		{Name: "occupancy", Time: t.Occupancy},
	}
}

// explainOwnChoice sets the options and the outcome of a decision without the leader or, if it
// answers, of the one to ask it.
func (x *explainer) explainOwnChoice() {
	c, now := x.core, x.now
	x.out.Options = nil
	leaderCurrent := c.leaderStateCurrent(now)
	place := c.placementOf(now, x.call)
	var limited []*endpoint
	var open []ownOption
	for _, ep := range x.serviceEndpoints() {
		option := EndpointOption{EndpointBelief: c.endpointBelief(now, ep)}
		option.Exclusion = c.endpointExclusion(now, x.call.request, x.service, ep, leaderCurrent, place)
		copied := *ep // mayUseLimited begins to space the requests of this entry
		if option.Exclusion == NotExcluded && !c.mayUseLimited(now, &copied) {
			option.Exclusion = ExcludedLimited
			limited = append(limited, &copied)
		}
		if option.Exclusion == NotExcluded {
			candidate := c.newCandidate(now, x.call, ep, x.service)
			candidate.SameZone = ep.Zone == x.out.Zone
			terms := pick.TermsOf(now, candidate)
			option.setCost(terms, terms.Estimate(), terms.Cost())
			option.CachedTokens = min(ep.stats.CachedTokens(now, x.call.request.PromptParts), x.call.request.PromptTokens)
			open = append(open, ownOption{
				endpoint:  ep,
				candidate: candidate,
			})
		}
		x.out.Options = append(x.out.Options, option)
	}
	x.sortOptions()
	switch {
	case len(open)+len(limited) == 0:
		x.endWithoutCandidate()
	case !x.out.Leads && c.shouldRequestAssignment(now, x.call, x.service):
		x.end(OutcomeAskLeader, "", 0)
		x.setLeaderQuery()
	case len(open) == 0:
		x.endLimited(limited)
	default:
		x.chooseOwn(open)
	}
	x.markBackingOff()
}

// ownOption is a candidate of this entry.
type ownOption struct {
	endpoint  *endpoint
	candidate pick.Candidate
}

// chooseOwn sets the outcome of this entry's choice among candidates, without the random part of
// their costs.
func (x *explainer) chooseOwn(options []ownOption) {
	best := slices.MinFunc(options, func(a, b ownOption) int {
		return int(pick.Cost(x.now, a.candidate) - pick.Cost(x.now, b.candidate))
	})
	lowest, estimate := pick.Cost(x.now, best.candidate), pick.Estimate(x.now, best.candidate)
	x.out.CostJitter = pick.MaxJitter
	for i := range x.out.Options {
		o := &x.out.Options[i]
		o.Near = o.Exclusion == NotExcluded && o.ID != best.endpoint.ID && o.Cost-lowest < pick.MaxJitter
	}
	switch {
	case best.endpoint.stats.BackingOff(x.now):
		first := best.endpoint.stats.BackoffUntil()
		for _, o := range options {
			first = earliest(first, o.endpoint.stats.BackoffUntil())
		}
		x.endOrWait(first, "every endpoint has asked for a pause")
	case x.now.Add(estimate).After(x.call.admissionLimit()) && best.endpoint.stats.Load(x.now).Running > 0:
		x.end(OutcomeRefuse, "every endpoint is busy", estimate)
	default:
		x.end(OutcomeSend, "", 0)
		x.out.Endpoint = best.endpoint.ID
	}
}

// markBackingOff names why this entry would send no request to a candidate that has asked for a
// pause or fails, unless it is chosen, as the best of those.
func (x *explainer) markBackingOff() {
	for i := range x.out.Options {
		o := &x.out.Options[i]
		stats := x.core.endpoints[o.ID].stats
		switch {
		case o.Exclusion != NotExcluded || o.ID == x.out.Endpoint:
		case stats.BackingOff(x.now):
			o.Exclusion = ExcludedBackingOff
		case !stats.Usable(x.now):
			o.Exclusion = ExcludedFailing
		}
	}
	x.sortOptions()
}

// endLimited sets the outcome of a request whose endpoints have all named limits.
func (x *explainer) endLimited(limited []*endpoint) {
	first := x.core.nextPermit(x.now, limited[0])
	for _, ep := range limited[1:] {
		first = earliest(first, x.core.nextPermit(x.now, ep))
	}
	x.endOrWait(first, "every endpoint has named a limit")
}

// endOrWait sets the outcome of a request that waits until a time or is refused if that is too
// late.
func (x *explainer) endOrWait(until time.Time, detail string) {
	outcome := OutcomeWait
	if until.After(x.core.parkDeadline(x.call)) {
		outcome = OutcomeRefuse
	}
	x.end(outcome, detail, max(until.Sub(x.now), 0))
}

// endWithoutCandidate sets the outcome of a request that no endpoint may run.
func (x *explainer) endWithoutCandidate() {
	if x.service.Engine == nil {
		x.end(OutcomeWait, "no endpoint takes requests", 0)
		return
	}
	holdsModel := slices.ContainsFunc(x.out.Options, func(o EndpointOption) bool { return o.Exclusion == ExcludedAdapter })
	if holdsModel {
		x.end(OutcomeWait, "no endpoint holds the adapter; the configuration lists no adapters, so its name may be wrong", 0)
		return
	}
	at, loading := x.core.loadArrival(x.now, x.call)
	switch {
	case loading && at.After(x.call.abandonedAt()):
		x.end(OutcomeRefuse, "the model is being loaded", at.Sub(x.now))
	case loading:
		x.end(OutcomeWait, "the model is being loaded", at.Sub(x.now))
	default:
		x.end(OutcomeWait, "no endpoint holds the model", 0)
	}
}

// setLeaderQuery sets the query by which the leader explains its decision on the request.
func (x *explainer) setLeaderQuery() {
	req := x.core.newAssignmentRequest(x.now, x.call)
	q := x.query
	q.Service = x.call.service
	q.Rank = x.call.route.Priority
	q.Zone = x.out.Zone
	q.ForOther = true
	q.TokensHeld = x.out.Rate.Level - x.out.Rate.WaitingCost
	q.Avoid = slices.Sorted(slices.Values(req.GetAvoid()))
	x.out.LeaderQuery = q
}

// serviceEndpoints returns the endpoints of the service ordered by ID.
func (x *explainer) serviceEndpoints() []*endpoint {
	var out []*endpoint
	for _, ep := range x.core.sortedEndpoints() {
		if ep.Service == x.call.service {
			out = append(out, ep)
		}
	}
	return out
}

// sortOptions puts the options that may run the request first, by cost.
func (x *explainer) sortOptions() {
	slices.SortStableFunc(x.out.Options, func(a, b EndpointOption) int {
		if excluded := a.Exclusion != NotExcluded; excluded != (b.Exclusion != NotExcluded) {
			if excluded {
				return 1
			}
			return -1
		}
		return int(a.Cost - b.Cost)
	})
}
