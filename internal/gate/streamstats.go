package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// streamStats are measurements of the streams of one endpoint.
type streamStats struct {
	ended  int
	paused int
	// expectedPrefill is the sum of the predicted prefill times and
	// measuredPrefill the sum of the measured ones, for prompts during which
	// the endpoint had no other prefill.
	expectedPrefill time.Duration
	measuredPrefill time.Duration
}

// recordStream counts a stream that has ended at an endpoint, and whether its
// longest gap exceeded the objective.
func (c *Core) recordStream(call *activeCall, ep *endpoint, maxGap time.Duration) {
	if call.route.Kind != topo.Stream || call.route.GapObjective <= 0 {
		return
	}
	stats := streamStats{ended: 1}
	if maxGap > call.route.GapObjective {
		stats.paused = 1
	}
	c.recordStreamStats(ep, stats)
}

// recordPrefill records the prefill time of a prompt that the endpoint ran with
// no other prefill queued.
func (c *Core) recordPrefill(call *activeCall, elapsed time.Duration) {
	if call.assignment.stage != stageAssigned || !call.endpointIdle || call.uncachedTokens < pick.MinSampleTokens {
		return
	}
	c.recordStreamStats(call.endpoint, streamStats{
		expectedPrefill: c.prefillRate(call.service, call.request.Model).PrefillTime(call.uncachedTokens),
		measuredPrefill: max(elapsed-pick.FirstByteOverhead, 0),
	})
}

// recordStreamStats applies the statistics of an endpoint if this entry leads,
// and otherwise adds them to the next report.
func (c *Core) recordStreamStats(ep *endpoint, stats streamStats) {
	if c.leader != nil {
		c.applyStreamStats(ep, stats)
		return
	}
	c.assignments.streamStats[ep.ID] = c.assignments.streamStats[ep.ID].add(stats)
}

func (s streamStats) add(other streamStats) streamStats {
	return streamStats{
		ended:           s.ended + other.ended,
		paused:          s.paused + other.paused,
		expectedPrefill: s.expectedPrefill + other.expectedPrefill,
		measuredPrefill: s.measuredPrefill + other.measuredPrefill,
	}
}

func decodeStreamStats(stats *wirepb.GateStreams) streamStats {
	return streamStats{
		ended:           int(stats.GetEnded()),
		paused:          int(stats.GetPaused()),
		expectedPrefill: time.Duration(stats.GetExpectedUs()) * time.Microsecond,
		measuredPrefill: time.Duration(stats.GetSeenUs()) * time.Microsecond,
	}
}

// drainStreamStats returns and resets the statistics since the last report.
func (a *assignmentClient) drainStreamStats() []*wirepb.GateStreams {
	var out []*wirepb.GateStreams
	for _, id := range slices.Sorted(maps.Keys(a.streamStats)) {
		stats := a.streamStats[id]
		out = append(out, &wirepb.GateStreams{
			Endpoint:   id,
			Ended:      uint32(stats.ended),
			Paused:     uint32(stats.paused),
			ExpectedUs: uint64(stats.expectedPrefill.Microseconds()),
			SeenUs:     uint64(stats.measuredPrefill.Microseconds()),
		})
	}
	clear(a.streamStats)
	return out
}
