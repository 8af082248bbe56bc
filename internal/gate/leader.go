package gate

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/since"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// planInterval is the time between two regular plans, minPlanInterval the least
	// time between two plans if something calls for one.
	planInterval    = 20 * time.Millisecond
	minPlanInterval = 4 * time.Millisecond
	// missMemory is how long an entry that waits for a model or adapter is told at once
	// when an engine has it.
	missMemory = time.Second
	// peerGracePeriod is how long a disconnected entry keeps its standing
	// share.
	peerGracePeriod = 3 * time.Second
)

// peer is the leader's state for another entry.
type peer struct {
	connected    bool
	lastSeen     time.Time
	lastSequence uint64
	loads        map[string]pick.Load
	// endpointsSent, holdingsSent and arrivalsSent are the revisions of the endpoints,
	// of the engines' holdings and of the loads in progress that the entry has been sent.
	endpointsSent uint64
	holdingsSent  uint64
	arrivalsSent  uint64
	// endpointsComplete is true once the entry was sent all endpoints in one state.
	endpointsComplete bool
	// withheld are endpoints that the entry was not sent because their records were
	// missing.
	withheld map[string]bool
	// misses are the artifacts for which the entry's requests wait, and when it last
	// said so.
	misses map[serviceArtifact]time.Time
	// startsSent is the number of the last stream of the leader's own that the
	// entry has been sent.
	startsSent uint64
	// poisonSent is the revision of the crash log that the entry has been sent.
	poisonSent uint64
	// limitsSent is the revision of the limits that the entry has been sent.
	limitsSent uint64
}

// serviceArtifact is a model or adapter of a service.
type serviceArtifact struct {
	service string
	stock.Artifact
}

func newPeer(now time.Time, connected bool) *peer {
	return &peer{
		connected: connected,
		lastSeen:  now,
		loads:     make(map[string]pick.Load),
		withheld:  make(map[string]bool),
		misses:    make(map[serviceArtifact]time.Time),
	}
}

// leader is the state of an entry while it leads.
type leader struct {
	// renewedAt is when the newest acknowledged lease record was sent, renewal its number.
	renewedAt time.Time
	renewal   uint64
	members   []lease.Member
	// shares are the members' shares by host.
	shares map[string]float64
	// loads are the sums of the loads of all other entries, by endpoint.
	loads     map[string]pick.Load
	allotment *rate.Allotment
	pools     map[string]*rate.Bucket
	planner   *stock.Planner
	// holdingChanges are the engines whose holdings have changed, holdings the messages
	// about them.
	holdingChanges *since.Log[string]
	holdings       map[string]*wirepb.GateHolding
	// prefillShares limit the fraction of time that the engines of a service
	// may spend on prefill.
	prefillShares map[string]*pacer.PrefillShare
	// trials are requests with suspect parts that were sent to see whether they crash
	// an engine, by part.
	trials map[poison.Part]trial
	// spreadSoon is true if the other entries must learn of a crash or of the
	// outcome of a trial.
	spreadSoon bool
	// limitsSent is the revision of the limits of which the other entries were told.
	limitsSent uint64
	// planSoon is true if something has happened since plannedAt that may call for
	// orders. planScheduled is true if a Tick is scheduled for the next plan.
	planSoon      bool
	planScheduled bool
	plannedAt     time.Time
}

// isLeader reports whether this entry holds the lease and has started leading.
func (c *Core) isLeader(now time.Time) bool { return c.leader != nil && c.lease.Holds(now) }

// startLeading initializes the leader's state. The token pools start empty.
// first is true if there was no lease record before.
func (c *Core) startLeading(now time.Time, previous []lease.Member, first bool) {
	shares := make(map[string]float64, len(previous))
	for _, m := range previous {
		shares[m.Host] = m.Share
	}
	plannerSettings := stock.DefaultSettings(c.settings.WeightLoadWindow)
	c.leader = &leader{
		members:       previous,
		allotment:     rate.NewAllotment(standingFraction, c.settings.ShareLifetime+c.settings.Lease.Margin, shares),
		pools:         make(map[string]*rate.Bucket),
		loads:         make(map[string]pick.Load),
		planner:       stock.NewPlanner(now, plannerSettings, first),
		prefillShares: make(map[string]*pacer.PrefillShare),
		trials:        make(map[poison.Part]trial),

		shares:         shares,
		holdingChanges: since.New[string](),
		holdings:       make(map[string]*wirepb.GateHolding),
	}
	for _, ep := range c.sortedEndpoints() {
		c.updatePlannerEndpoint(now, ep)
		if ep.limit.limited() {
			// The leader before may just have let a request through.
			ep.limit.pace.Restart(now, ep.limit.perSecond, limitBurst)
		}
	}
	for _, m := range previous {
		// Members of the previous term that have not connected yet keep their
		// shares until their grace period ends.
		if m.Host != c.settings.Host && c.peers[m.Host] == nil {
			c.peers[m.Host] = newPeer(now, false)
		}
	}
	for host, known := range c.peers {
		fresh := newPeer(known.lastSeen, known.connected)
		fresh.lastSequence = known.lastSequence
		fresh.startsSent = known.startsSent
		c.peers[host] = fresh
	}
	c.logChange("became leader", c.settings.Host, "", 0)
}

// stopLeading discards the leader's state. Tokens in its pools are lost.
func (c *Core) stopLeading() {
	c.leader = nil
	c.logChange("stopped leading", c.settings.Host, "", 0)
}

// updatePools sets the pools to the customers' current rates.
func (l *leader) updatePools(now time.Time, config *topo.Config) {
	largest := l.allotment.LargestInUse(now)
	for name, customer := range config.Customers {
		pool := l.pools[name]
		if pool == nil {
			pool = &rate.Bucket{}
			l.pools[name] = pool
		}
		fraction := 1.0
		if usesStandingShare(largest, customer) {
			fraction = 1 - standingFraction
		}
		// Tokens accumulated at a higher previous rate are cut to the new
		// limit.
		pool.Set(now, customer.Rate, math.Inf(1))
		level := min(pool.Level(now), customer.Burst*poolBurstFraction)
		pool.Set(now, fraction*customer.Rate, level)
		pool.Set(now, fraction*customer.Rate, max(level, min(fraction, poolBurstFraction)*customer.Burst))
	}
}

// withdrawTokens takes up to amount tokens from a customer's pool and returns
// how many it took.
func (l *leader) withdrawTokens(now time.Time, customer *topo.Customer, amount float64) float64 {
	pool := l.pools[customer.Name]
	if pool == nil {
		return 0
	}
	return pool.TakeUpTo(now, amount)
}

// returnTokens adds tokens returned by an entry to a customer's pool.
func (l *leader) returnTokens(now time.Time, customer *topo.Customer, amount float64) {
	if pool := l.pools[customer.Name]; pool != nil {
		pool.Add(now, amount, customer.Burst*poolBurstFraction)
	}
}

func (c *Core) handlePeerConnected(now time.Time, host string) {
	if peer := c.peers[host]; peer != nil {
		c.clearPeerLoads(peer)
	}
	c.peers[host] = newPeer(now, true)
	c.logChange("peer connected", host, "", 0)
}

func (c *Core) handlePeerDisconnected(now time.Time, host string) {
	if peer := c.peers[host]; peer != nil {
		peer.connected = false
		peer.lastSeen = now
		c.clearPeerLoads(peer)
		c.logChange("peer disconnected", host, "", 0)
	}
}

// handleReportReceived applies an entry's report and answers it with a state.
func (c *Core) handleReportReceived(now time.Time, e ReportReceived) {
	peer := c.peers[e.Host]
	if peer == nil || !c.isLeader(now) {
		return
	}
	peer.lastSeen = now
	peer.lastSequence = e.Report.GetSequence()
	if e.Report.GetTakesOver() && c.lease.Unrenewed(now) {
		c.resign(now)
		return
	}
	c.leader.replaceLoads(peer, e.Report.GetLoads())
	for _, d := range e.Report.GetDemands() {
		c.applyDemand(now, peer, d)
	}
	for _, s := range e.Report.GetStreams() {
		if ep := c.endpoints[s.GetEndpoint()]; ep != nil {
			c.applyStreamStats(ep, decodeStreamStats(s))
		}
	}
	c.applyStarts(now, e.Report.GetStarts())
	c.applyReportedPoison(now, peer, e.Report.GetPoison())
	peer.limitsSent = c.applyLimits(now, e.Report.GetLimits(), peer.limitsSent)
	c.spreadLimits(now)
	for _, r := range e.Report.GetReturns() {
		if customer := c.customer(r.GetCustomer()); customer != nil {
			c.leader.returnTokens(now, customer, r.GetAmount())
		}
	}
	grants := make([]*wirepb.GateTokens, 0, len(e.Report.GetAsks()))
	for _, a := range e.Report.GetAsks() {
		grant := &wirepb.GateTokens{Customer: a.GetCustomer()}
		if customer := c.customer(a.GetCustomer()); customer != nil {
			grant.Amount = c.leader.withdrawTokens(now, customer, a.GetAmount())
		}
		grants = append(grants, grant)
	}
	c.planIfDue(now)
	c.sendState(now, e.Host, peer, answer{
		grants:  grants,
		permits: c.grantPermits(now, e.Report.GetPermitRequests()),
	})
}

// answer is what an entry gets only in the state that answers its report.
type answer struct {
	grants  []*wirepb.GateTokens
	permits []*wirepb.GatePermit
}

func (c *Core) customer(name string) *topo.Customer {
	if c.config == nil {
		return nil
	}
	return c.config.Customers[name]
}

func (c *Core) applyDemand(now time.Time, peer *peer, demand *wirepb.GateDemand) {
	artifact := stock.Artifact{
		Model:   demand.GetModel(),
		Adapter: demand.GetAdapter(),
	}
	if demand.GetMissing() {
		c.leader.planner.RecordMiss(now, demand.GetService(), stock.Miss{
			Artifact:        artifact,
			SoftwareVersion: demand.GetSoftwareVersion(),
		})
		peer.misses[serviceArtifact{
			service:  demand.GetService(),
			Artifact: artifact,
		}] = now
		c.leader.planSoon = true
		return
	}
	c.leader.planner.RecordDemand(now, demand.GetService(), artifact, time.Duration(demand.GetWorkUs())*time.Microsecond)
}

// sendState sends an entry the leader's state. What the entry has already been sent is
// left out, so that the cost depends on what has changed and not on the size of the fleet.
func (c *Core) sendState(now time.Time, host string, peer *peer, a answer) {
	c.collectHoldings(now)
	state := &wirepb.GateState{
		Echo:    peer.lastSequence,
		AgeUs:   uint64(now.Sub(c.leader.renewedAt).Microseconds()),
		Renewal: c.leader.renewal,

		Incarnation: c.lease.Incarnation(),
		Grants:      a.grants,
		Permits:     a.permits,
		Limits:      c.encodeLimits(now, peer.limitsSent),
		Unrenewed:   c.lease.Unrenewed(now),
		Starts:      encodeStarts(c.streams.ownAfter(peer.startsSent)),
	}
	peer.startsSent = c.streams.ownCount
	state.Poison = poison.Encode(now, c.crashes.log.Since(peer.poisonSent))
	peer.poisonSent = c.crashes.log.Revision()
	peer.limitsSent = c.limitRevision
	if share, member := c.leader.shares[host]; member {
		state.Shares = append(state.Shares, &wirepb.GateShare{
			Host:  host,
			Share: share,
		})
	}
	for _, ep := range c.sortedPlainEndpoints() {
		// Loads of engines are not sent, because the leader assigns engines.
		if load := c.loadFromOthers(ep.ID, host); load.Running > 0 {
			state.Loads = append(state.Loads, encodeLoad(ep.ID, load))
		}
	}
	for _, id := range c.leader.holdingChanges.After(peer.holdingsSent) {
		if c.endpoints[id] != nil {
			state.Holdings = append(state.Holdings, c.leader.holdings[id])
		}
	}
	peer.holdingsSent = c.leader.holdingChanges.Revision()
	if revision := c.loadRevision(); peer.arrivalsSent == revision {
		state.ArrivalsUnchanged = true
	} else {
		peer.arrivalsSent = revision
		state.Arrivals = c.encodeArrivals(now)
	}
	c.encodeRelay(now, peer, state)
	c.emit(SendState{
		Host:  host,
		State: state,
	})
}

func encodeHolding(id string, holdings []topo.Holding) *wirepb.GateHolding {
	out := &wirepb.GateHolding{Endpoint: id}
	for _, h := range holdings {
		out.Models = append(out.Models, &wirepb.GateModel{
			Name:     h.Model,
			Adapters: h.Adapters,
		})
	}
	return out
}

// loadRevision returns a number that increases whenever the expected ends of loads
// change.
func (c *Core) loadRevision() uint64 {
	revision := uint64(1)
	for _, service := range c.engineServices() {
		revision += c.leader.planner.LoadRevision(service)
	}
	return revision
}

func (c *Core) encodeArrivals(now time.Time) []*wirepb.GateArrival {
	var out []*wirepb.GateArrival
	for _, service := range c.engineServices() {
		for load, at := range c.leader.planner.LoadETAs(service) {
			out = append(out, &wirepb.GateArrival{
				Service:         service,
				Model:           load.Model,
				AfterUs:         uint64(max(at.Sub(now), 0).Microseconds()),
				SoftwareVersion: load.SoftwareVersion,
			})
		}
	}
	return out
}

func (c *Core) engineServices() []string {
	var out []string
	if c.config == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.config.Services)) {
		if c.config.Services[name].Engine != nil {
			out = append(out, name)
		}
	}
	return out
}

// engineSpec returns the engine description of an endpoint's service, nil if
// the service has none.
func (c *Core) engineSpec(ep *endpoint) *topo.EngineSpec {
	if c.config == nil || c.config.Services[ep.Service] == nil {
		return nil
	}
	return c.config.Services[ep.Service].Engine
}

// updatePlannerEndpoint passes an endpoint's record to the planner, if it is an
// engine and this entry leads.
func (c *Core) updatePlannerEndpoint(now time.Time, ep *endpoint) {
	if c.leader == nil {
		return
	}
	if spec := c.engineSpec(ep); spec != nil {
		c.leader.planner.SetEndpoint(now, ep.Endpoint, spec)
	}
}

// updateLeader applies the loads of the other entries and plans if a plan is
// due.
func (c *Core) updateLeader(now time.Time) {
	if !c.isLeader(now) {
		return
	}
	for _, ep := range c.endpoints {
		ep.stats.SetRemote(now, c.loadFromOthers(ep.ID, c.settings.Host))
	}
	if c.leader.spreadSoon {
		c.leader.spreadSoon = false
		c.sendStates(now)
	}
	c.leader.planScheduled = false
	c.planIfDue(now)
}

// planIfDue plans unless the last plan was too short a time ago. What may call for
// orders waits for the next plan, so that plans take a bounded part of the time, however
// many events there are.
func (c *Core) planIfDue(now time.Time) {
	interval := planInterval
	if c.leader.planSoon {
		interval = minPlanInterval
	}
	wait := c.leader.plannedAt.Add(interval).Sub(now)
	switch {
	case wait <= 0:
		c.plan(now)
	case c.leader.planSoon && !c.leader.planScheduled:
		c.leader.planScheduled = true
		c.emit(ScheduleTick{After: wait})
	}
}

// plan runs the planner and sends its orders, if the lease still permits
// orders.
func (c *Core) plan(now time.Time) {
	if !c.isLeader(now) || !c.lease.MayIssueOrders(now) {
		return
	}
	c.leader.planSoon = false
	c.leader.plannedAt = now
	for id, ep := range c.endpoints {
		c.leader.planner.SetRunning(id, ep.stats.Load(now).Running)
		c.leader.planner.SetLimited(id, ep.limit.limited())
	}
	plan := c.leader.planner.Plan(now)
	for _, order := range plan.Orders {
		ep := c.endpoints[order.Engine]
		if ep == nil {
			c.leader.planner.HandleOutcome(now, order, stock.Refused)
			continue
		}
		c.emit(SendOrder{
			Order:   order,
			Address: ep.Address,
			Term:    c.lease.Term(),
			Until:   c.lease.OrdersUntil(),
		})
	}
	for _, id := range plan.ReportRequests {
		if ep := c.endpoints[id]; ep != nil {
			c.emit(RequestEngineReport{
				Engine:  id,
				Address: ep.Address,
			})
		}
	}
	c.publishHoldings(now)
}

// collectHoldings applies the changes of engines' holdings since the last call to this
// entry, and returns the engines whose holdings have changed.
func (c *Core) collectHoldings(now time.Time) []string {
	changed := c.leader.planner.TakeChanged()
	for _, id := range changed {
		ep := c.endpoints[id]
		if ep == nil {
			c.leader.holdingChanges.Forget(id)
			delete(c.leader.holdings, id)
			continue
		}
		servable := c.leader.planner.Servable(id)
		c.leader.holdingChanges.Record(id)
		c.leader.holdings[id] = encodeHolding(id, servable)
		c.setLeaderHoldings(now, ep, servable)
	}
	return changed
}

// publishHoldings sends changed holdings of engines to the entries whose requests wait
// for them. The others learn of them with the next state.
func (c *Core) publishHoldings(now time.Time) {
	changed := c.collectHoldings(now)
	if len(changed) == 0 {
		return
	}
	available := make(map[serviceArtifact]bool)
	for _, id := range changed {
		if ep := c.endpoints[id]; ep != nil {
			addArtifacts(available, ep.Service, ep.leaderHoldings)
		}
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		peer := c.peers[host]
		if peer.connected && peer.lastSequence > 0 && peer.waitsForAny(now, available) {
			c.sendState(now, host, peer, answer{})
		}
	}
	c.retryParked(now)
}

// addArtifacts adds the models and adapters of holdings to a set.
func addArtifacts(set map[serviceArtifact]bool, service string, holdings []topo.Holding) {
	for _, h := range holdings {
		a := serviceArtifact{
			service:  service,
			Artifact: stock.Artifact{Model: h.Model},
		}
		set[a] = true
		for _, adapter := range h.Adapters {
			a.Adapter = adapter
			set[a] = true
		}
	}
}

// waitsForAny reports whether the entry waits for any artifact of a set, and forgets
// those for which it no longer waits.
func (p *peer) waitsForAny(now time.Time, available map[serviceArtifact]bool) bool {
	maps.DeleteFunc(p.misses, func(_ serviceArtifact, at time.Time) bool { return now.Sub(at) > missMemory })
	for a := range p.misses {
		if available[a] {
			return true
		}
	}
	return false
}

// handleOrderAnswered passes the outcome of an order to the planner.
func (c *Core) handleOrderAnswered(now time.Time, e OrderAnswered) {
	if c.leader == nil {
		return
	}
	c.leader.planner.HandleOutcome(now, e.Order, e.Outcome)
	if e.Outcome == stock.Accepted && e.Order.Adapter != "" && e.Order.Load {
		c.emit(ScheduleTick{After: c.leader.planner.RemainingTime(now, e.Order.Engine)})
	}
	c.leader.planSoon = true
	c.planIfDue(now)
}

// handleEngineReported passes an engine's report to the planner.
func (c *Core) handleEngineReported(now time.Time, e EngineReported) {
	if c.leader == nil || e.Report == nil {
		return
	}
	c.leader.planner.HandleReport(now, e.SentAt, e.Engine, *e.Report)
	c.leader.planSoon = true
	c.planIfDue(now)
}
