package entry

import (
	"encoding/json"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const coreConfig = `{"format":1,"services":{"pedidos":{"kind":"plain"}},
"customers":{},
"routes":{
 "look":{"path":"/look","service":"pedidos","access":"open","priority":"interactive","idempotent":true},
 "charge":{"path":"/charge","service":"pedidos","access":"open","priority":"interactive"}}}`

// readyCore returns a reducer with a configuration and connected agents.
func readyCore(t *testing.T, now time.Time, agents ...string) *Core {
	t.Helper()
	core := NewCore(CoreSettings{
		Host:       "entry",
		FixedShare: 1,
		Seed:       1,
	})
	data, err := json.Marshal(config.Record{Publish: &config.Publish{Text: json.RawMessage(coreConfig)}})
	if err != nil {
		t.Fatal(err)
	}
	core.Apply(now, LogRead{
		Stream: plat.StreamConfig,
		Page: plat.Page{
			First:   1,
			Next:    2,
			Records: []plat.Record{{Offset: 1, Data: data}},
		},
	})
	var hosts []plat.Host
	for _, name := range agents {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive})
	}
	core.Apply(now, HostsRead{Hosts: hosts})
	for _, name := range agents {
		core.Apply(now, SessionOpened{Host: name, Hello: &wirepb.Hello{Incarnation: 1}})
		core.Apply(now, MessageReceived{Host: name, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
			Load: &wirepb.LoadReport{Sequence: 1, Slots: 1},
		}}})
	}
	return core
}

func arriveCall(t *testing.T, core *Core, now time.Time, route string) []Effect {
	t.Helper()
	return core.Apply(now, CallArrived{Call: Call{
		ID:       "1",
		Route:    core.fold.Config.Routes[route],
		Deadline: now.Add(time.Minute),
	}})
}

func failAttempt(core *Core, now time.Time, attempt int, verdict fault.Verdict) []Effect {
	return core.Apply(now, AttemptEnded{
		ID:      "1",
		Attempt: attempt,
		Outcome: Outcome{Verdict: verdict, Err: fault.New(verdict, fault.CodeEndpoint, "failed")},
	})
}

// failureVerdict returns the verdict of the error in the effects.
func failureVerdict(t *testing.T, effects []Effect) fault.Verdict {
	t.Helper()
	for _, effect := range effects {
		if r, ok := effect.(FailCall); ok {
			return fault.VerdictOf(r.Err)
		}
	}
	t.Fatalf("no FailCall in %v", effects)
	return 0
}

func TestRefusalAfterUncertainAttempt(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	arriveCall(t, core, now, "look")
	effects := failAttempt(core, now, 1, fault.MayHaveRun)
	if _, ok := effects[0].(SendAttempt); !ok {
		t.Fatalf("effects = %v, want a second attempt", effects)
	}
	if got := failureVerdict(t, failAttempt(core, now, 2, fault.NotRun)); got != fault.MayHaveRun {
		t.Errorf("verdict = %v, want %v", got, fault.MayHaveRun)
	}
}

func TestNonIdempotentCallIsNotRetriedWhenUncertain(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	arriveCall(t, core, now, "charge")
	if got := failureVerdict(t, failAttempt(core, now, 1, fault.MayHaveRun)); got != fault.MayHaveRun {
		t.Errorf("verdict = %v, want %v", got, fault.MayHaveRun)
	}
}

func TestNotRunCallIsRetriedOnOtherAgent(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a", "b")
	first := arriveCall(t, core, now, "charge")[0].(SendAttempt)
	second := failAttempt(core, now, 1, fault.NotRun)[0].(SendAttempt)
	if first.Host == second.Host {
		t.Errorf("both attempts were sent to %s", first.Host)
	}
	if got := failureVerdict(t, failAttempt(core, now, 2, fault.NotRun)); got != fault.NotRun {
		t.Errorf("verdict = %v, want %v", got, fault.NotRun)
	}
}

func TestShutdownWaitsForCalls(t *testing.T) {
	now := time.Unix(0, 0)
	core := readyCore(t, now, "a")
	arriveCall(t, core, now, "look")
	for _, effect := range core.Apply(now, ShutdownRequested{}) {
		if _, ok := effect.(ShutdownFinished); ok {
			t.Fatal("shutdown finished while a call was running")
		}
	}
	effects := core.Apply(now, AttemptEnded{ID: "1", Attempt: 1, Outcome: Outcome{Verdict: fault.Ran}})
	if len(effects) != 1 || effects[0] != (ShutdownFinished{}) {
		t.Errorf("effects = %v, want ShutdownFinished", effects)
	}
	if err := core.checkAdmission(now, Call{}); fault.CodeOf(err) != fault.CodeLeaving {
		t.Errorf("checkAdmission = %v, want %s", err, fault.CodeLeaving)
	}
}
