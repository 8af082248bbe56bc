package fakes

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/prefix"
)

const (
	// maxCacheBlocks is how many blocks the cache of a fake engine holds.
	maxCacheBlocks = 256
	// maxCacheEvents is how many events are kept; a reader that is slower
	// sees a gap.
	maxCacheEvents = 64
)

// prefixCache is the prefix cache of a fake engine with its events.
type prefixCache struct {
	mu     sync.Mutex
	blocks []uint64 // the oldest first
	events []plat.CacheEvent
	next   uint64
}

// promptField is the prompt of a request as it was sent.
type promptField struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// store stores the blocks of a request's prompt.
func (c *prefixCache) store(model string, body []byte) {
	var p promptField
	if err := json.Unmarshal(body, &p); err != nil {
		return
	}
	hashes := prefix.BlockHashes(model, append(p.Prompt, p.Messages...))
	if len(hashes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	event := plat.CacheEvent{Stored: hashes}
	c.blocks = append(c.blocks, hashes...)
	if extra := len(c.blocks) - maxCacheBlocks; extra > 0 {
		event.Evicted = c.blocks[:extra]
		c.blocks = c.blocks[extra:]
	}
	c.events = append(c.events, event)
	c.next++
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// page returns the events from a number on.
func (c *prefixCache) page(from uint64) plat.CacheEventPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.next - uint64(len(c.events))
	page := plat.CacheEventPage{
		First: max(first, min(from, c.next)),
		Next:  c.next,
	}
	page.Events = append(page.Events, c.events[page.First-first:]...)
	return page
}

// cacheEvents answers GET /engine/cache.
func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	from, err := ctx.QueryArgs().GetUint("from")
	if err != nil {
		from = 0
	}
	writeJSON(ctx, e.cache.page(uint64(from)))
}
