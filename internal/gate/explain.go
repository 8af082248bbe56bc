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
