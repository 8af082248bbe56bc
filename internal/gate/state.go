package gate

import (
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// answer is what an entry gets only in the state that answers its report.
type answer struct {
	grants  []*wirepb.GateTokens
	tokens  []*wirepb.GateTokenAnswer
	permits []*wirepb.GatePermit
	config  []byte
}

// sendState sends an entry the leader's state. What the entry has already been sent is
// left out, so that the cost depends on what has changed and not on the size of the fleet.
func (c *Core) sendState(now time.Time, host string, peer *peer, a answer) {
	c.collectHoldings(now)
	state := &wirepb.GateState{
		Echo:    peer.lastSequence,
		AgeUs:   uint64(now.Sub(c.leader.renewedAt).Microseconds()),
		Renewal: c.leader.renewal,

		Incarnation: c.lease.Incarnation(),
		Members:     uint32(len(c.leader.members)),
		Grants:      a.grants,
		Permits:     a.permits,
		Limits:      c.encodeLimits(now, peer.limitsSent),
		Unrenewed:   c.lease.Unrenewed(now),
		Starts:      encodeStarts(c.streams.startsFor(peer, c.streamVersionsDiffer(now))...),
		Evacuation:  c.encodeEvacuation(now),

		Config:           a.config,
		TokenAnswers:     a.tokens,
		DecidesByRequest: true,
	}
	state.Poison = poison.Encode(now, c.crashes.log.Since(peer.poisonSent))
	peer.poisonSent = c.crashes.log.Revision()
	peer.limitsSent = c.limitRevision
	state.CrashRelays = c.drainCrashRelays(peer)
	if share, member := c.leader.shares[host]; member {
		state.Shares = append(state.Shares, &wirepb.GateShare{
			Host:  host,
			Share: share,
		})
	}
	for _, ep := range c.sortedPlainEndpoints() {
		// Loads of engines are not sent, because the leader assigns engines.
		if load := c.loadFromOthers(ep.ID, host); load.Running > 0 {
			state.Loads = append(state.Loads, encodeLoad(ep.ID, load))
		}
	}
	for _, id := range c.leader.holdingChanges.After(peer.holdingsSent) {
		if c.endpoints[id] != nil {
			state.Holdings = append(state.Holdings, c.leader.holdings[id])
		}
	}
	peer.holdingsSent = c.leader.holdingChanges.Revision()
	if revision := c.loadRevision(); peer.arrivalsSent == revision {
		state.ArrivalsUnchanged = true
	} else {
		peer.arrivalsSent = revision
		state.Arrivals = c.encodeArrivals(now)
	}
	c.encodeRelay(now, peer, state)
	c.emit(SendState{
		Host:  host,
		State: state,
	})
}

func encodeHolding(id string, holdings []topo.Holding) *wirepb.GateHolding {
	out := &wirepb.GateHolding{Endpoint: id}
	for _, h := range holdings {
		out.Models = append(out.Models, &wirepb.GateModel{
			Name:     h.Model,
			Adapters: h.Adapters,
		})
	}
	return out
}

// loadRevision returns a number that increases whenever the expected ends of loads
// change.
func (c *Core) loadRevision() uint64 {
	revision := uint64(1)
	for _, service := range c.engineServices() {
		revision += c.leader.planner.LoadRevision(service)
	}
	return revision
}

func (c *Core) encodeArrivals(now time.Time) []*wirepb.GateArrival {
	var out []*wirepb.GateArrival
	for _, service := range c.engineServices() {
		for load, at := range c.leader.planner.LoadETAs(service) {
			out = append(out, &wirepb.GateArrival{
				Service:         service,
				Model:           load.Model,
				AfterUs:         uint64(max(at.Sub(now), 0).Microseconds()),
				SoftwareVersion: load.SoftwareVersion,
				Region:          load.Region,
			})
		}
	}
	return out
}
