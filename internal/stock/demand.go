package stock

import (
	"math"
	"time"
)

const (
	fastTimeConstant = 1500 * time.Millisecond
	slowTimeConstant = 8 * time.Second
	// idleDemandRate is the rate below which a model counts as not asked for.
	idleDemandRate = 0.002
)

// demand is the work that requests for a model bring, as two averages.
type demand struct {
	fast      float64
	slow      float64
	updatedAt time.Time
	// lastRequestAt is when the model was last asked for.
	lastRequestAt time.Time
}

// add takes the work, in seconds of an engine's time, of new requests.
func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.lastRequestAt = now
	d.fast += work.Seconds() / fastTimeConstant.Seconds()
	d.slow += work.Seconds() / slowTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 && !d.updatedAt.IsZero() {
		d.fast *= math.Exp(-elapsed.Seconds() / fastTimeConstant.Seconds())
		d.slow *= math.Exp(-elapsed.Seconds() / slowTimeConstant.Seconds())
	}
	d.updatedAt = now
}

// rate returns seconds of work for each second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return max(d.fast, d.slow)
}
