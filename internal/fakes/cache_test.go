package fakes

import (
	"fmt"
	"strings"
	"testing"

	"dogwoodfold/internal/prefix"
)

func TestCachePageReportsLostEvents(t *testing.T) {
	var c prefixCache
	for i := range maxCacheEvents + 10 {
		prompt := strings.Repeat(fmt.Sprintf("%03d ", i), prefix.BlockBytes)
		c.store("m", fmt.Appendf(nil, `{"prompt":%q}`, prompt))
	}
	page := c.page(0)
	if page.First != 10 || page.Next != maxCacheEvents+10 || len(page.Events) != maxCacheEvents {
		t.Errorf("page from %d to %d with %d events, want all retained ones, from 10 on", page.First, page.Next, len(page.Events))
	}
	if page := c.page(page.Next); len(page.Events) != 0 || page.First != page.Next {
		t.Errorf("page after the last event = %+v, want an empty page", page)
	}
	if len(c.blocks) > maxCacheBlocks {
		t.Errorf("%d blocks cached, want at most %d", len(c.blocks), maxCacheBlocks)
	}
}
