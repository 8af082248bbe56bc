package wire

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// TestAgeIsIndependentOfClockOffset exchanges stamps between two sides whose
// clocks differ by an hour: 20 ms to the peer, 300 ms held there, 500 ms back.
func TestAgeIsIndependentOfClockOffset(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newAgeTracker(now.Add(-time.Hour)), newAgeTracker(now)
	request := a.stamp(now, &wirepb.Envelope{})
	b.receive(now.Add(20*time.Millisecond), request)
	if request.GetAgeMs() != 0 {
		t.Errorf("age %d ms before any echo, want 0", request.GetAgeMs())
	}
	reply := b.stamp(now.Add(320*time.Millisecond), &wirepb.Envelope{})
	reply.AgeMs = 9
	a.receive(now.Add(820*time.Millisecond), reply)
	if reply.GetAgeMs() != 520 {
		t.Errorf("age %d ms, want 520", reply.GetAgeMs())
	}
}
