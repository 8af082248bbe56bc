// Package quota decides how many tokens each customer may spend. Each
// customer's quota, its rate and burst, is divided into shares that entries
// hold. A coordinator moves shares between entries; together they never exceed
// the whole quota.
package quota

import (
	"math"
	"time"
)

// exhaustedLogScale is subtracted from logRefundScale to reduce the refunds of
// all running calls to zero.
const exhaustedLogScale = 1e3

// Bucket is a token bucket from which calls reserve more tokens than they use.
// Its level can fall below zero when a call uses more than it had reserved.
type Bucket struct {
	rate      float64
	burst     float64
	tokens    float64
	updatedAt time.Time
	// refundable is what running calls may still return. Tokens and refundable
	// together never exceed the burst; otherwise a call that ends after the
	// bucket has refilled would raise the level above the burst. Any excess
	// reduces the refunds of all running calls in proportion, and
	// logRefundScale is the logarithm of the cumulative factor.
	refundable     float64
	logRefundScale float64
}

// NewBucket returns a bucket that holds the given tokens, at most the burst.
func NewBucket(now time.Time, rate, burst, tokens float64) *Bucket {
	return &Bucket{
		rate:      rate,
		burst:     burst,
		tokens:    min(tokens, burst),
		updatedAt: now,
	}
}

// Take removes tokens if the bucket holds enough. Otherwise it returns the time
// until it does, zero if it never will.
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

// LogRefundScale returns the current refund scale, which must be passed to
// Settle for a reservation made now.
func (b *Bucket) LogRefundScale() float64 { return b.logRefundScale }

// Settle ends a reservation that was made at the refund scale logScale. Unused
// tokens are returned up to what is still refundable for the call; tokens used
// beyond the reservation are deducted, below zero if necessary.
func (b *Bucket) Settle(now time.Time, logScale, reserved, used float64) {
	b.refill(now)
	refundable := reserved * math.Exp(b.logRefundScale-logScale)
	b.refundable = max(0, b.refundable-refundable)
	b.add(max(0, refundable-used) - max(0, used-reserved))
}

// Adjust adds the tokens of a transferred share, or removes them if negative.
func (b *Bucket) Adjust(now time.Time, tokens float64) {
	b.refill(now)
	b.add(tokens)
}

// add changes the level and reduces the refundable tokens by any excess over
// the burst.
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

// Tokens returns the level of the bucket.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Resize changes rate and burst. A lower burst reduces the level at once; a
// higher one adds no tokens.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.add(0)
}

// refill adds the tokens accrued since the last update. A clock that goes
// backwards adds none.
func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.add(b.rate * elapsed.Seconds())
		b.updatedAt = now
	}
}
