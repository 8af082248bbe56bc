package agent

import (
	"context"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	cachePollInterval = 250 * time.Millisecond
	// maxBlocksPerMessage limits the cache blocks listed in one message to the
	// entries. It is checked before each event, so the last event may exceed
	// it. The events left out are reported as a gap.
	maxBlocksPerMessage = 4 << 10
)

// handleCacheRead relays cache events to the entries. It reports a gap if
// events were lost, and a cleared cache if the engine's event numbers have
// decreased.
func (c *Core) handleCacheRead(e CacheRead) []Effect {
	message := &wirepb.CacheEvents{
		Cleared: e.Page.Next < e.From,
		Gap:     e.Page.First > e.From,
	}
	for _, event := range e.Page.Events {
		if len(message.Stored)+len(message.Evicted) > maxBlocksPerMessage {
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

// pollCacheEvents polls the endpoint for the events of its prefix cache.
func (s *Server) pollCacheEvents(ctx context.Context) {
	if s.options.Cache == nil {
		return
	}
	nextEvent := uint64(0)
	runEvery(ctx, cachePollInterval, func() {
		requestCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		page, err := s.options.Cache.CacheEvents(requestCtx, nextEvent)
		if err != nil {
			return // the next page shows whether events were lost
		}
		s.loop.Post(CacheRead{
			From: nextEvent,
			Page: page,
		})
		nextEvent = page.Next
	})
}
