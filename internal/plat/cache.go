package plat

import (
	"context"
	"strconv"

	"github.com/valyala/fasthttp"
)

// CacheEvent is a change of an engine's prefix cache. Blocks are named by the
// hashes of package prefix.
type CacheEvent struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// CacheEventPage is a run of cache events. They are numbered from 0 after the
// engine started. First is the number of the first event in the page, higher
// than the one asked for if events were lost; Next is the one that follows.
type CacheEventPage struct {
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEventSource publishes the events of an engine's prefix cache, late and with gaps.
type CacheEventSource interface {
	CacheEvents(ctx context.Context, from uint64) (CacheEventPage, error)
}

// CacheEvents implements Cache.
func (e *HTTPEngine) CacheEvents(ctx context.Context, from uint64) (CacheEventPage, error) {
	var page CacheEventPage
	path := "/engine/cache?from=" + strconv.FormatUint(from, 10)
	err := e.do(ctx, fasthttp.MethodGet, path, nil, 0, &page)
	return page, err
}
