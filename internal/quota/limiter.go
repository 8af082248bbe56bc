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

// Configure takes over the customers' rates and bursts. A new customer starts
// with a full bucket.
func (l *Limiter) Configure(now time.Time, customers map[string]config.Customer) {
	for name, c := range customers {
		rate, burst := l.share*c.RatePerSecond, l.share*c.BurstTokens
		if b, known := l.buckets[name]; known {
			b.Resize(now, rate, burst)
			continue
		}
		l.buckets[name] = NewBucket(now, rate, burst, burst)
	}
	for name := range l.buckets {
		if _, known := customers[name]; !known {
			delete(l.buckets, name)
		}
	}
}

// Reserve takes tokens from a customer's share. If there are too few it
// returns when to ask again, zero if never.
func (l *Limiter) Reserve(now time.Time, customer string, tokens float64) (wait time.Duration, ok bool) {
	b, known := l.buckets[customer]
	if !known {
		return 0, false
	}
	return b.Take(now, tokens)
}

// Settle gives back what a reservation did not use.
func (l *Limiter) Settle(now time.Time, customer string, reserved, used float64) {
	if b, known := l.buckets[customer]; known && used < reserved {
		b.Put(now, reserved-used)
	}
}
