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
	// agentSilenceLimit is how long an agent may send nothing before the models and
	// adapters on it are considered lost.
	agentSilenceLimit = time.Second
	// plannerWarmUp is how long a new planner waits for the agents that have
	// not yet reported what they hold.
	plannerWarmUp = 3 * time.Second
)

// placement is the state with which an entry plans which models and adapters
// the engines hold.
type placement struct {
	settings place.Settings
	// offeredTokens counts the requested tokens since the last plan, by
	// service.
	offeredTokens map[string]map[place.Artifact]float64
	memoryStates  map[string]memoryState
	// planners holds a planner for each service that this entry plans.
	planners map[string]*planner
	lastPlan time.Time
}

// memoryState is the last memory report of an agent process.
type memoryState struct {
	incarnation uint64
	state       *wirepb.PlaceState
}

// planner is the planner of a service.
type planner struct {
	*place.Planner
	startedAt time.Time
}

func newPlacement(settings place.Settings) placement {
	if settings == (place.Settings{}) {
		settings = place.DefaultSettings()
	}
	return placement{
		settings:      settings,
		offeredTokens: make(map[string]map[place.Artifact]float64),
		memoryStates:  make(map[string]memoryState),
		planners:      make(map[string]*planner),
	}
}

// countDemand counts a call as demand, whether or not it is admitted.
func (c *Core) countDemand(call Call) {
	if call.Model == "" {
		return
	}
	offered := c.placement.offeredTokens[call.Route.Service]
	if offered == nil {
		offered = make(map[place.Artifact]float64)
		c.placement.offeredTokens[call.Route.Service] = offered
	}
	offered[place.Artifact{Model: call.Model}] += call.Tokens
	if call.Adapter != "" {
		offered[place.Artifact{
			Model:   call.Model,
			Adapter: call.Adapter,
		}] += call.Tokens
	}
}

// planPlacement plans for the services that rendezvous hashing over the live
// entries assigns to this one, and reports the demand for other services to
// their planners.
func (c *Core) planPlacement(now time.Time) []Effect {
	if !c.ready || c.leaving || now.Sub(c.placement.lastPlan) < planInterval {
		return nil
	}
	c.placement.lastPlan = now
	var effects []Effect
	for _, service := range slices.Sorted(maps.Keys(c.index.Config.Services)) {
		if c.index.Config.Services[service].Kind != config.KindModel {
			continue
		}
		offered := c.placement.offeredTokens[service]
		delete(c.placement.offeredTokens, service)
		if host := c.plannerHost(service); host != c.host {
			delete(c.placement.planners, service)
			effects = append(effects, demandMessage(host, service, offered)...)
			continue
		}
		servicePlanner := c.placement.planners[service]
		if servicePlanner == nil {
			servicePlanner = &planner{
				Planner:   place.NewPlanner(c.placement.settings),
				startedAt: now,
			}
			c.placement.planners[service] = servicePlanner
		}
		for artifact, tokens := range offered {
			servicePlanner.RecordTokens(artifact.Model, artifact.Adapter, tokens)
		}
		effects = append(effects, c.planService(now, service, servicePlanner)...)
	}
	return effects
}

// plannerHost returns the entry that plans for a service.
func (c *Core) plannerHost(service string) string {
	best, bestScore := c.host, rendezvousScore(service, c.host)
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if !peer.Linked() || peer.Leaving {
			continue
		}
		if peerScore := rendezvousScore(service, peer.Host.Name); peerScore > bestScore {
			best, bestScore = peer.Host.Name, peerScore
		}
	}
	return best
}

// rendezvousScore is the weight of a host for a service in rendezvous hashing.
func rendezvousScore(service, host string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host + "\x00" + service)) // never fails
	return hash.Sum64() * 0x9e3779b97f4a7c15
}

func demandMessage(host, service string, offered map[place.Artifact]float64) []Effect {
	if len(offered) == 0 {
		return nil
	}
	demand := &wirepb.Demand{Service: service}
	for artifact, tokens := range offered {
		demand.Offered = append(demand.Offered, &wirepb.OfferedTokens{
			Model:   artifact.Model,
			Adapter: artifact.Adapter,
			Tokens:  tokens,
		})
	}
	return []Effect{placeMessage(host, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Demand{Demand: demand}})}
}

// planService runs one planning round for a service.
func (c *Core) planService(now time.Time, service string, servicePlanner *planner) []Effect {
	var workers []place.Worker
	agents := c.placementAgents(service)
	for _, agent := range agents {
		reported, known := c.placement.memoryStates[agent.Host.Name]
		current := known && (reported.incarnation == agent.Incarnation || !agent.Linked())
		if current && now.Sub(agent.LastMessageAt) <= agentSilenceLimit {
			workers = append(workers, newWorker(agent, reported.state))
		}
	}
	if len(workers) < len(agents) && now.Sub(servicePlanner.startedAt) < plannerWarmUp {
		return nil
	}
	models := make(map[string]place.Model)
	for name, model := range c.index.Config.Models {
		if model.Service == service {
			models[name] = placementModel(model)
		}
	}
	var effects []Effect
	for _, change := range servicePlanner.Plan(now, workers, models) {
		effects = append(effects, c.changeMessage(change))
	}
	return effects
}

// placementAgents returns the agents of a service that are listed and not
// leaving, outside evacuated zones. It includes those without a session, so that a
// short disconnection moves no models.
func (c *Core) placementAgents(service string) []*fleet.Peer {
	return slices.DeleteFunc(c.fleet.Peers(plat.RoleAgent), func(peer *fleet.Peer) bool {
		return peer.Host.Service != service || peer.Leaving || peer.Unlisted || c.isEvacuated(peer.Host.Zone)
	})
}

func placementModel(model config.Model) place.Model {
	converted := place.Model{
		Version:  model.Version,
		Bytes:    model.Versions[model.Version].MemoryBytes,
		Adapters: make(map[string]int64),
	}
	for name, adapter := range model.Adapters {
		converted.Adapters[name] = adapter.MemoryBytes
	}
	return converted
}

func newWorker(agent *fleet.Peer, state *wirepb.PlaceState) place.Worker {
	worker := place.Worker{
		Host:            agent.Host.Name,
		Zone:            agent.Host.Zone,
		FreeBytes:       state.GetFree(),
		TokensPerSecond: agent.Load.GetDecodeTokensPerSecond(),
	}
	for _, held := range state.GetHeld() {
		worker.Holdings = append(worker.Holdings, place.Holding{
			Artifact: place.FromWire(held.GetWeights()),
			Bytes:    held.GetBytes(),
			Ready:    held.GetReady(),
			Retained: held.GetStaying(),
		})
	}
	return worker
}

// changeMessage returns the message that tells an agent of a planned change.
func (c *Core) changeMessage(change place.PlacementChange) Effect {
	return placeMessage(change.Host, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Wish{Wish: &wirepb.Wish{
		Load:         change.Load,
		Weights:      change.ToWire(),
		Bytes:        change.Bytes,
		Keeper:       change.Keeper,
		KeepVersion:  change.KeepVersion,
		ConfigOffset: c.fold.Accepted,
	}}})
}

// handlePlaceMessage handles a message about placement. Pin messages are
// relayed between agents, but only if they come from the agent that they name
// as their sender.
func (c *Core) handlePlaceMessage(event MessageReceived, message *wirepb.PlaceMessage) []Effect {
	switch body := message.GetBody().(type) {
	case *wirepb.PlaceMessage_State:
		if !c.fleet.IsCurrent(event.Host, event.Incarnation) {
			return nil
		}
		c.placement.memoryStates[event.Host] = memoryState{
			incarnation: event.Incarnation,
			state:       body.State,
		}
	case *wirepb.PlaceMessage_Demand:
		if servicePlanner := c.placement.planners[body.Demand.GetService()]; servicePlanner != nil {
			for _, offered := range body.Demand.GetOffered() {
				servicePlanner.RecordTokens(offered.GetModel(), offered.GetAdapter(), offered.GetTokens())
			}
		}
	case *wirepb.PlaceMessage_PinAsk:
		return relayPin(event.Host == body.PinAsk.GetFrom(), body.PinAsk.GetTo(), message)
	case *wirepb.PlaceMessage_PinRelease:
		return relayPin(event.Host == body.PinRelease.GetFrom(), body.PinRelease.GetTo(), message)
	case *wirepb.PlaceMessage_PinReply:
		pin := body.PinReply.GetPin()
		return relayPin(event.Host == pin.GetTo(), pin.GetFrom(), message)
	}
	return nil
}

func relayPin(senderMatches bool, host string, message *wirepb.PlaceMessage) []Effect {
	if !senderMatches {
		return nil
	}
	return []Effect{placeMessage(host, message)}
}

func placeMessage(host string, message *wirepb.PlaceMessage) SendMessage {
	return SendMessage{
		Host:    host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: message}},
	}
}

// currentModelVersion returns the version of a model that a call requests. It
// is the configured version, unless no agent holds that one yet and some agent
// still holds another.
func (c *Core) currentModelVersion(call *activeCall) string {
	configuredVersion := call.Version
	if model, ok := c.index.Config.Models[call.Model]; ok {
		configuredVersion = model.Version
	}
	heldVersion := ""
	for _, peer := range c.fleet.PreferredAgents(call.Route.Service) {
		if c.isEvacuated(peer.Host.Zone) {
			continue
		}
		for _, model := range peer.Load.GetModels() {
			if model.GetModel() != call.Model || !peer.Serves(call.Model, model.GetVersion(), call.Adapter) {
				continue
			}
			if model.GetVersion() == configuredVersion {
				return configuredVersion
			}
			heldVersion = max(heldVersion, model.GetVersion())
		}
	}
	if heldVersion != "" {
		return heldVersion
	}
	return configuredVersion
}
