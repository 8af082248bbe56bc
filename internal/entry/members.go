package entry

import (
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// updateHosts applies a new host list and connects to the agents and entries in
// it.
func (c *Core) updateHosts(hosts []plat.Host) []Effect {
	c.fleet.UpdateHosts(hosts)
	c.router.RemoveDeparted()
	return c.connectHosts()
}

// handleSessionClosed updates the fleet after the end of a session.
func (c *Core) handleSessionClosed(event SessionClosed) []Effect {
	if c.fleet.SessionDown(event.Host, event.Incarnation) {
		return c.connectHosts()
	}
	return nil
}

// connectHosts requests sessions to all known hosts.
func (c *Core) connectHosts() []Effect {
	var hosts []plat.Host
	for _, role := range []string{plat.RoleAgent, plat.RoleEntry} {
		for _, peer := range c.fleet.Peers(role) {
			hosts = append(hosts, peer.Host)
		}
	}
	return []Effect{SetSessionHosts{Hosts: hosts}}
}

func (c *Core) handleMessage(now time.Time, event MessageReceived) []Effect {
	switch body := event.Message.GetBody().(type) {
	case *wirepb.Envelope_Fold:
		return c.handleFoldMessage(now, event.Host, body.Fold)
	case *wirepb.Envelope_Load:
		if !c.fleet.IsCurrent(event.Host, event.Incarnation) {
			return nil
		}
		body.Load.AgeMs += event.Message.GetAgeMs()
		c.fleet.HandleLoadReport(now, event.Host, body.Load)
	case *wirepb.Envelope_Cache:
		if !c.fleet.IsCurrent(event.Host, event.Incarnation) {
			return nil
		}
		c.router.ApplyCacheEvents(event.Host, body.Cache)
	case *wirepb.Envelope_Heartbeat:
		if !c.fleet.IsCurrent(event.Host, event.Incarnation) {
			return nil
		}
		c.fleet.HandleHeartbeat(now, event.Host, body.Heartbeat)
	case *wirepb.Envelope_Share:
		return c.applyQuotaEvent(now, event)
	case *wirepb.Envelope_Claim:
		return c.handleOutcomeReport(now, event, body.Claim.GetReport())
	case *wirepb.Envelope_Gate:
		c.mergePoison(now, body.Gate)
	case *wirepb.Envelope_Place:
		return c.handlePlaceMessage(event, body.Place)
	}
	return nil
}

// tickState runs the periodic work on the fleet, the configuration and the
// placement, and sends heartbeats if they are due.
func (c *Core) tickState(now time.Time) []Effect {
	c.fleet.Tick(now)
	effects := slices.Concat(c.tickConfig(now), c.planPlacement(now), c.sharePoison(now))
	if now.Sub(c.lastHeartbeat) < heartbeatInterval {
		return effects
	}
	return append(effects, c.sendHeartbeats(now)...)
}

// sendHeartbeats sends a heartbeat to the connected entries and starts a round
// of configuration statuses. Agents need no heartbeat: their sessions tell them
// which entries exist.
func (c *Core) sendHeartbeats(now time.Time) []Effect {
	c.lastHeartbeat = now
	message := &wirepb.Envelope{Body: &wirepb.Envelope_Heartbeat{Heartbeat: &wirepb.Heartbeat{
		ConfigOffset: c.fold.Accepted,
		Leaving:      c.leaving,
	}}}
	var effects []Effect
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if peer.Linked() {
			effects = append(effects, SendMessage{
				Host:    peer.Host.Name,
				Message: message,
			})
		}
	}
	return append(effects, c.sendConfigStatuses(now)...)
}
