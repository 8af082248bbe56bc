package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. Unlike Now, it doesn't count time for which
// the host is suspended.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
