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
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// planInterval is the time between two regular plans; some events trigger
	// an earlier one.
	planInterval = 200 * time.Millisecond
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
	// sentHoldings are the engines whose current holdings the entry has been
	// sent, sentRevisions the endpoint revisions that it has been sent.
	sentHoldings  map[string]bool
	sentRevisions map[string]uint64
	// startsSent is the number of the last stream of the leader's own that the
	// entry has been sent.
	startsSent uint64
	// poisonSent is the revision of the crash log that the entry has been sent.
	poisonSent uint64
	// limitsSent is the revision of the limits that the entry has been sent.
	limitsSent uint64
}

// leader is the state of an entry while it leads.
type leader struct {
	// renewedAt is when the newest acknowledged lease record was sent.
	renewedAt time.Time
	members   []lease.Member
	// loads are the sums of the loads of all other entries, by endpoint.
	loads     map[string]pick.Load
	allotment *rate.Allotment
	pools     map[string]*rate.Bucket
	planner   *stock.Planner
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
	planSoon   bool
	plannedAt  time.Time
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
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		ep := c.endpoints[id]
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
			c.peers[m.Host] = &peer{lastSeen: now}
		}
	}
	for _, peer := range c.peers {
		peer.loads = make(map[string]pick.Load)
		peer.sentHoldings = make(map[string]bool)
		peer.sentRevisions = make(map[string]uint64)
		peer.poisonSent = 0
		peer.limitsSent = 0
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
	c.peers[host] = &peer{
		connected:     true,
		lastSeen:      now,
		loads:         make(map[string]pick.Load),
		sentHoldings:  make(map[string]bool),
		sentRevisions: make(map[string]uint64),
	}
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
		c.applyDemand(now, d)
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
	c.plan(now)
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

func (c *Core) applyDemand(now time.Time, demand *wirepb.GateDemand) {
	artifact := stock.Artifact{
		Model:   demand.GetModel(),
		Adapter: demand.GetAdapter(),
	}
	if demand.GetMissing() {
		c.leader.planner.RecordMiss(now, demand.GetService(), stock.Miss{
			Artifact:        artifact,
			SoftwareVersion: demand.GetSoftwareVersion(),
		})
		c.leader.planSoon = true
		return
	}
	c.leader.planner.RecordDemand(now, demand.GetService(), artifact, time.Duration(demand.GetWorkUs())*time.Microsecond)
}

// sendState sends an entry the leader's state. Holdings and endpoints that the
// entry has already been sent are left out.
func (c *Core) sendState(now time.Time, host string, peer *peer, a answer) {
	state := &wirepb.GateState{
		Echo:      peer.lastSequence,
		AgeUs:     uint64(now.Sub(c.leader.renewedAt).Microseconds()),
		Grants:    a.grants,
		Permits:   a.permits,
		Limits:    c.encodeLimits(now, peer.limitsSent),
		Unrenewed: c.lease.Unrenewed(now),
		Starts:    encodeStarts(c.streams.ownAfter(peer.startsSent)),
	}
	peer.startsSent = c.streams.ownCount
	state.Poison = poison.Encode(now, c.crashes.log.Since(peer.poisonSent))
	peer.poisonSent = c.crashes.log.Revision()
	peer.limitsSent = c.limitRevision
	for _, m := range c.leader.members {
		if m.Host == host {
			state.Shares = append(state.Shares, &wirepb.GateShare{
				Host:  m.Host,
				Share: m.Share,
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		engine := c.engineSpec(c.endpoints[id]) != nil
		if load := c.loadFromOthers(id, host); !engine && load.Running > 0 {
			// Loads of engines are not sent, because the leader assigns
			// engines.
			state.Loads = append(state.Loads, encodeLoad(id, load))
		}
		if engine && !peer.sentHoldings[id] {
			peer.sentHoldings[id] = true
			state.Holdings = append(state.Holdings, encodeHolding(id, c.leader.planner.Servable(id)))
		}
	}
	state.Arrivals = c.encodeArrivals(now)
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
	if c.leader.planSoon || now.Sub(c.leader.plannedAt) >= planInterval {
		c.plan(now)
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
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		ep := c.endpoints[id]
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

// publishHoldings distributes changed holdings of engines to all entries,
// including this one.
func (c *Core) publishHoldings(now time.Time) {
	changed := c.leader.planner.TakeChanged()
	if len(changed) == 0 {
		return
	}
	for _, id := range changed {
		if ep := c.endpoints[id]; ep != nil {
			c.setLeaderHoldings(now, ep, c.leader.planner.Servable(id))
		}
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		peer := c.peers[host]
		if !peer.connected {
			continue
		}
		for _, id := range changed {
			delete(peer.sentHoldings, id)
		}
		if peer.lastSequence > 0 {
			c.sendState(now, host, peer, answer{})
		}
	}
	c.retryParked(now)
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
	c.plan(now)
}

// handleEngineReported passes an engine's report to the planner.
func (c *Core) handleEngineReported(now time.Time, e EngineReported) {
	if c.leader == nil || e.Report == nil {
		return
	}
	c.leader.planner.HandleReport(now, e.SentAt, e.Engine, *e.Report)
	c.plan(now)
}
