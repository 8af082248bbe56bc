package gate

import (
	"time"

	"dogwoodfold/internal/poison"
)

// BeliefsRequested requests what the entry believes on Reply, which must have room for one
// value.
type BeliefsRequested struct{ Reply chan<- Beliefs }

// Beliefs is what an entry believes of the fleet, for operators. Times that are zero are
// those of beliefs that it doesn't have.
type Beliefs struct {
	// Now is the time at which the entry held these beliefs.
	Now    time.Time
	Status Status
	Zone   string
	Host   string
	// Connected is true if the entry has a session to the leader that it follows.
	Connected bool
	// LeaseAt is when the newest known record of the lease was sent or first read.
	LeaseAt time.Time
	// Members is the number of entries, 0 if it isn't known. Share is the entry's standing
	// share of every customer's rate.
	Members int
	Share   float64
	// ConfigAt and RegistryAt are when the reads were sent that proved the configuration and
	// the registry current.
	ConfigAt    time.Time
	RegistryAt  time.Time
	Endpoints   []EndpointBelief
	Quarantines []poison.Quarantine
}

// EndpointState tells whether an endpoint gets requests, and why not.
type EndpointState string

// States of endpoints.
const (
	EndpointReady EndpointState = "ready"
	// EndpointDraining means that the endpoint leaves.
	EndpointDraining EndpointState = "draining"
	// EndpointEnded means that the endpoint's run is proved to be over.
	EndpointEnded EndpointState = "ended"
	// EndpointEvacuated means that the endpoint's zone is evacuated.
	EndpointEvacuated EndpointState = "evacuated"
	// EndpointMissing means that the registry has lacked the endpoint since an outage.
	EndpointMissing EndpointState = "missing"
	// EndpointPausing means that the endpoint has refused a request or a connection.
	EndpointPausing EndpointState = "pausing"
	// EndpointFailing means that the endpoint fails often and is only tried.
	EndpointFailing EndpointState = "failing"
	// EndpointCold means that the endpoint is slow after its start.
	EndpointCold EndpointState = "cold"
)

// EndpointBelief is what an entry believes of an endpoint.
type EndpointBelief struct {
	ID              string
	Service         string
	Zone            string
	SoftwareVersion string
	State           EndpointState
	Slots           int
	// Running is the number of requests from this entry, and from the others at LoadAt.
	Running int
	LoadAt  time.Time
	// Limit is the named limit in requests per second, 0 if there is none.
	Limit float64
	// Models are those that an engine holds, according to the leader at HoldingsAt or, if
	// that is zero, to the registry.
	Models     []string
	HoldingsAt time.Time
}

// beliefs returns what the entry believes.
func (c *Core) beliefs(now time.Time) Beliefs {
	b := Beliefs{
		Now:        now,
		Status:     c.status(now),
		Host:       c.settings.Host,
		Zone:       c.settings.Zone,
		Connected:  c.leaderLink.connected && !c.leaderLink.crashRelay,
		LeaseAt:    c.lease.ConfirmedAt(),
		Members:    c.follower.members,
		Share:      c.standingShare(now),
		ConfigAt:   c.configConfirmedAt,
		RegistryAt: c.registryConfirmedAt,
	}
	if c.leader != nil {
		b.Members = len(c.leader.members)
	}
	for _, ep := range c.sortedEndpoints() {
		b.Endpoints = append(b.Endpoints, c.endpointBelief(now, ep))
	}
	for _, q := range c.crashes.log.Quarantines() {
		if now.Before(q.Until) {
			b.Quarantines = append(b.Quarantines, q)
		}
	}
	return b
}

// endpointBelief returns what the entry believes of an endpoint.
func (c *Core) endpointBelief(now time.Time, ep *endpoint) EndpointBelief {
	b := EndpointBelief{
		ID:              ep.ID,
		Service:         ep.Service,
		Zone:            ep.Zone,
		SoftwareVersion: ep.SoftwareVersion,
		State:           c.endpointState(now, ep),
		Slots:           ep.Slots,
		Running:         ep.stats.Load(now).Running,
		Limit:           ep.limit.perSecondNow(),
	}
	if c.isLeader(now) || c.engineSpec(ep) == nil {
		b.LoadAt = ep.stats.RemoteAt() // followers aren't told the loads of engines
	}
	holdings, fromLeader := ep.currentHoldings(now, c.leaderStateCurrent(now))
	for _, h := range holdings {
		b.Models = append(b.Models, h.Model)
	}
	if fromLeader {
		b.HoldingsAt = ep.leaderHoldingsAt
	}
	return b
}

// endpointState returns the state of an endpoint; the first that applies counts.
func (c *Core) endpointState(now time.Time, ep *endpoint) EndpointState {
	_, missing := c.missingUntil[ep.ID]
	switch {
	case c.hasEnded(now, ep):
		return EndpointEnded
	case ep.Draining:
		return EndpointDraining
	case c.isEvacuated(ep.Zone):
		return EndpointEvacuated
	case missing:
		return EndpointMissing
	case ep.stats.BackingOff(now):
		return EndpointPausing
	case !ep.stats.Usable(now):
		return EndpointFailing
	case now.Before(ep.coldUntil):
		return EndpointCold
	default:
		return EndpointReady
	}
}
