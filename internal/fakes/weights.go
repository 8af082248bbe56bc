package fakes

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// WeightStoreSettings are the constants of a fake weight store.
type WeightStoreSettings struct {
	// LoadsPerSecond bounds how many loads begin in a second.
	LoadsPerSecond float64
	// Slots is how many loads run at full speed; more are slower in
	// proportion.
	Slots int
	// LoadTime is how long a load takes at full speed.
	LoadTime time.Duration
}

// WeightStore is a stand-in for the rate-limited weight store. GET /weights answers
// when an engine has its weights.
type WeightStore struct {
	fakeServer
	settings WeightStoreSettings

	stateMu   sync.Mutex
	running   int
	peak      int
	nextStart time.Time
}

// NewWeightStore returns a weight store.
func NewWeightStore(s WeightStoreSettings) *WeightStore { return &WeightStore{settings: s} }

// Handler returns the store's HTTP interface.
func (w *WeightStore) Handler() fasthttp.RequestHandler {
	return w.withFaults(func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/weights":
			w.serveLoad()
		case "/fake/loads":
			writeJSON(ctx, w.stats())
		default:
			ctx.NotFound()
		}
	})
}

// serveLoad takes as long as a serveLoad takes now.
func (w *WeightStore) serveLoad() {
	w.stateMu.Lock()
	now := time.Now()
	start := now
	if w.nextStart.After(now) {
		start = w.nextStart
	}
	w.nextStart = start.Add(time.Duration(float64(time.Second) / max(w.settings.LoadsPerSecond, 0.001)))
	w.running++
	w.peak = max(w.peak, w.running)
	duration := w.settings.LoadTime * time.Duration(max(w.running, w.settings.Slots)) / time.Duration(max(1, w.settings.Slots))
	w.stateMu.Unlock()
	time.Sleep(start.Sub(now) + duration)
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.running--
}

// loadStats is what the store tells of its loads.
type loadStats struct {
	Running int `json:"running"`
	Peak    int `json:"peak"`
}

func (w *WeightStore) stats() loadStats {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return loadStats{
		Running: w.running,
		Peak:    w.peak,
	}
}
