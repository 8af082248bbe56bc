// Package route chooses the endpoint for a call.
package route

import (
	"math/rand/v2"
	"time"

	"dogwoodfold/internal/fleet"
)

// Query is what a choice depends on.
type Query struct {
	Service string
	// Model, Version and Adapter are empty for plain services.
	Model   string
	Version string
	Adapter string
	Tokens  int
	// Tried names the agents that have refused the call already.
	Tried map[string]bool
}

// samples is how many candidates are compared for one call.
const samples = 3

// Router chooses among the agents of a fleet.
type Router struct {
	fleet  *fleet.Fleet
	random *rand.Rand
}

// New returns a router over a fleet with its own seeded random source.
func New(f *fleet.Fleet, seed uint64) *Router {
	return &Router{
		fleet:  f,
		random: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Pick returns the agent to send a call to, nil if none can take it.
func (r *Router) Pick(_ time.Time, q Query) *fleet.Peer {
	var best *fleet.Peer
	candidates := r.candidates(q)
	r.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, p := range candidates[:min(samples, len(candidates))] {
		if best == nil || backlog(p) < backlog(best) {
			best = p
		}
	}
	return best
}

func (r *Router) candidates(q Query) []*fleet.Peer {
	var candidates []*fleet.Peer
	for _, p := range r.fleet.Agents(q.Service) {
		if q.Tried[p.Host.Name] || p.Load == nil {
			continue
		}
		if q.Model == "" || p.Serves(q.Model, q.Version, q.Adapter) {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// backlog returns the calls at a peer in relation to its slots.
func backlog(p *fleet.Peer) float64 {
	calls := max(p.Sent, int(p.Load.GetRunning()+p.Load.GetQueued()))
	return float64(calls) / float64(max(1, p.Load.GetSlots()))
}
