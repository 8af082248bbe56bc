package gate

import (
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// handleStateReceived applies a state from the leader.
func (c *Core) handleStateReceived(now time.Time, e StateReceived) {
	if e.Host != c.leaderLink.host || c.lease.Holds(now) {
		return
	}
	state := e.State
	if c.leaderLink.crashRelay {
		c.applyCrashRelayState(now, state)
		return
	}
	c.follower.recordEcho(state.GetEcho())
	sentAt, known := c.follower.reportTimes[state.GetEcho()]
	if !known || now.Sub(sentAt) > maxStateAge {
		c.follower.missedNews = true
		return // too old; dropping its grants may lose tokens but never duplicates them
	}
	c.follower.lastHeard = now
	if renewal := state.GetAbdicates(); renewal > 0 {
		c.lease.HolderResigned(now, e.Host, renewal)
		c.leaderLink.connected = false
		c.logChange("leader resigned", e.Host, "", 0)
		c.maintainLease(now)
		return
	}
	c.handleUnrenewed(now, state.GetUnrenewed())
	age := time.Duration(state.GetAgeUs()) * time.Microsecond
	confirmedAt := sentAt.Add(-age)
	c.lease.HolderRenewed(lease.Renewal{
		Host:        e.Host,
		Incarnation: state.GetIncarnation(),
		Number:      state.GetRenewal(),
		SentAfter:   confirmedAt,
		SentBefore:  now.Add(-age),
	})
	members := make([]lease.Member, 0, len(state.GetShares()))
	for _, share := range state.GetShares() {
		members = append(members, lease.Member{
			Host:  share.GetHost(),
			Share: share.GetShare(),
		})
	}
	c.applyShare(now, members, confirmedAt)
	if count := int(state.GetMembers()); count > 0 {
		c.follower.members = count
	}
	c.applyRelay(now, sentAt, state, e.Config)
	c.applyCrashRelays(state.GetCrashRelays())
	c.applyStarts(now, state.GetStarts())
	c.follower.poisonReported = c.mergePoison(now, state.GetPoison(), c.follower.poisonReported)
	c.follower.limitsReported = c.applyLimits(now, state.GetLimits(), c.follower.limitsReported)
	c.applyPermits(now, state.GetPermits())
	c.applyLoads(now, state.GetLoads())
	c.applyHoldings(now, state.GetHoldings())
	if !state.GetArrivalsUnchanged() {
		c.applyArrivals(now, state.GetArrivals())
	}
	c.follower.decidesByRequest = state.GetDecidesByRequest()
	for _, a := range state.GetTokenAnswers() {
		c.applyTokenAnswer(now, a)
	}
	for _, g := range state.GetGrants() {
		if quota := c.quotas[g.GetCustomer()]; quota != nil {
			c.handleGrant(now, quota, g.GetAmount())
		}
	}
	c.retryParked(now)
}

// recordEcho records which report a state answers. The leader answers every report that it
// applies, in order. What a report said that it has skipped must be told again, and a new
// term may have begun in which it doesn't know what this entry has missed.
func (f *follower) recordEcho(sequence uint64) {
	if sequence > f.echoed+1 {
		f.newLeader = true
		f.missedNews = true
	}
	f.echoed = max(f.echoed, sequence)
}

// handleUnrenewed reads the lease if the leader cannot renew its term. If the
// store answers, this entry asks the leader to resign and takes over.
func (c *Core) handleUnrenewed(now time.Time, unrenewed bool) {
	c.follower.leaderUnrenewed = unrenewed
	if unrenewed && !c.stopping && !c.readingLease && !now.Before(c.nextLeaseRead) {
		c.readingLease = true
		c.nextLeaseRead = now.Add(leaseReadInterval)
		c.emit(ReadLease{})
	}
}

func (c *Core) applyHoldings(now time.Time, holdings []*wirepb.GateHolding) {
	for _, h := range holdings {
		ep := c.endpoints[h.GetEndpoint()]
		if ep == nil {
			continue
		}
		reported := make([]topo.Holding, 0, len(h.GetModels()))
		for _, m := range h.GetModels() {
			reported = append(reported, topo.Holding{
				Model:    m.GetName(),
				Adapters: m.GetAdapters(),
			})
		}
		c.setLeaderHoldings(now, ep, reported)
	}
}

// setLeaderHoldings sets what an endpoint holds according to the leader.
func (c *Core) setLeaderHoldings(now time.Time, ep *endpoint, holdings []topo.Holding) {
	ep.leaderHoldings = holdings
	ep.leaderHoldingsAt = now
	clear(ep.missingArtifacts)
}

func (c *Core) applyArrivals(now time.Time, arrivals []*wirepb.GateArrival) {
	clear(c.follower.arrivals)
	for _, a := range arrivals {
		loads := c.follower.arrivals[a.GetService()]
		if loads == nil {
			loads = make(map[stock.Load]time.Time)
			c.follower.arrivals[a.GetService()] = loads
		}
		load := stock.Load{
			Model:           a.GetModel(),
			SoftwareVersion: a.GetSoftwareVersion(),
			Region:          a.GetRegion(),
		}
		loads[load] = now.Add(time.Duration(a.GetAfterUs()) * time.Microsecond)
	}
}
