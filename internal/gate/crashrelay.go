package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
)

// relayReport tells of the crashes in a report that reached an entry which doesn't lead.
// While the store is down nobody does, but the sessions with the entry that led remain.
// The answer, which may tell nothing, keeps the session.
func (c *Core) relayReport(now time.Time, host string, peer *peer, report *wirepb.GateReport) {
	c.crashes.endTrials(poison.DecodeParts(report.GetPoison().GetEndedTrials()))
	before := c.crashes.log.Revision()
	peer.poisonSent = c.mergePoison(now, report.GetPoison(), peer.poisonSent)
	c.relayPoisonTo(now, host, peer, true)
	if c.crashes.log.Revision() != before {
		c.relayPoison(now)
	}
}

// relayPoison tells all entries that follow this one of crashes, if it doesn't lead. A
// leader does so in its states.
func (c *Core) relayPoison(now time.Time) {
	if c.isLeader(now) {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		c.relayPoisonTo(now, host, c.peers[host], false)
	}
}

// relayPoisonTo tells an entry of the crashes that it doesn't know, if there are any or
// if it waits for an answer.
func (c *Core) relayPoisonTo(now time.Time, host string, peer *peer, answer bool) {
	if !peer.connected {
		return
	}
	message := poison.Encode(now, c.crashes.log.Since(peer.poisonSent))
	peer.poisonSent = c.crashes.log.Revision()
	switch {
	case message != nil:
	case answer:
		message = &wirepb.GatePoison{}
	default:
		return
	}
	c.emit(SendPoison{
		Host:   host,
		Poison: message,
	})
}

// handlePoisonReceived merges what the entry that this one follows has told though it
// doesn't lead.
func (c *Core) handlePoisonReceived(now time.Time, e PoisonReceived) {
	if e.Host != c.leaderLink.host {
		return
	}
	c.follower.crashRelayHeard = now
	c.follower.poisonReported = c.mergePoison(now, e.Poison, c.follower.poisonReported)
	c.retryParked(now)
}

// isCrashRelay reports whether this entry passes on what others tell of crashes, and grants
// trials to them and to itself: they follow it, it follows nobody, and nobody leads as far
// as it knows.
func (c *Core) isCrashRelay(now time.Time) bool {
	followsNobody := c.leaderLink.host == "" || c.leaderLink.crashRelay && !c.leaderLink.connected
	return !c.isLeader(now) && followsNobody && c.hasFollowers()
}

// grantsTrialsWithoutLeader reports whether this entry grants trials to those that follow
// it though it doesn't lead. It may follow a crash relay itself.
func (c *Core) grantsTrialsWithoutLeader(now time.Time) bool {
	return c.isCrashRelay(now) || !c.isLeader(now) && c.leaderLink.crashRelay
}

func (c *Core) hasFollowers() bool {
	for _, peer := range c.peers {
		if peer.connected {
			return true
		}
	}
	return false
}

// crashRelayAnswers reports whether the crash relay, which may be this entry, can be asked for trials
// in place of a leader.
func (c *Core) crashRelayAnswers(now time.Time) bool {
	if c.isCrashRelay(now) {
		return true
	}
	return !c.leaderAnswers(now) && c.leaderLink.connected && now.Sub(c.follower.crashRelayHeard) < maxStateAge &&
		!now.Before(c.assignments.leaderBackoffUntil)
}
