package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// loneHolderTime is how long after the entry learned of an evacuation the zone gets
	// requests whose model nothing else holds. It is loaded elsewhere meanwhile.
	loneHolderTime = 2500 * time.Millisecond
	// evacuationMargin is the time before the bound on evacuations from which no request is
	// sent to the zone, as it may take some time to get there.
	evacuationMargin = 500 * time.Millisecond
	// zoneFetchInterval is the time between reads of the set of evacuated zones while the
	// leader, of an older release, doesn't send it.
	zoneFetchInterval = 2 * time.Second
)

// evacuation is the set of evacuated zones.
type evacuation struct {
	// known is false until the set was read.
	known bool
	// position is that in the operator's topic up to which the set is known.
	position topicPosition
	zones    map[string]*evacuatedZone
	// confirmedAt is when the read was sent that last confirmed the set.
	confirmedAt time.Time
	fetchedAt   time.Time
	// unsent is true if other entries haven't been told of the last change.
	unsent bool
}

// topicPosition is a position in a topic of the store, whose offsets begin anew in each era.
type topicPosition struct{ era, offset int64 }

func (p topicPosition) before(other topicPosition) bool {
	return p.era < other.era || p.era == other.era && p.offset < other.offset
}

// evacuatedZone is a zone that is evacuated.
type evacuatedZone struct {
	// loneUntil is the time until which it gets requests whose model nothing else holds.
	loneUntil time.Time
	// lapsesAt is when the evacuation ends since a store that has come back from a copy lacks
	// its record; zero if it doesn't.
	lapsesAt time.Time
}

// ZonesRead is what a read of the operator's topic has of evacuated zones.
type ZonesRead struct {
	Changes []topo.ZoneChange
	// Complete is true if all other zones aren't evacuated.
	Complete bool
	// NextOffset is the offset after the last record of the read.
	NextOffset int64
}

// applyZonesRead applies a read of the evacuated zones.
func (c *Core) applyZonesRead(now time.Time, e ConfigRead) {
	read, ev := e.Zones, &c.evacuation
	if read == nil {
		return
	}
	position := topicPosition{
		era:    e.Era,
		offset: read.NextOffset,
	}
	switch {
	case ev.known && position.before(ev.position):
		return // an older read
	case read.Complete:
		zones := make(map[string]time.Time)
		for _, change := range read.Changes {
			if change.Evacuated {
				zones[change.Zone] = time.Time{}
			}
		}
		c.replaceZones(now, position, zones)
	case !ev.known || position.era != ev.position.era:
		return // changes of a set that isn't known
	default:
		c.applyZoneChanges(now, read.Changes)
		ev.position = position
	}
	ev.confirmedAt = latest(ev.confirmedAt, e.SentAt)
}

// applyZoneChanges applies the changes that the set lacks, in order.
func (c *Core) applyZoneChanges(now time.Time, changes []topo.ZoneChange) {
	for _, change := range changes {
		switch {
		case change.Offset < c.evacuation.position.offset:
		case change.Evacuated:
			c.evacuateZone(now, change.Zone, time.Time{})
		default:
			c.restoreZone(now, change.Zone)
		}
	}
}

// replaceZones replaces the set by that of a position, with the times at which zones lapse. A
// zone that the first reads of a new era lack lapses only when the operator has had time to
// write again what the store has lost.
func (c *Core) replaceZones(now time.Time, position topicPosition, zones map[string]time.Time) {
	ev := &c.evacuation
	newEra := ev.known && position.era > ev.position.era
	ev.known = true
	ev.position = position
	for _, name := range slices.Sorted(maps.Keys(ev.zones)) {
		zone := ev.zones[name]
		switch _, evacuated := zones[name]; {
		case evacuated || now.Before(zone.lapsesAt):
		case newEra:
			zone.lapsesAt = now.Add(restoreGracePeriod)
		default:
			c.restoreZone(now, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		c.evacuateZone(now, name, zones[name])
	}
}

// evacuateZone begins an evacuation or sets when it lapses.
func (c *Core) evacuateZone(now time.Time, name string, lapsesAt time.Time) {
	ev := &c.evacuation
	if zone := ev.zones[name]; zone != nil {
		if zone.lapsesAt.IsZero() || lapsesAt.IsZero() || lapsesAt.Before(zone.lapsesAt) {
			zone.lapsesAt = lapsesAt
		}
		return
	}
	ev.zones[name] = &evacuatedZone{
		loneUntil: earliest(now.Add(loneHolderTime), ev.confirmedAt.Add(c.settings.EvacuationBound-evacuationMargin)),
		lapsesAt:  lapsesAt,
	}
	detail := ""
	inZone := func(ep *endpoint) bool { return ep.Zone == name }
	if !c.registryConfirmedAt.IsZero() && !slices.ContainsFunc(c.sortedEndpoints(), inZone) {
		detail = "no endpoint is in this zone"
	}
	c.logChange("zone evacuated", name, detail, now.Sub(ev.confirmedAt))
	c.zonesChanged()
}

// restoreZone ends an evacuation.
func (c *Core) restoreZone(now time.Time, name string) {
	if c.evacuation.zones[name] == nil {
		return
	}
	delete(c.evacuation.zones, name)
	c.logChange("zone in use again", name, "", now.Sub(c.evacuation.confirmedAt))
	c.doubtWarmth(now, name)
	c.zonesChanged()
}

// zonesChanged has the leader plan for a changed set, and tell the other entries of it.
func (c *Core) zonesChanged() {
	c.evacuation.unsent = true
	if c.leader != nil {
		c.leader.planSoon = true
	}
}

// spreadZones tells the other entries of a changed set at once.
func (c *Core) spreadZones(now time.Time) {
	if !c.evacuation.unsent {
		return
	}
	c.evacuation.unsent = false
	c.sendStates(now)
}

// expireZones ends the evacuations that have lapsed.
func (c *Core) expireZones(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.evacuation.zones)) {
		if lapsesAt := c.evacuation.zones[name].lapsesAt; !lapsesAt.IsZero() && !now.Before(lapsesAt) {
			c.restoreZone(now, name)
		}
	}
	c.spreadZones(now)
}

// isEvacuated reports whether a zone is evacuated.
func (c *Core) isEvacuated(zone string) bool { return c.evacuation.zones[zone] != nil }

// encodeEvacuation returns the set for other entries, nil if it isn't known.
func (c *Core) encodeEvacuation(now time.Time) *wirepb.GateEvacuation {
	ev := &c.evacuation
	if !ev.known {
		return nil
	}
	out := &wirepb.GateEvacuation{
		Era:    ev.position.era,
		Offset: ev.position.offset,
	}
	for _, name := range slices.Sorted(maps.Keys(ev.zones)) {
		zone := &wirepb.GateZone{Name: name}
		if lapsesAt := ev.zones[name].lapsesAt; !lapsesAt.IsZero() {
			zone.LapsesUs = uint64(max(lapsesAt.Sub(now), time.Microsecond).Microseconds())
		}
		out.Zones = append(out.Zones, zone)
	}
	return out
}

// applyEvacuation applies the set that another entry has sent, if it isn't older. It reports
// whether it was applied.
func (c *Core) applyEvacuation(now time.Time, set *wirepb.GateEvacuation) bool {
	position := topicPosition{
		era:    set.GetEra(),
		offset: set.GetOffset(),
	}
	if set == nil || c.evacuation.known && position.before(c.evacuation.position) {
		return false
	}
	zones := make(map[string]time.Time, len(set.GetZones()))
	for _, zone := range set.GetZones() {
		var lapsesAt time.Time
		if zone.GetLapsesUs() > 0 {
			lapsesAt = now.Add(wirepb.Microseconds(zone.GetLapsesUs()))
		}
		zones[zone.GetName()] = lapsesAt
	}
	c.replaceZones(now, position, zones)
	return true
}

// applyRelayedEvacuation applies the set in a state of the leader, which had read it at
// readAt. A leader of an older release sends none, so the entry reads it itself.
func (c *Core) applyRelayedEvacuation(now, readAt time.Time, set *wirepb.GateEvacuation) {
	ev := &c.evacuation
	if c.applyEvacuation(now, set) {
		ev.confirmedAt = latest(ev.confirmedAt, readAt)
	}
	if set == nil && !c.storeRelay.watching && !c.storeRelay.fetchingConfig && now.Sub(ev.fetchedAt) >= zoneFetchInterval {
		ev.fetchedAt = now
		c.storeRelay.fetchingConfig = true
		c.emit(FetchConfig{})
	}
}
