package agent_test

import (
	"testing"

	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// relayed returns the cache events that a page is relayed as, nil if none.
func relayed(from uint64, page plat.CachePage) *wirepb.CacheEvents {
	for _, effect := range newPlain(1).Apply(epoch, agent.CacheRead{From: from, Page: page}) {
		if e, ok := effect.(agent.Broadcast); ok {
			return e.Message.GetCache()
		}
	}
	return nil
}

func TestCacheEventsAreRelayedWithGaps(t *testing.T) {
	events := []plat.CacheEvent{{Stored: []uint64{1, 2}}, {Stored: []uint64{3}, Evicted: []uint64{1}}}
	e := relayed(4, plat.CachePage{First: 4, Next: 6, Events: events})
	if len(e.GetStored()) != 3 || len(e.GetEvicted()) != 1 || e.GetGap() || e.GetCleared() {
		t.Errorf("relayed %v, want 3 stored, 1 evicted", e)
	}
	if e := relayed(2, plat.CachePage{First: 4, Next: 6, Events: events}); !e.GetGap() {
		t.Errorf("relayed %v, want a gap", e)
	}
	if e := relayed(9, plat.CachePage{First: 0, Next: 0}); !e.GetCleared() {
		t.Errorf("relayed %v after the engine's restart, want a cleared cache", e)
	}
	if e := relayed(6, plat.CachePage{First: 6, Next: 6}); e != nil {
		t.Errorf("relayed %v without an event", e)
	}
	long := []plat.CacheEvent{{Stored: make([]uint64, 5000)}, {Stored: []uint64{7}}}
	if e := relayed(0, plat.CachePage{First: 0, Next: 2, Events: long}); !e.GetGap() || len(e.GetStored()) != 5000 {
		t.Errorf("relayed %d blocks, gap %v; want 5000 and a gap", len(e.GetStored()), e.GetGap())
	}
}
