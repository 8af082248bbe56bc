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

// deployment is the size of a deployment.
type deployment struct {
	name                       string
	workers, models, adapters  int
	betweenZones, callsPerSecs float64
	// slow makes the first engine that many times slower, if it is set.
	slow int
	// dead makes the first engine stop in the middle of all its calls.
	dead bool
}

var deployments = []deployment{
	{name: "taquilla", workers: 12, models: 20, adapters: 75, betweenZones: 0.5, callsPerSecs: 36},
	{name: "ngoma", workers: 9, models: 13, adapters: 55, betweenZones: 1, callsPerSecs: 27},
}

const (
	simSeeds    = 5
	simEntries  = 3
	simCopies   = 3
	simSessions = 8 // of each adapter
	simStep     = 5 * time.Millisecond
	simLength   = 2 * time.Minute
	burstEvery  = 20 * time.Second
	burstFactor = 6
	simPatience = time.Minute
	eventDelay  = 200 * time.Millisecond
	eventLoss   = 0.02
)

// simCall is a caller's request.
type simCall struct {
	request engsim.Request
	query   route.Query
	entry   *simEntry
	agent   int
	ticket  *route.Ticket
}

// simEntry is one entry: what it knows of the agents and how it chooses.
type simEntry struct {
	fleet  *fleet.Fleet
	router *route.Router
	zones  route.Zones
	open   map[string]int
	turn   int
	choose func(e *simEntry, now time.Time, q route.Query) *fleet.Peer
}

// lateReport is a load report underway.
type lateReport struct {
	due    time.Time
	agent  int
	report *wirepb.LoadReport
}

// lateEvent is a cache event underway.
type lateEvent struct {
	due    time.Time
	agent  int
	events *wirepb.CacheEvents
}

// sim runs entries, the reducers of agents and engines over a virtual clock.
type sim struct {
	deployment
	lag     time.Duration
	now     time.Time
	random  *rand.Rand
	losses  *rand.Rand
	hosts   []plat.Host
	agents  []*agent.Core
	engines []*engsim.Engine
	entries []*simEntry
	reports []lateReport
	events  []lateEvent
	lossy   []bool
	chains  map[string][]uint64
	calls   map[uint64]*simCall
	next    uint64
	firsts  []time.Duration
	lost    int
	hung    int
	hit     int
	prefix  int
	hot     int
}

func newSim(d deployment, seed uint64, lag time.Duration, choose func(*simEntry, time.Time, route.Query) *fleet.Peer) *sim {
	s := &sim{
		deployment: d,
		lag:        lag,
		random:     rand.New(rand.NewPCG(seed, 7)),
		losses:     rand.New(rand.NewPCG(seed, 8)),
		calls:      make(map[uint64]*simCall),
		chains:     make(map[string][]uint64),
		lossy:      make([]bool, d.workers),
	}
	for i := range d.workers {
		s.hosts = append(s.hosts, plat.Host{
			Name: fmt.Sprintf("agent-%02d", i), Role: plat.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%3),
			Service: "lengua", State: plat.HostLive,
		})
		s.agents = append(s.agents, agent.NewCore(agent.CoreSettings{Host: s.hosts[i].Name, Incarnation: 1, Slots: 64, StaticRates: true}))
		settings := engsim.Default()
		if i == 0 && d.slow > 0 {
			settings.PrefillPerSecond /= float64(d.slow)
			settings.ModelStep *= time.Duration(d.slow)
			settings.SequenceStep *= time.Duration(d.slow)
		}
		settings.Cached = func(_, session string, stored bool) { s.cached(i, session, stored) }
		settings.First = func(id int, at time.Time) { s.begun(i, uint64(id), at) }
		s.engines = append(s.engines, engsim.New(settings))
	}
	for i := range simEntries {
		e := &simEntry{
			fleet:  fleet.New("entry"),
			open:   make(map[string]int),
			choose: choose,
		}
		e.zones = route.Zones{
			Self:    fmt.Sprintf("zone-%d", i),
			Default: time.Duration(d.betweenZones * float64(time.Millisecond)),
		}
		e.router = route.New(e.fleet, e.zones, uint64(i))
		e.fleet.Listed(s.hosts)
		for _, h := range s.hosts {
			e.fleet.Up(epoch, h.Name, &wirepb.Hello{Incarnation: 1})
		}
		s.entries = append(s.entries, e)
	}
	for i := range s.agents {
		s.perform(epoch, i, s.agents[i].Apply(epoch, agent.Reported{Report: s.report(i), TookOff: epoch}))
	}
	return s
}

func modelName(m int) string   { return fmt.Sprintf("model-%02d", m) }
func adapterName(a int) string { return fmt.Sprintf("adapter-%02d", a) }

// report is what the engine beside an agent says of itself.
func (s *sim) report(i int) plat.Report {
	r := plat.Report{MemoryBytes: 1 << 40, PrefillPerSecond: engsim.Default().PrefillPerSecond, Slots: 64}
	add := func(m int, adapter string) {
		r.Residents = append(r.Residents, plat.Resident{
			Model: modelName(m), Version: "v1", Adapter: adapter, MemoryBytes: 1, Ready: true,
		})
	}
	for m := range s.models {
		for c := range simCopies {
			if (m*simCopies+c)%s.workers != i {
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

// arrive draws a call: a session of an adapter of a model, the hot one more
// often, with the session's prompt so far as the prefix.
func (s *sim) arrive(now time.Time) {
	m := min(int(s.random.ExpFloat64()/4*float64(s.models)), s.models-1)
	if s.random.Float64() < burstFactor/(burstFactor+float64(s.models)) {
		m = s.hot
	}
	adapters := (s.adapters - m + s.models - 1) / s.models
	a := m + s.models*s.random.IntN(adapters)
	session := fmt.Sprintf("%d/%d", a, s.random.IntN(simSessions))
	h := fnv.New64a()
	_, _ = h.Write([]byte(session))
	tokens := 800 + int(h.Sum64()%2400)
	r := engsim.Request{
		Model: modelName(m), Arrived: now, Prefix: session, PrefixTokens: tokens,
		Prompt: tokens + 20 + s.random.IntN(180), Output: 20 + int(s.random.ExpFloat64()*80),
	}
	blocks := make([]byte, prefix.BlockBytes*(tokens*3/prefix.BlockBytes))
	if _, known := s.chains[session]; !known {
		s.chains[session] = prefix.Chain(session, blocks)
	}
	s.next++
	r.ID = int(s.next)
	call := &simCall{
		request: r,
		entry:   s.entries[s.random.IntN(simEntries)],
		query: route.Query{
			Service: "lengua", Model: r.Model, Version: "v1", Adapter: adapterName(a),
			Tokens: r.Prompt + 256, Prompt: r.Prompt, Blocks: s.chains[session], Streams: true, Tried: make(map[string]bool),
		},
	}
	s.calls[s.next] = call
	s.send(now, s.next, call)
}

// send makes the next attempt of a call.
func (s *sim) send(now time.Time, key uint64, call *simCall) {
	p := call.entry.choose(call.entry, now, call.query)
	if p == nil {
		s.lost++
		s.firsts = append(s.firsts, simPatience)
		delete(s.calls, key)
		return
	}
	call.agent = slices.IndexFunc(s.hosts, func(h plat.Host) bool { return h.Name == p.Host.Name })
	call.ticket = call.entry.router.Sent(now, p, call.query)
	call.entry.open[p.Host.Name]++
	s.perform(now, call.agent, s.agents[call.agent].Apply(now, agent.Arrived{Call: agent.Call{
		Key: key,
		Request: &wirepb.CallRequest{
			AgentIncarnation: 1, Idempotent: true, Customer: "c", Model: call.query.Model, Version: "v1", Adapter: call.query.Adapter,
			PromptTokens: uint32(call.query.Prompt), MaxTokens: 256, CachedTokens: uint32(call.ticket.Cached),
			TimeoutMs: uint32(simPatience.Milliseconds()),
		},
	}}))
}

func (s *sim) perform(now time.Time, i int, effects []agent.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.Start:
			r := s.calls[e.Key].request
			s.engines[i].Submit(r)
		case agent.Refuse:
			call := s.calls[e.Key]
			s.over(now, call, route.Refused)
			call.query.Tried[s.hosts[i].Name] = true
			s.send(now, e.Key, call)
		case agent.Broadcast:
			if load := e.Message.GetLoad(); load != nil {
				load.AgeMs = uint32(s.lag.Milliseconds())
				s.reports = append(s.reports, lateReport{due: now.Add(s.lag), agent: i, report: load})
			}
		}
	}
}

// begun passes a first token to the agent and the entry.
func (s *sim) begun(i int, key uint64, at time.Time) {
	s.perform(at, i, s.agents[i].Apply(at, agent.Begun{Key: key}))
	s.calls[key].entry.router.Begun(at, s.calls[key].ticket)
}

// cached sends a cache event on its way; some get lost.
func (s *sim) cached(i int, session string, stored bool) {
	if s.losses.Float64() < eventLoss {
		s.lossy[i] = true
		return
	}
	events := &wirepb.CacheEvents{Gap: s.lossy[i]}
	s.lossy[i] = false
	if stored {
		events.Stored = s.chains[session]
	} else {
		events.Evicted = s.chains[session]
	}
	s.events = append(s.events, lateEvent{due: s.now.Add(eventDelay + s.lag), agent: i, events: events})
}

func (s *sim) over(now time.Time, call *simCall, o route.Outcome) {
	call.entry.router.Ended(now, call.ticket, o, 100*time.Millisecond)
	call.entry.open[s.hosts[call.agent].Name]--
}

// advance runs the engines and the agents' timers up to a time.
func (s *sim) advance(now time.Time) {
	s.now = now
	for len(s.events) > 0 && !s.events[0].due.After(now) {
		for _, e := range s.entries {
			e.router.Cached(s.hosts[s.events[0].agent].Name, s.events[0].events)
		}
		s.events = s.events[1:]
	}
	for i, engine := range s.engines {
		if i == 0 && s.dead && now.Sub(epoch) > burstEvery {
			continue
		}
		for _, r := range engine.Run(now) {
			call := s.calls[uint64(r.ID)]
			s.over(now, call, route.Answered)
			way := 2 * call.entry.zones.To(s.hosts[i].Zone)
			s.firsts = append(s.firsts, r.FirstToken()+way)
			s.hit += r.Cached
			s.prefix += r.PrefixTokens
			delete(s.calls, uint64(r.ID))
			s.perform(now, i, s.agents[i].Apply(now, agent.Ended{Key: uint64(r.ID), Used: r.Prompt + r.Output}))
		}
		s.perform(now, i, s.agents[i].Apply(now, agent.Tick{}))
	}
	for len(s.reports) > 0 && !s.reports[0].due.After(now) {
		for _, e := range s.entries {
			e.fleet.Reported(now, s.hosts[s.reports[0].agent].Name, s.reports[0].report)
		}
		s.reports = s.reports[1:]
	}
}

// run serves the whole demand.
func (s *sim) run() {
	now, arrival := epoch, epoch.Add(s.lag+time.Second)
	for now.Before(epoch.Add(simLength)) {
		now = now.Add(simStep)
		s.advance(now)
		s.hot = int(now.Sub(epoch)/burstEvery) * 7 % s.models
		for !arrival.After(now) {
			s.arrive(now)
			arrival = arrival.Add(time.Duration(s.random.ExpFloat64() / s.callsPerSecs * float64(time.Second)))
		}
	}
	for len(s.calls) > 0 && now.Before(epoch.Add(2*simLength)) {
		now = now.Add(simStep)
		s.advance(now)
	}
	s.hung = len(s.calls)
	for range s.calls {
		s.firsts = append(s.firsts, simPatience)
	}
}
