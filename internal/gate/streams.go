package gate

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// streamMemory is how long the software version that began a stream is remembered,
// at least, and how long a version counts whose last endpoint has left. It exceeds
// the time for which a stream goes on, including what its client resumes.
const streamMemory = time.Minute

// streamKey identifies a stream: it is a hash of the ID of the request that brought
// its first event.
type streamKey uint64

func newStreamKey(requestID string) streamKey {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID)) // never fails
	return streamKey(h.Sum64())
}

// streamStart is the beginning of a stream.
type streamStart struct {
	key     streamKey
	version string
	at      time.Time
	// assigned is true if the version is that of the engine that the leader assigned, at
	// which the stream may not have begun.
	assigned bool
	// number is its number in a startLog, 0 if it is in none.
	number uint64
}

// streamTable holds the software versions that began recent streams.
type streamTable struct {
	versions map[streamKey]streamStart
	// own are the streams that this entry began. learned are those that other entries
	// began while several versions served, as far as this entry heard of them as the
	// leader.
	own     startLog
	learned startLog
	pruneAt time.Time
}

// startLog is a list of beginnings of streams, oldest first, which are numbered from 1.
type startLog struct {
	starts []streamStart
	count  uint64
}

// add appends the beginning of a stream, in place of an earlier one of the same stream.
func (l *startLog) add(start streamStart, replaces bool) {
	if replaces {
		l.starts = slices.DeleteFunc(l.starts, func(s streamStart) bool { return s.key == start.key })
	}
	l.count++
	start.number = l.count
	l.starts = append(l.starts, start)
}

// after returns the beginnings after the one with the given number.
func (l *startLog) after(number uint64) []streamStart {
	first, _ := slices.BinarySearchFunc(l.starts, number+1, func(s streamStart, n uint64) int {
		return cmp.Compare(s.number, n)
	})
	return l.starts[first:]
}

func (l *startLog) prune(now time.Time) {
	l.starts = slices.DeleteFunc(l.starts, func(s streamStart) bool { return now.Sub(s.at) > streamMemory })
}

func newStreamTable() streamTable { return streamTable{versions: make(map[streamKey]streamStart)} }

// record remembers the version that began a stream. A later record replaces an
// earlier one.
func (t *streamTable) record(now time.Time, key streamKey, version string) streamStart {
	t.prune(now)
	start := streamStart{
		key:     key,
		version: version,
		at:      now,
	}
	t.versions[key] = start
	return start
}

// recordAssigned remembers the version of the engine that a stream was assigned to, unless
// it is known where the stream began. That is told to no other entry.
func (t *streamTable) recordAssigned(now time.Time, key streamKey, version string) {
	if known, isKnown := t.versions[key]; isKnown && !known.assigned {
		return
	}
	start := t.record(now, key, version)
	start.assigned = true
	t.versions[key] = start
}

// recordOwn remembers the version of a stream that this entry began. It replaces
// that of an earlier attempt, which brought no event.
func (t *streamTable) recordOwn(now time.Time, key streamKey, version string) {
	known, isKnown := t.versions[key]
	t.own.add(t.record(now, key, version), isKnown && !known.assigned)
}

// recordLearned remembers the version of a stream that another entry began, for the other
// entries too.
func (t *streamTable) recordLearned(now time.Time, key streamKey, version string) {
	known, isKnown := t.versions[key]
	start := t.record(now, key, version)
	if !isKnown || known.assigned || known.version != version {
		t.learned.add(start, isKnown && !known.assigned)
	}
}

// lookup returns the version that began a stream, and keeps it remembered.
func (t *streamTable) lookup(now time.Time, key streamKey) (version string, known bool) {
	start, known := t.versions[key]
	if known {
		start.at = now
		t.versions[key] = start
	}
	return start.version, known
}

// prune forgets, from time to time, the streams that were not used for
// streamMemory.
func (t *streamTable) prune(now time.Time) {
	if now.Before(t.pruneAt) {
		return
	}
	t.pruneAt = now.Add(streamMemory / 4)
	maps.DeleteFunc(t.versions, func(_ streamKey, s streamStart) bool { return now.Sub(s.at) > streamMemory })
	t.own.prune(now)
	t.learned.prune(now)
}

const (
	// maxLearnedPerState bounds the streams of other entries of which a state tells, so
	// that its size doesn't grow with the fleet.
	maxLearnedPerState = 64
	// maxRetold is the number of streams up to which a new leader is told of all that an
	// entry knows; above, only of those that the entry began itself.
	maxRetold = 2048
)

// startsFor returns the streams of which the leader tells an entry, and records that it
// has. If too many are new, the newest of other entries are told.
func (t *streamTable) startsFor(peer *peer) []streamStart {
	learned := t.learned.after(peer.learnedSent)
	learned = learned[max(len(learned)-maxLearnedPerState, 0):]
	out := slices.Concat(t.own.after(peer.startsSent), learned)
	peer.startsSent = t.own.count
	peer.learnedSent = t.learned.count
	return out
}

// retold returns the streams of which a new leader is told, in the order of their keys.
func (t *streamTable) retold() []streamStart {
	if len(t.versions) > maxRetold {
		return t.own.after(0)
	}
	out := make([]streamStart, 0, len(t.versions))
	for _, key := range slices.Sorted(maps.Keys(t.versions)) {
		if start := t.versions[key]; !start.assigned {
			out = append(out, start)
		}
	}
	return out
}

// encodeStarts groups streams by version.
func encodeStarts(starts []streamStart) []*wirepb.GateStarts {
	byVersion := make(map[string][]uint64)
	for _, s := range starts {
		byVersion[s.version] = append(byVersion[s.version], uint64(s.key))
	}
	out := make([]*wirepb.GateStarts, 0, len(byVersion))
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		out = append(out, &wirepb.GateStarts{
			SoftwareVersion: version,
			Streams:         byVersion[version],
		})
	}
	return out
}

// applyStarts remembers the streams that another entry knows.
func (c *Core) applyStarts(now time.Time, starts []*wirepb.GateStarts) {
	for _, group := range starts {
		for _, key := range group.GetStreams() {
			c.recordOtherStart(now, streamKey(key), group.GetSoftwareVersion())
		}
	}
}

// recordOtherStart remembers the version of a stream that another entry began. While
// several versions serve, the leader tells all entries of it: without a leader they
// couldn't ask for it.
func (c *Core) recordOtherStart(now time.Time, key streamKey, version string) {
	if c.leader == nil || !c.severalVersions() {
		c.streams.record(now, key, version)
		return
	}
	c.streams.recordLearned(now, key, version)
}

// severalVersions reports whether the registered endpoints of any service differ in their
// software version.
func (c *Core) severalVersions() bool {
	if c.serviceVersions == nil {
		c.serviceVersions = make(map[string]map[string]bool)
		for _, ep := range c.endpoints {
			if c.serviceVersions[ep.Service] == nil {
				c.serviceVersions[ep.Service] = make(map[string]bool)
			}
			c.serviceVersions[ep.Service][ep.SoftwareVersion] = true
		}
	}
	for _, versions := range c.serviceVersions {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// recordStreamStart remembers the version that begins the stream of a call, unless
// the call continues one.
func (c *Core) recordStreamStart(now time.Time, call *activeCall) {
	if call.route.Kind != topo.Stream || !call.route.Resumable || call.continuesStream() {
		return
	}
	c.streams.recordOwn(now, newStreamKey(call.request.ID), call.endpoint.SoftwareVersion)
	if call.assignment.stage != stageAssigned || len(call.triedEndpoints) > 1 {
		c.sendReport(now) // the leader doesn't know the endpoint, or takes another one for it
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
	if version, known := c.streamVersion(now, call.request.ResumedRequest); known {
		call.setStreamVersion(version)
		return true
	}
	if call.assignment.stage == stageNone && c.leaderAnswers(now) {
		c.requestAssignment(now, call)
		return false
	}
	if version, only := c.onlyVersion(now, call.service); only {
		call.setStreamVersion(version)
		return true
	}
	until := call.loadWaitDeadline()
	if c.expectsLeader(now, until) {
		// The leader, or the next one, may know.
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

func (ac *activeCall) setStreamVersion(version string) {
	ac.softwareVersion = version
	ac.versionKnown = true
}

// streamVersion returns the software version that began the stream that a request
// resumes.
func (c *Core) streamVersion(now time.Time, resumedRequest string) (version string, known bool) {
	if resumedRequest == "" {
		return "", false
	}
	return c.streams.lookup(now, newStreamKey(resumedRequest))
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

// servesVersion reports whether an endpoint that a call has not been sent to has the
// software version that began the call's stream, and takes requests.
func (c *Core) servesVersion(now time.Time, call *activeCall) bool {
	for _, ep := range c.endpoints {
		if ep.Service == call.service && c.takesRequests(now, ep) && ep.SoftwareVersion == call.softwareVersion &&
			!call.triedEndpoints[ep.ID] {
			return true
		}
	}
	return false
}

// recordVersionDeparture remembers when an endpoint with its software version was
// removed.
func (c *Core) recordVersionDeparture(now time.Time, ep *topo.Endpoint) {
	versions := c.departedVersions[ep.Service]
	if versions == nil {
		versions = make(map[string]time.Time)
		c.departedVersions[ep.Service] = versions
	}
	maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > streamMemory })
	versions[ep.SoftwareVersion] = now
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
// know where it began. While the leader hasn't heard from all entries, the request is to
// ask again.
func (c *Core) replyUnknownStream(now time.Time, req *wirepb.GateAssignmentAsk, reply *wirepb.GateAssignment) {
	left := time.Duration(req.GetObjectiveUs()-min(req.GetPassedUs(), req.GetObjectiveUs())) * time.Microsecond
	if left <= reportInterval || !c.awaitsFirstReport(now) {
		reply.Verdict = wirepb.GateAssignment_UNKNOWN
		return
	}
	reply.Verdict = wirepb.GateAssignment_LATER
	reply.AfterUs = uint64(reportInterval.Microseconds())
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
		if version, known = c.streams.lookup(now, streamKey(req.GetStream())); known {
			return version, true
		}
	}
	return c.onlyVersion(now, req.GetService())
}
