package edge

import (
	"context"
	"sync"
	"time"

	"dogwoodfold/internal/clock"
)

// backoff computes exponentially growing delays between failing reads.
type backoff struct{ delay time.Duration }

// next returns the delay before the next retry.
func (b *backoff) next() time.Duration {
	b.delay = min(max(minRetryDelay, 2*b.delay), maxRetryDelay)
	return jitter(b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// watchControl suspends reads of a part of the store while the data that the
// leader sends is recent enough.
type watchControl struct {
	mu      sync.Mutex
	enabled bool
	// shared is true while other entries rely on the reads of this one.
	shared bool
	wake   chan struct{}
	// hastened holds a request to read at once.
	hastened chan struct{}
}

func newWatchControl() *watchControl {
	return &watchControl{
		enabled: true,
		wake:    make(chan struct{}, 1),

		hastened: make(chan struct{}, 1),
	}
}

// hasten has the next read made at once, also while reads are suspended.
func (c *watchControl) hasten() {
	select {
	case c.hastened <- struct{}{}:
	default:
	}
}

// pause waits until the next read is due or hastened.
func (c *watchControl) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.hastened:
		clock.Sleep(ctx, hastenedReadDelay)
	case <-ctx.Done():
	}
}

func (c *watchControl) set(enabled, shared bool) {
	c.mu.Lock()
	c.enabled = enabled
	c.shared = shared
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *watchControl) isEnabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enabled
}

// isShared reports whether other entries rely on the reads of this one.
func (c *watchControl) isShared() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared
}

// waitEnabled waits until reads are enabled, one is hastened or ctx has ended. It reports
// whether it had to wait.
func (c *watchControl) waitEnabled(ctx context.Context) bool {
	waited := false
	for !c.isEnabled() {
		waited = true
		select {
		case <-c.wake:
		case <-c.hastened:
			clock.Sleep(ctx, hastenedReadDelay)
			return true
		case <-ctx.Done():
			return true
		}
	}
	return waited
}
