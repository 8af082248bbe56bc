package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
)

// registryReturnTime is the time from the last read of the registry within which the next one
// is expected. If it has passed, nobody can tell when there is one.
const registryReturnTime = 5 * time.Second

// provenOnlyVersion returns the software version at which all streams of a service that
// began before a point in time have begun if there was only one within streamMemory. It
// demands that this entry has read of the others: since then from the registry those that
// serve, and from the lease those that have left.
func (c *Core) provenOnlyVersion(now time.Time, service string, beganBefore time.Time) (version string, proven bool) {
	if c.registryConfirmedAt.Before(beganBefore) || !c.departuresKnown(now) {
		return "", false
	}
	return c.onlyVersion(now, service)
}

// departuresKnown reports whether this entry has read of all software versions that have left.
// Reads of the registry tell of them unless they are too far apart. After such an interval the
// entry must have read the record of the lease.
func (c *Core) departuresKnown(now time.Time) bool {
	return c.lease.HasRead() && (c.isLeader(now) || !c.leaseReadAt.Before(c.missedChangesAt))
}

// minRegisteredTime is a time shorter than that for which an endpoint that gets requests is
// registered.
const minRegisteredTime = 2 * time.Second

// recordMissedChanges remembers that endpoints may have come and gone unseen before a read of
// the registry that was sent at a time: it tells only which are registered by then.
func (c *Core) recordMissedChanges(sentAt time.Time) {
	if !c.registryConfirmedAt.IsZero() && sentAt.Sub(c.registryConfirmedAt) > minRegisteredTime {
		c.missedChangesAt = sentAt
	}
}

// expectsVersions reports whether this entry lacks a read that provenOnlyVersion demands, and
// expects it soon.
func (c *Core) expectsVersions(now, beganBefore time.Time) bool {
	if c.registryConfirmedAt.Before(beganBefore) {
		return c.expectsRegistry(now, beganBefore)
	}
	return c.lease.HasRead() && !c.departuresKnown(now)
}

// expectsRegistry reports whether the registry hasn't been read since a point in time, and is
// expected to be soon.
func (c *Core) expectsRegistry(now, since time.Time) bool {
	return c.registryConfirmedAt.Before(since) && now.Before(c.registryConfirmedAt.Add(registryReturnTime))
}

// awaitVersions makes a call wait for the reads that provenOnlyVersion demands.
func (c *Core) awaitVersions(now time.Time, call *activeCall, until time.Time) {
	beganBefore := call.request.ArrivedAt
	if c.registryConfirmedAt.Before(beganBefore) {
		until = earliest(until, c.registryConfirmedAt.Add(registryReturnTime))
		c.requestRegistryRead(now, beganBefore)
	}
	if !c.departuresKnown(now) && !c.readingLease && !c.appendingLease {
		c.readingLease = true
		c.emit(ReadLease{})
	}
	call.assignment = assignment{}
	c.park(now, call, until)
}

// maxRegistryReadTime is the time within which a read of the registry ends, in whichever way.
const maxRegistryReadTime = 2 * time.Second

// awaitsRegistry makes a call that continues a stream wait for a read of the registry whose data
// are old though the store was not seen to be down, as after a standstill, and reports whether it
// has to: an engine may run another version by now under the identity that this entry knows.
func (c *Core) awaitsRegistry(now time.Time, call *activeCall) bool {
	if !call.continuesStream() || c.registryDown || now.Sub(c.registryConfirmedAt) < maxRelayAge {
		return false
	}
	c.requestRegistryRead(now, call.waitingSince)
	until := earliest(call.abandonedAt(), c.registryRequestedAt.Add(maxRegistryReadTime))
	if !now.Before(until) {
		return false
	}
	call.assignment = assignment{}
	c.park(now, call, until)
	return true
}

// requestRegistryRead has the registry read at once, unless that was requested after a point
// in time.
func (c *Core) requestRegistryRead(now, after time.Time) {
	if c.registryRequestedAt.Before(after) || c.registryRequestedAt.IsZero() {
		c.registryRequestedAt = now
		c.emit(ReadRegistry{})
	}
}

// onlyVersion returns the software version of a service's endpoints if all that
// were registered within streamMemory had the same one, so that no stream can have
// begun at another.
func (c *Core) onlyVersion(now time.Time, service string) (version string, only bool) {
	for _, ep := range c.endpoints {
		if ep.Service != service {
			continue
		}
		if only && ep.SoftwareVersion != version {
			return "", false
		}
		version, only = ep.SoftwareVersion, true
	}
	for departed, at := range c.departedVersions[service] {
		if departed != version && now.Sub(at) < streamMemory {
			return "", false
		}
	}
	return version, only
}

// versionsDiffer reports whether a service's endpoints have had different software versions
// within streamMemory.
func (c *Core) versionsDiffer(now time.Time, service string) bool {
	_, only := c.onlyVersion(now, service)
	return !only
}

// servesVersion reports whether an endpoint that a call has not been sent to has the
// software version that began the call's stream, and takes requests.
func (c *Core) servesVersion(now time.Time, call *activeCall) bool {
	place := c.placementOf(now, call)
	for _, ep := range c.endpoints {
		if ep.Service == call.service && c.mayTake(now, ep, place) && ep.SoftwareVersion == call.softwareVersion &&
			!call.triedEndpoints[ep.ID] {
			return true
		}
	}
	return false
}

// recordedVersions returns the software versions at which streams may have begun for the
// next record of the lease, in a fixed order.
func (c *Core) recordedVersions(now time.Time) []lease.ServiceVersion {
	ages := make(map[lease.ServiceVersion]time.Duration)
	for service, versions := range c.departedVersions {
		for version, at := range versions {
			if age := now.Sub(at); age < streamMemory {
				ages[lease.ServiceVersion{Service: service, Version: version}] = age
			}
		}
	}
	for _, ep := range c.endpoints {
		if c.engineSpec(ep) != nil {
			ages[lease.ServiceVersion{Service: ep.Service, Version: ep.SoftwareVersion}] = 0
		}
	}
	out := make([]lease.ServiceVersion, 0, len(ages))
	for v, age := range ages {
		v.AgeMs = age.Milliseconds()
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b lease.ServiceVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// applyRecordedVersions remembers the software versions in a record of the lease as ones
// that have left, unless an engine of them is registered.
func (c *Core) applyRecordedVersions(now time.Time, recorded []lease.ServiceVersion) {
	for _, v := range recorded {
		at := now.Add(-time.Duration(v.AgeMs) * time.Millisecond)
		c.recordDepartedVersion(now, v.Service, v.Version, at)
	}
}

// recordVersionDeparture remembers when an endpoint with its software version was
// removed.
func (c *Core) recordVersionDeparture(now time.Time, ep *topo.Endpoint) {
	c.recordDepartedVersion(now, ep.Service, ep.SoftwareVersion, now)
}

// recordDepartedVersion remembers that a service's last engine of a software version may
// have left at a point in time.
func (c *Core) recordDepartedVersion(now time.Time, service, version string, at time.Time) {
	versions := c.departedVersions[service]
	if versions == nil {
		versions = make(map[string]time.Time)
		c.departedVersions[service] = versions
	}
	maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > streamMemory })
	if at.After(versions[version]) {
		versions[version] = at
	}
}

// registryReadTime is the time in which a read of the registry that was requested is expected.
const registryReadTime = 40 * time.Millisecond

// registeredVersions returns the software versions of the registered endpoints by service.
func (c *Core) registeredVersions() map[string]map[string]bool {
	if c.serviceVersions != nil {
		return c.serviceVersions
	}
	c.serviceVersions = make(map[string]map[string]bool)
	for _, ep := range c.endpoints {
		if c.serviceVersions[ep.Service] == nil {
			c.serviceVersions[ep.Service] = make(map[string]bool)
		}
		c.serviceVersions[ep.Service][ep.SoftwareVersion] = true
	}
	return c.serviceVersions
}
