package plat_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
)

// failingLog fails its second read and notes how long each read may wait.
type failingLog struct {
	waits  []time.Duration
	cancel context.CancelFunc
}

func (l *failingLog) Append(context.Context, string, []byte) (uint64, error) { return 0, nil }

func (l *failingLog) Read(_ context.Context, _ string, _ uint64, wait time.Duration) (plat.Page, error) {
	l.waits = append(l.waits, wait)
	switch len(l.waits) {
	case 2:
		return plat.Page{}, errors.New("down")
	case 4:
		l.cancel()
	}
	return plat.Page{}, nil
}

// TestFollowDoesNotWaitAfterFailedRead checks that the first read after a
// failure waits for no record, so that an outage ends as soon as the log is up.
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
