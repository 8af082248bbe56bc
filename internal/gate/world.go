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
	// leaderHoldings is what the leader says the engine holds, nil if it said nothing.
	leaderHoldings   []topo.Holding
	leaderHoldingsAt time.Time
	// coldUntil is when the endpoint has warmed up.
	coldUntil time.Time
	// revision counts the changes that other entries must know of.
	revision uint64
	// missingCopies are copies that the endpoint said it lacks, until a later account.
	missingCopies map[string]time.Time
}

const (
	// missingCopyLifetime is how long an endpoint's word that it lacks a copy outweighs
	// older accounts.
	missingCopyLifetime = 1500 * time.Millisecond
	// minOutage is for how long nobody must have read the registry for records
	// to have lapsed; a single read that failed is no outage.
	minOutage = 1800 * time.Millisecond
	// leaderHoldingsLifetime is how long the leader's account goes before the registry's.
	leaderHoldingsLifetime = 4 * time.Second
)

// holds reports whether the endpoint can run requests for a model and adapter.
func (e *endpoint) holds(now time.Time, leaderStateCurrent bool, model, adapter string) bool {
	if at, ok := e.missingCopies[model+"/"+adapter]; ok && now.Sub(at) < missingCopyLifetime {
		return false
	}
	holdings := e.Holdings
	if e.leaderHoldings != nil && (leaderStateCurrent || now.Sub(e.leaderHoldingsAt) < leaderHoldingsLifetime) {
		holdings = e.leaderHoldings
	}
	for _, h := range holdings {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}

// handleConfigRead takes an answer of the store on the configuration.
func (c *Core) handleConfigRead(now time.Time, e ConfigRead) {
	wasReady := c.ready(now)
	if e.SentAt.After(c.configConfirmedAt) {
		c.configConfirmedAt = e.SentAt
	}
	if e.Config != nil && (c.config == nil || e.Config.Version > c.config.Version) {
		c.config = e.Config
		c.logChange("configuration in force", "", "", now.Sub(e.SentAt))
		c.updateQuotas(now)
		c.refuseRevokedKeys(now)
		c.sendStates(now)
	}
	if ready := c.ready(now); ready != wasReady {
		c.logChange("readiness", readinessText(ready), "", now.Sub(c.configConfirmedAt))
	}
	c.retryParked(now)
}

func readinessText(b bool) string {
	if b {
		return "ready"
	}
	return "notReady"
}

// handleEndpointsRead takes an answer of the store on the endpoints.
func (c *Core) handleEndpointsRead(now time.Time, e EndpointsRead) {
	restored := c.registryDown && e.SentAt.Sub(c.registryConfirmedAt) > minOutage
	c.registryDown = false
	if restored {
		c.registryRestoredAt = now
		c.logChange("registry reached again", "", "", now.Sub(c.registryConfirmedAt))
	}
	if e.SentAt.After(c.registryConfirmedAt) {
		c.registryConfirmedAt = e.SentAt
	}
	revision := c.lastRevision
	seen := make(map[string]bool, len(e.Changes))
	for _, change := range e.Changes {
		seen[change.ID] = true
		c.applyEndpointChange(now, change, restored)
	}
	if e.Full {
		for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
			if !seen[id] {
				c.handleMissingEndpoint(now, id)
			}
		}
	}
	c.expireMissingEndpoints(now)
	if c.lastRevision != revision {
		c.sendStates(now)
	}
	c.retryParked(now)
}

// applyEndpointChange takes one change. Only in the first answer after the store's
// return a removal may be of a record that lapsed meanwhile; later ones are of
// endpoints that leave.
func (c *Core) applyEndpointChange(now time.Time, change topo.EndpointChange, restored bool) {
	switch {
	case change.Err != nil:
		c.logChange("unreadable record of an endpoint", change.ID, change.Err.Error(), 0)
		c.removeEndpoint(change.ID)
	case change.Endpoint == nil && restored:
		c.handleMissingEndpoint(now, change.ID)
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
	delete(c.missingUntil, ep.ID)
	if known != nil && known.Incarnation != ep.Incarnation {
		c.removeEndpoint(ep.ID)
		known = nil
	}
	if known == nil {
		known = &endpoint{
			track:         pick.NewEndpointStats(),
			missingCopies: make(map[string]time.Time),
		}
		c.endpoints[ep.ID] = known
		c.logChange("endpoint found", ep.ID, ep.Service, 0)
	} else if ep.Draining && !known.Draining {
		c.logChange("endpoint drains", ep.ID, ep.Service, 0)
	}
	if known.Endpoint == nil || known.Draining != ep.Draining || known.Address != ep.Address {
		c.lastRevision++
		known.revision = c.lastRevision
	}
	if len(ep.Holdings) == 0 && known.Endpoint != nil {
		// The leader's account leaves holdings to its own messages.
		ep.Holdings = known.Holdings
	}
	known.Endpoint = ep
	known.coldUntil = now.Add(ep.ColdRemaining)
	c.updatePlannerEndpoint(now, known)
}

// handleMissingEndpoint takes the loss of an endpoint's record. While the store was
// away records may lapse though the endpoint lives.
func (c *Core) handleMissingEndpoint(now time.Time, id string) {
	if c.endpoints[id] == nil {
		return
	}
	if now.Sub(c.registryRestoredAt) < c.settings.RegistryGracePeriod && !c.registryRestoredAt.IsZero() {
		if _, pending := c.missingUntil[id]; !pending {
			c.missingUntil[id] = c.registryRestoredAt.Add(c.settings.RegistryGracePeriod)
		}
		return
	}
	c.removeEndpoint(id)
}

// removeEndpoint forgets an endpoint. Requests at it go on.
func (c *Core) removeEndpoint(id string) {
	delete(c.missingUntil, id)
	if c.endpoints[id] == nil {
		return
	}
	delete(c.endpoints, id)
	c.lastRevision++
	c.logChange("endpoint gone", id, "", 0)
	c.emit(CloseEndpoint{Endpoint: id})
	if c.leader != nil {
		c.leader.planner.Remove(id)
	}
}

// expireMissingEndpoints drops endpoints whose records did not come back.
func (c *Core) expireMissingEndpoints(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.missingUntil)) {
		if !c.registryDown && !now.Before(c.missingUntil[id]) {
			c.removeEndpoint(id)
		}
	}
}

// pace returns the speed of a model's endpoints.
func (c *Core) pace(service, model string) *pick.PrefillRate {
	key := service + "/" + model
	pace := c.paces[key]
	if pace == nil {
		pace = pick.NewPrefillRate()
		c.paces[key] = pace
	}
	return pace
}
