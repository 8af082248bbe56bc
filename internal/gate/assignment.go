package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// assignmentClient is the entry's side of engine assignment. The leader knows
// the load of all entries and assigns an engine and a send time to each
// request. If there is no leader, or it does not answer, the entry chooses an
// engine by itself.
type assignmentClient struct {
	// pending are calls that wait for the leader's reply, for their assigned
	// send time, or to ask again.
	pending map[CallID]*activeCall
	// abandoned are questions about suspect parts whose calls no longer wait for a reply.
	// The leader may take them for requests on trial.
	abandoned map[CallID]abandonedTrial
	// leaderBackoffUntil is the time before which the leader is not asked,
	// because it did not answer in time.
	leaderBackoffUntil time.Time
	// streamStats are the statistics since the last report, by endpoint.
	streamStats map[string]streamStats
}

// abandonedTrial is a question about suspect parts whose reply nobody waits for. A reply
// after until has no effect, as the trial has then ended at the leader.
type abandonedTrial struct {
	suspects []poison.Part
	until    time.Time
}

func newAssignmentClient() assignmentClient {
	return assignmentClient{
		pending:     make(map[CallID]*activeCall),
		abandoned:   make(map[CallID]abandonedTrial),
		streamStats: make(map[string]streamStats),
	}
}

// assignment is the state of a call with respect to engine assignment.
type assignment struct {
	stage assignmentStage
	// resumeAt is when the call proceeds: without a reply, by being sent at its
	// assigned time, or by asking again.
	resumeAt time.Time
	// endpoint, uncachedTokens and idle are from the leader's reply.
	endpoint       string
	uncachedTokens int
	idle           bool
	// suspects are the suspect parts of the prompt of which the leader was told.
	suspects []poison.Part
	// onlyTrial is true if the call waits for a trial and not for an engine.
	onlyTrial bool
}

// assignmentStage is a step of engine assignment.
type assignmentStage int

const (
	// stageNone calls may ask the leader.
	stageNone assignmentStage = iota
	// stageRequested calls wait for the leader's reply.
	stageRequested
	// stageAssigned calls have an engine and wait for their send time.
	stageAssigned
	// stagePostponed calls have slack and will ask again.
	stagePostponed
	// stageLocal calls are dispatched without the leader.
	stageLocal
)

const (
	// leaderBackoff is how long a leader that did not answer is not asked
	// again.
	leaderBackoff = 500 * time.Millisecond
	// immediateStart is the delay up to which a request is sent at once.
	immediateStart = 2 * time.Millisecond
)

// shouldRequestAssignment reports whether to ask the leader for an engine for
// the call.
func (c *Core) shouldRequestAssignment(now time.Time, call *activeCall, service *topo.Service) bool {
	if service.Engine == nil || len(call.triedEndpoints) > 0 || call.assignment.stage == stageLocal {
		return false
	}
	return c.leaderAnswers(now)
}

// requestAssignment asks the leader for an engine, directly if this entry
// leads.
func (c *Core) requestAssignment(now time.Time, call *activeCall) {
	req := c.newAssignmentRequest(now, call)
	call.assignment.suspects = c.suspects(now, call)
	req.Suspects = poison.EncodeParts(call.assignment.suspects)
	if c.isLeader(now) {
		c.applyAssignment(now, call, c.assignEngine(now, req))
		return
	}
	call.assignment = assignment{
		stage:    stageRequested,
		resumeAt: now.Add(leaderReplyTimeout),
		suspects: call.assignment.suspects,
	}
	c.assignments.pending[call.id] = call
	c.emit(RequestAssignment{Request: req})
}

func (c *Core) newAssignmentRequest(now time.Time, call *activeCall) *wirepb.GateAssignmentAsk {
	tokensPerMs, samples := c.knownPrefillRate(call.service, call.request.Model).Value()
	req := &wirepb.GateAssignmentAsk{
		Call:         uint64(call.id),
		Service:      call.service,
		Model:        call.request.Model,
		Adapter:      call.request.Adapter,
		PromptTokens: uint32(max(call.request.PromptTokens, 0)),
		TokensPerMs:  tokensPerMs,
		Samples:      uint32(samples),
		ObjectiveUs:  uint64(call.firstEventLimit().Microseconds()),
		PassedUs:     uint64(max(now.Sub(call.request.ArrivedAt), 0).Microseconds()),
		Rank:         uint32(call.route.Priority),
		Zone:         c.settings.Zone,

		AllowedRegions: residencyOf(call).regions,
	}
	c.encodeStreamQuestion(call, req)
	for _, p := range call.request.PromptParts {
		req.Parts = append(req.Parts, &wirepb.GatePart{
			Hash:   p.Hash,
			Tokens: uint32(p.Tokens),
		})
	}
	for id, ep := range c.endpoints {
		if ep.Service == call.service && (ep.Draining || !ep.stats.Usable(now)) {
			req.Avoid = append(req.Avoid, id)
		}
	}
	return req
}

// firstEventLimit returns the time from the arrival of a call within which the leader
// must expect its first event.
func (ac *activeCall) firstEventLimit() time.Duration {
	if ac.continuesStream() {
		return max(ac.admissionLimit().Sub(ac.request.ArrivedAt), 0)
	}
	return ac.route.LatencyObjective
}

// handleAssignmentReceived applies the leader's reply to the call that waits
// for it.
func (c *Core) handleAssignmentReceived(now time.Time, e AssignmentReceived) {
	if e.Host != c.leaderLink.host {
		return
	}
	if c.endAbandonedTrial(now, e.Assignment) {
		return
	}
	call := c.assignments.pending[CallID(e.Assignment.GetCall())]
	if call == nil || call.assignment.stage != stageRequested {
		return // the call has proceeded without a reply
	}
	delete(c.assignments.pending, call.id)
	if call.assignment.onlyTrial {
		c.applyTrial(now, call, e.Assignment)
		return
	}
	c.applyAssignment(now, call, e.Assignment)
}

// abandonTrial remembers that a call doesn't wait any longer for the reply to a question
// about suspect parts.
func (a *assignmentClient) abandonTrial(call *activeCall) {
	if call.assignment.stage != stageRequested || len(call.assignment.suspects) == 0 {
		return
	}
	a.abandoned[call.id] = abandonedTrial{
		suspects: call.assignment.suspects,
		until:    call.assignment.resumeAt.Add(trialTime),
	}
}

// endAbandonedTrial ends the trial that the leader has granted to a call that doesn't wait
// for it any longer. It reports whether the reply was to such a call.
func (c *Core) endAbandonedTrial(now time.Time, reply *wirepb.GateAssignment) bool {
	id := CallID(reply.GetCall())
	asked, abandoned := c.assignments.abandoned[id]
	if !abandoned {
		return false
	}
	delete(c.assignments.abandoned, id)
	if reply.GetVerdict() == wirepb.GateAssignment_SEND {
		c.endTrial(now, asked.suspects)
	}
	return true
}

// applyAssignment carries out the leader's verdict on a call.
func (c *Core) applyAssignment(now time.Time, call *activeCall, reply *wirepb.GateAssignment) {
	delay := time.Duration(reply.GetAfterUs()) * time.Microsecond
	call.assignment = assignment{
		resumeAt:       now.Add(delay),
		endpoint:       reply.GetEndpoint(),
		uncachedTokens: int(reply.GetUncached()),
		idle:           reply.GetIdle(),
		suspects:       call.assignment.suspects,
	}
	if reply.GetVersionKnown() && !call.versionKnown {
		call.setStreamVersion(reply.GetSoftwareVersion(), versionFromLeader)
	}
	switch reply.GetVerdict() {
	case wirepb.GateAssignment_UNKNOWN:
		call.versionsDiffer = reply.GetVersionsDiffer()
		call.assignment.stage = stageLocal
		c.dispatch(now, call) // this entry may know what the leader doesn't
		return
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

// sendAssigned sends a call to its assigned engine. If that engine is no longer
// usable, the call is dispatched without the leader.
func (c *Core) sendAssigned(now time.Time, call *activeCall) {
	ep := c.endpoints[call.assignment.endpoint]
	service := c.config.Services[call.service]
	if !c.assignmentStands(now, call) {
		call.assignment = assignment{stage: stageNone}
		c.dispatch(now, call)
		return
	}
	usable := ep != nil && c.mayTake(now, ep, c.placementOf(now, call)) && !ep.stats.BackingOff(now) &&
		call.acceptsVersion(ep.SoftwareVersion)
	if !usable || service == nil {
		call.assignment.stage = stageLocal
		c.dispatch(now, call)
		return
	}
	candidate := c.newCandidate(now, call, ep, service)
	idle, uncachedTokens := call.assignment.idle, call.assignment.uncachedTokens
	c.send(now, call, ep, candidate, pick.Choice{Estimate: pick.EstimateUnqueued(now, candidate)})
	call.endpointIdle = idle
	call.uncachedTokens = uncachedTokens
}

// resumeAssignments resumes the pending calls that are due. Once admission is
// closed, all of them are.
func (c *Core) resumeAssignments(now time.Time) {
	maps.DeleteFunc(c.assignments.abandoned, func(_ CallID, a abandonedTrial) bool { return now.After(a.until) })
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

// resumeCall proceeds with a pending call that is due. A call that is still
// waiting for a reply shows that the leader does not answer.
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
		c.assignments.abandonTrial(call)
		call.assignment.stage = stageLocal
		c.dispatch(now, call)
	}
}
