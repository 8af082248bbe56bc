package gate

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/topo"
)

const (
	// coldTolerance is the change of the end of an endpoint's cold time that other entries
	// are told of.
	coldTolerance = 250 * time.Millisecond
	// coldPermitLifetime is shorter than permitLifetime, so that permits for a cold endpoint
	// can't gather to more than it takes in a second.
	coldPermitLifetime = 250 * time.Millisecond
)

// perSecondNow returns the limit that is in force: the smaller one of the named limit and that
// of a cold endpoint, 0 if there is none.
func (l *endpointLimit) perSecondNow() float64 {
	if l.cold > 0 && (l.perSecond == 0 || l.cold < l.perSecond) {
		return l.cold
	}
	return l.perSecond
}

// permitTime returns how long a permit is valid.
func (l *endpointLimit) permitTime() time.Duration {
	if l.cold > 0 {
		return coldPermitLifetime
	}
	return permitLifetime
}

// recordCold applies what a record says of how long its endpoint will be cold. Another copy
// of a record that is known already may say it later than the first one.
func (c *Core) recordCold(now time.Time, ep *endpoint, record *topo.Endpoint, again bool) {
	until := now.Add(record.ColdRemaining)
	if again {
		until = earliest(until, ep.coldUntil)
	}
	c.setCold(now, ep, latest(until, ep.doubtfulUntil))
}

// setCold sets until when an endpoint is cold.
func (c *Core) setCold(now time.Time, ep *endpoint, until time.Time) {
	limited := ep.limit.cold > 0
	moved := until.Sub(ep.coldUntil).Abs() > coldTolerance
	ep.coldUntil = until
	c.updateCold(now, ep)
	if moved && (limited || ep.limit.cold > 0) {
		c.endpointChanges.Record(ep.ID)
	}
}

// updateCold begins or ends the limit of a cold endpoint.
func (c *Core) updateCold(now time.Time, ep *endpoint) {
	l := &ep.limit
	perSecond := 0.0
	if service := c.serviceOf(ep); service != nil && now.Before(ep.coldUntil) {
		perSecond = service.ColdPerSecond
	}
	if perSecond == l.cold {
		return
	}
	if l.cold == 0 {
		// Other entries may have sent requests just before.
		l.pace.Restart(now, perSecond, limitBurst)
		l.permitUntil = time.Time{}
		l.localSince = time.Time{}
	}
	l.cold = perSecond
	if perSecond == 0 {
		delete(c.coldEndpoints, ep.ID)
		c.logChange("endpoint warm", ep.ID, "", 0)
		return
	}
	c.coldEndpoints[ep.ID] = ep
	c.logChange("endpoint cold", ep.ID, strconv.FormatFloat(perSecond, 'f', 2, 64), 0)
}

// serviceOf returns the service of an endpoint, nil if it isn't configured.
func (c *Core) serviceOf(ep *endpoint) *topo.Service {
	if c.config == nil {
		return nil
	}
	return c.config.Services[ep.Service]
}

// endColdLimits ends the limits of endpoints that have become warm.
func (c *Core) endColdLimits(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.coldEndpoints)) {
		c.updateCold(now, c.coldEndpoints[id])
	}
}

// updateColdLimits applies a new configuration to all endpoints.
func (c *Core) updateColdLimits(now time.Time) {
	for _, ep := range c.sortedEndpoints() {
		c.updateCold(now, ep)
	}
}

// doubtWarmth makes the endpoints of a zone that is used again count as cold for as long as
// a start takes: they may just have been started, and the registry may tell of it later.
func (c *Core) doubtWarmth(now time.Time, zone string) {
	for _, ep := range c.sortedEndpoints() {
		service := c.serviceOf(ep)
		if ep.Zone != zone || service == nil || service.ColdPerSecond == 0 {
			continue
		}
		ep.doubtfulUntil = now.Add(service.ColdStart)
		c.setCold(now, ep, latest(ep.coldUntil, ep.doubtfulUntil))
	}
}

// recordRelayedCold applies what the leader says of an endpoint whose record this entry knows:
// the leader may have learned more of it than the record says.
func (c *Core) recordRelayedCold(now time.Time, record *topo.Endpoint) {
	ep := c.endpoints[record.ID]
	if ep != nil && ep.Incarnation == record.Incarnation && ep.Sequence == record.Sequence {
		c.setCold(now, ep, latest(ep.coldUntil, now.Add(record.ColdRemaining)))
	}
}

// recordProbedCold applies what an endpoint has said in its answer to a health check.
func (c *Core) recordProbedCold(now time.Time, e EngineProbed) {
	ep := c.endpoints[e.Run.Engine]
	if e.ColdKnown && ep != nil && ep.Incarnation == e.Run.Incarnation {
		c.setCold(now, ep, latest(now.Add(e.Cold), ep.doubtfulUntil))
	}
}
