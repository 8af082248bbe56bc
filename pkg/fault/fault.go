// Package fault classifies request errors. Each error carries a verdict, which
// says whether the failed request may have been executed by its endpoint, and a
// code, which names the cause.
package fault

import (
	"maps"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict says whether a request may have been executed. The zero value is
// MayHaveRun, so an error without a verdict makes no unproven claim.
type Verdict int

// The possible verdicts. The default, MayHaveRun, is the safe one.
const (
	// MayHaveRun means that it is unknown whether the request was executed.
	MayHaveRun Verdict = iota
	// NotRun means that the request was certainly not executed.
	NotRun
	// Ran means that the request was executed but its response is incomplete.
	Ran
)

// String returns the value of the Dogwoodfold-Verdict response header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Code identifies the cause of a failure in responses and logs.
type Code string

// The failure codes.
const (
	CodeBadRequest    Code = "bad_request"
	CodeTooLarge      Code = "request_too_large"
	CodeNoKey         Code = "missing_key"
	CodeBadKey        Code = "invalid_key"
	CodeForbidden     Code = "not_permitted"
	CodeNoRoute       Code = "unknown_route"
	CodeNoModel       Code = "unknown_model"
	CodeRate          Code = "rate_limited"
	CodeNoEndpoint    Code = "no_endpoint"
	CodeBusy          Code = "overloaded"
	CodeLeaving       Code = "leaving"
	CodeNotReady      Code = "not_ready"
	CodeDeadline      Code = "deadline_exceeded"
	CodeLink          Code = "link_broken"
	CodeEndpoint      Code = "endpoint_failed"
	CodeCut           Code = "answer_cut"
	CodeConflict      Code = "idempotency_conflict"
	CodeWithdrawn     Code = "key_withdrawn"
	CodeFenced        Code = "entry_fenced"
	CodeQuarantine    Code = "prompt_quarantined"
	CodeUnknownResult Code = "outcome_unknown"
	CodeClaimed       Code = "claimed_elsewhere"
	CodeLogDown       Code = "log_unavailable"
	CodeCallerGone    Code = "caller_gone"
	CodeInternal      Code = "internal"
)

type (
	verdictKey    struct{}
	codeKey       struct{}
	retryAfterKey struct{}
	paramKey      struct{}
	endedRunKey   struct{}
)

// New returns an error with a verdict, a code and a message that is returned to
// the caller.
func New(v Verdict, c Code, message string) error {
	return merry.New(message,
		merry.NoCaptureStack(),
		merry.WithValue(verdictKey{}, v),
		merry.WithValue(codeKey{}, c),
		merry.WithHTTPCode(httpStatus(c)))
}

// Wrap attaches a verdict and a code to err. It returns nil if err is nil.
func Wrap(err error, v Verdict, c Code) error {
	return merry.Wrap(err,
		merry.NoCaptureStack(),
		merry.WithValue(verdictKey{}, v),
		merry.WithValue(codeKey{}, c),
		merry.WithHTTPCode(httpStatus(c)))
}

// WithRetryAfter attaches the delay after which the caller may retry.
func WithRetryAfter(err error, after time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryAfterKey{}, after))
}

// VerdictOf returns the verdict of err, or MayHaveRun if it has none.
func VerdictOf(err error) Verdict {
	v, _ := merry.Value(err, verdictKey{}).(Verdict)
	return v
}

// CodeOf returns the code of err, or CodeInternal if it has none.
func CodeOf(err error) Code {
	c, ok := merry.Value(err, codeKey{}).(Code)
	if !ok {
		return CodeInternal
	}
	return c
}

// RetryAfterOf returns the retry delay attached to err, or zero if there is none.
func RetryAfterOf(err error) time.Duration {
	d, _ := merry.Value(err, retryAfterKey{}).(time.Duration)
	return d
}

// WithParam attaches the name of the field of the request that caused the error.
func WithParam(err error, param string) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(paramKey{}, param))
}

// ParamOf returns the name of the field attached to err, or an empty string if there is
// none.
func ParamOf(err error) string {
	param, _ := merry.Value(err, paramKey{}).(string)
	return param
}

// WithEndedRun states that the endpoint ended while it answered the call, and which of
// its runs that was.
func WithEndedRun(err error, run uint64) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(endedRunKey{}, run))
}

// EndedRunOf returns the run of the endpoint that ended while it answered the call, 0 if
// none did.
func EndedRunOf(err error) uint64 {
	run, _ := merry.Value(err, endedRunKey{}).(uint64)
	return run
}

// CodeStatuses returns the HTTP status of each code that maps to a specific
// one. Other codes map to 500.
func CodeStatuses() map[Code]int { return maps.Clone(statusByCode) }

// StatusOf returns the HTTP status of the response for err.
func StatusOf(err error) int {
	return merry.HTTPCode(err)
}

// httpStatus returns the HTTP status for a code, or 500 if none is defined.
func httpStatus(c Code) int {
	s, ok := statusByCode[c]
	if !ok {
		return 500
	}
	return s
}

var statusByCode = map[Code]int{
	CodeBadRequest:    400,
	CodeTooLarge:      413,
	CodeNoKey:         401,
	CodeBadKey:        401,
	CodeWithdrawn:     401,
	CodeForbidden:     403,
	CodeNoRoute:       404,
	CodeNoModel:       404,
	CodeConflict:      409,
	CodeUnknownResult: 409,
	CodeRate:          429,
	CodeCallerGone:    499,
	CodeNoEndpoint:    503,
	CodeBusy:          503,
	CodeLeaving:       503,
	CodeNotReady:      503,
	CodeFenced:        503,
	CodeQuarantine:    503,
	CodeClaimed:       503,
	CodeLogDown:       503,
	CodeDeadline:      504,
	CodeLink:          502,
	CodeEndpoint:      502,
	CodeCut:           502,
}
