package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodfold/internal/quota"
)

// TestBucketBound checks that no sequence of takes exceeds burst + rate ×
// window.
func TestBucketBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		b := quota.NewBucket(now, 10, 100, 100)
		taken := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			n := float64(rapid.IntRange(0, 50).Draw(t, "tokens"))
			if _, ok := b.Take(now, n); ok {
				taken += n
			}
			if bound := 100 + 10*now.Sub(start).Seconds(); taken > bound+1e-6 {
				t.Fatalf("took %v tokens, bound %v", taken, bound)
			}
		}
	})
}

func TestTakeReturnsWait(t *testing.T) {
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 10, 100, 0)
	wait, ok := b.Take(now, 50)
	if ok || wait != 5*time.Second {
		t.Errorf("wait = %v, %v; want 5s, false", wait, ok)
	}
	if wait, ok := b.Take(now, 500); ok || wait != 0 {
		t.Errorf("taking more than the burst: wait = %v, %v; want 0, false", wait, ok)
	}
}
