package gate

import (
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// recordStreamStart remembers the endpoint that runs the stream of a call, and the version
// that begins it unless the call continues one.
func (c *Core) recordStreamStart(now time.Time, call *activeCall) {
	if call.route.Kind != topo.Stream || !call.route.Resumable {
		return
	}
	key := newStreamKey(call.streamID())
	defer c.streams.recordRun(key, call.endpoint.ID)
	if call.continuesStream() {
		return
	}
	c.streams.recordOwn(now, key, call.endpoint.SoftwareVersion)
	switch {
	case len(call.triedEndpoints) > 1:
		c.sendReport(now) // the leader may know of a beginning at another version
	case c.versionsDiffer(now, call.service):
		c.reportSoon(now)
	}
}

// continuesStream reports whether a part of the call's stream has reached the
// client, in an earlier attempt or in an earlier request of the client.
func (ac *activeCall) continuesStream() bool { return ac.resuming || ac.resumesStream() }

// resumesStream reports whether the client resumes a stream that an earlier
// request began.
func (ac *activeCall) resumesStream() bool {
	return ac.route.Kind == topo.Stream && ac.route.Resumable && ac.request.LastEventID != ""
}

// streamID returns the ID of the request that brings the first event of a call's stream, as
// far as the client names it.
func (ac *activeCall) streamID() string {
	if ac.resumesStream() && ac.request.ResumedRequest != "" {
		return ac.request.ResumedRequest
	}
	return ac.request.ID
}

// acceptsVersion reports whether a call may be sent to an endpoint with the given
// software version.
func (ac *activeCall) acceptsVersion(version string) bool {
	return !ac.continuesStream() || ac.softwareVersion == version
}

// resolveStreamVersion determines which software version a call that continues a
// stream needs. It reports whether the call can proceed. If not, it has asked the
// leader, made the call wait for one or refused it.
func (c *Core) resolveStreamVersion(now time.Time, call *activeCall) bool {
	if !call.continuesStream() || call.versionKnown {
		return true
	}
	version, own, known := c.streamVersion(now, call.request.ResumedRequest)
	// What another entry has begun may have begun anew since this one was told.
	askLeader := call.assignment.stage == stageNone && c.leaderAnswers(now)
	if known && (own || !askLeader) {
		call.setStreamVersion(version, versionRemembered)
		return true
	}
	if askLeader {
		c.requestAssignment(now, call)
		return false
	}
	if call.versionsDiffer {
		c.refuseUnknownStream(now, call)
		return false
	}
	beganBefore := call.request.ArrivedAt
	if version, only := c.provenOnlyVersion(now, call.service, beganBefore); only {
		call.setStreamVersion(version, versionOnly)
		return true
	}
	until := call.abandonedAt()
	if !c.versionsDiffer(now, call.service) && c.expectsVersions(now, beganBefore) {
		c.awaitVersions(now, call, until)
		return false
	}
	if !c.lease.HasRead() || c.expectsLeader(now, until) {
		// The record of the lease, the leader or the next one may tell.
		call.assignment = assignment{}
		c.park(now, call, until)
		return false
	}
	c.refuseUnknownStream(now, call)
	return false
}

// expectsLeader reports whether the leader, which can't be asked now, or the next one is
// expected before a point in time.
func (c *Core) expectsLeader(now, until time.Time) bool {
	if c.leaderAnswers(now) || c.leaderLink.host == "" {
		return false
	}
	expectedAt := now.Add(c.leaderExpectedIn(now))
	return expectedAt.Before(until) && expectedAt.Before(c.follower.lastHeard.Add(leaderChangeTime))
}

// leaderChangeTime is the time from the last message of a leader within which the first
// one of the next is expected. If it has passed, nobody can tell when there is one.
const leaderChangeTime = 5 * time.Second

// VersionSource says from where an entry knows the software version that a stream needs.
type VersionSource string

const (
	// versionForwarded is the version whose events this entry has forwarded itself.
	versionForwarded VersionSource = "forwarded"
	// versionRemembered is the one that the stream is known to have begun at.
	versionRemembered VersionSource = "remembered"
	// versionFromLeader is the one that the leader has told for this request.
	versionFromLeader VersionSource = "leader"
	// versionOnly is the only one that the service's endpoints have.
	versionOnly VersionSource = "only"
	// versionDoubtful is doubtfulVersion.
	versionDoubtful VersionSource = "doubtful"
)

// doubtfulVersion stands for the version of a stream that one of two incarnations of an endpoint
// has begun, of different versions. No endpoint has it.
const doubtfulVersion = "\x00doubtful"

// registrationTime is the time in which an endpoint that starts is registered.
const registrationTime = 300 * time.Millisecond

// doubtVersions makes unknown at which version the streams began that this entry has sent to an
// endpoint since the last read that showed the incarnation which another one has replaced.
func (c *Core) doubtVersions(now time.Time, replaced *endpoint) {
	since := c.previousRegistryAt.Add(-registrationTime)
	for _, call := range c.calls {
		if call.endpoint == replaced && call.sentAt.After(since) && !call.versionKnown {
			call.setStreamVersion(doubtfulVersion, versionDoubtful)
		}
	}
	for _, key := range c.streams.begunAt(replaced.ID, replaced.SoftwareVersion, since) {
		c.streams.recordOwn(now, key, doubtfulVersion)
		c.reportSoon(now)
	}
}

func (ac *activeCall) setStreamVersion(version string, source VersionSource) {
	ac.softwareVersion = version
	ac.versionKnown = true
	ac.versionSource = source
}

// streamVersion returns the software version that began the stream that a request
// resumes, and whether this entry began it itself.
func (c *Core) streamVersion(now time.Time, resumedRequest string) (version string, own, known bool) {
	if resumedRequest == "" {
		return "", false, false
	}
	return c.streams.lookup(now, newStreamKey(resumedRequest))
}

// refuseUnknownStream refuses a call that continues a stream of which nobody knows
// where it began. Only an entry without a leader may learn that soon.
func (c *Core) refuseUnknownStream(now time.Time, call *activeCall) {
	retryAfter := time.Duration(0)
	if !c.leaderAnswers(now) {
		retryAfter = c.leaderExpectedIn(now) + c.jitter(staleRetryAfter)
	}
	c.refuse(now, call, fault.NotRun, fault.CodeNoEndpoint, "the version that began the stream is not known", retryAfter)
}

// leaderAnswers reports whether the leader, which may be this entry, can be asked.
func (c *Core) leaderAnswers(now time.Time) bool {
	return c.isLeader(now) || c.leaderStateCurrent(now) && !now.Before(c.assignments.leaderBackoffUntil)
}

// encodeStreamQuestion adds to a request to the leader which stream the call
// begins or continues.
func (c *Core) encodeStreamQuestion(call *activeCall, req *wirepb.GateAssignmentAsk) {
	switch {
	case call.resumesStream():
		req.Resumes = true
		req.SoftwareVersion = call.softwareVersion
		req.VersionKnown = call.versionKnown
		if call.request.ResumedRequest != "" {
			req.Stream = uint64(newStreamKey(call.request.ResumedRequest))
		}
	case call.route.Kind == topo.Stream && call.route.Resumable:
		req.Stream = uint64(newStreamKey(call.request.ID))
	}
}

// replyUnknownStream answers a request that resumes a stream of which the leader doesn't
// know where it began. While the leader hasn't read the registry since the request arrived, or
// hasn't heard from all entries, the request is to ask again.
func (c *Core) replyUnknownStream(now time.Time, req *wirepb.GateAssignmentAsk, reply *wirepb.GateAssignment) {
	left := time.Duration(req.GetObjectiveUs()-min(req.GetPassedUs(), req.GetObjectiveUs())) * time.Microsecond
	differ := c.versionsDiffer(now, req.GetService())
	switch {
	case !differ && left > registryReadTime && c.expectsVersions(now, askedSince(now, req)):
		c.requestRegistryRead(now, askedSince(now, req))
		reply.Verdict = wirepb.GateAssignment_LATER
		reply.AfterUs = uint64(registryReadTime.Microseconds())
	case left > reportInterval && c.awaitsFirstReport(now):
		reply.Verdict = wirepb.GateAssignment_LATER
		reply.AfterUs = uint64(reportInterval.Microseconds())
	default:
		reply.Verdict = wirepb.GateAssignment_UNKNOWN
		reply.VersionsDiffer = differ
	}
}

// askedSince returns when a request of which another entry asks had arrived at the latest.
func askedSince(now time.Time, req *wirepb.GateAssignmentAsk) time.Time {
	return now.Add(-time.Duration(req.GetPassedUs()) * time.Microsecond)
}

// awaitsFirstReport reports whether an entry may still tell this leader, which has begun
// just now, of streams that it knows.
func (c *Core) awaitsFirstReport(now time.Time) bool {
	if now.Sub(c.leader.startedAt) >= peerGracePeriod {
		return false
	}
	for _, peer := range c.peers {
		if !peer.reported && (peer.connected || now.Sub(peer.lastSeen) < peerGracePeriod) {
			return true
		}
	}
	return false
}

// resolveAskedVersion determines, at the leader, the software version that a
// request needs that resumes a stream. It reports false if it isn't known.
func (c *Core) resolveAskedVersion(now time.Time, req *wirepb.GateAssignmentAsk) (version string, known bool) {
	if req.GetVersionKnown() {
		return req.GetSoftwareVersion(), true
	}
	if req.GetStream() != 0 {
		if version, _, known = c.streams.lookup(now, streamKey(req.GetStream())); known {
			return version, true
		}
	}
	return c.provenOnlyVersion(now, req.GetService(), askedSince(now, req))
}
