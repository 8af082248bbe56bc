package gate

import (
	"fmt"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/pkg/fault"
)

// simStream is a stream that a client asks for.
type simStream struct {
	sim      *fleetSim
	route    *simRoute
	model    string
	parts    []poison.Part
	deadline time.Time
	// id is that of the request that brought the first event, version the one of the
	// engine that wrote it. events are those that the client has.
	id      string
	version string
	events  int
	// mixed is true once an event came from another version.
	mixed bool
	// retried is true once the client has tried again after a refusal or failure,
	// resumed once it has taken up the stream.
	retried bool
	resumed bool
	// counted is true while the present phase, the stream's beginning or its
	// resumption, counts for the result.
	counted bool
	// broke says what broke the stream, note what was so when the client took it up.
	broke string
	note  string
}

// simAttempt is one request of a client.
type simAttempt struct {
	stream *simStream
	entry  *simEntry
	call   CallID
	id     string
	// run is the run at an engine, nil while there is none.
	run *simRun
	// brought is true once the request has brought an event.
	brought bool
	ended   bool
	// progress counts what keeps the client from abandoning the request.
	progress int
}

// simResult counts what clients see.
type simResult struct {
	begun, asked    int
	wentOn, resumed int
	// begunAt and askedAt are the numbers of new streams by their route.
	begunAt, askedAt map[string]int
	// wentOnAfter and resumedAfter are those numbers by what broke the stream.
	wentOnAfter, resumedAfter map[string]int
	// uncounted are resumptions that the rule doesn't count.
	uncounted int
	mixed     int
	overloads int
	// causes counts the resumptions that didn't go on, by what the client saw last.
	causes map[string]int
}

// drawEntry returns an entry that takes clients, nil if there is none.
func (s *fleetSim) drawEntry() *simEntry {
	up := slices.Clone(s.entries)
	up = slices.DeleteFunc(up, func(e *simEntry) bool { return e.core == nil || !e.core.ready(s.now.Add(-s.site.readinessDelay)) })
	if len(up) == 0 {
		return nil
	}
	return up[s.random.IntN(len(up))]
}

// beginStream makes a client ask for a stream.
func (s *fleetSim) beginStream(route *simRoute, model string) {
	stream := &simStream{
		sim:      s,
		route:    route,
		model:    model,
		parts:    s.drawParts(route),
		deadline: s.now.Add(route.timeout),
	}
	entry := s.drawEntry()
	if entry == nil {
		return
	}
	stream.counted = entry.inTouch()
	stream.request(entry)
}

// request sends a request for the stream, or for what the client lacks of it.
func (st *simStream) request(entry *simEntry) {
	s := st.sim
	s.requests++
	a := &simAttempt{
		stream: st,
		entry:  entry,
		call:   CallID(s.requests),
		id:     fmt.Sprint("r-", s.requests),
	}
	entry.attempts[a.call] = a
	a.watch()
	request := &Request{
		ID:            a.id,
		Host:          "h",
		Path:          "/" + st.route.name + "/1",
		Model:         st.model,
		PromptTokens:  st.route.promptTokens,
		SharedParts:   st.parts,
		ClientTimeout: st.deadline.Sub(s.now),
		ArrivedAt:     s.now,
	}
	if st.events > 0 {
		request.LastEventID, request.ResumedRequest = fmt.Sprint(st.events), st.id
	}
	entry.apply(RequestArrived{Call: a.call, Request: request})
}

// watch makes the client abandon the request if nothing comes for as long as it
// is patient.
func (a *simAttempt) watch() {
	a.progress++
	progress := a.progress
	a.stream.sim.after(a.stream.route.patience(), func() {
		if a.ended || a.progress != progress || a.run != nil && !a.run.firstAt.IsZero() {
			return
		}
		a.abandon()
	})
}

// abandon closes the client's connection.
func (a *simAttempt) abandon() {
	cause := "abandoned while it waited at the entry"
	if a.run != nil {
		cause = "abandoned at an engine"
		a.run.stop()
		a.entry.post(a.entry.sim.delay(), AttemptEnded{
			Call:   a.call,
			Result: Result{Outcome: OutcomeMayHaveRun, Reason: ReasonClientGone},
		})
	} else {
		a.entry.post(a.entry.sim.delay(), ClientDisconnected{Call: a.call})
	}
	a.finish()
	a.stream.fail(cause)
}

// finish ends the request for the client.
func (a *simAttempt) finish() {
	a.ended = true
	delete(a.entry.attempts, a.call)
}

// send carries a request from its entry to an engine.
func (a *simAttempt) send(send Send) {
	if a == nil || a.ended {
		return
	}
	s := a.stream.sim
	a.entry.whileRunning(s.delay(), func() {
		if a.ended {
			return
		}
		if s.linkCut(a.entry, send.Endpoint) {
			// The dial times out.
			a.entry.post(400*time.Millisecond, AttemptEnded{Call: a.call, Result: Result{Outcome: OutcomeNotRun, Reason: ReasonDial}})
			return
		}
		engine := s.engine(send.Endpoint)
		if engine == nil {
			a.runEnded(s.unreachable(send.Address))
			return
		}
		run := &simRun{
			engine:  engine,
			attempt: a,
			model:   a.stream.model,
			events:  a.stream.events,
		}
		refusal, accepted := engine.accept(run)
		if !accepted {
			a.runEnded(refusal)
			return
		}
		a.run = run
	})
}

// runEnded tells the entry how an attempt at an engine ended.
func (a *simAttempt) runEnded(result Result) {
	a.run = nil
	if result.Outcome != OutcomeNotRun {
		a.watch()
	}
	a.entry.post(a.stream.sim.delay(), AttemptEnded{Call: a.call, Result: result})
}

// firstEvent delivers the first event of a run.
func (a *simAttempt) firstEvent(run *simRun) {
	st := a.stream
	a.progress++
	a.brought = true
	a.entry.post(st.sim.delay(), FirstByteReceived{Call: a.call})
	switch {
	case st.events == 0:
		st.id, st.version = a.id, run.engine.version
		if st.counted {
			st.sim.result.asked++
			st.sim.result.askedAt[st.route.name]++
			st.sim.result.begun++
			st.sim.result.begunAt[st.route.name]++
		}
		st.counted = false
		st.events = 1
	case run.engine.version != st.version && !st.mixed:
		st.mixed = true
		st.sim.result.mixed++
	}
	if st.resumed {
		if st.counted {
			st.sim.result.resumed++
			st.sim.result.resumedAfter[st.broke]++
			st.sim.result.wentOn++
			st.sim.result.wentOnAfter[st.broke]++
		}
		st.counted = false
	}
}

// complete ends a request whose stream has reached the client.
func (a *simAttempt) complete() {
	a.run = nil
	a.entry.post(a.stream.sim.delay(), AttemptEnded{Call: a.call, Result: Result{Outcome: OutcomeComplete}})
	a.finish()
}

// loseEntry ends a request whose entry has died.
func (a *simAttempt) loseEntry() {
	if a.run != nil {
		a.run.stop()
	}
	a.stream.counted = false // the entry isn't in touch
	a.finish()
	a.stream.broken("entry ended")
}

// cut ends a request whose entry has broken off its answer.
func (a *simAttempt) cut(why string) {
	if a == nil || a.ended {
		return
	}
	a.finish()
	a.stream.broken(why)
}

// refused ends a request that its entry has answered with an error.
func (a *simAttempt) refused(err error) {
	if a == nil || a.ended {
		return
	}
	a.finish()
	st := a.stream
	now := st.sim.now
	cause := fmt.Sprintf("refused: %v", err)
	if core := a.entry.core; core.crashes.log.Judge(now, st.parts).Verdict != poison.Clear {
		cause += " (suspect prompt)"
	}
	if st.retried {
		st.fail(cause)
		return
	}
	wait := min(fault.RetryAfterOf(err), st.deadline.Sub(now)/3)
	st.retried = true
	st.again(max(wait, 20*time.Millisecond), cause)
}

// again makes the client send another request after a time, on a new connection.
func (st *simStream) again(wait time.Duration, cause string) {
	s := st.sim
	s.after(wait+s.delay(), func() {
		entry := s.drawEntry()
		if entry == nil {
			st.fail(cause)
			return
		}
		st.request(entry)
	})
}

// broken handles a connection that has broken: the client asks again if it has no
// event yet, and resumes the stream once otherwise.
func (st *simStream) broken(why string) {
	s := st.sim
	switch {
	case st.events == 0 && !st.retried:
		st.retried = true
		st.again(20*time.Millisecond, why)
		return
	case st.events == 0 || st.resumed || st.events >= st.route.events || !st.route.resumable:
		st.fail("broken again: " + why)
		return
	}
	st.resumed, st.retried, st.broke = true, false, why
	s.after(s.between(5*time.Millisecond, 150*time.Millisecond), st.resume)
}

// resume resumes the stream.
func (st *simStream) resume() {
	s := st.sim
	entry := s.drawEntry()
	if entry == nil {
		return
	}
	serving := s.serving(st.version)
	st.counted = entry.inTouch() && len(serving) >= 2
	if !st.counted {
		s.result.uncounted++
	}
	st.note = fmt.Sprintf("%s, model %s at its version", st.broke, availability(serving, st.model))
	if s.leader() == nil {
		st.note += ", no leader"
	}
	st.request(entry)
}

// availability says how soon engines can serve a model.
func availability(engines []*simEngine, model string) string {
	out := "absent"
	for _, e := range engines {
		switch {
		case e.models[model] && e.unloading != model:
			return "held"
		case e.loading == model:
			out = "loading"
		case out == "absent" && slices.Contains(e.onDisk, model):
			out = "on disk"
		}
	}
	return out
}

// fail ends the stream for the client.
func (st *simStream) fail(cause string) {
	if !st.counted {
		return
	}
	st.counted = false
	if !st.resumed {
		st.sim.result.asked++
		st.sim.result.askedAt[st.route.name]++
		return
	}
	st.sim.result.resumed++
	st.sim.result.resumedAfter[st.broke]++
	st.sim.result.causes[cause+" ["+st.note+"]"]++
}
