package gate

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// ExplainRequested requests on Reply, which must have room for one value, where a request would
// be sent now and why. It changes no state.
type ExplainRequested struct {
	Query ExplainQuery
	Reply chan<- Explanation
}

// RankOfRoute as the rank of a query stands for the priority of its route.
const RankOfRoute = -1

// ExplainQuery describes a request that isn't sent.
type ExplainQuery struct {
	// Service is the request's service or, if Host and Path are given, may be empty.
	Service string
	Host    string
	Path    string
	Model   string
	Adapter string
	// PromptParts and SharedParts are those of Request.
	PromptParts  []pick.PromptPart
	SharedParts  []poison.Part
	PromptTokens int
	OutputTokens int
	// Customer is empty if the decision on the rate isn't of interest.
	Customer string
	// Rank replaces the priority of the route, unless it is RankOfRoute.
	Rank int
	// Zone is that of the entry to which the request comes, empty for that of this entry.
	Zone string
	// ForOther is true if the request comes to another entry, which avoids the endpoints
	// Avoid and holds TokensHeld of the customer's tokens.
	ForOther   bool
	Avoid      []string
	TokensHeld float64
}

// Errors of queries that don't describe a request of this deployment.
var (
	ErrNoConfiguration = errors.New("the entry has no configuration yet")
	ErrAmbiguousQuery  = errors.New("the query doesn't describe one request")
)

// UnknownNameError reports a name that the configuration doesn't list.
type UnknownNameError struct {
	// Kind is "service", "model", "adapter", "customer" or "route".
	Kind string
	Name string
}

// Error implements the error interface.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// ExplainedOutcome is what would become of a request.
type ExplainedOutcome string

// Outcomes. OutcomeAskLeader means that the leader decides, which knows more than this entry.
// OutcomeOwnChoice is the leader's, if it leaves the choice to the entry that asks.
const (
	OutcomeSend      ExplainedOutcome = "send"
	OutcomeAskLeader ExplainedOutcome = "ask the leader"
	OutcomeOwnChoice ExplainedOutcome = "the entry chooses"
	OutcomeWait      ExplainedOutcome = "wait"
	OutcomeRefuse    ExplainedOutcome = "refuse"
)

// Explanation tells where a request would be sent and why. Times that are zero are those of data
// that the entry doesn't have.
type Explanation struct {
	// Err is set if the query can't be answered; the other fields are then not set.
	Err      error
	Now      time.Time
	Host     string
	Zone     string
	Service  string
	Model    string
	Adapter  string
	Route    string
	Rank     int
	Customer string
	// Objective is the route's.
	Objective time.Duration

	// Leads is true if this entry leads. Leader is the host that leads, empty if nobody does,
	// LeaderAddress where it accepts sessions.
	Leads         bool
	Leader        string
	LeaderAddress netip.AddrPort
	// LeaderQuery is what the leader is asked if the outcome is OutcomeAskLeader.
	LeaderQuery ExplainQuery

	// ConfigAt and RegistryAt are when the reads were sent that proved them current.
	ConfigVersion int64
	ConfigAt      time.Time
	RegistryAt    time.Time
	// LeaderHeardAt is when the leader's last state was received.
	LeaderHeardAt time.Time

	Rate RateExplanation
	// Outcome is that of a request for which the rate is granted. Endpoint and After are
	// set for OutcomeSend, After also for the others if it is known, without their jitter.
	Outcome  ExplainedOutcome
	Detail   string
	Endpoint string
	After    time.Duration
	// Options are the endpoints of the service, those that may run the request first and
	// by their cost.
	Options []EndpointOption
	// CostJitter bounds the random part of the cost that isn't shown, 0 if there is none.
	CostJitter time.Duration
}

// EndpointOption is an endpoint of the service with its cost for a request.
type EndpointOption struct {
	EndpointBelief
	Exclusion Exclusion
	// Terms are the parts of Cost, of which the first ones sum up to Estimate, the expected
	// time to the first byte. They are set for endpoints that aren't excluded, and for those that
	// this entry would choose only if all were backing off or failing.
	Terms        []CostTerm
	Estimate     time.Duration
	Cost         time.Duration
	CachedTokens int
	// Near is true if the random part of the cost may make the endpoint the chosen one.
	Near bool
}

// CostTerm is a part of an endpoint's cost.
type CostTerm struct {
	Name string
	Time time.Duration
}

// explain returns where a request would be sent.
func (c *Core) explain(now time.Time, query ExplainQuery) Explanation {
	if c.config == nil {
		return Explanation{Err: ErrNoConfiguration}
	}
	call, err := c.explainedCall(now, query)
	if err != nil {
		return Explanation{Err: err}
	}
	x := &explainer{
		core:    c,
		now:     now,
		query:   query,
		call:    call,
		service: c.config.Services[call.service],
		out:     c.newExplanation(now, call),
	}
	if query.Zone != "" {
		x.out.Zone = query.Zone
	}
	x.out.Rate = c.explainRate(now, call, query)
	x.decide()
	return x.out
}

// newExplanation returns an explanation without the decision.
func (c *Core) newExplanation(now time.Time, call *activeCall) Explanation {
	out := Explanation{
		Now:           now,
		Host:          c.settings.Host,
		Zone:          c.settings.Zone,
		Service:       call.service,
		Model:         call.request.Model,
		Adapter:       call.request.Adapter,
		Route:         call.route.Name,
		Rank:          call.route.Priority,
		Objective:     call.route.LatencyObjective,
		Leads:         c.isLeader(now),
		Leader:        c.leaderLink.leader(),
		ConfigVersion: c.config.Version,
		ConfigAt:      c.configConfirmedAt,
		RegistryAt:    c.registryConfirmedAt,
		LeaderHeardAt: c.follower.lastHeard,
	}
	if call.customer != nil {
		out.Customer = call.customer.Name
	}
	if out.Leads {
		out.Leader = c.settings.Host
	}
	if record, known := c.lease.Current(); known && record.Host == out.Leader {
		out.LeaderAddress = record.PeerAddr
	}
	return out
}

// explainedCall returns the call of a query, which is never registered.
func (c *Core) explainedCall(now time.Time, query ExplainQuery) (*activeCall, error) {
	route, name, err := c.explainedRoute(query)
	if err != nil {
		return nil, err
	}
	service := c.config.Services[name]
	switch {
	case service.Engine == nil && query.Adapter != "":
		return nil, &UnknownNameError{Kind: "adapter", Name: query.Adapter}
	case service.Engine == nil && query.Model != "", service.Engine != nil && service.Engine.Models[query.Model] == nil:
		return nil, &UnknownNameError{Kind: "model", Name: query.Model}
	}
	call := &activeCall{
		request: &Request{
			Host:         query.Host,
			Path:         query.Path,
			Model:        query.Model,
			Adapter:      query.Adapter,
			MaxTokens:    float64(query.PromptTokens + query.OutputTokens),
			PromptTokens: query.PromptTokens,
			PromptParts:  query.PromptParts,
			SharedParts:  query.SharedParts,
			ArrivedAt:    now,
		},
		route:        route,
		service:      name,
		plain:        service.Engine == nil,
		deadline:     now.Add(route.Timeout),
		waitingSince: now,
	}
	if query.Customer == "" {
		return call, nil
	}
	call.customer = c.config.Customers[query.Customer]
	if call.customer == nil {
		return nil, &UnknownNameError{Kind: "customer", Name: query.Customer}
	}
	call.cost = tokenCost(call.customer, call.request)
	return call, nil
}

// explainedRoute returns the route and the service of a query. The rank of the query replaces
// the priority of the route.
func (c *Core) explainedRoute(query ExplainQuery) (*topo.Route, string, error) {
	route, service := (*topo.Route)(nil), query.Service
	if query.Host != "" || query.Path != "" {
		route = c.config.MatchRoute(query.Host, query.Path)
		if route == nil {
			return nil, "", &UnknownNameError{Kind: "route", Name: query.Host + query.Path}
		}
		if service == "" && len(route.Targets) == 1 {
			service = route.Targets[0].Service
		}
		if !leadsTo(route, service) {
			return nil, "", fmt.Errorf("%w: route %s leads to %s", ErrAmbiguousQuery, route.Name, targetNames(route))
		}
	}
	switch {
	case service == "":
		return nil, "", fmt.Errorf("%w: it needs a service, or a host and a path", ErrAmbiguousQuery)
	case c.config.Services[service] == nil:
		return nil, "", &UnknownNameError{Kind: "service", Name: service}
	case route == nil:
		route = c.routeTo(service, query.Rank)
	}
	if route == nil {
		return nil, "", fmt.Errorf("%w: no route leads to the service %s", ErrAmbiguousQuery, service)
	}
	copied := *route
	if query.Rank != RankOfRoute {
		copied.Priority = query.Rank
	}
	return &copied, service, nil
}

// routeTo returns the first route to a service whose priority is rank or, if there is none, the
// first one to the service.
func (c *Core) routeTo(service string, rank int) *topo.Route {
	var first *topo.Route
	for _, r := range c.config.Routes {
		if !leadsTo(r, service) {
			continue
		}
		if r.Priority == rank {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

func leadsTo(route *topo.Route, service string) bool {
	return slices.ContainsFunc(route.Targets, func(t topo.Target) bool { return t.Service == service })
}

func targetNames(route *topo.Route) string {
	names := make([]string, 0, len(route.Targets))
	for _, t := range route.Targets {
		names = append(names, t.Service)
	}
	return strings.Join(names, ", ")
}

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

// RateOutcome is what a customer's rate limit decides.
type RateOutcome string

// Outcomes of rate limits.
const (
	// RateUnasked means that no customer was given.
	RateUnasked   RateOutcome = "no customer given"
	RateUnlimited RateOutcome = "no limit"
	RateGranted   RateOutcome = "granted"
	// RateWait means that the request waits for the leader's answer.
	RateWait   RateOutcome = "ask the leader"
	RateRefuse RateOutcome = "refuse"
)

// RateExplanation tells what a customer's rate limit would decide.
type RateExplanation struct {
	Outcome RateOutcome
	Detail  string
	// Cost is that of the request, Level what the bucket of the entry to which it comes holds
	// and WaitingCost what is claimed by requests that wait, in tokens.
	Cost        float64
	Level       float64
	WaitingCost float64
	// Pool is what the leader may grant, if PoolKnown, which it is at the leader.
	Pool      float64
	PoolKnown bool
	// RatePerSecond and Burst are the customer's, Share is the entry's standing share of them.
	RatePerSecond float64
	Burst         float64
	Share         float64
	RetryAfter    time.Duration
}

// explainRate returns what the rate limit of a call's customer would decide.
func (c *Core) explainRate(now time.Time, call *activeCall, query ExplainQuery) RateExplanation {
	if call.customer == nil {
		return RateExplanation{Outcome: RateUnasked}
	}
	out := RateExplanation{
		Outcome:       RateUnlimited,
		Cost:          call.cost,
		RatePerSecond: call.customer.Rate,
		Burst:         call.customer.Burst,
		Share:         c.standingShare(now),
	}
	if call.customer.Rate <= 0 {
		return out
	}
	waiting := 0
	if quota := c.quotas[call.customer.Name]; query.ForOther {
		out.Level = query.TokensHeld
	} else if quota != nil {
		bucket := quota.bucket // Level would change the original
		out.Level = bucket.Level(now)
		out.WaitingCost = quota.waitingCost()
		waiting = len(quota.waiting)
	}
	if c.isLeader(now) {
		if pool := c.leader.pools[call.customer.Name]; pool != nil {
			copied := *pool
			out.Pool = copied.Level(now)
		}
		out.PoolKnown = true
	}
	switch {
	case waiting == 0 && out.Cost <= out.Level:
		out.Outcome = RateGranted
	case !c.leaderReachable(now):
		out.Outcome = RateRefuse
		out.Detail = "no leader grants tokens"
		out.RetryAfter = c.leaderExpectedIn(now) + staleRetryAfter
	case waiting >= maxTokenWaiters || out.PoolKnown && out.WaitingCost+out.Cost > out.Level+out.Pool:
		out.Outcome = RateRefuse
		out.Detail = string(fault.CodeRate)
		seconds := (out.WaitingCost + out.Cost) / call.customer.Rate
		out.RetryAfter = time.Duration(seconds*float64(time.Second)) + shortRetryAfter
	case out.PoolKnown:
		out.Outcome = RateGranted
		out.Detail = "from the leader's pool"
	default:
		out.Outcome = RateWait
	}
	return out
}
