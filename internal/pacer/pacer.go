// Package pacer spaces the prompts that one engine is given. An engine reads
// prompts between the events of the streams that it runs, so prompts that come
// one right after the other make all of them pause.
package pacer

import "time"

// Lane is the timeline of the prompts given to one engine. The zero value is
// free.
type Lane struct {
	free time.Time
}

// Start returns when the next prompt may be sent.
func (l *Lane) Start(now time.Time) time.Time {
	if l.free.After(now) {
		return l.free
	}
	return now
}

// Book takes the lane for a prompt that the engine reads in a time, and returns
// when to send it. share is the part of its time that the engine may read.
func (l *Lane) Book(now time.Time, work time.Duration, share float64) time.Time {
	start := l.Start(now)
	l.free = start.Add(time.Duration(float64(work) / share))
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

// Governor finds the largest part of their time that engines may read prompts
// without making their streams pause too long.
type Governor struct {
	share    float64
	judgedAt time.Time
	streams  int
	paused   int
}

// NewGovernor returns a governor that has seen no stream.
func NewGovernor() *Governor { return &Governor{share: firstShare} }

// Observe counts streams that have ended, and those with too long a pause.
func (g *Governor) Observe(streams, paused int) {
	g.streams += streams
	g.paused += paused
}

// Share returns the part of their time that engines may read prompts.
func (g *Governor) Share(now time.Time) float64 {
	if g.streams < fewestStreams || now.Sub(g.judgedAt) < judgePause {
		return g.share
	}
	part := float64(g.paused) / float64(g.streams)
	switch {
	case part > pauseLimit:
		g.share = max(g.share-shareStep, leastShare)
	case g.paused == 0:
		g.share = min(g.share+shareGain, mostShare)
	}
	g.judgedAt = now
	g.streams, g.paused = 0, 0
	return g.share
}
