package prefix_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/prefix"
)

func TestChainCoversModelAndAllBefore(t *testing.T) {
	prompt := bytes.Repeat([]byte("a"), 3*prefix.BlockBytes+7)
	chain := prefix.Chain("m", prompt)
	if len(chain) != 3 {
		t.Fatalf("%d blocks, want 3", len(chain))
	}
	if other := prefix.Chain("m:adapter", prompt); other[0] == chain[0] {
		t.Error("another adapter has the same block")
	}
	changed := bytes.Clone(prompt)
	changed[0] = 'b'
	if other := prefix.Chain("m", changed); other[2] == chain[2] {
		t.Error("a block does not depend on the blocks before it")
	}
}

// TestCacheIsBounded checks the bound, and that nothing is expected that was
// not added.
func TestCacheIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		c := prefix.NewCache(limit)
		added := make(map[uint64]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			chain := rapid.SliceOfN(rapid.Uint64Range(0, 100), 1, 10).Draw(t, "chain")
			if rapid.Bool().Draw(t, "remove") {
				c.Remove(chain)
				for _, hash := range chain {
					delete(added, hash)
				}
			} else {
				c.Add(chain)
				for _, hash := range chain {
					added[hash] = true
				}
			}
			if c.Len() > limit {
				t.Fatalf("%d blocks, limit %d", c.Len(), limit)
			}
			for hash := range uint64(100) {
				if c.Expected([]uint64{hash}) > 0 && !added[hash] {
					t.Fatalf("block %d was never added or was removed", hash)
				}
			}
		}
	})
}
