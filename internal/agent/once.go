package agent

import (
	"slices"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// claimAppendsPerSecond is the total rate of log appends that all agents of one
// service may use together.
const claimAppendsPerSecond = 100

// checkDuplicate decides on a non-idempotent call that has been seen before,
// either by answering it or by letting it wait for another attempt. A new
// non-idempotent call is registered. decided is false if the call must be
// queued.
func (c *Core) checkDuplicate(now time.Time, call Call) (effects []Effect, decided bool) {
	request := call.Request
	if request.GetIdempotent() {
		return nil, false
	}
	key, hasKey := dedup.ParseKey(request.GetIdempotencyKey())
	decision := c.dedup.Submit(now, dedup.Attempt{
		CallID:        call.Key,
		RequestID:     request.GetId(),
		Number:        request.GetAttempt(),
		HasKey:        hasKey,
		Key:           key,
		RequestDigest: dedup.NewRequestDigest(request.GetMethod(), request.GetPath(), request.GetQuery(), string(request.GetBody())),
		RunWithoutLog: request.GetRunWithoutLog(),
	})
	switch decision.Action {
	case dedup.Admit:
		return nil, false
	case dedup.Wait:
		c.calls[call.Key] = call
		return nil, true
	default:
		return c.applyDecisions(now, []dedup.Decision{decision}), true
	}
}

// applyDecisions returns the effects of decisions on calls.
func (c *Core) applyDecisions(now time.Time, decisions []dedup.Decision) []Effect {
	var effects []Effect
	for _, d := range decisions {
		switch {
		case d.Action == dedup.Admit:
			effects = append(effects, Start{Key: d.CallID})
		case c.running[d.CallID]:
			refusals := c.refuseCall(now, d.CallID, d.Outcome.Err)
			effects = append(effects, withHolder(refusals, d)...)
		default:
			delete(c.calls, d.CallID)
			effects = append(effects, outcomeEffect(d))
		}
	}
	return effects
}

// withHolder sets the holder of the claim in the refusal of the decision's
// call.
func withHolder(effects []Effect, decision dedup.Decision) []Effect {
	for i, effect := range effects {
		if refusal, ok := effect.(Refuse); ok && refusal.Key == decision.CallID {
			refusal.Holder = decision.Holder
			effects[i] = refusal
		}
	}
	return effects
}

// outcomeEffect returns the effect that answers a call with a known outcome.
func outcomeEffect(decision dedup.Decision) Effect {
	if decision.Outcome.Err != nil {
		return Refuse{
			Key:    decision.CallID,
			Err:    decision.Outcome.Err,
			Holder: decision.Holder,
		}
	}
	return Replay{
		Key:     decision.CallID,
		Outcome: decision.Outcome,
	}
}

// flushClaims appends the claims that are due, or schedules a tick for when
// they become due.
func (c *Core) flushClaims(now time.Time) []Effect {
	batch, delay := c.dedup.NextBatch(now)
	if delay > 0 {
		return []Effect{ScheduleTick{After: delay}}
	}
	if batch == nil {
		return nil
	}
	return []Effect{AppendRecord{
		Tag:    batch.Tag,
		Stream: plat.StreamClaims,
		Data:   batch.Data,
	}}
}

// expireClaims applies the decisions on calls that have waited too long for the
// log and starts queued calls.
func (c *Core) expireClaims(now time.Time) []Effect {
	effects := c.applyDecisions(now, c.dedup.ExpireClaims(now))
	return append(effects, c.startCalls(now)...)
}

// handleOutcomeQuery answers an entry's query for the outcome of an attempt.
// Queries to another incarnation are ignored.
func (c *Core) handleOutcomeQuery(now time.Time, e MessageReceived) []Effect {
	query := e.Message.GetClaim().GetQuery()
	if query == nil || query.GetAgentIncarnation() != c.incarnation {
		return nil
	}
	outcome, running := c.dedup.Query(now, query.GetId(), query.GetAttempt())
	report := &wirepb.OutcomeReport{
		Id:      query.GetId(),
		Attempt: query.GetAttempt(),
		Running: running,
	}
	if outcome.Err == nil && outcome.BodyDropped {
		outcome.Err = fault.New(fault.Ran, fault.CodeUnknownResult, "the answer is not kept any more")
	}
	if outcome.Err != nil {
		report.Verdict = uint32(fault.VerdictOf(outcome.Err))
		report.Code = string(fault.CodeOf(outcome.Err))
		report.Message = outcome.Err.Error()
		report.EndedRun = fault.EndedRunOf(outcome.Err)
	} else if !running {
		report.Status = uint32(outcome.Status)
		report.ContentType = outcome.ContentType
		report.Body = outcome.Body
	}
	return []Effect{SendMessage{
		Session: e.Session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Report{Report: report},
		}}},
	}}
}

// handleHosts divides the rate of log appends among the agents of the service.
func (c *Core) handleHosts(hosts []plat.Host) []Effect {
	agents := 0
	for _, host := range hosts {
		if host.Role == plat.RoleAgent && host.Service == c.service {
			agents++
		}
	}
	c.dedup.SetAppendInterval(time.Duration(max(1, agents)) * time.Second / claimAppendsPerSecond)
	return nil
}

func (c *Core) handleLogRead(now time.Time, e LogRead) []Effect {
	switch e.Stream {
	case plat.StreamFleet:
		return c.applyViews(e.Page)
	case plat.StreamClaims:
		return c.applyClaims(now, e.Page)
	default:
		return nil
	}
}

// applyClaims applies a page of the stream of claims. A record that can't be
// decoded is skipped; it may be of another release.
func (c *Core) applyClaims(now time.Time, page plat.Page) []Effect {
	var effects []Effect
	decisions, err := c.dedup.ApplyPage(now, page)
	if err != nil {
		effects = append(effects, LogWarning{
			Message: "records of claims skipped",
			Err:     err,
		})
	}
	return slices.Concat(effects, c.applyDecisions(now, decisions), c.startCalls(now))
}

func (c *Core) handleLogReadFailed(e LogReadFailed) []Effect {
	if e.Stream == plat.StreamClaims {
		c.dedup.RecordReadFailure()
	}
	return nil
}

func (c *Core) handleAppendEnded(now time.Time, e AppendEnded) []Effect {
	c.dedup.AppendDone(e.Tag, e.Err)
	return c.flushClaims(now)
}
