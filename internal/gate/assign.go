package gate

import (
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// slackThreshold is the slack above which a request yields to more urgent
	// ones until half of its objective has passed. slackMaxBacklog is the
	// longest prompt backlog of an engine with which such a request is still
	// sent, and slackMinRetry the shortest time after which it asks again.
	slackThreshold  = time.Second
	slackMaxBacklog = 40 * time.Millisecond
	slackMinRetry   = 200 * time.Millisecond
)

// objectiveFractions limit the expected latency at admission, as a fraction of
// the objective, indexed by the priority of the request's route. They are less
// than 1 for less urgent requests, so that the more urgent ones are served when
// engines are busy.
var objectiveFractions = [...]float64{1, 0.9, 0.8}

// handleAssignmentRequested answers another entry's request for an engine.
func (c *Core) handleAssignmentRequested(now time.Time, e AssignmentRequested) {
	peer := c.peers[e.Host]
	if peer == nil || !c.isLeader(now) && !c.grantsTrialsWithoutLeader(now) {
		return
	}
	onlyTrial := e.Request.GetService() == "" || c.isPlain(e.Request.GetService())
	if !c.isLeader(now) && !onlyTrial {
		return
	}
	if onlyTrial {
		c.emit(SendAssignment{
			Host:       e.Host,
			Assignment: c.grantTrial(now, e.Request),
		})
		return
	}
	c.prefillRate(e.Request.GetService(), e.Request.GetModel()).MergeRemote(e.Request.GetTokensPerMs(), int(e.Request.GetSamples()))
	assignment := c.assignEngine(now, e.Request)
	if assignment.GetVerdict() == wirepb.GateAssignment_ABSENT && peer.holdingsSent != c.leader.holdingChanges.Revision() {
		// The entry asks since it believes that an engine holds the model.
		c.sendState(now, e.Host, peer, answer{})
	}
	c.emit(SendAssignment{
		Host:       e.Host,
		Assignment: assignment,
	})
}

// engineOption is an engine that could run a request, with the expected timing.
type engineOption struct {
	endpoint       *endpoint
	start          time.Time
	prefill        time.Duration
	uncachedTokens int
	// estimate is the expected time from now to the first event of the
	// response.
	estimate time.Duration
	// overdue is the time by which the engine is behind its schedule. It counts in cost, not in
	// estimate: it is known late, and too uncertain to refuse a request.
	overdue time.Duration
	cost    time.Duration
	// candidate is what the estimate is computed from.
	candidate pick.Candidate
}

// assignEngine chooses an engine and a send time for a request, or returns a
// verdict that says why there is none.
func (c *Core) assignEngine(now time.Time, req *wirepb.GateAssignmentAsk) *wirepb.GateAssignment {
	reply := &wirepb.GateAssignment{Call: req.GetCall()}
	if req.GetResumes() {
		reply.SoftwareVersion, reply.VersionKnown = c.resolveAskedVersion(now, req)
		if !reply.VersionKnown {
			c.replyUnknownStream(now, req, reply)
			return reply
		}
	}
	if wait := c.trialWait(now, req); wait > 0 {
		reply.Verdict = wirepb.GateAssignment_BUSY
		reply.AfterUs = uint64(wait.Microseconds())
		return reply
	}
	option, pausing := c.bestEngine(now, req, reply)
	if option == nil || pausing && option.endpoint.limitStart(now).After(now) {
		return reply
	}
	wait := option.start.Sub(now)
	switch reply.Verdict = admitOption(now, req, option); reply.Verdict {
	case wirepb.GateAssignment_LATER:
		reply.AfterUs = uint64(max(wait-slackMaxBacklog, slackMinRetry).Microseconds())
		return reply
	case wirepb.GateAssignment_BUSY:
		reply.AfterUs = uint64(c.busyRetryAfter(now, req, reply.GetSoftwareVersion(), option.estimate).Microseconds())
		return reply
	}
	ep := option.endpoint
	ep.reserveLimit(now)
	ep.schedule.Reserve(now, option.prefill, c.leader.prefillShare(req.GetService()).Value(now))
	ep.stats.RecordPrompt(now, promptParts(req))
	if req.GetStream() != 0 && !req.GetResumes() {
		c.streams.recordAssigned(now, streamKey(req.GetStream()), ep.SoftwareVersion)
	}
	if req.GetStream() != 0 {
		c.streams.recordRun(streamKey(req.GetStream()), ep.ID)
	}
	c.startTrials(now, req)
	reply.Endpoint = ep.ID
	reply.AfterUs = uint64(wait.Microseconds())
	reply.Uncached = uint32(option.uncachedTokens)
	reply.Idle = wait == 0
	return reply
}

// admitOption decides whether a request is sent to an engine, asks again later or is refused.
func admitOption(now time.Time, req *wirepb.GateAssignmentAsk, option *engineOption) wirepb.GateAssignment_Verdict {
	objective := time.Duration(req.GetObjectiveUs()) * time.Microsecond
	elapsed := time.Duration(req.GetPassedUs()) * time.Microsecond
	wait := option.start.Sub(now)
	limit := objective
	if !req.GetResumes() {
		rank := min(int(req.GetRank()), len(objectiveFractions)-1)
		limit = time.Duration(float64(objective) * objectiveFractions[rank])
	}
	switch {
	case !req.GetResumes() && objective-elapsed-option.estimate > slackThreshold && elapsed < objective/2 && wait > slackMaxBacklog:
		return wirepb.GateAssignment_LATER
	case elapsed+option.estimate > limit && wait > 0:
		return wirepb.GateAssignment_BUSY
	default:
		return wirepb.GateAssignment_SEND
	}
}

// busyRetryAfter returns how long a request should wait before it tries busy
// engines again: the estimated time to the first event or, if longer, the time
// until a copy of its model that is being loaded is ready, by engines of the
// software version if one is given.
func (c *Core) busyRetryAfter(
	now time.Time, req *wirepb.GateAssignmentAsk, softwareVersion string, estimate time.Duration,
) time.Duration {
	etas := c.leader.planner.LoadETAs(req.GetService())
	if at, loading := stock.FirstLoadIn(etas, req.GetModel(), softwareVersion, stock.NewRegions(req.GetAllowedRegions())); loading {
		return max(estimate, at.Sub(now))
	}
	return estimate
}

// bestEngine returns the usable engine with the lowest cost, or nil if there is
// none. It considers only the software version that reply gives, if any. Ties are
// broken by ID. pausing is true if an engine without a limit gets no requests only
// because it has failed or refused some.
func (c *Core) bestEngine(
	now time.Time, req *wirepb.GateAssignmentAsk, reply *wirepb.GateAssignment,
) (best *engineOption, pausing bool) {
	options, pausing := c.engineOptions(now, req, reply)
	return cheapestOption(options), pausing
}

// cheapestOption returns the option with the lowest cost, nil if there is none.
func cheapestOption(options []*engineOption) *engineOption {
	var best *engineOption
	for _, option := range options {
		if best == nil || option.cost < best.cost || option.cost == best.cost && option.endpoint.ID < best.endpoint.ID {
			best = option
		}
	}
	return best
}

// engineOptions returns the engines that bestEngine compares, with their costs. It changes no
// state.
func (c *Core) engineOptions(
	now time.Time, req *wirepb.GateAssignmentAsk, reply *wirepb.GateAssignment,
) (options []*engineOption, pausing bool) {
	if c.config == nil {
		return nil, false
	}
	service := c.config.Services[req.GetService()]
	if service == nil || service.Engine == nil {
		return nil, false
	}
	parts := promptParts(req)
	rate := c.knownPrefillRate(req.GetService(), req.GetModel())
	ranAt := c.streams.ranAt(streamKey(req.GetStream()))
	confined := c.confinedPart(now, req)
	place := c.askedPlacement(now, req, reply)
	holders := make(map[string]int)
	for _, ep := range c.endpoints {
		if ep.Service != req.GetService() {
			continue
		}
		if reason := c.engineExclusion(now, req, reply, ep, place); reason != NotExcluded {
			pausing = pausing || reason.pauses() && !ep.limit.limited()
			continue
		}
		holders[ep.SoftwareVersion]++
		options = append(options, c.evaluateEngine(now, req, ep, parts, rate))
	}
	for _, option := range options {
		if beginsResumableStream(req) && holders[option.endpoint.SoftwareVersion] == 1 && len(holders) > 1 {
			option.cost += loneHolderPenalty
		}
		if req.GetResumes() && option.endpoint.ID == ranAt {
			option.cost += returnPenalty
		}
		if confined != 0 {
			option.cost = -time.Duration(confinementRank(confined, option.endpoint.ID) >> 1)
		}
	}
	return options, pausing
}

// loneHolderPenalty is the cost of beginning a stream at the only engine of its software
// version that holds its model: if that engine ends, the stream can't go on.
const loneHolderPenalty = 150 * time.Millisecond

// returnPenalty is the cost of resuming a stream at the engine that ran it last, which may
// have fallen silent: it keeps the stream's prompt, but a client resumes only once.
const returnPenalty = 500 * time.Millisecond

// beginsResumableStream reports whether a request begins a stream that may be resumed.
func beginsResumableStream(req *wirepb.GateAssignmentAsk) bool {
	return req.GetStream() != 0 && !req.GetResumes()
}

func (c *Core) evaluateEngine(
	now time.Time, req *wirepb.GateAssignmentAsk, ep *endpoint, parts []pick.PromptPart, rate *pick.PrefillRate,
) *engineOption {
	uncached := max(int(req.GetPromptTokens())-ep.stats.CachedTokens(now, parts), 0)
	factor := ep.speed.Factor() * pick.ExcessSlowdown(now, ep.stats)
	prefill := time.Duration(float64(rate.PrefillTime(uncached)) * factor)
	candidate := pick.Candidate{
		Stats:             ep.stats,
		Slots:             max(ep.Slots, 1),
		SameZone:          ep.Zone == req.GetZone(),
		Cold:              now.Before(ep.coldUntil),
		ExpectedFirstByte: pick.FirstByteOverhead + prefill,
		DelayPerRunning:   slowdownPerRunning,
	}
	option := &engineOption{
		endpoint:       ep,
		start:          latest(ep.schedule.NextStart(now), ep.limitStart(now)),
		prefill:        prefill,
		uncachedTokens: uncached,
		candidate:      candidate,
	}
	option.estimate = option.start.Sub(now) + pick.EstimateScheduled(now, candidate)
	option.overdue = ep.overdueWork(now, option.start.Sub(now), factor)
	option.cost = option.estimate + pick.Penalty(candidate) + option.overdue
	return option
}

// overdueTolerance is the work of prompts without a first event that an engine on schedule may
// have: those that it processes, and those whose first events aren't reported yet.
const overdueTolerance = 100 * time.Millisecond

// overdueWork returns the prompts' time by which an engine is behind its schedule: the prompts
// that it was sent and hasn't answered, beyond what the schedule expects. The schedule itself
// follows predictions only.
func (ep *endpoint) overdueWork(now time.Time, scheduled time.Duration, factor float64) time.Duration {
	pending := time.Duration(float64(ep.stats.Load(now).PendingPrefill) * factor)
	return max(pending-scheduled-overdueTolerance, 0)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func promptParts(req *wirepb.GateAssignmentAsk) []pick.PromptPart {
	out := make([]pick.PromptPart, 0, len(req.GetParts()))
	for _, p := range req.GetParts() {
		out = append(out, pick.PromptPart{
			Hash:   p.GetHash(),
			Tokens: int(p.GetTokens()),
		})
	}
	return out
}

// prefillShare returns the limit on the fraction of time that the engines of a
// service may spend on prefill.
func (l *leader) prefillShare(service string) *pacer.PrefillShare {
	share := l.prefillShares[service]
	if share == nil {
		share = pacer.NewPrefillShare()
		l.prefillShares[service] = share
	}
	return share
}

// applyStreamStats updates the leader's model of an endpoint with the stream
// statistics of one entry.
func (c *Core) applyStreamStats(ep *endpoint, stats streamStats) {
	c.leader.prefillShare(ep.Service).Observe(stats.ended, stats.paused)
	ep.speed.Observe(stats.expectedPrefill, stats.measuredPrefill)
}
