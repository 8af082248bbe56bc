package entry

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

const (
	testIsolationLimit = 15 * time.Second
	testRetention      = time.Hour
)

// keyedConfig returns a configuration with a model service, a plain service and
// one customer with an API key.
func keyedConfig() string {
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

// testNetwork connects reducers by messages that are delivered at once, except
// to and from partitioned reducers.
type testNetwork struct {
	t     testingT
	now   time.Time
	cores map[string]*Core
	// records is the retained log, which starts at offset first. logDown lists
	// the reducers that can't read it.
	records     []plat.Record
	first       uint64
	logDown     map[string]bool
	partitioned map[string]bool
	ready       map[string]bool
	effects     map[string][]Effect
}

// testingT is the part of testing.T and rapid.T that the network uses.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

func newNetwork(t testingT, names ...string) *testNetwork {
	network := &testNetwork{
		t:           t,
		now:         time.Unix(1000, 0),
		cores:       make(map[string]*Core),
		first:       1,
		logDown:     make(map[string]bool),
		partitioned: make(map[string]bool),
		ready:       make(map[string]bool),
		effects:     make(map[string][]Effect),
	}
	for _, name := range names {
		network.start(name, names)
	}
	return network
}

// start starts a new process with the given name.
func (n *testNetwork) start(name string, names []string) {
	n.cores[name] = NewCore(CoreSettings{
		Host:           name,
		FixedShare:     1,
		Seed:           uint64(len(name)) + uint64(name[0]),
		LogRetention:   testRetention,
		IsolationLimit: testIsolationLimit,
	})
	n.ready[name] = false
	var hosts []plat.Host
	for _, host := range names {
		hosts = append(hosts, plat.Host{Name: host, Role: plat.RoleEntry, State: plat.HostLive})
	}
	n.apply(name, HostsRead{Hosts: hosts})
	for _, host := range names {
		if host != name {
			n.apply(name, SessionOpened{Host: host, Hello: &wirepb.Hello{Incarnation: 1}})
		}
	}
}

// apply applies an event to a reducer and delivers its messages to the others.
func (n *testNetwork) apply(name string, e Event) {
	for _, effect := range n.cores[name].Apply(n.now, e) {
		n.effects[name] = append(n.effects[name], effect)
		switch e := effect.(type) {
		case SetReady:
			n.ready[name] = e.Ready
		case AppendRecord:
			if !n.logDown[name] {
				n.append(e.Data)
			}
		case SendMessage:
			if n.cores[e.Host] != nil && !n.partitioned[name] && !n.partitioned[e.Host] {
				n.apply(e.Host, MessageReceived{Host: name, Message: e.Message})
			}
		}
	}
}

func (n *testNetwork) append(data []byte) uint64 {
	offset := n.first + uint64(len(n.records))
	n.records = append(n.records, plat.Record{Offset: offset, Time: n.now, Data: data})
	return offset
}

func (n *testNetwork) publish(base uint64, text, patch string) uint64 {
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

// run advances the time in ticks. Reducers that reach the log read it at each
// tick.
func (n *testNetwork) run(d time.Duration) { n.runSteps(d, 100*time.Millisecond) }

func (n *testNetwork) runSteps(d, step time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(step) {
		for len(n.records) > 0 && n.now.Sub(n.records[0].Time) > testRetention {
			n.records = n.records[1:]
			n.first++
		}
		for _, name := range slices.Sorted(maps.Keys(n.cores)) {
			if !n.logDown[name] {
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

func (n *testNetwork) wantAccepted(name string, want uint64) {
	n.t.Helper()
	if got := n.cores[name].fold.Accepted; got != want {
		n.t.Errorf("%s has configuration %d, want %d", name, got, want)
	}
}

func (n *testNetwork) wantReady(name string, want bool) {
	n.t.Helper()
	if n.ready[name] != want {
		n.t.Errorf("%s ready = %v, want %v", name, n.ready[name], want)
	}
}
