// Package quota decides how many tokens each customer may spend. The right to
// spend is conserved: entries hold shares of each customer's rate and burst
// that never sum to more than the whole, and a coordinator moves them.
package quota

import (
	"math"
	"time"
)

// lostDecay is a decay that leaves nothing of a credit.
const lostDecay = 1e3

// Bucket is a token bucket from which calls reserve more than they use. It may
// hold less than nothing after a call used more than it had reserved.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	asOf   time.Time
	// credit is what running calls may still give back. Tokens and credit
	// together never exceed the burst: what does not fit is taken from the
	// credit of all running calls in proportion, of which decay is the
	// logarithm. Else a call that ends after the bucket has filled again
	// would bring more than the burst.
	credit float64
	decay  float64
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
		b.credit += tokens
		return 0, true
	}
	if tokens > b.burst || b.rate <= 0 {
		return 0, false
	}
	return time.Duration((tokens - b.tokens) / b.rate * float64(time.Second)), false
}

// Mark returns what Settle needs to know of the time of a reservation.
func (b *Bucket) Mark() float64 { return b.decay }

// Settle ends a reservation. What was not used comes back as far as the call
// has credit left; what was used beyond the reservation is taken, below zero if
// need be.
func (b *Bucket) Settle(now time.Time, mark, reserved, used float64) {
	b.fill(now)
	credit := reserved * math.Exp(b.decay-mark)
	b.credit = max(0, b.credit-credit)
	b.add(max(0, credit-used) - max(0, used-reserved))
}

// Move adds tokens that came with a part of a share, or takes some.
func (b *Bucket) Move(now time.Time, tokens float64) {
	b.fill(now)
	b.add(tokens)
}

// add changes the tokens and takes from the credit what does not fit.
func (b *Bucket) add(tokens float64) {
	b.tokens = min(b.burst, b.tokens+tokens)
	extra := b.tokens + b.credit - b.burst
	switch {
	case extra <= 0 || b.credit == 0:
	case extra >= b.credit:
		b.decay -= lostDecay
		b.credit = 0
	default:
		b.decay += math.Log1p(-extra / b.credit)
		b.credit -= extra
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
