package pick

import "time"

// DecodeTime estimates how long a request of a model holds its place in the batch of an
// engine after its first event. The zero value has no observations.
type DecodeTime struct {
	value time.Duration
}

const (
	// decodeRise and decodeFall are the weights of an observation above and below the
	// estimate. Prompts that the engine processes meanwhile lengthen what is observed, so
	// the estimate follows shorter times sooner.
	decodeRise = 0.02
	decodeFall = 0.1
)

// Observe records the time from the first event of a complete response to its end.
func (d *DecodeTime) Observe(observed time.Duration) {
	if d.value == 0 {
		d.value = observed
		return
	}
	weight := decodeRise
	if observed < d.value {
		weight = decodeFall
	}
	d.value += time.Duration(weight * float64(observed-d.value))
}

// EngineShare returns the part of an engine's time that a request takes after its first
// event, at an engine that runs as many requests as it has slots. It is 0 without any
// observation.
func (d *DecodeTime) EngineShare(slots int) time.Duration {
	return d.value / time.Duration(max(slots, 1))
}
