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

// orderConfig is a configuration with one route, whose calls are not idempotent.
const orderConfig = `{"format":1,"services":{"pedidos":{"kind":"plain"}},"customers":{},
"routes":{"charge":{"path":"/charge","service":"pedidos","access":"open","priority":"interactive"}}}`

// callInTransit is a call request in transit to an agent process, or its outcome
// in transit to the entry.
type callInTransit struct {
	send entry.SendAttempt
	// outcome is nil for a request.
	outcome *entry.Outcome
	broken  bool
}

// agentProcess is one agent process and the calls that run at its endpoint.
type agentProcess struct {
	core        *agent.Core
	incarnation uint64
	// calls holds the unanswered attempts by the agent's call key.
	calls map[uint64]callInTransit
	// running holds the keys of the running calls, oldest first.
	running []uint64
}

// network connects the state machine of an entry with those of agents. It delays,
// loses and reorders the messages between them.
type network struct {
	t               *rapid.T
	now             time.Time
	entry           *entry.Core
	agents          map[string]*agentProcess
	names           []string
	inTransit       []callInTransit
	reports         []entry.Event
	lastKey         uint64
	lastIncarnation uint64
	calls           int
	runCounts       map[string]int
	results         map[string]error
	bodies          map[string]string
}

func newNetwork(t *rapid.T) *network {
	n := &network{
		t:         t,
		now:       time.Unix(1000, 0),
		entry:     entry.NewCore(entry.CoreSettings{Host: "entry", FixedShare: 1, Seed: 1}),
		agents:    make(map[string]*agentProcess),
		names:     []string{"a", "b"},
		runCounts: make(map[string]int),
		results:   make(map[string]error),
		bodies:    make(map[string]string),
	}
	data, err := json.Marshal(config.Record{Publish: &config.Publish{Text: json.RawMessage(orderConfig)}})
	if err != nil {
		t.Fatal(err)
	}
	page := plat.Page{
		First:   1,
		Next:    2,
		Records: []plat.Record{{Offset: 1, Data: data}},
	}
	n.applyToEntry(entry.LogRead{Stream: plat.StreamConfig, Page: page})
	var hosts []plat.Host
	for _, name := range n.names {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive})
	}
	n.applyToEntry(entry.HostsRead{Hosts: hosts})
	for _, name := range n.names {
		n.restart(name)
	}
	return n
}

// restart replaces the agent process of a host. The calls that the old process ran
// continue, but their outcomes are lost.
func (n *network) restart(name string) {
	n.lastIncarnation++
	if previous := n.agents[name]; previous != nil {
		for _, call := range previous.calls {
			n.breakLink(call)
		}
		n.applyToEntry(entry.SessionClosed{Host: name, Incarnation: previous.incarnation})
	}
	n.agents[name] = &agentProcess{
		core: agent.NewCore(agent.CoreSettings{
			Incarnation:  n.lastIncarnation,
			PlainService: true,
			Slots:        1,
			FixedShares:  true,
			Dedup:        dedup.Settings{Self: dedup.Process{Host: name, Incarnation: n.lastIncarnation}},
		}),
		incarnation: n.lastIncarnation,
		calls:       make(map[uint64]callInTransit),
	}
	n.applyToEntry(entry.SessionOpened{Host: name, Hello: &wirepb.Hello{Incarnation: n.lastIncarnation}})
	n.applyToEntry(entry.MessageReceived{
		Host:        name,
		Incarnation: n.lastIncarnation,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
			Load: &wirepb.LoadReport{Sequence: 1, Slots: 1},
		}},
	})
}

// breakLink sends the entry the outcome of a broken link instead of an answer.
func (n *network) breakLink(call callInTransit) {
	if call.broken {
		return
	}
	call.outcome = &entry.Outcome{
		Verdict: fault.MayHaveRun,
		Err:     fault.New(fault.MayHaveRun, fault.CodeLink, "broken"),
	}
	n.inTransit = append(n.inTransit, call)
}

// applyToEntry passes an event to the entry and carries out its effects.
func (n *network) applyToEntry(event entry.Event) {
	for _, effect := range n.entry.Apply(n.now, event) {
		switch e := effect.(type) {
		case entry.SendAttempt:
			n.inTransit = append(n.inTransit, callInTransit{send: e})
		case entry.FailCall:
			n.close(e.ID, e.Err)
		case entry.DeliverOutcome:
			n.bodies[e.ID] = string(e.Report.GetBody())
			n.close(e.ID, nil)
		case entry.SendMessage:
			if query := e.Message.GetClaim().GetQuery(); query != nil {
				n.deliverQuery(e.Host, e.Message)
			}
		}
	}
}

// close records the result that the caller of a call received and checks that it
// is the only one and correct.
func (n *network) close(id string, err error) {
	if _, answered := n.results[id]; answered {
		n.t.Fatalf("call %s was answered twice", id)
	}
	n.results[id] = err
	if err != nil && fault.VerdictOf(err) == fault.NotRun && n.runCounts[id] > 0 {
		n.t.Fatalf("call %s ran but was refused as not run: %v", id, err)
	}
	if err == nil && n.bodies[id] != "answer to "+id {
		n.t.Fatalf("call %s received the answer %q", id, n.bodies[id])
	}
}

// deliverQuery delivers an outcome query to an agent. The report is delivered later
// or lost.
func (n *network) deliverQuery(host string, message *wirepb.Envelope) {
	proc := n.agents[host]
	for _, effect := range proc.core.Apply(n.now, agent.MessageReceived{Session: 1, Message: message}) {
		if send, ok := effect.(agent.SendMessage); ok {
			n.reports = append(n.reports, entry.MessageReceived{
				Host:        host,
				Incarnation: proc.incarnation,
				Message:     send.Message,
			})
		}
	}
}

// deliverCall delivers any one request or outcome in transit, so that they are
// reordered.
func (n *network) deliverCall() {
	if len(n.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.inTransit)-1).Draw(n.t, "transit")
	call := n.inTransit[i]
	n.inTransit = append(n.inTransit[:i], n.inTransit[i+1:]...)
	if call.outcome != nil {
		n.deliverOutcome(call)
		return
	}
	// The link may break while the request is still in transit.
	if !call.broken && rapid.IntRange(0, 3).Draw(n.t, "link") == 0 {
		n.breakLink(call)
		call.broken = true
		n.inTransit = append(n.inTransit, call)
		return
	}
	proc := n.agents[call.send.Host]
	n.lastKey++
	proc.calls[n.lastKey] = call
	n.applyToAgent(proc, agent.CallArrived{Call: agent.Call{
		Key: n.lastKey,
		Request: &wirepb.CallRequest{
			Id:               call.send.ID,
			Attempt:          uint32(call.send.Attempt),
			AgentIncarnation: call.send.Incarnation,
			TimeoutMs:        60_000,
		},
	}})
}

// deliverOutcome delivers an outcome to the entry.
func (n *network) deliverOutcome(call callInTransit) {
	if call.outcome.Err == nil {
		n.bodies[call.send.ID] = "answer to " + call.send.ID
		n.close(call.send.ID, nil)
	}
	n.applyToEntry(entry.AttemptEnded{
		ID:      call.send.ID,
		Attempt: call.send.Attempt,
		Outcome: *call.outcome,
	})
}

// applyToAgent passes an event to an agent and carries out its effects.
func (n *network) applyToAgent(proc *agentProcess, event agent.Event) {
	for _, effect := range proc.core.Apply(n.now, event) {
		switch e := effect.(type) {
		case agent.Start:
			id := proc.calls[e.Key].send.ID
			n.runCounts[id]++
			if n.runCounts[id] > 1 {
				n.t.Fatalf("call %s ran twice", id)
			}
			proc.running = append(proc.running, e.Key)
		case agent.Refuse:
			n.sendOutcome(proc, e.Key, entry.Outcome{Verdict: fault.VerdictOf(e.Err), Err: e.Err})
		case agent.Replay:
			n.sendOutcome(proc, e.Key, entry.Outcome{Verdict: fault.Ran})
		}
	}
}

// sendOutcome puts an agent's outcome in transit, unless the link broke or breaks
// now.
func (n *network) sendOutcome(proc *agentProcess, key uint64, outcome entry.Outcome) {
	call := proc.calls[key]
	delete(proc.calls, key)
	if call.broken {
		return
	}
	if outcome.Err == nil && rapid.IntRange(0, 3).Draw(n.t, "answer") == 0 {
		n.breakLink(call)
		return
	}
	call.outcome = &outcome
	n.inTransit = append(n.inTransit, call)
}

// finishRun ends the oldest call that runs at an agent.
func (n *network) finishRun(proc *agentProcess) {
	if len(proc.running) == 0 {
		return
	}
	key := proc.running[0]
	proc.running = proc.running[1:]
	call := proc.calls[key]
	outcome := dedup.Outcome{
		Status: 200,
		Body:   []byte("answer to " + call.send.ID),
	}
	n.sendOutcome(proc, key, entry.Outcome{Verdict: fault.Ran})
	n.applyToAgent(proc, agent.CallEnded{Key: key, Outcome: outcome})
}

// TestOrderOfMessages runs an entry and two agents with broken links, delayed and
// lost messages and restarts. No call may run twice, no call that ran may be
// refused as not run, and each caller must receive only the answer to its own
// call, and only once.
func TestOrderOfMessages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			proc := n.agents[rapid.SampledFrom(n.names).Draw(t, "agent")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				n.calls++
				n.applyToEntry(entry.CallArrived{Call: entry.Call{
					ID:       fmt.Sprint("call-", n.calls),
					Route:    config.Route{Service: "pedidos"},
					Deadline: n.now.Add(time.Minute),
				}})
			case 2, 3, 4, 5:
				n.deliverCall()
			case 6:
				n.finishRun(proc)
			case 7:
				n.deliverReport()
			case 8:
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				n.applyToEntry(entry.Tick{})
				n.applyToAgent(proc, agent.Tick{})
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					n.restart(rapid.SampledFrom(n.names).Draw(t, "host"))
				}
			}
		}
	})
}

// deliverReport delivers one outcome report to the entry, or loses it.
func (n *network) deliverReport() {
	if len(n.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.reports)-1).Draw(n.t, "report")
	event := n.reports[i]
	n.reports = append(n.reports[:i], n.reports[i+1:]...)
	if rapid.IntRange(0, 3).Draw(n.t, "lost") > 0 {
		n.applyToEntry(event)
	}
}
