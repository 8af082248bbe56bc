package e2e

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/entry"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// orderText has a route whose calls may not be repeated and one whose may.
const orderText = `{"format":1,"services":{"pedidos":{"kind":"plain"}},"customers":{},
"routes":{"charge":{"path":"/charge","service":"pedidos","access":"open","priority":"interactive"}}}`

// transit is one call request on its way to an agent process, or its answer on
// the way back.
type transit struct {
	send entry.SendAttempt
	// outcome is set on the way back.
	outcome *entry.Outcome
	broken  bool
}

// node is one agent process and what runs at its endpoint.
type node struct {
	core        *agent.Core
	incarnation uint64
	// calls maps the agent's keys to the attempts, open ones only.
	calls  map[uint64]transit
	starts []uint64
}

// network joins an entry's reducer with agents' reducers. It delays, loses and
// reorders what passes between them.
type network struct {
	t       *rapid.T
	now     time.Time
	entry   *entry.Core
	nodes   map[string]*node
	names   []string
	away    []transit
	reports []entry.Event
	key     uint64
	next    uint64
	calls   int
	runs    map[string]int
	closed  map[string]error
	got     map[string]string
}

func newNetwork(t *rapid.T) *network {
	n := &network{
		t:      t,
		now:    time.Unix(1000, 0),
		entry:  entry.NewCore(entry.CoreSettings{Host: "entry", FixedShare: 1, Seed: 1}),
		nodes:  make(map[string]*node),
		names:  []string{"a", "b"},
		runs:   make(map[string]int),
		closed: make(map[string]error),
		got:    make(map[string]string),
	}
	data, err := json.Marshal(config.Record{Publish: &config.Publish{Text: json.RawMessage(orderText)}})
	if err != nil {
		t.Fatal(err)
	}
	page := plat.Page{
		First:   1,
		Next:    2,
		Records: []plat.Record{{Offset: 1, Data: data}},
	}
	n.apply(entry.LogRead{Stream: plat.StreamConfig, Page: page})
	var hosts []plat.Host
	for _, name := range n.names {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive})
	}
	n.apply(entry.HostsRead{Hosts: hosts})
	for _, name := range n.names {
		n.restart(name)
	}
	return n
}

// restart replaces the agent process of a host; what it ran goes on unseen.
func (n *network) restart(name string) {
	n.next++
	if old := n.nodes[name]; old != nil {
		for _, call := range old.calls {
			n.breakOff(call)
		}
		n.apply(entry.SessionClosed{Host: name, Incarnation: old.incarnation})
	}
	n.nodes[name] = &node{
		core: agent.NewCore(agent.CoreSettings{
			Incarnation:  n.next,
			PlainService: true,
			Slots:        1,
			StaticRates:  true,
			Dedup:        dedup.Settings{Self: dedup.Process{Host: name, Incarnation: n.next}},
		}),
		incarnation: n.next,
		calls:       make(map[uint64]transit),
	}
	n.apply(entry.SessionOpened{Host: name, Hello: &wirepb.Hello{Incarnation: n.next}})
	n.apply(entry.MessageReceived{
		Host:        name,
		Incarnation: n.next,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
			Load: &wirepb.LoadReport{Sequence: 1, Slots: 1},
		}},
	})
}

// breakOff lets the entry see a broken link instead of an answer.
func (n *network) breakOff(call transit) {
	if call.broken {
		return
	}
	call.outcome = &entry.Outcome{
		Verdict: fault.MayHaveRun,
		Err:     fault.New(fault.MayHaveRun, fault.CodeLink, "broken"),
	}
	n.away = append(n.away, call)
}

// apply passes an event to the entry and carries its effects out.
func (n *network) apply(event entry.Event) {
	for _, effect := range n.entry.Apply(n.now, event) {
		switch e := effect.(type) {
		case entry.SendAttempt:
			n.away = append(n.away, transit{send: e})
		case entry.FailCall:
			n.close(e.ID, e.Err)
		case entry.DeliverOutcome:
			n.got[e.ID] = string(e.Report.GetBody())
			n.close(e.ID, nil)
		case entry.SendMessage:
			if query := e.Message.GetClaim().GetQuery(); query != nil {
				n.query(e.Host, e.Message)
			}
		}
	}
}

// close notes the answer that a caller got and checks that it is true.
func (n *network) close(id string, err error) {
	if _, twice := n.closed[id]; twice {
		n.t.Fatalf("call %s was answered twice", id)
	}
	n.closed[id] = err
	if err != nil && fault.VerdictOf(err) == fault.NotRun && n.runs[id] > 0 {
		n.t.Fatalf("call %s ran and was refused as not run: %v", id, err)
	}
	if err == nil && n.got[id] != "answer to "+id {
		n.t.Fatalf("call %s got %q", id, n.got[id])
	}
}

// query brings a question to an agent; the report comes back late, or never.
func (n *network) query(host string, message *wirepb.Envelope) {
	a := n.nodes[host]
	for _, effect := range a.core.Apply(n.now, agent.MessageReceived{Session: 1, Message: message}) {
		if tell, ok := effect.(agent.SendMessage); ok {
			n.reports = append(n.reports, entry.MessageReceived{
				Host:        host,
				Incarnation: a.incarnation,
				Message:     tell.Message,
			})
		}
	}
}

// deliver moves one transit on; whichever is chosen, so that they overtake.
func (n *network) deliver() {
	if len(n.away) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.away)-1).Draw(n.t, "transit")
	call := n.away[i]
	n.away = append(n.away[:i], n.away[i+1:]...)
	if call.outcome != nil {
		n.answered(call)
		return
	}
	// The link may break while the request is still on its way.
	if !call.broken && rapid.IntRange(0, 3).Draw(n.t, "link") == 0 {
		n.breakOff(call)
		call.broken = true
		n.away = append(n.away, call)
		return
	}
	a := n.nodes[call.send.Host]
	n.key++
	a.calls[n.key] = call
	n.act(a, agent.CallArrived{Call: agent.Call{
		Key: n.key,
		Request: &wirepb.CallRequest{
			Id:               call.send.ID,
			Attempt:          uint32(call.send.Attempt),
			AgentIncarnation: call.send.Incarnation,
			TimeoutMs:        60_000,
		},
	}})
}

// answered brings an outcome to the entry.
func (n *network) answered(call transit) {
	if call.outcome.Err == nil {
		n.got[call.send.ID] = "answer to " + call.send.ID
		n.close(call.send.ID, nil)
	}
	n.apply(entry.AttemptEnded{
		ID:      call.send.ID,
		Attempt: call.send.Attempt,
		Outcome: *call.outcome,
	})
}

// act passes an event to an agent and carries its effects out.
func (n *network) act(a *node, event agent.Event) {
	for _, effect := range a.core.Apply(n.now, event) {
		switch e := effect.(type) {
		case agent.Start:
			id := a.calls[e.Key].send.ID
			n.runs[id]++
			if n.runs[id] > 1 {
				n.t.Fatalf("call %s ran twice", id)
			}
			a.starts = append(a.starts, e.Key)
		case agent.Refuse:
			n.reply(a, e.Key, entry.Outcome{Verdict: fault.VerdictOf(e.Err), Err: e.Err})
		case agent.Replay:
			n.reply(a, e.Key, entry.Outcome{Verdict: fault.Ran})
		}
	}
}

// reply sends an agent's answer on its way, unless the link has broken.
func (n *network) reply(a *node, key uint64, o entry.Outcome) {
	call := a.calls[key]
	delete(a.calls, key)
	if call.broken {
		return
	}
	if o.Err == nil && rapid.IntRange(0, 3).Draw(n.t, "answer") == 0 {
		n.breakOff(call)
		return
	}
	call.outcome = &o
	n.away = append(n.away, call)
}

// finish ends the oldest run at an agent.
func (n *network) finish(a *node) {
	if len(a.starts) == 0 {
		return
	}
	key := a.starts[0]
	a.starts = a.starts[1:]
	call := a.calls[key]
	o := dedup.Outcome{
		Status: 200,
		Body:   []byte("answer to " + call.send.ID),
	}
	n.reply(a, key, entry.Outcome{Verdict: fault.Ran})
	n.act(a, agent.CallEnded{Key: key, Outcome: o})
}

// TestOrderOfMessages drives an entry and two agents through broken links, late
// and lost messages and restarts. No charge runs twice, no charge that ran is
// refused as not run, and each caller gets one answer, its own.
func TestOrderOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			a := n.nodes[rapid.SampledFrom(n.names).Draw(t, "agent")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				n.calls++
				n.apply(entry.CallArrived{Call: entry.Call{
					ID:       fmt.Sprint("call-", n.calls),
					Route:    config.Route{Service: "pedidos"},
					Deadline: n.now.Add(time.Minute),
				}})
			case 2, 3, 4, 5:
				n.deliver()
			case 6:
				n.finish(a)
			case 7:
				n.report()
			case 8:
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				n.apply(entry.Tick{})
				n.act(a, agent.Tick{})
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					n.restart(rapid.SampledFrom(n.names).Draw(t, "host"))
				}
			}
		}
	})
}

// report brings one report to the entry, or loses it.
func (n *network) report() {
	if len(n.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.reports)-1).Draw(n.t, "report")
	event := n.reports[i]
	n.reports = append(n.reports[:i], n.reports[i+1:]...)
	if rapid.IntRange(0, 3).Draw(n.t, "lost") > 0 {
		n.apply(event)
	}
}
