package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// listed takes over the host list and connects to the agents and entries.
func (c *Core) listed(hosts []plat.Host) []Effect {
	c.fleet.UpdateHosts(hosts)
	c.router.RemoveDeparted()
	return c.connect()
}

// unlinked notes the end of a session.
func (c *Core) unlinked(e LinkDown) []Effect {
	if c.fleet.SessionDown(e.Host, e.Incarnation) {
		return c.connect()
	}
	return nil
}

// connect keeps sessions to all known hosts.
func (c *Core) connect() []Effect {
	var targets []plat.Host
	for _, role := range []string{plat.RoleAgent, plat.RoleEntry} {
		for _, peer := range c.fleet.Peers(role) {
			targets = append(targets, peer.Host)
		}
	}
	return []Effect{Connect{Hosts: targets}}
}

func (c *Core) received(now time.Time, e Received) []Effect {
	switch body := e.Message.GetBody().(type) {
	case *wirepb.Envelope_Fold:
		return c.foldMessage(now, e.Host, body.Fold)
	case *wirepb.Envelope_Load:
		if !c.fleet.IsCurrent(e.Host, e.Incarnation) {
			return nil
		}
		body.Load.AgeMs += e.Message.GetAgeMs()
		c.fleet.HandleLoadReport(now, e.Host, body.Load)
	case *wirepb.Envelope_Cache:
		if !c.fleet.IsCurrent(e.Host, e.Incarnation) {
			return nil
		}
		c.router.ApplyCacheEvents(e.Host, body.Cache)
	case *wirepb.Envelope_Heartbeat:
		if !c.fleet.IsCurrent(e.Host, e.Incarnation) {
			return nil
		}
		c.fleet.HandleHeartbeat(now, e.Host, body.Heartbeat)
	case *wirepb.Envelope_Share:
		return c.shareEvent(now, e)
	case *wirepb.Envelope_Claim:
		return c.reported(now, e, body.Claim.GetReport())
	case *wirepb.Envelope_Place:
		return c.placed(e, body.Place)
	}
	return nil
}

func (c *Core) tick(now time.Time) []Effect {
	c.fleet.Tick(now)
	effects := append(c.configTick(now), c.plan(now)...)
	if now.Sub(c.beatAt) < heartbeatInterval {
		return effects
	}
	return append(effects, c.beat(now)...)
}

// beat sends a heartbeat to the linked entries. Agents need none: their sessions
// tell them which entries there are.
func (c *Core) beat(now time.Time) []Effect {
	c.beatAt = now
	message := &wirepb.Envelope{Body: &wirepb.Envelope_Heartbeat{Heartbeat: &wirepb.Heartbeat{
		ConfigOffset: c.fold.Accepted,
		Leaving:      c.leaving,
	}}}
	var effects []Effect
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if peer.Linked() {
			effects = append(effects, Tell{
				Host:    peer.Host.Name,
				Message: message,
			})
		}
	}
	return append(effects, c.tellVersion(now)...)
}
