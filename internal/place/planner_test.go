package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawWorkers draws workers that hold random replicas.
func drawWorkers(t *rapid.T) []Worker {
	workers := make([]Worker, rapid.IntRange(1, 5).Draw(t, "workers"))
	for i := range workers {
		workers[i] = Worker{
			Host: fmt.Sprint(i), Zone: fmt.Sprint(i % 2), FreeBytes: rapid.Int64Range(0, 3).Draw(t, "free"), TokensPerSecond: 100,
		}
		for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 3, rapid.ID).Draw(t, "held") {
			ready := rapid.Bool().Draw(t, "ready")
			workers[i].Holdings = append(workers[i].Holdings, Holding{
				Artifact: Artifact{Model: modelName(id / 2), Version: fmt.Sprint(1 + id%2)},
				Bytes:    1, Ready: ready, Retained: ready && rapid.Bool().Draw(t, "retained"),
			})
		}
	}
	return workers
}

func TestPlansStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := make(map[string]Model)
		for i := range rapid.IntRange(0, 5).Draw(t, "models") {
			models[modelName(i)] = Model{Version: "2", Bytes: 1, Adapters: map[string]int64{"x": 1}}
		}
		settings := DefaultSettings()
		settings.MaxAdapterLoads = 2
		settings.MaxLoads = 2
		p := NewPlanner(settings)
		now := time.Unix(0, 0)
		workers := drawWorkers(t)
		loading := 0
		for _, w := range workers {
			for _, h := range w.Holdings {
				if !h.Ready {
					loading++
				}
			}
		}
		for range 3 {
			now = now.Add(time.Second)
			for i := range len(models) {
				p.RecordTokens(modelName(i), "x", rapid.Float64Range(0, 300).Draw(t, "tokens"))
				p.RecordTokens(modelName(i), "", rapid.Float64Range(0, 300).Draw(t, "tokens"))
			}
			checkChanges(t, p.Plan(now, workers, models), workers, models, max(0, settings.MaxLoads-loading), settings.MaxAdapterLoads)
		}
	})
}

// checkChanges checks the changes of one round against the state that the
// planner was given.
func checkChanges(t *rapid.T, changes []PlacementChange, workers []Worker, models map[string]Model, loads, adapters int) {
	byHost := make(map[string]*Worker)
	free := make(map[string]int64)
	for i, w := range workers {
		byHost[w.Host] = &workers[i]
		free[w.Host] = w.FreeBytes
	}
	for _, change := range changes {
		switch _, listed := models[change.Model]; {
		case change.Load && change.Adapter == "":
			loads--
			free[change.Host] -= change.Bytes
		case change.Load:
			adapters--
			free[change.Host] -= change.Bytes
		case listed:
			keeper := byHost[change.Keeper]
			if keeper == nil || !keeper.retainsAll(byHost[change.Host], change.Artifact, change.KeepVersion) {
				t.Errorf("%+v: the keeper does not retain the artifact", change)
			}
		}
		if free[change.Host] < 0 || loads < 0 || adapters < 0 {
			t.Errorf("%+v: exceeds the memory, the limit on loads or the limit on adapter loads", change)
		}
	}
}

// TestMissingModelEvictsSurplusReplica checks that a model without a replica
// displaces a surplus replica of another model, even of one with demand.
func TestMissingModelEvictsSurplusReplica(t *testing.T) {
	wanted := Artifact{Model: "wanted", Version: "1"}
	held := []Holding{{Artifact: wanted, Bytes: 1, Ready: true, Retained: true}}
	workers := []Worker{{Host: "a", TokensPerSecond: 100, Holdings: held}, {Host: "b", TokensPerSecond: 100, Holdings: held}}
	models := map[string]Model{"wanted": {Version: "1", Bytes: 1}, "new": {Version: "1", Bytes: 1}}
	p := NewPlanner(DefaultSettings())
	now := time.Unix(0, 0)
	p.RecordTokens("wanted", "", 1000)
	changes := p.Plan(now, workers, models)
	if len(changes) != 1 || changes[0].Load || changes[0].Artifact != wanted || changes[0].Keeper == changes[0].Host {
		t.Fatalf("changes = %+v, want one unload with the other worker as the keeper", changes)
	}
	unloaded := workers[0]
	if changes[0].Host == "b" {
		unloaded = workers[1]
	}
	unloaded.Holdings, unloaded.FreeBytes = nil, 1
	workers = []Worker{unloaded, {Host: changes[0].Keeper, TokensPerSecond: 100, Holdings: held}}
	changes = p.Plan(now.Add(time.Second), workers, models)
	if len(changes) != 1 || !changes[0].Load || changes[0].Model != "new" {
		t.Errorf("changes = %+v, want the load of the model without a replica", changes)
	}
}
