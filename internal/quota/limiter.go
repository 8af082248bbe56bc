package quota

import (
	"time"

	"dogwoodfold/pkg/config"
)

// FixedLimiter holds this entry's share of each customer's rate and burst.
type FixedLimiter struct {
	fraction float64
	buckets  map[string]*Bucket
}

// NewFixedLimiter returns a limiter with a fixed share, from 0 to 1, of every
// customer's rate and burst.
func NewFixedLimiter(fraction float64) *FixedLimiter {
	return &FixedLimiter{
		fraction: fraction,
		buckets:  make(map[string]*Bucket),
	}
}

// CustomerLimits returns the limits of a text's customers.
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

// SetLimits takes over the customers' limits. A new customer starts with a full
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

// Reserve takes tokens from a customer's share. If there are too few it
// returns when to ask again, zero if never.
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

// Settle ends a reservation, of which less or more was used.
func (l *FixedLimiter) Settle(now time.Time, customer string, reservation Reservation, used float64) {
	if b, known := l.buckets[customer]; known {
		b.Settle(now, reservation.logRefundScale, reservation.Tokens, used)
	}
}
