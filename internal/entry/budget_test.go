package entry

import (
	"testing"
	"time"
)

func TestRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRetryBudget()
	allowed := 0
	for range 1000 {
		b.recordCall(now)
		if b.allow(now) {
			allowed++
		}
	}
	if bound := int(maxSavedRetries + 1000*retriesPerCall); allowed > bound {
		t.Errorf("%d retries were allowed, want at most %d", allowed, bound)
	}
}
