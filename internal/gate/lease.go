package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire/wirepb"
)

// storePause is the mean time after which a store that didn't answer is tried
// again.
const storePause = 300 * time.Millisecond

// abdicate ends a term that can't be renewed, so that an entry which the store
// serves leads on. Nothing is lent or ordered after it.
func (c *Core) abdicate(now time.Time) {
	renewal := c.lease.Resign(now)
	c.stopLeading()
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[host]; p.up && p.echo > 0 {
			c.do(SendState{
				Host: host,
				State: &wirepb.GateState{
					Echo:      p.echo,
					Abdicates: renewal,
				},
			})
		}
	}
}

// tendLease renews the lease, takes it if it is free, and finds the leader.
func (c *Core) tendLease(now time.Time) {
	if c.leader != nil && !c.lease.Holds(now) {
		c.stopLeading()
	}
	silent := !c.lease.Holds(now) && now.Sub(c.member.heardAt) > silenceLimit
	if !c.reading && !c.appending && !now.Before(c.nextRead) && (silent || !c.lease.HasRead()) {
		c.reading = true
		c.nextRead = now.Add(c.spread(readPause))
		c.do(ReadLease{})
		return
	}
	if !c.lease.AppendDue(now) {
		c.dueAt = time.Time{}
		return
	}
	if !c.appending && !c.reading && !c.stopping && c.mayTake(now) {
		c.appendLease(now, false)
	}
}

// mayTake reports whether it is this entry's turn to take a lease that is free.
// Small hosts leave it to larger ones for a while.
func (c *Core) mayTake(now time.Time) bool {
	if c.dueAt.IsZero() {
		c.dueAt = now
	}
	return c.lease.Holds(now) || now.Sub(c.dueAt) >= c.settings.TakeDelay
}

func (c *Core) appendLease(now time.Time, release bool) {
	c.appending = true
	record, at := c.lease.NextRecord(now, c.nextMembers(now), release)
	c.do(AppendLease{
		Record: record,
		At:     at,
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
		if p := c.peers[host]; p.up || now.Sub(p.seenAt) < peerLifetime {
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

// leaseRead takes the newest record of the lease.
func (c *Core) leaseRead(now time.Time, e LeaseRead) {
	c.reading = false
	if e.Err != nil {
		// The store is away: another append now would fail as well.
		c.lease.RetryAfter(now, c.spread(storePause))
		return
	}
	c.lease.HandleRead(now, e.Record, e.Offset, e.End, e.Exists)
	if !e.Exists {
		return
	}
	record, _ := c.lease.Current()
	c.takeShare(now, record.Members, e.SentAt)
	c.follow(record)
	if c.member.unrenewed && record.Host == c.link.host && c.link.up && !c.stopping {
		c.member.takesOver = true
		c.report(now)
	}
	c.startIfHolding(now, record)
}

// follow opens a session to the holder of a record.
func (c *Core) follow(record lease.Record) {
	if record.Released || record.Host == c.settings.Host {
		c.hangUp()
		return
	}
	if c.link.host == record.Host && c.dialed == record.Incarnation {
		return
	}
	c.link = link{host: record.Host}
	c.dialed = record.Incarnation
	c.note("follows", record.Host, "", 0)
	c.do(DialLeader{
		Host:    record.Host,
		Address: record.PeerAddr,
	})
}

func (c *Core) hangUp() {
	if c.link.host == "" {
		return
	}
	c.link = link{}
	c.dialed = 0
	c.do(DialLeader{})
}

// leaseAppended takes what became of an append.
func (c *Core) leaseAppended(now time.Time, e LeaseAppended) {
	c.appending = false
	defer c.releaseIfStopping(now)
	switch e.Result {
	case AppendDone:
		c.appended(now, e.Record, e.At)
	case AppendRefused:
		c.lease.RetryAfter(now, c.spread(c.settings.Lease.RenewalInterval/2))
	default:
		// The record may be in the log, or another one is: look, and try again.
		c.lease.RetryAfter(now, 0)
		c.reading = true
		c.do(ReadLease{})
	}
}

// releaseIfStopping hands the lease on once a renewal that was under way when
// the entry was stopped has ended.
func (c *Core) releaseIfStopping(now time.Time) {
	if c.stopping && !c.appending && c.lease.Holds(now) {
		c.appendLease(now, true)
	}
}

func (c *Core) appended(now time.Time, record lease.Record, at int64) {
	previous, existed := c.lease.Current()
	c.lease.HandleAppended(now, record, at)
	if record.Released {
		c.released = true
		c.leader = nil
		return
	}
	if c.leader == nil && c.lease.Holds(now) {
		c.hangUp()
		c.startLeading(now, previous.Members, !existed)
	}
	c.confirmMembers(now, record)
}

// startIfHolding takes up the lead when an append without an answer turns out to
// be in the log.
func (c *Core) startIfHolding(now time.Time, record lease.Record) {
	if !c.lease.Holds(now) {
		return
	}
	if c.leader == nil {
		c.startLeading(now, record.Members, false)
	}
	c.confirmMembers(now, record)
}

// confirmMembers brings the shares of an acknowledged record into force.
func (c *Core) confirmMembers(now time.Time, record lease.Record) {
	if c.leader == nil {
		return
	}
	sentAt, ok := c.lease.SentAt(record.Renewal)
	if !ok {
		return
	}
	c.leader.provedAt = sentAt
	c.leader.members = record.Members
	c.takeShare(now, record.Members, sentAt)
	if c.config != nil {
		c.leader.adjustPools(now, c.config)
	}
}
