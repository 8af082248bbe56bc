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

// Chain returns a hash for each whole block of a prompt. Each hash covers the
// model, with its adapter, and all blocks up to its own.
func Chain(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/BlockBytes, maxBlocks)
	if blocks == 0 {
		return nil
	}
	chain := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(model)
	buffer := make([]byte, 8+BlockBytes)
	for i := range blocks {
		binary.LittleEndian.PutUint64(buffer, hash)
		copy(buffer[8:], prompt[i*BlockBytes:])
		hash = xxhash.Sum64(buffer)
		chain = append(chain, hash)
	}
	return chain
}

// distrusted is the weight of a block learned before a gap in the events.
const distrusted = 0.5

// Cache is a bounded guess at what one endpoint has cached. It keeps the blocks
// used last, as engines do, in two generations.
type Cache struct {
	limit int
	// epoch rises with each gap in the endpoint's events.
	epoch    uint32
	young    map[uint64]uint32
	previous map[uint64]uint32
}

// NewCache returns an empty cache of at most limit blocks.
func NewCache(limit int) *Cache {
	return &Cache{
		limit: limit,
		young: make(map[uint64]uint32),
	}
}

// Add notes that blocks have been stored or used. It returns how many of them,
// from the first on, were known before.
func (c *Cache) Add(chain []uint64) int {
	known := c.match(chain)
	for _, hash := range chain {
		if len(c.young) >= max(1, c.limit/2) {
			c.previous, c.young = c.young, make(map[uint64]uint32)
		}
		c.young[hash] = c.epoch
	}
	return known
}

// Remove notes that blocks have been evicted.
func (c *Cache) Remove(chain []uint64) {
	for _, hash := range chain {
		delete(c.young, hash)
		delete(c.previous, hash)
	}
}

// Gap notes that events were lost: blocks known so far may be gone.
func (c *Cache) Gap() { c.epoch++ }

// Clear notes that the endpoint's cache is empty.
func (c *Cache) Clear() {
	c.young = make(map[uint64]uint32)
	c.previous = nil
}

// Len returns the number of blocks that are remembered.
func (c *Cache) Len() int { return len(c.young) + len(c.previous) }

// Expected returns how many blocks from the first on are expected to be cached.
func (c *Cache) Expected(chain []uint64) float64 {
	total := 0.0
	for _, hash := range chain {
		epoch, ok := c.find(hash)
		if !ok {
			break
		}
		if epoch == c.epoch {
			total++
		} else {
			total += distrusted
		}
	}
	return total
}

func (c *Cache) match(chain []uint64) int {
	for i, hash := range chain {
		if _, ok := c.find(hash); !ok {
			return i
		}
	}
	return len(chain)
}

func (c *Cache) find(hash uint64) (epoch uint32, ok bool) {
	if epoch, ok = c.young[hash]; !ok {
		epoch, ok = c.previous[hash]
	}
	return epoch, ok
}
