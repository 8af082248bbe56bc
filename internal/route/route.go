// Package route chooses the agent for a call. It samples a few of the agents
// that hold the model and picks the one with the lowest expected time to the
// first token.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodfold/internal/fleet"
)

// Query describes a call for which an agent is to be chosen.
type Query struct {
	Service string
	// Model, Version and Adapter are empty for plain services.
	Model   string
	Version string
	Adapter string
	// TotalTokens is the expected work of the call in tokens. PromptTokens is
	// the part of it that precedes the response.
	TotalTokens  int
	PromptTokens int
	// BlockHashes are the hashes of the prompt's blocks; see package prefix.
	BlockHashes []uint64
	// Streaming reports whether the first token is sent before the response is
	// complete.
	Streaming bool
	// Tried holds the names of the hosts that have already refused the call.
	Tried map[string]bool
}

// ZoneLatencies holds the network latencies between availability zones.
type ZoneLatencies struct {
	// Self is the availability zone of this entry.
	Self string
	// ByZone holds the one-way latency to other zones.
	ByZone map[string]time.Duration
	// DefaultLatency is the one-way latency to zones that are not in ByZone.
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

// samplesPerGroup is the number of agents compared for a call from each of two
// groups: those in the entry's own zone and those in all other zones.
const samplesPerGroup = 2

// preferredCachedShare is the fraction of a prompt's blocks expected in the
// cache of the preferred agent even if this entry has not sent them there,
// since other entries may have done so.
const preferredCachedShare = 0.9

// crossZoneMargin is the improvement that a call to another zone must bring in
// addition to the network latency.
const crossZoneMargin = 2 * time.Millisecond

// Router chooses among the agents of a fleet. It is not safe for concurrent
// use.
type Router struct {
	fleet     *fleet.Fleet
	latencies ZoneLatencies
	rng       *rand.Rand
	// agents holds the state of agents by host name.
	agents map[string]*agentState
	index  holderIndex
	// baseline is the moving average of the ratio of actual to expected latency
	// over all agents.
	baseline float64
	// evacuated reports whether the agents of a zone get no calls.
	evacuated func(zone string) bool
}

// New returns a router over a fleet. Its random source is seeded with seed.
func New(f *fleet.Fleet, latencies ZoneLatencies, seed uint64) *Router {
	return &Router{
		fleet:     f,
		latencies: latencies,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		agents:    make(map[string]*agentState),
		baseline:  1,
		evacuated: func(string) bool { return false },
	}
}

// SetEvacuated sets which zones' agents get no calls.
func (r *Router) SetEvacuated(evacuated func(zone string) bool) { r.evacuated = evacuated }

// Pick returns the agent to send a call to, or nil if none can take it.
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

// candidates returns the holders that may get the call. It leaves out
// unavailable agents as long as at least half of the holders, and at least one,
// remain. To reach that number it adds the unavailable ones whose ejection ends
// first.
func (r *Router) candidates(now time.Time, q Query) []*fleet.Peer {
	var selected, excluded []*fleet.Peer
	for _, p := range r.index.holders(r.fleet, q) {
		switch {
		case q.Tried[p.Host.Name], r.evacuated(p.Host.Zone):
		case r.state(p).unavailable(now):
			excluded = append(excluded, p)
		default:
			selected = append(selected, p)
		}
	}
	minSelected := (len(selected) + len(excluded) + 1) / 2
	for len(selected) < minSelected {
		i := r.earliestEjectionEnd(excluded)
		selected = append(selected, excluded[i])
		excluded = slices.Delete(excluded, i, i+1)
	}
	return selected
}

// earliestEjectionEnd returns the index of the agent whose ejection ends first, of which
// there must be one.
func (r *Router) earliestEjectionEnd(agents []*fleet.Peer) int {
	earliest := 0
	for i, p := range agents {
		if r.state(p).health.ejectedUntil.Before(r.state(agents[earliest]).health.ejectedUntil) {
			earliest = i
		}
	}
	return earliest
}

// sample returns the agents to compare for a call: a few in the entry's own
// zone, a few in other zones, the one expected to have most of the prompt in
// its cache, and the preferred one for the prompt. preferred is the last of
// these, or nil if there is none.
func (r *Router) sample(holders []*fleet.Peer, q Query) (sampled []*fleet.Peer, preferred *fleet.Peer) {
	r.rng.Shuffle(len(holders), func(i, j int) {
		holders[i], holders[j] = holders[j], holders[i]
	})
	sampled = r.sampleByZone(holders)
	if p := r.mostCached(holders, q); p != nil {
		sampled = append(sampled, p)
	}
	if preferred = preferredHolder(holders, q); preferred != nil {
		sampled = append(sampled, preferred)
	}
	return sampled, preferred
}

// sampleByZone returns the first samplesPerGroup agents in the entry's own zone and in all
// other zones.
func (r *Router) sampleByZone(holders []*fleet.Peer) []*fleet.Peer {
	var sampled []*fleet.Peer
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
	}
	return sampled
}

// mostCached returns the agent expected to have most of the prompt in its cache, or nil
// if none has any of it.
func (r *Router) mostCached(holders []*fleet.Peer, q Query) *fleet.Peer {
	var best *fleet.Peer
	var mostBlocks float64
	for _, p := range holders {
		if blocks := r.state(p).cache.ExpectedHits(q.BlockHashes); blocks > mostBlocks {
			mostBlocks, best = blocks, p
		}
	}
	return best
}

// preferredHashBlock is the index of the prompt block whose hash selects the
// preferred agent. Shorter prompts use their last block.
const preferredHashBlock = 3

// preferredHolder returns the agent that rendezvous hashing selects for a
// prompt, or nil if the prompt has no blocks. All entries compute the same
// agent, so calls with the same prefix use the same cache even if an entry has
// not seen the prefix before.
func preferredHolder(holders []*fleet.Peer, q Query) *fleet.Peer {
	if len(q.BlockHashes) == 0 {
		return nil
	}
	var preferred *fleet.Peer
	highest := uint64(0)
	block := q.BlockHashes[min(preferredHashBlock, len(q.BlockHashes)-1)]
	for _, p := range holders {
		if hash := xxhash.Sum64String(p.Host.Name) ^ block; preferred == nil || splitmix64(hash) > highest {
			preferred, highest = p, splitmix64(hash)
		}
	}
	return preferred
}

// splitmix64 applies the finalizer of the SplitMix64 generator, which spreads
// the bits of a hash.
func splitmix64(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// cost returns the expected time to the first token at an agent, including the
// network.
func (r *Router) cost(now time.Time, p *fleet.Peer, q Query, preferred bool) time.Duration {
	state := r.state(p)
	cost := state.timeToFirstToken(now, p, q) + r.networkCost(p)
	if preferred {
		extraCached := preferredCachedShare*float64(len(q.BlockHashes))*tokensPerBlock - state.cachedTokens(q)
		cost -= prefillTime(p, max(0, extraCached))
	}
	return cost
}

// networkCost returns the round-trip latency to an agent, plus a margin if it
// is in another zone.
func (r *Router) networkCost(p *fleet.Peer) time.Duration {
	if p.Host.Zone == r.latencies.Self {
		return 0
	}
	return 2*r.latencies.LatencyTo(p.Host.Zone) + crossZoneMargin
}

// maxTotalBlocks limits the prompt blocks remembered for all agents together,
// and maxBlocksPerAgent those for one agent.
const (
	maxTotalBlocks    = 1 << 20
	maxBlocksPerAgent = 4 << 10
)

// state returns the state of an agent, updated with its latest report. The
// state is new if the agent's process has restarted.
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

// RemoveDeparted removes the state of agents that have left the fleet.
func (r *Router) RemoveDeparted() {
	for name := range r.agents {
		if r.fleet.Peer(name) == nil {
			delete(r.agents, name)
		}
	}
}
