package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// adapterLoadTime is how long an engine takes to load an adapter.
	adapterLoadTime = 20 * time.Millisecond
	adapterSlots    = 8
)

// worker is a stand-in of a plain worker or, if it holds models, of an engine.
type worker struct {
	id, service, address string
	born                 int64
	server               *http.Server
	store                *store
	record               *record
	// work is how long a request takes, pieces the number of events of a stream.
	work   time.Duration
	pieces int

	mu sync.Mutex
	// ran holds the requests that the worker has begun to run.
	ran map[string]time.Time
	// adapters holds the adapters of each model, accepted counts the orders.
	adapters map[string]map[string]bool
	running  map[string]int
	accepted int64
	orders   []order
}

// order is an order that has reached a worker.
type order struct {
	at     time.Time
	holder string
	fence  int64
	text   string
}

func newWorker(id, service string, s *store, r *record) *worker {
	w := &worker{
		id:       id,
		service:  service,
		born:     time.Now().UnixMilli(),
		store:    s,
		record:   r,
		ran:      make(map[string]time.Time),
		adapters: make(map[string]map[string]bool),
		running:  make(map[string]int),
	}
	listener := listen()
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

// exit ends the worker, with whatever it runs.
func (w *worker) exit() { _ = w.server.Close() }

// register writes the worker's entry to the store at regular intervals until ctx ends.
func (w *worker) register(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		w.mu.Lock()
		models := w.models()
		w.mu.Unlock()
		w.store.put(topicServers, w.id, map[string]any{
			"service": w.service, "addr": w.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
			"coldLeftMs": 0, "seq": seq, "born": w.born, "stage": "both", "models": models,
			"available": map[string]any{"inMemory": []string{}, "onDisk": []string{}},
		})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// models returns the models as the worker's entry and report list them.
func (w *worker) models() []any {
	models := []any{}
	for name, adapters := range w.adapters {
		names := []string{}
		for adapter := range adapters {
			names = append(names, adapter)
		}
		slices.Sort(names)
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": names})
	}
	return models
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.refuse(out, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusOK)
	case "/v1/report":
		w.serveReport(out)
	case "/v1/order":
		w.serveOrder(out, r)
	default:
		w.serveRequest(out, r)
	}
}

// refuse answers that the request has not run.
func (w *worker) refuse(out http.ResponseWriter, r *http.Request, status int) {
	out.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	out.Header().Set("X-Instance-Id", w.id)
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(status)
}

func (w *worker) serveRequest(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	artifact := model + "/" + adapter
	w.mu.Lock()
	adapters, held := w.adapters[model]
	if model != "" && (!held || adapter != "" && !adapters[adapter]) {
		w.mu.Unlock()
		w.refuse(out, r, http.StatusMisdirectedRequest)
		return
	}
	w.ran[id] = time.Now()
	w.running[artifact]++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running[artifact]--
		w.mu.Unlock()
	}()
	w.record.add("%s runs %s for tenant %s", w.id, id, r.Header.Get("X-Tenant"))
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("X-Server-Stamp", "stamp-"+id)
	if w.pieces > 0 {
		w.stream(out, r)
		return
	}
	select {
	case <-time.After(w.work):
		_, _ = fmt.Fprintf(out, "ran %s", id)
	case <-r.Context().Done():
		w.record.add("%s stops %s, whose connection was closed", w.id, id)
	}
}

// stream answers with events at equal distances.
func (w *worker) stream(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= w.pieces; n++ {
		select {
		case <-time.After(w.work / time.Duration(w.pieces)):
		case <-r.Context().Done():
			w.record.add("%s stops %s, whose connection was closed", w.id, r.Header.Get("X-Request-Id"))
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: piece\n\n", n)
		out.(http.Flusher).Flush()
	}
}

func (w *worker) serveReport(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(out, http.StatusOK, map[string]any{
		"stage": "both", "models": w.models(), "busy": false, "seq": w.accepted, "queued": 0, "active": 0, "kvUsed": 0,
		"kvTotal": 100000, "handles": 0, "born": w.born, "incoming": []string{},
	})
}

func (w *worker) serveOrder(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string `json:"op"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fence"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	text := strings.TrimSuffix(o.Op+" "+o.Model+"/"+o.Adapter, "/")
	w.orders = append(w.orders, order{
		at:     time.Now(),
		holder: o.Holder,
		fence:  o.Fence,
		text:   text,
	})
	status := w.apply(o.Op, o.Model, o.Adapter, o.Precondition)
	w.record.add("%s gets the order %q of %s with fence %d: %d", w.id, text, o.Holder, o.Fence, status)
	out.WriteHeader(status)
}

// apply carries out an order for an adapter; models stay as they are.
func (w *worker) apply(op, model, adapter string, precondition *int64) int {
	adapters, held := w.adapters[model]
	switch {
	case precondition != nil && *precondition != w.accepted:
		return http.StatusConflict
	case !held || adapter == "":
		return http.StatusBadRequest
	case op == "load" && adapters[adapter], op == "unload" && !adapters[adapter]:
		return http.StatusOK
	case op == "load" && w.adapterCount() >= adapterSlots:
		return http.StatusBadRequest
	case op == "unload" && w.running[model+"/"+adapter] > 0:
		return http.StatusConflict
	}
	w.accepted++
	if op == "unload" {
		delete(adapters, adapter)
		return http.StatusOK
	}
	time.AfterFunc(adapterLoadTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		adapters[adapter] = true
	})
	return http.StatusAccepted
}

func (w *worker) adapterCount() int {
	count := 0
	for _, adapters := range w.adapters {
		count += len(adapters)
	}
	return count
}

// ranAt returns when the worker began to run a request, if it did.
func (w *worker) ranAt(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ran := w.ran[id]
	return at, ran
}

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": timeoutMs,
		"sloMs": sloMs, "gapSloMs": 300, "priority": 1, "service": service, "attempts": attempts,
	}
}

// configuration returns a configuration of the operator. The keys are those of one tenant.
func configuration(version int, routes, services []any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "apiKeys": keys, "unit": "tokens", "plainTokens": 200}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 200}
}

// engineService returns a service whose workers hold one model.
func engineService(name, model string, adapters int) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 360,
		"engine": map[string]any{
			"slots": 64, "kvTokens": 130206, "weightsMb": 200000, "adapterSlots": adapterSlots, "loadsPerS": 1.1,
			"models": []any{map[string]any{
				"name": model, "weightsMb": 65100, "loadS": 7.8, "warmS": 1.2, "diskS": 1.6, "adapters": adapters, "adapterMb": 12,
			}},
		},
	}
}
