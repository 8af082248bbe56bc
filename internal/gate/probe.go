package gate

import (
	"slices"
	"time"

	"dogwoodfold/internal/poison"
)

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

// probeRemoved probes an endpoint that is removed without having announced it, if it may have
// ended with requests of this entry: nobody connects to it any more.
func (c *Core) probeRemoved(now time.Time, ep *endpoint) {
	run := runOf(ep.Endpoint)
	if !ep.Draining && len(c.crashes.endings[run]) > 0 {
		c.probeEngine(now, run, ep)
	}
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
	c.recordProbedCold(now, e)
	if e.Running {
		if e.AnyRun {
			c.crashes.markProbed(e.Run)
		} else {
			c.settleAnswers(now, e.Run, probedAt)
		}
		c.keepAfterProbe(now, e.Run, probedAt)
		return
	}
	endings := c.crashes.takeEndings(e.Run, func(ended *ending) bool { return ended.joins(e.Ended) })
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

// keepAfterProbe keeps the endings that came after a probe that found the endpoint
// running, and the responses that it doesn't prove yet. It probes the endpoint again if one of
// them was cut off.
func (c *Core) keepAfterProbe(now time.Time, run poison.Run, probedAt time.Time) {
	for _, ended := range c.crashes.takeEndings(run, func(e *ending) bool { return !e.complete && !e.at.After(probedAt) }) {
		c.endTrial(now, ended.suspects)
	}
	later := c.crashes.endings[run]
	ep := c.endpoints[run.Engine]
	if ep != nil && slices.ContainsFunc(later, func(e ending) bool { return e.broken }) {
		c.probeEngine(now, run, ep)
	}
}
