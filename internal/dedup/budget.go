package dedup

import "time"

const (
	// retriesPerCall is the number of retries that each call adds to the
	// budget.
	retriesPerCall = 0.1
	// minRetriesPerSecond is added to the budget over time, regardless of the
	// number of calls.
	minRetriesPerSecond = 2.0
	// maxSavedRetries limits the unused retries that the budget accumulates.
	maxSavedRetries = 50.0
)

// RetryBudget is a token bucket that limits retries to a fraction of the calls,
// so that retries add little load when the system is overloaded.
type RetryBudget struct {
	tokens    float64
	updatedAt time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// RecordCall adds the retries that one call earns.
func (b *RetryBudget) RecordCall(now time.Time) {
	b.refill(now)
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerCall)
}

// Allow reports whether a retry is permitted, and if so takes it from the
// budget.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the retries earned over time since the last update.
func (b *RetryBudget) refill(now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	if !b.updatedAt.IsZero() {
		b.tokens = min(maxSavedRetries, b.tokens+minRetriesPerSecond*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}
