package gate

import (
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// leaderTimeout is the time without a message from the leader after which
	// the lease is read from the store.
	leaderTimeout = 900 * time.Millisecond
	// leaseReadInterval is the mean time between two reads of the lease.
	leaseReadInterval = 1200 * time.Millisecond
	// maxStateAge is how long a state from the leader is valid.
	maxStateAge = 1500 * time.Millisecond
)

// leaderLink is the session to the leader, or to the crash relay if nobody leads.
type leaderLink struct {
	host      string
	connected bool
	// crashRelay is true while this entry follows a crash relay, or is the first one
	// itself. It has tried to reach host since triedSince.
	crashRelay bool
	triedSince time.Time
}

// leader returns the leader's host, or "" if this entry follows none.
func (l *leaderLink) leader() string {
	if l.crashRelay {
		return ""
	}
	return l.host
}

// follower is the state of an entry that follows a leader.
type follower struct {
	share      float64
	shareUntil time.Time
	lastHeard  time.Time
	// members is the last known number of entries, 0 if none is known.
	members int
	// leaderUnrenewed is true while the leader cannot renew its term,
	// requestsTakeover once a read of the lease has shown that this entry can
	// reach the store.
	leaderUnrenewed  bool
	requestsTakeover bool
	// newLeader is true until the first report of a session, and of a leader that has
	// ignored reports: it lists all streams, crashes, quarantines and limits that this
	// entry knows. startsReported is the number of the last stream of its own that it has
	// reported.
	newLeader      bool
	startsReported uint64
	// missedNews is true if news in the leader's states may not have been applied, until
	// the leader is asked for all of it.
	missedNews bool
	// echoed is the number of the last report that the leader has answered.
	echoed uint64
	// crashRelayHeard is when an entry that doesn't lead has last told of crashes.
	crashRelayHeard time.Time
	// poisonReported is the revision of the crash log that it has reported.
	poisonReported uint64
	// limitsReported is the revision of the limits that it has reported,
	// permitRequests are the limited endpoints for which it needs permits.
	limitsReported uint64
	permitRequests map[string]bool
	// permitsRequestedAt is when a report was last sent only for such requests.
	permitsRequestedAt time.Time
	reportedAt         time.Time
	// returnedAt is when a report last returned surplus tokens.
	returnedAt time.Time
	// reportsSoon is true while the leader isn't told of streams that it must know soon.
	reportsSoon bool
	sequence    uint64
	// reportTimes holds the send times of recent reports by sequence number.
	reportTimes   map[uint64]time.Time
	tokenRequests []*wirepb.GateTokens
	// decidesByRequest is true if the leader decides for each request whether it gets
	// tokens, which leaders of older releases don't. tokenAsks are asked of such a leader.
	decidesByRequest bool
	tokenAsks        []*wirepb.GateTokenAsk
	demand           map[string]map[stock.Artifact]artifactDemand
	misses           map[string]map[stock.Miss]bool
	// arrivals are the expected ends of model loads in progress, by service.
	arrivals map[string]map[stock.Load]time.Time
}

func newFollower() follower {
	return follower{
		reportTimes: make(map[uint64]time.Time),
		demand:      make(map[string]map[stock.Artifact]artifactDemand),
		misses:      make(map[string]map[stock.Miss]bool),
		arrivals:    make(map[string]map[stock.Load]time.Time),

		permitRequests: make(map[string]bool),
	}
}

// leaderStateCurrent reports whether the last state from the leader is recent
// enough to rely on. On the leader itself it returns true.
func (c *Core) leaderStateCurrent(now time.Time) bool {
	return c.isLeader(now) || c.leaderLink.connected && now.Sub(c.follower.lastHeard) < maxStateAge
}

// leaderReachable reports whether the leader can be asked for tokens.
func (c *Core) leaderReachable(now time.Time) bool {
	return c.leaderStateCurrent(now)
}

// assumedMembers is the number of entries among which a right of the whole fleet is divided
// while their number isn't known.
const assumedMembers = 8

// memberCount returns the number of entries of the fleet as far as this one knows.
func (c *Core) memberCount() int {
	switch {
	case c.leader != nil && len(c.leader.members) > 0:
		return len(c.leader.members)
	case c.follower.members > 0:
		return c.follower.members
	default:
		return assumedMembers
	}
}

// standingShare returns the part of every customer's rate that this entry may
// use without asking, 0 if its confirmation has expired.
func (c *Core) standingShare(now time.Time) float64 {
	if now.After(c.follower.shareUntil) {
		return 0
	}
	return c.follower.share
}

// applyShare sets this entry's share from the members of a record that was
// current at confirmedAt.
func (c *Core) applyShare(now time.Time, members []lease.Member, confirmedAt time.Time) {
	share := 0.0
	for _, m := range members {
		if m.Host == c.settings.Host {
			share = m.Share
		}
	}
	until := confirmedAt.Add(c.settings.ShareLifetime)
	if until.Before(c.follower.shareUntil) {
		return
	}
	c.follower.shareUntil = until
	if share != c.follower.share {
		c.follower.share = share
		c.updateQuotas(now)
	}
}

func (c *Core) handleLeaderConnected(now time.Time, host string) {
	if host != c.leaderLink.host {
		return
	}
	c.leaderLink.connected = true
	c.follower.newLeader = true
	c.follower.missedNews = false
	c.follower.decidesByRequest = false
	c.follower.tokenAsks = nil
	c.follower.echoed = c.follower.sequence
	c.logChange("connected to leader", host, "", 0)
	c.sendReport(now)
}

func (c *Core) handleLeaderDisconnected(now time.Time, host string) {
	if host != c.leaderLink.host || !c.leaderLink.connected {
		return
	}
	c.leaderLink.connected = false
	c.leaderLink.triedSince = now
	c.logChange("disconnected from leader", host, "", 0)
}
