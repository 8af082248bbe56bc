package stock

import (
	"math"
	"time"
)

// The time constants of the two averages of demand.
const (
	fastTimeConstant = 1500 * time.Millisecond
	slowTimeConstant = 8 * time.Second
	// idleDemandRate is the rate below which a model counts as unused.
	idleDemandRate = 0.002
)

// demand tracks the rate of work from requests for a model as two exponentially
// decaying averages, and the rate of the requests as one.
type demand struct {
	fast      float64
	slow      float64
	requests  float64
	updatedAt time.Time
	// lastRequestAt is the time of the last request for the model.
	lastRequestAt time.Time
}

// add records new requests and their work, measured in engine time.
func (d *demand) add(now time.Time, requests int, work time.Duration) {
	d.decay(now)
	d.lastRequestAt = now
	d.fast += work.Seconds() / fastTimeConstant.Seconds()
	d.slow += work.Seconds() / slowTimeConstant.Seconds()
	d.requests += float64(requests) / slowTimeConstant.Seconds()
}

// decay brings the averages forward to now.
func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 && !d.updatedAt.IsZero() {
		slowFactor := math.Exp(-elapsed.Seconds() / slowTimeConstant.Seconds())
		d.fast *= math.Exp(-elapsed.Seconds() / fastTimeConstant.Seconds())
		d.slow *= slowFactor
		d.requests *= slowFactor
	}
	d.updatedAt = now
}

// rate returns the demand in seconds of engine time per second, which is the
// larger of the two averages.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return max(d.fast, d.slow)
}

// requestRate returns the number of new requests per second.
func (d *demand) requestRate(now time.Time) float64 {
	d.decay(now)
	return d.requests
}
