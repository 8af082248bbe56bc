package gate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

// simSite says what a simulated fleet is made of.
type simSite struct {
	// entries is simEntries if not set.
	entries int
	// readinessDelay is how long clients come to an entry that is no longer ready.
	readinessDelay time.Duration

	engines       int
	slots         int
	queue         int
	kvCacheTokens int
	// memoryMB is an engine's memory for models. Engines begin with up to
	// modelsPerEngine models, and keep copies of the last that they held.
	memoryMB        float64
	modelsPerEngine int
	modelsInMemory  int
	modelsOnDisk    int
	loadsPerSecond  float64
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
	// models are drawn if there are none.
	models []topo.Model
	routes []simRoute
}

// simRoute is a route of a simulated fleet with what its clients ask for.
type simRoute struct {
	name string
	// share is the route's share of the new streams.
	share        float64
	resumable    bool
	attempts     int
	priority     int
	objective    time.Duration
	gapObjective time.Duration
	// timeout is how long a client waits for a whole stream.
	timeout time.Duration
	// events is the number of events of a stream.
	events       int
	promptTokens int
	// readTime is how long an engine reads a prompt.
	readTime [2]time.Duration
	// instructions and documents are the numbers of shared parts of prompts. The
	// documents' popularity falls with the given power of their rank.
	instructions int
	documents    int
	documentSkew float64
	// weights are the popularity of the site's models.
	weights []float64
}

// patience returns how long a client waits for the next event of a stream.
func (r *simRoute) patience() time.Duration {
	return min(max(2*time.Second, 4*r.objective, 8*r.gapObjective), r.timeout)
}

// popularity returns the weights of the models from first to last, which fall with a
// power of their rank. Models before first have none.
func popularity(first, last int, skew float64) []float64 {
	weights := make([]float64, first)
	for rank := range last - first + 1 {
		weights = append(weights, 1/math.Pow(float64(rank+1), skew))
	}
	return weights
}

// newConfig returns a configuration with the site's routes and models.
func (s *fleetSim) newConfig() *topo.Config {
	site := s.site
	drawn := slices.Clone(site.models)
	if len(drawn) == 0 {
		for range 13 {
			drawn = append(drawn, topo.Model{
				SizeMB:         43 + 30*s.random.Float64(),
				StoreLoadTime:  s.between(5*time.Second, 8600*time.Millisecond),
				DiskLoadTime:   2 * time.Second,
				MemoryLoadTime: time.Second,
			})
		}
	}
	models := make(map[string]*topo.Model)
	for i := range drawn {
		model := &drawn[i]
		model.Name = modelName(i)
		s.models = append(s.models, model.Name)
		models[model.Name] = model
	}
	config := &topo.Config{
		Version: 1,
		Services: map[string]*topo.Service{"llm": {
			Name:     "llm",
			MaxConns: 300,
			Engine: &topo.EngineSpec{
				Slots:          site.slots,
				KVCacheTokens:  site.kvCacheTokens,
				WeightMemoryMB: site.memoryMB,
				AdapterSlots:   4,
				LoadsPerSecond: site.loadsPerSecond,
				Models:         models,
			},
		}},
	}
	for _, r := range site.routes {
		config.Routes = append(config.Routes, &topo.Route{
			Name:             r.name,
			Host:             "h",
			PathPrefix:       "/" + r.name + "/",
			Kind:             topo.Stream,
			Resumable:        r.resumable,
			MaxAttempts:      r.attempts,
			Priority:         r.priority,
			LatencyObjective: r.objective,
			GapObjective:     r.gapObjective,
			Timeout:          r.timeout,
			Targets:          []topo.Target{{Service: "llm", Weight: 1}},
		})
	}
	return config.BuildIndex()
}

// draw returns the route and the model of a new stream.
func (s *fleetSim) draw() (*simRoute, string) {
	route := &s.site.routes[0]
	if len(s.site.routes) > 1 {
		x := s.random.Float64()
		for i := range s.site.routes {
			route = &s.site.routes[i]
			if x -= route.share; x < 0 {
				break
			}
		}
	}
	return route, s.drawModel(route)
}

// drawModel returns a model of a route by its popularity.
func (s *fleetSim) drawModel(route *simRoute) string {
	total := 0.0
	for _, weight := range route.weights {
		total += weight
	}
	x := s.random.Float64() * total
	for i, weight := range route.weights {
		if x -= weight; x < 0 {
			return s.models[i]
		}
	}
	return s.models[slices.IndexFunc(route.weights, func(w float64) bool { return w > 0 })]
}

// drawParts returns the shared parts of a prompt: one of the route's instructions and
// one of its documents, by their popularity.
func (s *fleetSim) drawParts(route *simRoute) []poison.Part {
	u := s.random.Float64()
	document := int(math.Pow(float64(route.documents), u))
	if route.documentSkew < 1 {
		document = 1 + int(float64(route.documents)*math.Pow(u, 1/(1-route.documentSkew)))
	}
	first := 1000 * slices.IndexFunc(s.site.routes, func(r simRoute) bool { return r.name == route.name })
	instruction := 1 + s.random.IntN(route.instructions)
	return []poison.Part{poison.Part(first + instruction), poison.Part(first + 100 + document)}
}

// siteModel returns a model of a site file.
func siteModel(size float64, store, memory, disk time.Duration) topo.Model {
	return topo.Model{
		SizeMB:         size,
		StoreLoadTime:  store,
		MemoryLoadTime: memory,
		DiskLoadTime:   disk,
	}
}

// siteModels returns models by their kinds, one letter each.
func siteModels(order string, kinds map[rune]topo.Model) []topo.Model {
	var models []topo.Model
	for _, kind := range order {
		model, ok := kinds[kind]
		if !ok {
			panic(fmt.Sprintf("no kind %q", kind))
		}
		models = append(models, model)
	}
	return models
}
