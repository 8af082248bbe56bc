package wire

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// TestAgeNeedsNoCommonClock sends stamps between sides whose clocks differ by
// an hour: 20 ms there, 300 ms held, 500 ms back.
func TestAgeNeedsNoCommonClock(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newAges(now.Add(-time.Hour)), newAges(now)
	there := a.stamped(now, &wirepb.Envelope{})
	b.received(now.Add(20*time.Millisecond), there)
	if there.GetAgeMs() != 0 {
		t.Errorf("age %d ms before any echo, want 0", there.GetAgeMs())
	}
	back := b.stamped(now.Add(320*time.Millisecond), &wirepb.Envelope{})
	back.AgeMs = 9
	a.received(now.Add(820*time.Millisecond), back)
	if back.GetAgeMs() != 520 {
		t.Errorf("age %d ms, want 520", back.GetAgeMs())
	}
}
