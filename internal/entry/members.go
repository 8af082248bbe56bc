package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// listed takes over the host list and connects to the agents and entries.
func (c *Core) listed(hosts []plat.Host) []Effect {
	c.fleet.Listed(hosts)
	c.router.Sweep()
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
	case *wirepb.Envelope_Cache:
		c.router.Cached(e.Host, body.Cache)
	case *wirepb.Envelope_Heartbeat:
		c.fleet.Heard(now, e.Host, body.Heartbeat)
	}
	return nil
}

func (c *Core) tick(now time.Time) []Effect {
	if now.Sub(c.beatAt) < heartbeatInterval {
		return nil
	}
	return c.beat(now)
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
