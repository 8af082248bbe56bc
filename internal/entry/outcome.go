package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// outcomeQueryInterval is how often an outcome query is repeated.
	outcomeQueryInterval = 200 * time.Millisecond
	// outcomeQueryTimeout is how long the entry waits for an agent whose
	// connection broke to become reachable again.
	outcomeQueryTimeout = 5 * time.Second
	// unreachableHolderRetryAfter is the Retry-After of a call whose claim
	// holder can't be reached.
	unreachableHolderRetryAfter = time.Second
)

// outcomeQuery is a query to an agent for the outcome of a call's last attempt.
type outcomeQuery struct {
	// cause is the error that led to the query.
	cause error
	// deadline is when the entry stops waiting for a report.
	deadline time.Time
	sentAt   time.Time
}

// errOutcomeUnknown ends a call whose idempotency key is claimed by an agent
// process that can't be asked.
var errOutcomeUnknown = fault.WithRetryAfter(fault.New(fault.MayHaveRun, fault.CodeUnknownResult,
	"the call may have run at an agent that can't be reached"), unreachableHolderRetryAfter)

// claimHolderPeer returns the agent process that holds the claim of a call's
// idempotency key.
func (c *Core) claimHolderPeer(call *activeCall) (*fleet.Peer, error) {
	peer := c.fleet.Peer(call.claimHolder.Host)
	if peer == nil || peer.Incarnation != call.claimHolder.Incarnation {
		return nil, errOutcomeUnknown
	}
	return peer, nil
}

// keyOwner returns the agent that rendezvous hashing assigns to a call's
// idempotency key. Entries with different views of the fleet may select
// different agents; the claims of these agents decide then.
func (c *Core) keyOwner(call *activeCall) *fleet.Peer {
	var names []string
	for _, p := range c.fleet.PreferredAgents(call.Route.Service) {
		if p.Load == nil || call.triedHosts[p.Host.Name] {
			continue
		}
		if call.Model == "" || p.Serves(call.Model, call.Version, call.Adapter) {
			names = append(names, p.Host.Name)
		}
	}
	return c.fleet.Peer(dedup.Owner(call.IdempotencyKey, names))
}

// shouldQueryOutcome reports whether to query the outcome of a failed attempt:
// its connection broke, and a retry would not be safe.
func (c *Core) shouldQueryOutcome(now time.Time, call *activeCall, outcome Outcome) bool {
	return outcome.Verdict == fault.MayHaveRun && fault.CodeOf(outcome.Err) == fault.CodeLink &&
		!outcome.ResponseStarted && !call.Route.Idempotent && now.Before(call.Deadline)
}

// startOutcomeQuery starts to query the outcome of the last attempt.
func (c *Core) startOutcomeQuery(now time.Time, call *activeCall, cause error) []Effect {
	call.pendingQuery = &outcomeQuery{
		cause:    cause,
		deadline: earlier(call.Deadline, now.Add(outcomeQueryTimeout)),
	}
	return c.sendOutcomeQuery(now, call)
}

// sendOutcomeQueries repeats the pending queries: all of them, or those that
// are due.
func (c *Core) sendOutcomeQueries(now time.Time, all bool) []Effect {
	var effects []Effect
	for _, call := range c.calls {
		if call.pendingQuery != nil && (all || now.Sub(call.pendingQuery.sentAt) >= outcomeQueryInterval) {
			effects = append(effects, c.sendOutcomeQuery(now, call)...)
		}
	}
	return effects
}

// sendOutcomeQuery sends a query to the agent process of the last attempt. If
// that process was replaced or the deadline has passed, the attempt counts as
// failed.
func (c *Core) sendOutcomeQuery(now time.Time, call *activeCall) []Effect {
	peer := c.fleet.Peer(call.host)
	replaced := peer == nil || (peer.Linked() && peer.Incarnation != call.agentIncarnation)
	if replaced || !now.Before(call.pendingQuery.deadline) {
		cause := call.pendingQuery.cause
		call.pendingQuery = nil
		return c.retryOrFail(now, call, Outcome{
			Verdict: fault.MayHaveRun,
			Err:     cause,
		})
	}
	call.pendingQuery.sentAt = now
	if !peer.Linked() {
		return nil
	}
	return []Effect{SendMessage{
		Host: call.host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Claim{Claim: &wirepb.ClaimMessage{
			Body: &wirepb.ClaimMessage_Query{Query: &wirepb.OutcomeQuery{
				Id:               call.ID,
				Attempt:          uint32(call.attempt),
				AgentIncarnation: call.agentIncarnation,
			}},
		}}},
	}}
}

// handleOutcomeReport handles an agent's report on a queried outcome.
func (c *Core) handleOutcomeReport(now time.Time, event MessageReceived, report *wirepb.OutcomeReport) []Effect {
	call, known := c.calls[report.GetId()]
	if !known || call.pendingQuery == nil || uint32(call.attempt) != report.GetAttempt() {
		return nil
	}
	if event.Host != call.host || event.Incarnation != call.agentIncarnation || !validReport(report) {
		return nil
	}
	if report.GetRunning() {
		call.pendingQuery.deadline = call.Deadline // the agent is running the call and will report its outcome
		return nil
	}
	call.pendingQuery = nil
	outcome := reportedOutcome(report)
	c.recordCrashEvidence(now, call, outcome)
	if outcome.Err == nil {
		c.endCall(now, call, call.Tokens)
		deliver := DeliverOutcome{
			ID:     call.ID,
			Report: report,
		}
		return append([]Effect{deliver}, c.finishShutdown(now)...)
	}
	return c.retryOrFail(now, call, outcome)
}

// reportedOutcome returns the outcome of which an agent reports.
func reportedOutcome(report *wirepb.OutcomeReport) Outcome {
	if report.GetStatus() != 0 {
		return Outcome{Verdict: fault.Ran}
	}
	verdict := fault.Verdict(report.GetVerdict())
	err := fault.New(verdict, fault.Code(report.GetCode()), report.GetMessage())
	if run := report.GetEndedRun(); run > 0 {
		err = fault.WithEndedRun(err, run)
	}
	return Outcome{
		Verdict: verdict,
		Err:     err,
	}
}

// validReport reports whether a report contains a known verdict.
func validReport(report *wirepb.OutcomeReport) bool {
	verdict := fault.Verdict(report.GetVerdict())
	return verdict == fault.MayHaveRun || verdict == fault.NotRun || verdict == fault.Ran
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
