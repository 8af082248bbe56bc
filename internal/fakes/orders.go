package fakes

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
)

// handleOrder handles an order to load or unload, subject to the injected faults.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o plat.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	faults := e.currentFaults()
	number := e.nextOrderNumber()
	if faults.LoseOrders || isEveryNth(faults.LoseOrdersEvery, number) {
		return
	}
	if faults.delaysOrder(number) {
		time.AfterFunc(time.Duration(faults.DelayOrdersMs)*time.Millisecond, func() { e.executeDelayed(o) })
		if !faults.DoubleOrders {
			return
		}
	}
	if err := e.Execute(o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	}
}

// executeDelayed executes an order that was answered before. It logs an error, which
// no response can report.
func (e *Engine) executeDelayed(o plat.Order) {
	if err := e.Execute(o); err != nil {
		e.settings.Logger.Warn().Err(err).Str("model", o.Model).Msg("delayed order not executed")
	}
}

// nextOrderNumber returns the number of the next order, starting at 1.
func (e *Engine) nextOrderNumber() int {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.orders++
	return e.orders
}

// delaysOrder reports whether the execution of the order with the given number is
// delayed.
func (f *Faults) delaysOrder(number int) bool {
	return f.DelayOrdersMs > 0 && (f.DelayOrdersEvery == 0 || isEveryNth(f.DelayOrdersEvery, number))
}

// isEveryNth reports whether number is a multiple of n. It is false for n = 0.
func isEveryNth(n, number int) bool { return n > 0 && number%n == 0 }

// Execute executes an order. It returns an error if a load does not fit in memory,
// where a real engine would crash.
func (e *Engine) Execute(o plat.Order) error {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if e.settings.ChecksFence && o.Fence < e.fence {
		return fmt.Errorf("fence %d is older than %d", o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	if o.Action == plat.ActionUnload {
		e.unload(o)
		return nil
	}
	return e.load(o)
}

// unload removes an artifact, and with a model all of its adapters.
func (e *Engine) unload(o plat.Order) {
	var kept []plat.Resident
	for _, r := range e.residents {
		unloaded := r.Model == o.Model && r.Version == o.Version && (o.Adapter == "" || r.Adapter == o.Adapter)
		if !unloaded {
			kept = append(kept, r)
		}
	}
	e.residents = kept
}

// load adds an artifact that is not held yet. It becomes ready when its weights have
// been fetched.
func (e *Engine) load(o plat.Order) error {
	total := o.MemoryBytes
	for _, r := range e.residents {
		if isTarget(r, o) {
			return nil
		}
		total += r.MemoryBytes
	}
	e.memory.Peak = max(e.memory.Peak, total)
	if total > e.settings.MemoryBytes {
		e.memory.Overcommitted = true
		return fmt.Errorf("out of memory: %d of %d bytes", total, e.settings.MemoryBytes)
	}
	resident := plat.Resident{
		Model:       o.Model,
		Version:     o.Version,
		Adapter:     o.Adapter,
		MemoryBytes: o.MemoryBytes,
		Ready:       e.settings.LoadTime == 0 && e.settings.WeightStoreURL == "",
	}
	e.residents = append(e.residents, resident)
	if !resident.Ready {
		time.AfterFunc(e.settings.LoadTime, func() { e.fetchWeights(o) })
	}
	return nil
}

// isTarget reports whether a resident is the artifact of an order.
func isTarget(r plat.Resident, o plat.Order) bool {
	return r.Model == o.Model && r.Version == o.Version && r.Adapter == o.Adapter
}

const (
	// fetchTimeout bounds a single attempt to fetch weights.
	fetchTimeout = 5 * time.Minute
	// fetchRetryInterval is the time between two attempts.
	fetchRetryInterval = time.Second
)

// fetchWeights fetches weights from the weight store, if there is one, and marks
// the resident as loaded. It retries until the fetch succeeds.
func (e *Engine) fetchWeights(o plat.Order) {
	for e.settings.WeightStoreURL != "" {
		status, _, err := fasthttp.GetTimeout(nil, e.settings.WeightStoreURL+"/weights", fetchTimeout)
		if err == nil && status == fasthttp.StatusOK {
			break
		}
		e.settings.Logger.Warn().Err(err).Int("status", status).Str("model", o.Model).Msg("weights not fetched")
		time.Sleep(fetchRetryInterval)
	}
	e.markReady(o)
}

// markReady marks a resident as loaded.
func (e *Engine) markReady(o plat.Order) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	for i, r := range e.residents {
		if isTarget(r, o) {
			e.residents[i].Ready = true
		}
	}
}
