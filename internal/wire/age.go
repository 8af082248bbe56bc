package wire

import (
	"sync"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// ageTracker works out how old control messages are without comparing clocks: each
// side stamps its messages by its own clock and returns the other's last stamp
// with the time since. What a side sent before a stamp was on its way before
// the message that returns the stamp was made.
type ageTracker struct {
	mu    sync.Mutex
	start time.Time
	// peerStamp is the peer's last one, 0 before the first, heardAt when it came.
	peerStamp   uint32
	peerStampAt time.Time
}

func newAgeTracker(start time.Time) *ageTracker { return &ageTracker{start: start} }

// localMillis returns the milliseconds since the start, from 1 on.
func (a *ageTracker) localMillis(now time.Time) uint32 {
	return uint32(now.Sub(a.start).Milliseconds()) + 1
}

// stamp returns a message with stamps. The body is shared.
func (a *ageTracker) stamp(now time.Time, message *wirepb.Envelope) *wirepb.Envelope {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &wirepb.Envelope{
		Body:   message.GetBody(),
		SentMs: a.localMillis(now),
	}
	if a.peerStamp != 0 {
		out.EchoMs = a.peerStamp
		out.HeldMs = uint32(now.Sub(a.peerStampAt).Milliseconds())
	}
	return out
}

// receive notes a message's stamps and sets its age.
func (a *ageTracker) receive(now time.Time, message *wirepb.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sent := message.GetSentMs(); sent != 0 {
		a.peerStamp, a.peerStampAt = sent, now
	}
	message.AgeMs = 0
	if echo := message.GetEchoMs(); echo != 0 {
		age := int64(a.localMillis(now)) - int64(echo) - int64(message.GetHeldMs())
		message.AgeMs = uint32(max(0, age))
	}
}
