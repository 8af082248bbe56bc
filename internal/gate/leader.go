package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/since"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// leader is the state of an entry while it leads.
type leader struct {
	startedAt time.Time
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
	// contentions are the states of customers whose requests ask for tokens.
	contentions map[string]*contention
	planner     *stock.Planner
	// holdingChanges are the engines whose holdings have changed, holdings the messages
	// about them.
	holdingChanges *since.Log[string]
	holdings       map[string]*wirepb.GateHolding
	// prefillShares limit the fraction of time that the engines of a service
	// may spend on prefill.
	prefillShares map[string]*pacer.PrefillShare
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
		startedAt:     now,
		members:       previous,
		allotment:     rate.NewAllotment(standingFraction, c.settings.ShareLifetime+c.settings.Lease.Margin, shares),
		pools:         make(map[string]*rate.Bucket),
		contentions:   make(map[string]*contention),
		loads:         make(map[string]pick.Load),
		planner:       stock.NewPlanner(now, plannerSettings, first),
		prefillShares: make(map[string]*pacer.PrefillShare),

		shares:         shares,
		holdingChanges: since.New[string](),
		holdings:       make(map[string]*wirepb.GateHolding),
	}
	for _, ep := range c.sortedEndpoints() {
		c.updatePlannerEndpoint(now, ep)
		if ep.limit.limited() {
			// The leader before may just have let a request through.
			ep.limit.pace.Restart(now, ep.limit.perSecondNow(), limitBurst)
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
		fresh.learnedSent = known.learnedSent
		fresh.address = known.address
		c.peers[host] = fresh
	}
	c.setCrashRelays()
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
		// The entries hold at most what they use in a second beside the pool, so that the
		// burst is not exceeded by more than the tolerance of the upper bound. Tokens
		// accumulated at a higher previous rate are cut to the new limit.
		pool.Set(now, fraction*customer.Rate, customer.Burst)
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
		pool.Add(now, amount, customer.Burst)
	}
}

func (c *Core) customer(name string) *topo.Customer {
	if c.config == nil {
		return nil
	}
	return c.config.Customers[name]
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
