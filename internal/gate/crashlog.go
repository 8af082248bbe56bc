package gate

import (
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
)

// drainPoison returns what the leader has not been told of crashes and quarantines.
func (c *Core) drainPoison(now time.Time) *wirepb.GatePoison {
	f := &c.follower
	if f.newLeader {
		f.poisonReported = 0
	}
	changes := c.crashes.log.Since(f.poisonReported)
	f.poisonReported = c.crashes.log.Revision()
	message := encodePoison(now, changes)
	if len(c.crashes.endedTrials) > 0 {
		if message == nil {
			message = &wirepb.GatePoison{}
		}
		message.EndedTrials = encodeParts(c.crashes.endedTrials)
		c.crashes.endedTrials = nil
	}
	return message
}

// mergePoison adds what another entry knows. known is the revision of this entry's log
// that the other one knows; mergePoison returns the one that it knows afterwards.
func (c *Core) mergePoison(now time.Time, message *wirepb.GatePoison, known uint64) uint64 {
	if message == nil {
		return known
	}
	before := c.crashes.log.Revision()
	merged := c.crashes.log.Merge(now, decodePoison(now, message))
	c.crashes.log.Assess(now)
	if known != before {
		return known // some changes of this entry's own are still to be sent
	}
	return merged
}

// applyReportedPoison merges what a peer has reported to the leader, and tells the
// others soon of new crashes and of answers to suspect prompts.
func (c *Core) applyReportedPoison(now time.Time, peer *peer, message *wirepb.GatePoison) {
	for _, p := range decodeParts(message.GetEndedTrials()) {
		delete(c.leader.trials, p)
	}
	before := c.crashes.log.Revision()
	suspects := c.crashes.log.Suspects()
	peer.poisonSent = c.mergePoison(now, message, peer.poisonSent)
	if c.crashes.log.Revision() == before {
		return
	}
	urgent := len(message.GetCrashes()) > 0 || len(message.GetQuarantines()) > 0
	for _, answer := range message.GetAnswers() {
		urgent = urgent || suspects[poison.Part(answer.GetPart())]
	}
	c.leader.spreadSoon = c.leader.spreadSoon || urgent
}

func encodePoison(now time.Time, changes poison.Changes) *wirepb.GatePoison {
	if changes.Empty() {
		return nil
	}
	out := &wirepb.GatePoison{}
	for _, crash := range changes.Crashes {
		out.Crashes = append(out.Crashes, &wirepb.GateCrash{
			Endpoint: crash.Engine,
			Born:     crash.Incarnation,
			AgeUs:    ageMicroseconds(now, crash.At),
			Parts:    encodeParts(crash.Parts),
		})
	}
	for _, answer := range changes.Answers {
		out.Answers = append(out.Answers, &wirepb.GateAnswer{
			Part:  uint64(answer.Part),
			AgeUs: ageMicroseconds(now, answer.At),
		})
	}
	for _, q := range changes.Quarantines {
		out.Quarantines = append(out.Quarantines, &wirepb.GateQuarantine{
			Part:        uint64(q.Part),
			RemainingUs: q.Until.Sub(now).Microseconds(),
			DurationUs:  uint64(q.Duration.Microseconds()),
		})
	}
	return out
}

func decodePoison(now time.Time, message *wirepb.GatePoison) poison.Changes {
	var out poison.Changes
	for _, crash := range message.GetCrashes() {
		out.Crashes = append(out.Crashes, poison.Crash{
			Run: poison.Run{
				Engine:      crash.GetEndpoint(),
				Incarnation: crash.GetBorn(),
			},
			At:    now.Add(-microseconds(crash.GetAgeUs())),
			Parts: decodeParts(crash.GetParts()),
		})
	}
	for _, answer := range message.GetAnswers() {
		out.Answers = append(out.Answers, poison.Answer{
			Part: poison.Part(answer.GetPart()),
			At:   now.Add(-microseconds(answer.GetAgeUs())),
		})
	}
	for _, q := range message.GetQuarantines() {
		out.Quarantines = append(out.Quarantines, poison.Quarantine{
			Part:     poison.Part(q.GetPart()),
			Until:    now.Add(time.Duration(q.GetRemainingUs()) * time.Microsecond),
			Duration: microseconds(q.GetDurationUs()),
		})
	}
	return out
}

func ageMicroseconds(now, at time.Time) uint64 { return uint64(max(now.Sub(at), 0).Microseconds()) }

func microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }

func encodeParts(parts []poison.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		out = append(out, uint64(p))
	}
	return out
}

func decodeParts(parts []uint64) []poison.Part {
	out := make([]poison.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, poison.Part(p))
	}
	return out
}

// maxRecordedQuarantines bounds the quarantines in a record of the lease.
const maxRecordedQuarantines = 64

// recordedQuarantine returns the quarantines for the next record of the lease, the
// longest ones if there are too many.
func (c *Core) recordedQuarantine(now time.Time) []lease.QuarantinedPart {
	var out []lease.QuarantinedPart
	for _, q := range c.crashes.log.Quarantines() {
		if len(out) == maxRecordedQuarantines {
			break
		}
		out = append(out, lease.QuarantinedPart{
			Part:        uint64(q.Part),
			RemainingMs: q.Until.Sub(now).Milliseconds(),
			DurationMs:  q.Duration.Milliseconds(),
		})
	}
	return out
}

// applyRecordedQuarantine adds the quarantines in a record of the lease.
func (c *Core) applyRecordedQuarantine(now time.Time, recorded []lease.QuarantinedPart) {
	for _, q := range recorded {
		c.crashes.log.AddQuarantine(now, poison.Quarantine{
			Part:     poison.Part(q.Part),
			Until:    now.Add(time.Duration(q.RemainingMs) * time.Millisecond),
			Duration: time.Duration(q.DurationMs) * time.Millisecond,
		})
	}
}
