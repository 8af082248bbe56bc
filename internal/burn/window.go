// Package burn measures how fast services spend their error budgets. It counts
// offered calls and those that attained their target over sliding windows, and
// reports burn rates.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Windows lists the sliding windows, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	bucketDuration = 30 * time.Second
	bucketCount    = int(6 * time.Hour / bucketDuration)
)

// Series identifies the service and customer that calls are counted for.
type Series struct {
	Service  string
	Customer string
}

// Count is the number of calls offered and how many of them attained the target.
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

// Attainment returns the share of calls that attained the target, or 1 if there
// were no calls.
func (c Count) Attainment() float64 {
	if c.Offered == 0 {
		return 1
	}
	return c.Attained / c.Offered
}

// bucket counts the calls of one interval of length bucketDuration, identified by
// its number since the epoch.
type bucket struct {
	number   int64
	attained uint32
	offered  uint32
}

// Tracker counts calls over the sliding windows. It is safe for concurrent use.
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

// Sum returns the count of a series over the window that ends at now.
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
	var series []Series
	for s := range t.series {
		series = append(series, s)
	}
	slices.SortFunc(series, compareSeries)
	return series
}

// compareSeries orders series by service and customer.
func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
}

// bucketNumber returns the number of the bucket that contains t, counted from the
// epoch.
func bucketNumber(t time.Time) int64 { return t.UnixNano() / int64(bucketDuration) }
