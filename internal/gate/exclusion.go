package gate

import (
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// Exclusion tells why an endpoint can't run a request.
type Exclusion string

// Reasons for which endpoints are excluded.
const (
	NotExcluded Exclusion = ""
	// ExcludedEnded means that the endpoint's run is proved to be over.
	ExcludedEnded Exclusion = "ended"
	// ExcludedLeaving means that the endpoint has said in an answer that it leaves,
	// ExcludedDraining that the registry says so.
	ExcludedLeaving  Exclusion = "leaving"
	ExcludedDraining Exclusion = "draining"
	// ExcludedEvacuated means that the endpoint's zone is evacuated, ExcludedRegion that the
	// route or the customer doesn't allow its region.
	ExcludedEvacuated Exclusion = "evacuated"
	ExcludedRegion    Exclusion = "region not allowed"
	// ExcludedModel means that the engine doesn't hold the model, ExcludedAdapter that it
	// holds the model without the adapter.
	ExcludedModel   Exclusion = "lacks the model"
	ExcludedAdapter Exclusion = "lacks the adapter"
	// ExcludedVersion means that another software version began the stream.
	ExcludedVersion Exclusion = "wrong version"
	// ExcludedAvoided means that the entry that asks the leader has failed there or was refused.
	ExcludedAvoided Exclusion = "avoided by the entry"
	// ExcludedBackingOff means that the endpoint has refused a request or a connection.
	ExcludedBackingOff Exclusion = "backing off"
	// ExcludedFailing means that the endpoint fails often and is only tried.
	ExcludedFailing Exclusion = "failing"
	// ExcludedLimited means that the limit that the endpoint has named is used up.
	ExcludedLimited Exclusion = "limited"
)

// pauses reports whether an endpoint gets no requests only because it has failed or refused
// some.
func (e Exclusion) pauses() bool {
	return e == ExcludedAvoided || e == ExcludedBackingOff || e == ExcludedFailing
}

// engineExclusion returns why the leader doesn't assign an engine of the service to a request.
// It considers only the software version that reply gives, if any.
func (c *Core) engineExclusion(
	now time.Time, req *wirepb.GateAssignmentAsk, reply *wirepb.GateAssignment, ep *endpoint, place placement,
) Exclusion {
	if reason := c.artifactExclusion(now, ep, place, req.GetModel(), req.GetAdapter(), true); reason != NotExcluded {
		return reason
	}
	switch {
	case reply.GetVersionKnown() && ep.SoftwareVersion != reply.GetSoftwareVersion():
		return ExcludedVersion
	case ep.stats.BackingOff(now):
		return ExcludedBackingOff
	case !ep.stats.Usable(now):
		return ExcludedFailing
	case slices.Contains(req.GetAvoid(), ep.ID):
		return ExcludedAvoided
	}
	return NotExcluded
}

// endpointExclusion returns why an endpoint of the service isn't a candidate of this entry for
// a request that continues no stream.
func (c *Core) endpointExclusion(
	now time.Time, request *Request, service *topo.Service, ep *endpoint, leaderCurrent bool, place placement,
) Exclusion {
	if service.Engine == nil {
		return c.departureExclusion(now, ep, place)
	}
	return c.artifactExclusion(now, ep, place, request.Model, request.Adapter, leaderCurrent)
}

// artifactExclusion returns whether an engine is excluded since it leaves or doesn't hold a
// model or adapter.
func (c *Core) artifactExclusion(
	now time.Time, ep *endpoint, place placement, model, adapter string, leaderCurrent bool,
) Exclusion {
	if reason := c.departureExclusion(now, ep, place); reason != NotExcluded {
		return reason
	}
	switch {
	case ep.holds(now, leaderCurrent, model, adapter):
		return NotExcluded
	case adapter != "" && ep.holds(now, leaderCurrent, model, ""):
		return ExcludedAdapter
	default:
		return ExcludedModel
	}
}

// departureExclusion returns whether an endpoint is excluded since it leaves or has ended, or
// may not take the request where it is.
func (c *Core) departureExclusion(now time.Time, ep *endpoint, place placement) Exclusion {
	switch {
	case c.mayTake(now, ep, place):
		return NotExcluded
	case c.hasEnded(now, ep):
		return ExcludedEnded
	case c.isLeaving(ep.Endpoint):
		return ExcludedLeaving
	case !c.takesRequests(now, ep):
		return ExcludedDraining
	case !c.allowsRegion(place, ep.Zone):
		return ExcludedRegion
	default:
		return ExcludedEvacuated
	}
}
