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
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

const (
	modelSizeMB      = 40
	weightCapacityMB = 100
	loadTime         = 300 * time.Millisecond
	eventInterval    = 10 * time.Millisecond
	// delayedOrderTime is the time after which an unanswered order takes effect.
	delayedOrderTime = 2500 * time.Millisecond
)

// execution is a request that an endpoint started to process.
type execution struct {
	id, customer, key string
	at                time.Time
	endpoint          string
	tokens            float64
}

// receivedOrder is an order that an endpoint received.
type receivedOrder struct {
	at           time.Time
	leaseHolder  string
	fencingToken int64
}

// fakeEndpoint is a fake endpoint behind a proxy. It gets a new ID at each
// restart.
type fakeEndpoint struct {
	env     *environment
	service string
	proxy   *proxy

	mu         sync.Mutex
	id         string
	startCount int
	version    string
	// release is the version of each start, "" if each start draws one.
	release        string
	incarnation    int64
	recordSequence int
	state          string
	drainingSince  time.Time
	models         []string
	acceptedOrders int64
	loading        bool
	// limit is the limit that the endpoint names in its answers, in requests per
	// second, 0 if it names none.
	limit  float64
	orders []receivedOrder
	// spare is true while the endpoint is down for good, until a roll starts it.
	spare atomic.Bool
	// loadedAt is the time by which an engine of drafts can have loaded a model.
	loadedAt time.Time
	// slowUntil is the time until which an engine reads prompts slowly. It reads one
	// prompt at a time, under reading.
	slowUntil time.Time
	reading   sync.Mutex
}

func newFakeEndpoint(t *testing.T, env *environment, service string, models ...string) *fakeEndpoint {
	ep := &fakeEndpoint{env: env, service: service}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:     ep,
		ConnContext: withRefusals,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	if service == "shop" || service == "llm" {
		ep.proxy = newProxy(t, listener.Addr().String())
	} else {
		ep.proxy = newProxyAt(t, listenOnFreePort(t), listener.Addr().String())
		ep.proxy.closesPort = true
	}
	ep.start(models)
	return ep
}

// start starts a new incarnation.
func (ep *fakeEndpoint) start(models []string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.startCount++
	ep.id = fmt.Sprintf("%s-%s-%d", ep.service, ep.proxy.address(), ep.startCount)
	ep.incarnation = time.Now().UnixMilli()
	if ep.version = ep.release; ep.release == "" {
		ep.version = softwareVersions[rand.IntN(len(softwareVersions))]
	}
	ep.state, ep.recordSequence, ep.acceptedOrders, ep.loading = "ready", 0, 0, false
	ep.models, ep.orders, ep.limit = slices.Clone(models), nil, 0
	ep.loadedAt = time.Now().Add(firstOrderTime + ep.env.draftLoadTime)
	ep.drainingSince = time.Time{}
}

// publishRecord writes the endpoint's record to the store, unless the endpoint is
// down.
func (ep *fakeEndpoint) publishRecord() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.state == "" {
		return
	}
	ep.recordSequence++
	ep.env.store.Put(fakes.TopicEndpoints, ep.id, map[string]any{
		"service": ep.service, "addr": ep.proxy.address(), "zone": "a", "version": ep.version, "slots": 8, "state": ep.state,
		"coldLeftMs": 0, "seq": ep.recordSequence, "born": ep.incarnation, "models": modelEntries(ep.models),
	})
}

func modelEntries(models []string) []map[string]any {
	out := []map[string]any{}
	for _, m := range models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// crash stops the incarnation without notice and starts a new one after downtime.
func (ep *fakeEndpoint) crash(downtime time.Duration) {
	ep.mu.Lock()
	id := ep.id
	ep.state = ""
	ep.mu.Unlock()
	ep.proxy.setMode(refuseConns)
	time.AfterFunc(downtime, func() {
		ep.env.store.Put(fakes.TopicEndpoints, id, nil)
		ep.start(ep.initialModels())
		ep.proxy.setMode(forwardAll)
	})
}

// drain announces that the incarnation is draining, stops it after duration and
// starts a new one.
func (ep *fakeEndpoint) drain(duration time.Duration) {
	ep.announceDraining()
	time.AfterFunc(duration, func() { ep.crash(300 * time.Millisecond) })
}

// announceDraining announces that the incarnation is draining.
func (ep *fakeEndpoint) announceDraining() {
	ep.mu.Lock()
	ep.state = "draining"
	ep.mu.Unlock()
	ep.publishRecord()
	ep.mu.Lock()
	ep.drainingSince = time.Now()
	ep.mu.Unlock()
}

// initialModels returns the models that an endpoint of the service has loaded at
// its start.
func (ep *fakeEndpoint) initialModels() []string {
	if ep.service == "llm" {
		return []string{"m0"}
	}
	return nil
}

func (ep *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ep.mu.Lock()
	id, drainingSince, models, version := ep.id, ep.drainingSince, slices.Clone(ep.models), ep.version
	limit := ep.limit
	ep.mu.Unlock()
	w.Header().Set(platform.HeaderInstanceID, id)
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != id {
		refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		ep.serveReport(w)
		return
	case "/v1/order":
		ep.serveOrder(w, r)
		return
	}
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if limit > 0 {
		ep.env.history.recordLimited(id, limit)
		w.Header().Set(platform.HeaderLimit, strconv.FormatFloat(limit, 'f', 1, 64))
	}
	if model := r.Header.Get(platform.HeaderModel); model != "" && !slices.Contains(models, model) {
		refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	if !drainingSince.IsZero() {
		ep.env.history.checkDrain(id, drainingSince, time.Now())
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	if ep.crashOnRequest(w, r, id) {
		return
	}
	if rand.IntN(20) == 0 {
		if rand.IntN(2) == 0 {
			w.Header().Set(platform.HeaderRetryAfter, "0.7")
		}
		refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	repeatRefusal(r)
	ep.serve(w, r, id, version)
}

// serve records and executes a request.
func (ep *fakeEndpoint) serve(w http.ResponseWriter, r *http.Request, id, version string) {
	tokens := 10.0
	if prompt, completion, ok := strings.Cut(r.Header.Get(platform.HeaderTokenUsage), ","); ok {
		promptTokens, _ := strconv.ParseFloat(prompt, 64)
		completionTokens, _ := strconv.ParseFloat(completion, 64)
		tokens = promptTokens + completionTokens
	}
	requestID := r.Header.Get(platform.HeaderRequestID)
	ep.env.history.recordExecution(execution{
		id: requestID, customer: r.Header.Get(platform.HeaderCustomer), key: r.Header.Get(platform.HeaderAPIKey),
		at: time.Now(), endpoint: id, tokens: tokens,
	})
	if rand.IntN(endlessOdds) == 0 {
		ep.env.history.checkEndless(sendEndless(w, requestID))
		return
	}
	if rand.IntN(malformedOdds) == 0 {
		sendMalformed(w, requestID)
		return
	}
	w.Header().Set(platform.HeaderServerStamp, "stamp-"+requestID)
	if ep.service == "shop" || ep.service == kioskService {
		time.Sleep(time.Duration(20+rand.IntN(100)) * time.Millisecond)
		a := newAnswerWriter(w)
		defer a.end()
		_, _ = io.WriteString(a.body, "ran "+requestID)
		return
	}
	if isPoison(r.Header.Get(platform.HeaderPromptPrefix)) {
		ep.crashOnPrompt(w, id)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	ep.readPrompt()
	ep.serveStream(w, requestID, version, from)
}

func (ep *fakeEndpoint) serveReport(w http.ResponseWriter) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": modelEntries(ep.models), "busy": ep.loading, "seq": ep.acceptedOrders, "born": ep.incarnation,
	})
}

// serveOrder executes an order as the platform's documentation specifies or,
// while delayOrders is set, later and without a response.
func (ep *fakeEndpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Holder   string
		Precondition, Fence int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep.env.history.recordOrder(ep.currentID(), receivedOrder{at: time.Now(), leaseHolder: o.Holder, fencingToken: o.Fence})
	if ep.env.delayOrders.Load() {
		startCount := ep.startCount
		time.AfterFunc(delayedOrderTime, func() {
			if ep.startCount == startCount {
				ep.applyOrder(o.Op, o.Model, o.Precondition)
			}
		})
		panic(http.ErrAbortHandler)
	}
	repeatRefusal(r)
	status := ep.applyOrder(o.Op, o.Model, o.Precondition)
	if status == http.StatusConflict {
		rememberRefusal(r, status)
	}
	w.WriteHeader(status)
}

func (ep *fakeEndpoint) currentID() string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.id
}

func (ep *fakeEndpoint) currentVersion() string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.version
}

func (ep *fakeEndpoint) applyOrder(op, model string, precondition int64) int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	loaded := slices.Contains(ep.models, model)
	switch {
	case precondition != ep.acceptedOrders || ep.loading:
		return http.StatusConflict
	case loaded == (op == "load"):
		return http.StatusOK
	}
	ep.acceptedOrders++
	if op == "unload" {
		ep.models = slices.DeleteFunc(ep.models, func(m string) bool { return m == model })
		return http.StatusAccepted
	}
	if (len(ep.models)+1)*modelSizeMB > weightCapacityMB {
		ep.env.history.addViolation("LIMIT: %s has %v loaded and was ordered to load %s", ep.id, ep.models, model)
	}
	ep.loading = true
	id := ep.id
	duration := loadTime
	if ep.service == draftService {
		duration = ep.env.draftLoadTime
	}
	time.AfterFunc(duration, func() {
		ep.mu.Lock()
		defer ep.mu.Unlock()
		if ep.id == id {
			ep.loading = false
			ep.models = append(ep.models, model)
		}
	})
	return http.StatusAccepted
}
