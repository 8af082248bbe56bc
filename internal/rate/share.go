package rate

import (
	"maps"
	"slices"
	"time"
)

// Allot splits a part of every customer's rate among the entries. It never lets
// the shares that may be in use add up to more than that part: an entry may go
// on using an older, larger share for as long as its proof of it lasts.
type Allot struct {
	// total is the part of the rate that is split.
	total float64
	// lifetime is how long an entry may use a share after it was replaced.
	lifetime time.Duration
	shares   map[string]float64
	// lapsing holds what was taken from entries that may still use it.
	lapsing []lapse
}

// lapse is a part of a share that nobody uses any more at a point in time.
type lapse struct {
	share float64
	// whole is the share of which it was a part.
	whole float64
	at    time.Time
}

// NewAllot returns an allotment that starts from the shares of a predecessor.
func NewAllot(total float64, lifetime time.Duration, shares map[string]float64) *Allot {
	return &Allot{
		total:    total,
		lifetime: lifetime,
		shares:   maps.Clone(shares),
	}
}

// Update moves the shares towards equal parts for the given entries and returns
// the new ones. What an entry loses is given to others only after lifetime.
func (a *Allot) Update(now time.Time, hosts []string) map[string]float64 {
	a.lapsing = slices.DeleteFunc(a.lapsing, func(l lapse) bool { return !now.Before(l.at) })
	target := 0.0
	if len(hosts) > 0 {
		target = a.total / float64(len(hosts))
	}
	next := make(map[string]float64, len(hosts))
	for _, h := range hosts {
		next[h] = min(a.shares[h], target)
	}
	for _, h := range slices.Sorted(maps.Keys(a.shares)) {
		if lost := a.shares[h] - next[h]; lost > 0 {
			a.lapsing = append(a.lapsing, lapse{
				share: lost,
				whole: a.shares[h],
				at:    now.Add(a.lifetime),
			})
		}
	}
	free := a.total
	for _, l := range a.lapsing {
		free -= l.share
	}
	for _, h := range hosts {
		free -= next[h]
	}
	for _, h := range hosts {
		gain := max(0, min(target-next[h], free))
		next[h] += gain
		free -= gain
	}
	a.shares = next
	return maps.Clone(next)
}

// Largest returns the largest share that any entry may be using.
func (a *Allot) Largest(now time.Time) float64 {
	largest := 0.0
	for _, share := range a.shares {
		largest = max(largest, share)
	}
	for _, l := range a.lapsing {
		if now.Before(l.at) {
			largest = max(largest, l.whole)
		}
	}
	return largest
}
