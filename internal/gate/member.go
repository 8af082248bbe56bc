package gate

import (
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// reportInterval is the time between regular reports to the leader.
	reportInterval = 250 * time.Millisecond
	// leaderTimeout is the time without a message from the leader after which
	// the lease is read from the store.
	leaderTimeout = 900 * time.Millisecond
	// leaseReadInterval is the mean time between two reads of the lease.
	leaseReadInterval = 1200 * time.Millisecond
	// maxStateAge is how long a state from the leader is valid.
	maxStateAge = 1500 * time.Millisecond
	// maxTrackedReports is the number of reports whose send times are kept
	// until the leader answers them.
	maxTrackedReports = 64
)

// leaderLink is the session to the leader.
type leaderLink struct {
	host      string
	connected bool
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
	sequence           uint64
	// reportTimes holds the send times of recent reports by sequence number.
	reportTimes   map[uint64]time.Time
	tokenRequests []*wirepb.GateTokens
	demand        map[string]map[stock.Artifact]artifactDemand
	misses        map[string]map[stock.Miss]bool
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
	c.follower.echoed = c.follower.sequence
	c.logChange("connected to leader", host, "", 0)
	c.sendReport(now)
}

func (c *Core) handleLeaderDisconnected(host string) {
	if host != c.leaderLink.host || !c.leaderLink.connected {
		return
	}
	c.leaderLink.connected = false
	c.logChange("disconnected from leader", host, "", 0)
}

// artifactDemand is the number of new requests for an artifact and their prefill time.
type artifactDemand struct {
	requests int
	work     time.Duration
}

// recordDemand records a new request and its prefill time for the planner.
func (c *Core) recordDemand(now time.Time, call *activeCall) {
	service := c.config.Services[call.service]
	if service == nil || service.Engine == nil {
		return
	}
	artifact := stock.Artifact{
		Model:   call.request.Model,
		Adapter: call.request.Adapter,
	}
	work := c.prefillRate(call.service, call.request.Model).PrefillTime(call.request.PromptTokens)
	if c.isLeader(now) {
		c.leader.planner.RecordDemand(now, call.service, artifact, 1, work)
		return
	}
	if c.follower.demand[call.service] == nil {
		c.follower.demand[call.service] = make(map[stock.Artifact]artifactDemand)
	}
	demand := c.follower.demand[call.service][artifact]
	demand.requests++
	demand.work += work
	c.follower.demand[call.service][artifact] = demand
}

// requestArtifact tells the leader that a call waits for its model, or for its
// adapter if the model is loaded.
func (c *Core) requestArtifact(now time.Time, call *activeCall) {
	wanted := stock.Miss{
		Artifact:        stock.Artifact{Model: call.request.Model},
		SoftwareVersion: call.softwareVersion,
	}
	if c.modelLoaded(now, call) {
		wanted.Adapter = call.request.Adapter
	}
	if c.isLeader(now) {
		c.leader.planner.RecordMiss(now, call.service, wanted)
		c.leader.planSoon = true
		return
	}
	if c.follower.misses[call.service] == nil {
		c.follower.misses[call.service] = make(map[stock.Miss]bool)
	}
	if !c.follower.misses[call.service][wanted] {
		c.follower.misses[call.service][wanted] = true
		if call.parkedAt.IsZero() {
			c.sendReport(now)
		}
	}
}

// modelLoaded reports whether any usable endpoint that may run a call holds its
// model.
func (c *Core) modelLoaded(now time.Time, call *activeCall) bool {
	leaderCurrent := c.leaderStateCurrent(now)
	for _, ep := range c.endpoints {
		if ep.Service == call.service && c.takesRequests(now, ep) && call.acceptsVersion(ep.SoftwareVersion) &&
			ep.holds(now, leaderCurrent, call.request.Model, "") {
			return true
		}
	}
	return false
}

// loadArrival returns when a call's model is expected to be loaded at an endpoint
// that may run it, if a load is in progress.
func (c *Core) loadArrival(now time.Time, call *activeCall) (time.Time, bool) {
	etas := c.follower.arrivals[call.service]
	if c.isLeader(now) {
		etas = c.leader.planner.LoadETAs(call.service)
	} else if !c.leaderStateCurrent(now) {
		return time.Time{}, false
	}
	eta, loading := stock.FirstLoad(etas, call.request.Model, call.softwareVersion)
	return latest(eta, now), loading
}

// reportIfDue sends the regular report to the leader.
func (c *Core) reportIfDue(now time.Time) {
	if c.leaderLink.connected && now.Sub(c.follower.reportedAt) >= reportInterval {
		c.sendReport(now)
	}
}

// sendReport sends the leader this entry's loads, demand, token requests and
// stream statistics. Regular reports also return surplus tokens.
func (c *Core) sendReport(now time.Time) {
	if !c.leaderLink.connected || c.lease.Holds(now) {
		return
	}
	f := &c.follower
	f.sequence++
	f.reportTimes[f.sequence] = now
	delete(f.reportTimes, f.sequence-maxTrackedReports)
	report := &wirepb.GateReport{
		Sequence:  f.sequence,
		Loads:     c.encodeOwnLoads(),
		Demands:   f.drainDemands(),
		Asks:      f.tokenRequests,
		TakesOver: f.requestsTakeover,
		Streams:   c.assignments.drainStreamStats(),
		Starts:    c.drainStreamStarts(),
		Poison:    c.drainPoison(now),
		Limits:    c.drainLimits(now),

		PermitRequests: f.drainPermitRequests(),
	}
	if f.missedNews && c.leaderStateCurrent(now) {
		// Before, the answer would be dropped as well.
		report.AsksAll = true
		f.missedNews = false
	}
	f.newLeader = false
	f.requestsTakeover = false
	if now.Sub(f.reportedAt) >= reportInterval {
		report.Returns = c.takeSurplus(now)
	}
	f.tokenRequests = nil
	f.reportedAt = now
	c.emit(SendReport{Report: report})
}

// drainStreamStarts returns the streams that the leader has not been told of.
func (c *Core) drainStreamStarts() []*wirepb.GateStarts {
	f := &c.follower
	starts := c.streams.own.after(f.startsReported)
	if f.newLeader {
		starts = c.streams.retold()
	}
	f.startsReported = c.streams.own.count
	return encodeStarts(starts)
}

// drainDemands returns and resets the demand since the last report.
func (f *follower) drainDemands() []*wirepb.GateDemand {
	var out []*wirepb.GateDemand
	for service, artifacts := range f.demand {
		for artifact, demand := range artifacts {
			out = append(out, &wirepb.GateDemand{
				Service:  service,
				Model:    artifact.Model,
				Adapter:  artifact.Adapter,
				WorkUs:   uint64(demand.work.Microseconds()),
				Requests: uint32(demand.requests),
			})
		}
	}
	for service, misses := range f.misses {
		for miss := range misses {
			out = append(out, &wirepb.GateDemand{
				Service:         service,
				Model:           miss.Model,
				Adapter:         miss.Adapter,
				Missing:         true,
				SoftwareVersion: miss.SoftwareVersion,
			})
		}
	}
	clear(f.demand)
	clear(f.misses)
	return out
}

// handleStateReceived applies a state from the leader.
func (c *Core) handleStateReceived(now time.Time, e StateReceived) {
	if e.Host != c.leaderLink.host || c.lease.Holds(now) {
		return
	}
	state := e.State
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
	c.applyRelay(now, sentAt, state)
	c.applyStarts(now, state.GetStarts())
	c.follower.poisonReported = c.mergePoison(now, state.GetPoison(), c.follower.poisonReported)
	c.follower.limitsReported = c.applyLimits(now, state.GetLimits(), c.follower.limitsReported)
	c.applyPermits(now, state.GetPermits())
	c.applyLoads(now, state.GetLoads())
	c.applyHoldings(now, state.GetHoldings())
	if !state.GetArrivalsUnchanged() {
		c.applyArrivals(now, state.GetArrivals())
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
		}
		loads[load] = now.Add(time.Duration(a.GetAfterUs()) * time.Microsecond)
	}
}
