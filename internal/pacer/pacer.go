// Package pacer spaces the prompts that one engine is given. An engine reads
// prompts between the events of the streams that it runs, so prompts that come
// one right after the other make all of them pause.
package pacer

import "time"

// Schedule is the timeline of the prompts given to one engine. The zero value is
// free.
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

// Reserve adds a prompt that takes the engine some time to read, and returns when
// to send it. share is the part of its time that the engine may read prompts.
func (s *Schedule) Reserve(now time.Time, prefill time.Duration, share float64) time.Time {
	start := s.NextStart(now)
	s.freeAt = start.Add(time.Duration(float64(prefill) / share))
	return start
}

const (
	initialShare = 0.85
	minShare     = 0.65
	maxShare     = 1.0
	// shareDecrease is by how much the share falls when streams pause, shareGain by
	// how much it rises when none does.
	shareDecrease = 0.05
	shareIncrease = 0.02
	// maxPausedFraction is the part of the streams that may pause too long.
	maxPausedFraction = 0.03
	// minStreams is how many streams must have ended to judge by.
	minStreams = 20
	// adjustInterval is the time between two changes of the share.
	adjustInterval = time.Second
)

// PrefillShare is the largest part of their time that engines may read prompts without
// making their streams pause too long, found by the pauses that were seen.
type PrefillShare struct {
	value      float64
	adjustedAt time.Time
	streams    int
	paused     int
}

// NewPrefillShare returns a share of engines of which no stream was seen.
func NewPrefillShare() *PrefillShare { return &PrefillShare{value: initialShare} }

// Observe counts streams that have ended, and those with too long a pause.
func (s *PrefillShare) Observe(streams, paused int) {
	s.streams += streams
	s.paused += paused
}

// Value returns the share, changed by what was seen since the last change.
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

// EngineSpeed is how fast an engine reads prompts, against the mean of its model's
// engines. The zero value is that of an engine not observed yet.
type EngineSpeed struct {
	expected float64
	observed float64
}

const (
	// speedPriorSeconds is the reading time, in seconds, that an engine of mean speed is
	// taken to have been seen for.
	speedPriorSeconds = 0.3
	// speedWindowSeconds bounds, in seconds, the reading time that counts.
	speedWindowSeconds = 4.0
	minFactor          = 0.5
	maxFactor          = 4.0
)

// Observe takes the time that prompts were expected to take, and took, while the
// engine read nothing else.
func (s *EngineSpeed) Observe(expected, observed time.Duration) {
	s.expected += expected.Seconds()
	s.observed += observed.Seconds()
	if s.expected > speedWindowSeconds {
		s.observed *= speedWindowSeconds / s.expected
		s.expected = speedWindowSeconds
	}
}

// Factor returns by how much longer than expected the engine takes.
func (s *EngineSpeed) Factor() float64 {
	factor := (s.observed + speedPriorSeconds) / (s.expected + speedPriorSeconds)
	return min(max(factor, minFactor), maxFactor)
}
