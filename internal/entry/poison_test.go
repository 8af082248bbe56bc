package entry

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// poisonNetwork is a network of entries that all have sessions to the same agents.
type poisonNetwork struct {
	*testNetwork
	entries []string
	calls   int
}

var (
	systemMessage = poison.NewPart("system")
	badMessage    = poison.NewPart("bad")
)

func newPoisonNetwork(t *testing.T) *poisonNetwork {
	n := &poisonNetwork{entries: []string{"e1", "e2", "e3"}}
	n.testNetwork = newNetwork(t, n.entries...)
	n.publish(0, keyedConfig(), "")
	n.run(time.Second)
	for _, name := range n.entries {
		n.connectAgents(name)
	}
	return n
}

// connectAgents opens sessions between an entry and four agents that hold a model.
func (n *poisonNetwork) connectAgents(name string) {
	var hosts []plat.Host
	for _, entry := range n.entries {
		hosts = append(hosts, plat.Host{Name: entry, Role: plat.RoleEntry, State: plat.HostLive})
	}
	for i := range 4 {
		hosts = append(hosts, plat.Host{Name: fmt.Sprint("a", i), Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive})
	}
	n.apply(name, HostsRead{Hosts: hosts})
	for i := range 4 {
		agent := fmt.Sprint("a", i)
		n.apply(name, SessionOpened{Host: agent, Hello: &wirepb.Hello{Incarnation: 1}})
	}
}

// reportLoads delivers the load reports of the agents to an entry.
func (n *poisonNetwork) reportLoads(name string) {
	for i := range 4 {
		n.apply(name, MessageReceived{Host: fmt.Sprint("a", i), Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
			Load: &wirepb.LoadReport{Sequence: uint64(n.calls), Slots: 8, Models: []*wirepb.HeldModel{{Model: "m", Version: "v"}}},
		}}})
	}
}

// try sends a call to an entry and returns the attempt, or the error that refuses it.
func (n *poisonNetwork) try(entry string, parts ...poison.Part) (SendAttempt, error) {
	n.calls++
	n.reportLoads(entry)
	n.effects[entry] = nil
	n.apply(entry, CallArrived{Call: Call{
		ID: fmt.Sprint("call-", n.calls), Authenticated: true, KeyDigest: config.DigestKey([]byte("secret")), Customer: "booth",
		Route: n.cores[entry].fold.Config.Routes["chat"], Model: "m", Version: "v", Tokens: 1, Deadline: n.now.Add(time.Minute), PromptParts: parts,
	}})
	for _, effect := range n.effects[entry] {
		switch e := effect.(type) {
		case SendAttempt:
			return e, nil
		case FailCall:
			return SendAttempt{}, e.Err
		}
	}
	n.t.Fatal("the call was neither sent nor refused")
	return SendAttempt{}, nil
}

func (n *poisonNetwork) mustTry(entry string, parts ...poison.Part) SendAttempt {
	n.t.Helper()
	sent, err := n.try(entry, parts...)
	if err != nil {
		n.t.Fatal(entry, "refused a call:", err)
	}
	return sent
}

func (n *poisonNetwork) end(entry string, sent SendAttempt, err error) {
	n.apply(entry, AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Outcome: Outcome{
		Verdict: fault.VerdictOf(err), Err: err, ResponseStarted: true,
	}})
}

// crash ends an attempt as the end of its engine does.
func (n *poisonNetwork) crash(entry string, sent SendAttempt, run uint64) {
	n.end(entry, sent, fault.WithEndedRun(fault.New(fault.MayHaveRun, fault.CodeCut, "cut"), run))
	n.run(time.Second)
}

// Guards the product's own interface against calls with one message in their prompts
// that crash engine after engine: what three entries saw adds up, also for an entry
// that has started since, and sound calls with the same system message are served.
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	n := newPoisonNetwork(t)
	for i := range 3 {
		sound := n.entries[(i+1)%3]
		n.end(sound, n.mustTry(sound, systemMessage), nil)
		n.crash(n.entries[i], n.mustTry(n.entries[i], systemMessage, badMessage), uint64(i+1))
	}
	n.start("e3", n.entries)
	for _, name := range []string{"e1", "e2"} {
		n.apply(name, SessionClosed{Host: "e3", Incarnation: 1})
		n.apply(name, SessionOpened{Host: "e3", Hello: &wirepb.Hello{Incarnation: 2}})
	}
	n.run(time.Second)
	n.connectAgents("e3")
	for _, name := range n.entries[:2] {
		_, err := n.try(name, systemMessage, badMessage)
		if fault.CodeOf(err) != fault.CodeQuarantine || fault.VerdictOf(err) != fault.NotRun || fault.RetryAfterOf(err) < 10*time.Second {
			t.Errorf("%s answered a call with the message with %v", name, err)
		}
		n.end(name, n.mustTry(name, systemMessage), nil)
	}
	// The one that has started anew doesn't know what it saw itself before.
	if _, err := n.try("e3", systemMessage, badMessage); err == nil {
		n.crash("e3", SendAttempt{ID: fmt.Sprint("call-", n.calls), Attempt: 1}, 9)
	}
	if _, err := n.try("e3", systemMessage, badMessage); fault.CodeOf(err) != fault.CodeQuarantine {
		t.Errorf("the entry that has started anew answered with %v", err)
	}
}

// Engines end by themselves, and calls are cut off though their engine goes on: no call
// may be refused for its prompt.
func TestOrdinaryFailuresQuarantineNoCall(t *testing.T) {
	n := newPoisonNetwork(t)
	for round := range uint64(20) {
		for i, name := range n.entries {
			topic := poison.NewPart(fmt.Sprint("topic-", (int(round)+i)%5))
			sent := n.mustTry(name, systemMessage, topic)
			switch {
			case round%4 == 0:
				n.end(name, sent, fault.WithEndedRun(fault.New(fault.MayHaveRun, fault.CodeCut, "cut"), round+1))
			case (int(round)+i)%3 == 0:
				n.end(name, sent, fault.New(fault.MayHaveRun, fault.CodeCut, "cut"))
			default:
				n.end(name, sent, nil)
			}
		}
		n.run(time.Second)
	}
}

// A call on trial keeps others with its message waiting, and its answer clears it.
func TestSuspectMessageIsTriedOnce(t *testing.T) {
	n := newPoisonNetwork(t)
	n.end("e1", n.mustTry("e1", systemMessage), nil)
	for i := range uint64(2) {
		n.crash("e1", n.mustTry("e1", systemMessage, badMessage), i+1)
	}
	trial := n.mustTry("e1", systemMessage, badMessage)
	if _, err := n.try("e1", systemMessage, badMessage); fault.CodeOf(err) != fault.CodeQuarantine || fault.RetryAfterOf(err) <= 0 {
		t.Errorf("a second call with the message is answered with %v", err)
	}
	n.apply("e1", StreamStarted{ID: trial.ID, Attempt: trial.Attempt})
	n.now = n.now.Add(2 * time.Second)
	n.end("e1", trial, nil)
	n.run(time.Second)
	for _, name := range n.entries {
		n.mustTry(name, systemMessage, badMessage)
	}
}
