package entry

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

const (
	planInterval = 500 * time.Millisecond
	// agentSilence is how long an agent may say nothing before its copies
	// count as lost.
	agentSilence = time.Second
	// plannerWarmUp is how long a new planner waits for agents that have not
	// told what they hold.
	plannerWarmUp = 3 * time.Second
)

// placement is the part of an entry's state that plans what engines hold.
type placement struct {
	settings place.Settings
	// offered counts the tokens asked for since the last plan, by service.
	offered map[string]map[place.Artifact]float64
	states  map[string]memoryState
	// planners holds the services that this entry plans for.
	planners  map[string]*planner
	plannedAt time.Time
}

// memoryState is what an incarnation of an agent has told of its memory.
type memoryState struct {
	incarnation uint64
	state       *wirepb.PlaceState
}

// planner plans for one service since a time.
type planner struct {
	*place.Planner
	since time.Time
}

func newPlacement(s place.Settings) placement {
	if s == (place.Settings{}) {
		s = place.DefaultSettings()
	}
	return placement{
		settings: s,
		offered:  make(map[string]map[place.Artifact]float64),
		states:   make(map[string]memoryState),
		planners: make(map[string]*planner),
	}
}

// offer counts a call as demand, whether it is admitted or not.
func (c *Core) offer(call Call) {
	if call.Model == "" {
		return
	}
	offered := c.placement.offered[call.Route.Service]
	if offered == nil {
		offered = make(map[place.Artifact]float64)
		c.placement.offered[call.Route.Service] = offered
	}
	offered[place.Artifact{Model: call.Model}] += call.Tokens
	if call.Adapter != "" {
		offered[place.Artifact{
			Model:   call.Model,
			Adapter: call.Adapter,
		}] += call.Tokens
	}
}

// plan plans for the services that rendezvous hashing over the live entries
// gives to this one, and tells other planners of the demand seen here.
func (c *Core) plan(now time.Time) []Effect {
	if !c.ready || c.leaving || now.Sub(c.placement.plannedAt) < planInterval {
		return nil
	}
	c.placement.plannedAt = now
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(c.index.Text.Services)) {
		if c.index.Text.Services[service].Kind != config.KindModel {
			continue
		}
		offered := c.placement.offered[service]
		delete(c.placement.offered, service)
		if host := c.plannerOf(service); host != c.host {
			delete(c.placement.planners, service)
			effects = append(effects, tellDemand(host, service, offered)...)
			continue
		}
		p := c.placement.planners[service]
		if p == nil {
			p = &planner{
				Planner: place.NewPlanner(c.placement.settings),
				since:   now,
			}
			c.placement.planners[service] = p
		}
		for weights, tokens := range offered {
			p.RecordTokens(weights.Model, weights.Adapter, tokens)
		}
		effects = append(effects, c.planService(now, service, p)...)
	}
	return effects
}

// plannerOf returns the entry that plans for a service.
func (c *Core) plannerOf(service string) string {
	best, highest := c.host, score(service, c.host)
	for _, p := range c.fleet.Peers(plat.RoleEntry) {
		if !p.Linked() || p.Leaving {
			continue
		}
		if s := score(service, p.Host.Name); s > highest {
			best, highest = p.Host.Name, s
		}
	}
	return best
}

// score is the weight of a host for a service in rendezvous hashing.
func score(service, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host + "\x00" + service)) // never fails
	return h.Sum64() * 0x9e3779b97f4a7c15
}

func tellDemand(host, service string, offered map[place.Artifact]float64) []Effect {
	if len(offered) == 0 {
		return nil
	}
	demand := &wirepb.Demand{Service: service}
	for weights, tokens := range offered {
		demand.Offered = append(demand.Offered, &wirepb.OfferedTokens{
			Model:   weights.Model,
			Adapter: weights.Adapter,
			Tokens:  tokens,
		})
	}
	return []Effect{tellPlace(host, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Demand{Demand: demand}})}
}

// planService runs one round of a service's planner.
func (c *Core) planService(now time.Time, service string, p *planner) []Effect {
	var workers []place.Worker
	agents := c.agentsOf(service)
	for _, agent := range agents {
		told, known := c.placement.states[agent.Host.Name]
		current := known && (told.incarnation == agent.Incarnation || !agent.Linked())
		if current && now.Sub(agent.LastMessageAt) <= agentSilence {
			workers = append(workers, worker(agent, told.state))
		}
	}
	if len(workers) < len(agents) && now.Sub(p.since) < plannerWarmUp {
		return nil
	}
	models := make(map[string]place.Model)
	for name, m := range c.index.Text.Models {
		if m.Service == service {
			models[name] = listedModel(m)
		}
	}
	var effects []Effect
	for _, move := range p.Plan(now, workers, models) {
		effects = append(effects, c.wish(move))
	}
	return effects
}

// agentsOf returns the agents of a service that stay, linked or not: a session
// that breaks and comes back at once moves nothing.
func (c *Core) agentsOf(service string) []*fleet.Peer {
	return slices.DeleteFunc(c.fleet.Peers(plat.RoleAgent), func(p *fleet.Peer) bool {
		return p.Host.Service != service || p.Leaving || p.Unlisted
	})
}

func listedModel(m config.Model) place.Model {
	listed := place.Model{
		Version:  m.Version,
		Bytes:    m.Versions[m.Version].MemoryBytes,
		Adapters: make(map[string]int64),
	}
	for name, a := range m.Adapters {
		listed.Adapters[name] = a.MemoryBytes
	}
	return listed
}

func worker(agent *fleet.Peer, state *wirepb.PlaceState) place.Worker {
	w := place.Worker{
		Host:            agent.Host.Name,
		Zone:            agent.Host.Zone,
		FreeBytes:       state.GetFree(),
		TokensPerSecond: agent.Load.GetDecodeTokensPerSecond(),
	}
	for _, h := range state.GetHeld() {
		w.Holdings = append(w.Holdings, place.Holding{
			Artifact: place.FromWire(h.GetWeights()),
			Bytes:    h.GetBytes(),
			Ready:    h.GetReady(),
			Retained: h.GetStaying(),
		})
	}
	return w
}

// wish tells an agent of a move.
func (c *Core) wish(m place.PlacementChange) Effect {
	return tellPlace(m.Host, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Wish{Wish: &wirepb.Wish{
		Load:         m.Load,
		Weights:      m.ToWire(),
		Bytes:        m.Bytes,
		Keeper:       m.Keeper,
		KeepVersion:  m.KeepVersion,
		ConfigOffset: c.fold.Accepted,
	}}})
}

// placed takes a message about placement. Pins are passed on between agents,
// only in the name of the agent that sent them.
func (c *Core) placed(e Received, message *wirepb.PlaceMessage) []Effect {
	switch body := message.GetBody().(type) {
	case *wirepb.PlaceMessage_State:
		if !c.fleet.IsCurrent(e.Host, e.Incarnation) {
			return nil
		}
		c.placement.states[e.Host] = memoryState{
			incarnation: e.Incarnation,
			state:       body.State,
		}
	case *wirepb.PlaceMessage_Demand:
		if p := c.placement.planners[body.Demand.GetService()]; p != nil {
			for _, o := range body.Demand.GetOffered() {
				p.RecordTokens(o.GetModel(), o.GetAdapter(), o.GetTokens())
			}
		}
	case *wirepb.PlaceMessage_PinAsk:
		return relayPin(e.Host == body.PinAsk.GetFrom(), body.PinAsk.GetTo(), message)
	case *wirepb.PlaceMessage_PinRelease:
		return relayPin(e.Host == body.PinRelease.GetFrom(), body.PinRelease.GetTo(), message)
	case *wirepb.PlaceMessage_PinReply:
		pin := body.PinReply.GetPin()
		return relayPin(e.Host == pin.GetTo(), pin.GetFrom(), message)
	}
	return nil
}

func relayPin(genuine bool, host string, message *wirepb.PlaceMessage) []Effect {
	if !genuine {
		return nil
	}
	return []Effect{tellPlace(host, message)}
}

func tellPlace(host string, message *wirepb.PlaceMessage) Tell {
	return Tell{
		Host:    host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: message}},
	}
}

// servedVersion returns the version of a model that a call gets: the listed
// one, or, until an agent holds that, another one that is still held.
func (c *Core) servedVersion(r *running) string {
	listed := r.Version
	if m, ok := c.index.Text.Models[r.Model]; ok {
		listed = m.Version
	}
	held := ""
	for _, p := range c.fleet.PreferredAgents(r.Route.Service) {
		for _, h := range p.Load.GetModels() {
			if h.GetModel() != r.Model || !p.Serves(r.Model, h.GetVersion(), r.Adapter) {
				continue
			}
			if h.GetVersion() == listed {
				return listed
			}
			held = max(held, h.GetVersion())
		}
	}
	if held != "" {
		return held
	}
	return listed
}
