// Package prefix computes hashes of prompt prefixes and estimates which prefixes
// an endpoint has in its prefix cache.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of a prompt block.
	BlockBytes = 256
	// maxBlocks bounds the number of blocks hashed per prompt.
	maxBlocks = 128
)

// BlockHashes returns a hash for each complete block of a prompt, up to a maximum
// number of blocks. Each hash covers the model, including its adapter, and all
// blocks up to and including its own.
func BlockHashes(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/BlockBytes, maxBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(model)
	buffer := make([]byte, 8+BlockBytes)
	for i := range blocks {
		binary.LittleEndian.PutUint64(buffer, hash)
		copy(buffer[8:], prompt[i*BlockBytes:])
		hash = xxhash.Sum64(buffer)
		hashes = append(hashes, hash)
	}
	return hashes
}

// staleWeight is the weight in ExpectedHits of a block that was last seen before
// a gap in the events.
const staleWeight = 0.5

// CacheEstimate is a bounded estimate of the blocks in an endpoint's cache. Like
// engines, it keeps the most recently used blocks, which it tracks in two
// generations.
type CacheEstimate struct {
	limit int
	// epoch is incremented at each gap in the endpoint's events.
	epoch    uint32
	current  map[uint64]uint32
	previous map[uint64]uint32
}

// NewCacheEstimate returns an empty estimate of at most limit blocks.
func NewCacheEstimate(limit int) *CacheEstimate {
	return &CacheEstimate{
		limit:   limit,
		current: make(map[uint64]uint32),
	}
}

// Add records that blocks were stored or used. It returns the length of the
// prefix of hashes that was known before.
func (c *CacheEstimate) Add(hashes []uint64) int {
	known := c.countKnown(hashes)
	for _, hash := range hashes {
		if len(c.current) >= max(1, c.limit/2) {
			c.previous, c.current = c.current, make(map[uint64]uint32)
		}
		c.current[hash] = c.epoch
	}
	return known
}

// Remove records that blocks were evicted.
func (c *CacheEstimate) Remove(hashes []uint64) {
	for _, hash := range hashes {
		delete(c.current, hash)
		delete(c.previous, hash)
	}
}

// MarkGap records that events were lost. The blocks known so far may have been
// evicted.
func (c *CacheEstimate) MarkGap() { c.epoch++ }

// Clear records that the endpoint's cache is empty.
func (c *CacheEstimate) Clear() {
	c.current = make(map[uint64]uint32)
	c.previous = nil
}

// Len returns the number of tracked blocks. A block that is in both generations
// counts twice.
func (c *CacheEstimate) Len() int { return len(c.current) + len(c.previous) }

// ExpectedHits returns the expected length of the cached prefix of hashes, in
// blocks. A block last seen before a gap counts as staleWeight.
func (c *CacheEstimate) ExpectedHits(hashes []uint64) float64 {
	total := 0.0
	for _, hash := range hashes {
		epoch, ok := c.lookup(hash)
		if !ok {
			break
		}
		if epoch == c.epoch {
			total++
		} else {
			total += staleWeight
		}
	}
	return total
}

func (c *CacheEstimate) countKnown(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := c.lookup(hash); !ok {
			return i
		}
	}
	return len(hashes)
}

func (c *CacheEstimate) lookup(hash uint64) (epoch uint32, ok bool) {
	if epoch, ok = c.current[hash]; !ok {
		epoch, ok = c.previous[hash]
	}
	return epoch, ok
}
