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
