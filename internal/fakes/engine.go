package fakes

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
)

// EngineSettings configures a fake engine.
type EngineSettings struct {
	MemoryBytes int64
	Slots       int
	ChecksFence bool
	// Residents are the models and adapters loaded initially.
	Residents []plat.Resident
	// LoadTime is the time that loading takes in addition to the fetch from the
	// weight store. WeightStoreURL is the base URL of the weight store; if it is
	// empty, nothing is fetched.
	LoadTime       time.Duration
	WeightStoreURL string
	// Logger receives the errors that no response reports.
	Logger zerolog.Logger
}

// Engine is a fake of a model engine. Its output for a prompt depends only on the
// model and the prompt.
type Engine struct {
	fakeServer
	settings EngineSettings
	cache    prefixCache

	// stateMu guards the fields from residents to memory.
	stateMu   sync.Mutex
	residents []plat.Resident
	// running counts the completions that hold a slot.
	running int
	// sequence is the number of the last report.
	sequence uint64
	// fence is the highest fencing token of the orders executed.
	fence uint64
	// orders counts the orders received.
	orders int
	memory Memory
	// freeSlots holds an element for each free slot. It is nil if the number of
	// slots is not limited.
	freeSlots chan struct{}
}

// Memory reports the memory usage of an engine.
type Memory struct {
	Used int64 `json:"used"`
	// Peak is the highest usage that was reached or attempted. Overcommitted
	// says whether a load would have exceeded the memory, which would crash a
	// real engine.
	Peak          int64 `json:"peak"`
	Overcommitted bool  `json:"overcommitted"`
}

// NewEngine returns an engine with the given settings.
func NewEngine(s EngineSettings) *Engine {
	e := &Engine{
		settings:  s,
		residents: s.Residents,
	}
	if s.Slots > 0 {
		e.freeSlots = make(chan struct{}, s.Slots)
		for range s.Slots {
			e.freeSlots <- struct{}{}
		}
	}
	return e
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() fasthttp.RequestHandler {
	handler := func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/engine/report":
			writeJSON(ctx, e.Report())
		case "/engine/cache":
			e.handleCacheEvents(ctx)
		case "/engine/orders":
			e.handleOrder(ctx)
		case "/fake/memory":
			writeJSON(ctx, e.Memory())
		case "/v1/completions", pathChat:
			e.recordRequest(ctx)
			e.handleCompletion(ctx)
		default:
			ctx.NotFound()
		}
	}
	return e.withFaults(handler)
}

// Report returns the engine's report of its state. Each call increments its
// sequence number.
func (e *Engine) Report() plat.Report {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.sequence++
	return plat.Report{
		AsOf:             time.Now(),
		Sequence:         e.sequence,
		MemoryBytes:      e.settings.MemoryBytes,
		Residents:        append([]plat.Resident{}, e.residents...),
		Running:          e.running,
		Slots:            e.settings.Slots,
		Fence:            e.fence,
		ChecksFence:      e.settings.ChecksFence,
		PrefillPerSecond: 20_000,
		DecodePerSecond:  2_000,
	}
}

// Memory returns the engine's memory usage.
func (e *Engine) Memory() Memory {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	memory := e.memory
	for _, r := range e.residents {
		memory.Used += r.MemoryBytes
	}
	return memory
}
