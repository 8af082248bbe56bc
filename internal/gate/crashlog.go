package gate

import (
	"time"

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
	message := poison.Encode(now, changes)
	if len(c.crashes.endedTrials) > 0 {
		if message == nil {
			message = &wirepb.GatePoison{}
		}
		message.EndedTrials = poison.EncodeParts(c.crashes.endedTrials)
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
	merged := c.crashes.log.Merge(now, poison.Decode(now, message))
	c.crashes.log.Assess(now)
	if known != before {
		return known // some changes of this entry's own are still to be sent
	}
	return merged
}

// applyReportedPoison merges what a peer has reported to the leader, and tells the
// others soon of new crashes and of answers to suspect prompts.
func (c *Core) applyReportedPoison(now time.Time, peer *peer, message *wirepb.GatePoison) {
	c.crashes.endTrials(poison.DecodeParts(message.GetEndedTrials()))
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
