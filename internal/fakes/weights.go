package fakes

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// WeightStoreSettings configures a fake weight store.
type WeightStoreSettings struct {
	// LoadsPerSecond bounds the rate at which loads start.
	LoadsPerSecond float64
	// Slots is the number of concurrent loads that run at full speed. With more
	// of them, loads slow down in proportion.
	Slots int
	// LoadTime is the duration of a load at full speed.
	LoadTime time.Duration
}

// WeightStore is a fake of the platform's rate-limited weight store. The response
// to GET /weights is sent when the load has completed.
type WeightStore struct {
	fakeServer
	settings WeightStoreSettings

	// stateMu guards the fields below it.
	stateMu sync.Mutex
	running int
	// peak is the highest number of loads that ran at once.
	peak int
	// nextStart is the earliest time at which the next load may start.
	nextStart time.Time
}

// NewWeightStore returns a WeightStore with the given settings.
func NewWeightStore(s WeightStoreSettings) *WeightStore { return &WeightStore{settings: s} }

// Handler returns the HTTP handler of the store.
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

// serveLoad blocks for the duration of a load.
func (w *WeightStore) serveLoad() {
	time.Sleep(w.beginLoad(time.Now()))
	w.endLoad()
}

// beginLoad counts a load and returns its duration at the current concurrency,
// including the wait for the rate limit.
func (w *WeightStore) beginLoad(now time.Time) time.Duration {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	start := now
	if w.nextStart.After(now) {
		start = w.nextStart
	}
	w.nextStart = start.Add(time.Duration(float64(time.Second) / max(w.settings.LoadsPerSecond, 0.001)))
	w.running++
	w.peak = max(w.peak, w.running)
	duration := w.settings.LoadTime * time.Duration(max(w.running, w.settings.Slots)) / time.Duration(max(1, w.settings.Slots))
	return start.Sub(now) + duration
}

// endLoad counts the end of a load.
func (w *WeightStore) endLoad() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.running--
}

// loadStats is the response to GET /fake/loads.
type loadStats struct {
	Running int `json:"running"`
	Peak    int `json:"peak"`
}

// stats returns the numbers of loads.
func (w *WeightStore) stats() loadStats {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return loadStats{
		Running: w.running,
		Peak:    w.peak,
	}
}
