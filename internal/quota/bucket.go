// Package quota decides how many tokens each customer may spend. The right to
// spend is conserved: entries hold shares of each customer's rate and burst
// that never sum to more than the whole, and a coordinator moves them.
package quota

import "time"

// Bucket is a token bucket from which calls reserve more than they use. It may
// hold less than nothing after a call used more than it had reserved.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	asOf   time.Time
	// unspent is the level if no running call uses anything, overflow the
	// total that did not fit below the burst at that level. What a call gives
	// back after such an overflow would exceed the burst, had it never been
	// reserved.
	unspent  float64
	overflow float64
}

// NewBucket returns a bucket that holds tokens at a time.
func NewBucket(now time.Time, rate, burst, tokens float64) *Bucket {
	return &Bucket{
		rate:   rate,
		burst:  burst,
		tokens: min(tokens, burst),
		asOf:   now,

		unspent: min(tokens, burst),
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

// Mark returns what Settle needs to know of the time of a reservation.
func (b *Bucket) Mark(now time.Time) float64 {
	b.fill(now)
	return b.overflow
}

// Settle ends a reservation. What was not used comes back unless the bucket
// would have overflowed meanwhile without the reservation; what was used beyond
// it is taken, below zero if need be.
func (b *Bucket) Settle(now time.Time, mark, reserved, used float64) {
	b.fill(now)
	lost := b.overflow - mark
	b.unspent -= max(0, used-lost)
	rest := reserved - used
	if rest > 0 {
		rest = max(0, rest-lost)
	}
	b.tokens = min(b.burst, b.tokens+rest)
	b.unspent = max(b.unspent, b.tokens)
}

// Move adds tokens that came with a part of a share, or takes some.
func (b *Bucket) Move(now time.Time, tokens float64) {
	b.fill(now)
	b.add(tokens)
}

// add changes both levels; neither exceeds the burst.
func (b *Bucket) add(tokens float64) {
	b.tokens = min(b.burst, b.tokens+tokens)
	b.unspent = max(b.unspent+tokens, b.tokens)
	if extra := b.unspent - b.burst; extra > 0 {
		b.overflow += extra
		b.unspent = b.burst
	}
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
	b.add(0)
}

// fill adds what the rate brought since the last call. A clock that goes back
// adds nothing.
func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.asOf); elapsed > 0 {
		b.add(b.rate * elapsed.Seconds())
		b.asOf = now
	}
}
