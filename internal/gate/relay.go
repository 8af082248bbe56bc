package gate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// maxRelayAge is the age of the leader's reads up to which an entry does not
// read the store itself. It leaves time for the entry's own read within the
// bounds on adopting new configurations and on noticing endpoints that leave.
const maxRelayAge = 1300 * time.Millisecond

// storeRelay tracks the leader's reads of the store. The other entries rely on
// them instead of calling the store themselves.
type storeRelay struct {
	configConfirmedAt   time.Time
	registryConfirmedAt time.Time
	// watching is true while this entry reads the store itself.
	watching bool
	// watchingForPeers is true while it reads for all entries.
	watchingForPeers bool
	fetchingConfig   bool
}

// applyRelay applies the leader's reads of the store. sentAt is when this entry
// sent the report that the state answers. Subtracting the ages in the state
// from it gives a lower bound for when the leader read the store. config is the
// configuration in the state, nil if it has none.
func (c *Core) applyRelay(now, sentAt time.Time, state *wirepb.GateState, config *topo.Config) {
	c.learnVersion(now, state.GetConfigVersion())
	configConfirmedAt := sentAt.Add(-time.Duration(state.GetConfigAgeUs()) * time.Microsecond)
	if c.config != nil { // else a read of the store puts the first one into force
		c.applyConfig(now, config, configConfirmedAt)
	}
	switch {
	case c.config == nil || state.GetConfigVersion() > c.config.Version:
		c.voidConfigProof(now, newerConfigBy(now, state))
		if state.GetConfigVersion() > 0 && !c.storeRelay.fetchingConfig {
			c.storeRelay.fetchingConfig = true
			c.emit(FetchConfig{})
		}
	case state.GetConfigVersion() == c.config.Version:
		c.storeRelay.configConfirmedAt = configConfirmedAt
		if configConfirmedAt.After(c.configConfirmedAt) {
			c.configConfirmedAt = configConfirmedAt
		}
	}
	c.applyRelayedEvacuation(now, configConfirmedAt, state.GetEvacuation())
	c.previousRegistryAt = c.registryConfirmedAt
	for _, e := range state.GetEndpoints() {
		if record, ok := decodeEndpoint(e); ok {
			c.setEndpoint(now, record)
			c.recordRelayedCold(now, record)
		}
	}
	for _, id := range state.GetGone() {
		c.removeEndpoint(now, id)
	}
	registryConfirmedAt := sentAt.Add(-time.Duration(state.GetRegistryAgeUs()) * time.Microsecond)
	c.storeRelay.registryConfirmedAt = registryConfirmedAt
	if registryConfirmedAt.After(c.registryConfirmedAt) {
		if state.GetEndpointsComplete() {
			c.removeUnlisted(now, state.GetEndpoints())
		}
		c.recordMissedChanges(registryConfirmedAt)
		c.registryConfirmedAt = registryConfirmedAt
	}
	c.updateStoreWatch(now)
}

// removeUnlisted removes the endpoints that are not in a complete list.
func (c *Core) removeUnlisted(now time.Time, endpoints []*wirepb.GateEndpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.GetId()] = true
	}
	for _, ep := range c.sortedEndpoints() {
		if !listed[ep.ID] {
			c.removeEndpoint(now, ep.ID)
		}
	}
}

// updateStoreWatch starts reading the store when the leader's reads are too
// old, and stops when they are recent enough.
func (c *Core) updateStoreWatch(now time.Time) {
	isLeader := c.isLeader(now)
	relayed := !isLeader && c.config != nil &&
		now.Sub(c.storeRelay.configConfirmedAt) < maxRelayAge && now.Sub(c.storeRelay.registryConfirmedAt) < maxRelayAge
	if relayed == !c.storeRelay.watching && isLeader == c.storeRelay.watchingForPeers {
		return
	}
	c.storeRelay.watching = !relayed
	c.storeRelay.watchingForPeers = isLeader
	var age time.Duration
	if !c.storeRelay.configConfirmedAt.IsZero() {
		age = now.Sub(c.storeRelay.configConfirmedAt)
	}
	c.logChange("reads the store itself", onOff(!relayed), "", age)
	c.emit(WatchStore{
		Config:   !relayed,
		Registry: !relayed,
		ForPeers: isLeader,
	})
}

func decodeEndpoint(e *wirepb.GateEndpoint) (*topo.Endpoint, bool) {
	address, err := netip.ParseAddrPort(e.GetAddress())
	if err != nil {
		return nil, false
	}
	return &topo.Endpoint{
		ID:              e.GetId(),
		Service:         e.GetService(),
		Address:         address,
		Zone:            e.GetZone(),
		SoftwareVersion: e.GetSoftwareVersion(),
		Slots:           int(e.GetSlots()),
		Incarnation:     e.GetBorn(),
		Sequence:        e.GetSequence(),
		Draining:        e.GetDraining(),
		ColdRemaining:   time.Duration(e.GetColdUs()) * time.Microsecond,
	}, true
}

// encodeRelay adds the leader's reads of the store to a state.
func (c *Core) encodeRelay(now time.Time, peer *peer, state *wirepb.GateState) {
	if c.config != nil {
		state.ConfigVersion = c.config.Version
		state.ConfigSeenUs = max(wirepb.AgeMicroseconds(now, c.configAppliedAt), 1)
	}
	state.ConfigAgeUs = uint64(now.Sub(c.configConfirmedAt).Microseconds())
	state.RegistryAgeUs = uint64(c.relayedRegistryAge(now).Microseconds())
	if !peer.endpointsComplete && len(c.missingUntil) == 0 {
		// What was removed before the session began is not among the changes.
		peer.endpointsComplete = true
		peer.endpointsSent = c.endpointChanges.Revision()
		clear(peer.withheld)
		state.EndpointsComplete = true
		for _, ep := range c.sortedEndpoints() {
			state.Endpoints = append(state.Endpoints, encodeEndpoint(now, ep))
		}
		return
	}
	changed := c.endpointChanges.After(peer.endpointsSent)
	for id := range peer.withheld {
		if _, missing := c.missingUntil[id]; !missing && !slices.Contains(changed, id) {
			changed = append(changed, id)
		}
	}
	for _, id := range changed {
		delete(peer.withheld, id)
		_, missing := c.missingUntil[id]
		ep := c.endpoints[id]
		switch {
		case missing:
			peer.withheld[id] = true
		case ep != nil:
			state.Endpoints = append(state.Endpoints, encodeEndpoint(now, ep))
		case peer.endpointsSent > 0:
			state.Gone = append(state.Gone, id)
		}
	}
	peer.endpointsSent = c.endpointChanges.Revision()
}

func encodeEndpoint(now time.Time, ep *endpoint) *wirepb.GateEndpoint {
	return &wirepb.GateEndpoint{
		Id:              ep.ID,
		Service:         ep.Service,
		Address:         ep.Address.String(),
		Zone:            ep.Zone,
		Slots:           uint32(ep.Slots),
		Born:            ep.Incarnation,
		Sequence:        ep.Sequence,
		Draining:        ep.Draining,
		ColdUs:          uint64(max(ep.coldUntil.Sub(now), 0).Microseconds()),
		SoftwareVersion: ep.SoftwareVersion,
	}
}

// relayedRegistryAge returns the age of this entry's registry data as sent to
// other entries. While it keeps endpoints whose records are missing, one of
// them may have left, so the returned age makes the others read the registry
// themselves.
func (c *Core) relayedRegistryAge(now time.Time) time.Duration {
	age := now.Sub(c.registryConfirmedAt)
	if len(c.missingUntil) > 0 {
		return max(age, maxRelayAge)
	}
	return age
}

// sendStates sends the leader's state to all entries immediately.
func (c *Core) sendStates(now time.Time) {
	if !c.isLeader(now) {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if peer := c.peers[host]; peer.connected && peer.lastSequence > 0 {
			c.sendState(now, host, peer, answer{})
		}
	}
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}
