package rate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestBucketFillsToCapacity(t *testing.T) {
	var b Bucket
	b.Set(startTime, 10, 25)
	if b.Level(startTime) != 0 {
		t.Error("a new bucket is not empty")
	}
	if level := b.Level(startTime.Add(2 * time.Second)); level != 20 {
		t.Errorf("%v tokens after 2 s, want 20", level)
	}
	if level := b.Level(startTime.Add(time.Minute)); level != 25 {
		t.Errorf("%v tokens, want the room of 25", level)
	}
	if b.Take(startTime.Add(time.Minute), 26) || !b.Take(startTime.Add(time.Minute), 25) {
		t.Error("took more than there was, or refused what there was")
	}
}

func TestLoweredCapacityReducesLevel(t *testing.T) {
	var b Bucket
	b.Set(startTime, 10, 100)
	b.Set(startTime.Add(10*time.Second), 1, 5)
	if level := b.Level(startTime.Add(10 * time.Second)); level != 5 {
		t.Errorf("%v tokens, want 5", level)
	}
}

// TestSharesInUseNeverExceedTotal has entries come and go, each using the
// largest share that it was given within the lifetime of its proof.
func TestSharesInUseNeverExceedTotal(t *testing.T) {
	const lifetime = 4 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		a := NewAllotment(0.5, lifetime, nil)
		type grant struct {
			share      float64
			validUntil time.Time
		}
		granted := map[string][]grant{}
		now := startTime
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "pause")) * time.Millisecond)
			var hosts []string
			for i := range 5 {
				if rapid.Bool().Draw(rt, "there") {
					hosts = append(hosts, fmt.Sprint("h", i))
				}
			}
			for host, grants := range granted { // the last share counts for a lifetime more
				if n := len(grants); n > 0 && grants[n-1].validUntil.IsZero() {
					grants[n-1].validUntil = now.Add(lifetime)
				}
				granted[host] = grants
			}
			for host, share := range a.Update(now, hosts) {
				granted[host] = append(granted[host], grant{share: share})
			}
			sum := 0.0
			for _, grants := range granted {
				largest := 0.0
				for _, g := range grants {
					if g.validUntil.IsZero() || now.Before(g.validUntil) {
						largest = max(largest, g.share)
					}
				}
				sum += largest
			}
			if sum > 0.5+1e-9 {
				rt.Fatalf("shares of %v in use", sum)
			}
		}
	})
}

// An entry may use a share that it has lost for the lifetime of its proof.
func TestLargestInUseIncludesExpiringShares(t *testing.T) {
	a := NewAllotment(0.5, 4*time.Second, nil)
	a.Update(startTime, []string{"h1"})
	a.Update(startTime.Add(time.Second), []string{"h1", "h2"})
	if largest := a.LargestInUse(startTime.Add(2 * time.Second)); largest != 0.5 {
		t.Errorf("the largest share in use is %v, want the 0.5 that lapses", largest)
	}
	a.Update(startTime.Add(6*time.Second), []string{"h1", "h2"})
	if largest := a.LargestInUse(startTime.Add(6 * time.Second)); largest != 0.25 {
		t.Errorf("the largest share in use is %v, want 0.25", largest)
	}
}
