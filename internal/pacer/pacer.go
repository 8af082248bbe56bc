// Package pacer spaces the prompts that are sent to an engine. An engine processes
// prompts between the events of the streams that it runs, so prompts that arrive
// back to back make all of its streams pause.
package pacer

import "time"

// Schedule spaces the prompts that are sent to one engine. The zero value has no
// prompts and is ready to use.
type Schedule struct {
	freeAt time.Time
}

// NextStart returns when the next prompt may be sent.
func (s *Schedule) NextStart(now time.Time) time.Time {
	if s.freeAt.After(now) {
		return s.freeAt
	}
	return now
}

// Reserve adds a prompt with the given prefill time and returns when to send it.
// share is the fraction of its time that the engine may spend on prefill.
func (s *Schedule) Reserve(now time.Time, prefill time.Duration, share float64) time.Time {
	start := s.NextStart(now)
	s.freeAt = start.Add(time.Duration(float64(prefill) / share))
	return start
}

const (
	initialShare = 0.85
	minShare     = 0.65
	maxShare     = 1.0
	// shareDecrease is how much the share falls when too many streams pause,
	// shareIncrease how much it rises when none does.
	shareDecrease = 0.05
	shareIncrease = 0.02
	// maxPausedFraction is the fraction of streams that may pause too long.
	maxPausedFraction = 0.03
	// minStreams is how many streams must have ended before the share changes.
	minStreams = 20
	// adjustInterval is the minimum time between changes of the share.
	adjustInterval = time.Second
)

// PrefillShare is the largest fraction of their time that engines may spend on
// prefill without making their streams pause too long. It is adjusted by the pauses
// that were observed.
type PrefillShare struct {
	value      float64
	adjustedAt time.Time
	streams    int
	paused     int
}

// NewPrefillShare returns the initial share of engines without observed streams.
func NewPrefillShare() *PrefillShare { return &PrefillShare{value: initialShare} }

// Observe counts streams that have ended, and those of them that paused too long.
func (s *PrefillShare) Observe(streams, paused int) {
	s.streams += streams
	s.paused += paused
}

// Value returns the share. It first adjusts the share by the streams observed since
// the last adjustment, if there are enough of them.
func (s *PrefillShare) Value(now time.Time) float64 {
	if s.streams < minStreams || now.Sub(s.adjustedAt) < adjustInterval {
		return s.value
	}
	pausedFraction := float64(s.paused) / float64(s.streams)
	switch {
	case pausedFraction > maxPausedFraction:
		s.value = max(s.value-shareDecrease, minShare)
	case s.paused == 0:
		s.value = min(s.value+shareIncrease, maxShare)
	}
	s.adjustedAt = now
	s.streams, s.paused = 0, 0
	return s.value
}

// EngineSpeed measures how fast an engine processes prompts, compared with the mean
// of the engines of its model. The zero value is that of an engine without
// observations.
type EngineSpeed struct {
	expected float64
	observed float64
}

const (
	// speedPriorSeconds is the prefill time at mean speed, in seconds, that every
	// engine is assumed to have been observed for.
	speedPriorSeconds = 0.3
	// speedWindowSeconds bounds the expected prefill time, in seconds, that counts.
	speedWindowSeconds = 4.0
	minFactor          = 0.5
	maxFactor          = 4.0
)

// Observe records the expected and the observed prefill time of prompts during which
// the engine processed no others.
func (s *EngineSpeed) Observe(expected, observed time.Duration) {
	s.expected += expected.Seconds()
	s.observed += observed.Seconds()
	if s.expected > speedWindowSeconds {
		s.observed *= speedWindowSeconds / s.expected
		s.expected = speedWindowSeconds
	}
}

// Factor returns the factor by which the engine takes longer than expected.
func (s *EngineSpeed) Factor() float64 {
	factor := (s.observed + speedPriorSeconds) / (s.expected + speedPriorSeconds)
	return min(max(factor, minFactor), maxFactor)
}
