package stock

import (
	"math"
	"time"
)

const (
	fastDemand = 1500 * time.Millisecond
	slowDemand = 8 * time.Second
	// idleDemand is the rate below which a model counts as not asked for.
	idleDemand = 0.002
)

// demand is the work that requests for a model bring, as two averages.
type demand struct {
	fast float64
	slow float64
	at   time.Time
	// lastAt is when the model was last asked for.
	lastAt time.Time
}

// add takes the work, in seconds of an engine's time, of new requests.
func (d *demand) add(now time.Time, work time.Duration) {
	d.fade(now)
	d.lastAt = now
	d.fast += work.Seconds() / fastDemand.Seconds()
	d.slow += work.Seconds() / slowDemand.Seconds()
}

func (d *demand) fade(now time.Time) {
	if passed := now.Sub(d.at); passed > 0 && !d.at.IsZero() {
		d.fast *= math.Exp(-passed.Seconds() / fastDemand.Seconds())
		d.slow *= math.Exp(-passed.Seconds() / slowDemand.Seconds())
	}
	d.at = now
}

// rate returns seconds of work for each second.
func (d *demand) rate(now time.Time) float64 {
	d.fade(now)
	return max(d.fast, d.slow)
}
