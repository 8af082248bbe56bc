package gate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// relayLimit is the age of the leader's reads up to which an entry doesn't read
// the store itself. It leaves time for an own read within the bounds on new
// configurations and on leaving endpoints.
const relayLimit = 1300 * time.Millisecond

// relay is what an entry knows of the store by the leader's reads. It saves the
// calls of all entries but one.
type relay struct {
	configProof   time.Time
	registryProof time.Time
	// following is true while this entry reads the store itself.
	following bool
	// leading is true while it reads for all.
	leading  bool
	fetching bool
}

// takeRelay takes the leader's reads of the store. sentAt is when the report was
// sent that the state answers: the leader's reads are at least as new as their
// age says, counted from then.
func (c *Core) takeRelay(now, sentAt time.Time, s *wirepb.GateState) {
	proof := sentAt.Add(-time.Duration(s.GetConfigAgeUs()) * time.Microsecond)
	switch {
	case c.config == nil || s.GetConfigVersion() > c.config.Version:
		if s.GetConfigVersion() > 0 && !c.relay.fetching {
			c.relay.fetching = true
			c.do(FetchConfig{})
		}
	case s.GetConfigVersion() == c.config.Version:
		c.relay.configProof = proof
		if proof.After(c.configProof) {
			c.configProof = proof
		}
	}
	for _, e := range s.GetEndpoints() {
		if ep, ok := decodeEndpoint(e); ok {
			c.setEndpoint(now, ep)
		}
	}
	for _, id := range s.GetGone() {
		c.removeEndpoint(id)
	}
	registry := sentAt.Add(-time.Duration(s.GetRegistryAgeUs()) * time.Microsecond)
	c.relay.registryProof = registry
	if registry.After(c.registryProof) {
		c.registryProof = registry
	}
	c.tendRelay(now)
}

// tendRelay reads the store itself when the leader's reads are too old, and
// stops when they are new enough.
func (c *Core) tendRelay(now time.Time) {
	leads := c.leads(now)
	relayed := !leads && c.config != nil &&
		now.Sub(c.relay.configProof) < relayLimit && now.Sub(c.relay.registryProof) < relayLimit
	if relayed == !c.relay.following && leads == c.relay.leading {
		return
	}
	c.relay.following = !relayed
	c.relay.leading = leads
	var age time.Duration
	if !c.relay.configProof.IsZero() {
		age = now.Sub(c.relay.configProof)
	}
	c.note("reads the store itself", onOff(!relayed), "", age)
	c.do(FollowStore{
		Config:   !relayed,
		Registry: !relayed,
		ForAll:   leads,
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
func (c *Core) encodeRelay(now time.Time, p *peer, s *wirepb.GateState) {
	if c.config != nil {
		s.ConfigVersion = c.config.Version
	}
	s.ConfigAgeUs = uint64(now.Sub(c.configProof).Microseconds())
	s.RegistryAgeUs = uint64(c.registryAge(now).Microseconds())
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		if _, doubtful := c.missing[id]; doubtful || p.endpoints[id] == e.revision {
			continue
		}
		p.endpoints[id] = e.revision
		s.Endpoints = append(s.Endpoints, &wirepb.GateEndpoint{
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
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		if c.endpoints[id] == nil {
			delete(p.endpoints, id)
			s.Gone = append(s.Gone, id)
		}
	}
}

// registryAge returns the age of this entry's account of the endpoints for
// others. While it keeps endpoints whose records are missing, others must read
// the store themselves: it may keep one that has left.
func (c *Core) registryAge(now time.Time) time.Duration {
	age := now.Sub(c.registryProof)
	if len(c.missing) > 0 {
		return max(age, relayLimit)
	}
	return age
}

// pushStates tells all entries at once what has changed.
func (c *Core) pushStates(now time.Time) {
	if !c.leads(now) {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[host]; p.up && p.echo > 0 {
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
