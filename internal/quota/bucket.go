// Package quota decides how many tokens each customer may spend. The right to
// spend is conserved: entries hold shares of each customer's rate and burst
// that never sum to more than the whole, and a coordinator moves them.
package quota

import (
	"math"
	"time"
)

// exhaustedLogScale is a decay that leaves nothing of a credit.
const exhaustedLogScale = 1e3

// Bucket is a token bucket from which calls reserve more than they use. It may
// hold less than nothing after a call used more than it had reserved.
type Bucket struct {
	rate      float64
	burst     float64
	tokens    float64
	updatedAt time.Time
	// refundable is what running calls may still give back. Tokens and refundable
	// together never exceed the burst: what does not fit is taken from the
	// refundable of all running calls in proportion, of which decay is the
	// logarithm. Else a call that ends after the bucket has filled again
	// would bring more than the burst.
	refundable     float64
	logRefundScale float64
}

// NewBucket returns a bucket that holds tokens at a time.
func NewBucket(now time.Time, rate, burst, tokens float64) *Bucket {
	return &Bucket{
		rate:      rate,
		burst:     burst,
		tokens:    min(tokens, burst),
		updatedAt: now,
	}
}

// Take removes tokens if it holds enough. Otherwise it returns the time after
// which it will, zero if it never will.
func (b *Bucket) Take(now time.Time, tokens float64) (wait time.Duration, ok bool) {
	b.refill(now)
	if tokens <= b.tokens {
		b.tokens -= tokens
		b.refundable += tokens
		return 0, true
	}
	if tokens > b.burst || b.rate <= 0 {
		return 0, false
	}
	return time.Duration((tokens - b.tokens) / b.rate * float64(time.Second)), false
}

// LogRefundScale returns what Settle needs to know of the time of a reservation.
func (b *Bucket) LogRefundScale() float64 { return b.logRefundScale }

// Settle ends a reservation. What was not used comes back as far as the call
// has credit left; what was used beyond the reservation is taken, below zero if
// need be.
func (b *Bucket) Settle(now time.Time, logScale, reserved, used float64) {
	b.refill(now)
	refundable := reserved * math.Exp(b.logRefundScale-logScale)
	b.refundable = max(0, b.refundable-refundable)
	b.add(max(0, refundable-used) - max(0, used-reserved))
}

// Adjust adds tokens that came with a part of a share, or takes some.
func (b *Bucket) Adjust(now time.Time, tokens float64) {
	b.refill(now)
	b.add(tokens)
}

// add changes the tokens and takes from the credit what does not fit.
func (b *Bucket) add(tokens float64) {
	b.tokens = min(b.burst, b.tokens+tokens)
	excess := b.tokens + b.refundable - b.burst
	switch {
	case excess <= 0 || b.refundable == 0:
	case excess >= b.refundable:
		b.logRefundScale -= exhaustedLogScale
		b.refundable = 0
	default:
		b.logRefundScale += math.Log1p(-excess / b.refundable)
		b.refundable -= excess
	}
}

// Tokens returns the tokens that it holds at a time.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Resize changes rate and burst. A lower burst cuts the tokens at once, a
// higher one adds none.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.add(0)
}

// refill adds what the rate brought since the last call. A clock that goes back
// adds nothing.
func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.add(b.rate * elapsed.Seconds())
		b.updatedAt = now
	}
}
