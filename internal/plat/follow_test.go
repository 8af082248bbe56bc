package plat_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

// failingLog fails the second read and records the wait of each read.
type failingLog struct {
	waits  []time.Duration
	cancel context.CancelFunc
}

func (l *failingLog) Append(context.Context, string, []byte) (uint64, error) { return 0, nil }

func (l *failingLog) Read(_ context.Context, _ string, _ uint64, wait time.Duration) (plat.Page, error) {
	l.waits = append(l.waits, wait)
	switch len(l.waits) {
	case 2:
		return plat.Page{}, errors.New("log unavailable")
	case 4:
		l.cancel()
	}
	return plat.Page{}, nil
}

// TestFollowDoesNotWaitAfterFailedRead checks that the first read after an error
// does not wait for a record. Otherwise the reader would notice the end of an
// outage only when a record arrives or the wait expires.
func TestFollowDoesNotWaitAfterFailedRead(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &failingLog{cancel: cancel}
	failures := 0
	plat.Follow(ctx, l, plat.StreamClaims, 1, func(plat.Page) {}, func(error) { failures++ })
	want := []time.Duration{plat.FollowWait, plat.FollowWait, 0, plat.FollowWait}
	if !slices.Equal(l.waits, want) || failures != 1 {
		t.Errorf("waits = %v, failures = %d; want %v, 1", l.waits, failures, want)
	}
}
