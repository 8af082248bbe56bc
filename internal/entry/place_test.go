package entry

import (
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

// modelCore returns a reducer with one configured model and two connected
// agents, of which the first holds the model.
func modelCore(t *testing.T, now time.Time) *Core {
	t.Helper()
	core := NewCore(CoreSettings{Host: "entry", FixedShare: 1, Seed: 1})
	parsed, err := config.Parse([]byte(`{"format":1,"services":{"lengua":{"kind":"model"}},"customers":{},"routes":{},
"models":{"m":{"service":"lengua","version":"v1","versions":{"v1":{"memoryBytes":10}}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	core.index, core.configCaughtUp, core.ready = config.NewIndex(parsed), true, true
	core.fold.Accepted = 1
	var hosts []plat.Host
	for _, name := range []string{"holder", "spare"} {
		hosts = append(hosts, plat.Host{Name: name, Role: plat.RoleAgent, Service: "lengua", State: plat.HostLive})
	}
	core.Apply(now, HostsRead{Hosts: hosts})
	for _, host := range hosts {
		core.Apply(now, SessionOpened{Host: host.Name, Hello: &wirepb.Hello{Incarnation: 1}})
		state := &wirepb.PlaceState{Memory: 10}
		if host.Name == "holder" {
			weights := &wirepb.Weights{Model: "m", Version: "v1"}
			state.Held = []*wirepb.HeldWeights{{Weights: weights, Bytes: 10, Ready: true, Staying: true}}
		} else {
			state.Free = 10
		}
		core.Apply(now, MessageReceived{Host: host.Name, Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{
			Place: &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_State{State: state}},
		}}})
	}
	return core
}

// reportLoad delivers a load report of an agent.
func reportLoad(core *Core, now time.Time, host string, sequence uint64) {
	core.Apply(now, MessageReceived{Host: host, Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{
		Load: &wirepb.LoadReport{Sequence: sequence, Slots: 1, DecodeTokensPerSecond: 100},
	}}})
}

// loadHosts returns the hosts that the effects tell to load a model.
func loadHosts(effects []Effect) string {
	var hosts []string
	for _, effect := range effects {
		if send, ok := effect.(SendMessage); ok && send.Message.GetPlace().GetWish().GetLoad() {
			hosts = append(hosts, send.Host)
		}
	}
	return strings.Join(hosts, " ")
}

func TestBrokenSessionDoesNotMoveModels(t *testing.T) {
	now := time.Unix(1000, 0)
	core := modelCore(t, now)
	for _, host := range []string{"holder", "spare"} {
		reportLoad(core, now, host, 1)
	}
	core.Apply(now, SessionClosed{Host: "holder", Incarnation: 1})
	if got := loadHosts(core.Apply(now.Add(planInterval), Tick{})); got != "" {
		t.Errorf("models loaded on %q right after a session broke", got)
	}
	var got string
	for i := range uint64((agentSilenceLimit + plannerWarmUp) / tickInterval) {
		now = now.Add(tickInterval)
		reportLoad(core, now, "spare", 2+i)
		got += loadHosts(core.Apply(now, Tick{}))
	}
	if !strings.HasPrefix(got, "spare") {
		t.Errorf("models loaded on %q after the silence limit, want on spare", got)
	}
}

func TestPinIsRelayedOnlyForSender(t *testing.T) {
	now := time.Unix(1000, 0)
	core := modelCore(t, now)
	requestPin := func(sender string) []Effect {
		return core.Apply(now, MessageReceived{Host: sender, Incarnation: 1, Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{
			Place: &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_PinAsk{PinAsk: &wirepb.Pin{From: "holder", To: "spare"}}},
		}}})
	}
	if effects := requestPin("holder"); len(effects) != 1 || effects[0].(SendMessage).Host != "spare" {
		t.Errorf("effects = %v, want the pin request sent to the keeper", effects)
	}
	if effects := requestPin("spare"); len(effects) != 0 {
		t.Errorf("effects = %v for a pin request in the name of another agent", effects)
	}
}

func TestPreviousModelVersionServesUntilNewIsLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	core := modelCore(t, now)
	core.index.Config.Models["m"] = config.Model{Service: "lengua", Version: "v2"}
	reportModels := func(sequence uint64, versions ...string) {
		load := &wirepb.LoadReport{Sequence: sequence, Slots: 1}
		for _, version := range versions {
			load.Models = append(load.Models, &wirepb.HeldModel{Model: "m", Version: version})
		}
		core.Apply(now, MessageReceived{
			Host: "holder", Incarnation: 1,
			Message: &wirepb.Envelope{Body: &wirepb.Envelope_Load{Load: load}},
		})
	}
	call := &activeCall{Call: Call{Model: "m", Version: "v2", Route: config.Route{Service: "lengua"}}}
	reportModels(1, "v1")
	if version := core.currentModelVersion(call); version != "v1" {
		t.Errorf("version %q, want the one that the agent holds", version)
	}
	reportModels(2, "v1", "v2")
	if version := core.currentModelVersion(call); version != "v2" {
		t.Errorf("version %q, want the configured one", version)
	}
}
