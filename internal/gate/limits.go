package gate

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// minLimit is the lowest rate, in requests per second, at which an endpoint is
	// used. Without any request it could not say that its limit has ended.
	minLimit = 0.2
	// limitBurst is how many requests a limited endpoint gets at once after a pause.
	limitBurst = 3
	// limitTolerance is the relative change of a limit that other entries are told of.
	limitTolerance = 0.05
	// permitLifetime is how long a permit to send a request to a limited endpoint is
	// valid.
	permitLifetime = time.Second
	// permitRequestInterval is the time between reports that are sent only to request
	// permits.
	permitRequestInterval = 20 * time.Millisecond
	// localLimitFraction is the part of a limit that the entries which can't ask the
	// leader use together.
	localLimitFraction = 0.25
)

// endpointLimit is the limit that an endpoint has named, or has while it is cold, for all
// entries together.
type endpointLimit struct {
	// perSecond is the named limit in requests per second, 0 if there is none. cold is that of
	// an endpoint that is cold, 0 otherwise.
	perSecond float64
	cold      float64
	// at is when the endpoint was last known to name the limit, or to name none.
	at time.Time
	// revision is the number of the last change that other entries need.
	revision uint64
	// pace spaces the requests that the leader lets through.
	pace rate.Pace
	// permitUntil is the end of this entry's permit to send one request.
	permitUntil time.Time
	// nextPermitAt is when the leader may grant a permit at the earliest.
	nextPermitAt time.Time
	// localPace spaces the requests that this entry sends while it can't ask the
	// leader, which is since localSince.
	localPace  rate.Pace
	localSince time.Time
}

// earlyLimit is a limit of an endpoint that another entry has told of before this one
// knew the endpoint.
type earlyLimit struct {
	incarnation int64
	perSecond   float64
	at          time.Time
}

// applyEarlyLimit gives a new endpoint the limit that another entry has told of.
func (c *Core) applyEarlyLimit(now time.Time, ep *endpoint) {
	early, told := c.earlyLimits[ep.ID]
	if told && early.incarnation == ep.Incarnation {
		delete(c.earlyLimits, ep.ID)
		c.setLimit(now, ep, early.perSecond, early.at)
	}
}

// limited reports whether a limit is in force, named whether the endpoint has named one.
func (l *endpointLimit) limited() bool { return l.perSecondNow() > 0 }
func (l *endpointLimit) named() bool   { return l.perSecond > 0 }

// handleLimitNamed handles an answer in which an endpoint has named its limit.
func (c *Core) handleLimitNamed(now time.Time, e LimitNamed) {
	ep := c.endpoints[e.Endpoint]
	if ep != nil && ep.Incarnation == e.Incarnation {
		c.setLimit(now, ep, max(e.PerSecond, minLimit), now)
		c.spreadLimits(now)
	}
}

// recordUnlimited handles an answer, to a request sent at sentAt, in which an endpoint
// has named no limit.
func (c *Core) recordUnlimited(now time.Time, ep *endpoint, sentAt time.Time) {
	if ep.limit.named() && sentAt.After(ep.limit.at) {
		c.setLimit(now, ep, 0, now)
		c.spreadLimits(now)
	}
}

// setLimit sets the limit that an endpoint named at a point in time, 0 if it named
// none.
func (c *Core) setLimit(now time.Time, ep *endpoint, perSecond float64, at time.Time) {
	l := &ep.limit
	if at.Before(l.at) {
		return
	}
	l.at = at
	change := perSecond - l.perSecond
	if max(change, -change) <= limitTolerance*l.perSecond {
		return
	}
	if !l.limited() {
		l.pace.Restart(now, perSecond, limitBurst)
		l.permitUntil = time.Time{}
	}
	l.perSecond = perSecond
	c.limitRevision++
	l.revision = c.limitRevision
	c.logChange("endpoint limit", ep.ID, strconv.FormatFloat(perSecond, 'f', 2, 64), now.Sub(at))
}

// spreadLimits tells the other entries of changed limits at once.
func (c *Core) spreadLimits(now time.Time) {
	if c.isLeader(now) {
		c.leader.spreadSoon = c.leader.spreadSoon || c.leader.limitsSent < c.limitRevision
		c.leader.limitsSent = c.limitRevision
		return
	}
	if c.follower.limitsReported < c.limitRevision {
		c.sendReport(now)
	}
}

// limitStart returns when the leader may let the next request to an endpoint begin.
func (ep *endpoint) limitStart(now time.Time) time.Time {
	if !ep.limit.limited() {
		return now
	}
	return ep.limit.pace.Next(now, ep.limit.perSecondNow())
}

// reserveLimit counts a request that the leader assigns to an endpoint.
func (ep *endpoint) reserveLimit(now time.Time) {
	if ep.limit.limited() {
		ep.limit.pace.Reserve(now, ep.limit.perSecondNow())
	}
}

// mayUseLimited reports whether this entry may send a request to an endpoint by itself.
func (c *Core) mayUseLimited(now time.Time, ep *endpoint) bool {
	l := &ep.limit
	switch {
	case !l.limited():
		return true
	case c.isLeader(now):
		return !l.pace.Next(now, l.perSecondNow()).After(now)
	case c.leaderAnswers(now):
		l.localSince = time.Time{}
		return now.Before(l.permitUntil)
	}
	localRate := c.localLimit(l.perSecondNow())
	if l.localSince.IsZero() {
		l.localSince = now
		l.localPace.Restart(now, localRate, 1)
	}
	return !l.localPace.Next(now, localRate).After(now)
}

// localLimit returns the part of a limit that this entry may use without the leader.
func (c *Core) localLimit(perSecond float64) float64 {
	members := c.memberCount()
	return perSecond * localLimitFraction / float64(members)
}

// useLimit counts a request that this entry sends to an endpoint by itself.
func (c *Core) useLimit(now time.Time, ep *endpoint) {
	l := &ep.limit
	switch {
	case !l.limited():
	case c.isLeader(now):
		l.pace.Reserve(now, l.perSecondNow())
	case now.Before(l.permitUntil):
		l.permitUntil = time.Time{}
	default:
		l.localPace.Reserve(now, c.localLimit(l.perSecondNow()))
	}
}

// requestPermits asks the leader, with the next report, for permits to send a request to
// each of the given endpoints.
func (c *Core) requestPermits(now time.Time, limited []*endpoint) {
	if c.isLeader(now) || !c.leaderAnswers(now) {
		return
	}
	for _, ep := range limited {
		if !now.Before(ep.limit.nextPermitAt) {
			c.follower.permitRequests[ep.ID] = true
		}
	}
}

// waitForLimit parks a call whose endpoints all name limits until one of them may get a
// request, and refuses it at once if that is too late.
func (c *Core) waitForLimit(now time.Time, call *activeCall, limited []*endpoint) {
	first := c.nextPermit(now, limited[0])
	for _, ep := range limited[1:] {
		first = earliest(first, c.nextPermit(now, ep))
	}
	until := c.parkDeadline(call)
	if first.After(until) || !now.Before(until) {
		wait := max(first.Sub(now), 0)
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "every endpoint has named a limit", wait+c.jitter(shortRetryAfter))
		return
	}
	if len(c.follower.permitRequests) > 0 && now.Sub(c.follower.permitsRequestedAt) >= permitRequestInterval {
		c.follower.permitsRequestedAt = now
		c.sendReport(now)
	}
	c.park(now, call, until)
}

// nextPermit returns when an endpoint may get a request from this entry at the earliest.
func (c *Core) nextPermit(now time.Time, ep *endpoint) time.Time {
	switch {
	case c.isLeader(now):
		return ep.limitStart(now)
	case c.leaderAnswers(now):
		return ep.limit.nextPermitAt
	}
	return ep.limit.localPace.Next(now, c.localLimit(ep.limit.perSecondNow()))
}

// drainPermitRequests returns the endpoints for which this entry needs permits.
func (f *follower) drainPermitRequests() []string {
	out := slices.Sorted(maps.Keys(f.permitRequests))
	clear(f.permitRequests)
	return out
}

// grantPermits answers the permit requests of another entry.
func (c *Core) grantPermits(now time.Time, requested []string) []*wirepb.GatePermit {
	var out []*wirepb.GatePermit
	for _, id := range requested {
		ep := c.endpoints[id]
		if ep == nil {
			continue
		}
		wait := ep.limitStart(now).Sub(now)
		if wait == 0 {
			ep.reserveLimit(now)
		}
		out = append(out, &wirepb.GatePermit{
			Endpoint: id,
			AfterUs:  uint64(wait.Microseconds()),
		})
	}
	return out
}

func (c *Core) applyPermits(now time.Time, permits []*wirepb.GatePermit) {
	for _, permit := range permits {
		ep := c.endpoints[permit.GetEndpoint()]
		if ep == nil {
			continue
		}
		ep.limit.nextPermitAt = now.Add(wirepb.Microseconds(permit.GetAfterUs()))
		if permit.GetAfterUs() == 0 {
			ep.limit.permitUntil = now.Add(ep.limit.permitTime())
		}
	}
}

// encodeLimits returns the limits that changed after the given revision.
func (c *Core) encodeLimits(now time.Time, revision uint64) []*wirepb.GateLimit {
	if revision == c.limitRevision {
		return nil
	}
	var out []*wirepb.GateLimit
	for _, ep := range c.sortedEndpoints() {
		if ep.limit.revision <= revision {
			continue
		}
		out = append(out, &wirepb.GateLimit{
			Endpoint:  ep.ID,
			Born:      ep.Incarnation,
			PerSecond: ep.limit.perSecond,
			AgeUs:     wirepb.AgeMicroseconds(now, ep.limit.at),
		})
	}
	return out
}

// drainLimits returns the limits of which the leader has not been told.
func (c *Core) drainLimits(now time.Time) []*wirepb.GateLimit {
	f := &c.follower
	if f.newLeader {
		f.limitsReported = 0
	}
	out := c.encodeLimits(now, f.limitsReported)
	f.limitsReported = c.limitRevision
	return out
}

// applyLimits applies limits of which another entry has told. known is the revision of
// this entry's limits that the other one knows; applyLimits returns the one that it
// knows afterwards.
func (c *Core) applyLimits(now time.Time, limits []*wirepb.GateLimit, known uint64) uint64 {
	before := c.limitRevision
	for _, l := range limits {
		at := now.Add(-wirepb.Microseconds(l.GetAgeUs()))
		if ep := c.endpoints[l.GetEndpoint()]; ep != nil && ep.Incarnation == l.GetBorn() {
			c.setLimit(now, ep, l.GetPerSecond(), at)
			continue
		}
		maps.DeleteFunc(c.earlyLimits, func(_ string, e earlyLimit) bool { return now.Sub(e.at) > leavingMemory })
		c.earlyLimits[l.GetEndpoint()] = earlyLimit{
			incarnation: l.GetBorn(),
			perSecond:   l.GetPerSecond(),
			at:          at,
		}
	}
	if known == before {
		return c.limitRevision
	}
	return known
}
