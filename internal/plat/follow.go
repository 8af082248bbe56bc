package plat

import (
	"context"
	"time"

	"dogwoodfold/internal/clock"
)

// FollowWait bounds the time of a long poll on the log. It is short because each
// response, even an empty one, confirms that the reader has missed nothing.
const FollowWait = 2 * time.Second

// followRetry is the delay after a failed read.
const followRetry = 500 * time.Millisecond

// Follow reads a stream from an offset on until ctx is done. It calls onPage with
// each page, including empty ones, and onError with each error.
func Follow(ctx context.Context, log Log, stream string, from uint64, onPage func(Page), onError func(error)) {
	wait := FollowWait
	for ctx.Err() == nil {
		requestedAt := time.Now()
		page, err := log.Read(ctx, stream, from, wait)
		if err != nil {
			wait = 0 // detect the end of the outage without waiting for a record
			if ctx.Err() == nil {
				onError(err)
			}
			clock.Sleep(ctx, followRetry)
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
