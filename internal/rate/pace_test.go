package rate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
)

// In no window may there be more events than the rate allows and a burst, and none is
// put off for longer than the events before it require.
func TestPaceKeepsRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 50).Draw(rt, "rate")
		burst := rapid.IntRange(1, 5).Draw(rt, "burst")
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		var p Pace
		p.Restart(now, perSecond, burst)
		if first := p.Next(now, perSecond).Sub(now); first != Interval(perSecond) {
			rt.Fatalf("first event after %v, want %v", first, Interval(perSecond))
		}
		var starts []time.Time
		for range rapid.IntRange(1, 80).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			starts = append(starts, p.Reserve(now, perSecond))
		}
		const window = 4 * time.Second
		for i := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(starts[i]) < window {
					n++
				}
			}
			if allowed := perSecond*window.Seconds() + float64(burst) + 1e-6; float64(n) > allowed {
				rt.Fatalf("%d events in %v, %v allowed", n, window, allowed)
			}
		}
		later := now.Add(time.Hour)
		for range burst {
			if start := p.Reserve(later, perSecond); start != later {
				rt.Fatalf("an event of a burst is put off by %v", start.Sub(later))
			}
		}
		if next := p.Next(later, perSecond); !next.After(later) {
			rt.Fatal("a burst goes on")
		}
	})
}
