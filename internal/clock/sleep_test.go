package clock

import (
	"context"
	"testing"
	"time"
)

// Guards against a wait that outlives its context or ends before its time.
func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	Sleep(ctx, 20*time.Millisecond)
	if waited := time.Since(began); waited < 20*time.Millisecond {
		t.Errorf("waited for %v, want at least 20ms", waited)
	}
	cancel()
	Sleep(ctx, time.Hour) // must return at once
}
