package entry

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

// retryBudget is a token bucket that limits retries to a fraction of the calls,
// so that retries add little load when the system is overloaded.
type retryBudget struct {
	tokens    float64
	updatedAt time.Time
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// recordCall adds the retries that one call earns.
func (b *retryBudget) recordCall(now time.Time) {
	b.refill(now)
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerCall)
}

// allow reports whether a retry is permitted, and if so takes it from the
// budget.
func (b *retryBudget) allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the retries earned over time since the last update.
func (b *retryBudget) refill(now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	if !b.updatedAt.IsZero() {
		b.tokens = min(maxSavedRetries, b.tokens+minRetriesPerSecond*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}
