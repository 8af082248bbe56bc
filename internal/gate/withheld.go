package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
)

const (
	// repeatTime is the time after the end of an endpoint in which identical requests must be
	// answered at others to count as proof that the request didn't cause it.
	repeatTime = 500 * time.Millisecond
	// signOfLifeTime is the time in which a probe shows that an endpoint goes on running.
	signOfLifeTime = 500 * time.Millisecond
)

// withheldPart is the part of a request that an endpoint had as it ended while identical
// requests were at others. Nothing is concluded from it until it is known whether those
// endpoints go on running.
type withheldPart struct {
	part    poison.Part
	run     poison.Run
	endedAt time.Time
	since   time.Time
}

// withhold returns a crash without the fingerprints that were answered before and are at other
// endpoints as well, and keeps these until they are resolved.
func (c *Core) withhold(now time.Time, crash poison.Crash) poison.Crash {
	elsewhere := c.fingerprintsElsewhere(crash.Run)
	var told []poison.Part
	for _, p := range crash.Parts {
		if !elsewhere[p] || !c.crashes.log.AnsweredSince(p, time.Time{}) {
			told = append(told, p)
			continue
		}
		c.crashes.withheld = append(c.crashes.withheld, withheldPart{
			part:    p,
			run:     crash.Run,
			endedAt: crash.At,
			since:   now,
		})
	}
	crash.Parts = told
	return crash
}

// fingerprintsElsewhere returns the fingerprints of requests that endpoints other than that of
// a run have, or have just answered.
func (c *Core) fingerprintsElsewhere(run poison.Run) map[poison.Part]bool {
	out := make(map[poison.Part]bool)
	for _, call := range c.calls {
		if call.endpoint == nil || call.fingerprint == 0 {
			continue
		}
		if other := runOf(call.endpoint.Endpoint); other != run && c.goesOn(other) {
			out[call.fingerprint] = true
		}
	}
	for other, endings := range c.crashes.endings {
		if other == run || !c.goesOn(other) {
			continue
		}
		for _, e := range endings {
			for _, p := range e.proves {
				out[p] = true
			}
		}
	}
	return out
}

// goesOn reports whether an endpoint's run isn't known to be over.
func (c *Core) goesOn(run poison.Run) bool {
	ep := c.endpoints[run.Engine]
	return ep != nil && runOf(ep.Endpoint) == run && !c.crashes.log.CrashedSince(run, time.Time{})
}

// resolveWithheld drops the withheld parts that were answered since by endpoints that have
// gone on running, and tells of those for which no such proof can come any more.
func (c *Core) resolveWithheld(now time.Time) {
	var kept []withheldPart
	told := make(map[poison.Run]poison.Crash)
	for _, w := range c.crashes.withheld {
		switch {
		case c.crashes.log.AnsweredSince(w.part, w.endedAt):
		case now.Sub(w.since) < repeatTime || c.awaitsAnswer(now, w):
			kept = append(kept, w)
		default:
			told[w.run] = poison.Crash{
				Run:   w.run,
				At:    w.endedAt,
				Parts: append(told[w.run].Parts, w.part),
			}
		}
	}
	c.crashes.withheld = kept
	for _, run := range slices.SortedFunc(maps.Keys(told), compareRuns) {
		c.logChange("requests count for the end of an endpoint", run.Engine, "no answer elsewhere followed", now.Sub(told[run].At))
		c.tellCrash(now, told[run])
	}
}

// awaitsAnswer reports whether an endpoint may still prove that a withheld part is sound, by
// going on running after an answer that followed the end soon.
func (c *Core) awaitsAnswer(now time.Time, w withheldPart) bool {
	for run, endings := range c.crashes.endings {
		if c.goesOn(run) && slices.ContainsFunc(endings, func(e ending) bool { return e.mayProve(now, w) }) {
			return true
		}
	}
	return false
}

// mayProve reports whether a response will prove that a withheld part is sound if its endpoint
// goes on running.
func (e *ending) mayProve(now time.Time, w withheldPart) bool {
	followsSoon := e.at.After(w.endedAt) && e.at.Sub(w.endedAt) <= repeatTime
	return followsSoon && now.Sub(e.at) < answerSettleTime+signOfLifeTime && slices.Contains(e.proves, w.part)
}

// isWithheld reports whether a part is withheld.
func (w *crashWatch) isWithheld(p poison.Part) bool {
	return slices.ContainsFunc(w.withheld, func(x withheldPart) bool { return x.part == p })
}
