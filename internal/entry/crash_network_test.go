package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	crashTestStep = 100 * time.Millisecond
	// separateRunTime is the time after which a crashing call ends its endpoint, so that
	// the ends of one call's attempts are more than 300 ms apart.
	separateRunTime = 400 * time.Millisecond
	// sharingTime is what entries have to tell each other of the third end.
	sharingTime = 3 * time.Second
	// maxSentAfterThirdEnd is how often a call may be sent later than that.
	maxSentAfterThirdEnd = 3
)

// crashCall is a request that callers repeat, and what it does to its endpoints.
type crashCall struct {
	text    string
	crashes bool
	runTime time.Duration
}

// crashAttempt is an attempt that is under way at an endpoint.
type crashAttempt struct {
	entry  string
	sent   SendAttempt
	call   crashCall
	endsAt time.Time
}

// crashNetwork is a network of entries and of agents whose endpoints crash by calls. An
// endpoint runs again at once.
type crashNetwork struct {
	*testNetwork
	entries []string
	agents  map[string]uint64
	running []crashAttempt
	calls   map[string]crashCall
	// read counts the effects of each entry that were carried out.
	read map[string]int
	// sentAt holds the times at which crashing calls reached endpoints, endedAt those at
	// which endpoints ended.
	sentAt   []time.Time
	endedAt  []time.Time
	answered int
	// refused holds the errors of sound calls, refusedCrashing those of crashing ones.
	refused         []error
	refusedCrashing []error
}

func newCrashNetwork(t *testing.T, entryCount int) *crashNetwork {
	t.Helper()
	n := &crashNetwork{
		agents: make(map[string]uint64),
		calls:  make(map[string]crashCall),
		read:   make(map[string]int),
	}
	for i := range entryCount {
		n.entries = append(n.entries, fmt.Sprint("e", i+1))
	}
	n.testNetwork = newNetwork(t, n.entries...)
	n.publish(0, keyedConfig(), "")
	n.run(time.Second)
	var hosts []plat.Host
	for _, name := range n.entries {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleEntry, State: plat.HostLive})
	}
	for i := range 6 {
		plain, engine := fmt.Sprint("plain-", i), fmt.Sprint("engine-", i)
		n.agents[plain], n.agents[engine] = 0, 0
		hosts = append(hosts,
			plat.Host{Name: plain, Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive},
			plat.Host{Name: engine, Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive})
	}
	for _, name := range n.entries {
		n.apply(name, HostsRead{Hosts: hosts})
		for agent := range n.agents {
			n.apply(name, SessionOpened{Host: agent, Hello: &wirepb.Hello{Incarnation: 1}})
		}
	}
	n.step()
	return n
}

// request returns the text of a request with the API key of the test's customer.
func request(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: secret\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

// arrive sends a request to an entry.
func (n *crashNetwork) arrive(entry string, call crashCall) {
	n.t.Helper()
	resolved, err, ok := resolveBytes(n.cores[entry].index, call.text)
	if err != nil || !ok {
		n.t.Fatal("the request can't be resolved:", err)
	}
	id := fmt.Sprint("call-", len(n.calls))
	n.calls[id] = call
	resolved.call.ID, resolved.call.Deadline = id, n.now.Add(time.Minute)
	n.apply(entry, CallArrived{Call: resolved.call})
	n.perform(entry)
}

// perform begins the attempts that an entry has asked for.
func (n *crashNetwork) perform(entry string) {
	for ; n.read[entry] < len(n.effects[entry]); n.read[entry]++ {
		switch e := n.effects[entry][n.read[entry]].(type) {
		case SendAttempt:
			call := n.calls[e.ID]
			if call.crashes {
				n.sentAt = append(n.sentAt, n.now)
			}
			n.running = append(n.running, crashAttempt{
				entry:  entry,
				sent:   e,
				call:   call,
				endsAt: n.now.Add(call.runTime),
			})
		case FailCall:
			if n.calls[e.ID].crashes {
				n.refusedCrashing = append(n.refusedCrashing, e.Err)
			} else {
				n.refused = append(n.refused, e.Err)
			}
		}
	}
}

// step lets a short time pass, with the answers and crashes that are due in it.
func (n *crashNetwork) step() {
	end := n.now.Add(crashTestStep)
	for {
		due := -1
		for i, a := range n.running {
			if !a.endsAt.After(end) && (due < 0 || a.endsAt.Before(n.running[due].endsAt)) {
				due = i
			}
		}
		if due < 0 {
			break
		}
		attempt := n.running[due]
		n.now = attempt.endsAt
		if attempt.call.crashes {
			n.endEndpoint(attempt.sent.Host)
			continue
		}
		n.running = slices.Delete(n.running, due, due+1)
		n.answered++
		n.endAttempt(attempt, nil)
	}
	n.now = end
	for _, name := range n.entries {
		n.apply(name, Tick{})
		for agent := range n.agents {
			n.apply(name, MessageReceived{Host: agent, Incarnation: 1, Message: n.loadReport()})
		}
		n.perform(name)
	}
}

func (n *crashNetwork) loadReport() *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: &wirepb.LoadReport{
		Sequence: uint64(n.now.UnixMilli()),
		Slots:    8,
		Models:   []*wirepb.HeldModel{{Model: "m", Version: "v"}},
	}}}
}

// endEndpoint ends the run of an endpoint, and all that it was running.
func (n *crashNetwork) endEndpoint(host string) {
	n.agents[host]++
	n.endedAt = append(n.endedAt, n.now)
	var ended []crashAttempt
	n.running = slices.DeleteFunc(n.running, func(a crashAttempt) bool {
		if a.sent.Host != host {
			return false
		}
		ended = append(ended, a)
		return true
	})
	cut := fault.WithEndedRun(fault.New(fault.MayHaveRun, fault.CodeEndpoint, "cut"), n.agents[host])
	for _, a := range ended {
		n.endAttempt(a, cut)
	}
}

func (n *crashNetwork) endAttempt(a crashAttempt, err error) {
	outcome := Outcome{Verdict: fault.Ran}
	if err != nil {
		outcome = Outcome{
			Verdict: fault.VerdictOf(err),
			Err:     err,
		}
	}
	n.apply(a.entry, AttemptEnded{ID: a.sent.ID, Attempt: a.sent.Attempt, Outcome: outcome})
	n.perform(a.entry)
}

// sentAfterThirdEnd returns how often crashing calls were sent after entries have had
// the time to tell each other of the third end.
func (n *crashNetwork) sentAfterThirdEnd() int {
	if len(n.endedAt) < 3 {
		return 0
	}
	count := 0
	for _, at := range n.sentAt {
		if at.After(n.endedAt[2].Add(sharingTime)) {
			count++
		}
	}
	return count
}

// repeat plays callers that repeat a crashing call every half second, at one entry after
// the other, beside a sound call of each entry that is repeated as often.
func (n *crashNetwork) repeat(d time.Duration, crashing func(round int) crashCall, sound crashCall) {
	for round := range int(d / (500 * time.Millisecond)) {
		n.arrive(n.entries[round%len(n.entries)], crashing(round))
		n.arrive(n.entries[(round+1)%len(n.entries)], sound)
		for range 5 {
			n.step()
		}
	}
}

// checkQuarantined checks that the crashing call was kept from the endpoints and that
// the sound one wasn't.
func (n *crashNetwork) checkQuarantined(t *testing.T) {
	t.Helper()
	t.Logf("%d endpoints ended; a crashing call was sent %d times, %d times after the third end", len(n.endedAt), len(n.sentAt), n.sentAfterThirdEnd())
	if got := n.sentAfterThirdEnd(); got > maxSentAfterThirdEnd {
		t.Errorf("the call was sent %d times after the third end, want at most %d", got, maxSentAfterThirdEnd)
	}
	for _, err := range n.refused {
		if fault.CodeOf(err) == fault.CodeQuarantine {
			t.Error("a sound call is refused:", err)
			break
		}
	}
	if n.answered == 0 {
		t.Error("no sound call was answered")
	}
}
