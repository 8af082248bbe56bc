package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pacer"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
)

// endpoint is the entry's state for one endpoint.
type endpoint struct {
	*topo.Endpoint
	stats *pick.EndpointStats
	// schedule is the timeline of prompts and speed the relative prefill speed;
	// both are maintained by the leader.
	schedule pacer.Schedule
	speed    pacer.EngineSpeed
	limit    endpointLimit
	// leaderHoldings is what the engine holds according to the leader, nil if
	// the leader has not reported it.
	leaderHoldings   []topo.Holding
	leaderHoldingsAt time.Time
	// learnedAt is when the record was learned.
	learnedAt time.Time
	// coldUntil is when the endpoint will have warmed up.
	coldUntil time.Time
	// doubtfulUntil is the time until which it counts as cold whatever its record says.
	doubtfulUntil time.Time
	// missingArtifacts maps "model/adapter" to the time at which the endpoint
	// reported that it lacks the model or adapter. It is cleared when the
	// leader reports the endpoint's holdings.
	missingArtifacts map[string]time.Time
}

const (
	// missingArtifactLifetime is how long an endpoint's own report that it
	// lacks a model or adapter takes precedence over older information.
	missingArtifactLifetime = 1500 * time.Millisecond
	// minOutage is the least time without a successful read of the registry by
	// any entry after which records may have expired. A single failed read is
	// not an outage.
	minOutage = 1800 * time.Millisecond
	// leaderHoldingsLifetime is how long the leader's report of holdings takes
	// precedence over the registry's while there is no current state from the
	// leader.
	leaderHoldingsLifetime = 4 * time.Second
)

// holds reports whether the endpoint holds a model and adapter. An empty
// adapter means the model alone.
func (ep *endpoint) holds(now time.Time, leaderStateCurrent bool, model, adapter string) bool {
	if len(ep.missingArtifacts) > 0 {
		if at, ok := ep.missingArtifacts[model+"/"+adapter]; ok && now.Sub(at) < missingArtifactLifetime {
			return false
		}
	}
	holdings, _ := ep.currentHoldings(now, leaderStateCurrent)
	for _, h := range holdings {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}

// currentHoldings returns what the endpoint holds, and whether the leader has said so.
func (ep *endpoint) currentHoldings(now time.Time, leaderStateCurrent bool) (holdings []topo.Holding, fromLeader bool) {
	if ep.leaderHoldings != nil && (leaderStateCurrent || now.Sub(ep.leaderHoldingsAt) < leaderHoldingsLifetime) {
		return ep.leaderHoldings, true
	}
	return ep.Holdings, false
}

// sortedEndpoints returns the endpoints ordered by ID.
func (c *Core) sortedEndpoints() []*endpoint {
	if c.endpointList == nil {
		c.endpointList = make([]*endpoint, 0, len(c.endpoints))
		for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
			c.endpointList = append(c.endpointList, c.endpoints[id])
		}
		c.plainConfig = nil
	}
	return c.endpointList
}

// sortedPlainEndpoints returns the endpoints of services without engines, ordered by ID.
func (c *Core) sortedPlainEndpoints() []*endpoint {
	endpoints := c.sortedEndpoints()
	if c.plainConfig == nil || c.plainConfig != c.config {
		c.plainConfig = c.config
		c.plainEndpoints = nil
		for _, ep := range endpoints {
			if c.engineSpec(ep) == nil {
				c.plainEndpoints = append(c.plainEndpoints, ep)
			}
		}
	}
	return c.plainEndpoints
}

// handleEndpointsRead applies a read of the endpoint registry.
func (c *Core) handleEndpointsRead(now time.Time, e EndpointsRead) {
	restored := e.Restored || c.registryDown && e.SentAt.Sub(c.registryConfirmedAt) > minOutage
	c.registryDown = false
	if restored {
		c.registryRestoredAt = now
		c.logChange("registry outage ended", "", "", now.Sub(c.registryConfirmedAt))
	}
	c.previousRegistryAt = c.registryConfirmedAt
	c.recordMissedChanges(e.SentAt)
	if e.SentAt.After(c.registryConfirmedAt) {
		c.registryConfirmedAt = e.SentAt
	}
	revision := c.endpointChanges.Revision()
	seen := make(map[string]bool, len(e.Changes))
	for _, change := range e.Changes {
		seen[change.ID] = true
		c.applyEndpointChange(now, change, restored)
	}
	if e.Full {
		for _, ep := range c.sortedEndpoints() {
			if !seen[ep.ID] && !ep.learnedAt.After(e.SentAt) {
				c.handleMissingEndpoint(now, ep.ID)
			}
		}
	}
	c.expireMissingEndpoints(now)
	if c.endpointChanges.Revision() != revision {
		c.sendStates(now)
	}
	c.retryParked(now)
}

// applyEndpointChange applies one change of an endpoint's record. restored is
// true for the first read after an outage. Only in that read may a removal be
// due to a record that expired during the outage; later removals are of
// endpoints that leave.
func (c *Core) applyEndpointChange(now time.Time, change topo.EndpointChange, restored bool) {
	switch {
	case change.Err != nil:
		c.logChange("endpoint record is invalid", change.ID, change.Err.Error(), 0)
		c.removeEndpoint(now, change.ID)
	case change.Endpoint == nil && restored:
		c.handleMissingEndpoint(now, change.ID)
	case change.Endpoint == nil:
		c.removeEndpoint(now, change.ID)
	default:
		c.setEndpoint(now, change.Endpoint)
	}
}

// setEndpoint adds or updates an endpoint. Older records are ignored.
func (c *Core) setEndpoint(now time.Time, record *topo.Endpoint) {
	known := c.endpoints[record.ID]
	if known != nil && record.OlderThan(known.Endpoint) || c.hasDeparted(record) {
		return
	}
	delete(c.missingUntil, record.ID)
	if c.isLeaving(record) {
		record.Draining = true
	}
	if known != nil && known.Incarnation != record.Incarnation {
		if !known.Draining {
			c.recordReplaced(now, runOf(known.Endpoint))
		}
		if known.SoftwareVersion != record.SoftwareVersion {
			c.doubtVersions(now, known)
		}
		c.removeEndpoint(now, record.ID)
		known = nil
	}
	if known == nil {
		known = &endpoint{
			stats:            pick.NewEndpointStats(),
			missingArtifacts: make(map[string]time.Time),
		}
		c.restoreDeparted(now, known, record)
		c.endpoints[record.ID] = known
		c.endpointList = nil
		c.serviceVersions = nil
		c.logChange("endpoint added", record.ID, record.Service, 0)
	} else if record.Draining && !known.Draining {
		c.logChange("endpoint draining", record.ID, record.Service, 0)
	}
	if len(record.Holdings) == 0 && known.Endpoint != nil {
		// Endpoints relayed by the leader carry no holdings, because these are
		// sent separately.
		record.Holdings = known.Holdings
	}
	if record.SoftwareVersion == "" && known.Endpoint != nil {
		record.SoftwareVersion = known.SoftwareVersion // relayed by an older release
	}
	if known.Endpoint == nil || known.Draining != record.Draining || known.Address != record.Address ||
		known.SoftwareVersion != record.SoftwareVersion {
		c.endpointChanges.Record(record.ID)
		c.serviceVersions = nil
	}
	again := known.Endpoint != nil && known.Sequence == record.Sequence
	known.Endpoint = record
	known.learnedAt = now
	c.applyEarlyLimit(now, known)
	c.recordCold(now, known, record, again)
	c.updatePlannerEndpoint(now, known)
}

// handleMissingEndpoint handles an endpoint whose record is missing. Records
// may expire during an outage of the registry although the endpoint is running,
// so the endpoint is kept until the grace period ends.
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
	c.removeEndpoint(now, id)
}

// removeEndpoint removes an endpoint. Its running requests continue.
func (c *Core) removeEndpoint(now time.Time, id string) {
	delete(c.missingUntil, id)
	if c.endpoints[id] == nil {
		return
	}
	c.probeRemoved(now, c.endpoints[id])
	c.recordDeparture(now, c.endpoints[id])
	c.recordVersionDeparture(now, c.endpoints[id].Endpoint)
	delete(c.endpoints, id)
	delete(c.coldEndpoints, id)
	c.endpointList = nil
	c.serviceVersions = nil
	c.endpointChanges.Record(id)
	c.logChange("endpoint removed", id, "", 0)
	c.emit(CloseEndpoint{Endpoint: id})
	if c.leader != nil {
		c.leader.planner.Remove(id)
		c.leader.holdingChanges.Forget(id)
		delete(c.leader.holdings, id)
	}
}

// expireMissingEndpoints removes endpoints whose records were not restored in
// time.
func (c *Core) expireMissingEndpoints(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.missingUntil)) {
		if !c.registryDown && !now.Before(c.missingUntil[id]) {
			c.removeEndpoint(now, id)
		}
	}
}

// knownPrefillRate returns prefillRate without remembering a rate that has no observations.
func (c *Core) knownPrefillRate(service, model string) *pick.PrefillRate {
	if rate := c.prefillRates[service+"/"+model]; rate != nil {
		return rate
	}
	return pick.NewPrefillRate()
}

// prefillRate returns the measured prefill speed of a model's endpoints.
func (c *Core) prefillRate(service, model string) *pick.PrefillRate {
	key := service + "/" + model
	rate := c.prefillRates[key]
	if rate == nil {
		rate = pick.NewPrefillRate()
		c.prefillRates[key] = rate
	}
	return rate
}
