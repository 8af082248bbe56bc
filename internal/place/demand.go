package place

import (
	"math"
	"time"
)

// Demand averages the tokens that were asked for, over a short and a long time.
type Demand struct {
	fast, slow time.Duration
	rates      map[Copy]*rate
	at         time.Time
}

// rate is the demand for one model or adapter in tokens a second.
type rate struct {
	pending    float64
	fast, slow float64
}

// NewDemand returns averages with the time constants fast and slow.
func NewDemand(fast, slow time.Duration) *Demand {
	return &Demand{
		fast:  fast,
		slow:  slow,
		rates: make(map[Copy]*rate),
	}
}

// Offer counts the tokens of a call, whether it was served or not.
func (d *Demand) Offer(model, adapter string, tokens float64) {
	key := Copy{
		Model:   model,
		Adapter: adapter,
	}
	r := d.rates[key]
	if r == nil {
		r = &rate{}
		d.rates[key] = r
	}
	r.pending += tokens
}

// Advance closes the period since the last call.
func (d *Demand) Advance(now time.Time) {
	period := now.Sub(d.at)
	first := d.at.IsZero()
	d.at = now
	if first || period <= 0 {
		return
	}
	fast := 1 - math.Exp(-period.Seconds()/d.fast.Seconds())
	slow := 1 - math.Exp(-period.Seconds()/d.slow.Seconds())
	for _, r := range d.rates {
		present := r.pending / period.Seconds()
		r.pending = 0
		r.fast += fast * (present - r.fast)
		r.slow += slow * (present - r.slow)
	}
}

// Rate returns the demand to plan for: it rises with the fast average and
// falls with the slow one.
func (d *Demand) Rate(model, adapter string) float64 {
	r := d.rates[Copy{
		Model:   model,
		Adapter: adapter,
	}]
	if r == nil {
		return 0
	}
	return max(r.fast, r.slow)
}
