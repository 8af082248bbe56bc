package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

// placementConfig returns a configuration with three models, of which an engine
// can hold two.
func placementConfig(version string) string {
	models := make([]string, 0, 3)
	for _, name := range []string{"lengua-a", "lengua-b", "lengua-c"} {
		models = append(models, fmt.Sprintf(`"%s":{"service":"lengua","version":"%s",
"versions":{"v1":{"memoryBytes":400},"v2":{"memoryBytes":400}},"adapters":{"tour":{"memoryBytes":10}}}`, name, version))
	}
	return fmt.Sprintf(`{"format":1,"services":{"lengua":{"kind":"model"}},"models":{%s},
"customers":{"booth":{"keys":{"a":{"sha256":"%s"}},"ratePerSecond":100000,"burstTokens":1000000,"services":["lengua"]}},
"routes":{"complete":{"path":"/v1/completions","methods":["POST"],"service":"lengua","access":"keyed",
 "priority":"interactive","idempotent":true}}}`,
		strings.Join(models, ","), config.DigestKey([]byte(boothKey)))
}

// placementSystem is a system whose engines start without models.
type placementSystem struct {
	*system
	engines    []*process
	agentNames []string
}

func newPlacementSystem(t *testing.T, engines int, flags ...string) *placementSystem {
	t.Helper()
	p := &placementSystem{system: &system{
		log:    start(t, "fake", "log"),
		hosts:  start(t, "fake", "hosts"),
		agents: make(map[string]*process),
	}}
	weights := start(t, "fake", "weights", "--rate", "20", "--load-time", "50ms")
	for i := range engines {
		args := append([]string{"fake", "engine", "--memory", "1000", "--weights", weights.url()}, flags...)
		p.engines = append(p.engines, start(t, args...))
		name := fmt.Sprintf("agent-%d", i)
		p.agentNames = append(p.agentNames, name)
		p.addEngineAgent(t, name, i)
	}
	for i := range 2 {
		p.addEntry(t, fmt.Sprintf("entry-%d", i), 0)
	}
	p.publish(t, placementConfig("v1"))
	return p
}

func (p *placementSystem) addEngineAgent(t *testing.T, name string, i int) {
	t.Helper()
	agent := start(t, "agent", "--settings", writeSettings(t, map[string]any{
		"host": name, "zone": []string{"mx-centro-a", "mx-centro-b"}[i%2], "service": "lengua", "kind": "engine",
		"listen": loopback(t), "admin": loopback(t), "maxOrderDelay": "3s",
		"endpoint": p.engines[i].address.String(), "slots": 16, "log": p.log.url(), "hosts": p.hosts.url(),
	}))
	p.agents[name] = agent
	p.registerHost(t, plat.Host{
		Name: name, Role: plat.RoleAgent, Zone: []string{"mx-centro-a", "mx-centro-b"}[i%2], Service: "lengua",
		Address: agent.address, State: plat.HostLive,
	})
}

// completeModel requests a completion by a model from an entry.
func (p *placementSystem) completeModel(t *testing.T, entry int, model string, tokens int) callResult {
	t.Helper()
	body := fmt.Sprintf(`{"model":"%s","prompt":"two hoodies","max_tokens":%d}`, model, tokens)
	return do(t, "POST", p.entries[entry].url()+"/v1/completions", body, "Authorization", "Bearer "+boothKey)
}

// awaitModels waits until every configured model and adapter serves completions.
func (p *placementSystem) awaitModels(t *testing.T) {
	t.Helper()
	for _, model := range []string{"lengua-a", "lengua-b", "lengua-c", "lengua-a:tour", "lengua-b:tour", "lengua-c:tour"} {
		eventually(t, model+" answers", func() bool { return p.completeModel(t, 0, model, 1).status == 200 })
	}
}

// checkMemory fails the test if a load ever exceeded the memory of an engine.
func (p *placementSystem) checkMemory(t *testing.T) {
	t.Helper()
	for i, e := range p.engines {
		var m fakes.Memory
		if err := json.Unmarshal([]byte(do(t, "GET", e.url()+"/fake/memory", "").body), &m); err != nil {
			t.Fatal(err)
		}
		if m.Overcommitted {
			t.Errorf("engine %d was overcommitted: %+v", i, m)
		}
	}
}

// engineReport returns the report of an engine.
func (p *placementSystem) engineReport(t *testing.T, i int) plat.Report {
	t.Helper()
	var r plat.Report
	if err := json.Unmarshal([]byte(do(t, "GET", p.engines[i].url()+"/engine/report", "").body), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestEmptyEnginesComeToServeAllModels(t *testing.T) {
	t.Parallel()
	p := newPlacementSystem(t, 2, "--checks-fence")
	p.awaitModels(t)
	p.checkMemory(t)
}

func TestModelsOfDeadAgentComeUpElsewhere(t *testing.T) {
	t.Parallel()
	p := newPlacementSystem(t, 3, "--checks-fence")
	p.awaitModels(t)
	if err := p.agents["agent-0"].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	p.awaitModels(t)
	p.checkMemory(t)
}

func TestVersionChangeLosesNoCall(t *testing.T) {
	t.Parallel()
	p := newPlacementSystem(t, 2)
	p.awaitModels(t)
	stop, failures := make(chan struct{}), make(chan []string)
	go func() {
		var failed []string
		defer func() { failures <- failed }()
		for i := 0; ; i++ {
			model := []string{"lengua-a", "lengua-b", "lengua-c"}[i%3]
			if res := p.completeModel(t, i%2, model, 4); res.status != 200 {
				failed = append(failed, fmt.Sprintf("%s: %+v", model, res))
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	p.publish(t, placementConfig("v2"))
	eventually(t, "only v2 is held", func() bool {
		for i := range p.engines {
			for _, r := range p.engineReport(t, i).Residents {
				if r.Version != "v2" {
					return false
				}
			}
		}
		return true
	})
	close(stop)
	for _, failed := range <-failures {
		t.Error(failed)
	}
	p.awaitModels(t)
	p.checkMemory(t)
}

// floodWishes acts as a planner without limits: it sends an agent wishes to load all
// models in all versions, one each 20 ms for 4 s.
func (p *placementSystem) floodWishes(t *testing.T, agent string) {
	t.Helper()
	hello := &wirepb.Hello{Host: "flood", Role: plat.RoleEntry, Incarnation: 1}
	session, err := wire.Dial(t.Context(), p.agents[agent].address, hello, nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = session.Run(t.Context(), func(*wirepb.Envelope) {})
	}()
	for i := range 200 {
		weights := &wirepb.Weights{
			Model:   []string{"lengua-a", "lengua-b", "lengua-c"}[i%3],
			Version: []string{"v1", "v2"}[i%2],
		}
		session.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: &wirepb.PlaceMessage{
			Body: &wirepb.PlaceMessage_Wish{Wish: &wirepb.Wish{Load: true, Weights: weights, Bytes: 400, ConfigOffset: 1}},
		}}})
		time.Sleep(20 * time.Millisecond)
	}
	session.Close()
	<-ended
}

func TestMemoryHoldsWhenOrdersGoWrong(t *testing.T) {
	t.Parallel()
	checkMemoryUnderFaults(t, "--checks-fence=true")
}

func TestMemoryHoldsAtEnginesWithoutFences(t *testing.T) {
	t.Parallel()
	checkMemoryUnderFaults(t, "--checks-fence=false")
}

// checkMemoryUnderFaults checks the memory of engines that lose, delay and repeat orders,
// with a planner that asks for too much.
func checkMemoryUnderFaults(t *testing.T, checks string) {
	p := newPlacementSystem(t, 2, checks)
	for _, e := range p.engines {
		e.setFaults(t, fakes.Faults{LoseOrdersEvery: 5, DelayOrdersEvery: 2, DelayOrdersMs: 800, DoubleOrders: true})
	}
	p.floodWishes(t, "agent-0")
	p.awaitModels(t)
	if err := p.agents["agent-1"].cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	p.addEngineAgent(t, "agent-1", 1)
	p.floodWishes(t, "agent-1")
	p.publish(t, placementConfig("v2"))
	eventually(t, "v2 is held", func() bool {
		found := make(map[string]bool)
		for i := range p.engines {
			for _, r := range p.engineReport(t, i).Residents {
				found[r.Model+"/"+r.Version] = r.Ready || found[r.Model+"/"+r.Version]
			}
		}
		return found["lengua-a/v2"] && found["lengua-b/v2"] && found["lengua-c/v2"]
	})
	p.awaitModels(t)
	p.checkMemory(t)
}
