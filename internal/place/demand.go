package place

import (
	"math"
	"time"
)

// Demand keeps a fast and a slow exponential moving average of the tokens
// requested per second, by model and adapter.
type Demand struct {
	fastTau, slowTau time.Duration
	rates            map[Artifact]*tokenRate
	advancedAt       time.Time
}

// tokenRate is the demand for one model or adapter in tokens per second.
// pendingTokens are those not yet included in the averages.
type tokenRate struct {
	pendingTokens float64
	fast, slow    float64
}

// NewDemand returns averages with the time constants fastTau and slowTau.
func NewDemand(fastTau, slowTau time.Duration) *Demand {
	return &Demand{
		fastTau: fastTau,
		slowTau: slowTau,
		rates:   make(map[Artifact]*tokenRate),
	}
}

// RecordTokens adds the tokens of a call, whether or not the call was served.
func (d *Demand) RecordTokens(model, adapter string, tokens float64) {
	key := Artifact{
		Model:   model,
		Adapter: adapter,
	}
	r := d.rates[key]
	if r == nil {
		r = &tokenRate{}
		d.rates[key] = r
	}
	r.pendingTokens += tokens
}

// Advance updates the averages with the tokens recorded since the last call.
func (d *Demand) Advance(now time.Time) {
	period := now.Sub(d.advancedAt)
	first := d.advancedAt.IsZero()
	d.advancedAt = now
	if first || period <= 0 {
		return
	}
	fastWeight := 1 - math.Exp(-period.Seconds()/d.fastTau.Seconds())
	slowWeight := 1 - math.Exp(-period.Seconds()/d.slowTau.Seconds())
	for _, r := range d.rates {
		observed := r.pendingTokens / period.Seconds()
		r.pendingTokens = 0
		r.fast += fastWeight * (observed - r.fast)
		r.slow += slowWeight * (observed - r.slow)
	}
}

// Rate returns the demand to plan for, in tokens per second. It is the larger
// of the two averages, so that it rises with the fast one and falls with the
// slow one.
func (d *Demand) Rate(model, adapter string) float64 {
	r := d.rates[Artifact{
		Model:   model,
		Adapter: adapter,
	}]
	if r == nil {
		return 0
	}
	return max(r.fast, r.slow)
}
