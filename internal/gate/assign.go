package gate

import (
	"slices"
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// slackThreshold is the time to spare from which a request lets others go first,
	// until half of its objective has passed; spareBacklog is how long an
	// engine's prompts may take for it to be sent, sparePause when it asks again.
	slackThreshold  = time.Second
	slackMaxBacklog = 40 * time.Millisecond
	slackMinRetry   = 200 * time.Millisecond
)

// objectiveFractions are the parts of the objective that a request may be expected to
// take when it is admitted, by its rank within a customer's: where engines are
// busy, the more urgent ones are served.
var objectiveFractions = [...]float64{1, 0.9, 0.8}

// handleAssignmentRequested answers another entry's question for an engine.
func (c *Core) handleAssignmentRequested(now time.Time, e AssignmentRequested) {
	if p := c.peers[e.Host]; p == nil || !c.isLeader(now) {
		return
	}
	c.pace(e.Request.GetService(), e.Request.GetModel()).MergeRemote(e.Request.GetTokensPerMs(), int(e.Request.GetSamples()))
	c.emit(SendAssignment{
		Host:       e.Host,
		Assignment: c.assignEngine(now, e.Request),
	})
}

// engineOption is an engine that could take a request.
type engineOption struct {
	endpoint       *endpoint
	start          time.Time
	prefill        time.Duration
	uncachedTokens int
	// estimate is the expected time from now to the first event.
	estimate time.Duration
	cost     time.Duration
}

// assignEngine chooses an engine and a time for a request, or says why there is none.
func (c *Core) assignEngine(now time.Time, req *wirepb.GateAssignmentAsk) *wirepb.GateAssignment {
	reply := &wirepb.GateAssignment{Call: req.GetCall()}
	option := c.bestEngine(now, req)
	if option == nil {
		return reply
	}
	objective := time.Duration(req.GetObjectiveUs()) * time.Microsecond
	elapsed := time.Duration(req.GetPassedUs()) * time.Microsecond
	wait := option.start.Sub(now)
	rank := min(int(req.GetRank()), len(objectiveFractions)-1)
	limit := time.Duration(float64(objective) * objectiveFractions[rank])
	switch {
	case objective-elapsed-option.estimate > slackThreshold && elapsed < objective/2 && wait > slackMaxBacklog:
		reply.Verdict = wirepb.GateAssignment_LATER
		reply.AfterUs = uint64(max(wait-slackMaxBacklog, slackMinRetry).Microseconds())
		return reply
	case elapsed+option.estimate > limit && wait > 0:
		reply.Verdict = wirepb.GateAssignment_BUSY
		reply.AfterUs = uint64(c.busyRetryAfter(now, req, option.estimate).Microseconds())
		return reply
	}
	e := option.endpoint
	e.schedule.Reserve(now, option.prefill, c.leader.promptShare(req.GetService()).Value(now))
	e.track.RecordPrompt(now, promptParts(req))
	reply.Verdict = wirepb.GateAssignment_SEND
	reply.Endpoint = e.ID
	reply.AfterUs = uint64(wait.Microseconds())
	reply.Uncached = uint32(option.uncachedTokens)
	reply.Idle = wait == 0
	return reply
}

// busyRetryAfter returns when engines that are busy now can be expected to take a
// request: when another copy of its model is there, if one is on its way.
func (c *Core) busyRetryAfter(now time.Time, req *wirepb.GateAssignmentAsk, estimate time.Duration) time.Duration {
	if at, loading := c.leader.planner.LoadETAs(req.GetService())[req.GetModel()]; loading {
		return max(estimate, at.Sub(now))
	}
	return estimate
}

// bestEngine returns the engine that would answer first, nil if none can.
func (c *Core) bestEngine(now time.Time, req *wirepb.GateAssignmentAsk) *engineOption {
	if c.config == nil {
		return nil
	}
	service := c.config.Services[req.GetService()]
	if service == nil || service.Engine == nil {
		return nil
	}
	parts := promptParts(req)
	pace := c.pace(req.GetService(), req.GetModel())
	var best *engineOption
	for id, e := range c.endpoints {
		if e.Service != req.GetService() || e.Draining || slices.Contains(req.GetAvoid(), id) || !e.track.Usable(now) {
			continue
		}
		if !e.holds(now, true, req.GetModel(), req.GetAdapter()) {
			continue
		}
		option := c.evaluateEngine(now, req, e, parts, pace)
		if best == nil || option.cost < best.cost || option.cost == best.cost && id < best.endpoint.ID {
			best = option
		}
	}
	return best
}

func (c *Core) evaluateEngine(now time.Time, req *wirepb.GateAssignmentAsk, e *endpoint, parts []pick.PromptPart, pace *pick.PrefillRate) *engineOption {
	uncached := max(int(req.GetPromptTokens())-e.track.CachedTokens(now, parts), 0)
	factor := e.speed.Factor() * pick.ExcessSlowdown(now, e.track)
	prefill := time.Duration(float64(pace.PrefillTime(uncached)) * factor)
	candidate := pick.Candidate{
		Stats:             e.track,
		Slots:             max(e.Slots, 1),
		SameZone:          e.Zone == req.GetZone(),
		Cold:              now.Before(e.coldUntil),
		ExpectedFirstByte: pick.FirstByteOverhead + prefill,
		DelayPerRunning:   slowdownPerRunning,
	}
	option := &engineOption{
		endpoint:       e,
		start:          e.schedule.NextStart(now),
		prefill:        prefill,
		uncachedTokens: uncached,
	}
	option.estimate = option.start.Sub(now) + pick.EstimateScheduled(now, candidate)
	option.cost = option.estimate + pick.Penalty(candidate)
	return option
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

// promptShare bounds the prompts given to the engines of a service.
func (l *leader) promptShare(service string) *pacer.PrefillShare {
	share := l.promptShares[service]
	if share == nil {
		share = pacer.NewPrefillShare()
		l.promptShares[service] = share
	}
	return share
}

// applyStreamStats takes what an entry has seen of an endpoint, at the leader.
func (c *Core) applyStreamStats(e *endpoint, stats streamStats) {
	c.leader.promptShare(e.Service).Observe(stats.ended, stats.paused)
	e.speed.Observe(stats.expectedPrefill, stats.measuredPrefill)
}
