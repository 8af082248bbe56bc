package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

const (
	// endingMemory is how long an answer that was cut off may turn out to be one of
	// an engine that has crashed.
	endingMemory = 3 * time.Second
	// provingFailures is the number of endpoints that must have failed a suspect request,
	// with no crash since the first of them, before it counts as answered: one endpoint
	// may fail requests before they run.
	provingFailures = 2
)

// crashWatch holds what an entry knows of crashes of endpoints.
type crashWatch struct {
	log *poison.Log
	// endings are answers that ended as if their endpoint had crashed, by endpoint.
	endings map[poison.Run][]ending
	// probes are the endpoints that are being probed, and since when.
	probes map[poison.Run]time.Time
	// trials are requests with suspect parts that this entry has let through to see whether
	// they crash an endpoint, by part.
	trials map[poison.Part]trial
	// endedTrials are the suspect parts of requests that ended without showing
	// anything, of which the entry that grants trials must be told.
	endedTrials []poison.Part
	// failures are those of suspect requests to plain endpoints, by fingerprint.
	failures map[poison.Part]*failureRecord
	// logged are the quarantines that were logged, with their ends.
	logged         map[poison.Part]time.Time
	loggedRevision uint64
}

// ending is the end of an answer without proof that the endpoint goes on running.
type ending struct {
	at    time.Time
	parts []poison.Part
	// fingerprint is that of a request to a plain endpoint whose answer was complete,
	// if the endpoint goes on running.
	fingerprint poison.Part
	// failed is true if that answer was a failure.
	failed bool
	// suspects are the parts for which the request was on trial.
	suspects []poison.Part
	// broken is true if the endpoint is to be probed, as after an answer that was cut off,
	// false if it ended with its connection or without any event, as a complete one may,
	// or if its client or its deadline ended it.
	broken bool
}

// failureRecord holds the endpoints that have failed a suspect request and not crashed.
type failureRecord struct {
	since time.Time
	runs  map[poison.Run]bool
}

func newCrashWatch() crashWatch {
	return crashWatch{
		log:      poison.NewLog(),
		endings:  make(map[poison.Run][]ending),
		probes:   make(map[poison.Run]time.Time),
		trials:   make(map[poison.Part]trial),
		failures: make(map[poison.Part]*failureRecord),
	}
}

// prune forgets endings that are too old to be those of a crash, and failures of requests
// that are no longer suspect.
func (w *crashWatch) prune(now time.Time) {
	for run, endings := range w.endings {
		if _, probing := w.probes[run]; !probing {
			w.keepEndings(run, slices.DeleteFunc(endings, func(e ending) bool { return w.expire(now, run, e) }))
		}
	}
	maps.DeleteFunc(w.failures, func(p poison.Part, _ *failureRecord) bool { return !w.isSuspect(now, p) })
}

func (w *crashWatch) isSuspect(now time.Time, p poison.Part) bool {
	return w.log.Judge(now, []poison.Part{p}).Verdict != poison.Clear
}

// addFailure records that an endpoint has failed a request to it and goes on running. It
// reports whether that proves, with earlier failures, that the request is sound.
func (w *crashWatch) addFailure(now time.Time, run poison.Run, fingerprint poison.Part) (proves bool) {
	if !w.isSuspect(now, fingerprint) {
		return false
	}
	record := w.failures[fingerprint]
	if record == nil || w.log.ResolvedSince(fingerprint, record.since) {
		record = &failureRecord{
			since: now,
			runs:  make(map[poison.Run]bool),
		}
		w.failures[fingerprint] = record
	}
	record.runs[run] = true
	if len(record.runs) < provingFailures {
		return false
	}
	delete(w.failures, fingerprint)
	w.log.AddAnswer(now, []poison.Part{fingerprint})
	return true
}

// expire reports whether an ending is too old to be that of a crash. An answer that was
// complete if its endpoint goes on running then counts as one.
func (w *crashWatch) expire(now time.Time, run poison.Run, e ending) bool {
	if now.Sub(e.at) <= endingMemory {
		return false
	}
	switch {
	case e.fingerprint == 0:
	case e.failed:
		w.addFailure(now, run, e.fingerprint)
	default:
		w.log.AddAnswer(now, []poison.Part{e.fingerprint})
	}
	return true
}

func (w *crashWatch) addEnding(run poison.Run, e ending) { w.endings[run] = append(w.endings[run], e) }

func (w *crashWatch) keepEndings(run poison.Run, endings []ending) {
	if len(endings) == 0 {
		delete(w.endings, run)
		return
	}
	w.endings[run] = endings
}

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

func (c *Core) probeEngine(now time.Time, run poison.Run, ep *endpoint) {
	if _, probing := c.crashes.probes[run]; probing {
		return
	}
	c.crashes.probes[run] = now
	probe := ProbeEngine{
		Run:     run,
		Address: ep.Address,
	}
	if c.engineSpec(ep) == nil {
		probe.Plain = true
		probe.HealthPath = c.healthPath(ep.Service)
	}
	c.emit(probe)
}

func (c *Core) healthPath(service string) string {
	if c.config == nil || c.config.Services[service] == nil {
		return ""
	}
	return c.config.Services[service].HealthPath
}

// handleEngineProbed handles the result of a probe. If the endpoint has crashed, the
// parts of all answers that ended with it are recorded.
func (c *Core) handleEngineProbed(now time.Time, e EngineProbed) {
	probedAt := c.crashes.probes[e.Run]
	delete(c.crashes.probes, e.Run)
	endings := c.crashes.endings[e.Run]
	if e.Running {
		c.keepAfterProbe(now, e.Run, probedAt)
		return
	}
	delete(c.crashes.endings, e.Run)
	crash := poison.Crash{
		Run:   e.Run,
		At:    probedAt,
		Parts: partsOf(endings),
	}
	if e.Ended {
		crash.EndedAt = now
	}
	c.logChange("endpoint crashed", e.Run.Engine, "", now.Sub(probedAt))
	c.addCrash(now, crash)
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

// keepAfterProbe keeps the endings that came after a probe that found the engine
// running, and probes it again if one of them was cut off.
func (c *Core) keepAfterProbe(now time.Time, run poison.Run, probedAt time.Time) {
	var later []ending
	for _, ended := range c.crashes.endings[run] {
		if ended.at.After(probedAt) {
			later = append(later, ended)
			continue
		}
		c.endTrial(now, ended.suspects)
	}
	c.crashes.keepEndings(run, later)
	ep := c.endpoints[run.Engine]
	if ep != nil && slices.ContainsFunc(later, func(e ending) bool { return e.broken }) {
		c.probeEngine(now, run, ep)
	}
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
