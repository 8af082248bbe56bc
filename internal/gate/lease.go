package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire/wirepb"
)

// storeRetryDelay is the mean delay before the next lease append after a read
// of the lease failed.
const storeRetryDelay = 300 * time.Millisecond

// resign ends a term that cannot be renewed, so that an entry that can reach
// the store takes over. The entry grants no tokens and issues no orders
// afterwards.
func (c *Core) resign(now time.Time) {
	renewal := c.lease.Resign(now)
	c.stopLeading()
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if peer := c.peers[host]; peer.connected && peer.lastSequence > 0 {
			c.emit(SendState{
				Host: host,
				State: &wirepb.GateState{
					Echo:      peer.lastSequence,
					Abdicates: renewal,
				},
			})
		}
	}
}

// maintainLease renews the lease, acquires it if it is free, and reads it if
// the leader is unknown or silent.
func (c *Core) maintainLease(now time.Time) {
	if c.leader != nil && !c.lease.Holds(now) {
		c.stopLeading()
	}
	leaderSilent := !c.lease.Holds(now) && now.Sub(c.follower.lastHeard) > leaderTimeout
	if !c.readingLease && !c.appendingLease && !now.Before(c.nextLeaseRead) && (leaderSilent || !c.lease.HasRead()) {
		c.readingLease = true
		c.nextLeaseRead = now.Add(c.jitter(leaseReadInterval))
		c.emit(ReadLease{})
		return
	}
	c.hastenRecord(now)
	if !c.lease.AppendDue(now) {
		c.leaseFreeSince = time.Time{}
		return
	}
	if !c.appendingLease && !c.readingLease && !c.stopping && c.mayAcquireLease(now) {
		c.appendLease(now, false)
	}
}

// mayAcquireLease reports whether this entry may append to a lease that is due.
// Small hosts leave a free lease to larger ones for LeaseAcquireDelay.
func (c *Core) mayAcquireLease(now time.Time) bool {
	if c.leaseFreeSince.IsZero() {
		c.leaseFreeSince = now
	}
	return c.lease.Holds(now) || now.Sub(c.leaseFreeSince) >= c.settings.LeaseAcquireDelay
}

func (c *Core) appendLease(now time.Time, release bool) {
	c.appendingLease = true
	record, offset := c.lease.NextRecord(now, c.nextMembers(now), release)
	c.recordCrashes(now, &record)
	c.recordStreams(now, &record)
	c.emit(AppendLease{
		Record: record,
		Offset: offset,
	})
}

// nextMembers returns the members and shares for the next record.
func (c *Core) nextMembers(now time.Time) []lease.Member {
	current, _ := c.lease.Current()
	if c.leader == nil {
		return current.Members
	}
	hosts := []string{c.settings.Host}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if peer := c.peers[host]; peer.connected || now.Sub(peer.lastSeen) < peerGracePeriod {
			hosts = append(hosts, host)
		}
	}
	shares := c.leader.allotment.Update(now, hosts)
	members := make([]lease.Member, 0, len(hosts))
	for _, host := range hosts {
		members = append(members, lease.Member{
			Host:  host,
			Share: shares[host],
		})
	}
	return members
}

// handleLeaseRead applies the newest record of the lease log.
func (c *Core) handleLeaseRead(now time.Time, e LeaseRead) {
	c.readingLease = false
	if e.Err != nil {
		// The store is unreachable, so an immediate append would fail as well.
		c.lease.RetryAfter(now, c.jitter(storeRetryDelay))
		return
	}
	defer c.retryParked(now)
	c.leaseReadAt = e.SentAt
	previous, known := c.lease.Current()
	c.lease.HandleRead(now, e.Read)
	if !known || previous.Incarnation != e.Record.Incarnation || previous.Renewal != e.Record.Renewal {
		c.applyRecordedCrashes(now, &e.Record, !known)
	}
	c.applyRecordedVersions(now, e.Record.Versions)
	c.applyRecordedStreams(now, e.Record.Streams)
	if !e.Exists || c.lease.Stale() && (c.lease.Holds(now) || c.leaderLink.connected) {
		// A stale record says nothing against the leader that this entry knows.
		return
	}
	record, _ := c.lease.Current()
	if !c.lease.Stale() {
		c.follower.members = len(record.Members)
		c.applyShare(now, record.Members, e.SentAt)
	}
	c.connectLeader(now, record)
	if c.follower.leaderUnrenewed && record.Host == c.leaderLink.host && c.leaderLink.connected && !c.stopping {
		c.follower.requestsTakeover = true
		c.sendReport(now)
	}
	c.startLeadingIfHolder(now, record)
}

// connectLeader dials the holder of a record, unless it is already dialed. If
// the lease was released or this entry holds it, the session is closed instead. An entry
// that follows a crash relay goes on until a term has begun.
func (c *Core) connectLeader(now time.Time, record lease.Record) {
	if c.leaderLink.crashRelay && !now.Before(c.lease.TermEnd()) {
		return
	}
	if record.Released || record.Host == c.settings.Host {
		c.disconnectLeader()
		return
	}
	if c.leaderLink.host == record.Host && c.dialedIncarnation == record.Incarnation {
		return
	}
	c.leaderLink = leaderLink{host: record.Host}
	c.dialedIncarnation = record.Incarnation
	c.logChange("following leader", record.Host, "", 0)
	c.emit(DialLeader{
		Host:    record.Host,
		Address: record.PeerAddr,
	})
}

func (c *Core) disconnectLeader() {
	dialed := c.leaderLink.host != ""
	c.leaderLink = leaderLink{}
	if !dialed {
		return
	}
	c.dialedIncarnation = 0
	c.emit(DialLeader{})
}

// handleLeaseAppendEnded applies the result of an append.
func (c *Core) handleLeaseAppendEnded(now time.Time, e LeaseAppendEnded) {
	c.appendingLease = false
	defer c.releaseIfStopping(now)
	switch e.Result {
	case AppendDone:
		c.applyAppendedRecord(now, e)
	case AppendRefused:
		c.lease.RetryAfter(now, c.jitter(c.settings.Lease.RenewalInterval/2))
	default:
		// The log may contain this record or another one. Read it before the
		// next attempt.
		c.lease.RetryAfter(now, 0)
		c.readingLease = true
		c.emit(ReadLease{})
	}
}

// releaseIfStopping releases the lease once a renewal that was in progress when
// the entry was stopped has ended.
func (c *Core) releaseIfStopping(now time.Time) {
	if c.stopping && !c.appendingLease && c.lease.Holds(now) {
		c.appendLease(now, true)
	}
}

func (c *Core) applyAppendedRecord(now time.Time, e LeaseAppendEnded) {
	record := e.Record
	previous, existed := c.lease.Current()
	c.lease.HandleAppended(now, record, e.Offset, e.Era)
	c.lastRecord.appended = true
	if record.Released {
		c.released = true
		c.leader = nil
		return
	}
	if c.lease.Stale() {
		return // appended in a later era than it was written for
	}
	if c.leader == nil && c.lease.Holds(now) {
		c.disconnectLeader()
		c.startLeading(now, previous.Members, !existed)
	}
	c.applyMembers(now, record)
}

// startLeadingIfHolder starts leading if a read shows that an unacknowledged
// append is in the log.
func (c *Core) startLeadingIfHolder(now time.Time, record lease.Record) {
	if !c.lease.Holds(now) {
		return
	}
	if c.leader == nil {
		c.startLeading(now, record.Members, false)
	}
	c.applyMembers(now, record)
}

// applyMembers applies the members and shares of an acknowledged record.
func (c *Core) applyMembers(now time.Time, record lease.Record) {
	if c.leader == nil {
		return
	}
	sentAt, ok := c.lease.SentAt(record.Renewal)
	if !ok {
		return
	}
	c.leader.renewedAt = sentAt
	c.leader.renewal = record.Renewal
	c.leader.members = record.Members
	clear(c.leader.shares)
	for _, m := range record.Members {
		c.leader.shares[m.Host] = m.Share
	}
	c.applyShare(now, record.Members, sentAt)
	if c.config != nil {
		c.leader.updatePools(now, c.config)
	}
}
