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

const coreText = `{"format":1,"services":{"pedidos":{"kind":"plain"}},
"customers":{},
"routes":{
 "look":{"path":"/look","service":"pedidos","access":"open","priority":"interactive","idempotent":true},
 "charge":{"path":"/charge","service":"pedidos","access":"open","priority":"interactive"}}}`

// readyCore returns a reducer with a configuration and linked agents.
func readyCore(t *testing.T, now time.Time, agents ...string) *Core {
	t.Helper()
	c := NewCore(CoreSettings{
		Host:  "entry",
		Share: 1,
		Seed:  1,
	})
	data, err := json.Marshal(config.Record{Publish: &config.Publish{Text: json.RawMessage(coreText)}})
	if err != nil {
		t.Fatal(err)
	}
	c.Apply(now, LogRead{
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
	c.Apply(now, HostsRead{Hosts: hosts})
	for _, name := range agents {
		c.Apply(now, LinkUp{Host: name, Hello: &wirepb.Hello{Incarnation: 1}})
		c.Apply(now, Received{Host: name, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
			Load: &wirepb.LoadReport{Sequence: 1, Slots: 1},
		}}})
	}
	return c
}

func arrive(t *testing.T, c *Core, now time.Time, route string) []Effect {
	t.Helper()
	return c.Apply(now, Arrived{Call: Call{
		ID:       "1",
		Route:    c.fold.Text.Routes[route],
		Deadline: now.Add(time.Minute),
	}})
}

func fail(c *Core, now time.Time, attempt int, v fault.Verdict) []Effect {
	return c.Apply(now, Answered{
		ID:      "1",
		Attempt: attempt,
		Outcome: Outcome{Verdict: v, Err: fault.New(v, fault.CodeEndpoint, "failed")},
	})
}

// verdict returns the verdict that effects answer a caller with.
func verdict(t *testing.T, effects []Effect) fault.Verdict {
	t.Helper()
	for _, effect := range effects {
		if r, ok := effect.(Refuse); ok {
			return fault.VerdictOf(r.Err)
		}
	}
	t.Fatalf("no refusal in %v", effects)
	return 0
}

func TestRefusalAfterUnsureAttemptIsNotNotRun(t *testing.T) {
	now := time.Unix(0, 0)
	c := readyCore(t, now, "a", "b")
	arrive(t, c, now, "look")
	effects := fail(c, now, 1, fault.MayHaveRun)
	if _, ok := effects[0].(Send); !ok {
		t.Fatalf("effects = %v, want a second attempt", effects)
	}
	if v := verdict(t, fail(c, now, 2, fault.NotRun)); v != fault.MayHaveRun {
		t.Errorf("verdict = %v, want %v", v, fault.MayHaveRun)
	}
}

func TestUnsafeCallIsNotRetriedWhenUnsure(t *testing.T) {
	now := time.Unix(0, 0)
	c := readyCore(t, now, "a", "b")
	arrive(t, c, now, "charge")
	if v := verdict(t, fail(c, now, 1, fault.MayHaveRun)); v != fault.MayHaveRun {
		t.Errorf("verdict = %v, want %v", v, fault.MayHaveRun)
	}
}

func TestNotRunIsRetriedElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	c := readyCore(t, now, "a", "b")
	first := arrive(t, c, now, "charge")[0].(Send)
	second := fail(c, now, 1, fault.NotRun)[0].(Send)
	if first.Host == second.Host {
		t.Errorf("both attempts went to %s", first.Host)
	}
	if v := verdict(t, fail(c, now, 2, fault.NotRun)); v != fault.NotRun {
		t.Errorf("verdict = %v, want %v", v, fault.NotRun)
	}
}

func TestStopWaitsForCalls(t *testing.T) {
	now := time.Unix(0, 0)
	c := readyCore(t, now, "a")
	arrive(t, c, now, "look")
	for _, effect := range c.Apply(now, Stopping{}) {
		if _, ok := effect.(Finished); ok {
			t.Fatal("finished with a call running")
		}
	}
	effects := c.Apply(now, Answered{ID: "1", Attempt: 1, Outcome: Outcome{Verdict: fault.Ran}})
	if len(effects) != 1 || effects[0] != (Finished{}) {
		t.Errorf("effects = %v, want Finished", effects)
	}
	if err := c.admit(now, Call{}); fault.CodeOf(err) != fault.CodeLeaving {
		t.Errorf("admit = %v, want %s", err, fault.CodeLeaving)
	}
}
