package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

const (
	modelSize   = 40
	weightSpace = 100
	loadTime    = 300 * time.Millisecond
	eventPause  = 10 * time.Millisecond
	// lateOrder is how long an order without an answer takes to act.
	lateOrder = 2500 * time.Millisecond
)

// run is a request that an endpoint began to work on.
type run struct {
	id, customer, key string
	at                time.Time
	endpoint          string
	tokens            float64
}

// order is one that an endpoint accepted.
type order struct {
	at     time.Time
	holder string
	fence  int64
}

// worker is an endpoint behind a proxy. It starts anew under another name.
type worker struct {
	w       *world
	service string
	proxy   *proxy

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	record   int
	state    string
	leftAt   time.Time
	models   []string
	accepted int64
	busy     bool
	orders   []order
}

func newWorker(t *testing.T, w *world, service string, models ...string) *worker {
	k := &worker{w: w, service: service}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: k}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	k.proxy = newProxy(t, l.Addr().String())
	k.begin(models)
	return k
}

// begin starts a new incarnation.
func (k *worker) begin(models []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.starts++
	k.id = fmt.Sprintf("%s-%s-%d", k.service, k.proxy.address(), k.starts)
	k.born = time.Now().UnixMilli()
	k.state, k.record, k.accepted, k.busy = "ready", 0, 0, false
	k.models, k.orders = slices.Clone(models), nil
	k.leftAt = time.Time{}
}

// beat writes the endpoint's record, unless it is down.
func (k *worker) beat() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state == "" {
		return
	}
	k.record++
	k.w.store.Put(fakes.TopicEndpoints, k.id, map[string]any{
		"service": k.service, "addr": k.proxy.address(), "zone": "a", "version": "v1", "slots": 8, "state": k.state,
		"coldLeftMs": 0, "seq": k.record, "born": k.born, "models": held(k.models),
	})
}

func held(models []string) []map[string]any {
	out := []map[string]any{}
	for _, m := range models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// crash ends the incarnation without a word; a new one follows.
func (k *worker) crash(down time.Duration) {
	k.mu.Lock()
	id := k.id
	k.state = ""
	k.mu.Unlock()
	k.proxy.set(refuse)
	time.AfterFunc(down, func() {
		k.w.store.Put(fakes.TopicEndpoints, id, nil)
		k.begin(k.first())
		k.proxy.set(pass)
	})
}

// drain has the incarnation leave after it said so; a new one follows.
func (k *worker) drain(stay time.Duration) {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	k.beat()
	k.mu.Lock()
	k.leftAt = time.Now()
	k.mu.Unlock()
	time.AfterFunc(stay, func() { k.crash(300 * time.Millisecond) })
}

// first returns the models of a fresh endpoint of the service.
func (k *worker) first() []string {
	if k.service == "shop" {
		return nil
	}
	return []string{"m0"}
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	id, leftAt, models := k.id, k.leftAt, slices.Clone(k.models)
	k.mu.Unlock()
	w.Header().Set(platform.HeaderRunBy, id)
	if want := r.Header.Get(platform.HeaderInstance); want != "" && want != id {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		k.report(w)
		return
	case "/v1/order":
		k.order(w, r)
		return
	}
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if model := r.Header.Get(platform.HeaderModel); model != "" && !slices.Contains(models, model) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !leftAt.IsZero() {
		k.w.book.leftLate(id, leftAt, time.Now())
	}
	if rand.IntN(20) == 0 {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.serve(w, r, id)
}

// serve runs a request.
func (k *worker) serve(w http.ResponseWriter, r *http.Request, id string) {
	tokens := 10.0
	if in, out, ok := strings.Cut(r.Header.Get(platform.HeaderTokens), ","); ok {
		a, _ := strconv.ParseFloat(in, 64)
		b, _ := strconv.ParseFloat(out, 64)
		tokens = a + b
	}
	request := r.Header.Get(platform.HeaderRequestID)
	k.w.book.ran(run{
		id: request, customer: r.Header.Get(platform.HeaderCustomer), key: r.Header.Get(platform.HeaderKey),
		at: time.Now(), endpoint: id, tokens: tokens,
	})
	w.Header().Set(platform.HeaderSignature, "stamp-"+request)
	if k.service == "shop" {
		time.Sleep(time.Duration(20+rand.IntN(100)) * time.Millisecond)
		_, _ = io.WriteString(w, "ran "+request)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	for i := from + 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, request)
		w.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}

func (k *worker) report(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": held(k.models), "busy": k.busy, "seq": k.accepted, "born": k.born,
	})
}

// order takes an order as the pages say, or late and without an answer.
func (k *worker) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Holder   string
		Precondition, Fence int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.w.book.ordered(k.name(), order{at: time.Now(), holder: o.Holder, fence: o.Fence})
	if k.w.lateOrders.Load() {
		starts := k.starts
		time.AfterFunc(lateOrder, func() {
			if k.starts == starts {
				k.accept(o.Op, o.Model, o.Precondition)
			}
		})
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(k.accept(o.Op, o.Model, o.Precondition))
}

func (k *worker) name() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id
}

func (k *worker) accept(op, model string, precondition int64) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	there := slices.Contains(k.models, model)
	switch {
	case precondition != k.accepted || k.busy:
		return http.StatusConflict
	case there == (op == "load"):
		return http.StatusOK
	}
	k.accepted++
	if op == "unload" {
		k.models = slices.DeleteFunc(k.models, func(m string) bool { return m == model })
		return http.StatusAccepted
	}
	if (len(k.models)+1)*modelSize > weightSpace {
		k.w.book.broken("LIMIT: %s is ordered to hold %v and %s", k.id, k.models, model)
	}
	k.busy = true
	id := k.id
	time.AfterFunc(loadTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.id == id {
			k.busy = false
			k.models = append(k.models, model)
		}
	})
	return http.StatusAccepted
}
