package gate

import "time"

// Outcome tells whether a request ran in an attempt, and how much of the
// response was forwarded.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeMayHaveRun means that the request may have run and that the client
	// has received nothing yet.
	OutcomeMayHaveRun Outcome = iota
	// OutcomeNotRun means that the request provably did not run.
	OutcomeNotRun
	// OutcomeComplete means that the complete response was forwarded.
	OutcomeComplete
	// OutcomeFailed means that the endpoint responded with an error, which has
	// not been forwarded yet.
	OutcomeFailed
	// OutcomeTruncated means that the attempt ended after part of the response
	// was forwarded.
	OutcomeTruncated
)

// String returns the label of an outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"mayHaveRun", "notRun", "complete", "failed", "broken"}[o]
}

// Reason is the reason why an attempt was not complete.
type Reason int

// Reasons why attempts are not complete.
const (
	ReasonNone Reason = iota
	// ReasonDial means that no connection could be established.
	ReasonDial
	// ReasonRefused means that the endpoint refused the request without running
	// it.
	ReasonRefused
	// ReasonAddressReused means that a different endpoint answers at the
	// address.
	ReasonAddressReused
	// ReasonModelMissing means that the endpoint has not loaded the model or
	// adapter.
	ReasonModelMissing
	// ReasonConfigStale means that the configuration became too old before the
	// request was sent.
	ReasonConfigStale
	// ReasonReset means that the connection was lost.
	ReasonReset
	// ReasonMalformed means that the response was not a valid response to the
	// request.
	ReasonMalformed
	// ReasonTimeout means that the deadline of the request passed.
	ReasonTimeout
	// ReasonStatus means that the endpoint responded with an error.
	ReasonStatus
	// ReasonClientGone means that the client disconnected.
	ReasonClientGone
)

// String returns the label of a reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{
		"none", "dial", "full", "elsewhere", "missing", "stale", "reset", "garbled", "timeout", "status", "caller",
	}[r]
}

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Status is the status code of the endpoint's response, 0 if there was
	// none.
	Status int
	// RetryAfter is how long the endpoint wants no further requests from this
	// entry.
	RetryAfter time.Duration
	// MaxGap is the longest time between two parts of the response.
	MaxGap time.Duration
	// CloseDelimited is true if only the end of the connection marked the end of the
	// response.
	CloseDelimited bool
	// WithoutEvents is true if the response is a stream that brought no event.
	WithoutEvents bool
	// Unlimited is true if the endpoint has answered and named no limit.
	Unlimited bool
}
