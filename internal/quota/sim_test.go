package quota_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
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
	h := &host{name: name, guard: quota.NewGuard(), inc: s.random.Uint64() | 1}
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
	ack := h.guard.Install(m.GetView())
	s.send(h, from.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Ack{Ack: ack}})
}

// call brings a call to an entry.
func (s *sim) call(h *host, customer string, tokens float64) {
	if h.dead || h.paused {
		return
	}
	s.offered[customer]++
	ideal := tokens
	if s.half {
		ideal /= 2 // one bucket that knows what will be used
	}
	if _, ok := s.ideal[customer].Take(s.now, ideal); !ok {
		s.due[customer]++
	}
	a := &attempt{at: s.now, customer: customer, tokens: tokens}
	switch s.policy {
	case static:
		hold, _, ok := h.fixed.Reserve(s.now, customer, tokens)
		s.end(h, a, ok, hold)
	case notAsking:
		hold, _, ok := h.node.Take(s.now, customer, tokens)
		s.end(h, a, ok, hold)
	case asking:
		id := fmt.Sprint(s.seq, len(h.calls), s.offered[customer])
		decision, hold, _, effects := h.node.Reserve(s.now, id, customer, tokens)
		if decision == quota.Asked {
			h.calls[id] = a
		} else {
			s.end(h, a, decision == quota.Admitted, hold)
		}
		s.do(h, effects)
	}
}

func (s *sim) decided(h *host, d quota.Decide) {
	a := h.calls[d.ID]
	delete(h.calls, d.ID)
	s.end(h, a, d.OK, d.Hold)
}

// end counts a refusal, or sends an admitted call to an agent.
func (s *sim) end(h *host, a *attempt, ok bool, hold quota.Hold) {
	if !ok {
		s.refused[a.customer]++
		return
	}
	reserved := s.now
	agent := s.agents[s.random.IntN(len(s.agents))]
	if i, fixed := s.route[h.name]; fixed {
		agent = s.agents[i]
	}
	admit := func() {
		if agent.guard.Admits(h.name, hold.Incarnation) {
			used := a.tokens
			switch {
			case s.half:
				used /= 2
			case s.refunds:
				used *= s.random.Float64()
			}
			s.admitted[a.customer] = append(s.admitted[a.customer], spent{at: reserved, tokens: used})
			s.settle(h, a.customer, hold, used)
			return
		}
		s.settle(h, a.customer, hold, 0)
		s.refused[a.customer]++
	}
	if s.policy == static {
		return
	}
	delay := time.Duration(s.random.Int64N(int64(s.jitter)))
	if s.cut == nil || !s.cut(h.name, agent.name) {
		s.after(delay, func() { s.at(agent, admit) })
	}
}

// settle ends a reservation after up to three seconds.
func (s *sim) settle(h *host, customer string, hold quota.Hold, used float64) {
	if h.node == nil {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(s.runs))), func() {
		s.at(h, func() { h.node.Settle(s.now, customer, hold, used) })
	})
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

// audit returns a fault if any window admitted more than burst + rate × window.
func (s *sim) audit() error {
	for customer, all := range s.admitted {
		slices.SortStableFunc(all, func(a, b spent) int { return a.at.Compare(b.at) })
		limit := s.limits[customer]
		level, at := limit.Burst, time.Unix(1e9, 0)
		for _, one := range all {
			level = min(limit.Burst, level+limit.Rate*one.at.Sub(at).Seconds()) - one.tokens
			at = one.at
			if level < -0.01 {
				return fmt.Errorf("%s received %.1f tokens too many at %v", customer, -level, at.Sub(time.Unix(1e9, 0)))
			}
		}
	}
	return nil
}

// load has customers call entries; weights choose the entry.
func (s *sim) load(customer string, perSecond, tokens float64, weights []float64, until time.Time) {
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.after(gap, func() {
		if s.now.After(until) {
			return
		}
		pick := s.random.Float64()
		for i, w := range weights {
			if pick -= w; pick < 0 || i == len(weights)-1 {
				for s.entries[i].dead || s.entries[i].paused {
					i = (i + 1) % len(weights)
				}
				s.call(s.entries[i], customer, tokens)
				break
			}
		}
		s.load(customer, perSecond, tokens, weights, until)
	})
}

func even(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1 / float64(n)
	}
	return w
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
