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

// The scale and timing of the simulated system.
const (
	benchNodes         = 370
	benchZones         = 19
	benchStep          = 20 * time.Millisecond
	benchRoundPeriod   = 500 * time.Millisecond
	benchPollPeriod    = 2 * time.Second
	benchChangePeriod  = 24 * time.Hour / 5100
	benchDuration      = 5 * time.Minute
	patchBytes         = 250
	frameOverheadBytes = 12 + 2 // yamux header and length prefix
	maxHopSteps        = 3      // up to 60 ms of one-way latency
	maxLogDelay        = 200 * time.Millisecond
)

// scheme is a strategy for propagating a change to all nodes.
type scheme struct {
	name string
	// readsLog reports whether a node polls the log.
	readsLog func(node int) bool
	// pushes makes a log reader send a change to its zone immediately.
	pushes bool
}

// message is a message in transit between two nodes.
type message struct {
	from, to int
	status   *Status
	pull     bool
	version  uint64
}

type benchNode struct {
	relay    *Relay
	accepted uint64
	messages int
	bytes    int
	pushed   map[uint64]bool
}

// simulation exchanges messages between relays on a virtual clock.
type simulation struct {
	scheme      scheme
	now         time.Time
	nodes       []*benchNode
	names       []string
	inFlight    map[int][]message
	random      *rand.Rand
	step        int
	newest      uint64
	publishedAt map[uint64]time.Time
	logArrivals map[int]map[int]uint64
	delays      []time.Duration
	pollBytes   int
}

func newSimulation(s scheme) *simulation {
	m := &simulation{
		scheme:      s,
		now:         time.Unix(1000, 0),
		inFlight:    make(map[int][]message),
		random:      rand.New(rand.NewPCG(1, 2)),
		publishedAt: make(map[uint64]time.Time),
		logArrivals: make(map[int]map[int]uint64),
		pollBytes:   emptyPollBytes(),
	}
	for i := range benchNodes {
		m.names = append(m.names, fmt.Sprintf("%03d", i))
	}
	for i := range benchNodes {
		r := New(15*time.Second, uint64(i))
		others := append([]string{}, m.names...)
		r.SetPeers(m.now, append(others[:i], others[i+1:]...))
		m.nodes = append(m.nodes, &benchNode{
			relay:  r,
			pushed: make(map[uint64]bool),
		})
	}
	return m
}

// emptyPollBytes returns the size of the request and the response of a log poll
// that returns no records.
func emptyPollBytes() int {
	var request fasthttp.Request
	request.SetRequestURI("http://10.0.0.1:8080/streams/config?from=5101&waitMs=2000")
	var response fasthttp.Response
	response.SetBodyString(`{"first":1,"next":5101,"records":[]}`)
	return len(request.String()) + len(response.String())
}

func (m *simulation) send(msg message, size int) {
	for _, node := range []int{msg.from, msg.to} {
		m.nodes[node].messages++
		m.nodes[node].bytes += size + frameOverheadBytes
	}
	arrival := m.step + 1 + m.random.IntN(maxHopSteps)
	m.inFlight[arrival] = append(m.inFlight[arrival], msg)
}

func (m *simulation) sendStatus(from, to int, s Status) {
	size := proto.Size(&wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
			Accepted: s.Accepted + 5000,
			Next:     s.Next + 5000,
			Informed: s.LogEndKnown,
			AgeMs:    uint32(s.LogEndAge.Milliseconds()),
			Sequence: s.Sequence,
			Echo:     s.Echo,
		}},
	}}})
	m.send(message{from: from, to: to, status: &s}, size)
}

func (m *simulation) sendState(from, to int) {
	m.send(message{from: from, to: to, version: m.nodes[from].accepted}, patchBytes)
}

// apply makes a version effective on a node.
func (m *simulation) apply(i int, version uint64, fromLog bool) {
	n := m.nodes[i]
	if version <= n.accepted {
		return
	}
	for v := n.accepted + 1; v <= version; v++ {
		m.delays = append(m.delays, m.now.Sub(m.publishedAt[v]))
	}
	n.accepted = version
	n.relay.SetApplied(m.now, version, version+1)
	m.startRound(i)
	if fromLog && m.scheme.pushes && !n.pushed[version] {
		n.pushed[version] = true
		for j := i % benchZones; j < benchNodes; j += benchZones {
			if j != i {
				m.sendState(i, j)
			}
		}
	}
}

// startRound sends a round of questions from a node.
func (m *simulation) startRound(i int) {
	for _, name := range m.nodes[i].relay.StartRound(m.now) {
		to, _ := slices.BinarySearch(m.names, name)
		m.sendStatus(i, to, m.nodes[i].relay.Status(m.now, 0))
	}
}

func (m *simulation) deliver(msg message) {
	n := m.nodes[msg.to]
	switch {
	case msg.status != nil:
		n.relay.HandleStatus(m.now, m.names[msg.from], *msg.status)
		if msg.status.Sequence != 0 {
			m.sendStatus(msg.to, msg.from, n.relay.Status(m.now, msg.status.Sequence))
		}
	case msg.pull:
		m.sendState(msg.to, msg.from)
	default:
		n.relay.PullAnswered(m.names[msg.from])
		m.apply(msg.to, msg.version, false)
	}
}

// due reports whether a node's periodic action is due at this step. Nodes are
// offset from each other within the period.
func (m *simulation) due(i int, period time.Duration) bool {
	steps := int(period / benchStep)
	return m.step%steps == i%steps
}

func (m *simulation) run() {
	changeSteps := int(benchChangePeriod / benchStep)
	for range int(benchDuration / benchStep) {
		m.step++
		m.now = m.now.Add(benchStep)
		if m.step%changeSteps == 0 {
			m.publish()
		}
		for i, version := range m.logArrivals[m.step] {
			m.nodes[i].relay.MarkCurrent(m.now)
			m.nodes[i].bytes += patchBytes
			m.apply(i, version, true)
		}
		for _, msg := range m.inFlight[m.step] {
			m.deliver(msg)
		}
		delete(m.inFlight, m.step)
		for i := range m.nodes {
			m.tick(i)
		}
	}
}

func (m *simulation) tick(i int) {
	n := m.nodes[i]
	if m.scheme.readsLog(i) && m.due(i, benchPollPeriod) {
		n.relay.MarkCurrent(m.now)
		n.messages += 2
		n.bytes += m.pollBytes
	}
	if m.due(i, benchRoundPeriod) {
		m.startRound(i)
	}
	if name, ok := n.relay.NextPull(m.now); ok {
		to, _ := slices.BinarySearch(m.names, name)
		m.send(message{from: i, to: to, pull: true}, 8)
	}
}

// publish appends a change to the log, which each reader sees after a random
// delay.
func (m *simulation) publish() {
	m.newest++
	m.publishedAt[m.newest] = m.now
	for i := range m.nodes {
		if m.scheme.readsLog(i) {
			arrival := m.step + 1 + m.random.IntN(int(maxLogDelay/benchStep))
			if m.logArrivals[arrival] == nil {
				m.logArrivals[arrival] = make(map[int]uint64)
			}
			m.logArrivals[arrival][i] = m.newest
		}
	}
}

func BenchmarkInForce(b *testing.B) {
	for _, s := range []scheme{
		{name: "allTail", readsLog: func(int) bool { return true }},
		{name: "halfTail", readsLog: func(i int) bool { return i%2 == 0 }},
		{name: "readerPerZone", readsLog: func(i int) bool { return i < benchZones }},
		{name: "readerPerZonePushes", readsLog: func(i int) bool { return i < benchZones }, pushes: true},
		{name: "readerPerZonePushesOneZoneWithout", readsLog: func(i int) bool { return i > 0 && i < benchZones }, pushes: true},
		{name: "oneReader", readsLog: func(i int) bool { return i == 0 }},
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
	slices.Sort(m.delays)
	messages, bytes, busiest, readers := 0, 0, 0, 0
	for i, n := range m.nodes {
		messages += n.messages
		bytes += n.bytes
		busiest = max(busiest, n.bytes)
		if m.scheme.readsLog(i) {
			readers++
		}
	}
	seconds := benchDuration.Seconds()
	b.ReportMetric(m.delays[len(m.delays)/2].Seconds(), "s-p50")
	b.ReportMetric(m.delays[len(m.delays)*99/100].Seconds(), "s-p99")
	b.ReportMetric(m.delays[len(m.delays)-1].Seconds(), "s-max")
	b.ReportMetric(float64(messages)/benchNodes/seconds, "messages/node/s")
	b.ReportMetric(float64(bytes)/benchNodes/seconds, "bytes/node/s")
	b.ReportMetric(float64(busiest)/seconds, "bytes/busiest/s")
	b.ReportMetric(float64(readers)/benchPollPeriod.Seconds(), "logReads/s")
}
