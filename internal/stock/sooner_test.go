package stock

import (
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// startAgain adds an engine that was started again: it holds models, and the weights
// of model a are on its disk.
func startAgain(p *Planner, spec *topo.EngineSpec, id, version string, models ...string) {
	ep := &topo.Endpoint{
		ID:              id,
		Service:         "llm",
		Incarnation:     1,
		SoftwareVersion: version,
		OnDisk:          []string{"a"},
	}
	for _, model := range models {
		ep.Holdings = append(ep.Holdings, topo.Holding{Model: model})
	}
	p.SetEndpoint(startTime, ep, spec)
	p.HandleReport(startTime, startTime, id, Report{Holdings: ep.Holdings})
}

// Streams wait for a model that an engine of their version loads from the weight store. An
// engine that has its weights on the disk can serve them much sooner.
func TestModelThatIsLoadedSlowlyIsLoadedFromDiskToo(t *testing.T) {
	for _, test := range []struct {
		name string
		// engines adds those that start once the load has begun.
		engines func(p *Planner, spec *topo.EngineSpec, add func(id, version string, models ...string))
		// storeTime is how long the load from the weight store takes.
		storeTime time.Duration
		loads     int
	}{
		{
			name: "sooner",
			engines: func(p *Planner, spec *topo.EngineSpec, add func(string, string, ...string)) {
				add("e2", "v2", "a")
				startAgain(p, spec, "e3", "v1")
				startAgain(p, spec, "e4", "v1")
			},
			storeTime: 8 * time.Second,
			loads:     1,
		},
		{
			name: "hardly sooner",
			engines: func(p *Planner, spec *topo.EngineSpec, add func(string, string, ...string)) {
				add("e2", "v2", "a")
				startAgain(p, spec, "e3", "v1")
			},
			storeTime: 900 * time.Millisecond,
		},
		{
			name: "at another version",
			engines: func(p *Planner, spec *topo.EngineSpec, _ func(string, string, ...string)) {
				startAgain(p, spec, "e2", "v2")
			},
			storeTime: 8 * time.Second,
		},
		{
			name: "without room",
			engines: func(p *Planner, spec *topo.EngineSpec, add func(string, string, ...string)) {
				add("e2", "v2", "b", "c", "d")
				startAgain(p, spec, "e3", "v1", "b", "c", "d")
			},
			storeTime: 8 * time.Second,
		},
		{
			name: "one version",
			engines: func(p *Planner, spec *topo.EngineSpec, _ func(string, string, ...string)) {
				startAgain(p, spec, "e3", "v1")
			},
			storeTime: 8 * time.Second,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := testSpec()
			delete(spec.Models, "e") // the engines without room hold all others
			spec.Models["a"].StoreLoadTime = test.storeTime
			p, add := newVersionedPlanner(spec)
			add("e1", "v1")
			miss := Miss{
				Artifact:        Artifact{Model: "a"},
				SoftwareVersion: "v1",
			}
			p.RecordMiss(startTime, "llm", miss)
			wantLoadAt(t, p.Plan(startTime), "e1", miss.Artifact)
			test.engines(p, spec, add)
			loads := 0
			for i := range 5 {
				now := startTime.Add(time.Duration(i) * 20 * time.Millisecond)
				p.RecordMiss(now, "llm", miss)
				for _, o := range p.Plan(now).Orders {
					p.HandleOutcome(now, o, Accepted)
					switch {
					case !o.Load:
						t.Errorf("%s is unloaded at %s", o.Model, o.Engine)
					case o.Model == "a":
						loads++
					}
				}
			}
			if loads != test.loads {
				t.Errorf("%d more loads of the model, want %d", loads, test.loads)
			}
		})
	}
}
