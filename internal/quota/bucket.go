// Package quota decides how many tokens each customer may spend. The right to
// spend is conserved: entries hold shares of each customer's rate and burst
// that never sum to more than the whole, and a coordinator moves them.
package quota

import "time"

// Bucket is a token bucket. It may hold less than nothing after a call used
// more than it had reserved.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	asOf   time.Time
}

// NewBucket returns a bucket that holds tokens at a time.
func NewBucket(now time.Time, rate, burst, tokens float64) *Bucket {
	return &Bucket{
		rate:   rate,
		burst:  burst,
		tokens: min(tokens, burst),
		asOf:   now,
	}
}

// Take removes tokens if it holds enough. Otherwise it returns the time after
// which it will, zero if it never will.
func (b *Bucket) Take(now time.Time, tokens float64) (wait time.Duration, ok bool) {
	b.fill(now)
	if tokens <= b.tokens {
		b.tokens -= tokens
		return 0, true
	}
	if tokens > b.burst || b.rate <= 0 {
		return 0, false
	}
	return time.Duration((tokens - b.tokens) / b.rate * float64(time.Second)), false
}

// Put gives back tokens that were taken and not used. A negative number takes
// tokens, below zero if need be.
func (b *Bucket) Put(now time.Time, tokens float64) {
	b.fill(now)
	b.tokens = min(b.burst, b.tokens+tokens)
}

// Tokens returns the tokens that it holds at a time.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// Resize changes rate and burst. A lower burst cuts the tokens at once, a
// higher one adds none.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// fill adds what the rate brought since the last call. A clock that goes back
// adds nothing.
func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.asOf); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.asOf = now
	}
}
