package wire

import (
	"sync"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// ageTracker determines the age of control messages without comparing the clocks
// of two hosts. Each side stamps its messages with its own clock and echoes the
// peer's last stamp together with the time since it arrived. A message that
// echoes a stamp was created after the stamped message was sent, so the time
// since that stamp, less the time that the peer held it, is an upper bound on
// the message's age.
type ageTracker struct {
	mu    sync.Mutex
	start time.Time
	// peerStamp is the last stamp received from the peer, 0 before the first,
	// and peerStampAt the time at which it arrived.
	peerStamp   uint32
	peerStampAt time.Time
}

// newAgeTracker returns a tracker whose own stamps count from start.
func newAgeTracker(start time.Time) *ageTracker { return &ageTracker{start: start} }

// localMillis returns the milliseconds since the start plus 1, since 0 means that
// a message has no stamp.
func (a *ageTracker) localMillis(now time.Time) uint32 {
	return uint32(now.Sub(a.start).Milliseconds()) + 1
}

// stamp returns a copy of a message with stamps. The copy shares the body.
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

// receive records a message's stamp and sets its age.
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
