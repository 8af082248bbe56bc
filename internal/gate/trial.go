package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// trialTime is how long a request with a suspect part keeps others with that
	// part waiting if its outcome isn't reported.
	trialTime = 5 * time.Second
	// trialRetryAfter is the retry delay while another request is on trial.
	trialRetryAfter = 1500 * time.Millisecond
)

// trial is a request that was sent to find out whether one of its parts crashes
// engines.
type trial struct {
	since time.Time
}

// trialWait returns how long a request must wait, at the entry that grants trials, until no other one
// with its suspect parts or their rivals is on trial, or until their quarantine ends. One that is
// confined to an endpoint needs no trial.
func (c *Core) trialWait(now time.Time, req *wirepb.GateAssignmentAsk) time.Duration {
	parts := poison.DecodeParts(req.GetSuspects())
	judgment := c.crashes.log.Judge(now, parts)
	if judgment.Verdict == poison.Quarantined {
		return judgment.Until.Sub(now)
	}
	if judgment.Confined {
		return 0
	}
	for _, p := range parts {
		rivals := c.crashes.log.Rivals(p)
		if c.onTrial(now, p) || slices.ContainsFunc(rivals, func(rival poison.Part) bool { return c.onTrial(now, rival) }) {
			return trialRetryAfter
		}
	}
	return 0
}

// onTrial reports whether a request with a part is on trial.
func (c *Core) onTrial(now time.Time, p poison.Part) bool {
	t, onTrial := c.crashes.trials[p]
	return onTrial && now.Sub(t.since) < trialTime && !c.crashes.log.ResolvedSince(p, t.since)
}

// endTrials forgets the trials of parts.
func (w *crashWatch) endTrials(parts []poison.Part) {
	for _, p := range parts {
		delete(w.trials, p)
	}
}

// endTrial tells the entry that grants trials that a request with suspect parts has ended.
// If its engine has crashed, or the prompt was answered, that is known already.
func (c *Core) endTrial(now time.Time, suspects []poison.Part) {
	if len(suspects) == 0 {
		return
	}
	c.crashes.endTrials(suspects)
	if c.leader != nil || c.isCrashRelay(now) {
		return
	}
	c.crashes.endedTrials = append(c.crashes.endedTrials, suspects...)
	c.sendReport(now)
}

// startTrials records that a request with suspect parts is being sent, unless it is confined to an
// endpoint.
func (c *Core) startTrials(now time.Time, req *wirepb.GateAssignmentAsk) {
	maps.DeleteFunc(c.crashes.trials, func(_ poison.Part, t trial) bool { return now.Sub(t.since) >= trialTime })
	if c.confinedPart(now, req) != 0 {
		return
	}
	for _, p := range poison.DecodeParts(req.GetSuspects()) {
		c.crashes.trials[p] = trial{since: now}
	}
}

const (
	// trialRequestInterval is the time between two questions whether a call to a plain
	// endpoint may be tried.
	trialRequestInterval = 20 * time.Millisecond
	// plainTrialRetryAfter is the retry delay while another such call is on trial.
	plainTrialRetryAfter = 500 * time.Millisecond
)

// checkTrial lets a call for which the leader assigns no engine proceed unless it may crash
// endpoints. Such a call needs the leader, or the crash relay without one, which grants one at a
// time; until then it waits, as for a full endpoint. checkTrial reports whether the call
// can proceed.
func (c *Core) checkTrial(now time.Time, call *activeCall) bool {
	suspects := c.suspects(now, call)
	if len(suspects) == 0 || containsParts(call.trial, suspects) {
		return true
	}
	switch {
	case call.assignment.stage == stageLocal || !c.leaderAnswers(now) && !c.crashRelayAnswers(now):
		c.refuseTrial(now, call, c.jitter(trialRetryAfter))
	case now.Before(call.trialRequestAt):
		c.waitForTrial(now, call)
	default:
		c.requestTrial(now, call, suspects)
	}
	return false
}

func containsParts(parts, wanted []poison.Part) bool {
	return !slices.ContainsFunc(wanted, func(p poison.Part) bool { return !slices.Contains(parts, p) })
}

// requestTrial asks the leader, or the crash relay, whether a call may be tried, directly if it is
// this entry. The question names no service if that one has engines.
func (c *Core) requestTrial(now time.Time, call *activeCall, suspects []poison.Part) {
	req := &wirepb.GateAssignmentAsk{
		Call:     uint64(call.id),
		Suspects: poison.EncodeParts(suspects),
	}
	if call.plain {
		req.Service = call.service
	}
	call.trialRequestAt = now.Add(trialRequestInterval)
	call.assignment = assignment{
		stage:     stageRequested,
		resumeAt:  now.Add(leaderReplyTimeout),
		suspects:  suspects,
		onlyTrial: true,
	}
	if c.isLeader(now) || c.isCrashRelay(now) {
		c.applyTrial(now, call, c.grantTrial(now, req))
		return
	}
	c.assignments.pending[call.id] = call
	c.emit(RequestAssignment{Request: req})
}

// grantTrial answers the question whether a call may be tried.
func (c *Core) grantTrial(now time.Time, req *wirepb.GateAssignmentAsk) *wirepb.GateAssignment {
	reply := &wirepb.GateAssignment{Call: req.GetCall()}
	if wait := c.trialWait(now, req); wait > 0 {
		reply.Verdict = wirepb.GateAssignment_BUSY
		reply.AfterUs = uint64(wait.Microseconds())
		return reply
	}
	c.startTrials(now, req)
	reply.Verdict = wirepb.GateAssignment_SEND
	return reply
}

// applyTrial carries out the leader's answer on the trial of a call.
func (c *Core) applyTrial(now time.Time, call *activeCall, reply *wirepb.GateAssignment) {
	suspects := call.assignment.suspects
	call.assignment = assignment{}
	delete(c.assignments.pending, call.id)
	wait := wirepb.Microseconds(reply.GetAfterUs())
	switch {
	case reply.GetVerdict() == wirepb.GateAssignment_SEND:
		call.trial = suspects
		c.dispatch(now, call)
	case reply.GetVerdict() == wirepb.GateAssignment_BUSY && wait <= trialRetryAfter:
		c.waitForTrial(now, call)
	case reply.GetVerdict() == wirepb.GateAssignment_BUSY: // the leader knows of a quarantine
		c.refuseTrial(now, call, wait)
	default: // the leader can't grant trials
		c.refuseTrial(now, call, c.jitter(trialRetryAfter))
	}
}

// waitForTrial parks a call until another one with the same content has ended.
func (c *Core) waitForTrial(now time.Time, call *activeCall) {
	until := c.parkDeadline(call)
	if !now.Before(until) {
		c.refuseTrial(now, call, c.jitter(plainTrialRetryAfter))
		return
	}
	c.park(now, call, until)
}

func (c *Core) refuseTrial(now time.Time, call *activeCall, retryAfter time.Duration) {
	c.refuse(now, call, fault.NotRun, fault.CodeQuarantine, "the request may crash endpoints", retryAfter)
}

// releaseTrial ends the trial of a call that isn't sent.
func (c *Core) releaseTrial(now time.Time, call *activeCall) {
	suspects := call.trial
	call.trial = nil
	c.endTrial(now, suspects)
}

// takeTrial returns the parts for which the attempt of a call that has ended was a trial.
// The call needs another one for its next attempt.
func (ac *activeCall) takeTrial() []poison.Part {
	if !ac.plain && len(ac.trial) == 0 {
		return ac.assignment.suspects
	}
	suspects := ac.trial
	ac.trial = nil
	return suspects
}

// isPlain reports whether a service has no engines.
func (c *Core) isPlain(name string) bool {
	if c.config == nil {
		return false
	}
	service := c.config.Services[name]
	return service != nil && service.Engine == nil
}
