package dedup

import (
	"time"

	"dogwoodfold/pkg/fault"
)

// Action says what to do with an attempt.
type Action int

// The possible actions.
const (
	// Admit lets the attempt proceed. An attempt admitted by Submit is to be
	// queued and passed to TryStart. One admitted by ApplyPage or ExpireClaims
	// is to be run.
	Admit Action = iota
	// Wait makes the attempt wait for the outcome of another attempt.
	Wait
	// Complete ends the attempt with the outcome in the decision.
	Complete
)

// Decision says what to do with one attempt.
type Decision struct {
	CallID  uint64
	Action  Action
	Outcome Outcome
	// Holder is the process that should get the call instead, if set.
	Holder Process
}

// logRetryAfter is the Retry-After of calls that need the log while it can't be reached.
const logRetryAfter = time.Second

// Errors for attempts that are not run, or whose response can't be returned.
var (
	errKeyConflict = fault.New(fault.NotRun, fault.CodeConflict,
		"the idempotency key was used with another request")
	errClaimedElsewhere = fault.New(fault.NotRun, fault.CodeClaimed,
		"another agent holds the claim of the idempotency key")
	errOutcomeUnknown = fault.New(fault.MayHaveRun, fault.CodeUnknownResult,
		"the call may have run and its outcome is not known any more")
	errResponseDropped = fault.New(fault.Ran, fault.CodeUnknownResult,
		"the call has run and its answer is not kept any more")
	errNotArrived = fault.New(fault.NotRun, fault.CodeLink,
		"the attempt had not arrived when its outcome was asked for")
	errLogUnavailable = fault.WithRetryAfter(fault.New(fault.NotRun, fault.CodeLogDown,
		"the log can't be reached, so that a repeat would not be seen"), logRetryAfter)
)

// complete returns a decision that ends an attempt with an outcome, or with an
// error if the response body is no longer stored.
func complete(callID uint64, outcome Outcome) Decision {
	if outcome.Err == nil && outcome.BodyDropped {
		outcome = Outcome{Err: errResponseDropped}
	}
	return Decision{
		CallID:  callID,
		Action:  Complete,
		Outcome: outcome,
	}
}

// reject returns a decision that ends an attempt with an error.
func reject(callID uint64, err error) Decision {
	return complete(callID, Outcome{Err: err})
}
