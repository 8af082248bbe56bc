package rate

import "time"

// Pace spaces events so that they keep to a rate. The zero value lets the first one
// through at once.
type Pace struct {
	nextAt time.Time
}

// Next returns when the next event may happen.
func (p *Pace) Next(now time.Time) time.Time {
	if p.nextAt.After(now) {
		return p.nextAt
	}
	return now
}

// Reserve adds an event at the next possible time, which it returns.
func (p *Pace) Reserve(now time.Time, perSecond float64) time.Time {
	start := p.Next(now)
	p.nextAt = start.Add(Interval(perSecond))
	return start
}

// Restart puts the next event off by one interval, as if one had just happened.
func (p *Pace) Restart(now time.Time, perSecond float64) { p.nextAt = now.Add(Interval(perSecond)) }

// Interval returns the time between two events of a rate.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
