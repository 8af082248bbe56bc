package rate

import (
	"maps"
	"slices"
	"time"
)

// Allotment splits a fraction of every customer's rate among the entries. The shares
// that may be in use never add up to more than that fraction, although an entry may
// go on using an older, larger share for as long as its confirmation is valid.
type Allotment struct {
	// total is the fraction of the rate that is split.
	total float64
	// lifetime is how long an entry may go on using a share that was replaced.
	lifetime time.Duration
	shares   map[string]float64
	// expiring holds the parts of shares that entries have lost but may still use.
	expiring []expiringShare
}

// expiringShare is a part of a share that is no longer used from a point in time on.
type expiringShare struct {
	share float64
	// previous is the share of which it was a part.
	previous  float64
	expiresAt time.Time
}

// NewAllotment returns an allotment that starts from the shares of an earlier one.
func NewAllotment(total float64, lifetime time.Duration, shares map[string]float64) *Allotment {
	return &Allotment{
		total:    total,
		lifetime: lifetime,
		shares:   maps.Clone(shares),
	}
}

// Update moves the shares towards equal ones for the entries on the given hosts and
// returns the new shares by host. What an entry loses is given to others only after
// the lifetime of its share.
func (a *Allotment) Update(now time.Time, hosts []string) map[string]float64 {
	a.expiring = slices.DeleteFunc(a.expiring, func(e expiringShare) bool { return !now.Before(e.expiresAt) })
	target := 0.0
	if len(hosts) > 0 {
		target = a.total / float64(len(hosts))
	}
	next := make(map[string]float64, len(hosts))
	for _, h := range hosts {
		next[h] = min(a.shares[h], target)
	}
	for _, h := range slices.Sorted(maps.Keys(a.shares)) {
		if reduction := a.shares[h] - next[h]; reduction > 0 {
			a.expiring = append(a.expiring, expiringShare{
				share:     reduction,
				previous:  a.shares[h],
				expiresAt: now.Add(a.lifetime),
			})
		}
	}
	unassigned := a.total
	for _, e := range a.expiring {
		unassigned -= e.share
	}
	for _, h := range hosts {
		unassigned -= next[h]
	}
	for _, h := range hosts {
		increase := max(0, min(target-next[h], unassigned))
		next[h] += increase
		unassigned -= increase
	}
	a.shares = next
	return maps.Clone(next)
}

// LargestInUse returns the largest share that any entry may be using.
func (a *Allotment) LargestInUse(now time.Time) float64 {
	largest := 0.0
	for _, share := range a.shares {
		largest = max(largest, share)
	}
	for _, e := range a.expiring {
		if now.Before(e.expiresAt) {
			largest = max(largest, e.previous)
		}
	}
	return largest
}
