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
		t.Errorf("%v tokens after a minute, want the capacity of 25", level)
	}
	if b.Take(startTime.Add(time.Minute), 26) || !b.Take(startTime.Add(time.Minute), 25) {
		t.Error("Take removed more tokens than the bucket held, or refused to remove all")
	}
}

func TestLoweredCapacityReducesLevel(t *testing.T) {
	var b Bucket
	b.Set(startTime, 10, 100)
	b.Set(startTime.Add(10*time.Second), 1, 5)
	if level := b.Level(startTime.Add(10 * time.Second)); level != 5 {
		t.Errorf("%v tokens after the capacity was lowered, want 5", level)
	}
}

// TestSharesInUseNeverExceedTotal adds and removes entries, each of which uses the
// largest of the shares that it was given and that are still confirmed.
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
				if rapid.Bool().Draw(rt, "present") {
					hosts = append(hosts, fmt.Sprint("h", i))
				}
			}
			for host, grants := range granted { // the last share stays valid for a lifetime
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
				rt.Fatalf("shares in use add up to %v, want at most 0.5", sum)
			}
		}
	})
}

// An entry may use a share that it has lost until the confirmation of it expires.
func TestLargestInUseIncludesExpiringShares(t *testing.T) {
	a := NewAllotment(0.5, 4*time.Second, nil)
	a.Update(startTime, []string{"h1"})
	a.Update(startTime.Add(time.Second), []string{"h1", "h2"})
	if largest := a.LargestInUse(startTime.Add(2 * time.Second)); largest != 0.5 {
		t.Errorf("largest share in use is %v, want the expiring 0.5", largest)
	}
	a.Update(startTime.Add(6*time.Second), []string{"h1", "h2"})
	if largest := a.LargestInUse(startTime.Add(6 * time.Second)); largest != 0.25 {
		t.Errorf("largest share in use is %v, want 0.25", largest)
	}
}
