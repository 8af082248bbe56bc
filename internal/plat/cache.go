package plat

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"
)

// CacheEvent is a change in an engine's prefix cache. Blocks are identified by
// the hashes of prefix.BlockHashes.
type CacheEvent struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// CacheEventPage is a contiguous range of cache events. Events are numbered from
// 0 since the start of the engine. First is the number of the first event in the
// page, which is higher than the one requested if events were lost. Next is the
// number after the last event.
type CacheEventPage struct {
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEventSource provides the events of an engine's prefix cache. Events may be
// delayed, and some may be missing.
type CacheEventSource interface {
	CacheEvents(ctx context.Context, from uint64) (CacheEventPage, error)
}

// CacheEvents implements CacheEventSource.
func (e *HTTPEngine) CacheEvents(ctx context.Context, from uint64) (CacheEventPage, error) {
	var page CacheEventPage
	path := "/engine/cache?from=" + strconv.FormatUint(from, 10)
	err := e.do(ctx, fasthttp.MethodGet, path, nil, 0, &page)
	return page, err
}
