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

// event is something that happens at a time of the virtual clock.
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

// policy is how the entries limit.
type policy int

const (
	asking policy = iota
	notAsking
	static
)

// host is an entry or an agent in the simulation.
type host struct {
	name   string
	node   *quota.Node
	guard  *quota.Guard
	fixed  *quota.Limiter
	inc    uint64
	dead   bool
	paused bool
	late   []func()
	read   uint64
	sent   int
	bytes  int
	calls  map[string]*attempt
}

// attempt is a call that an entry decides on.
type attempt struct {
	at       time.Time
	customer string
	tokens   float64
}

// spent is what was admitted at a time.
type spent struct {
	at     time.Time
	tokens float64
}

// sim drives nodes and guards over a virtual clock.
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
	// cut tells which pairs of hosts can't talk.
	cut        func(a, b string) bool
	loss, twin float64
	// refunds has calls use less than they reserve, half of it if half is set.
	refunds, half bool
	// runs is how long calls run at most.
	runs time.Duration
	// spy sees each message, lost ones too.
	spy func(to string, m *wirepb.ShareMessage)
	// route names the agent that an entry sends calls to, any if unset.
	route    map[string]int
	jitter   time.Duration
	admitted map[string][]spent
	// offered, refused and due count calls, refusals, and refusals of one
	// bucket that sees all calls, by customer.
	offered, refused, due map[string]int
	ideal                 map[string]*quota.Bucket
}

func newSim(seed uint64, p policy, entries, agents int, limits map[string]quota.Limit) *sim {
	s := &sim{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)), policy: p, limits: limits,
		jitter:   time.Millisecond,
		runs:     3 * time.Second,
		admitted: map[string][]spent{}, offered: map[string]int{}, refused: map[string]int{}, due: map[string]int{},
		ideal: map[string]*quota.Bucket{},
	}
	for name, l := range limits {
		s.ideal[name] = quota.NewBucket(s.now, l.Rate, l.Burst, l.Burst)
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

// at runs something at a host, later if it is paused and never if it is dead.
func (s *sim) at(h *host, run func()) {
	switch {
	case h.dead:
	case h.paused:
		h.late = append(h.late, run)
	default:
		run()
	}
}

func (s *sim) addAgent(name string) *host {
	inc := s.random.Uint64() | 1
	h := &host{name: name, guard: quota.NewGuard(inc), inc: inc}
	s.agents, s.hosts = append(s.agents, h), append(s.hosts, h)
	s.poll(h)
	return h
}

func (s *sim) addEntry(name string, n int) {
	h := &host{name: name, inc: s.random.Uint64() | 1, calls: map[string]*attempt{}}
	s.entries, s.hosts = append(s.entries, h), append(s.hosts, h)
	if s.policy == static {
		h.fixed = quota.NewLimiter(1 / float64(n))
		h.fixed.Configure(s.now, s.limits)
		return
	}
	h.node = quota.NewNode(name, h.inc, s.random.Uint64())
	s.do(h, h.node.Configure(s.now, s.limits))
	var names []string
	for _, a := range s.agents {
		names = append(names, a.name)
	}
	h.node.Listed(s.now, names)
	for _, a := range s.agents {
		s.do(h, h.node.LinkedAgent(s.now, a.name, a.inc))
	}
	for _, e := range s.entries {
		if e != h && !e.dead {
			s.do(h, h.node.LinkedEntry(s.now, e.name, true))
			s.at(e, func() { s.do(e, e.node.LinkedEntry(s.now, name, true)) })
		}
	}
	s.poll(h)
	s.after(time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.tick(h) })
}

func (s *sim) tick(h *host) {
	if h.dead {
		return
	}
	s.after(100*time.Millisecond, func() { s.tick(h) })
	if !h.paused {
		s.do(h, h.node.Tick(s.now))
	}
}

// poll has a host read the log.
func (s *sim) poll(h *host) {
	if h.dead {
		return
	}
	s.after(20*time.Millisecond, func() { s.poll(h) })
	if h.paused || s.logDown || s.cut != nil && s.cut(h.name, "log") {
		return
	}
	page := plat.Page{First: 1, Next: uint64(len(s.records)) + 1, Records: s.records[h.read:]}
	if len(page.Records) == 0 && h.read > 0 {
		return
	}
	h.read = uint64(len(s.records))
	if h.guard != nil {
		h.guard.Read(page)
		return
	}
	s.do(h, h.node.LogRead(s.now, page))
}

// do carries out what a node wants.
func (s *sim) do(h *host, effects []quota.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case quota.Tell:
			s.send(h, e.Host, e.Message)
		case quota.Append:
			s.append(h, e.Data)
		case quota.Decide:
			s.decided(h, e)
		}
	}
}

func (s *sim) append(h *host, data []byte) {
	if s.logDown || s.cut != nil && s.cut(h.name, "log") {
		return
	}
	delay := 5 * time.Millisecond
	if s.loss > 0 && s.random.IntN(4) == 0 {
		delay = time.Duration(s.random.IntN(4000)) * time.Millisecond // took effect after the answer was lost
	}
	s.after(delay, func() {
		s.records = append(s.records, plat.Record{Offset: uint64(len(s.records)) + 1, Data: json.RawMessage(data)})
	})
}

func (s *sim) send(from *host, to string, m *wirepb.ShareMessage) {
	from.sent++
	from.bytes += proto.Size(&wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: m}}) + 2
	if s.spy != nil {
		s.spy(to, m)
	}
	if s.cut != nil && s.cut(from.name, to) || s.random.Float64() < s.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.twin {
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.Int64N(int64(s.jitter))) + 250*time.Microsecond
		s.after(delay, func() {
			if h := s.find(to); h != nil {
				s.at(h, func() { s.receive(h, from, m) })
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
		s.do(h, h.node.Received(s.now, from.name, m))
		return
	}
	if w := m.GetWitness(); w != nil {
		s.witness(h, from, h.guard.Witness(w))
		return
	}
	ack := h.guard.Install(s.now, m.GetView())
	s.send(h, from.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Ack{Ack: ack}})
	s.witness(h, from, h.guard.Ask(s.now))
}

// witness sends an agent's question or answer to an entry, if there is one.
func (s *sim) witness(h, to *host, w *wirepb.ShareWitness) {
	if w != nil {
		w = proto.Clone(w).(*wirepb.ShareWitness)
		s.send(h, to.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: w}})
	}
}

func (s *sim) kill(h *host) {
	h.dead = true
	s.after(time.Millisecond, func() {
		for _, e := range s.entries {
			if e != h && h.guard == nil && s.policy != static && s.find(h.name) == h {
				s.at(e, func() { s.do(e, e.node.LinkedEntry(s.now, h.name, false)) })
			}
		}
	})
}

func (s *sim) resume(h *host) {
	h.paused = false
	late := h.late
	h.late = nil
	s.random.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
	for _, run := range late {
		run()
	}
}

// run passes time.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// TestSharesServeEvenLoad checks that the first coordinator of an empty log
// spreads the shares and that calls within the rate are admitted.
func TestSharesServeEvenLoad(t *testing.T) {
	s := newSim(1, asking, 4, 2, map[string]quota.Limit{"booth": {Rate: 1000, Burst: 5000}})
	s.run(2 * time.Second)
	s.load("booth", 8, 100, even(4), s.now.Add(time.Minute))
	s.run(time.Minute)
	if s.refused["booth"] > 0 || len(s.admitted["booth"]) < 400 {
		t.Errorf("%d of %d refused, %d admitted", s.refused["booth"], s.offered["booth"], len(s.admitted["booth"]))
	}
	if err := s.audit(); err != nil {
		t.Error(err)
	}
}
