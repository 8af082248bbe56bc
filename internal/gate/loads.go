package gate

import (
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/wire/wirepb"
)

// encodeOwnLoads returns the load of this entry's requests on each endpoint.
func (c *Core) encodeOwnLoads() []*wirepb.GateLoad {
	var out []*wirepb.GateLoad
	for _, ep := range c.sortedEndpoints() {
		if load := ep.stats.Local; load.Running > 0 {
			out = append(out, encodeLoad(ep.ID, load))
		}
	}
	return out
}

func encodeLoad(id string, load pick.Load) *wirepb.GateLoad {
	return &wirepb.GateLoad{
		Endpoint:  id,
		Running:   uint32(max(load.Running, 0)),
		WaitingUs: uint64(max(load.PendingPrefill, 0).Microseconds()),
	}
}

func decodeLoad(load *wirepb.GateLoad) pick.Load {
	return pick.Load{
		Running:        int(load.GetRunning()),
		PendingPrefill: time.Duration(load.GetWaitingUs()) * time.Microsecond,
	}
}

// applyLoads applies the leader's report of the load of other entries on
// endpoints.
func (c *Core) applyLoads(now time.Time, loads []*wirepb.GateLoad) {
	for _, ep := range c.endpoints {
		ep.stats.SetRemote(now, pick.Load{})
	}
	for _, l := range loads {
		if ep := c.endpoints[l.GetEndpoint()]; ep != nil {
			ep.stats.SetRemote(now, decodeLoad(l))
		}
	}
}

// loadFromOthers returns the load on an endpoint from all entries except one.
func (c *Core) loadFromOthers(id, host string) pick.Load {
	sum := c.leader.loads[id]
	if host == c.settings.Host {
		return sum
	}
	sum = sum.Add(c.endpoints[id].stats.Local)
	if peer := c.peers[host]; peer != nil {
		sum = sum.Sub(peer.loads[id])
	}
	return sum
}

// clearPeerLoads removes the load of an entry.
func (c *Core) clearPeerLoads(peer *peer) {
	if c.leader != nil {
		c.leader.replaceLoads(peer, nil)
		return
	}
	clear(peer.loads)
}

// replaceLoads replaces the load of an entry with a newer report.
func (l *leader) replaceLoads(peer *peer, loads []*wirepb.GateLoad) {
	for id, load := range peer.loads {
		l.loads[id] = l.loads[id].Sub(load)
	}
	clear(peer.loads)
	for _, load := range loads {
		id := load.GetEndpoint()
		peer.loads[id] = peer.loads[id].Add(decodeLoad(load))
		l.loads[id] = l.loads[id].Add(decodeLoad(load))
	}
}
