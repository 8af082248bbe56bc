// Package rate holds the right of customers to spend tokens. The right lies in
// buckets at the entries; moving it from one to another never makes more of it.
package rate

import "time"

// Bucket is a token bucket. The zero value is empty and fills not at all.
type Bucket struct {
	level float64
	// fill is in tokens per second, room is the level at which it stops.
	fill float64
	room float64
	at   time.Time
}

// Set changes how fast the bucket fills and how much it holds. What it holds
// beyond its new room is lost; nothing is added.
func (b *Bucket) Set(now time.Time, fill, room float64) {
	b.advance(now)
	b.fill = fill
	b.room = room
	b.level = min(b.level, room)
}

// Level returns how many tokens the bucket holds.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Take spends n tokens if the bucket holds them.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.advance(now)
	if n > b.level {
		return false
	}
	b.level -= n
	return true
}

// TakeUpTo spends as many of n tokens as the bucket holds and returns how many.
func (b *Bucket) TakeUpTo(now time.Time, n float64) float64 {
	b.advance(now)
	taken := max(0, min(n, b.level))
	b.level -= taken
	return taken
}

// Add puts in tokens that were taken elsewhere, up to limit in all.
func (b *Bucket) Add(now time.Time, n, limit float64) {
	b.advance(now)
	if b.level < limit {
		b.level = min(b.level+n, limit)
	}
}

// After returns how long the bucket takes to fill up to n tokens.
func (b *Bucket) After(now time.Time, n float64) time.Duration {
	b.advance(now)
	if n <= b.level {
		return 0
	}
	if b.fill <= 0 {
		return time.Hour
	}
	return time.Duration((n - b.level) / b.fill * float64(time.Second))
}

// advance fills the bucket for the time since the last call. A bucket that
// holds more than its room, by Add, keeps it.
func (b *Bucket) advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		return
	}
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	if b.level < b.room {
		b.level = min(b.level+b.fill*passed.Seconds(), b.room)
	}
}
