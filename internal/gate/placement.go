package gate

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// placement tells which endpoints may take a request, apart from their service, software
// version and models.
type placement struct {
	// regions are those whose endpoints may take the request, if restricted.
	regions    []string
	restricted bool
	// lone is true if no endpoint outside evacuated zones holds the request's model.
	lone bool
}

// mayTake reports whether an endpoint may take a request.
func (c *Core) mayTake(now time.Time, ep *endpoint, p placement) bool {
	if !c.takesRequests(now, ep) || !c.allowsRegion(p, ep.Zone) {
		return false
	}
	zone := c.evacuation.zones[ep.Zone]
	return zone == nil || p.lone && now.Before(zone.loneUntil)
}

// placementOf returns the placement of a call.
func (c *Core) placementOf(now time.Time, call *activeCall) placement {
	p := residencyOf(call)
	p.lone = c.nothingElseHolds(now, p, call.service, call.request.Model, c.leaderStateCurrent(now), call.acceptsVersion)
	return p
}

// askedPlacement returns the placement of a request for which another entry asks for an engine.
func (c *Core) askedPlacement(now time.Time, req *wirepb.GateAssignmentAsk, reply *wirepb.GateAssignment) placement {
	p := askedResidency(req)
	p.lone = c.nothingElseHolds(now, p, req.GetService(), req.GetModel(), true, func(version string) bool {
		return !reply.GetVersionKnown() || version == reply.GetSoftwareVersion()
	})
	return p
}

// nothingElseHolds reports whether a model may be used in an evacuated zone, since no engine
// that may take the request otherwise holds it. A request to a service without engines may
// name a model too.
func (c *Core) nothingElseHolds(
	now time.Time, p placement, service, model string, leaderCurrent bool, acceptsVersion func(string) bool,
) bool {
	if c.isPlain(service) || !c.usesLoneHolders(now) {
		return false
	}
	for _, ep := range c.endpoints {
		if ep.Service == service && c.mayTake(now, ep, p) && acceptsVersion(ep.SoftwareVersion) &&
			ep.holds(now, leaderCurrent, model, "") {
			return false
		}
	}
	return true
}

// usesLoneHolders reports whether an evacuated zone may still get some requests.
func (c *Core) usesLoneHolders(now time.Time) bool {
	for _, zone := range c.evacuation.zones {
		if now.Before(zone.loneUntil) {
			return true
		}
	}
	return false
}

// refuseExcluded refuses a call at once if endpoints of its service take requests but none
// may take this one, wherever its model is loaded. It reports whether it did.
func (c *Core) refuseExcluded(now time.Time, call *activeCall, p placement) bool {
	excluded := false
	for _, ep := range c.endpoints {
		if ep.Service != call.service || !c.takesRequests(now, ep) {
			continue
		}
		if c.mayTake(now, ep, p) {
			return false
		}
		excluded = true
	}
	if excluded {
		c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "no zone with an endpoint may take the request",
			c.jitter(staleRetryAfter))
	}
	return excluded
}
