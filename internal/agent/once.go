package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// appendsPerSecond is what the agents of one service may spend of the log's
// rate together.
const appendsPerSecond = 100

// known answers a call that has been seen before. An unseen one that may not be
// repeated is noted.
func (c *Core) known(now time.Time, call Call) (effects []Effect, decided bool) {
	r := call.Request
	if r.GetIdempotent() {
		return nil, false
	}
	key, keyed := dedup.ParseKey(r.GetIdempotencyKey())
	d := c.once.Submit(now, dedup.Attempt{
		CallID:        call.Key,
		RequestID:     r.GetId(),
		Number:        r.GetAttempt(),
		HasKey:        keyed,
		Key:           key,
		RequestDigest: dedup.NewRequestDigest(r.GetMethod(), r.GetPath(), r.GetQuery(), string(r.GetBody())),
		RunWithoutLog: r.GetRunWithoutLog(),
	})
	switch d.Action {
	case dedup.Admit:
		return nil, false
	case dedup.Wait:
		c.calls[call.Key] = call
		return nil, true
	default:
		return c.settle(now, []dedup.Decision{d}), true
	}
}

// settle carries out decisions on calls.
func (c *Core) settle(now time.Time, decisions []dedup.Decision) []Effect {
	var effects []Effect
	for _, d := range decisions {
		switch {
		case d.Action == dedup.Admit:
			effects = append(effects, Start{Key: d.CallID})
		case c.running[d.CallID]:
			refusals := c.refuse(now, d.CallID, d.Outcome.Err)
			effects = append(effects, withHolder(refusals, d)...)
		default:
			delete(c.calls, d.CallID)
			effects = append(effects, answer(d))
		}
	}
	return effects
}

// withHolder adds the holder of a claim to the refusal of a call.
func withHolder(effects []Effect, d dedup.Decision) []Effect {
	for i, effect := range effects {
		if r, ok := effect.(Refuse); ok && r.Key == d.CallID {
			r.Holder = d.Holder
			effects[i] = r
		}
	}
	return effects
}

// answer returns the effect that ends a call with a known outcome.
func answer(d dedup.Decision) Effect {
	if d.Outcome.Err != nil {
		return Refuse{
			Key:    d.CallID,
			Err:    d.Outcome.Err,
			Holder: d.Holder,
		}
	}
	return Replay{
		Key:     d.CallID,
		Outcome: d.Outcome,
	}
}

// flush appends the claims that are due.
func (c *Core) flush(now time.Time) []Effect {
	batch, wait := c.once.NextBatch(now)
	if wait > 0 {
		return []Effect{Wake{After: wait}}
	}
	if batch == nil {
		return nil
	}
	return []Effect{Append{
		Tag:    batch.Tag,
		Stream: plat.StreamClaims,
		Data:   batch.Data,
	}}
}

// onceTick refuses the calls that have waited too long for the log.
func (c *Core) onceTick(now time.Time) []Effect {
	effects := c.settle(now, c.once.ExpireClaims(now))
	return append(effects, c.start(now)...)
}

// queried answers an entry that asks what became of an attempt.
func (c *Core) queried(now time.Time, e Received) []Effect {
	query := e.Message.GetClaim().GetQuery()
	if query == nil || query.GetAgentIncarnation() != c.incarnation {
		return nil
	}
	outcome, running := c.once.Query(now, query.GetId(), query.GetAttempt())
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
	} else if !running {
		report.Status = uint32(outcome.Status)
		report.ContentType = outcome.ContentType
		report.Body = outcome.Body
	}
	return []Effect{Tell{
		Session: e.Session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Report{Report: report},
		}}},
	}}
}

// listed spreads the log's rate over the agents of the service.
func (c *Core) listed(hosts []plat.Host) []Effect {
	agents := 0
	for _, host := range hosts {
		if host.Role == plat.RoleAgent && host.Service == c.service {
			agents++
		}
	}
	c.once.SetAppendInterval(time.Duration(max(1, agents)) * time.Second / appendsPerSecond)
	return nil
}

func (c *Core) logRead(now time.Time, e LogRead) []Effect {
	if e.Stream == plat.StreamFleet {
		c.readViews(e.Page)
	}
	if e.Stream != plat.StreamClaims {
		return nil
	}
	decisions, _ := c.once.ApplyPage(now, e.Page) // a record of another release is passed over
	return append(c.settle(now, decisions), c.start(now)...)
}

func (c *Core) logFailed(e LogFailed) []Effect {
	if e.Stream == plat.StreamClaims {
		c.once.RecordReadFailure()
	}
	return nil
}

func (c *Core) appended(now time.Time, e Appended) []Effect {
	c.once.AppendDone(e.Tag, e.Err)
	return c.flush(now)
}
