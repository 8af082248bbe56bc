package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// askInterval is how often an outcome is asked for.
	askInterval = 200 * time.Millisecond
	// askLimit bounds the time in which the agent must be reached again.
	askLimit = 5 * time.Second
	// unknownRetryAfter is what callers are told while the holder of a claim
	// can't be reached.
	unknownRetryAfter = time.Second
)

// question is what the entry asks an agent about the last attempt of a call.
type question struct {
	// cause is the failure that made it ask.
	cause error
	// until ends the wait for an answer.
	until time.Time
	sent  time.Time
}

// errUnknown ends a call whose key is held by an agent that can't be asked.
var errUnknown = fault.WithRetryAfter(fault.New(fault.MayHaveRun, fault.CodeUnknownResult,
	"the call may have run at an agent that can't be reached"), unknownRetryAfter)

// holding returns the agent process that holds the claim of a call's key.
func (c *Core) holding(r *running) (*fleet.Peer, error) {
	peer := c.fleet.Peer(r.holder.Host)
	if peer == nil || peer.Incarnation != r.holder.Incarnation {
		return nil, errUnknown
	}
	return peer, nil
}

// owner returns the agent that rendezvous hashing names for a call's key. Two
// entries with another view of the fleet may name two; their claims decide.
func (c *Core) owner(r *running) *fleet.Peer {
	var names []string
	for _, p := range c.fleet.PreferredAgents(r.Route.Service) {
		if p.Load == nil || r.tried[p.Host.Name] {
			continue
		}
		if r.Model == "" || p.Serves(r.Model, r.Version, r.Adapter) {
			names = append(names, p.Host.Name)
		}
	}
	return c.fleet.Peer(dedup.Owner(r.OnceKey, names))
}

// shouldAsk reports whether the outcome of a failed attempt is worth asking
// for: the link broke, and a repeat would not be safe.
func (c *Core) shouldAsk(now time.Time, r *running, o Outcome) bool {
	return o.Verdict == fault.MayHaveRun && fault.CodeOf(o.Err) == fault.CodeLink &&
		!o.Passed && !r.Route.Idempotent && now.Before(r.Deadline)
}

// askFor begins to ask for the outcome of the last attempt.
func (c *Core) askFor(now time.Time, r *running, cause error) []Effect {
	r.asked = &question{
		cause: cause,
		until: earlier(r.Deadline, now.Add(askLimit)),
	}
	return c.query(now, r)
}

// ask repeats the open questions: all of them at once, or those that are due.
func (c *Core) ask(now time.Time, all bool) []Effect {
	var effects []Effect
	for _, r := range c.calls {
		if r.asked != nil && (all || now.Sub(r.asked.sent) >= askInterval) {
			effects = append(effects, c.query(now, r)...)
		}
	}
	return effects
}

// query asks one agent process, or gives the call up if it can't be asked.
func (c *Core) query(now time.Time, r *running) []Effect {
	peer := c.fleet.Peer(r.host)
	replaced := peer == nil || (peer.Linked() && peer.Incarnation != r.incarnation)
	if replaced || !now.Before(r.asked.until) {
		cause := r.asked.cause
		r.asked = nil
		return c.failed(now, r, Outcome{
			Verdict: fault.MayHaveRun,
			Err:     cause,
		})
	}
	r.asked.sent = now
	if !peer.Linked() {
		return nil
	}
	return []Effect{Tell{
		Host: r.host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
				Id:               r.ID,
				Attempt:          uint32(r.attempt),
				AgentIncarnation: r.incarnation,
			}},
		}}},
	}}
}

// reported takes an agent's word on an outcome that was asked for.
func (c *Core) reported(now time.Time, e Received, report *wirepb.OutcomeReport) []Effect {
	r, known := c.calls[report.GetId()]
	if !known || r.asked == nil || uint32(r.attempt) != report.GetAttempt() {
		return nil
	}
	if e.Host != r.host || e.Incarnation != r.incarnation || !validReport(report) {
		return nil
	}
	if report.GetRunning() {
		r.asked.until = r.Deadline // it lives and will know
		return nil
	}
	r.asked = nil
	if report.GetStatus() != 0 {
		c.settle(now, r, r.Tokens)
		deliver := Deliver{
			ID:     r.ID,
			Report: report,
		}
		return append([]Effect{deliver}, c.finish(now)...)
	}
	v := fault.Verdict(report.GetVerdict())
	return c.failed(now, r, Outcome{
		Verdict: v,
		Err:     fault.New(v, fault.Code(report.GetCode()), report.GetMessage()),
	})
}

// validReport reports whether a report makes sense.
func validReport(report *wirepb.OutcomeReport) bool {
	v := fault.Verdict(report.GetVerdict())
	return v == fault.MayHaveRun || v == fault.NotRun || v == fault.Ran
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
