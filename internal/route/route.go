// Package route chooses the endpoint for a call: of a few sampled holders of
// the model, the one with the lowest expected time to the first token.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodfold/internal/fleet"
)

// Query is what a choice depends on.
type Query struct {
	Service string
	// Model, Version and Adapter are empty for plain services.
	Model   string
	Version string
	Adapter string
	// TotalTokens is the whole expected work, Prompt the part before the answer.
	TotalTokens  int
	PromptTokens int
	// BlockHashes are the hashes of the prompt's blocks.
	BlockHashes []uint64
	// Streaming says that the first token comes before the whole answer.
	Streaming bool
	// Tried names the agents that have refused the call already.
	Tried map[string]bool
}

// ZoneLatencies tells what the network costs.
type ZoneLatencies struct {
	// Self is the zone of this entry.
	Self string
	// ByZone is the one-way latency to other zones, by zone.
	ByZone map[string]time.Duration
	// DefaultLatency is the latency to zones that are not listed.
	DefaultLatency time.Duration
}

// LatencyTo returns the one-way latency to a zone.
func (z ZoneLatencies) LatencyTo(zone string) time.Duration {
	if zone == z.Self {
		return 0
	}
	if latency, listed := z.ByZone[zone]; listed {
		return latency
	}
	return z.DefaultLatency
}

// samplesPerGroup is how many agents of the own zone, and as many of other zones, are
// compared for one call.
const samplesPerGroup = 2

// preferredCachedShare is the part of a prompt that its home is expected to have cached
// by what other entries have sent there.
const preferredCachedShare = 0.9

// crossZoneMargin is what a call to another zone has to gain beyond the network.
const crossZoneMargin = 2 * time.Millisecond

// Router chooses among the agents of a fleet.
type Router struct {
	fleet     *fleet.Fleet
	latencies ZoneLatencies
	rng       *rand.Rand
	agents    map[string]*agentState
	index     holderIndex
	// baseline is how much longer all agents take than expected.
	baseline float64
}

// New returns a router over a fleet with its own seeded random source.
func New(f *fleet.Fleet, latencies ZoneLatencies, seed uint64) *Router {
	return &Router{
		fleet:     f,
		latencies: latencies,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		agents:    make(map[string]*agentState),
		baseline:  1,
	}
}

// Pick returns the agent to send a call to, nil if none can take it.
func (r *Router) Pick(now time.Time, q Query) *fleet.Peer {
	var best *fleet.Peer
	var lowest time.Duration
	sampled, preferred := r.sample(r.candidates(now, q), q)
	for _, p := range sampled {
		if cost := r.cost(now, p, q, p == preferred); best == nil || cost < lowest {
			best, lowest = p, cost
		}
	}
	return best
}

// candidates returns the holders that may get the call. Ejected ones are left
// out as long as half of the holders, and at least one, remain.
func (r *Router) candidates(now time.Time, q Query) []*fleet.Peer {
	var healthy, ejected []*fleet.Peer
	for _, p := range r.index.holders(r.fleet, q) {
		switch {
		case q.Tried[p.Host.Name]:
		case r.state(p).unavailable(now):
			ejected = append(ejected, p)
		default:
			healthy = append(healthy, p)
		}
	}
	minHealthy := (len(healthy) + len(ejected) + 1) / 2
	for len(healthy) < minHealthy {
		earliest := 0
		for i, p := range ejected {
			if r.state(p).health.ejectedUntil.Before(r.state(ejected[earliest]).health.ejectedUntil) {
				earliest = i
			}
		}
		healthy = append(healthy, ejected[earliest])
		ejected = append(ejected[:earliest], ejected[earliest+1:]...)
	}
	return healthy
}

// sample returns a few agents of the own zone, a few of others, the one that is
// expected to have most of the prompt cached, and the prompt's home.
func (r *Router) sample(holders []*fleet.Peer, q Query) (sampled []*fleet.Peer, preferred *fleet.Peer) {
	r.rng.Shuffle(len(holders), func(i, j int) {
		holders[i], holders[j] = holders[j], holders[i]
	})
	preferred = preferredHolder(holders, q)
	var mostCached *fleet.Peer
	var mostBlocks float64
	sameZone, otherZones := 0, 0
	for _, p := range holders {
		count := &otherZones
		if p.Host.Zone == r.latencies.Self {
			count = &sameZone
		}
		if *count < samplesPerGroup {
			*count++
			sampled = append(sampled, p)
		}
		if blocks := r.state(p).cache.Expected(q.BlockHashes); blocks > mostBlocks {
			mostBlocks, mostCached = blocks, p
		}
	}
	for _, p := range []*fleet.Peer{mostCached, preferred} {
		if p != nil {
			sampled = append(sampled, p)
		}
	}
	return sampled, preferred
}

// preferredHashBlock is the block of a prompt, or its last one, that names its home.
const preferredHashBlock = 3

// preferredHolder returns the agent that all entries prefer for a prompt of which they
// know nothing, so that they meet at the same cache; nil without blocks.
func preferredHolder(holders []*fleet.Peer, q Query) *fleet.Peer {
	if len(q.BlockHashes) == 0 {
		return nil
	}
	var preferred *fleet.Peer
	highest := uint64(0)
	block := q.BlockHashes[min(preferredHashBlock, len(q.BlockHashes)-1)]
	for _, p := range holders {
		if n := xxhash.Sum64String(p.Host.Name) ^ block; preferred == nil || splitmix64(n) > highest {
			preferred, highest = p, splitmix64(n)
		}
	}
	return preferred
}

// splitmix64 spreads the bits of a hash (the finalizer of splitmix64).
func splitmix64(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// cost returns the expected time to the first token at an agent.
func (r *Router) cost(now time.Time, p *fleet.Peer, q Query, preferred bool) time.Duration {
	state := r.state(p)
	cost := state.timeToFirstToken(now, p, q) + r.networkCost(p)
	if preferred {
		extraCached := preferredCachedShare*float64(len(q.BlockHashes))*tokensPerBlock - state.cachedTokens(q)
		cost -= prefillTime(p, max(0, extraCached))
	}
	return cost
}

// networkCost returns the cost of the way to an agent and back.
func (r *Router) networkCost(p *fleet.Peer) time.Duration {
	if p.Host.Zone == r.latencies.Self {
		return 0
	}
	return 2*r.latencies.LatencyTo(p.Host.Zone) + crossZoneMargin
}

// maxTotalBlocks bounds the blocks remembered for all agents together, maxBlocksPerAgent
// those for one.
const (
	maxTotalBlocks    = 1 << 20
	maxBlocksPerAgent = 4 << 10
)

// state returns what is known of an agent's running process.
func (r *Router) state(p *fleet.Peer) *agentState {
	state, known := r.agents[p.Host.Name]
	if !known || state.incarnation != p.Incarnation {
		state = newAgentState(p.Incarnation, min(maxBlocksPerAgent, maxTotalBlocks/max(1, len(r.agents))))
		r.agents[p.Host.Name] = state
	}
	if sequence := p.Load.GetSequence(); sequence != state.sequence {
		state.applyReport(p)
	}
	return state
}

// RemoveDeparted forgets the agents that have left the fleet.
func (r *Router) RemoveDeparted() {
	for name := range r.agents {
		if r.fleet.Peer(name) == nil {
			delete(r.agents, name)
		}
	}
}
