package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// spreadPoison tells the other entries soon what this one has learned. The leader
// collects the reports of one crash before it tells all of them.
func (c *Core) spreadPoison(now time.Time) {
	c.crashes.log.Assess(now)
	if c.isLeader(now) {
		c.leader.spreadSoon = true
		return
	}
	c.sendReport(now)
	c.relayPoison(now)
}

// logQuarantines logs the suspicions and quarantines that began or were lifted since the last
// call.
func (c *Core) logQuarantines(now time.Time) {
	revision := c.crashes.log.Revision()
	if revision == c.crashes.loggedRevision {
		return
	}
	c.crashes.loggedRevision = revision
	c.logSuspects()
	current := make(map[poison.Part]time.Time)
	for _, q := range c.crashes.log.Quarantines() {
		current[q.Part] = q.Until
		if until, known := c.crashes.logged[q.Part]; !known || q.Until.After(until) {
			c.logChange("part under quarantine", q.Part.String(), q.Until.Sub(now).Round(time.Second).String(), 0)
		}
	}
	for part := range c.crashes.logged {
		if _, still := current[part]; !still {
			c.logChange("quarantine lifted", part.String(), "", 0)
		}
	}
	c.crashes.logged = current
}

// logSuspects logs the suspicions that began or were lifted, and what they rest on.
func (c *Core) logSuspects() {
	suspects := c.crashes.log.Suspects()
	for p := range suspects {
		if !c.crashes.loggedSuspects[p] {
			c.logChange("part under suspicion", p.String(), c.crashes.log.BasisOf(p).String(), 0)
		}
	}
	for p := range c.crashes.loggedSuspects {
		if !suspects[p] {
			c.logChange("suspicion lifted", p.String(), "", 0)
		}
	}
	c.crashes.loggedSuspects = maps.Clone(suspects)
}

// parts returns what may make a call crash its endpoint: its fingerprint and, if it needs
// an engine, the parts of its prompt that others may share.
func (ac *activeCall) parts() []poison.Part {
	return append(ac.promptParts(), ac.ownPart()...)
}

// promptParts returns the parts of the prompt of a call that needs an engine.
func (ac *activeCall) promptParts() []poison.Part {
	if ac.plain {
		return nil
	}
	return slices.Clip(ac.request.SharedParts)
}

// ownPart returns the part of a call that only identical ones have, if it is known.
func (ac *activeCall) ownPart() []poison.Part {
	if ac.fingerprint == 0 {
		return nil
	}
	return []poison.Part{ac.fingerprint}
}

// suspects returns the parts of a call that may crash endpoints.
func (c *Core) suspects(now time.Time, call *activeCall) []poison.Part {
	return c.crashes.log.Judge(now, call.parts()).Suspects
}

// checkQuarantine refuses a call that crashes endpoints. One that may crash engines needs
// the leader, which sends one such request at a time, or the crash relay. It reports whether
// the call can proceed.
func (c *Core) checkQuarantine(now time.Time, call *activeCall, service *topo.Service) bool {
	judgment := c.crashes.log.Judge(now, call.parts())
	switch {
	case judgment.Verdict == poison.Quarantined:
		c.refuse(now, call, fault.NotRun, fault.CodeQuarantine, "the request or a part of its prompt crashes endpoints",
			judgment.Until.Sub(now))
		return false
	case judgment.Verdict == poison.Trial && !call.mayBeConfined(judgment) && !c.mayAskForTrial(now, call, service):
		c.refuse(now, call, fault.NotRun, fault.CodeQuarantine, "a part of the prompt may crash engines", c.jitter(trialRetryAfter))
		return false
	}
	return true
}

// mayAskForTrial reports whether a suspect call can wait for a trial. One to a plain endpoint
// is refused only if it finds nobody to ask.
func (c *Core) mayAskForTrial(now time.Time, call *activeCall, service *topo.Service) bool {
	return call.plain || c.shouldRequestAssignment(now, call, service) || c.crashRelayAnswers(now)
}

// mayRepeatPrompt reports whether a call may be sent again after an attempt that didn't
// succeed.
func (c *Core) mayRepeatPrompt(now time.Time, call *activeCall) bool {
	return c.crashes.log.Judge(now, call.parts()).Verdict == poison.Clear
}

// assignmentStands reports whether the leader knew of all suspect parts when it
// assigned a call.
func (c *Core) assignmentStands(now time.Time, call *activeCall) bool {
	judgment := c.crashes.log.Judge(now, call.parts())
	if judgment.Verdict == poison.Quarantined {
		return false
	}
	for _, p := range judgment.Suspects {
		if !slices.Contains(call.assignment.suspects, p) {
			return false
		}
	}
	return true
}
