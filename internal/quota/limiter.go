package quota

import (
	"time"

	"dogwoodfold/pkg/config"
)

// FixedLimiter limits customers to a fixed fraction of their rates and bursts.
type FixedLimiter struct {
	fraction float64
	buckets  map[string]*Bucket
}

// NewFixedLimiter returns a limiter with a fraction, from 0 to 1, of every
// customer's rate and burst.
func NewFixedLimiter(fraction float64) *FixedLimiter {
	return &FixedLimiter{
		fraction: fraction,
		buckets:  make(map[string]*Bucket),
	}
}

// CustomerLimits returns the limits of the configured customers.
func CustomerLimits(customers map[string]config.Customer) map[string]Limit {
	limits := make(map[string]Limit)
	for name, c := range customers {
		limits[name] = Limit{
			Rate:  c.RatePerSecond,
			Burst: c.BurstTokens,
		}
	}
	return limits
}

// SetLimits changes the customers' limits. A new customer starts with a full
// bucket.
func (l *FixedLimiter) SetLimits(now time.Time, limits map[string]Limit) {
	for name, limit := range limits {
		rate, burst := l.fraction*limit.Rate, l.fraction*limit.Burst
		if b, known := l.buckets[name]; known {
			b.Resize(now, rate, burst)
			continue
		}
		l.buckets[name] = NewBucket(now, rate, burst, burst)
	}
	for name := range l.buckets {
		if _, known := limits[name]; !known {
			delete(l.buckets, name)
		}
	}
}

// Reserve reserves tokens for a customer. If there are too few, it returns the
// time after which to retry, zero if a retry can't succeed.
func (l *FixedLimiter) Reserve(now time.Time, customer string, tokens float64) (r Reservation, wait time.Duration, ok bool) {
	b, known := l.buckets[customer]
	if !known {
		return Reservation{}, 0, false
	}
	wait, ok = b.Take(now, tokens)
	return Reservation{
		Tokens:         tokens,
		logRefundScale: b.LogRefundScale(),
	}, wait, ok
}

// Settle ends a reservation, given the tokens that were used, which may be
// fewer or more than were reserved.
func (l *FixedLimiter) Settle(now time.Time, customer string, reservation Reservation, used float64) {
	if b, known := l.buckets[customer]; known {
		b.Settle(now, reservation.logRefundScale, reservation.Tokens, used)
	}
}
