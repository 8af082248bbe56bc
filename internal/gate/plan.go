package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
)

const (
	// planInterval is the time between two regular plans, minPlanInterval the least
	// time between two plans if something calls for one.
	planInterval    = 20 * time.Millisecond
	minPlanInterval = 4 * time.Millisecond
)

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
		c.leader.planner.SetLimited(id, ep.limit.named())
		c.leader.planner.SetEnded(id, c.hasEnded(now, ep))
		c.leader.planner.SetEvacuated(id, c.isEvacuated(ep.Zone))
		c.leader.planner.SetRegion(id, c.settings.Regions[ep.Zone])
	}
	c.updatePlannerVersions(now)
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

// updatePlannerVersions tells the planner of which services the software versions differ, or
// did lately.
func (c *Core) updatePlannerVersions(now time.Time) {
	if c.config == nil {
		return // there are no services yet
	}
	for service, spec := range c.config.Services {
		if spec.Engine != nil {
			c.leader.planner.SetVersionsDiffer(service, c.versionsDiffer(now, service))
		}
	}
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
