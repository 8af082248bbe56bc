package quota_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
)

// event is a function to run at a time of the simulated clock.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// policy is how the entries limit customers.
type policy int

const (
	sharesWithRequests policy = iota
	sharesOnly
	fixedShares
)

// host is an entry or an agent in the simulation.
type host struct {
	name        string
	node        *quota.Node
	guard       *quota.Guard
	limiter     *quota.FixedLimiter
	incarnation uint64
	dead        bool
	paused      bool
	deferred    []func()
	recordsRead uint64
	sent        int
	bytes       int
	calls       map[string]*attempt
}

// attempt is a call that an entry admits or refuses.
type attempt struct {
	at       time.Time
	customer string
	tokens   float64
}

// admission is the use of tokens by a call that an agent admitted. The tokens
// were reserved at the time at.
type admission struct {
	at     time.Time
	tokens float64
}

// sim drives nodes and guards on a simulated clock.
type sim struct {
	now     time.Time
	queue   events
	seq     int
	random  *rand.Rand
	policy  policy
	limits  map[string]quota.Limit
	hosts   []*host
	entries []*host
	agents  []*host
	records []plat.Record
	logDown bool
	// blocked reports whether a can't reach b, which may be the log.
	blocked                 func(a, b string) bool
	lossRate, duplicateRate float64
	// randomUsage makes calls use a random fraction of what they reserve;
	// halfUsage makes them use half of it.
	randomUsage, halfUsage bool
	// maxCallDuration bounds the duration of calls.
	maxCallDuration time.Duration
	// onSend is called for each message sent, including lost ones.
	onSend func(to string, m *wirepb.ShareMessage)
	// route maps an entry to the index of the agent that it sends calls to.
	// Other entries send each call to a random agent.
	route    map[string]int
	jitter   time.Duration
	admitted map[string][]admission
	// offered, refused and idealRefused count by customer the calls, their
	// refusals, and the refusals by one bucket that sees all calls.
	offered, refused, idealRefused map[string]int
	idealBuckets                   map[string]*quota.Bucket
}

func newSim(seed uint64, p policy, entries, agents int, limits map[string]quota.Limit) *sim {
	s := &sim{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), policy: p, limits: limits,
		jitter:          time.Millisecond,
		maxCallDuration: 3 * time.Second,
		admitted:        map[string][]admission{}, offered: map[string]int{}, refused: map[string]int{}, idealRefused: map[string]int{},
		idealBuckets: map[string]*quota.Bucket{},
	}
	for name, l := range limits {
		s.idealBuckets[name] = quota.NewBucket(s.now, l.Rate, l.Burst, l.Burst)
	}
	for i := range agents {
		s.addAgent(fmt.Sprintf("agent-%d", i))
	}
	for i := range entries {
		s.addEntry(fmt.Sprintf("entry-%02d", i), entries)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// runOn runs a function on a host: once it resumes if it is paused, never if it
// is dead.
func (s *sim) runOn(h *host, run func()) {
	switch {
	case h.dead:
	case h.paused:
		h.deferred = append(h.deferred, run)
	default:
		run()
	}
}

func (s *sim) addAgent(name string) *host {
	incarnation := s.random.Uint64() | 1
	h := &host{name: name, guard: quota.NewGuard(incarnation), incarnation: incarnation}
	s.agents, s.hosts = append(s.agents, h), append(s.hosts, h)
	s.pollLog(h)
	return h
}

func (s *sim) addEntry(name string, entryCount int) {
	h := &host{name: name, incarnation: s.random.Uint64() | 1, calls: map[string]*attempt{}}
	s.entries, s.hosts = append(s.entries, h), append(s.hosts, h)
	if s.policy == fixedShares {
		h.limiter = quota.NewFixedLimiter(1 / float64(entryCount))
		h.limiter.SetLimits(s.now, s.limits)
		return
	}
	h.node = quota.NewNode(name, h.incarnation, s.random.Uint64())
	s.applyEffects(h, h.node.SetLimits(s.now, s.limits))
	var names []string
	for _, a := range s.agents {
		names = append(names, a.name)
	}
	h.node.SetAgents(s.now, names)
	for _, a := range s.agents {
		s.applyEffects(h, h.node.SetAgentSession(s.now, a.name, a.incarnation))
	}
	for _, e := range s.entries {
		if e != h && !e.dead {
			s.applyEffects(h, h.node.SetEntrySession(s.now, e.name, true))
			s.runOn(e, func() { s.applyEffects(e, e.node.SetEntrySession(s.now, name, true)) })
		}
	}
	s.pollLog(h)
	s.after(time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.tick(h) })
}

func (s *sim) tick(h *host) {
	if h.dead {
		return
	}
	s.after(100*time.Millisecond, func() { s.tick(h) })
	if !h.paused {
		s.applyEffects(h, h.node.Tick(s.now))
	}
}

// pollLog makes a host read the log periodically.
func (s *sim) pollLog(h *host) {
	if h.dead {
		return
	}
	s.after(20*time.Millisecond, func() { s.pollLog(h) })
	if h.paused || s.logDown || s.blocked != nil && s.blocked(h.name, "log") {
		return
	}
	page := plat.Page{First: 1, Next: uint64(len(s.records)) + 1, Records: s.records[h.recordsRead:]}
	if len(page.Records) == 0 && h.recordsRead > 0 {
		return
	}
	h.recordsRead = uint64(len(s.records))
	if h.guard != nil {
		if skipped := h.guard.ApplyLog(page); skipped != nil {
			panic(skipped) // all records of the simulated log are the nodes' own
		}
		return
	}
	s.applyEffects(h, h.node.ApplyLog(s.now, page))
}

// applyEffects carries out the effects that a node returned.
func (s *sim) applyEffects(h *host, effects []quota.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case quota.Send:
			s.send(h, e.Host, e.Message)
		case quota.Append:
			s.append(h, e.Data)
		case quota.Resolve:
			s.handleResolve(h, e)
		}
	}
}

func (s *sim) append(h *host, data []byte) {
	if s.logDown || s.blocked != nil && s.blocked(h.name, "log") {
		return
	}
	delay := 5 * time.Millisecond
	if s.lossRate > 0 && s.random.IntN(4) == 0 {
		delay = time.Duration(s.random.IntN(4000)) * time.Millisecond // the append takes effect after its answer was lost
	}
	s.after(delay, func() {
		s.records = append(s.records, plat.Record{Offset: uint64(len(s.records)) + 1, Data: json.RawMessage(data)})
	})
}

func (s *sim) send(from *host, to string, m *wirepb.ShareMessage) {
	from.sent++
	from.bytes += proto.Size(&wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: m}}) + 2
	if s.onSend != nil {
		s.onSend(to, m)
	}
	if s.blocked != nil && s.blocked(from.name, to) || s.random.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.Int64N(int64(s.jitter))) + 250*time.Microsecond
		s.after(delay, func() {
			if h := s.find(to); h != nil {
				s.runOn(h, func() { s.receive(h, from, m) })
			}
		})
	}
}

func (s *sim) find(name string) *host {
	for i := len(s.hosts) - 1; i >= 0; i-- {
		if s.hosts[i].name == name {
			return s.hosts[i]
		}
	}
	return nil
}

func (s *sim) receive(h, from *host, m *wirepb.ShareMessage) {
	if h.guard == nil {
		s.applyEffects(h, h.node.HandleMessage(s.now, from.name, m))
		return
	}
	if w := m.GetWitness(); w != nil {
		s.sendWitness(h, from, h.guard.HandleWitness(w))
		return
	}
	ack := h.guard.Install(s.now, m.GetView())
	s.send(h, from.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Ack{Ack: ack}})
	s.sendWitness(h, from, h.guard.WitnessQuery(s.now))
}

// sendWitness sends an agent's query or answer to an entry; w may be nil.
func (s *sim) sendWitness(h, to *host, w *wirepb.ShareWitness) {
	if w != nil {
		w = proto.Clone(w).(*wirepb.ShareWitness)
		s.send(h, to.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: w}})
	}
}

func (s *sim) kill(h *host) {
	h.dead = true
	s.after(time.Millisecond, func() {
		for _, e := range s.entries {
			if e != h && h.guard == nil && s.policy != fixedShares && s.find(h.name) == h {
				s.runOn(e, func() { s.applyEffects(e, e.node.SetEntrySession(s.now, h.name, false)) })
			}
		}
	})
}

func (s *sim) resume(h *host) {
	h.paused = false
	deferred := h.deferred
	h.deferred = nil
	s.random.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, run := range deferred {
		run()
	}
}

// advance runs the events of the next d of simulated time.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// TestSharesServeEvenLoad checks that the first coordinator of an empty log
// distributes the shares and that calls within the rate are admitted.
func TestSharesServeEvenLoad(t *testing.T) {
	s := newSim(1, sharesWithRequests, 4, 2, map[string]quota.Limit{"booth": {Rate: 1000, Burst: 5000}})
	s.advance(2 * time.Second)
	s.generateLoad("booth", 8, 100, evenWeights(4), s.now.Add(time.Minute))
	s.advance(time.Minute)
	if s.refused["booth"] > 0 || len(s.admitted["booth"]) < 400 {
		t.Errorf("%d of %d calls refused, %d admitted", s.refused["booth"], s.offered["booth"], len(s.admitted["booth"]))
	}
	if err := s.checkBound(); err != nil {
		t.Error(err)
	}
}
