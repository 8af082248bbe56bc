package gate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// maxRelayAge is the age of the leader's reads up to which an entry doesn't read
// the store itself. It leaves time for an own read within the bounds on new
// configurations and on leaving endpoints.
const maxRelayAge = 1300 * time.Millisecond

// storeRelay is what an entry knows of the store by the leader's reads. It saves the
// calls of all entries but one.
type storeRelay struct {
	configConfirmedAt   time.Time
	registryConfirmedAt time.Time
	// watching is true while this entry reads the store itself.
	watching bool
	// watchingForPeers is true while it reads for all.
	watchingForPeers bool
	fetchingConfig   bool
}

// applyRelay takes the leader's reads of the store. sentAt is when the report was
// sent that the state answers: the leader's reads are at least as new as their
// age says, counted from then.
func (c *Core) applyRelay(now, sentAt time.Time, state *wirepb.GateState) {
	configConfirmedAt := sentAt.Add(-time.Duration(state.GetConfigAgeUs()) * time.Microsecond)
	switch {
	case c.config == nil || state.GetConfigVersion() > c.config.Version:
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
	for _, e := range state.GetEndpoints() {
		if ep, ok := decodeEndpoint(e); ok {
			c.setEndpoint(now, ep)
		}
	}
	for _, id := range state.GetGone() {
		c.removeEndpoint(id)
	}
	registryConfirmedAt := sentAt.Add(-time.Duration(state.GetRegistryAgeUs()) * time.Microsecond)
	c.storeRelay.registryConfirmedAt = registryConfirmedAt
	if registryConfirmedAt.After(c.registryConfirmedAt) {
		c.registryConfirmedAt = registryConfirmedAt
	}
	c.updateStoreWatch(now)
}

// updateStoreWatch reads the store itself when the leader's reads are too old, and
// stops when they are new enough.
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
		ID:            e.GetId(),
		Service:       e.GetService(),
		Address:       address,
		Zone:          e.GetZone(),
		Slots:         int(e.GetSlots()),
		Incarnation:   e.GetBorn(),
		Sequence:      e.GetSequence(),
		Draining:      e.GetDraining(),
		ColdRemaining: time.Duration(e.GetColdUs()) * time.Microsecond,
	}, true
}

// encodeRelay adds the leader's reads of the store to a state.
func (c *Core) encodeRelay(now time.Time, p *peer, state *wirepb.GateState) {
	if c.config != nil {
		state.ConfigVersion = c.config.Version
	}
	state.ConfigAgeUs = uint64(now.Sub(c.configConfirmedAt).Microseconds())
	state.RegistryAgeUs = uint64(c.relayedRegistryAge(now).Microseconds())
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		if _, missing := c.missingUntil[id]; missing || p.sentRevisions[id] == e.revision {
			continue
		}
		p.sentRevisions[id] = e.revision
		state.Endpoints = append(state.Endpoints, &wirepb.GateEndpoint{
			Id:       id,
			Service:  e.Service,
			Address:  e.Address.String(),
			Zone:     e.Zone,
			Slots:    uint32(e.Slots),
			Born:     e.Incarnation,
			Sequence: e.Sequence,
			Draining: e.Draining,
			ColdUs:   uint64(max(e.coldUntil.Sub(now), 0).Microseconds()),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(p.sentRevisions)) {
		if c.endpoints[id] == nil {
			delete(p.sentRevisions, id)
			state.Gone = append(state.Gone, id)
		}
	}
}

// relayedRegistryAge returns the age of this entry's account of the endpoints for
// others. While it keeps endpoints whose records are missing, others must read
// the store themselves: it may keep one that has left.
func (c *Core) relayedRegistryAge(now time.Time) time.Duration {
	age := now.Sub(c.registryConfirmedAt)
	if len(c.missingUntil) > 0 {
		return max(age, maxRelayAge)
	}
	return age
}

// sendStates tells all entries at once what has changed.
func (c *Core) sendStates(now time.Time) {
	if !c.isLeader(now) {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[host]; p.connected && p.lastSequence > 0 {
			c.sendState(now, host, p, nil)
		}
	}
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}
