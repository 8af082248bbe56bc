package gate

import (
	"maps"
	"time"

	"dogwoodfold/internal/topo"
)

// leavingMemory is how long an endpoint that leaves, or was removed, is remembered.
// It exceeds the time for which such an endpoint goes on running.
const leavingMemory = 5 * time.Minute

// leavingEndpoint is an incarnation of an endpoint that has said in an answer that
// it leaves.
type leavingEndpoint struct {
	incarnation int64
	at          time.Time
}

// handleEndpointLeaving marks an endpoint as draining that has said so in an
// answer, which the registry may not tell or tell later.
func (c *Core) handleEndpointLeaving(now time.Time, e EndpointLeaving) {
	if c.leaving[e.Endpoint].incarnation == e.Incarnation {
		return
	}
	maps.DeleteFunc(c.leaving, func(_ string, l leavingEndpoint) bool { return now.Sub(l.at) > leavingMemory })
	c.leaving[e.Endpoint] = leavingEndpoint{
		incarnation: e.Incarnation,
		at:          now,
	}
	known := c.endpoints[e.Endpoint]
	if known == nil || known.Incarnation != e.Incarnation {
		return
	}
	record := *known.Endpoint
	c.setEndpoint(now, &record)
	c.sendStates(now)
}

// isLeaving reports whether the incarnation of a record has said that it leaves.
func (c *Core) isLeaving(record *topo.Endpoint) bool {
	l, known := c.leaving[record.ID]
	return known && l.incarnation == record.Incarnation
}

// departedEndpoint is the last record of an endpoint that was removed, the limit that it had
// named and the time before which it wants no requests from this entry.
type departedEndpoint struct {
	record       *topo.Endpoint
	limit        endpointLimit
	backoffUntil time.Time
	at           time.Time
}

// recordDeparture remembers the last record of an endpoint that is removed. It may be
// back, if only its record was.
func (c *Core) recordDeparture(now time.Time, ep *endpoint) {
	maps.DeleteFunc(c.departed, func(id string, d departedEndpoint) bool {
		expired := now.Sub(d.at) > leavingMemory
		if expired && c.endpoints[id] == nil {
			c.endpointChanges.Forget(id)
		}
		return expired
	})
	c.departed[ep.ID] = departedEndpoint{
		record:       ep.Endpoint,
		limit:        ep.limit,
		backoffUntil: ep.stats.BackoffUntil(),
		at:           now,
	}
}

// restoreDeparted gives an endpoint that is back in the registry the limit and the pause that
// its incarnation had named before.
func (c *Core) restoreDeparted(now time.Time, ep *endpoint, record *topo.Endpoint) {
	d, known := c.departed[record.ID]
	if !known || d.record.Incarnation != record.Incarnation {
		return
	}
	if now.Before(d.backoffUntil) {
		ep.stats.RecordRetryAfter(now, d.backoffUntil.Sub(now))
	}
	if d.limit.named() {
		ep.limit = d.limit
		ep.limit.cold = 0
		c.limitRevision++
		ep.limit.revision = c.limitRevision
	}
}

// hasDeparted reports whether a record was written before its endpoint was removed.
// A registry that comes back from a copy holds such records.
func (c *Core) hasDeparted(record *topo.Endpoint) bool {
	d, known := c.departed[record.ID]
	return known && !d.record.OlderThan(record)
}
