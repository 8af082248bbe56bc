package plat

import (
	"context"
	"time"
)

// FollowWait bounds how long the log may hold an answer back. It is short,
// since each answer, an empty one too, tells that nothing is missing.
const FollowWait = 2 * time.Second

// followRetry is the pause after a failed read.
const followRetry = 500 * time.Millisecond

// Follow reads a stream from an offset on until ctx ends. Each page, empty ones
// too, goes to read; each failure goes to failed.
func Follow(ctx context.Context, log Log, stream string, from uint64, onPage func(Page), onError func(error)) {
	wait := FollowWait
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := log.Read(ctx, stream, from, wait)
		if err != nil {
			wait = 0 // the first answer ends the outage for the reader
			if ctx.Err() == nil {
				onError(err)
			}
			sleep(ctx, followRetry)
			continue
		}
		wait = FollowWait
		page.RequestedAt = requestedAt
		from = max(from, page.First)
		if n := len(page.Records); n > 0 {
			from = page.Records[n-1].Offset + 1
		}
		onPage(page)
	}
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
