// Package burn measures how fast services spend their error budgets: it counts
// attained and offered calls over sliding windows and reports burn rates.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Windows are the sliding windows, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	bucketDuration = 30 * time.Second
	bucketCount    = int(6 * time.Hour / bucketDuration)
)

// Series names what calls are counted for.
type Series struct {
	Service  string
	Customer string
}

// Count is a number of calls and how many of them attained the target.
type Count struct {
	Attained float64 `json:"attained"`
	Offered  float64 `json:"offered"`
}

// Add returns the sum of two counts.
func (c Count) Add(d Count) Count {
	return Count{
		Attained: c.Attained + d.Attained,
		Offered:  c.Offered + d.Offered,
	}
}

// Attainment returns the share of calls that attained the target, 1 without
// calls.
func (c Count) Attainment() float64 {
	if c.Offered == 0 {
		return 1
	}
	return c.Attained / c.Offered
}

// bucket counts the calls of one bucketLength; slot tells which one.
type bucket struct {
	number   int64
	attained uint32
	offered  uint32
}

// Tracker counts calls over the windows. It may be used from any goroutine.
type Tracker struct {
	mu     sync.Mutex
	series map[Series]*[bucketCount]bucket
}

// NewTracker returns a tracker without calls.
func NewTracker() *Tracker {
	return &Tracker{series: make(map[Series]*[bucketCount]bucket)}
}

// Record counts a call.
func (t *Tracker) Record(now time.Time, s Series, attained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring, ok := t.series[s]
	if !ok {
		ring = new([bucketCount]bucket)
		t.series[s] = ring
	}
	number := bucketNumber(now)
	b := &ring[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.offered++
	if attained {
		b.attained++
	}
}

// Sum returns a series' count over the window that ends now.
func (t *Tracker) Sum(now time.Time, s Series, window time.Duration) Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring, ok := t.series[s]
	if !ok {
		return Count{}
	}
	last := bucketNumber(now)
	first := last - int64(window/bucketDuration) + 1
	var sum Count
	for _, b := range ring {
		if b.number >= first && b.number <= last {
			sum.Attained += float64(b.attained)
			sum.Offered += float64(b.offered)
		}
	}
	return sum
}

// Series returns all series, ordered by service and customer.
func (t *Tracker) Series() []Series {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Series
	for s := range t.series {
		all = append(all, s)
	}
	slices.SortFunc(all, compareSeries)
	return all
}

func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
}

// bucketNumber numbers the buckets since the epoch.
func bucketNumber(t time.Time) int64 { return t.UnixNano() / int64(bucketDuration) }
