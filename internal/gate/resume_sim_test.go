package gate

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
)

// simTask is something that happens at a point in simulated time. Tasks of one time
// happen in the order in which they were added.
type simTask struct {
	at     time.Time
	number int
	run    func()
}

type simTasks []simTask

func (t simTasks) Len() int { return len(t) }
func (t simTasks) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].number < t[j].number
}
func (t simTasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *simTasks) Push(x any)   { *t = append(*t, x.(simTask)) }
func (t *simTasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// fleetSim simulates a fleet of entries with its store, its engines and its clients.
type fleetSim struct {
	site       *simSite
	now        time.Time
	random     *rand.Rand
	tasks      simTasks
	tasksAdded int
	config     *topo.Config
	entries    []*simEntry
	engines    []*simEngine
	// registry holds the records of engines, with the times of their heartbeats.
	registry map[string]simRecord
	// enginesIn and addresses count the engines that were started and their addresses.
	enginesIn, addresses int
	// lastRecord is the newest record of the lease log, which ends at leaseEnd.
	lastRecord lease.Record
	leaseEnd   int64
	models     []string
	requests   uint64
	// cutUntil is until when an entry can't reach an engine.
	cutUntil map[string]time.Time
	result   simResult
}

const (
	// simEntries is the number of entries of a site that names none.
	simEntries = 4
	// contactTime is how long an entry must have been undisturbed to be in touch.
	contactTime = 3 * time.Second
)

func newFleetSim(site *simSite, seed uint64) *fleetSim {
	s := &fleetSim{
		site:     site,
		now:      start,
		random:   rand.New(rand.NewPCG(seed, 77)),
		registry: make(map[string]simRecord),
		cutUntil: make(map[string]time.Time),
		result: simResult{
			wentOnAfter:  make(map[string]int),
			resumedAfter: make(map[string]int),
			begunAt:      make(map[string]int),
			askedAt:      make(map[string]int),
			causes:       make(map[string]int),
		},
	}
	s.config = s.newConfig()
	s.placeModels()
	for i := range cmp.Or(site.entries, simEntries) {
		e := &simEntry{
			sim:     s,
			host:    fmt.Sprint("front-", i+1),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7600),
		}
		s.entries = append(s.entries, e)
		e.start()
	}
	return s
}

// after schedules a task.
func (s *fleetSim) after(d time.Duration, run func()) {
	s.tasksAdded++
	heap.Push(&s.tasks, simTask{
		at:     s.now.Add(d),
		number: s.tasksAdded,
		run:    run,
	})
}

// run lets time pass.
func (s *fleetSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.tasks) > 0 && !s.tasks[0].at.After(end) {
		task := heap.Pop(&s.tasks).(simTask)
		s.now = task.at
		task.run()
	}
	s.now = end
}

// between returns a duration drawn at random.
func (s *fleetSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// delay returns how long a message is on its way.
func (s *fleetSim) delay() time.Duration { return s.between(time.Millisecond, 3*time.Millisecond) }

// leader returns the entry that leads, nil if there is none.
func (s *fleetSim) leader() *simEntry {
	for _, e := range s.entries {
		if e.core != nil && e.core.isLeader(s.now) {
			return e
		}
	}
	return nil
}

// simEntry is an entry: a core with a shell that carries out its effects.
type simEntry struct {
	sim     *fleetSim
	host    string
	address netip.AddrPort
	// core is nil while the entry is down. incarnation counts its starts and ends.
	core        *Core
	incarnation uint64
	// held are the events that arrive while the entry is paused.
	pausedUntil time.Time
	held        []Event
	// isolatedUntil is until when the entry reaches neither the store nor the other entries.
	isolatedUntil time.Time
	// disturbedAt is when the entry was last started, killed, paused or isolated.
	disturbedAt time.Time
	watch       WatchStore
	watchNumber int
	dialed      DialLeader
	toLeader    *simSession
	fromPeers   map[string]*simSession
	attempts    map[CallID]*simAttempt
}

// simSession carries the messages between an entry and its leader, in order.
type simSession struct {
	dialer, leader *simEntry
	closed         bool
	// lastArrival is when the last message arrives, at the dialer and at the leader.
	lastArrival [2]time.Time
}

// start starts the entry's process, which knows nothing.
func (e *simEntry) start() {
	settings := testSettings(e.host)
	e.incarnation++
	e.disturbedAt = e.sim.now
	e.pausedUntil = time.Time{}
	e.held = nil
	e.fromPeers = make(map[string]*simSession)
	e.attempts = make(map[CallID]*simAttempt)
	e.core = New(settings, lease.New(e.host, e.incarnation, e.address, settings.Lease),
		rand.New(rand.NewPCG(e.sim.random.Uint64(), e.incarnation)))
	e.setWatch(WatchStore{Config: true, Registry: true})
	e.tickAfter(e.sim.between(0, 50*time.Millisecond))
}

func (e *simEntry) tickAfter(d time.Duration) {
	e.whileRunning(d, func() {
		e.apply(Tick{})
		e.tickAfter(50 * time.Millisecond)
	})
}

// kill ends the entry's process. All connections to it break.
func (e *simEntry) kill() {
	if e.core == nil {
		return
	}
	e.core = nil
	e.incarnation++
	e.disturbedAt = e.sim.now
	e.dialed = DialLeader{}
	e.toLeader.close()
	for _, other := range e.sim.entries {
		e.fromPeers[other.host].close()
	}
	for _, call := range sortedKeys(e.attempts) {
		e.attempts[call].loseEntry()
	}
}

// pause stops the entry's process for a time.
func (e *simEntry) pause(d time.Duration) {
	if e.core == nil {
		return
	}
	e.pausedUntil = e.sim.now.Add(d)
	e.whileRunning(d, func() {
		e.disturbedAt = e.sim.now
		held := e.held
		e.held = nil
		for _, event := range held {
			e.apply(event)
		}
	})
}

// isolate cuts the entry off from the store and the other entries for a time. Clients and
// engines still reach it.
func (e *simEntry) isolate(d time.Duration) {
	if e.core == nil {
		return
	}
	e.isolatedUntil = latest(e.isolatedUntil, e.sim.now.Add(d))
	e.whileRunning(d, func() { e.disturbedAt = e.sim.now })
}

func (e *simEntry) isolated() bool { return e.sim.now.Before(e.isolatedUntil) }

// inTouch reports whether the entry was undisturbed for contactTime.
func (e *simEntry) inTouch() bool {
	return e.core != nil && !e.sim.now.Before(e.pausedUntil) && !e.isolated() && e.sim.now.Sub(e.disturbedAt) >= contactTime
}

// whileRunning schedules a task that is dropped if the entry's process ends before.
func (e *simEntry) whileRunning(after time.Duration, run func()) {
	incarnation := e.incarnation
	e.sim.after(after, func() {
		if e.incarnation == incarnation {
			run()
		}
	})
}

// post delivers an event after a time.
func (e *simEntry) post(after time.Duration, event Event) {
	e.whileRunning(after, func() { e.apply(event) })
}

// apply delivers an event and carries out the effects.
func (e *simEntry) apply(event Event) {
	if e.sim.now.Before(e.pausedUntil) {
		e.held = append(e.held, event)
		return
	}
	for _, effect := range e.core.Apply(e.sim.now, event) {
		e.perform(effect)
	}
}

// perform carries out an effect, as the shell around the reducer does.
func (e *simEntry) perform(effect Effect) {
	switch effect := effect.(type) {
	case Send:
		e.attempts[effect.Call].send(effect)
	case Refuse:
		e.attempts[effect.Call].refused(effect.Err)
	case AbortResponse:
		e.attempts[effect.Call].cut("engine ended")
	case ReadLease:
		e.readLease()
	case AppendLease:
		e.whileRunning(e.sim.delay(), func() { e.appendLease(effect) })
	case DialLeader:
		e.toLeader.close()
		e.dialed = effect
		e.connect(effect, e.sim.delay())
	case SendReport:
		e.toLeader.send(e, ReportReceived{Host: e.host, Report: effect.Report})
	case RequestAssignment:
		e.toLeader.send(e, AssignmentRequested{Host: e.host, Request: effect.Request})
	case SendAssignment:
		e.fromPeers[effect.Host].send(e, AssignmentReceived{Host: e.host, Assignment: effect.Assignment})
	case SendState:
		e.fromPeers[effect.Host].send(e, StateReceived{Host: e.host, State: effect.State})
	case SendOrder:
		e.sendOrder(effect)
	case RequestEngineReport:
		e.requestReport(effect.Engine)
	case ProbeEngine:
		e.probe(effect.Run)
	case WatchStore:
		e.setWatch(effect)
	case FetchConfig:
		e.readConfig(func() { e.apply(ConfigFetchEnded{}) })
	case ScheduleTick:
		e.post(effect.After, Tick{})
	}
}

func (e *simEntry) sendOrder(o SendOrder) {
	e.whileRunning(e.sim.delay(), func() {
		outcome := stock.Unanswered
		if engine := e.sim.engine(o.Order.Engine); !e.sim.now.Before(o.Until) {
			outcome = stock.Refused
		} else if engine != nil {
			outcome = engine.order(o.Order)
		}
		e.post(e.sim.delay(), OrderAnswered{Order: o.Order, Outcome: outcome})
	})
}

func (e *simEntry) requestReport(id string) {
	sentAt := e.sim.now
	e.whileRunning(e.sim.delay(), func() {
		reported := EngineReported{Engine: id}
		if engine := e.sim.engine(id); engine != nil {
			reported.SentAt, reported.Report = sentAt, engine.report()
		}
		e.post(e.sim.delay(), reported)
	})
}

func (e *simEntry) probe(run poison.Run) {
	e.whileRunning(e.sim.delay(), func() {
		ended := e.sim.engine(run.Engine) == nil
		e.post(e.sim.delay(), EngineProbed{
			Run:     run,
			Running: !ended && !e.sim.linkCut(e, run.Engine),
			Ended:   ended,
		})
	})
}
