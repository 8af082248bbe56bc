package gate

import (
	"time"

	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/stock"
)

// artifactDemand is the number of new requests for an artifact and their prefill time.
type artifactDemand struct {
	requests int
	work     time.Duration
}

// recordDemand records a new request and its work for the planner: the time that an engine
// takes for its prompt or, if longer, its part of the time that the engine takes to decode a full
// batch. Both go on side by side, and a model whose prompts are processed fast is bound by the
// places in the batch.
func (c *Core) recordDemand(now time.Time, call *activeCall) {
	service := c.config.Services[call.service]
	if service == nil || service.Engine == nil || service.Engine.Models[call.request.Model] == nil {
		return // what isn't configured is not kept, so that clients can't grow the state
	}
	artifact := stock.Artifact{
		Model:   call.request.Model,
		Adapter: call.request.Adapter,
	}
	work := max(
		c.prefillRate(call.service, call.request.Model).PrefillTime(call.request.PromptTokens),
		c.decodeTime(call.service, call.request.Model).EngineShare(service.Engine.Slots),
	)
	if c.isLeader(now) {
		c.leader.planner.RecordDemand(now, call.service, artifact, 1, work)
		return
	}
	if c.follower.demand[call.service] == nil {
		c.follower.demand[call.service] = make(map[stock.Artifact]artifactDemand)
	}
	demand := c.follower.demand[call.service][artifact]
	demand.requests++
	demand.work += work
	c.follower.demand[call.service][artifact] = demand
}

// decodeTime returns the decode time of a model's requests, creating it if necessary.
func (c *Core) decodeTime(service, model string) *pick.DecodeTime {
	key := service + "/" + model
	estimate := c.decodeTimes[key]
	if estimate == nil {
		estimate = &pick.DecodeTime{}
		c.decodeTimes[key] = estimate
	}
	return estimate
}

// recordDecode records how long a complete response took after its first event.
func (c *Core) recordDecode(now time.Time, call *activeCall) {
	if call.request.Model != "" && call.responseStarted && !call.resuming {
		c.decodeTime(call.service, call.request.Model).Observe(now.Sub(call.firstByteAt))
	}
}

// requestArtifact tells the leader that a call waits for its model, or for its
// adapter if the model is loaded.
func (c *Core) requestArtifact(now time.Time, call *activeCall) {
	wanted := stock.Miss{
		Artifact:        stock.Artifact{Model: call.request.Model},
		SoftwareVersion: call.softwareVersion,
		Regions:         stock.NewRegions(residencyOf(call).regions),
	}
	if c.modelLoaded(now, call) {
		wanted.Adapter = call.request.Adapter
	}
	if c.isLeader(now) {
		c.leader.planner.RecordMiss(now, call.service, wanted)
		c.leader.planSoon = true
		return
	}
	if c.follower.misses[call.service] == nil {
		c.follower.misses[call.service] = make(map[stock.Miss]bool)
	}
	if !c.follower.misses[call.service][wanted] {
		c.follower.misses[call.service][wanted] = true
		if call.parkedAt.IsZero() {
			c.sendReport(now)
		}
	}
}

// modelLoaded reports whether any usable endpoint that may run a call holds its
// model.
func (c *Core) modelLoaded(now time.Time, call *activeCall) bool {
	leaderCurrent := c.leaderStateCurrent(now)
	place := c.placementOf(now, call)
	for _, ep := range c.endpoints {
		if ep.Service == call.service && c.mayTake(now, ep, place) && call.acceptsVersion(ep.SoftwareVersion) &&
			ep.holds(now, leaderCurrent, call.request.Model, "") {
			return true
		}
	}
	return false
}

// loadArrival returns when a call's model is expected to be loaded at an endpoint
// that may run it, if a load is in progress.
func (c *Core) loadArrival(now time.Time, call *activeCall) (time.Time, bool) {
	etas := c.follower.arrivals[call.service]
	if c.isLeader(now) {
		etas = c.leader.planner.LoadETAs(call.service)
	} else if !c.leaderStateCurrent(now) {
		return time.Time{}, false
	}
	eta, loading := stock.FirstLoadIn(etas, call.request.Model, call.softwareVersion, stock.NewRegions(residencyOf(call).regions))
	return latest(eta, now), loading
}
