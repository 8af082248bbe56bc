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

// assignments is this entry's side of choosing engines: the leader, which knows
// what all entries send, assigns an engine and a time to each request. Without a
// leader that answers an entry chooses by itself.
type assignments struct {
	// waiting are calls that wait for the leader's answer, for the time that it
	// gave, or to ask again.
	waiting map[CallID]*call
	// silentUntil is until when the leader isn't asked, since it didn't answer.
	silentUntil time.Time
	// streams are counted by endpoint.
	streams map[string]streamCount
}

// streamCount is what was seen of the streams of one endpoint.
type streamCount struct {
	ended  int
	paused int
	// expected is how long prompts were expected to take, seen how long they took,
	// while the endpoint read no others.
	expected time.Duration
	seen     time.Duration
}

func newAssignments() assignments {
	return assignments{
		waiting: make(map[CallID]*call),
		streams: make(map[string]streamCount),
	}
}

// assignment says how far a call is on its way to an engine.
type assignment struct {
	stage stage
	// at is when the call goes on: without an answer, with its time come, or by
	// asking again.
	at time.Time
	// endpoint, uncached and idle are the leader's answer.
	endpoint string
	uncached int
	idle     bool
}

// stage is a step on that way.
type stage int

const (
	// unasked calls may ask.
	unasked stage = iota
	// asked calls wait for an answer.
	asked
	// assigned calls wait for the time that they got.
	assigned
	// postponed calls have time, and ask again.
	postponed
	// local calls go on without the leader.
	local
)

const (
	// silentPause is for how long a leader that didn't answer isn't asked.
	silentPause = 500 * time.Millisecond
	// promptStart is how soon a time has come.
	promptStart = 2 * time.Millisecond
)

// mayAskLeader reports whether a call is to ask the leader for an engine.
func (c *Core) mayAskLeader(now time.Time, k *call, service *topo.Service) bool {
	if service.Engine == nil || len(k.tried) > 0 || k.assignment.stage == local {
		return false
	}
	return c.leads(now) || c.linked(now) && !now.Before(c.assignments.silentUntil)
}

// askForEngine asks the leader for an engine.
func (c *Core) askForEngine(now time.Time, k *call) {
	question := c.assignmentAsk(now, k)
	if c.leads(now) {
		c.takeAssignment(now, k, c.assign(now, question))
		return
	}
	k.assignment = assignment{
		stage: asked,
		at:    now.Add(askLimit),
	}
	c.assignments.waiting[k.id] = k
	c.do(AskAssignment{Ask: question})
}

func (c *Core) assignmentAsk(now time.Time, k *call) *wirepb.GateAssignmentAsk {
	pace, samples := c.pace(k.service, k.request.Model).Value()
	b := &wirepb.GateAssignmentAsk{
		Call:         uint64(k.id),
		Service:      k.service,
		Model:        k.request.Model,
		Adapter:      k.request.Adapter,
		PromptTokens: uint32(max(k.request.PromptTokens, 0)),
		TokensPerMs:  pace,
		Samples:      uint32(samples),
		ObjectiveUs:  uint64(k.route.LatencyObjective.Microseconds()),
		PassedUs:     uint64(max(now.Sub(k.request.Arrived), 0).Microseconds()),
		Rank:         uint32(k.route.Priority),
		Zone:         c.settings.Zone,
	}
	for _, p := range k.request.Parts {
		b.Parts = append(b.Parts, &wirepb.GatePart{
			Hash:   p.Hash,
			Tokens: uint32(p.Tokens),
		})
	}
	for id, e := range c.endpoints {
		if e.Service == k.service && !e.track.Usable(now) {
			b.Avoid = append(b.Avoid, id)
		}
	}
	return b
}

// assignmentReceived takes the leader's answer.
func (c *Core) assignmentReceived(now time.Time, e AssignmentReceived) {
	if e.Host != c.link.host {
		return
	}
	k := c.assignments.waiting[CallID(e.Assignment.GetCall())]
	if k == nil || k.assignment.stage != asked {
		return // it went on without an answer
	}
	c.takeAssignment(now, k, e.Assignment)
}

// takeAssignment does with a call what the leader says.
func (c *Core) takeAssignment(now time.Time, k *call, b *wirepb.GateAssignment) {
	after := time.Duration(b.GetAfterUs()) * time.Microsecond
	k.assignment = assignment{
		at:       now.Add(after),
		endpoint: b.GetEndpoint(),
		uncached: int(b.GetUncached()),
		idle:     b.GetIdle(),
	}
	switch b.GetVerdict() {
	case wirepb.GateAssignment_SEND:
		k.assignment.stage = assigned
		if after <= promptStart {
			c.sendAssigned(now, k)
			return
		}
	case wirepb.GateAssignment_BUSY:
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "every endpoint is busy", after+c.spread(shortRetry))
		return
	case wirepb.GateAssignment_LATER:
		k.assignment.stage = postponed
	default:
		k.assignment.stage = local
		c.dispatch(now, k)
		return
	}
	c.assignments.waiting[k.id] = k
	c.do(Wake{After: after})
}

// sendAssigned sends a call to the engine that it got, if that is still there.
func (c *Core) sendAssigned(now time.Time, k *call) {
	e := c.endpoints[k.assignment.endpoint]
	service := c.config.Services[k.service]
	if e == nil || e.Draining || service == nil || e.track.BackingOff(now) {
		k.assignment.stage = local
		c.dispatch(now, k)
		return
	}
	candidate := c.candidate(now, k, e, service)
	idle, uncached := k.assignment.idle, k.assignment.uncached
	c.send(now, k, e, candidate, pick.Choice{Estimate: pick.EstimateUnqueued(now, candidate)})
	k.idle = idle
	k.uncached = uncached
}

// tendAssignments goes on with the calls whose time has come.
func (c *Core) tendAssignments(now time.Time) {
	if len(c.assignments.waiting) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.assignments.waiting)) {
		k := c.assignments.waiting[id]
		if k == nil || now.Before(k.assignment.at) && !c.leaving(now) {
			continue
		}
		delete(c.assignments.waiting, id)
		c.proceed(now, k)
	}
}

// proceed goes on with a call whose time has come.
func (c *Core) proceed(now time.Time, k *call) {
	switch {
	case c.leaving(now):
		c.refuse(now, k, fault.NotRun, fault.CodeLeaving, "the entry is stopping", leastRetryAfter)
	case k.customer != nil && !c.fresh(now):
		c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetry)
	case k.assignment.stage == assigned:
		c.sendAssigned(now, k)
	case k.assignment.stage == postponed:
		k.assignment = assignment{stage: unasked}
		c.dispatch(now, k)
	default:
		c.assignments.silentUntil = now.Add(silentPause)
		k.assignment.stage = local
		c.dispatch(now, k)
	}
}

// countStream notes a stream that has ended at an endpoint and whether it paused
// too long.
func (c *Core) countStream(k *call, e *endpoint, pause time.Duration) {
	if k.route.Kind != topo.Stream || k.route.GapObjective <= 0 {
		return
	}
	n := streamCount{ended: 1}
	if pause > k.route.GapObjective {
		n.paused = 1
	}
	c.count(e, n)
}

// countReading notes how long an endpoint that read nothing else took for a
// prompt.
func (c *Core) countReading(k *call, seen time.Duration) {
	if k.assignment.stage != assigned || !k.idle || k.uncached < pick.MinSampleTokens {
		return
	}
	c.count(k.endpoint, streamCount{
		expected: c.pace(k.service, k.request.Model).PrefillTime(k.uncached),
		seen:     max(seen-pick.FirstByteOverhead, 0),
	})
}

// count passes what was seen of an endpoint to the leader.
func (c *Core) count(e *endpoint, n streamCount) {
	if c.leader != nil {
		c.streamsSeen(e, n)
		return
	}
	c.assignments.streams[e.ID] = c.assignments.streams[e.ID].add(n)
}

func (n streamCount) add(m streamCount) streamCount {
	return streamCount{
		ended:    n.ended + m.ended,
		paused:   n.paused + m.paused,
		expected: n.expected + m.expected,
		seen:     n.seen + m.seen,
	}
}

func streamsOf(s *wirepb.GateStreams) streamCount {
	return streamCount{
		ended:    int(s.GetEnded()),
		paused:   int(s.GetPaused()),
		expected: time.Duration(s.GetExpectedUs()) * time.Microsecond,
		seen:     time.Duration(s.GetSeenUs()) * time.Microsecond,
	}
}

// takeStreams returns the counts since the last report.
func (a *assignments) takeStreams() []*wirepb.GateStreams {
	var out []*wirepb.GateStreams
	for _, id := range slices.Sorted(maps.Keys(a.streams)) {
		n := a.streams[id]
		out = append(out, &wirepb.GateStreams{
			Endpoint:   id,
			Ended:      uint32(n.ended),
			Paused:     uint32(n.paused),
			ExpectedUs: uint64(n.expected.Microseconds()),
			SeenUs:     uint64(n.seen.Microseconds()),
		})
	}
	clear(a.streams)
	return out
}
