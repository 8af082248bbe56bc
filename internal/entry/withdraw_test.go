package entry

import (
	"errors"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// keyedCore returns a ready reducer with one agent for models and two for plain
// calls.
func keyedCore(t *testing.T) (*testNetwork, *Core) {
	network := newNetwork(t, "e")
	network.publish(0, keyedConfig(), "")
	network.run(200 * time.Millisecond)
	core := network.cores["e"]
	network.apply("e", HostsRead{Hosts: []plat.Host{
		{Name: "model", Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive},
		{Name: "plain", Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive},
		{Name: "other", Role: plat.RoleAgent, Service: "pedidos", State: plat.HostLive},
	}})
	for _, name := range []string{"model", "plain", "other"} {
		network.apply("e", SessionOpened{Host: name, Hello: &wirepb.Hello{Incarnation: 1}})
		network.apply("e", MessageReceived{Host: name, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: &wirepb.LoadReport{
			Sequence: 1,
			Slots:    1,
			Models:   []*wirepb.HeldModel{{Model: "m", Version: "v"}},
		}}}})
	}
	return network, core
}

func (n *testNetwork) arrive(c *Core, id, route string) {
	call := Call{
		ID:            id,
		Authenticated: true,
		KeyDigest:     config.DigestKey([]byte("secret")),
		Customer:      "booth",
		Route:         c.fold.Config.Routes[route],
		Tokens:        1,
		Deadline:      n.now.Add(time.Hour),
	}
	if route == "chat" {
		call.Model, call.Version = "m", "v"
	}
	n.apply("e", CallArrived{Call: call})
}

// refusal returns the error that a call failed with, nil if there is none.
func (n *testNetwork) refusal(id string) error {
	for _, effect := range n.effects["e"] {
		if r, ok := effect.(FailCall); ok && r.ID == id {
			return r.Err
		}
	}
	return nil
}

func (n *testNetwork) canceled(id string) bool {
	for _, effect := range n.effects["e"] {
		if r, ok := effect.(CancelAttempt); ok && r.ID == id {
			return true
		}
	}
	return false
}

func (n *testNetwork) dropped(id string) bool {
	for _, effect := range n.effects["e"] {
		if r, ok := effect.(SendMessage); ok && r.Message.GetFold().GetDrop().GetId() == id {
			return true
		}
	}
	return false
}

func TestRevocationOfRunningCalls(t *testing.T) {
	for name, patch := range map[string]string{
		"key":      `{"customers":{"booth":{"keys":{"a":null}}}}`,
		"customer": `{"customers":{"booth":null}}`,
		"services": `{"customers":{"booth":{"services":[]}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			network, core := keyedCore(t)
			for _, route := range []string{"chat", "look", "charge"} {
				network.arrive(core, route, route)
			}
			network.publish(1, "", patch)
			network.run(2 * time.Second)
			for route, canceled := range map[string]bool{"chat": true, "look": true, "charge": false} {
				if !network.dropped(route) || network.canceled(route) != canceled {
					t.Errorf("%s: drop sent %v, canceled %v, want true, %v", route, network.dropped(route), network.canceled(route), canceled)
				}
			}
			// The agent reports that the call to charge was still queued.
			network.apply("e", AttemptEnded{ID: "charge", Attempt: 1, Outcome: Outcome{
				Verdict: fault.NotRun,
				Err:     fault.New(fault.NotRun, fault.CodeWithdrawn, "dropped"),
			}})
			if err := network.refusal("charge"); err == nil || fault.VerdictOf(err) != fault.NotRun {
				t.Errorf("dropped charge: %v, want not run", err)
			}
			network.arrive(core, "late", "charge")
			if err := network.refusal("late"); err == nil || fault.VerdictOf(err) != fault.NotRun {
				t.Errorf("new charge: %v, want not run", err)
			}
		})
	}
}

func TestRouteMadeNonIdempotentIsNotRetried(t *testing.T) {
	network, core := keyedCore(t)
	network.arrive(core, "look", "look")
	network.publish(1, "", `{"routes":{"look":{"idempotent":false}}}`)
	network.run(time.Second)
	network.apply("e", AttemptEnded{ID: "look", Attempt: 1, Outcome: Outcome{Err: errors.New("connection broken")}})
	if err := network.refusal("look"); err == nil || fault.VerdictOf(err) != fault.MayHaveRun {
		t.Errorf("refusal %v, want may have run", err)
	}
}
