package route_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/engsim"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/prefix"
	"dogwoodfold/internal/route"
	"dogwoodfold/internal/wire/wirepb"
)

// deployment describes the size and demand of a simulated deployment.
type deployment struct {
	name                          string
	workers, models, adapters     int
	zoneLatencyMs, callsPerSecond float64
	// slowFactor is the factor by which the first engine is slower than the
	// others. It has no effect if it is 0.
	slowFactor int
	// dead makes the first engine stop running after burstEvery, without ending
	// the calls that it has accepted.
	dead bool
}

var deployments = []deployment{
	{name: "taquilla", workers: 12, models: 20, adapters: 75, zoneLatencyMs: 0.5, callsPerSecond: 36},
	{name: "ngoma", workers: 9, models: 13, adapters: 55, zoneLatencyMs: 1, callsPerSecond: 27},
}

const (
	simSeeds              = 5
	simEntries            = 3
	simCopiesPerModel     = 3
	simSessionsPerAdapter = 8
	simStep               = 5 * time.Millisecond
	simLength             = 2 * time.Minute
	// burstEvery is the interval at which another model becomes the hot one.
	// The hot model gets a share of burstFactor/(burstFactor+models) of the
	// calls in addition to its normal share of the rest.
	burstEvery    = 20 * time.Second
	burstFactor   = 6
	simTimeout    = time.Minute
	eventDelay    = 200 * time.Millisecond
	eventLossRate = 0.02
)

// simCall is a call and its current attempt.
type simCall struct {
	request engsim.Request
	query   route.Query
	entry   *simEntry
	agent   int
	sent    *route.SentCall
}

// simEntry is a simulated entry: its view of the agents and its routing policy.
type simEntry struct {
	fleet           *fleet.Fleet
	router          *route.Router
	latencies       route.ZoneLatencies
	openCalls       map[string]int
	roundRobinIndex int
	choose          func(e *simEntry, now time.Time, q route.Query) *fleet.Peer
}

// delayedReport is a load report that has not been delivered yet.
type delayedReport struct {
	due    time.Time
	agent  int
	report *wirepb.LoadReport
}

// delayedEvent is a cache event that has not been delivered yet.
type delayedEvent struct {
	due    time.Time
	agent  int
	events *wirepb.CacheEvents
}

// sim runs entries, agents and engines on a virtual clock.
type sim struct {
	deployment
	// lag is the delay of load reports. Cache events take eventDelay longer.
	lag        time.Duration
	now        time.Time
	random     *rand.Rand
	lossRandom *rand.Rand
	hosts      []plat.Host
	agents     []*agent.Core
	engines    []*engsim.Engine
	entries    []*simEntry
	reports    []delayedReport
	events     []delayedEvent
	eventsLost []bool
	// blockHashes holds the prefix hashes of each session.
	blockHashes map[string][]uint64
	calls       map[uint64]*simCall
	lastCallID  uint64
	// firstTokenTimes holds the times to the first token. Calls that were not
	// answered count as simTimeout.
	firstTokenTimes []time.Duration
	// unroutable counts the calls for which no agent was found, hung those that
	// had not ended when the simulation did.
	unroutable   int
	hung         int
	cachedTokens int
	prefixTokens int
	// hotModel is the model that currently gets extra calls.
	hotModel int
}

func newSim(d deployment, seed uint64, lag time.Duration, choose func(*simEntry, time.Time, route.Query) *fleet.Peer) *sim {
	s := &sim{
		deployment:  d,
		lag:         lag,
		random:      rand.New(rand.NewPCG(seed, 7)),
		lossRandom:  rand.New(rand.NewPCG(seed, 8)),
		calls:       make(map[uint64]*simCall),
		blockHashes: make(map[string][]uint64),
		eventsLost:  make([]bool, d.workers),
	}
	for i := range d.workers {
		s.hosts = append(s.hosts, plat.Host{
			Name: fmt.Sprintf("agent-%02d", i), Role: plat.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%3),
			Service: "lengua", State: plat.HostLive,
		})
		s.agents = append(s.agents, agent.NewCore(agent.CoreSettings{
			Host: s.hosts[i].Name, Incarnation: 1, Slots: 64, FixedShares: true,
		}))
		settings := engsim.Default()
		if i == 0 && d.slowFactor > 0 {
			settings.PrefillTokensPerSecond /= float64(d.slowFactor)
			settings.StepTimePerModel *= time.Duration(d.slowFactor)
			settings.StepTimePerSequence *= time.Duration(d.slowFactor)
		}
		settings.OnCacheChange = func(_, session string, stored bool) { s.sendCacheEvent(i, session, stored) }
		settings.OnFirstToken = func(id int, at time.Time) { s.recordFirstToken(i, uint64(id), at) }
		s.engines = append(s.engines, engsim.New(settings))
	}
	for i := range simEntries {
		e := &simEntry{
			fleet:     fleet.New("entry"),
			openCalls: make(map[string]int),
			choose:    choose,
		}
		e.latencies = route.ZoneLatencies{
			Self:           fmt.Sprintf("zone-%d", i),
			DefaultLatency: time.Duration(d.zoneLatencyMs * float64(time.Millisecond)),
		}
		e.router = route.New(e.fleet, e.latencies, uint64(i))
		e.fleet.UpdateHosts(s.hosts)
		for _, h := range s.hosts {
			e.fleet.SessionUp(epoch, h.Name, &wirepb.Hello{Incarnation: 1})
		}
		s.entries = append(s.entries, e)
	}
	for i := range s.agents {
		s.applyEffects(epoch, i, s.agents[i].Apply(epoch, agent.ReportRead{Report: s.engineReport(i), RequestedAt: epoch}))
	}
	return s
}

func modelName(m int) string   { return fmt.Sprintf("model-%02d", m) }
func adapterName(a int) string { return fmt.Sprintf("adapter-%02d", a) }

// engineReport returns the report of the engine of an agent.
func (s *sim) engineReport(i int) plat.Report {
	r := plat.Report{MemoryBytes: 1 << 40, PrefillPerSecond: engsim.Default().PrefillTokensPerSecond, Slots: 64}
	add := func(m int, adapter string) {
		r.Residents = append(r.Residents, plat.Resident{
			Model: modelName(m), Version: "v1", Adapter: adapter, MemoryBytes: 1, Ready: true,
		})
	}
	for m := range s.models {
		for c := range simCopiesPerModel {
			if (m*simCopiesPerModel+c)%s.workers != i {
				continue
			}
			add(m, "")
			for a := m; a < s.adapters; a += s.models {
				add(m, adapterName(a))
			}
		}
	}
	return r
}

// startCall draws a random call and sends it. Its prompt begins with the prefix
// of a random session of one adapter. The hot model is drawn more often than
// the others.
func (s *sim) startCall(now time.Time) {
	model := min(int(s.random.ExpFloat64()/4*float64(s.models)), s.models-1)
	if s.random.Float64() < burstFactor/(burstFactor+float64(s.models)) {
		model = s.hotModel
	}
	adapters := (s.adapters - model + s.models - 1) / s.models
	adapter := model + s.models*s.random.IntN(adapters)
	session := fmt.Sprintf("%d/%d", adapter, s.random.IntN(simSessionsPerAdapter))
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(session))
	tokens := 800 + int(hash.Sum64()%2400)
	request := engsim.Request{
		Model: modelName(model), ArrivedAt: now, Prefix: session, PrefixTokens: tokens,
		PromptTokens: tokens + 20 + s.random.IntN(180), OutputTokens: 20 + int(s.random.ExpFloat64()*80),
	}
	blocks := make([]byte, prefix.BlockBytes*(tokens*3/prefix.BlockBytes))
	if _, known := s.blockHashes[session]; !known {
		s.blockHashes[session] = prefix.BlockHashes(session, blocks)
	}
	s.lastCallID++
	request.ID = int(s.lastCallID)
	call := &simCall{
		request: request,
		entry:   s.entries[s.random.IntN(simEntries)],
		query: route.Query{
			Service: "lengua", Model: request.Model, Version: "v1", Adapter: adapterName(adapter),
			TotalTokens: request.PromptTokens + 256, PromptTokens: request.PromptTokens, BlockHashes: s.blockHashes[session],
			Streaming: true, Tried: make(map[string]bool),
		},
	}
	s.calls[s.lastCallID] = call
	s.sendAttempt(now, s.lastCallID, call)
}

// sendAttempt makes the next attempt of a call.
func (s *sim) sendAttempt(now time.Time, key uint64, call *simCall) {
	p := call.entry.choose(call.entry, now, call.query)
	if p == nil {
		s.unroutable++
		s.firstTokenTimes = append(s.firstTokenTimes, simTimeout)
		delete(s.calls, key)
		return
	}
	call.agent = slices.IndexFunc(s.hosts, func(h plat.Host) bool { return h.Name == p.Host.Name })
	call.sent = call.entry.router.RecordSent(now, p, call.query)
	call.entry.openCalls[p.Host.Name]++
	s.applyEffects(now, call.agent, s.agents[call.agent].Apply(now, agent.CallArrived{Call: agent.Call{
		Key: key,
		Request: &wirepb.CallRequest{
			AgentIncarnation: 1, Idempotent: true, Customer: "c", Model: call.query.Model, Version: "v1", Adapter: call.query.Adapter,
			PromptTokens: uint32(call.query.PromptTokens), MaxTokens: 256, CachedTokens: uint32(call.sent.CachedTokens),
			TimeoutMs: uint32(simTimeout.Milliseconds()),
		},
	}}))
}

// applyEffects carries out the effects that an agent has returned.
func (s *sim) applyEffects(now time.Time, i int, effects []agent.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Start:
			r := s.calls[e.Key].request
			s.engines[i].Submit(r)
		case agent.Refuse:
			call := s.calls[e.Key]
			s.endAttempt(now, call, route.Refused)
			call.query.Tried[s.hosts[i].Name] = true
			s.sendAttempt(now, e.Key, call)
		case agent.Broadcast:
			if load := e.Message.GetLoad(); load != nil {
				load.AgeMs = uint32(s.lag.Milliseconds())
				s.reports = append(s.reports, delayedReport{due: now.Add(s.lag), agent: i, report: load})
			}
		}
	}
}

// recordFirstToken passes the first token of a call to the agent and the entry.
func (s *sim) recordFirstToken(i int, key uint64, at time.Time) {
	s.applyEffects(at, i, s.agents[i].Apply(at, agent.FirstData{Key: key}))
	s.calls[key].entry.router.RecordFirstToken(at, s.calls[key].sent)
}

// sendCacheEvent queues a cache event for delivery, or loses it at random. The
// next event after a lost one is marked as following a gap.
func (s *sim) sendCacheEvent(i int, session string, stored bool) {
	if s.lossRandom.Float64() < eventLossRate {
		s.eventsLost[i] = true
		return
	}
	events := &wirepb.CacheEvents{Gap: s.eventsLost[i]}
	s.eventsLost[i] = false
	if stored {
		events.Stored = s.blockHashes[session]
	} else {
		events.Evicted = s.blockHashes[session]
	}
	s.events = append(s.events, delayedEvent{due: s.now.Add(eventDelay + s.lag), agent: i, events: events})
}

// endAttempt records the end of an attempt at the entry.
func (s *sim) endAttempt(now time.Time, call *simCall, outcome route.Outcome) {
	call.entry.router.RecordEnd(now, call.sent, outcome, 100*time.Millisecond)
	call.entry.openCalls[s.hosts[call.agent].Name]--
}

// advance runs the engines, the agents' timers and the delivery of messages up
// to a time.
func (s *sim) advance(now time.Time) {
	s.now = now
	for len(s.events) > 0 && !s.events[0].due.After(now) {
		for _, e := range s.entries {
			e.router.ApplyCacheEvents(s.hosts[s.events[0].agent].Name, s.events[0].events)
		}
		s.events = s.events[1:]
	}
	for i, engine := range s.engines {
		if i == 0 && s.dead && now.Sub(epoch) > burstEvery {
			continue
		}
		for _, r := range engine.Run(now) {
			call := s.calls[uint64(r.ID)]
			s.endAttempt(now, call, route.Completed)
			roundTrip := 2 * call.entry.latencies.LatencyTo(s.hosts[i].Zone)
			s.firstTokenTimes = append(s.firstTokenTimes, r.TimeToFirstToken()+roundTrip)
			s.cachedTokens += r.CachedTokens
			s.prefixTokens += r.PrefixTokens
			delete(s.calls, uint64(r.ID))
			s.applyEffects(now, i, s.agents[i].Apply(now, agent.CallEnded{Key: uint64(r.ID), Tokens: r.PromptTokens + r.OutputTokens}))
		}
		s.applyEffects(now, i, s.agents[i].Apply(now, agent.Tick{}))
	}
	for len(s.reports) > 0 && !s.reports[0].due.After(now) {
		for _, e := range s.entries {
			e.fleet.HandleLoadReport(now, s.hosts[s.reports[0].agent].Name, s.reports[0].report)
		}
		s.reports = s.reports[1:]
	}
}

// run simulates the whole demand, and then waits for open calls for up to
// simLength.
func (s *sim) run() {
	now, arrival := epoch, epoch.Add(s.lag+time.Second)
	for now.Before(epoch.Add(simLength)) {
		now = now.Add(simStep)
		s.advance(now)
		s.hotModel = int(now.Sub(epoch)/burstEvery) * 7 % s.models
		for !arrival.After(now) {
			s.startCall(now)
			arrival = arrival.Add(time.Duration(s.random.ExpFloat64() / s.callsPerSecond * float64(time.Second)))
		}
	}
	for len(s.calls) > 0 && now.Before(epoch.Add(2*simLength)) {
		now = now.Add(simStep)
		s.advance(now)
	}
	s.hung = len(s.calls)
	for range s.calls {
		s.firstTokenTimes = append(s.firstTokenTimes, simTimeout)
	}
}
