package dedup

import "time"

const (
	// retriesPerCall is the part of calls that may be retried.
	retriesPerCall = 0.1
	// retriesPerSecond may be made however few calls there are.
	retriesPerSecond = 2.0
	// maxRetries bounds the retries that are saved up.
	maxRetries = 50.0
)

// Budget bounds retries to a part of the calls, so that retries add little to
// an overload.
type Budget struct {
	tokens float64
	asOf   time.Time
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxRetries} }

// Earn notes a call.
func (b *Budget) Earn(now time.Time) {
	b.fill(now)
	b.tokens = min(maxRetries, b.tokens+retriesPerCall)
}

// Spend takes one retry if there is one left.
func (b *Budget) Spend(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill(now time.Time) {
	if !b.asOf.IsZero() && now.After(b.asOf) {
		b.tokens = min(maxRetries, b.tokens+retriesPerSecond*now.Sub(b.asOf).Seconds())
	}
	if now.After(b.asOf) {
		b.asOf = now
	}
}
