// Package pacer spaces the prompts that one engine is given. An engine reads
// prompts between the events of the streams that it runs, so prompts that come
// one right after the other make all of them pause.
package pacer

import "time"

// Schedule is the timeline of the prompts given to one engine. The zero value is
// free.
type Schedule struct {
	free time.Time
}

// Start returns when the next prompt may be sent.
func (s *Schedule) Start(now time.Time) time.Time {
	if s.free.After(now) {
		return s.free
	}
	return now
}

// Reserve adds a prompt that takes the engine some time to read, and returns when
// to send it. share is the part of its time that the engine may read prompts.
func (s *Schedule) Reserve(now time.Time, work time.Duration, share float64) time.Time {
	start := s.Start(now)
	s.free = start.Add(time.Duration(float64(work) / share))
	return start
}

const (
	firstShare = 0.85
	leastShare = 0.65
	mostShare  = 1.0
	// shareStep is by how much the share falls when streams pause, shareGain by
	// how much it rises when none does.
	shareStep = 0.05
	shareGain = 0.02
	// pauseLimit is the part of the streams that may pause too long.
	pauseLimit = 0.03
	// fewestStreams is how many streams must have ended to judge by.
	fewestStreams = 20
	// judgePause is the time between two changes of the share.
	judgePause = time.Second
)

// Share is the largest part of their time that engines may read prompts without
// making their streams pause too long, found by the pauses that were seen.
type Share struct {
	value    float64
	judgedAt time.Time
	streams  int
	paused   int
}

// NewShare returns a share of engines of which no stream was seen.
func NewShare() *Share { return &Share{value: firstShare} }

// Observe counts streams that have ended, and those with too long a pause.
func (s *Share) Observe(streams, paused int) {
	s.streams += streams
	s.paused += paused
}

// Value returns the share, changed by what was seen since the last change.
func (s *Share) Value(now time.Time) float64 {
	if s.streams < fewestStreams || now.Sub(s.judgedAt) < judgePause {
		return s.value
	}
	part := float64(s.paused) / float64(s.streams)
	switch {
	case part > pauseLimit:
		s.value = max(s.value-shareStep, leastShare)
	case s.paused == 0:
		s.value = min(s.value+shareGain, mostShare)
	}
	s.judgedAt = now
	s.streams, s.paused = 0, 0
	return s.value
}

// Speed is how fast an engine reads prompts, against the mean of its model's
// engines. The zero value is that of an engine not observed yet.
type Speed struct {
	expected float64
	seen     float64
}

const (
	// speedPrior is the reading time, in seconds, that an engine of mean speed is
	// taken to have been seen for.
	speedPrior = 0.3
	// speedMemory bounds, in seconds, the reading time that counts.
	speedMemory = 4.0
	leastFactor = 0.5
	mostFactor  = 4.0
)

// Observe takes the time that prompts were expected to take, and took, while the
// engine read nothing else.
func (s *Speed) Observe(expected, seen time.Duration) {
	s.expected += expected.Seconds()
	s.seen += seen.Seconds()
	if s.expected > speedMemory {
		s.seen *= speedMemory / s.expected
		s.expected = speedMemory
	}
}

// Factor returns by how much longer than expected the engine takes.
func (s *Speed) Factor() float64 {
	factor := (s.seen + speedPrior) / (s.expected + speedPrior)
	return min(max(factor, leastFactor), mostFactor)
}
