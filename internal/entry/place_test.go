package entry

import (
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

// modelCore returns a reducer with one listed model and two linked agents, of
// which the first holds the model.
func modelCore(t *testing.T, now time.Time) *Core {
	t.Helper()
	c := NewCore(CoreSettings{Host: "entry", Share: 1, Seed: 1})
	text, err := config.Parse([]byte(`{"format":1,"services":{"lengua":{"kind":"model"}},"customers":{},"routes":{},
"models":{"m":{"service":"lengua","version":"v1","versions":{"v1":{"memoryBytes":10}}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	c.index, c.fresh, c.ready = config.NewIndex(text), true, true
	c.fold.Accepted = 1
	var hosts []plat.Host
	for _, name := range []string{"holder", "spare"} {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive})
	}
	c.Apply(now, HostsRead{Hosts: hosts})
	for _, host := range hosts {
		c.Apply(now, LinkUp{Host: host.Name, Hello: &wirepb.Hello{Incarnation: 1}})
		state := &wirepb.PlaceState{Memory: 10}
		if host.Name == "holder" {
			weights := &wirepb.Weights{Model: "m", Version: "v1"}
			state.Held = []*wirepb.HeldWeights{{Weights: weights, Bytes: 10, Ready: true, Staying: true}}
		} else {
			state.Free = 10
		}
		c.Apply(now, Received{Host: host.Name, Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{
			Place: &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_State{State: state}},
		}}})
	}
	return c
}

// heard lets an agent report.
func heard(c *Core, now time.Time, host string, sequence uint64) {
	c.Apply(now, Received{Host: host, Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
		Load: &wirepb.LoadReport{Sequence: sequence, Slots: 1, DecodeTokensPerSecond: 100},
	}}})
}

// wishes returns the hosts that effects ask to load.
func wishes(effects []Effect) string {
	var hosts []string
	for _, effect := range effects {
		if tell, ok := effect.(Tell); ok && tell.Message.GetPlace().GetWish().GetLoad() {
			hosts = append(hosts, tell.Host)
		}
	}
	return strings.Join(hosts, " ")
}

func TestBrokenSessionMovesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	c := modelCore(t, now)
	for _, host := range []string{"holder", "spare"} {
		heard(c, now, host, 1)
	}
	c.Apply(now, LinkDown{Host: "holder", Incarnation: 1})
	if got := wishes(c.Apply(now.Add(planInterval), Tick{})); got != "" {
		t.Errorf("loads at %q right after a session broke", got)
	}
	var got string
	for i := range uint64((agentSilence + plannerWarmUp) / tickInterval) {
		now = now.Add(tickInterval)
		heard(c, now, "spare", 2+i)
		got += wishes(c.Apply(now, Tick{}))
	}
	if !strings.HasPrefix(got, "spare") {
		t.Errorf("loads at %q after a long silence, want at spare", got)
	}
}

func TestPinIsRelayedOnlyForItsSender(t *testing.T) {
	now := time.Unix(1000, 0)
	c := modelCore(t, now)
	ask := func(sender string) []Effect {
		return c.Apply(now, Received{Host: sender, Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{
			Place: &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_PinAsk{PinAsk: &wirepb.Pin{From: "holder", To: "spare"}}},
		}}})
	}
	if effects := ask("holder"); len(effects) != 1 || effects[0].(Tell).Host != "spare" {
		t.Errorf("effects = %v, want the question at the keeper", effects)
	}
	if effects := ask("spare"); len(effects) != 0 {
		t.Errorf("effects = %v for a question in another agent's name", effects)
	}
}

func TestOldVersionServesUntilNewOneIsHeld(t *testing.T) {
	now := time.Unix(1000, 0)
	c := modelCore(t, now)
	c.index.Text.Models["m"] = config.Model{Service: "lengua", Version: "v2"}
	report := func(sequence uint64, versions ...string) {
		load := &wirepb.LoadReport{Sequence: sequence, Slots: 1}
		for _, v := range versions {
			load.Models = append(load.Models, &wirepb.HeldModel{Model: "m", Version: v})
		}
		c.Apply(now, Received{Host: "holder", Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: load}}})
	}
	r := &running{Call: Call{Model: "m", Version: "v2", Route: config.Route{Service: "lengua"}}}
	report(1, "v1")
	if v := c.servedVersion(r); v != "v1" {
		t.Errorf("version %q, want the one that is held", v)
	}
	report(2, "v1", "v2")
	if v := c.servedVersion(r); v != "v2" {
		t.Errorf("version %q, want the listed one", v)
	}
}
