package gate

import (
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
)

// candidates returns the endpoints that may run a call. Until the attempts of
// its route are used up, these are the ones not tried before; afterwards, only
// those tried before.
// Endpoints that have named a limit, and to which this entry may send nothing now, are
// returned apart.
func (c *Core) candidates(
	now time.Time, call *activeCall, service *topo.Service,
) (endpoints []*endpoint, out []pick.Candidate, limited []*endpoint) {
	leaderCurrent := c.leaderStateCurrent(now)
	place := c.placementOf(now, call)
	for _, ep := range c.sortedEndpoints() {
		id := ep.ID
		if ep.Service != call.service || !call.acceptsVersion(ep.SoftwareVersion) {
			continue
		}
		if len(call.triedEndpoints) >= call.route.MaxAttempts && !call.triedEndpoints[id] {
			continue
		}
		if call.triedEndpoints[id] && len(call.triedEndpoints) < call.route.MaxAttempts {
			continue
		}
		if c.endpointExclusion(now, call.request, service, ep, leaderCurrent, place) != NotExcluded {
			continue
		}
		if !c.mayUseLimited(now, ep) {
			limited = append(limited, ep)
			continue
		}
		endpoints = append(endpoints, ep)
		out = append(out, c.newCandidate(now, call, ep, service))
	}
	return endpoints, out, limited
}

// preferOthers leaves out the candidate that ran the stream last that a call resumes, if
// there is another one: the endpoint may have fallen silent.
func (c *Core) preferOthers(
	now time.Time, call *activeCall, endpoints []*endpoint, candidates []pick.Candidate,
) ([]*endpoint, []pick.Candidate) {
	if !call.resumesStream() {
		return endpoints, candidates
	}
	ranAt := c.streams.ranAt(newStreamKey(call.streamID()))
	last := slices.IndexFunc(endpoints, func(ep *endpoint) bool { return ep.ID == ranAt })
	other := slices.ContainsFunc(endpoints, func(ep *endpoint) bool { return ep.ID != ranAt && ep.stats.Usable(now) })
	if last < 0 || !other {
		return endpoints, candidates
	}
	return slices.Delete(endpoints, last, last+1), slices.Delete(candidates, last, last+1)
}

func (c *Core) newCandidate(now time.Time, call *activeCall, ep *endpoint, service *topo.Service) pick.Candidate {
	candidate := pick.Candidate{
		Stats:             ep.stats,
		Slots:             max(ep.Slots, 1),
		SameZone:          ep.Zone == c.settings.Zone,
		Cold:              now.Before(ep.coldUntil),
		ExpectedFirstByte: plainRequestTime,
		Concurrent:        service.Engine == nil,
	}
	if service.Engine != nil {
		uncached := call.request.PromptTokens - ep.stats.CachedTokens(now, call.request.PromptParts)
		candidate.ExpectedFirstByte = c.knownPrefillRate(call.service, call.request.Model).FirstByteTime(max(uncached, 0))
		candidate.DelayPerRunning = slowdownPerRunning
	}
	return candidate
}

// send starts an attempt of a call at an endpoint.
func (c *Core) send(now time.Time, call *activeCall, ep *endpoint, candidate pick.Candidate, choice pick.Choice) {
	delete(c.parked, call.id)
	delete(c.assignments.pending, call.id)
	c.limitToShutdown(call)
	call.endpoint = ep
	call.sentAt = now
	call.expectedWork = candidate.ExpectedFirstByte
	call.expectedFirstByte = choice.Estimate
	call.endpointIdle = ep.stats.Load(now).PendingPrefill == 0
	call.uncachedTokens = max(call.request.PromptTokens-ep.stats.CachedTokens(now, call.request.PromptParts), 0)
	call.responseStarted = false
	call.answered = false
	call.failed = false
	call.triedEndpoints[ep.ID] = true
	ep.stats.Local.Running++
	ep.stats.Local.PendingPrefill += call.pendingPrefill()
	ep.stats.RecordSent(now)
	ep.stats.RecordPrompt(now, call.request.PromptParts)
	decision := c.decisionContext(now, call)
	decision.AssignedByLeader = call.assignment.stage == stageAssigned
	decision.Running = ep.stats.Load(now).Running - 1
	decision.Expected = choice.Estimate
	effect := Send{
		Call:            call.id,
		Decision:        decision,
		Endpoint:        ep.ID,
		Address:         ep.Address,
		Incarnation:     ep.Incarnation,
		SoftwareVersion: ep.SoftwareVersion,
		Service:         call.service,
		Priority:        priority(call),
		Route:           call.route,
		Deadline:        call.deadline,
		Resume:          call.resuming,
	}
	if call.customer != nil {
		effect.Customer = call.customer.Name
		effect.ConfigValidUntil = c.configConfirmedAt.Add(c.settings.ConfigMaxAge)
	}
	c.emit(effect)
}

// limitToShutdown makes a call end before this entry does, if it is stopping.
func (c *Core) limitToShutdown(call *activeCall) {
	if c.stopping {
		call.deadline = earliest(call.deadline, c.stoppedAt.Add(c.settings.ShutdownTimeout))
	}
}

// decisionContext returns the state of the entry on which a decision about a
// call is based.
func (c *Core) decisionContext(now time.Time, call *activeCall) DecisionContext {
	decision := DecisionContext{
		ConfigAge:   now.Sub(c.configConfirmedAt),
		RegistryAge: now.Sub(c.registryConfirmedAt),
		Leader:      c.leaderLink.leader(),
		Fingerprint: call.fingerprint,
		Service:     call.service,

		VersionSource: call.versionSource,
	}
	if c.isLeader(now) {
		decision.Leader = c.settings.Host
	}
	decision.ConfigVersion = c.configVersion()
	decision.NewestVersion = max(decision.ConfigVersion, c.relayedVersion)
	if call.customer != nil {
		decision.Customer = call.customer.Name
	}
	return decision
}

// Ranks of requests at the engines; 0 is the most urgent.
const (
	maxRank = 9
	// routeRanks is the number of route ranks within one customer rank.
	routeRanks = 3
)

// priority returns the rank of a call. The customer's priority takes precedence
// over the route's.
func priority(call *activeCall) int {
	rank := min(call.route.Priority, routeRanks-1)
	if call.customer != nil {
		rank += call.customer.Priority * routeRanks
	}
	return min(rank, maxRank)
}
