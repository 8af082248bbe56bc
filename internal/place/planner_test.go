package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawWorkers draws engines with any copies of some models.
func drawWorkers(t *rapid.T) []Worker {
	workers := make([]Worker, rapid.IntRange(1, 5).Draw(t, "workers"))
	for i := range workers {
		workers[i] = Worker{
			Host: fmt.Sprint(i), Zone: fmt.Sprint(i % 2), Free: rapid.Int64Range(0, 3).Draw(t, "free"), TokensPerSecond: 100,
		}
		for _, c := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 3, rapid.ID).Draw(t, "held") {
			ready := rapid.Bool().Draw(t, "ready")
			workers[i].Held = append(workers[i].Held, Held{
				Copy:  Copy{Model: modelName(c / 2), Version: fmt.Sprint(1 + c%2)},
				Bytes: 1, Ready: ready, Staying: ready && rapid.Bool().Draw(t, "staying"),
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
		s := DefaultSettings()
		s.AdapterLoads = 2
		s.Loads = 2
		p := NewPlanner(s)
		now := time.Unix(0, 0)
		workers := drawWorkers(t)
		loading := 0
		for _, w := range workers {
			for _, h := range w.Held {
				if !h.Ready {
					loading++
				}
			}
		}
		for range 3 {
			now = now.Add(time.Second)
			for i := range len(models) {
				p.Offer(modelName(i), "x", rapid.Float64Range(0, 300).Draw(t, "tokens"))
				p.Offer(modelName(i), "", rapid.Float64Range(0, 300).Draw(t, "tokens"))
			}
			checkMoves(t, p.Plan(now, workers, models), workers, models, max(0, s.Loads-loading), s.AdapterLoads)
		}
	})
}

// checkMoves checks one round's moves against the state that it was given.
func checkMoves(t *rapid.T, moves []Move, workers []Worker, models map[string]Model, loads, adapters int) {
	byHost := make(map[string]*Worker)
	free := make(map[string]int64)
	for i, w := range workers {
		byHost[w.Host] = &workers[i]
		free[w.Host] = w.Free
	}
	for _, m := range moves {
		switch _, listed := models[m.Model]; {
		case m.Load && m.Adapter == "":
			loads--
			free[m.Host] -= m.Bytes
		case m.Load:
			adapters--
			free[m.Host] -= m.Bytes
		case listed:
			keeper := byHost[m.Keeper]
			if keeper == nil || !keeper.keeps(byHost[m.Host], m.Copy, m.Keep) {
				t.Errorf("%+v: the keeper does not hold the copy", m)
			}
		}
		if free[m.Host] < 0 || loads < 0 || adapters < 0 {
			t.Errorf("%+v: beyond the memory, the weight store's slots or the adapters' limit", m)
		}
	}
}

// TestModelWithoutCopyComesFirst shows that it takes the place of a surplus
// copy, even of one that is in demand.
func TestModelWithoutCopyComesFirst(t *testing.T) {
	wanted := Copy{Model: "wanted", Version: "1"}
	held := []Held{{Copy: wanted, Bytes: 1, Ready: true, Staying: true}}
	workers := []Worker{{Host: "a", TokensPerSecond: 100, Held: held}, {Host: "b", TokensPerSecond: 100, Held: held}}
	models := map[string]Model{"wanted": {Version: "1", Bytes: 1}, "new": {Version: "1", Bytes: 1}}
	p := NewPlanner(DefaultSettings())
	now := time.Unix(0, 0)
	p.Offer("wanted", "", 1000)
	moves := p.Plan(now, workers, models)
	if len(moves) != 1 || moves[0].Load || moves[0].Copy != wanted || moves[0].Keeper == moves[0].Host {
		t.Fatalf("moves = %+v, want one unload that the other worker keeps", moves)
	}
	gone := workers[0]
	if moves[0].Host == "b" {
		gone = workers[1]
	}
	gone.Held, gone.Free = nil, 1
	workers = []Worker{gone, {Host: moves[0].Keeper, TokensPerSecond: 100, Held: held}}
	moves = p.Plan(now.Add(time.Second), workers, models)
	if len(moves) != 1 || !moves[0].Load || moves[0].Model != "new" {
		t.Errorf("moves = %+v, want the load of the model without a copy", moves)
	}
}
