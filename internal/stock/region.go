package stock

import (
	"slices"
	"strings"
)

// Regions is a set of regions that can be compared, empty if there is no restriction.
type Regions string

// regionSeparator can't be a part of a region's name in the platform's settings.
const regionSeparator = "\x00"

// NewRegions returns the set of the given regions.
func NewRegions(names []string) Regions {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	return Regions(strings.Join(sorted, regionSeparator))
}

// Names returns the regions of the set.
func (r Regions) Names() []string {
	if r == "" {
		return nil
	}
	return strings.Split(string(r), regionSeparator)
}

// allow reports whether the set includes a region, or is no restriction.
func (r Regions) allow(region string) bool { return r == "" || slices.Contains(r.Names(), region) }

// SetRegion sets the region of an engine.
func (p *Planner) SetRegion(id, region string) {
	if e := p.engines[id]; e != nil && e.region != region {
		e.region = region
		e.invalidatePending()
	}
}

// confined reports whether only some engines can run the requests.
func (m Miss) confined() bool { return m.SoftwareVersion != "" || m.Regions != "" }

// helpedBy reports whether an engine can run the requests.
func (m Miss) helpedBy(e *engine) bool {
	return (m.SoftwareVersion == "" || e.softwareVersion == m.SoftwareVersion) && m.Regions.allow(e.region)
}
