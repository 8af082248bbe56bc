// Package prefix names the blocks of prompts by hashes and remembers which
// blocks an endpoint is likely to have in its prefix cache.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a block of a prompt.
	BlockBytes = 256
	// maxBlocks bounds the blocks of one prompt that are named.
	maxBlocks = 128
)

// BlockHashes returns a hash for each whole block of a prompt. Each hash covers the
// model, with its adapter, and all blocks up to its own.
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

// staleWeight is the weight of a block learned before a gap in the events.
const staleWeight = 0.5

// CacheEstimate is a bounded guess at what one endpoint has cached. It keeps the blocks
// used last, as engines do, in two generations.
type CacheEstimate struct {
	limit int
	// epoch rises with each gap in the endpoint's events.
	epoch    uint32
	current  map[uint64]uint32
	previous map[uint64]uint32
}

// NewCacheEstimate returns an empty cache of at most limit blocks.
func NewCacheEstimate(limit int) *CacheEstimate {
	return &CacheEstimate{
		limit:   limit,
		current: make(map[uint64]uint32),
	}
}

// Add notes that blocks have been stored or used. It returns how many of them,
// from the first on, were known before.
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

// Remove notes that blocks have been evicted.
func (c *CacheEstimate) Remove(hashes []uint64) {
	for _, hash := range hashes {
		delete(c.current, hash)
		delete(c.previous, hash)
	}
}

// MarkGap notes that events were lost: blocks known so far may be gone.
func (c *CacheEstimate) MarkGap() { c.epoch++ }

// Clear notes that the endpoint's cache is empty.
func (c *CacheEstimate) Clear() {
	c.current = make(map[uint64]uint32)
	c.previous = nil
}

// Len returns the number of blocks that are remembered.
func (c *CacheEstimate) Len() int { return len(c.current) + len(c.previous) }

// ExpectedHits returns how many blocks from the first on are expected to be cached.
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
