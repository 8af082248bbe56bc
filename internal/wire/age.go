package wire

import (
	"sync"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// ages works out how old control messages are without comparing clocks: each
// side stamps its messages by its own clock and returns the other's last stamp
// with the time since. What a side sent before a stamp was on its way before
// the message that returns the stamp was made.
type ages struct {
	mu    sync.Mutex
	start time.Time
	// stamp is the peer's last one, 0 before the first, heardAt when it came.
	stamp   uint32
	heardAt time.Time
}

func newAges(start time.Time) *ages { return &ages{start: start} }

// clock returns the milliseconds since the start, from 1 on.
func (a *ages) clock(now time.Time) uint32 { return uint32(now.Sub(a.start).Milliseconds()) + 1 }

// stamped returns a message with stamps. The body is shared.
func (a *ages) stamped(now time.Time, message *wirepb.Envelope) *wirepb.Envelope {
	a.mu.Lock()
	defer a.mu.Unlock()
	stamped := &wirepb.Envelope{
		Body:   message.GetBody(),
		SentMs: a.clock(now),
	}
	if a.stamp != 0 {
		stamped.EchoMs = a.stamp
		stamped.HeldMs = uint32(now.Sub(a.heardAt).Milliseconds())
	}
	return stamped
}

// received notes a message's stamps and sets its age.
func (a *ages) received(now time.Time, message *wirepb.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sent := message.GetSentMs(); sent != 0 {
		a.stamp, a.heardAt = sent, now
	}
	message.AgeMs = 0
	if echo := message.GetEchoMs(); echo != 0 {
		age := int64(a.clock(now)) - int64(echo) - int64(message.GetHeldMs())
		message.AgeMs = uint32(max(0, age))
	}
}
