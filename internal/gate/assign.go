package gate

import (
	"slices"
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// spareTime is the time to spare from which a request lets others go first,
	// until half of its objective has passed; spareBacklog is how long an
	// engine's prompts may take for it to be sent, sparePause when it asks again.
	spareTime    = time.Second
	spareBacklog = 40 * time.Millisecond
	sparePause   = 200 * time.Millisecond
)

// rankShares are the parts of the objective that a request may be expected to
// take when it is admitted, by its rank within a customer's: where engines are
// busy, the more urgent ones are served.
var rankShares = [...]float64{1, 0.9, 0.8}

// assignmentAsked answers another entry's question for an engine.
func (c *Core) assignmentAsked(now time.Time, e AssignmentAsked) {
	if p := c.peers[e.Host]; p == nil || !c.leads(now) {
		return
	}
	c.pace(e.Ask.GetService(), e.Ask.GetModel()).MergeRemote(e.Ask.GetTokensPerMs(), int(e.Ask.GetSamples()))
	c.do(SendAssignment{
		Host:       e.Host,
		Assignment: c.assign(now, e.Ask),
	})
}

// option is an engine that could take a request.
type option struct {
	endpoint *endpoint
	start    time.Time
	work     time.Duration
	uncached int
	// estimate is the expected time from now to the first event.
	estimate time.Duration
	cost     time.Duration
}

// assign chooses an engine and a time for a request, or says why there is none.
func (c *Core) assign(now time.Time, b *wirepb.GateAssignmentAsk) *wirepb.GateAssignment {
	answer := &wirepb.GateAssignment{Call: b.GetCall()}
	best := c.bestOption(now, b)
	if best == nil {
		return answer
	}
	objective := time.Duration(b.GetObjectiveUs()) * time.Microsecond
	passed := time.Duration(b.GetPassedUs()) * time.Microsecond
	wait := best.start.Sub(now)
	rank := min(int(b.GetRank()), len(rankShares)-1)
	limit := time.Duration(float64(objective) * rankShares[rank])
	switch {
	case objective-passed-best.estimate > spareTime && passed < objective/2 && wait > spareBacklog:
		answer.Verdict = wirepb.GateAssignment_LATER
		answer.AfterUs = uint64(max(wait-spareBacklog, sparePause).Microseconds())
		return answer
	case passed+best.estimate > limit && wait > 0:
		answer.Verdict = wirepb.GateAssignment_BUSY
		answer.AfterUs = uint64(c.reliefAfter(now, b, best.estimate).Microseconds())
		return answer
	}
	e := best.endpoint
	e.schedule.Reserve(now, best.work, c.leader.promptShare(b.GetService()).Value(now))
	e.track.RecordPrompt(now, partsOf(b))
	answer.Verdict = wirepb.GateAssignment_SEND
	answer.Endpoint = e.ID
	answer.AfterUs = uint64(wait.Microseconds())
	answer.Uncached = uint32(best.uncached)
	answer.Idle = wait == 0
	return answer
}

// reliefAfter returns when engines that are busy now can be expected to take a
// request: when another copy of its model is there, if one is on its way.
func (c *Core) reliefAfter(now time.Time, b *wirepb.GateAssignmentAsk, estimate time.Duration) time.Duration {
	if at, loading := c.leader.planner.LoadETAs(b.GetService())[b.GetModel()]; loading {
		return max(estimate, at.Sub(now))
	}
	return estimate
}

// bestOption returns the engine that would answer first, nil if none can.
func (c *Core) bestOption(now time.Time, b *wirepb.GateAssignmentAsk) *option {
	if c.config == nil {
		return nil
	}
	service := c.config.Services[b.GetService()]
	if service == nil || service.Engine == nil {
		return nil
	}
	parts := partsOf(b)
	pace := c.pace(b.GetService(), b.GetModel())
	var best *option
	for id, e := range c.endpoints {
		if e.Service != b.GetService() || e.Draining || slices.Contains(b.GetAvoid(), id) || !e.track.Usable(now) {
			continue
		}
		if !e.holds(now, true, b.GetModel(), b.GetAdapter()) {
			continue
		}
		s := c.option(now, b, e, parts, pace)
		if best == nil || s.cost < best.cost || s.cost == best.cost && id < best.endpoint.ID {
			best = s
		}
	}
	return best
}

func (c *Core) option(now time.Time, b *wirepb.GateAssignmentAsk, e *endpoint, parts []pick.PromptPart, pace *pick.PrefillRate) *option {
	uncached := max(int(b.GetPromptTokens())-e.track.CachedTokens(now, parts), 0)
	factor := e.speed.Factor() * pick.ExcessSlowdown(now, e.track)
	reading := time.Duration(float64(pace.PrefillTime(uncached)) * factor)
	candidate := pick.Candidate{
		Stats:             e.track,
		Slots:             max(e.Slots, 1),
		SameZone:          e.Zone == b.GetZone(),
		Cold:              now.Before(e.coldUntil),
		ExpectedFirstByte: pick.FirstByteOverhead + reading,
		DelayPerRunning:   perRunning,
	}
	s := &option{
		endpoint: e,
		start:    e.schedule.NextStart(now),
		work:     reading,
		uncached: uncached,
	}
	s.estimate = s.start.Sub(now) + pick.EstimateScheduled(now, candidate)
	s.cost = s.estimate + pick.Penalty(candidate)
	return s
}

func partsOf(b *wirepb.GateAssignmentAsk) []pick.PromptPart {
	out := make([]pick.PromptPart, 0, len(b.GetParts()))
	for _, p := range b.GetParts() {
		out = append(out, pick.PromptPart{
			Hash:   p.GetHash(),
			Tokens: int(p.GetTokens()),
		})
	}
	return out
}

// promptShare bounds the prompts given to the engines of a service.
func (l *leader) promptShare(service string) *pacer.PrefillShare {
	g := l.promptShares[service]
	if g == nil {
		g = pacer.NewPrefillShare()
		l.promptShares[service] = g
	}
	return g
}

// streamsSeen takes what an entry has seen of an endpoint, at the leader.
func (c *Core) streamsSeen(e *endpoint, n streamCount) {
	c.leader.promptShare(e.Service).Observe(n.ended, n.paused)
	e.speed.Observe(n.expected, n.seen)
}
