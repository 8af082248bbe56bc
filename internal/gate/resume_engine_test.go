package gate

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// reportAge is how old the engines' reports of themselves are.
	reportAge = 200 * time.Millisecond
	// drainTime is how long an engine runs on after it has said that it leaves.
	drainTime = 4 * time.Second
)

// simRecord is a record of the registry with the time of its heartbeat.
type simRecord struct {
	endpoint topo.Endpoint
	at       time.Time
}

// simEngine is a run of an engine.
type simEngine struct {
	sim      *fleetSim
	address  netip.AddrPort
	id       string
	version  string
	born     int64
	sequence int64
	ended    bool
	draining bool
	models   map[string]bool
	inMemory []string
	onDisk   []string
	accepted int64
	// loading and unloading are the models of the order that the engine carries out.
	loading, unloading string
	// history holds what the engine reports of itself, oldest first.
	history []engineSimState
	runs    []*simRun
	// promptsUntil is when the engine will have read all prompts that it has got.
	promptsUntil time.Time
}

type engineSimState struct {
	at     time.Time
	report stock.Report
}

// simRun is an attempt of a request at an engine.
type simRun struct {
	engine  *simEngine
	attempt *simAttempt
	model   string
	// firstAt is when the run brought its first event, zero before that. events are
	// those of the stream before the run.
	firstAt time.Time
	events  int
	ended   bool
}

// newAddress returns an address that no engine had.
func (s *fleetSim) newAddress() netip.AddrPort {
	s.addresses++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(s.addresses >> 8), byte(s.addresses)}), 80)
}

// startEngine starts an engine without any model.
func (s *fleetSim) startEngine(address netip.AddrPort, version string, onDisk []string) {
	s.enginesIn++
	e := &simEngine{
		sim:     s,
		address: address,
		id:      fmt.Sprintf("llm-%03d", s.enginesIn),
		version: version,
		born:    s.now.UnixMilli(),
		models:  make(map[string]bool),
		onDisk:  slices.Clone(onDisk),
	}
	s.engines = append(s.engines, e)
	e.changed()
	e.heartbeatAfter(s.between(0, heartbeatInterval))
}

// placeModels starts the first engines, with the busy models at several of them.
func (s *fleetSim) placeModels() {
	rank := 0
	for range s.site.engines {
		s.startEngine(s.newAddress(), "v1", nil)
	}
	for range s.site.modelsPerEngine {
		for _, e := range s.engines {
			model := s.models[rank%len(s.models)]
			if rank >= len(s.models) {
				_, model = s.draw()
			}
			if e.models[model] || e.freeMemory() < s.spec(model).SizeMB {
				continue
			}
			rank++
			e.keep(model)
		}
	}
	for _, e := range s.engines {
		e.history = nil // they have held this for a while
		e.changed()
		e.register()
	}
}

func (s *fleetSim) spec(model string) *topo.Model {
	return s.config.Services["llm"].Engine.Models[model]
}

// engine returns the engine with the given ID, nil if it has ended.
func (s *fleetSim) engine(id string) *simEngine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// serving returns the engines of a version that take requests.
func (s *fleetSim) serving(version string) []*simEngine {
	var out []*simEngine
	for _, e := range s.engines {
		if e.version == version && !e.draining {
			out = append(out, e)
		}
	}
	return out
}

// unreachable returns why a request to an engine that has ended isn't run: nothing
// listens at its address, or another engine answers there.
func (s *fleetSim) unreachable(address netip.AddrPort) Result {
	for _, e := range s.engines {
		if e.address == address {
			return Result{Outcome: OutcomeNotRun, Reason: ReasonAddressReused, Status: 421}
		}
	}
	return Result{Outcome: OutcomeNotRun, Reason: ReasonDial}
}

func (e *simEngine) freeMemory() float64 {
	free := e.sim.site.memoryMB
	for model := range e.models {
		free -= e.sim.spec(model).SizeMB
	}
	return free
}

// keep adds a model, which leaves copies in memory and on the disk.
func (e *simEngine) keep(model string) {
	e.models[model] = true
	e.inMemory = keepRecent(e.inMemory, model, e.sim.site.modelsInMemory)
	e.onDisk = keepRecent(e.onDisk, model, e.sim.site.modelsOnDisk)
}

func keepRecent(list []string, model string, limit int) []string {
	list = slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == model })
	list = append(list, model)
	return list[max(len(list)-limit, 0):]
}

func (e *simEngine) holdings() []topo.Holding {
	var out []topo.Holding
	for _, model := range sortedKeys(e.models) {
		out = append(out, topo.Holding{Model: model})
	}
	return out
}

// changed records what the engine reports of itself from now on.
func (e *simEngine) changed() {
	e.history = append(e.history, engineSimState{
		at: e.sim.now,
		report: stock.Report{
			Incarnation:    e.born,
			Busy:           e.loading != "" || e.unloading != "",
			AcceptedOrders: e.accepted,
			Holdings:       e.holdings(),
		},
	})
}

func (e *simEngine) report() *stock.Report {
	latest := e.history[0].report
	for _, state := range e.history {
		if !state.at.After(e.sim.now.Add(-reportAge)) {
			latest = state.report
		}
	}
	return &latest
}

func (e *simEngine) heartbeatAfter(d time.Duration) {
	e.register()
	e.sim.after(d, func() {
		if !e.ended {
			e.heartbeatAfter(heartbeatInterval)
		}
	})
}

// register writes the engine's record to the registry.
func (e *simEngine) register() {
	e.sequence++
	e.sim.registry[e.id] = simRecord{
		endpoint: topo.Endpoint{
			ID:              e.id,
			Service:         "llm",
			Address:         e.address,
			Zone:            "a",
			SoftwareVersion: e.version,
			Slots:           e.sim.site.slots,
			Sequence:        e.sequence,
			Incarnation:     e.born,
			Draining:        e.draining,
			Holdings:        e.holdings(),
			InMemory:        slices.Clone(e.inMemory),
			OnDisk:          slices.Clone(e.onDisk),
		},
		at: e.sim.now,
	}
}

// order carries out an order.
func (e *simEngine) order(o stock.Order) stock.Outcome {
	if e.loading != "" || e.unloading != "" || o.ExpectedAccepted != e.accepted {
		return stock.Conflict
	}
	if e.models[o.Model] == o.Load {
		return stock.AlreadyApplied
	}
	e.accepted++
	if !o.Load {
		e.unloading = o.Model
		e.changed()
		e.sim.after(50*time.Millisecond, e.finishUnload)
		return stock.Accepted
	}
	if e.freeMemory() < e.sim.spec(o.Model).SizeMB {
		e.sim.result.overloads++
	}
	e.loading = o.Model
	e.changed()
	e.sim.after(e.loadTime(o.Model), func() {
		e.keep(o.Model)
		e.loading = ""
		e.changed()
	})
	return stock.Accepted
}

func (e *simEngine) loadTime(model string) time.Duration {
	spec := e.sim.spec(model)
	switch {
	case slices.Contains(e.inMemory, model):
		return spec.MemoryLoadTime
	case slices.Contains(e.onDisk, model):
		return spec.DiskLoadTime
	default:
		return spec.StoreLoadTime
	}
}

// finishUnload drops the model of an order once none of its runs goes on.
func (e *simEngine) finishUnload() {
	if slices.ContainsFunc(e.runs, func(r *simRun) bool { return r.model == e.unloading }) {
		e.sim.after(50*time.Millisecond, e.finishUnload)
		return
	}
	delete(e.models, e.unloading)
	e.unloading = ""
	e.changed()
}

// drain makes the engine leave.
func (e *simEngine) drain() {
	e.draining = true
	e.register()
	e.sim.after(drainTime, func() {
		if !e.ended {
			e.end()
			delete(e.sim.registry, e.id)
		}
	})
}

// end ends the engine with all its streams.
func (e *simEngine) end() {
	e.ended = true
	e.sim.engines = slices.DeleteFunc(e.sim.engines, func(other *simEngine) bool { return other == e })
	for _, run := range slices.Clone(e.runs) {
		run.stop()
		result := Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}
		if run.attempt.brought {
			result.Outcome = OutcomeTruncated
		}
		run.attempt.runEnded(result)
	}
}

// cutLink keeps an entry from reaching an engine for a time.
func (s *fleetSim) cutLink(entry *simEntry, e *simEngine, d time.Duration) {
	s.cutUntil[entry.host+" "+e.id] = s.now.Add(d)
	for _, run := range slices.Clone(e.runs) {
		if run.attempt.entry != entry {
			continue
		}
		run.stop()
		result := Result{Outcome: OutcomeMayHaveRun, Reason: ReasonReset}
		if run.attempt.brought {
			result.Outcome = OutcomeTruncated
		}
		run.attempt.runEnded(result)
	}
}

// linkCut reports whether an entry can't reach an engine.
func (s *fleetSim) linkCut(entry *simEntry, engine string) bool {
	return s.now.Before(s.cutUntil[entry.host+" "+engine])
}

// accept takes a request, or returns why the engine doesn't run it.
func (e *simEngine) accept(run *simRun) (refusal Result, accepted bool) {
	switch {
	case !e.models[run.model]:
		return Result{Outcome: OutcomeNotRun, Reason: ReasonModelMissing, Status: 421}, false
	case e.unloading == run.model || len(e.runs) >= e.sim.site.slots+e.sim.site.queue:
		return Result{Outcome: OutcomeNotRun, Reason: ReasonRefused, Status: 503}, false
	}
	e.runs = append(e.runs, run)
	readTime := run.attempt.stream.route.readTime
	e.promptsUntil = latest(e.promptsUntil, e.sim.now).Add(e.sim.between(readTime[0], readTime[1]))
	e.sim.after(e.promptsUntil.Sub(e.sim.now), run.begin)
	return Result{}, true
}

// begin brings the first event of a run.
func (r *simRun) begin() {
	if r.ended {
		return
	}
	s := r.engine.sim
	r.firstAt = s.now
	r.attempt.firstEvent(r)
	s.after(time.Second, func() {
		if !r.ended {
			r.attempt.entry.post(s.delay(), AnswerContinues{Call: r.attempt.call})
		}
	})
	s.after(time.Duration(max(r.attempt.stream.route.events-r.events-1, 0))*s.site.eventInterval, func() {
		if !r.ended {
			r.stop()
			r.attempt.complete()
		}
	})
}

// stop ends the run. Its events so far have reached the client.
func (r *simRun) stop() {
	r.ended = true
	r.engine.runs = slices.DeleteFunc(r.engine.runs, func(other *simRun) bool { return other == r })
	if !r.firstAt.IsZero() {
		st := r.attempt.stream
		events := 1 + int(st.sim.now.Sub(r.firstAt)/st.sim.site.eventInterval)
		st.events = min(r.events+events, st.route.events)
	}
}
