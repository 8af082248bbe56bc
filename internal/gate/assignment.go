package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// assignmentClient is this entry's side of choosing engines: the leader, which knows
// what all entries send, assigns an engine and a time to each request. Without a
// leader that answers an entry chooses by itself.
type assignmentClient struct {
	// pending are calls that wait for the leader's answer, for the time that it
	// gave, or to ask again.
	pending map[CallID]*activeCall
	// leaderBackoffUntil is until when the leader isn't asked, since it didn't answer.
	leaderBackoffUntil time.Time
	// streamStats are counted by endpoint.
	streamStats map[string]streamStats
}

// streamStats is what was seen of the streams of one endpoint.
type streamStats struct {
	ended  int
	paused int
	// expectedPrefill is how long prompts were expectedPrefill to take, seen how long they took,
	// while the endpoint read no others.
	expectedPrefill time.Duration
	measuredPrefill time.Duration
}

func newAssignmentClient() assignmentClient {
	return assignmentClient{
		pending:     make(map[CallID]*activeCall),
		streamStats: make(map[string]streamStats),
	}
}

// assignment says how far a call is on its way to an engine.
type assignment struct {
	stage assignmentStage
	// resumeAt is when the call goes on: without an answer, with its time come, or by
	// asking again.
	resumeAt time.Time
	// endpoint, uncached and idle are the leader's answer.
	endpoint       string
	uncachedTokens int
	idle           bool
}

// assignmentStage is a step on that way.
type assignmentStage int

const (
	// stageNone calls may ask.
	stageNone assignmentStage = iota
	// stageRequested calls wait for an answer.
	stageRequested
	// stageAssigned calls wait for the time that they got.
	stageAssigned
	// stagePostponed calls have time, and ask again.
	stagePostponed
	// stageLocal calls go on without the leader.
	stageLocal
)

const (
	// leaderBackoff is for how long a leader that didn't answer isn't asked.
	leaderBackoff = 500 * time.Millisecond
	// immediateStart is how soon a time has come.
	immediateStart = 2 * time.Millisecond
)

// shouldRequestAssignment reports whether a call is to ask the leader for an engine.
func (c *Core) shouldRequestAssignment(now time.Time, call *activeCall, service *topo.Service) bool {
	if service.Engine == nil || len(call.triedEndpoints) > 0 || call.assignment.stage == stageLocal {
		return false
	}
	return c.isLeader(now) || c.leaderStateCurrent(now) && !now.Before(c.assignments.leaderBackoffUntil)
}

// requestAssignment asks the leader for an engine.
func (c *Core) requestAssignment(now time.Time, call *activeCall) {
	req := c.newAssignmentRequest(now, call)
	if c.isLeader(now) {
		c.applyAssignment(now, call, c.assignEngine(now, req))
		return
	}
	call.assignment = assignment{
		stage:    stageRequested,
		resumeAt: now.Add(leaderReplyTimeout),
	}
	c.assignments.pending[call.id] = call
	c.emit(RequestAssignment{Request: req})
}

func (c *Core) newAssignmentRequest(now time.Time, call *activeCall) *wirepb.GateAssignmentAsk {
	pace, samples := c.pace(call.service, call.request.Model).Value()
	req := &wirepb.GateAssignmentAsk{
		Call:         uint64(call.id),
		Service:      call.service,
		Model:        call.request.Model,
		Adapter:      call.request.Adapter,
		PromptTokens: uint32(max(call.request.PromptTokens, 0)),
		TokensPerMs:  pace,
		Samples:      uint32(samples),
		ObjectiveUs:  uint64(call.route.LatencyObjective.Microseconds()),
		PassedUs:     uint64(max(now.Sub(call.request.ArrivedAt), 0).Microseconds()),
		Rank:         uint32(call.route.Priority),
		Zone:         c.settings.Zone,
	}
	for _, p := range call.request.PromptParts {
		req.Parts = append(req.Parts, &wirepb.GatePart{
			Hash:   p.Hash,
			Tokens: uint32(p.Tokens),
		})
	}
	for id, e := range c.endpoints {
		if e.Service == call.service && !e.track.Usable(now) {
			req.Avoid = append(req.Avoid, id)
		}
	}
	return req
}

// handleAssignmentReceived takes the leader's answer.
func (c *Core) handleAssignmentReceived(now time.Time, e AssignmentReceived) {
	if e.Host != c.leaderLink.host {
		return
	}
	call := c.assignments.pending[CallID(e.Assignment.GetCall())]
	if call == nil || call.assignment.stage != stageRequested {
		return // it went on without an answer
	}
	c.applyAssignment(now, call, e.Assignment)
}

// applyAssignment does with a call what the leader says.
func (c *Core) applyAssignment(now time.Time, call *activeCall, reply *wirepb.GateAssignment) {
	delay := time.Duration(reply.GetAfterUs()) * time.Microsecond
	call.assignment = assignment{
		resumeAt:       now.Add(delay),
		endpoint:       reply.GetEndpoint(),
		uncachedTokens: int(reply.GetUncached()),
		idle:           reply.GetIdle(),
	}
	switch reply.GetVerdict() {
	case wirepb.GateAssignment_SEND:
		call.assignment.stage = stageAssigned
		if delay <= immediateStart {
			c.sendAssigned(now, call)
			return
		}
	case wirepb.GateAssignment_BUSY:
		c.refuse(now, call, fault.NotRun, fault.CodeBusy, "every endpoint is busy", delay+c.jitter(shortRetryAfter))
		return
	case wirepb.GateAssignment_LATER:
		call.assignment.stage = stagePostponed
	default:
		call.assignment.stage = stageLocal
		c.dispatch(now, call)
		return
	}
	c.assignments.pending[call.id] = call
	c.emit(ScheduleTick{After: delay})
}

// sendAssigned sends a call to the engine that it got, if that is still there.
func (c *Core) sendAssigned(now time.Time, call *activeCall) {
	e := c.endpoints[call.assignment.endpoint]
	service := c.config.Services[call.service]
	if e == nil || e.Draining || service == nil || e.track.BackingOff(now) {
		call.assignment.stage = stageLocal
		c.dispatch(now, call)
		return
	}
	candidate := c.newCandidate(now, call, e, service)
	idle, uncachedTokens := call.assignment.idle, call.assignment.uncachedTokens
	c.send(now, call, e, candidate, pick.Choice{Estimate: pick.EstimateUnqueued(now, candidate)})
	call.endpointIdle = idle
	call.uncachedTokens = uncachedTokens
}

// resumeAssignments goes on with the calls whose time has come.
func (c *Core) resumeAssignments(now time.Time) {
	if len(c.assignments.pending) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.assignments.pending)) {
		call := c.assignments.pending[id]
		if call == nil || now.Before(call.assignment.resumeAt) && !c.admissionClosed(now) {
			continue
		}
		delete(c.assignments.pending, id)
		c.resumeCall(now, call)
	}
}

// resumeCall goes on with a call whose time has come.
func (c *Core) resumeCall(now time.Time, call *activeCall) {
	switch {
	case c.admissionClosed(now):
		c.refuse(now, call, fault.NotRun, fault.CodeLeaving, "the entry is stopping", minRetryAfter)
	case call.customer != nil && !c.configFresh(now):
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetryAfter)
	case call.assignment.stage == stageAssigned:
		c.sendAssigned(now, call)
	case call.assignment.stage == stagePostponed:
		call.assignment = assignment{stage: stageNone}
		c.dispatch(now, call)
	default:
		c.assignments.leaderBackoffUntil = now.Add(leaderBackoff)
		call.assignment.stage = stageLocal
		c.dispatch(now, call)
	}
}

// recordStream notes a stream that has ended at an endpoint and whether it paused
// too long.
func (c *Core) recordStream(call *activeCall, e *endpoint, maxGap time.Duration) {
	if call.route.Kind != topo.Stream || call.route.GapObjective <= 0 {
		return
	}
	stats := streamStats{ended: 1}
	if maxGap > call.route.GapObjective {
		stats.paused = 1
	}
	c.recordStreamStats(e, stats)
}

// recordPrefill notes how long an endpoint that read nothing else took for a
// prompt.
func (c *Core) recordPrefill(call *activeCall, elapsed time.Duration) {
	if call.assignment.stage != stageAssigned || !call.endpointIdle || call.uncachedTokens < pick.MinSampleTokens {
		return
	}
	c.recordStreamStats(call.endpoint, streamStats{
		expectedPrefill: c.pace(call.service, call.request.Model).PrefillTime(call.uncachedTokens),
		measuredPrefill: max(elapsed-pick.FirstByteOverhead, 0),
	})
}

// recordStreamStats passes what was seen of an endpoint to the leader.
func (c *Core) recordStreamStats(e *endpoint, stats streamStats) {
	if c.leader != nil {
		c.applyStreamStats(e, stats)
		return
	}
	c.assignments.streamStats[e.ID] = c.assignments.streamStats[e.ID].add(stats)
}

func (s streamStats) add(other streamStats) streamStats {
	return streamStats{
		ended:           s.ended + other.ended,
		paused:          s.paused + other.paused,
		expectedPrefill: s.expectedPrefill + other.expectedPrefill,
		measuredPrefill: s.measuredPrefill + other.measuredPrefill,
	}
}

func decodeStreamStats(stats *wirepb.GateStreams) streamStats {
	return streamStats{
		ended:           int(stats.GetEnded()),
		paused:          int(stats.GetPaused()),
		expectedPrefill: time.Duration(stats.GetExpectedUs()) * time.Microsecond,
		measuredPrefill: time.Duration(stats.GetSeenUs()) * time.Microsecond,
	}
}

// drainStreamStats returns the counts since the last report.
func (a *assignmentClient) drainStreamStats() []*wirepb.GateStreams {
	var out []*wirepb.GateStreams
	for _, id := range slices.Sorted(maps.Keys(a.streamStats)) {
		stats := a.streamStats[id]
		out = append(out, &wirepb.GateStreams{
			Endpoint:   id,
			Ended:      uint32(stats.ended),
			Paused:     uint32(stats.paused),
			ExpectedUs: uint64(stats.expectedPrefill.Microseconds()),
			SeenUs:     uint64(stats.measuredPrefill.Microseconds()),
		})
	}
	clear(a.streamStats)
	return out
}
