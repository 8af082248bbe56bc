package gate

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// planInterval is the time between two plans without a reason to hurry.
	planInterval = 200 * time.Millisecond
	// peerGracePeriod is how long a lost entry keeps its standing share.
	peerGracePeriod = 3 * time.Second
)

// peer is another entry as the leader sees it.
type peer struct {
	connected    bool
	lastSeen     time.Time
	lastSequence uint64
	loads        map[string]pick.Load
	// sentHoldings are the engines whose holdings the entry knows, endpoints the
	// revisions of the endpoints that it knows.
	sentHoldings  map[string]bool
	sentRevisions map[string]uint64
}

// leader is what an entry does while it leads.
type leader struct {
	// renewedAt is when the newest acknowledged record was sent.
	renewedAt time.Time
	members   []lease.Member
	// loads are those of all other entries by endpoint.
	loads   map[string]pick.Load
	allot   *rate.Allotment
	pools   map[string]*rate.Bucket
	planner *stock.Planner
	// promptShares bound the prompts given to the engines of a service.
	promptShares map[string]*pacer.PrefillShare
	planSoon     bool
	plannedAt    time.Time
}

// isLeader reports whether this entry isLeader and has taken up its work.
func (c *Core) isLeader(now time.Time) bool { return c.leader != nil && c.lease.Holds(now) }

// startLeading takes up the leader's work with empty pools.
func (c *Core) startLeading(now time.Time, previous []lease.Member, first bool) {
	shares := make(map[string]float64, len(previous))
	for _, m := range previous {
		shares[m.Host] = m.Share
	}
	plannerSettings := stock.DefaultSettings(c.settings.WeightLoadWindow)
	c.leader = &leader{
		members:      previous,
		allot:        rate.NewAllotment(standingFraction, c.settings.ShareLifetime+c.settings.Lease.Margin, shares),
		pools:        make(map[string]*rate.Bucket),
		loads:        make(map[string]pick.Load),
		planner:      stock.NewPlanner(now, plannerSettings, first),
		promptShares: make(map[string]*pacer.PrefillShare),
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		c.updatePlannerEndpoint(now, c.endpoints[id])
	}
	for _, m := range previous {
		// Members of the last term keep their shares until they follow.
		if m.Host != c.settings.Host && c.peers[m.Host] == nil {
			c.peers[m.Host] = &peer{lastSeen: now}
		}
	}
	for _, p := range c.peers {
		p.loads = make(map[string]pick.Load)
		p.sentHoldings = make(map[string]bool)
		p.sentRevisions = make(map[string]uint64)
	}
	c.logChange("leads", c.settings.Host, "", 0)
}

// stopLeading drops the leader's work; tokens in its pools are lost.
func (c *Core) stopLeading() {
	c.leader = nil
	c.logChange("leads no more", c.settings.Host, "", 0)
}

// updatePools sets the pools to the customers' present rates.
func (l *leader) updatePools(now time.Time, config *topo.Config) {
	largest := l.allot.LargestInUse(now)
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
		// A lowered rate cuts what was gathered under the old one.
		pool.Set(now, customer.Rate, math.Inf(1))
		level := min(pool.Level(now), customer.Burst*poolBurstFraction)
		pool.Set(now, fraction*customer.Rate, level)
		pool.Set(now, fraction*customer.Rate, max(level, min(fraction, poolBurstFraction)*customer.Burst))
	}
}

// withdrawTokens takes tokens out of a customer's pool.
func (l *leader) withdrawTokens(now time.Time, customer *topo.Customer, amount float64) float64 {
	pool := l.pools[customer.Name]
	if pool == nil {
		return 0
	}
	return pool.TakeUpTo(now, amount)
}

// returnTokens puts tokens that an entry gave back into the pool.
func (l *leader) returnTokens(now time.Time, customer *topo.Customer, amount float64) {
	if pool := l.pools[customer.Name]; pool != nil {
		pool.Add(now, amount, customer.Burst*poolBurstFraction)
	}
}

func (c *Core) handlePeerConnected(now time.Time, host string) {
	if p := c.peers[host]; p != nil {
		c.clearPeerLoads(p)
	}
	c.peers[host] = &peer{
		connected:     true,
		lastSeen:      now,
		loads:         make(map[string]pick.Load),
		sentHoldings:  make(map[string]bool),
		sentRevisions: make(map[string]uint64),
	}
	c.logChange("entry joined", host, "", 0)
}

func (c *Core) handlePeerDisconnected(now time.Time, host string) {
	if p := c.peers[host]; p != nil {
		p.connected = false
		p.lastSeen = now
		c.clearPeerLoads(p)
		c.logChange("entry lost", host, "", 0)
	}
}

// handleReportReceived takes an entry's report and answers it.
func (c *Core) handleReportReceived(now time.Time, e ReportReceived) {
	p := c.peers[e.Host]
	if p == nil || !c.isLeader(now) {
		return
	}
	p.lastSeen = now
	p.lastSequence = e.Report.GetSequence()
	if e.Report.GetTakesOver() && c.lease.Unrenewed(now) {
		c.stepDown(now)
		return
	}
	c.leader.replaceLoads(p, e.Report.GetLoads())
	for _, d := range e.Report.GetDemands() {
		c.applyDemand(now, d)
	}
	for _, s := range e.Report.GetStreams() {
		if endpoint := c.endpoints[s.GetEndpoint()]; endpoint != nil {
			c.applyStreamStats(endpoint, decodeStreamStats(s))
		}
	}
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
	c.sendState(now, e.Host, p, grants)
}

func (c *Core) customer(name string) *topo.Customer {
	if c.config == nil {
		return nil
	}
	return c.config.Customers[name]
}

func (c *Core) applyDemand(now time.Time, d *wirepb.GateDemand) {
	modelCopy := stock.Artifact{
		Model:   d.GetModel(),
		Adapter: d.GetAdapter(),
	}
	if d.GetMissing() {
		c.leader.planner.RecordMiss(now, d.GetService(), modelCopy)
		c.leader.planSoon = true
		return
	}
	c.leader.planner.RecordDemand(now, d.GetService(), modelCopy, time.Duration(d.GetWorkUs())*time.Microsecond)
}

// sendState tells an entry what the leader knows.
func (c *Core) sendState(now time.Time, host string, p *peer, grants []*wirepb.GateTokens) {
	state := &wirepb.GateState{
		Echo:      p.lastSequence,
		AgeUs:     uint64(now.Sub(c.leader.renewedAt).Microseconds()),
		Grants:    grants,
		Unrenewed: c.lease.Unrenewed(now),
	}
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
			// The leader itself assigns engines.
			state.Loads = append(state.Loads, encodeLoad(id, load))
		}
		if engine && !p.sentHoldings[id] {
			p.sentHoldings[id] = true
			state.Holdings = append(state.Holdings, encodeHolding(id, c.leader.planner.Servable(id)))
		}
	}
	state.Arrivals = c.encodeArrivals(now)
	c.encodeRelay(now, p, state)
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
		for model, at := range c.leader.planner.LoadETAs(service) {
			out = append(out, &wirepb.GateArrival{
				Service: service,
				Model:   model,
				AfterUs: uint64(max(at.Sub(now), 0).Microseconds()),
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

// engineSpec returns the description of an endpoint's engine, nil for plain ones.
func (c *Core) engineSpec(e *endpoint) *topo.EngineSpec {
	if c.config == nil || c.config.Services[e.Service] == nil {
		return nil
	}
	return c.config.Services[e.Service].Engine
}

// updatePlannerEndpoint passes an endpoint's account to the planner.
func (c *Core) updatePlannerEndpoint(now time.Time, e *endpoint) {
	if c.leader == nil {
		return
	}
	if spec := c.engineSpec(e); spec != nil {
		c.leader.planner.SetEndpoint(now, e.Endpoint, spec)
	}
}

// updateLeader plans from time to time.
func (c *Core) updateLeader(now time.Time) {
	if !c.isLeader(now) {
		return
	}
	for _, e := range c.endpoints {
		e.track.SetRemote(now, c.loadFromOthers(e.ID, c.settings.Host))
	}
	if c.leader.planSoon || now.Sub(c.leader.plannedAt) >= planInterval {
		c.plan(now)
	}
}

// plan gives the orders that the planner asks for, while the lease allows it.
func (c *Core) plan(now time.Time) {
	if !c.isLeader(now) || !c.lease.MayIssueOrders(now) {
		return
	}
	c.leader.planSoon = false
	c.leader.plannedAt = now
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		c.leader.planner.SetRunning(id, e.track.Load(now).Running)
	}
	plan := c.leader.planner.Plan(now)
	for _, o := range plan.Orders {
		e := c.endpoints[o.Engine]
		if e == nil {
			continue
		}
		c.emit(SendOrder{
			Order:   o,
			Address: e.Address,
			Term:    c.lease.Term(),
			Until:   c.lease.OrdersUntil(),
		})
	}
	for _, id := range plan.ReportRequests {
		if e := c.endpoints[id]; e != nil {
			c.emit(QueryEngine{
				Engine:  id,
				Address: e.Address,
			})
		}
	}
	c.publishHoldings(now)
}

// publishHoldings tells all entries, this one included, what has changed at the engines.
func (c *Core) publishHoldings(now time.Time) {
	changed := c.leader.planner.TakeChanged()
	if len(changed) == 0 {
		return
	}
	for _, id := range changed {
		if e := c.endpoints[id]; e != nil {
			c.setLeaderHoldings(now, e, c.leader.planner.Servable(id))
		}
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[host]
		if !p.connected {
			continue
		}
		for _, id := range changed {
			delete(p.sentHoldings, id)
		}
		if p.lastSequence > 0 {
			c.sendState(now, host, p, nil)
		}
	}
	c.retryParked(now)
}

// handleOrderAnswered takes what became of an order.
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

// handleEngineReported takes an engine's account.
func (c *Core) handleEngineReported(now time.Time, e EngineReported) {
	if c.leader == nil || e.Report == nil {
		return
	}
	c.leader.planner.HandleReport(now, e.Engine, *e.Report)
	c.plan(now)
}
