package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

func runOf(ep *topo.Endpoint) poison.Run {
	return poison.Run{
		Engine:      ep.ID,
		Incarnation: ep.Incarnation,
	}
}

// handleAnswerContinues records that a call hasn't crashed its endpoint.
func (c *Core) handleAnswerContinues(now time.Time, id CallID) {
	call := c.calls[id]
	if call == nil || call.endpoint == nil || call.answered {
		return
	}
	call.answered = true
	c.recordAnswer(now, now, call.promptParts())
}

// recordAnswer records that a request with the given parts was answered, at the given time, by
// an endpoint that has gone on running.
func (c *Core) recordAnswer(now, answeredAt time.Time, parts []poison.Part) {
	suspect := slices.ContainsFunc(parts, func(p poison.Part) bool { return c.crashes.isSuspect(now, p) })
	c.crashes.log.AddAnswer(answeredAt, parts)
	if suspect {
		c.spreadPoison(now)
	}
}

// recordFailure records that an endpoint has failed a request with the given parts and has
// gone on running.
func (c *Core) recordFailure(now time.Time, run poison.Run, parts []poison.Part) {
	for _, p := range parts {
		if c.crashes.addFailure(now, run, p) {
			c.spreadPoison(now)
		}
	}
}

// recordEnding records what the end of an attempt says about the request. An answer
// that was cut off says nothing until it is known whether its endpoint has crashed.
func (c *Core) recordEnding(now time.Time, call *activeCall, ep *endpoint, result Result) {
	run := runOf(ep.Endpoint)
	suspects := call.takeTrial()
	expected := ep.Draining || c.endpoints[ep.ID] != ep
	cut := result.Reason == ReasonReset || !expected && result.silent() && (len(suspects) > 0 || ep.stats.BackingOff(now))
	complete := !expected && result.complete(call.plain)
	if complete {
		c.settleAnswers(now, run, now)
		c.recordResponse(now, call, run, result, suspects)
		return
	}
	if !cut {
		defer c.endTrial(now, suspects)
	}
	parts := call.parts()
	if call.answered {
		parts = nil // they haven't crashed the endpoint
	}
	switch {
	case expected:
	case cut:
		c.recordCut(now, ep, ending{
			at:       now,
			parts:    parts,
			suspects: suspects,
			broken:   true,
		})
	case result.Reason == ReasonAddressReused:
		c.recordReplaced(now, run)
	case len(parts) == 0:
	case result.Reason == ReasonDial:
		if len(c.crashes.endings[run]) > 0 {
			c.probeEngine(now, run, ep)
		}
	case result.silent() || result.Reason == ReasonClientGone && result.Outcome != OutcomeNotRun && call.plain:
		c.crashes.addEnding(run, ending{
			at:    now,
			parts: parts,
		})
	}
}

// silent reports whether an endpoint that may have got the request hasn't answered in time,
// as one whose host is lost. It is probed once a connection to it fails, and at once if
// one just has or if the request was on trial.
func (r Result) silent() bool { return r.Reason == ReasonTimeout && r.Outcome != OutcomeNotRun }

// complete reports whether an attempt has ended with a complete response: an answer or, from
// a plain endpoint, a failure.
func (r Result) complete(plain bool) bool {
	return r.Outcome == OutcomeComplete || r.Outcome == OutcomeFailed && plain
}

// recordReplaced records that another endpoint answers at the address of a run, which has
// therefore ended. A probe would find the other one.
func (c *Core) recordReplaced(now time.Time, run poison.Run) {
	endings := c.crashes.endings[run]
	if len(endings) == 0 {
		return
	}
	delete(c.crashes.endings, run)
	c.addCrash(now, poison.Crash{
		Run:     run,
		At:      endings[0].at,
		Parts:   partsOf(endings),
		EndedAt: now,
	})
}

// recordCut records an answer that was cut off, and probes its endpoint unless its run is
// known to be over.
func (c *Core) recordCut(now time.Time, ep *endpoint, cut ending) {
	run := runOf(ep.Endpoint)
	if c.hasEnded(now, ep) {
		c.addCrash(now, poison.Crash{
			Run:   run,
			At:    now,
			Parts: cut.parts,
		})
		return
	}
	c.crashes.addEnding(run, cut)
	c.probeEngine(now, run, ep)
}

// partsOf returns the parts of the requests whose answers have ended.
func partsOf(endings []ending) []poison.Part {
	var out []poison.Part
	for _, e := range endings {
		out = append(out, e.parts...)
	}
	return out
}

// joinProvedEnds adds what this entry has seen end with a run to the crash of which
// another entry has proved that the run is over: this one may have no reason left to
// connect to the endpoint, and so to find it out.
func (c *Core) joinProvedEnds(now time.Time) {
	for _, run := range slices.SortedFunc(maps.Keys(c.crashes.endings), compareRuns) {
		endedAt, proved := c.crashes.log.EndTime(run)
		if !proved {
			continue
		}
		joined := c.crashes.takeEndings(run, func(e *ending) bool { return endedAt.Sub(e.at).Abs() <= e.memory() })
		if len(joined) == 0 {
			continue
		}
		c.addCrash(now, poison.Crash{
			Run:   run,
			At:    joined[0].at,
			Parts: partsOf(joined),
		})
	}
}

func compareRuns(a, b poison.Run) int {
	return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
}

// addCrash records the end of an endpoint, and tells the others of what it shows already.
func (c *Core) addCrash(now time.Time, crash poison.Crash) {
	c.tellCrash(now, c.withhold(now, crash))
}

func (c *Core) tellCrash(now time.Time, crash poison.Crash) {
	before := c.crashes.log.Revision()
	c.crashes.log.AddCrash(now, crash)
	if c.crashes.log.Revision() == before {
		return
	}
	c.spreadPoison(now)
	if len(crash.Parts) > 0 {
		c.crashRecords.due = true
		c.recordNewCrashes(now)
	}
}

// endedRecordLifetime is how long the record of an endpoint whose run is over may stay in
// the registry.
const endedRecordLifetime = 5 * time.Second

// hasEnded reports whether an endpoint's run was proved to be over though it is still
// registered.
func (c *Core) hasEnded(now time.Time, ep *endpoint) bool {
	at, known := c.crashes.log.EndTime(runOf(ep.Endpoint))
	return known && now.Sub(at) < endedRecordLifetime
}

// takesRequests reports whether an endpoint takes requests as far as is known.
func (c *Core) takesRequests(now time.Time, ep *endpoint) bool {
	return !ep.Draining && !c.hasEnded(now, ep)
}
