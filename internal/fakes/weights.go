package fakes

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// WeightsSettings are the constants of a fake weight store.
type WeightsSettings struct {
	// LoadsPerSecond bounds how many loads begin in a second.
	LoadsPerSecond float64
	// Slots is how many loads run at full speed; more are slower in
	// proportion.
	Slots int
	// LoadTime is how long a load takes at full speed.
	LoadTime time.Duration
}

// Weights is a stand-in for the rate-limited weight store. GET /weights answers
// when an engine has its weights.
type Weights struct {
	base
	settings WeightsSettings

	state   sync.Mutex
	running int
	peak    int
	next    time.Time
}

// NewWeights returns a weight store.
func NewWeights(s WeightsSettings) *Weights { return &Weights{settings: s} }

// Handler returns the store's HTTP interface.
func (w *Weights) Handler() fasthttp.RequestHandler {
	return w.wrap(func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/weights":
			w.load()
		case "/fake/loads":
			writeJSON(ctx, w.loads())
		default:
			ctx.NotFound()
		}
	})
}

// load takes as long as a load takes now.
func (w *Weights) load() {
	w.state.Lock()
	now := time.Now()
	begin := now
	if w.next.After(now) {
		begin = w.next
	}
	w.next = begin.Add(time.Duration(float64(time.Second) / max(w.settings.LoadsPerSecond, 0.001)))
	w.running++
	w.peak = max(w.peak, w.running)
	took := w.settings.LoadTime * time.Duration(max(w.running, w.settings.Slots)) / time.Duration(max(1, w.settings.Slots))
	w.state.Unlock()
	time.Sleep(begin.Sub(now) + took)
	w.state.Lock()
	defer w.state.Unlock()
	w.running--
}

// weightLoads is what the store tells of its loads.
type weightLoads struct {
	Running int `json:"running"`
	Peak    int `json:"peak"`
}

func (w *Weights) loads() weightLoads {
	w.state.Lock()
	defer w.state.Unlock()
	return weightLoads{
		Running: w.running,
		Peak:    w.peak,
	}
}
