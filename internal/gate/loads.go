package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/wire/wirepb"
)

// encodeOwnLoads returns the load that this entry puts on endpoints.
func (c *Core) encodeOwnLoads() []*wirepb.GateLoad {
	var out []*wirepb.GateLoad
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		if load := c.endpoints[id].track.Local; load.Running > 0 {
			out = append(out, encodeLoad(id, load))
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

func decodeLoad(l *wirepb.GateLoad) pick.Load {
	return pick.Load{
		Running:        int(l.GetRunning()),
		PendingPrefill: time.Duration(l.GetWaitingUs()) * time.Microsecond,
	}
}

// applyLoads takes the leader's account of what others put on endpoints.
func (c *Core) applyLoads(now time.Time, loads []*wirepb.GateLoad) {
	for _, e := range c.endpoints {
		e.track.SetRemote(now, pick.Load{})
	}
	for _, l := range loads {
		if e := c.endpoints[l.GetEndpoint()]; e != nil {
			e.track.SetRemote(now, decodeLoad(l))
		}
	}
}

// loadFromOthers returns the load of an endpoint by all entries but one.
func (c *Core) loadFromOthers(id, host string) pick.Load {
	sum := c.leader.loads[id]
	if host == c.settings.Host {
		return sum
	}
	sum = sum.Add(c.endpoints[id].track.Local)
	if p := c.peers[host]; p != nil {
		sum = sum.Sub(p.loads[id])
	}
	return sum
}

// clearPeerLoads forgets the requests of an entry.
func (c *Core) clearPeerLoads(p *peer) {
	if c.leader != nil {
		c.leader.replaceLoads(p, nil)
		return
	}
	clear(p.loads)
}

// replaceLoads takes an entry's newer account of its requests.
func (l *leader) replaceLoads(p *peer, loads []*wirepb.GateLoad) {
	for id, load := range p.loads {
		l.loads[id] = l.loads[id].Sub(load)
	}
	clear(p.loads)
	for _, load := range loads {
		id := load.GetEndpoint()
		p.loads[id] = p.loads[id].Add(decodeLoad(load))
		l.loads[id] = l.loads[id].Add(decodeLoad(load))
	}
}
