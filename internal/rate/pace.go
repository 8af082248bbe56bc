package rate

import "time"

// Pace spaces events so that they keep to a rate. After a pause, up to burst of them may
// follow each other at once. The zero value has no pause behind it and no burst.
type Pace struct {
	// due is when the next event would be due if they came at equal distances.
	due   time.Time
	burst int
}

// Restart begins anew, as if a burst had just ended.
func (p *Pace) Restart(now time.Time, perSecond float64, burst int) {
	p.burst = burst
	p.due = now.Add(time.Duration(max(burst, 1)) * Interval(perSecond))
}

// Next returns when the next event may happen.
func (p *Pace) Next(now time.Time, perSecond float64) time.Time {
	next := p.due.Add(-time.Duration(max(p.burst-1, 0)) * Interval(perSecond))
	if next.After(now) {
		return next
	}
	return now
}

// Reserve adds an event at the next possible time, which it returns.
func (p *Pace) Reserve(now time.Time, perSecond float64) time.Time {
	start := p.Next(now, perSecond)
	if p.due.Before(start) {
		p.due = start
	}
	p.due = p.due.Add(Interval(perSecond))
	return start
}

// Interval returns the time between two events of a rate.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
