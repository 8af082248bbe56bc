package gate

import (
	"slices"

	"dogwoodfold/internal/wire/wirepb"
)

// allowsRegion reports whether the region of a zone may take a request. A zone that the settings
// don't list is in no region.
func (c *Core) allowsRegion(p placement, zone string) bool {
	if !p.restricted {
		return true
	}
	region, listed := c.settings.Regions[zone]
	return listed && slices.Contains(p.regions, region)
}

// restrictTo confines a request to some regions, in addition to those that it is confined to
// already. Without any, it isn't confined.
func (p *placement) restrictTo(regions []string) {
	switch {
	case len(regions) == 0:
	case !p.restricted:
		p.restricted = true
		p.regions = regions
	default:
		allowed := func(region string) bool { return slices.Contains(regions, region) }
		p.regions = slices.DeleteFunc(slices.Clone(p.regions), func(region string) bool { return !allowed(region) })
	}
}

// residencyOf returns the placement that follows from the regions of a call's route and
// customer.
func residencyOf(call *activeCall) placement {
	var p placement
	p.restrictTo(call.route.AllowedRegions)
	if call.customer != nil {
		p.restrictTo(call.customer.AllowedRegions)
	}
	return p
}

// askedResidency is residencyOf for a request for which another entry asks for an engine. It
// asks only if some endpoint may take the request.
func askedResidency(req *wirepb.GateAssignmentAsk) placement {
	var p placement
	p.restrictTo(req.GetAllowedRegions())
	return p
}
