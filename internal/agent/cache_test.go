package agent_test

import (
	"testing"

	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// relayedEvents returns the message that relays a page of cache events, nil if
// there is none.
func relayedEvents(fromEvent uint64, page plat.CacheEventPage) *wirepb.CacheEvents {
	for _, effect := range newPlainCore(1).Apply(epoch, agent.CacheRead{From: fromEvent, Page: page}) {
		if e, ok := effect.(agent.Broadcast); ok {
			return e.Message.GetCache()
		}
	}
	return nil
}

func TestCacheEventsAreRelayedAndGapsReported(t *testing.T) {
	events := []plat.CacheEvent{{Stored: []uint64{1, 2}}, {Stored: []uint64{3}, Evicted: []uint64{1}}}
	e := relayedEvents(4, plat.CacheEventPage{First: 4, Next: 6, Events: events})
	if len(e.GetStored()) != 3 || len(e.GetEvicted()) != 1 || e.GetGap() || e.GetCleared() {
		t.Errorf("relayed %v, want 3 stored and 1 evicted blocks without a gap", e)
	}
	if e := relayedEvents(2, plat.CacheEventPage{First: 4, Next: 6, Events: events}); !e.GetGap() {
		t.Errorf("relayed %v, want a gap", e)
	}
	if e := relayedEvents(9, plat.CacheEventPage{First: 0, Next: 0}); !e.GetCleared() {
		t.Errorf("relayed %v after an engine restart, want a cleared cache", e)
	}
	if e := relayedEvents(6, plat.CacheEventPage{First: 6, Next: 6}); e != nil {
		t.Errorf("relayed %v for a page without events, want no message", e)
	}
	oversized := []plat.CacheEvent{{Stored: make([]uint64, 5000)}, {Stored: []uint64{7}}}
	if e := relayedEvents(0, plat.CacheEventPage{First: 0, Next: 2, Events: oversized}); !e.GetGap() || len(e.GetStored()) != 5000 {
		t.Errorf("relayed %d blocks with gap = %v, want 5000 with a gap", len(e.GetStored()), e.GetGap())
	}
}
