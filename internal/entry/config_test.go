package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const (
	testLimit     = 15 * time.Second
	testRetention = time.Hour
)

// keyedText has one customer with a key, a model service and a plain one.
func keyedText() string {
	return fmt.Sprintf(`{"format":1,
"services":{"lengua":{"kind":"model"},"pedidos":{"kind":"plain"}},
"models":{"m":{"service":"lengua","version":"v","versions":{"v":{"memoryBytes":1}}}},
"customers":{"booth":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":100,"burstTokens":1000,"services":["lengua","pedidos"]}},
"routes":{
 "chat":{"path":"/chat","service":"lengua","access":"keyed","priority":"interactive","idempotent":true},
 "look":{"path":"/look","service":"pedidos","access":"keyed","priority":"interactive","idempotent":true},
 "charge":{"path":"/charge","service":"pedidos","access":"keyed","priority":"interactive"}}}`,
		config.DigestKey([]byte("secret")))
}

// network connects cores by messages that arrive at once, unless they are cut.
type network struct {
	t     testingT
	now   time.Time
	cores map[string]*Core
	// log is what readers see; down lists the cores that can't read it.
	records []plat.Record
	first   uint64
	down    map[string]bool
	cut     map[string]bool
	ready   map[string]bool
	effects map[string][]Effect
}

// testingT is what a test of either package gives.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

func newNetwork(t testingT, names ...string) *network {
	n := &network{
		t:       t,
		now:     time.Unix(1000, 0),
		cores:   make(map[string]*Core),
		first:   1,
		down:    make(map[string]bool),
		cut:     make(map[string]bool),
		ready:   make(map[string]bool),
		effects: make(map[string][]Effect),
	}
	for _, name := range names {
		n.start(name, names)
	}
	return n
}

// start runs a fresh process under a name.
func (n *network) start(name string, names []string) {
	n.cores[name] = NewCore(CoreSettings{
		Host:           name,
		Share:          1,
		Seed:           uint64(len(name)) + uint64(name[0]),
		Retention:      testRetention,
		IsolationLimit: testLimit,
	})
	n.ready[name] = false
	var hosts []plat.Host
	for _, host := range names {
		hosts = append(hosts, plat.Host{Name: host, Role: plat.RoleEntry, State: plat.HostLive})
	}
	n.apply(name, HostsRead{Hosts: hosts})
	for _, host := range names {
		if host != name {
			n.apply(name, LinkUp{Host: host, Hello: &wirepb.Hello{Incarnation: 1}})
		}
	}
}

// apply passes an event to a core and its messages to the others.
func (n *network) apply(name string, e Event) {
	for _, effect := range n.cores[name].Apply(n.now, e) {
		n.effects[name] = append(n.effects[name], effect)
		switch e := effect.(type) {
		case Ready:
			n.ready[name] = e.Ready
		case Append:
			if !n.down[name] {
				n.append(e.Data)
			}
		case Tell:
			if n.cores[e.Host] != nil && !n.cut[name] && !n.cut[e.Host] {
				n.apply(e.Host, Received{Host: name, Message: e.Message})
			}
		}
	}
}

func (n *network) append(data []byte) uint64 {
	offset := n.first + uint64(len(n.records))
	n.records = append(n.records, plat.Record{Offset: offset, Time: n.now, Data: data})
	return offset
}

func (n *network) publish(base uint64, text, patch string) uint64 {
	n.t.Helper()
	data, err := json.Marshal(config.Record{Publish: &config.Publish{
		Base:  base,
		Text:  json.RawMessage(text),
		Patch: json.RawMessage(patch),
	}})
	if err != nil {
		n.t.Fatal(err)
	}
	return n.append(data)
}

// run passes time in ticks; cores that reach the log read it.
func (n *network) run(d time.Duration) { n.runSteps(d, 100*time.Millisecond) }

func (n *network) runSteps(d, step time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		for len(n.records) > 0 && n.now.Sub(n.records[0].Time) > testRetention {
			n.records = n.records[1:]
			n.first++
		}
		for _, name := range slices.Sorted(maps.Keys(n.cores)) {
			if !n.down[name] {
				n.apply(name, LogRead{Stream: plat.StreamConfig, Page: plat.Page{
					First:   n.first,
					Next:    n.first + uint64(len(n.records)),
					Records: n.records,
				}})
			}
			n.apply(name, Tick{})
		}
	}
}

func (n *network) wantAccepted(name string, want uint64) {
	n.t.Helper()
	if got := n.cores[name].fold.Accepted; got != want {
		n.t.Errorf("%s runs the configuration %d, want %d", name, got, want)
	}
}

func (n *network) wantReady(name string, want bool) {
	n.t.Helper()
	if n.ready[name] != want {
		n.t.Errorf("%s ready = %v, want %v", name, n.ready[name], want)
	}
}

func TestPeerPassesChangeOn(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"] = true
	second := n.publish(1, "", `{"customers":{"booth":{"ratePerSecond":7}}}`)
	n.run(3 * time.Second)
	n.wantAccepted("b", second)
	if got := n.cores["b"].fold.Text.Customers["booth"].RatePerSecond; got != 7 {
		t.Errorf("rate %v, want 7", got)
	}
	n.run(2 * testLimit)
	n.wantReady("b", true)
}

func TestIsolatedEntryStopsAdmitting(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"], n.cut["b"] = true, true
	n.publish(1, "", `{"customers":{"booth":{"keys":{"a":null}}}}`)
	n.run(testLimit + time.Second)
	n.wantReady("b", false)
	if err := n.cores["b"].admit(n.now, Call{}); fault.CodeOf(err) != fault.CodeNotReady || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("admit: %v, want not ready, not run", err)
	}
	n.wantReady("a", true)
	n.cut["b"] = false
	n.run(2 * time.Second)
	n.wantReady("b", true)
	n.wantAccepted("b", 2)
}

func TestEntryThatWasPausedRefusesAtOnce(t *testing.T) {
	n, c := keyedCore(t)
	n.now = n.now.Add(time.Minute) // and no tick since
	n.arrive(c, "late", "charge")
	if err := n.refusal("late"); fault.CodeOf(err) != fault.CodeNotReady || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("refusal %v, want not ready, not run", err)
	}
}

func TestPeerOfALaterReleaseIsNotAskedAgainAtOnce(t *testing.T) {
	n := newNetwork(t, "a")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.apply("a", HostsRead{Hosts: []plat.Host{{Name: "b", Role: plat.RoleEntry, State: plat.HostLive}}})
	n.apply("a", LinkUp{Host: "b", Hello: &wirepb.Hello{Incarnation: 1}})
	n.run(time.Second)
	fold := func(m *wirepb.FoldMessage) {
		n.apply("a", Received{Host: "b", Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: m}}})
	}
	fold(&wirepb.FoldMessage{Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{Accepted: 7, Next: 8}}})
	asks := func() (count int) {
		for _, effect := range n.effects["a"] {
			if e, ok := effect.(Tell); ok && e.Message.GetFold().GetAsk() != nil {
				count++
			}
		}
		return count
	}
	n.run(time.Second)
	later := []byte(`{"format":2}`)
	fold(&wirepb.FoldMessage{Body: &wirepb.FoldMessage_State{State: &wirepb.FoldState{
		Accepted: 7,
		Next:     8,
		Sum:      config.Sum(later),
		Steps:    []*wirepb.FoldStep{{Offset: 7, Text: later}},
	}}})
	before := asks()
	n.run(8 * time.Second)
	if got := asks(); before != 1 || got != before {
		t.Errorf("asked %d times, then %d times more, want 1 and 0", before, got-before)
	}
	n.wantAccepted("a", 1)
}

func TestLogDownForAllServesOn(t *testing.T) {
	n := newNetwork(t, "a", "b", "c")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	for name := range n.cores {
		n.down[name] = true
	}
	n.run(5 * time.Minute)
	for name := range n.cores {
		n.wantReady(name, true)
	}
}

func TestFreshEntryWithLogDown(t *testing.T) {
	names := []string{"a", "b", "c"}
	n := newNetwork(t, names...)
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"] = true
	n.cut["b"] = true
	second := n.publish(1, "", `{"customers":{"booth":{"ratePerSecond":7}}}`)
	n.run(time.Second)
	for name := range n.cores {
		n.down[name] = true
	}
	n.cut["b"] = false
	n.cut["a"] = true
	n.start("c", names)
	n.run(time.Second)
	n.wantReady("c", false) // a has not answered yet
	n.cut["a"] = false
	n.run(5 * time.Second)
	n.wantReady("c", true)
	n.wantAccepted("c", second)
}

func TestFreshEntryAloneWithLogDownIsNotReady(t *testing.T) {
	n := newNetwork(t, "a")
	n.down["a"] = true
	n.run(time.Minute)
	n.wantReady("a", false)
}

func TestLateAnswerTellsNothingOfThePresent(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.down["b"], n.cut["b"] = true, true
	late := &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
			Accepted: 1,
			Next:     2,
			Informed: true,
			Echo:     n.cores["b"].relay.Status(n.now, 0).Sequence,
		}},
	}}}
	n.run(testLimit - time.Second)
	n.apply("b", Received{Host: "a", Message: late})
	n.run(3 * time.Second)
	n.wantReady("b", false)
}

func TestCheckpointOutlivesRetention(t *testing.T) {
	names := []string{"a", "b"}
	n := newNetwork(t, names...)
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.runSteps(3*testRetention, time.Second)
	if n.first == 1 {
		t.Fatal("nothing has expired")
	}
	written := n.first + uint64(len(n.records)) - 2
	if written < 3 || written > 12 {
		t.Errorf("%d checkpoints in 3 retentions by 2 entries, want 3 to 12", written)
	}
	delete(n.cores, "a")
	delete(n.cores, "b")
	n.start("c", []string{"c"})
	n.run(time.Second)
	n.wantReady("c", true)
	n.wantAccepted("c", 1)
}

func TestWrongCheckpointIsAnswered(t *testing.T) {
	n := newNetwork(t, "a", "b")
	n.publish(0, keyedText(), "")
	n.run(time.Second)
	n.append([]byte(`{"checkpoint":{"upTo":1,"accepted":1,"text":{"format":1}}}`))
	n.run(5 * time.Second)
	n.records = n.records[1:]
	n.first++
	n.cut["c"] = true
	n.start("c", []string{"c"})
	n.run(time.Second)
	n.wantReady("c", true)
	if len(n.cores["c"].fold.Text.Customers) != 1 {
		t.Error("the fresh entry started from the wrong checkpoint")
	}
}

// keyedCore returns a ready core with an agent for models and two for plain
// calls.
func keyedCore(t *testing.T) (*network, *Core) {
	n := newNetwork(t, "e")
	n.publish(0, keyedText(), "")
	n.run(200 * time.Millisecond)
	c := n.cores["e"]
	n.apply("e", HostsRead{Hosts: []plat.Host{
		{Name: "model", Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive},
		{Name: "plain", Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive},
		{Name: "other", Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive},
	}})
	for _, name := range []string{"model", "plain", "other"} {
		n.apply("e", LinkUp{Host: name, Hello: &wirepb.Hello{Incarnation: 1}})
		n.apply("e", Received{Host: name, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: &wirepb.LoadReport{
			Sequence: 1,
			Slots:    1,
			Models:   []*wirepb.HeldModel{{Model: "m", Version: "v"}},
		}}}})
	}
	return n, c
}

func (n *network) arrive(c *Core, id, route string) {
	call := Call{
		ID:       id,
		Keyed:    true,
		Key:      config.DigestKey([]byte("secret")),
		Customer: "booth",
		Route:    c.fold.Text.Routes[route],
		Tokens:   1,
		Deadline: n.now.Add(time.Hour),
	}
	if route == "chat" {
		call.Model, call.Version = "m", "v"
	}
	n.apply("e", Arrived{Call: call})
}

// refusal returns the error that a call was refused with, nil if none.
func (n *network) refusal(id string) error {
	for _, effect := range n.effects["e"] {
		if r, ok := effect.(Refuse); ok && r.ID == id {
			return r.Err
		}
	}
	return nil
}

func (n *network) canceled(id string) bool {
	for _, effect := range n.effects["e"] {
		if r, ok := effect.(Cancel); ok && r.ID == id {
			return true
		}
	}
	return false
}

func (n *network) dropped(id string) bool {
	for _, effect := range n.effects["e"] {
		if r, ok := effect.(Tell); ok && r.Message.GetFold().GetDrop().GetId() == id {
			return true
		}
	}
	return false
}

func TestWithdrawalOfRunningCalls(t *testing.T) {
	for name, patch := range map[string]string{
		"key":      `{"customers":{"booth":{"keys":{"a":null}}}}`,
		"customer": `{"customers":{"booth":null}}`,
		"services": `{"customers":{"booth":{"services":[]}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			n, c := keyedCore(t)
			for _, route := range []string{"chat", "look", "charge"} {
				n.arrive(c, route, route)
			}
			n.publish(1, "", patch)
			n.run(2 * time.Second)
			for route, canceled := range map[string]bool{"chat": true, "look": true, "charge": false} {
				if !n.dropped(route) || n.canceled(route) != canceled {
					t.Errorf("%s: agent told %v, canceled %v, want true, %v", route, n.dropped(route), n.canceled(route), canceled)
				}
			}
			// The agent says that the charge was still waiting.
			n.apply("e", Answered{ID: "charge", Attempt: 1, Outcome: Outcome{
				Verdict: fault.NotRun,
				Err:     fault.New(fault.NotRun, fault.CodeWithdrawn, "dropped"),
			}})
			if err := n.refusal("charge"); err == nil || fault.VerdictOf(err) != fault.NotRun {
				t.Errorf("dropped charge: %v, want not run", err)
			}
			n.arrive(c, "late", "charge")
			if err := n.refusal("late"); err == nil || fault.VerdictOf(err) != fault.NotRun {
				t.Errorf("new charge: %v, want not run", err)
			}
		})
	}
}

func TestRouteThatStopsBeingIdempotentIsNotRepeated(t *testing.T) {
	n, c := keyedCore(t)
	n.arrive(c, "look", "look")
	n.publish(1, "", `{"routes":{"look":{"idempotent":false}}}`)
	n.run(time.Second)
	n.apply("e", Answered{ID: "look", Attempt: 1, Outcome: Outcome{Err: errors.New("link broken")}})
	if err := n.refusal("look"); err == nil || fault.VerdictOf(err) != fault.MayHaveRun {
		t.Errorf("refusal %v, want may have run", err)
	}
}

func TestPartOfTheLogIsNotEnoughToServe(t *testing.T) {
	c := NewCore(CoreSettings{Host: "e", Share: 1})
	n := &network{t: t, first: 1}
	n.publish(0, keyedText(), "")
	page := plat.Page{First: 1, Next: 3, Records: n.records}
	for _, effect := range c.Apply(time.Unix(1000, 0), LogRead{Stream: plat.StreamConfig, Page: page}) {
		if r, ok := effect.(Ready); ok && r.Ready {
			t.Error("ready with a record of the log unread")
		}
	}
}

// fleetMachine drives entries through outages, partitions and restarts.
type fleetMachine struct {
	n     *network
	names []string
	// alone is since when an entry has reached neither log nor peer.
	alone  map[string]time.Time
	served map[string]uint64
	// whole is the fold of all records, offsets what it had accepted after each.
	whole   *config.Fold
	offsets []uint64
}

// Publish changes the configuration.
func (m *fleetMachine) Publish(t *rapid.T) {
	truth := m.truth()
	rate := rapid.IntRange(1, 9).Draw(t, "rate")
	m.n.publish(truth.Accepted, "", fmt.Sprintf(`{"customers":{"booth":{"ratePerSecond":%d}}}`, rate))
}

// truth folds the whole log.
func (m *fleetMachine) truth() *config.Fold {
	for _, r := range m.n.records[m.whole.Next-1:] {
		_ = m.whole.Apply(r.Offset, r.Data)
		m.offsets = append(m.offsets, m.whole.Accepted)
	}
	return m.whole
}

// Fault changes what one entry reaches, or the log for all.
func (m *fleetMachine) Fault(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "entry")
	value := rapid.Bool().Draw(t, "broken")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		m.n.down[name] = value
	case 1:
		m.n.cut[name] = value
	default:
		for _, name := range m.names {
			m.n.down[name] = value
		}
	}
}

// Restart replaces a process.
func (m *fleetMachine) Restart(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "entry")
	m.n.start(name, m.names)
	m.served[name] = 0
}

// Run passes time.
func (m *fleetMachine) Run(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "seconds") {
		for _, name := range m.names {
			if !m.n.down[name] || m.reaches(name) {
				delete(m.alone, name)
			} else if _, noted := m.alone[name]; !noted {
				m.alone[name] = m.n.now
			}
		}
		m.n.runSteps(time.Second, 250*time.Millisecond)
	}
}

// reaches reports whether an entry reaches any other one.
func (m *fleetMachine) reaches(name string) bool {
	for _, other := range m.names {
		if other != name && !m.n.cut[other] && !m.n.cut[name] {
			return true
		}
	}
	return false
}

// Heal ends all faults; then every entry soon serves the newest version.
func (m *fleetMachine) Heal(t *rapid.T) {
	clear(m.n.down)
	clear(m.n.cut)
	clear(m.alone)
	m.n.runSteps(2*time.Second, 250*time.Millisecond)
	truth := m.truth()
	for _, name := range m.names {
		if c := m.n.cores[name]; c.fold.Accepted != truth.Accepted || !m.n.ready[name] {
			t.Fatalf("%s runs %d, ready %v, want %d", name, c.fold.Accepted, m.n.ready[name], truth.Accepted)
		}
	}
}

// Check demands that what is served follows from the log, never reverts, and
// is not served by an entry that has been alone for the limit.
func (m *fleetMachine) Check(t *rapid.T) {
	m.truth()
	for _, name := range m.names {
		f := m.n.cores[name].fold
		if f.Accepted != m.offsets[f.Next-1] || f.Accepted < m.served[name] {
			t.Fatalf("%s runs %d after record %d, served %d before", name, f.Accepted, f.Next-1, m.served[name])
		}
		m.served[name] = f.Accepted
		since, alone := m.alone[name]
		if alone && m.n.ready[name] && m.n.now.Sub(since) > testLimit+2*time.Second {
			t.Fatalf("%s admits after %v alone", name, m.n.now.Sub(since))
		}
	}
}

func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetMachine{
			names:  []string{"a", "b", "c"},
			alone:  make(map[string]time.Time),
			served: make(map[string]uint64),
			whole:  config.NewFold(),

			offsets: []uint64{0},
		}
		m.n = newNetwork(t, m.names...)
		m.n.publish(0, keyedText(), "")
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.Publish,
			"fault":   m.Fault,
			"restart": m.Restart,
			"run":     m.Run,
			"heal":    m.Heal,
			"":        m.Check,
		})
	})
}
