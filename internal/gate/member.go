package gate

import (
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// reportPause is the time between reports to the leader.
	reportPause = 250 * time.Millisecond
	// silenceLimit is the time without word of the leader after which the lease
	// is read from the store.
	silenceLimit = 900 * time.Millisecond
	// readPause is the mean time between two reads of the lease.
	readPause = 1200 * time.Millisecond
	// stateLifetime is how long the leader's word counts.
	stateLifetime = 1500 * time.Millisecond
	// keptReports is how many reports may wait for their echo.
	keptReports = 64
)

// link is the session to the leader.
type link struct {
	host string
	up   bool
}

// member is this entry as a follower of the leader.
type member struct {
	share      float64
	shareUntil time.Time
	heardAt    time.Time
	// unrenewed is true while the leader can't renew its term, takesOver once
	// this entry has seen that the store serves it.
	unrenewed  bool
	takesOver  bool
	reportedAt time.Time
	sequence   uint64
	// sent holds when the last reports were sent.
	sent    map[uint64]time.Time
	asks    []*wirepb.GateTokens
	demand  map[string]map[stock.Artifact]time.Duration
	missing map[string]map[stock.Artifact]bool
	// arrivals are the loads under way, by service and model.
	arrivals map[string]map[string]time.Time
}

func newMember() member {
	return member{
		sent:     make(map[uint64]time.Time),
		demand:   make(map[string]map[stock.Artifact]time.Duration),
		missing:  make(map[string]map[stock.Artifact]bool),
		arrivals: make(map[string]map[string]time.Time),
	}
}

// linked reports whether the leader's accounts are current.
func (c *Core) linked(now time.Time) bool {
	return c.leads(now) || c.link.up && now.Sub(c.member.heardAt) < stateLifetime
}

// leaderReachable reports whether the leader can be asked for tokens.
func (c *Core) leaderReachable(now time.Time) bool {
	return c.linked(now)
}

// standingShare returns this entry's proved part of every customer's rate.
func (c *Core) standingShare(now time.Time) float64 {
	if now.After(c.member.shareUntil) {
		return 0
	}
	return c.member.share
}

// takeShare takes this entry's share from a record that was current at proof.
func (c *Core) takeShare(now time.Time, members []lease.Member, proof time.Time) {
	share := 0.0
	for _, m := range members {
		if m.Host == c.settings.Host {
			share = m.Share
		}
	}
	until := proof.Add(c.settings.ShareLifetime)
	if until.Before(c.member.shareUntil) {
		return
	}
	c.member.shareUntil = until
	if share != c.member.share {
		c.member.share = share
		c.adjustWallets(now)
	}
}

func (c *Core) linkUp(now time.Time, host string) {
	if host != c.link.host {
		return
	}
	c.link.up = true
	c.note("leader reached", host, "", 0)
	c.report(now)
}

func (c *Core) linkDown(host string) {
	if host != c.link.host || !c.link.up {
		return
	}
	c.link.up = false
	c.note("leader lost", host, "", 0)
}

// countDemand notes the work of a new request for the planner.
func (c *Core) countDemand(now time.Time, k *call) {
	service := c.config.Services[k.service]
	if service == nil || service.Engine == nil {
		return
	}
	copied := stock.Artifact{
		Model:   k.request.Model,
		Adapter: k.request.Adapter,
	}
	work := c.pace(k.service, k.request.Model).PrefillTime(k.request.PromptTokens)
	if c.leads(now) {
		c.leader.planner.RecordDemand(now, k.service, copied, work)
		return
	}
	if c.member.demand[k.service] == nil {
		c.member.demand[k.service] = make(map[stock.Artifact]time.Duration)
	}
	c.member.demand[k.service][copied] += work
}

// want tells the leader that a call waits for its model or adapter.
func (c *Core) want(now time.Time, k *call) {
	wanted := stock.Artifact{Model: k.request.Model}
	if c.modelHeld(now, k) {
		wanted.Adapter = k.request.Adapter
	}
	if c.leads(now) {
		c.leader.planner.RecordMiss(now, k.service, wanted)
		c.leader.hurry = true
		return
	}
	if c.member.missing[k.service] == nil {
		c.member.missing[k.service] = make(map[stock.Artifact]bool)
	}
	if !c.member.missing[k.service][wanted] {
		c.member.missing[k.service][wanted] = true
		if k.parkedAt.IsZero() {
			c.report(now)
		}
	}
}

// modelHeld reports whether some endpoint holds a call's model.
func (c *Core) modelHeld(now time.Time, k *call) bool {
	linked := c.linked(now)
	for _, e := range c.endpoints {
		if e.Service == k.service && !e.Draining && e.holds(now, linked, k.request.Model, "") {
			return true
		}
	}
	return false
}

// arrival returns when a call's model is expected, if it is being loaded.
func (c *Core) arrival(now time.Time, k *call) (time.Time, bool) {
	if c.leads(now) {
		at, ok := c.leader.planner.LoadETAs(k.service)[k.request.Model]
		return at, ok
	}
	at, ok := c.member.arrivals[k.service][k.request.Model]
	return at, ok && c.linked(now)
}

// tendMember reports to the leader and looks for one if there is none.
func (c *Core) tendMember(now time.Time) {
	if c.link.up && now.Sub(c.member.reportedAt) >= reportPause {
		c.report(now)
	}
}

// report sends the leader what it needs to know.
func (c *Core) report(now time.Time) {
	if !c.link.up || c.lease.Holds(now) {
		return
	}
	m := &c.member
	m.sequence++
	m.sent[m.sequence] = now
	delete(m.sent, m.sequence-keptReports)
	r := &wirepb.GateReport{
		Sequence:  m.sequence,
		Loads:     c.ownLoads(),
		Demands:   m.takeDemands(),
		Asks:      m.asks,
		TakesOver: m.takesOver,
		Streams:   c.assignments.takeStreams(),
	}
	m.takesOver = false
	if now.Sub(m.reportedAt) >= reportPause {
		r.Returns = c.surplus(now)
	}
	m.asks = nil
	m.reportedAt = now
	c.do(SendReport{Report: r})
}

// takeDemands returns the demand since the last report.
func (m *member) takeDemands() []*wirepb.GateDemand {
	var out []*wirepb.GateDemand
	for service, copies := range m.demand {
		for c, work := range copies {
			out = append(out, &wirepb.GateDemand{
				Service: service,
				Model:   c.Model,
				Adapter: c.Adapter,
				WorkUs:  uint64(work.Microseconds()),
			})
		}
	}
	for service, copies := range m.missing {
		for c := range copies {
			out = append(out, &wirepb.GateDemand{
				Service: service,
				Model:   c.Model,
				Adapter: c.Adapter,
				Missing: true,
			})
		}
	}
	clear(m.demand)
	clear(m.missing)
	return out
}

// stateReceived takes what the leader knows.
func (c *Core) stateReceived(now time.Time, e StateReceived) {
	if e.Host != c.link.host || c.lease.Holds(now) {
		return
	}
	s := e.State
	sentAt, known := c.member.sent[s.GetEcho()]
	if !known || now.Sub(sentAt) > stateLifetime {
		return // too old to count: tokens in it are lost, never doubled
	}
	c.member.heardAt = now
	if renewal := s.GetAbdicates(); renewal > 0 {
		c.lease.HolderResigned(now, e.Host, renewal)
		c.link.up = false
		c.note("leader has stopped", e.Host, "", 0)
		c.tendLease(now)
		return
	}
	c.unrenewed(now, s.GetUnrenewed())
	proof := sentAt.Add(-time.Duration(s.GetAgeUs()) * time.Microsecond)
	members := make([]lease.Member, 0, len(s.GetShares()))
	for _, share := range s.GetShares() {
		members = append(members, lease.Member{
			Host:  share.GetHost(),
			Share: share.GetShare(),
		})
	}
	c.takeShare(now, members, proof)
	c.takeRelay(now, sentAt, s)
	c.takeLoads(now, s.GetLoads())
	c.takeHoldings(now, s.GetHoldings())
	c.takeArrivals(now, s.GetArrivals())
	for _, g := range s.GetGrants() {
		if w := c.wallets[g.GetCustomer()]; w != nil {
			c.granted(now, w, g.GetAmount())
		}
	}
	c.tendParked(now)
}

// unrenewed reads the lease if the leader can't renew its term: if the store
// serves this entry, it takes over.
func (c *Core) unrenewed(now time.Time, unrenewed bool) {
	c.member.unrenewed = unrenewed
	if unrenewed && !c.stopping && !c.reading && !now.Before(c.nextRead) {
		c.reading = true
		c.nextRead = now.Add(readPause)
		c.do(ReadLease{})
	}
}

func (c *Core) takeHoldings(now time.Time, holdings []*wirepb.GateHolding) {
	for _, h := range holdings {
		e := c.endpoints[h.GetEndpoint()]
		if e == nil {
			continue
		}
		told := make([]topo.Holding, 0, len(h.GetModels()))
		for _, m := range h.GetModels() {
			told = append(told, topo.Holding{
				Model:    m.GetName(),
				Adapters: m.GetAdapters(),
			})
		}
		c.tell(now, e, told)
	}
}

// tell takes the leader's account of what an endpoint holds.
func (c *Core) tell(now time.Time, e *endpoint, told []topo.Holding) {
	e.told = told
	e.toldAt = now
	clear(e.absent)
}

func (c *Core) takeArrivals(now time.Time, arrivals []*wirepb.GateArrival) {
	clear(c.member.arrivals)
	for _, a := range arrivals {
		if c.member.arrivals[a.GetService()] == nil {
			c.member.arrivals[a.GetService()] = make(map[string]time.Time)
		}
		c.member.arrivals[a.GetService()][a.GetModel()] = now.Add(time.Duration(a.GetAfterUs()) * time.Microsecond)
	}
}
