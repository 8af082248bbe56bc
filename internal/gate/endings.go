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
	c.recordAnswer(now, call)
}

func (c *Core) recordAnswer(now time.Time, call *activeCall) {
	suspect := len(c.suspects(now, call)) > 0
	c.crashes.log.AddAnswer(now, call.parts())
	if suspect {
		c.spreadPoison(now)
	}
}

// recordFailure records that an endpoint has failed a request to it.
func (c *Core) recordFailure(now time.Time, run poison.Run, fingerprint poison.Part) {
	if c.crashes.addFailure(now, run, fingerprint) {
		c.spreadPoison(now)
	}
}

// recordEnding records what the end of an attempt says about the request. An answer
// that was cut off says nothing until it is known whether its endpoint has crashed.
func (c *Core) recordEnding(now time.Time, call *activeCall, ep *endpoint, result Result) {
	run := runOf(ep.Endpoint)
	suspects := call.takeTrial()
	expected := ep.Draining || c.endpoints[ep.ID] != ep
	cut := result.Reason == ReasonReset || !expected && result.silent() && (len(suspects) > 0 || ep.stats.BackingOff(now))
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
	case result.Outcome == OutcomeComplete || result.Outcome == OutcomeFailed && call.plain:
		c.recordResponse(now, call, run, result)
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

// recordResponse records what a complete response says about the request.
func (c *Core) recordResponse(now time.Time, call *activeCall, run poison.Run, result Result) {
	failed := result.Outcome == OutcomeFailed
	switch {
	case result.CloseDelimited || result.WithoutEvents:
		ended := ending{
			at:    now,
			parts: call.parts(),
		}
		if call.plain {
			ended.fingerprint = call.fingerprint
			ended.failed = failed
		}
		c.crashes.addEnding(run, ended)
	case failed:
		c.recordFailure(now, run, call.fingerprint)
	default:
		c.recordAnswer(now, call)
	}
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
		var joined, others []ending
		for _, e := range c.crashes.endings[run] {
			if endedAt.Sub(e.at).Abs() <= endingMemory {
				joined = append(joined, e)
			} else {
				others = append(others, e)
			}
		}
		if len(joined) == 0 {
			continue
		}
		c.crashes.keepEndings(run, others)
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

func (c *Core) addCrash(now time.Time, crash poison.Crash) {
	before := c.crashes.log.Revision()
	c.crashes.log.AddCrash(now, crash)
	if c.crashes.log.Revision() != before {
		c.spreadPoison(now)
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
