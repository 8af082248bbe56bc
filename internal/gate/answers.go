package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
)

// answerSettleTime is how long an endpoint must go on running after a complete response before
// that proves that the request doesn't crash it.
const answerSettleTime = time.Second

// answerMemory is how long a whole response without a later sign of life of its endpoint may
// turn out to be one before the endpoint's end: longer than the registry keeps the record of
// an endpoint that has ended.
const answerMemory = 6 * time.Second

// recordResponse keeps what a complete response says about the request until its endpoint has
// gone on running, or has ended. Parts of prompts are proved sound at once: most requests
// share them, so that a later proof would leave them suspect for as long as engines end.
func (c *Core) recordResponse(now time.Time, call *activeCall, run poison.Run, result Result, suspects []poison.Part) {
	response := ending{
		at:       now,
		parts:    call.parts(),
		suspects: suspects,
		complete: true,
		whole:    !result.CloseDelimited && !result.WithoutEvents,
		failed:   result.Outcome == OutcomeFailed,
	}
	if response.whole {
		c.recordAnswer(now, now, call.promptParts())
		response.parts = call.ownPart()
	}
	if response.whole || call.plain {
		response.proves = call.ownPart()
	}
	if len(response.parts) == 0 {
		c.endTrial(now, suspects)
		return
	}
	c.crashes.addEnding(run, response)
}

// settledBy reports whether a sign of life of the endpoint at the given time shows that a
// complete response didn't crash it.
func (e *ending) settledBy(aliveAt time.Time) bool {
	return e.complete && aliveAt.Sub(e.at) >= answerSettleTime
}

// memory returns how long the end of an attempt may turn out to be one of an endpoint that has
// ended.
func (e *ending) memory() time.Duration {
	if e.whole {
		return answerMemory
	}
	return endingMemory
}

// settleAnswers counts the complete responses of a run as proofs that are followed by a sign
// of life at the given time.
func (c *Core) settleAnswers(now time.Time, run poison.Run, aliveAt time.Time) {
	for _, e := range c.crashes.takeEndings(run, func(e *ending) bool { return e.settledBy(aliveAt) }) {
		c.settleAnswer(now, run, e)
	}
}

// settleAnswer records that the endpoint of a complete response goes on running.
func (c *Core) settleAnswer(now time.Time, run poison.Run, e ending) {
	if e.failed {
		c.recordFailure(now, run, e.proves)
	} else {
		c.recordAnswer(now, e.at, e.proves)
	}
	c.endTrial(now, e.suspects)
}

// settleOldAnswers forgets endings that are too old to be those of a crash. Complete responses
// among them count as proofs if their endpoint is still there. Endpoints on whose responses a
// trial depends are probed.
func (c *Core) settleOldAnswers(now time.Time) {
	for _, run := range slices.SortedFunc(maps.Keys(c.crashes.endings), compareRuns) {
		if _, probing := c.crashes.probes[run]; probing {
			continue
		}
		ep := c.endpoints[run.Engine]
		registered := ep != nil && runOf(ep.Endpoint) == run
		for _, e := range c.crashes.takeEndings(run, func(e *ending) bool { return now.Sub(e.at) > e.memory() }) {
			if e.complete && registered && !c.crashes.log.CrashedSince(run, e.at) {
				c.settleAnswer(now, run, e)
				continue
			}
			c.endTrial(now, e.suspects)
		}
		if registered && c.crashes.awaitsProof(now, run) {
			c.probeEngine(now, run, ep)
		}
	}
}

// awaitsProof reports whether a sign of life of an endpoint would end a trial, or prove that a
// suspect request is sound.
func (w *crashWatch) awaitsProof(now time.Time, run poison.Run) bool {
	suspects := w.log.Suspects()
	isSuspect := func(p poison.Part) bool { return suspects[p] || w.isWithheld(p) }
	return slices.ContainsFunc(w.endings[run], func(e ending) bool {
		return e.settledBy(now) && !e.probed && (len(e.suspects) > 0 || slices.ContainsFunc(e.proves, isSuspect))
	})
}

// joins reports whether an ending belongs to a crash of its endpoint. A whole response does
// only if the run is proved to be over: one that can't be reached may have sent it and run on.
func (e *ending) joins(proved bool) bool { return proved || !e.whole }
