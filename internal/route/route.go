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
	// Tokens is the whole expected work, Prompt the part before the answer.
	Tokens int
	Prompt int
	// Blocks are the hashes of the prompt's blocks.
	Blocks []uint64
	// Streams says that the first token comes before the whole answer.
	Streams bool
	// Tried names the agents that have refused the call already.
	Tried map[string]bool
}

// Zones tells what the network costs.
type Zones struct {
	// Self is the zone of this entry.
	Self string
	// Latency is the one-way latency to other zones, by zone.
	Latency map[string]time.Duration
	// Default is the latency to zones that are not listed.
	Default time.Duration
}

// To returns the one-way latency to a zone.
func (z Zones) To(zone string) time.Duration {
	if zone == z.Self {
		return 0
	}
	if latency, listed := z.Latency[zone]; listed {
		return latency
	}
	return z.Default
}

// samples is how many agents of the own zone, and as many of other zones, are
// compared for one call.
const samples = 2

// homeTrust is the part of a prompt that its home is expected to have cached
// by what other entries have sent there.
const homeTrust = 0.9

// spillMargin is what a call to another zone has to gain beyond the network.
const spillMargin = 2 * time.Millisecond

// Router chooses among the agents of a fleet.
type Router struct {
	fleet  *fleet.Fleet
	zones  Zones
	random *rand.Rand
	tracks map[string]*track
	index  index
	// norm is how much longer all agents take than expected.
	norm float64
}

// New returns a router over a fleet with its own seeded random source.
func New(f *fleet.Fleet, zones Zones, seed uint64) *Router {
	return &Router{
		fleet:  f,
		zones:  zones,
		random: rand.New(rand.NewPCG(seed, 0)),
		tracks: make(map[string]*track),
		norm:   1,
	}
}

// Pick returns the agent to send a call to, nil if none can take it.
func (r *Router) Pick(now time.Time, q Query) *fleet.Peer {
	var best *fleet.Peer
	var lowest time.Duration
	picked, home := r.sample(r.reachable(now, q), q)
	for _, p := range picked {
		if cost := r.cost(now, p, q, p == home); best == nil || cost < lowest {
			best, lowest = p, cost
		}
	}
	return best
}

// reachable returns the holders that may get the call. Ejected ones are left
// out as long as half of the holders, and at least one, remain.
func (r *Router) reachable(now time.Time, q Query) []*fleet.Peer {
	var sound, ejected []*fleet.Peer
	for _, p := range r.index.holders(r.fleet, q) {
		switch {
		case q.Tried[p.Host.Name]:
		case r.track(p).ejected(now):
			ejected = append(ejected, p)
		default:
			sound = append(sound, p)
		}
	}
	floor := (len(sound) + len(ejected) + 1) / 2
	for len(sound) < floor {
		least := 0
		for i, p := range ejected {
			if r.track(p).health.until.Before(r.track(ejected[least]).health.until) {
				least = i
			}
		}
		sound = append(sound, ejected[least])
		ejected = append(ejected[:least], ejected[least+1:]...)
	}
	return sound
}

// sample returns a few agents of the own zone, a few of others, the one that is
// expected to have most of the prompt cached, and the prompt's home.
func (r *Router) sample(holders []*fleet.Peer, q Query) (picked []*fleet.Peer, home *fleet.Peer) {
	r.random.Shuffle(len(holders), func(i, j int) {
		holders[i], holders[j] = holders[j], holders[i]
	})
	home = homeOf(holders, q)
	var cached *fleet.Peer
	var most float64
	near, far := 0, 0
	for _, p := range holders {
		count := &far
		if p.Host.Zone == r.zones.Self {
			count = &near
		}
		if *count < samples {
			*count++
			picked = append(picked, p)
		}
		if n := r.track(p).cache.Expected(q.Blocks); n > most {
			most, cached = n, p
		}
	}
	for _, p := range []*fleet.Peer{cached, home} {
		if p != nil {
			picked = append(picked, p)
		}
	}
	return picked, home
}

// homeBlock is the block of a prompt, or its last one, that names its home.
const homeBlock = 3

// homeOf returns the agent that all entries prefer for a prompt of which they
// know nothing, so that they meet at the same cache; nil without blocks.
func homeOf(holders []*fleet.Peer, q Query) *fleet.Peer {
	if len(q.Blocks) == 0 {
		return nil
	}
	var home *fleet.Peer
	highest := uint64(0)
	block := q.Blocks[min(homeBlock, len(q.Blocks)-1)]
	for _, p := range holders {
		if n := xxhash.Sum64String(p.Host.Name) ^ block; home == nil || mix(n) > highest {
			home, highest = p, mix(n)
		}
	}
	return home
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// cost returns the expected time to the first token at an agent.
func (r *Router) cost(now time.Time, p *fleet.Peer, q Query, home bool) time.Duration {
	t := r.track(p)
	cost := t.expected(now, p, q) + r.network(p)
	if home {
		unknown := homeTrust*float64(len(q.Blocks))*blockTokens - t.cached(q)
		cost -= prefillTime(p, max(0, unknown))
	}
	return cost
}

// network returns the cost of the way to an agent and back.
func (r *Router) network(p *fleet.Peer) time.Duration {
	if p.Host.Zone == r.zones.Self {
		return 0
	}
	return 2*r.zones.To(p.Host.Zone) + spillMargin
}

// maxBlocks bounds the blocks remembered for all agents together, maxPerAgent
// those for one.
const (
	maxBlocks   = 1 << 20
	maxPerAgent = 4 << 10
)

// track returns what is known of an agent's running process.
func (r *Router) track(p *fleet.Peer) *track {
	t, known := r.tracks[p.Host.Name]
	if !known || t.incarnation != p.Incarnation {
		t = newTrack(p.Incarnation, min(maxPerAgent, maxBlocks/max(1, len(r.tracks))))
		r.tracks[p.Host.Name] = t
	}
	if sequence := p.Load.GetSequence(); sequence != t.sequence {
		t.reported(p)
	}
	return t
}

// Sweep forgets the agents that have left the fleet.
func (r *Router) Sweep() {
	for name := range r.tracks {
		if r.fleet.Peer(name) == nil {
			delete(r.tracks, name)
		}
	}
}
