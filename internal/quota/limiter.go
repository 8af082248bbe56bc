package quota

import (
	"time"

	"dogwoodfold/pkg/config"
)

// Limiter holds this entry's share of each customer's rate and burst.
type Limiter struct {
	share   float64
	buckets map[string]*Bucket
}

// NewLimiter returns a limiter with a fixed share, from 0 to 1, of every
// customer's rate and burst.
func NewLimiter(share float64) *Limiter {
	return &Limiter{
		share:   share,
		buckets: make(map[string]*Bucket),
	}
}

// Limits returns the limits of a text's customers.
func Limits(customers map[string]config.Customer) map[string]Limit {
	limits := make(map[string]Limit)
	for name, c := range customers {
		limits[name] = Limit{
			Rate:  c.RatePerSecond,
			Burst: c.BurstTokens,
		}
	}
	return limits
}

// Configure takes over the customers' limits. A new customer starts with a full
// bucket.
func (l *Limiter) Configure(now time.Time, limits map[string]Limit) {
	for name, limit := range limits {
		rate, burst := l.share*limit.Rate, l.share*limit.Burst
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
func (l *Limiter) Reserve(now time.Time, customer string, tokens float64) (hold Hold, wait time.Duration, ok bool) {
	b, known := l.buckets[customer]
	if !known {
		return Hold{}, 0, false
	}
	wait, ok = b.Take(now, tokens)
	return Hold{
		Tokens: tokens,
		mark:   b.Mark(),
	}, wait, ok
}

// Settle ends a reservation, of which less or more was used.
func (l *Limiter) Settle(now time.Time, customer string, hold Hold, used float64) {
	if b, known := l.buckets[customer]; known {
		b.Settle(now, hold.mark, hold.Tokens, used)
	}
}
