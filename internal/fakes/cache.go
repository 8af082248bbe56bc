package fakes

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/prefix"
)

const (
	// maxCacheBlocks is the capacity of a fake engine's prefix cache in blocks.
	maxCacheBlocks = 256
	// maxCacheEvents is the number of events retained. A reader that falls
	// further behind sees a gap.
	maxCacheEvents = 64
)

// prefixCache is the prefix cache of a fake engine, with its recent events.
type prefixCache struct {
	mu     sync.Mutex
	blocks []uint64 // oldest first
	events []plat.CacheEvent
	next   uint64
}

// promptField holds the undecoded prompt of a request.
type promptField struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// store stores the blocks of a request's prompt.
func (c *prefixCache) store(model string, body []byte) {
	var p promptField
	if err := json.Unmarshal(body, &p); err != nil {
		return // the engine has parsed the body before
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

// page returns the retained events whose number is from or higher.
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

// handleCacheEvents handles GET /engine/cache.
func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	from, err := ctx.QueryArgs().GetUint("from")
	if err != nil {
		from = 0
	}
	writeJSON(ctx, e.cache.page(uint64(from)))
}
