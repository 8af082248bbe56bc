// Package rate holds the right of customers to spend tokens. The right lies in
// buckets at the entries; moving it from one to another never makes more of it.
package rate

import "time"

// Bucket is a token bucket. The zero value is empty and fills not at all.
type Bucket struct {
	level float64
	// fillRate is in tokens per second, room is the level at which it stops.
	fillRate  float64
	capacity  float64
	updatedAt time.Time
}

// Set changes how fast the bucket fills and how much it holds. What it holds
// beyond its new room is lost; nothing is added.
func (b *Bucket) Set(now time.Time, fillRate, capacity float64) {
	b.refill(now)
	b.fillRate = fillRate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// Level returns how many tokens the bucket holds.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Take spends n tokens if the bucket holds them.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if n > b.level {
		return false
	}
	b.level -= n
	return true
}

// TakeUpTo spends as many of n tokens as the bucket holds and returns how many.
func (b *Bucket) TakeUpTo(now time.Time, n float64) float64 {
	b.refill(now)
	taken := max(0, min(n, b.level))
	b.level -= taken
	return taken
}

// Add puts in tokens that were taken elsewhere, up to limit in all.
func (b *Bucket) Add(now time.Time, n, limit float64) {
	b.refill(now)
	if b.level < limit {
		b.level = min(b.level+n, limit)
	}
}

// TimeUntil returns how long the bucket takes to fill up to n tokens.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	b.refill(now)
	if n <= b.level {
		return 0
	}
	if b.fillRate <= 0 {
		return time.Hour
	}
	return time.Duration((n - b.level) / b.fillRate * float64(time.Second))
}

// refill fills the bucket for the time since the last call. A bucket that
// holds more than its room, by Add, keeps it.
func (b *Bucket) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
		return
	}
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	if b.level < b.capacity {
		b.level = min(b.level+b.fillRate*elapsed.Seconds(), b.capacity)
	}
}
