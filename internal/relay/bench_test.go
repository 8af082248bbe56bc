package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/wire/wirepb"
)

// The size and pace that the benchmarks work at.
const (
	benchNodes   = 370
	benchZones   = 19
	benchStep    = 20 * time.Millisecond
	benchBeat    = 500 * time.Millisecond
	benchPoll    = 2 * time.Second
	benchChange  = 24 * time.Hour / 5100
	benchTime    = 5 * time.Minute
	patchBytes   = 250
	frameBytes   = 12 + 2 // of yamux and the length
	hopSteps     = 3      // up to 60 ms one way
	logDelayMost = 200 * time.Millisecond
)

// scheme is a way to bring a change to all nodes.
type scheme struct {
	name string
	// reads reports whether a node reads the log.
	reads func(node int) bool
	// pushes says that a reader sends a change to its zone at once.
	pushes bool
}

// message is on its way between two nodes.
type message struct {
	from, to int
	status   *Status
	ask      bool
	state    uint64
}

type benchNode struct {
	relay    *Relay
	accepted uint64
	messages int
	bytes    int
	spread   map[uint64]bool
}

// simulation passes messages between relays over a virtual clock.
type simulation struct {
	scheme  scheme
	now     time.Time
	nodes   []*benchNode
	names   []string
	flying  map[int][]message
	random  *rand.Rand
	step    int
	current uint64
	at      map[uint64]time.Time
	arrive  map[int]map[int]uint64
	took    []time.Duration
	poll    int
}

func newSimulation(s scheme) *simulation {
	m := &simulation{
		scheme: s,
		now:    time.Unix(1000, 0),
		flying: make(map[int][]message),
		random: rand.New(rand.NewPCG(1, 2)),
		at:     make(map[uint64]time.Time),
		arrive: make(map[int]map[int]uint64),
		poll:   pollBytes(),
	}
	for i := range benchNodes {
		m.names = append(m.names, fmt.Sprintf("%03d", i))
	}
	for i := range benchNodes {
		r := New(15*time.Second, uint64(i))
		others := append([]string{}, m.names...)
		r.Linked(m.now, append(others[:i], others[i+1:]...))
		m.nodes = append(m.nodes, &benchNode{
			relay:  r,
			spread: make(map[uint64]bool),
		})
	}
	return m
}

// pollBytes returns the size of an empty poll of the log, both ways.
func pollBytes() int {
	var request fasthttp.Request
	request.SetRequestURI("http://10.0.0.1:8080/streams/config?from=5101&waitMs=2000")
	var response fasthttp.Response
	response.SetBodyString(`{"first":1,"next":5101,"records":[]}`)
	return len(request.String()) + len(response.String())
}

func (m *simulation) send(e message, size int) {
	for _, node := range []int{e.from, e.to} {
		m.nodes[node].messages++
		m.nodes[node].bytes += size + frameBytes
	}
	at := m.step + 1 + m.random.IntN(hopSteps)
	m.flying[at] = append(m.flying[at], e)
}

func (m *simulation) sendStatus(from, to int, s Status) {
	size := proto.Size(&wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
			Accepted: s.Accepted + 5000,
			Next:     s.Next + 5000,
			Informed: s.Informed,
			AgeMs:    uint32(s.Age.Milliseconds()),
			Sequence: s.Sequence,
			Echo:     s.Echo,
		}},
	}}})
	m.send(message{from: from, to: to, status: &s}, size)
}

func (m *simulation) sendState(from, to int) {
	m.send(message{from: from, to: to, state: m.nodes[from].accepted}, patchBytes)
}

// learn puts a version in force at a node.
func (m *simulation) learn(i int, version uint64, read bool) {
	n := m.nodes[i]
	if version <= n.accepted {
		return
	}
	for v := n.accepted + 1; v <= version; v++ {
		m.took = append(m.took, m.now.Sub(m.at[v]))
	}
	n.accepted = version
	n.relay.Folded(m.now, version, version+1)
	m.ask(i)
	if read && m.scheme.pushes && !n.spread[version] {
		n.spread[version] = true
		for j := i % benchZones; j < benchNodes; j += benchZones {
			if j != i {
				m.sendState(i, j)
			}
		}
	}
}

// ask sends a round of questions.
func (m *simulation) ask(i int) {
	for _, name := range m.nodes[i].relay.Targets(m.now) {
		to, _ := slices.BinarySearch(m.names, name)
		m.sendStatus(i, to, m.nodes[i].relay.Status(m.now, 0))
	}
}

func (m *simulation) deliver(e message) {
	n := m.nodes[e.to]
	switch {
	case e.status != nil:
		n.relay.Heard(m.now, m.names[e.from], *e.status)
		if e.status.Sequence != 0 {
			m.sendStatus(e.to, e.from, n.relay.Status(m.now, e.status.Sequence))
		}
	case e.ask:
		m.sendState(e.to, e.from)
	default:
		n.relay.Answered(m.names[e.from])
		m.learn(e.to, e.state, false)
	}
}

// every reports whether a node's turn of a period comes at this step.
func (m *simulation) every(i int, period time.Duration) bool {
	steps := int(period / benchStep)
	return m.step%steps == i%steps
}

func (m *simulation) run() {
	changeSteps := int(benchChange / benchStep)
	for range int(benchTime / benchStep) {
		m.step++
		m.now = m.now.Add(benchStep)
		if m.step%changeSteps == 0 {
			m.publish()
		}
		for i, version := range m.arrive[m.step] {
			m.nodes[i].relay.Read(m.now)
			m.nodes[i].bytes += patchBytes
			m.learn(i, version, true)
		}
		for _, e := range m.flying[m.step] {
			m.deliver(e)
		}
		delete(m.flying, m.step)
		for i := range m.nodes {
			m.tick(i)
		}
	}
}

func (m *simulation) tick(i int) {
	n := m.nodes[i]
	if m.scheme.reads(i) && m.every(i, benchPoll) {
		n.relay.Read(m.now)
		n.messages += 2
		n.bytes += m.poll
	}
	if m.every(i, benchBeat) {
		m.ask(i)
	}
	if name, ok := n.relay.Pull(m.now); ok {
		to, _ := slices.BinarySearch(m.names, name)
		m.send(message{from: i, to: to, ask: true}, 8)
	}
}

// publish adds a change, which each reader finds after a delay of its own.
func (m *simulation) publish() {
	m.current++
	m.at[m.current] = m.now
	for i := range m.nodes {
		if m.scheme.reads(i) {
			at := m.step + 1 + m.random.IntN(int(logDelayMost/benchStep))
			if m.arrive[at] == nil {
				m.arrive[at] = make(map[int]uint64)
			}
			m.arrive[at][i] = m.current
		}
	}
}

func BenchmarkInForce(b *testing.B) {
	for _, s := range []scheme{
		{name: "allTail", reads: func(int) bool { return true }},
		{name: "halfTail", reads: func(i int) bool { return i%2 == 0 }},
		{name: "readerPerZone", reads: func(i int) bool { return i < benchZones }},
		{name: "readerPerZonePushes", reads: func(i int) bool { return i < benchZones }, pushes: true},
		{name: "readerPerZonePushesOneZoneWithout", reads: func(i int) bool { return i > 0 && i < benchZones }, pushes: true},
		{name: "oneReader", reads: func(i int) bool { return i == 0 }},
	} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				m := newSimulation(s)
				m.run()
				m.report(b)
			}
		})
	}
}

func (m *simulation) report(b *testing.B) {
	b.Helper()
	slices.Sort(m.took)
	messages, bytes, most, reads := 0, 0, 0, 0
	for i, n := range m.nodes {
		messages += n.messages
		bytes += n.bytes
		most = max(most, n.bytes)
		if m.scheme.reads(i) {
			reads++
		}
	}
	seconds := benchTime.Seconds()
	b.ReportMetric(m.took[len(m.took)/2].Seconds(), "s-p50")
	b.ReportMetric(m.took[len(m.took)*99/100].Seconds(), "s-p99")
	b.ReportMetric(m.took[len(m.took)-1].Seconds(), "s-max")
	b.ReportMetric(float64(messages)/benchNodes/seconds, "messages/node/s")
	b.ReportMetric(float64(bytes)/benchNodes/seconds, "bytes/node/s")
	b.ReportMetric(float64(most)/seconds, "bytes/busiest/s")
	b.ReportMetric(float64(reads)/benchPoll.Seconds(), "logReads/s")
}
