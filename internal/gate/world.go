package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
)

// endpoint is what the entry knows of one endpoint.
type endpoint struct {
	*topo.Endpoint
	track *pick.EndpointStats
	// schedule is the timeline of prompts, speed how fast they are read; both are kept
	// by the leader.
	schedule pacer.Schedule
	speed    pacer.EngineSpeed
	// told is what the leader says the engine holds, nil if it said nothing.
	told   []topo.Holding
	toldAt time.Time
	// coldUntil is when the endpoint has warmed up.
	coldUntil time.Time
	// revision counts the changes that other entries must know of.
	revision uint64
	// absent are copies that the endpoint said it lacks, until a later account.
	absent map[string]time.Time
}

const (
	// absentTime is how long an endpoint's word that it lacks a copy outweighs
	// older accounts.
	absentTime = 1500 * time.Millisecond
	// leastOutage is for how long nobody must have read the registry for records
	// to have lapsed; a single read that failed is no outage.
	leastOutage = 1800 * time.Millisecond
	// toldLifetime is how long the leader's account goes before the registry's.
	toldLifetime = 4 * time.Second
)

// holds reports whether the endpoint can run requests for a model and adapter.
func (e *endpoint) holds(now time.Time, linked bool, model, adapter string) bool {
	if at, ok := e.absent[model+"/"+adapter]; ok && now.Sub(at) < absentTime {
		return false
	}
	holdings := e.Holdings
	if e.told != nil && (linked || now.Sub(e.toldAt) < toldLifetime) {
		holdings = e.told
	}
	for _, h := range holdings {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}

// configRead takes an answer of the store on the configuration.
func (c *Core) configRead(now time.Time, e ConfigRead) {
	wasReady := c.ready(now)
	if e.SentAt.After(c.configProof) {
		c.configProof = e.SentAt
	}
	if e.Config != nil && (c.config == nil || e.Config.Version > c.config.Version) {
		c.config = e.Config
		c.note("configuration in force", "", "", now.Sub(e.SentAt))
		c.adjustWallets(now)
		c.dropWithdrawn(now)
		c.pushStates(now)
	}
	if ready := c.ready(now); ready != wasReady {
		c.note("readiness", boolWord(ready), "", now.Sub(c.configProof))
	}
	c.tendParked(now)
}

func boolWord(b bool) string {
	if b {
		return "ready"
	}
	return "notReady"
}

// endpointsRead takes an answer of the store on the endpoints.
func (c *Core) endpointsRead(now time.Time, e EndpointsRead) {
	returned := c.registryDown && e.SentAt.Sub(c.registryProof) > leastOutage
	c.registryDown = false
	if returned {
		c.registryBack = now
		c.note("registry reached again", "", "", now.Sub(c.registryProof))
	}
	if e.SentAt.After(c.registryProof) {
		c.registryProof = e.SentAt
	}
	revision := c.revisions
	seen := make(map[string]bool, len(e.Changes))
	for _, change := range e.Changes {
		seen[change.ID] = true
		c.changeEndpoint(now, change, returned)
	}
	if e.Full {
		for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
			if !seen[id] {
				c.endpointMissing(now, id)
			}
		}
	}
	c.tendRegistry(now)
	if c.revisions != revision {
		c.pushStates(now)
	}
	c.tendParked(now)
}

// changeEndpoint takes one change. Only in the first answer after the store's
// return a removal may be of a record that lapsed meanwhile; later ones are of
// endpoints that leave.
func (c *Core) changeEndpoint(now time.Time, change topo.EndpointChange, returned bool) {
	switch {
	case change.Err != nil:
		c.note("unreadable record of an endpoint", change.ID, change.Err.Error(), 0)
		c.removeEndpoint(change.ID)
	case change.Endpoint == nil && returned:
		c.endpointMissing(now, change.ID)
	case change.Endpoint == nil:
		c.removeEndpoint(change.ID)
	default:
		c.setEndpoint(now, change.Endpoint)
	}
}

// setEndpoint takes a newer account of an endpoint.
func (c *Core) setEndpoint(now time.Time, ep *topo.Endpoint) {
	known := c.endpoints[ep.ID]
	if known != nil && ep.OlderThan(known.Endpoint) {
		return
	}
	delete(c.missing, ep.ID)
	if known != nil && known.Incarnation != ep.Incarnation {
		c.removeEndpoint(ep.ID)
		known = nil
	}
	if known == nil {
		known = &endpoint{
			track:  pick.NewEndpointStats(),
			absent: make(map[string]time.Time),
		}
		c.endpoints[ep.ID] = known
		c.note("endpoint found", ep.ID, ep.Service, 0)
	} else if ep.Draining && !known.Draining {
		c.note("endpoint drains", ep.ID, ep.Service, 0)
	}
	if known.Endpoint == nil || known.Draining != ep.Draining || known.Address != ep.Address {
		c.revisions++
		known.revision = c.revisions
	}
	if len(ep.Holdings) == 0 && known.Endpoint != nil {
		// The leader's account leaves holdings to its own messages.
		ep.Holdings = known.Holdings
	}
	known.Endpoint = ep
	known.coldUntil = now.Add(ep.ColdRemaining)
	c.tellPlanner(now, known)
}

// endpointMissing takes the loss of an endpoint's record. While the store was
// away records may lapse though the endpoint lives.
func (c *Core) endpointMissing(now time.Time, id string) {
	if c.endpoints[id] == nil {
		return
	}
	if now.Sub(c.registryBack) < c.settings.RegistryLag && !c.registryBack.IsZero() {
		if _, waits := c.missing[id]; !waits {
			c.missing[id] = c.registryBack.Add(c.settings.RegistryLag)
		}
		return
	}
	c.removeEndpoint(id)
}

// removeEndpoint forgets an endpoint. Requests at it go on.
func (c *Core) removeEndpoint(id string) {
	delete(c.missing, id)
	if c.endpoints[id] == nil {
		return
	}
	delete(c.endpoints, id)
	c.revisions++
	c.note("endpoint gone", id, "", 0)
	c.do(CloseEndpoint{Endpoint: id})
	if c.leader != nil {
		c.leader.planner.Remove(id)
	}
}

// tendRegistry drops endpoints whose records did not come back.
func (c *Core) tendRegistry(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.missing)) {
		if !c.registryDown && !now.Before(c.missing[id]) {
			c.removeEndpoint(id)
		}
	}
}

// pace returns the speed of a model's endpoints.
func (c *Core) pace(service, model string) *pick.PrefillRate {
	key := service + "/" + model
	p := c.paces[key]
	if p == nil {
		p = pick.NewPrefillRate()
		c.paces[key] = p
	}
	return p
}
