// Package rate divides the token rates of customers among the entries. Tokens are
// held in buckets at the entries; moving tokens from one bucket to another never
// increases their number.
package rate

import "time"

// Bucket is a token bucket. The zero value is empty and does not fill.
type Bucket struct {
	level float64
	// fillRate is in tokens per second; the bucket stops filling when its level
	// reaches capacity.
	fillRate  float64
	capacity  float64
	updatedAt time.Time
}

// Set changes the fill rate and the capacity of the bucket. Tokens beyond the new
// capacity are lost; none are added.
func (b *Bucket) Set(now time.Time, fillRate, capacity float64) {
	b.refill(now)
	b.fillRate = fillRate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Take removes n tokens and returns true if the bucket holds that many.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if n > b.level {
		return false
	}
	b.level -= n
	return true
}

// TakeUpTo removes up to n tokens and returns how many were removed.
func (b *Bucket) TakeUpTo(now time.Time, n float64) float64 {
	b.refill(now)
	taken := max(0, min(n, b.level))
	b.level -= taken
	return taken
}

// Borrow removes n tokens, also if the bucket holds fewer. The level is then negative
// until the bucket has filled up again.
func (b *Bucket) Borrow(now time.Time, n float64) {
	b.refill(now)
	b.level -= n
}

// FillRate returns the number of tokens per second with which the bucket fills.
func (b *Bucket) FillRate() float64 { return b.fillRate }

// Capacity returns the level at which the bucket stops filling.
func (b *Bucket) Capacity() float64 { return b.capacity }

// Add adds n tokens that were taken from elsewhere, up to a level of limit.
func (b *Bucket) Add(now time.Time, n, limit float64) {
	b.refill(now)
	if b.level < limit {
		b.level = min(b.level+n, limit)
	}
}

// TimeUntil returns how long the bucket takes to reach n tokens, an hour if it does
// not fill.
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

// refill adds the tokens for the time since the last call. A level that Add has
// raised beyond the capacity stays.
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
