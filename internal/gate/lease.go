package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire/wirepb"
)

// storeRetryDelay is the mean time after which a store that didn't answer is tried
// again.
const storeRetryDelay = 300 * time.Millisecond

// stepDown ends a term that can't be renewed, so that an entry which the store
// serves leads on. Nothing is lent or ordered after it.
func (c *Core) stepDown(now time.Time) {
	renewal := c.lease.Resign(now)
	c.stopLeading()
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[host]; p.connected && p.lastSequence > 0 {
			c.emit(SendState{
				Host: host,
				State: &wirepb.GateState{
					Echo:      p.lastSequence,
					Abdicates: renewal,
				},
			})
		}
	}
}

// maintainLease renews the lease, takes it if it is free, and finds the leader.
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
	if !c.lease.AppendDue(now) {
		c.leaseFreeSince = time.Time{}
		return
	}
	if !c.appendingLease && !c.readingLease && !c.stopping && c.mayAcquireLease(now) {
		c.appendLease(now, false)
	}
}

// mayAcquireLease reports whether it is this entry's turn to take a lease that is free.
// Small hosts leave it to larger ones for a while.
func (c *Core) mayAcquireLease(now time.Time) bool {
	if c.leaseFreeSince.IsZero() {
		c.leaseFreeSince = now
	}
	return c.lease.Holds(now) || now.Sub(c.leaseFreeSince) >= c.settings.LeaseAcquireDelay
}

func (c *Core) appendLease(now time.Time, release bool) {
	c.appendingLease = true
	record, at := c.lease.NextRecord(now, c.nextMembers(now), release)
	c.emit(AppendLease{
		Record: record,
		Offset: at,
	})
}

// nextMembers returns the members and shares of the next record.
func (c *Core) nextMembers(now time.Time) []lease.Member {
	current, _ := c.lease.Current()
	if c.leader == nil {
		return current.Members
	}
	hosts := []string{c.settings.Host}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[host]; p.connected || now.Sub(p.lastSeen) < peerGracePeriod {
			hosts = append(hosts, host)
		}
	}
	shares := c.leader.allot.Update(now, hosts)
	members := make([]lease.Member, 0, len(hosts))
	for _, host := range hosts {
		members = append(members, lease.Member{
			Host:  host,
			Share: shares[host],
		})
	}
	return members
}

// handleLeaseRead takes the newest record of the lease.
func (c *Core) handleLeaseRead(now time.Time, e LeaseRead) {
	c.readingLease = false
	if e.Err != nil {
		// The store is away: another append now would fail as well.
		c.lease.RetryAfter(now, c.jitter(storeRetryDelay))
		return
	}
	c.lease.HandleRead(now, e.Record, e.Offset, e.EndOffset, e.Exists)
	if !e.Exists {
		return
	}
	record, _ := c.lease.Current()
	c.applyShare(now, record.Members, e.SentAt)
	c.connectLeader(record)
	if c.follower.leaderUnrenewed && record.Host == c.leaderLink.host && c.leaderLink.connected && !c.stopping {
		c.follower.requestsTakeover = true
		c.sendReport(now)
	}
	c.startLeadingIfHolder(now, record)
}

// connectLeader opens a session to the holder of a record.
func (c *Core) connectLeader(record lease.Record) {
	if record.Released || record.Host == c.settings.Host {
		c.disconnectLeader()
		return
	}
	if c.leaderLink.host == record.Host && c.dialedIncarnation == record.Incarnation {
		return
	}
	c.leaderLink = leaderLink{host: record.Host}
	c.dialedIncarnation = record.Incarnation
	c.logChange("follows", record.Host, "", 0)
	c.emit(DialLeader{
		Host:    record.Host,
		Address: record.PeerAddr,
	})
}

func (c *Core) disconnectLeader() {
	if c.leaderLink.host == "" {
		return
	}
	c.leaderLink = leaderLink{}
	c.dialedIncarnation = 0
	c.emit(DialLeader{})
}

// handleLeaseAppendEnded takes what became of an append.
func (c *Core) handleLeaseAppendEnded(now time.Time, e LeaseAppendEnded) {
	c.appendingLease = false
	defer c.releaseIfStopping(now)
	switch e.Result {
	case AppendDone:
		c.applyAppendedRecord(now, e.Record, e.Offset)
	case AppendRefused:
		c.lease.RetryAfter(now, c.jitter(c.settings.Lease.RenewalInterval/2))
	default:
		// The record may be in the log, or another one is: look, and try again.
		c.lease.RetryAfter(now, 0)
		c.readingLease = true
		c.emit(ReadLease{})
	}
}

// releaseIfStopping hands the lease on once a renewal that was under way when
// the entry was stopped has ended.
func (c *Core) releaseIfStopping(now time.Time) {
	if c.stopping && !c.appendingLease && c.lease.Holds(now) {
		c.appendLease(now, true)
	}
}

func (c *Core) applyAppendedRecord(now time.Time, record lease.Record, at int64) {
	previous, existed := c.lease.Current()
	c.lease.HandleAppended(now, record, at)
	if record.Released {
		c.released = true
		c.leader = nil
		return
	}
	if c.leader == nil && c.lease.Holds(now) {
		c.disconnectLeader()
		c.startLeading(now, previous.Members, !existed)
	}
	c.applyMembers(now, record)
}

// startLeadingIfHolder takes up the lead when an append without an answer turns out to
// be in the log.
func (c *Core) startLeadingIfHolder(now time.Time, record lease.Record) {
	if !c.lease.Holds(now) {
		return
	}
	if c.leader == nil {
		c.startLeading(now, record.Members, false)
	}
	c.applyMembers(now, record)
}

// applyMembers brings the shares of an acknowledged record into force.
func (c *Core) applyMembers(now time.Time, record lease.Record) {
	if c.leader == nil {
		return
	}
	sentAt, ok := c.lease.SentAt(record.Renewal)
	if !ok {
		return
	}
	c.leader.renewedAt = sentAt
	c.leader.members = record.Members
	c.applyShare(now, record.Members, sentAt)
	if c.config != nil {
		c.leader.updatePools(now, c.config)
	}
}
