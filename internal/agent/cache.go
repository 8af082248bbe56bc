package agent

import (
	"context"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	cacheInterval = 250 * time.Millisecond
	// maxCacheHashes bounds the blocks of one message to the entries.
	maxCacheHashes = 4 << 10
)

// cacheRead relays cache events to the entries.
func (c *Core) cacheRead(e CacheRead) []Effect {
	message := &wirepb.CacheEvents{
		Cleared: e.Page.Next < e.From,
		Gap:     e.Page.First > e.From,
	}
	for _, event := range e.Page.Events {
		if len(message.Stored)+len(message.Evicted) > maxCacheHashes {
			message.Gap = true
			break
		}
		message.Stored = append(message.Stored, event.Stored...)
		message.Evicted = append(message.Evicted, event.Evicted...)
	}
	if len(e.Page.Events) == 0 && !message.Cleared && !message.Gap {
		return nil
	}
	return []Effect{Broadcast{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Cache{Cache: message}}}}
}

// readCache follows the events of the engine's prefix cache.
func (s *Server) readCache(ctx context.Context) {
	if s.options.Cache == nil {
		return
	}
	from := uint64(0)
	every(ctx, cacheInterval, func() {
		timeout, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		page, err := s.options.Cache.CacheEvents(timeout, from)
		if err != nil {
			return // the next page shows whether events were lost
		}
		s.loop.Post(CacheRead{
			From: from,
			Page: page,
		})
		from = page.Next
	})
}
