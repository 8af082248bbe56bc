package dedup

import "time"

const (
	// retriesPerCall is the part of calls that may be retried.
	retriesPerCall = 0.1
	// minRetriesPerSecond may be made however few calls there are.
	minRetriesPerSecond = 2.0
	// maxSavedRetries bounds the retries that are saved up.
	maxSavedRetries = 50.0
)

// RetryBudget bounds retries to a part of the calls, so that retries add little to
// an overload.
type RetryBudget struct {
	tokens    float64
	updatedAt time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// RecordCall notes a call.
func (b *RetryBudget) RecordCall(now time.Time) {
	b.refill(now)
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerCall)
}

// Allow takes one retry if there is one left.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.tokens = min(maxSavedRetries, b.tokens+minRetriesPerSecond*now.Sub(b.updatedAt).Seconds())
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}
