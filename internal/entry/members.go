package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// listed takes over the host list and connects to the agents and entries.
func (c *Core) listed(hosts []plat.Host) []Effect {
	c.fleet.Listed(hosts)
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
	case *wirepb.Envelope_Load:
		c.fleet.Reported(now, e.Host, body.Load)
	case *wirepb.Envelope_Heartbeat:
		c.fleet.Heard(now, e.Host, body.Heartbeat)
	case *wirepb.Envelope_Place:
		return c.placed(e, body.Place)
	}
	return nil
}

func (c *Core) tick(now time.Time) []Effect {
	effects := c.plan(now)
	if now.Sub(c.beatAt) >= heartbeatInterval {
		effects = append(effects, c.beat(now)...)
	}
	return effects
}

// beat sends a heartbeat to all linked peers.
func (c *Core) beat(now time.Time) []Effect {
	c.beatAt = now
	message := &wirepb.Envelope{Body: &wirepb.Envelope_Heartbeat{Heartbeat: &wirepb.Heartbeat{
		ConfigOffset: c.fold.Accepted,
		Leaving:      c.leaving,
	}}}
	var effects []Effect
	for _, role := range []string{plat.RoleAgent, plat.RoleEntry} {
		for _, peer := range c.fleet.Peers(role) {
			if peer.Linked() {
				effects = append(effects, Tell{
					Host:    peer.Host.Name,
					Message: message,
				})
			}
		}
	}
	return effects
}
