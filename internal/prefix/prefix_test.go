package prefix_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/prefix"
)

func TestBlockHashesCoverModelAndPrecedingBlocks(t *testing.T) {
	prompt := bytes.Repeat([]byte("a"), 3*prefix.BlockBytes+7)
	hashes := prefix.BlockHashes("m", prompt)
	if len(hashes) != 3 {
		t.Fatalf("%d blocks, want 3", len(hashes))
	}
	if other := prefix.BlockHashes("m:adapter", prompt); other[0] == hashes[0] {
		t.Error("the hash does not depend on the adapter")
	}
	changed := bytes.Clone(prompt)
	changed[0] = 'b'
	if other := prefix.BlockHashes("m", changed); other[2] == hashes[2] {
		t.Error("the hash does not depend on the preceding blocks")
	}
}

// TestCacheEstimateIsBounded checks the size limit, and that no block is expected
// that was never added or has been removed.
func TestCacheEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		c := prefix.NewCacheEstimate(limit)
		added := make(map[uint64]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			hashes := rapid.SliceOfN(rapid.Uint64Range(0, 100), 1, 10).Draw(t, "hashes")
			if rapid.Bool().Draw(t, "remove") {
				c.Remove(hashes)
				for _, hash := range hashes {
					delete(added, hash)
				}
			} else {
				c.Add(hashes)
				for _, hash := range hashes {
					added[hash] = true
				}
			}
			if c.Len() > limit {
				t.Fatalf("%d blocks, limit %d", c.Len(), limit)
			}
			for hash := range uint64(100) {
				if c.ExpectedHits([]uint64{hash}) > 0 && !added[hash] {
					t.Fatalf("block %d was never added or was removed", hash)
				}
			}
		}
	})
}
