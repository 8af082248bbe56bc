package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

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
}

// Engine is a fake of a model engine. Its output for a prompt depends only on the
// model and the prompt.
type Engine struct {
	fakeServer
	settings EngineSettings

	stateMu   sync.Mutex
	residents []plat.Resident
	running   int
	sequence  uint64
	fence     uint64
	orders    int
	memory    Memory
	cache     prefixCache
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
		case "/v1/completions", "/v1/chat/completions":
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
	delayed := faults.DelayOrdersMs > 0 && (faults.DelayOrdersEvery == 0 || isEveryNth(faults.DelayOrdersEvery, number))
	if delayed {
		time.AfterFunc(time.Duration(faults.DelayOrdersMs)*time.Millisecond, func() { _ = e.Execute(o) })
		if !faults.DoubleOrders {
			return
		}
	}
	if err := e.Execute(o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	}
}

// nextOrderNumber returns the number of the next order, starting at 1.
func (e *Engine) nextOrderNumber() int {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.orders++
	return e.orders
}

// isEveryNth reports whether number is a multiple of n. It is false for n = 0.
func isEveryNth(n, number int) bool { return n > 0 && number%n == 0 }

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

func (e *Engine) load(o plat.Order) error {
	total := o.MemoryBytes
	for _, r := range e.residents {
		if r.Model == o.Model && r.Version == o.Version && r.Adapter == o.Adapter {
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

// fetchTimeout bounds a single attempt to fetch weights.
const fetchTimeout = 5 * time.Minute

// fetchWeights fetches weights from the weight store, if there is one, and marks
// the resident as loaded. It retries until the fetch succeeds.
func (e *Engine) fetchWeights(o plat.Order) {
	for e.settings.WeightStoreURL != "" {
		status, _, err := fasthttp.GetTimeout(nil, e.settings.WeightStoreURL+"/weights", fetchTimeout)
		if err == nil && status == fasthttp.StatusOK {
			break
		}
		time.Sleep(time.Second)
	}
	e.markReady(o)
}

// markReady marks a resident as loaded.
func (e *Engine) markReady(o plat.Order) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	for i, r := range e.residents {
		if r.Model == o.Model && r.Version == o.Version && r.Adapter == o.Adapter {
			e.residents[i].Ready = true
		}
	}
}

// completionRequest holds the fields of a completion request that the engine
// uses.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// GenerateTokens returns limit tokens that depend only on the model and the
// prompt.
func GenerateTokens(model, prompt string, limit int) []string {
	words := []string{"hoodie", "tour", "size", "booth", "order", "queue", "venue", "note"}
	hash := uint32(2166136261)
	for _, b := range []byte(model + "\x00" + prompt) {
		hash = (hash ^ uint32(b)) * 16777619
	}
	tokens := make([]string, limit)
	for i := range tokens {
		hash = hash*1664525 + 1013904223
		tokens[i] = words[hash>>29] + " "
	}
	return tokens
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = 16
	}
	if r.Prompt == "" {
		r.Prompt = string(r.Messages)
	}
	faults := e.currentFaults()
	if faults.Fail {
		ctx.Error(`{"error":{"code":"engine_failed"}}`, fasthttp.StatusInternalServerError)
		return
	}
	if !e.isLoaded(r.Model) {
		ctx.Response.Header.Set("Endpoint-Not-Run", "1")
		ctx.Error(`{"error":{"code":"not_loaded"}}`, fasthttp.StatusConflict)
		return
	}
	e.acquireSlot()
	e.cache.store(r.Model, ctx.PostBody())
	if r.Stream {
		e.writeStream(ctx, r, faults)
		return
	}
	e.writeCompletion(ctx, r, faults)
}

// isLoaded reports whether a model is loaded, with the adapter that may follow the
// name after a colon.
func (e *Engine) isLoaded(name string) bool {
	model, adapter, _ := strings.Cut(name, ":")
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	for _, r := range e.residents {
		if r.Ready && r.Model == model && r.Adapter == adapter {
			return true
		}
	}
	return false
}

// completionResponse is the response body of a completion that is not streamed.
type completionResponse struct {
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Text string `json:"text"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func usageOf(r completionRequest) usage {
	return usage{
		PromptTokens:     len(strings.Fields(r.Prompt)),
		CompletionTokens: r.MaxTokens,
	}
}

func (e *Engine) writeCompletion(ctx *fasthttp.RequestCtx, r completionRequest, faults Faults) {
	defer e.releaseSlot()
	time.Sleep(time.Duration(faults.TokenMs*r.MaxTokens) * time.Millisecond)
	writeJSON(ctx, completionResponse{
		Model:   r.Model,
		Choices: []choice{{Text: strings.Join(GenerateTokens(r.Model, r.Prompt, r.MaxTokens), "")}},
		Usage:   usageOf(r),
	})
	if faults.CutAfter > 0 {
		sendTruncated(ctx)
	}
}

// sendTruncated sends half of the response body and closes the connection.
func sendTruncated(ctx *fasthttp.RequestCtx) {
	body := append([]byte{}, ctx.Response.Body()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body[:len(body)/2])
	})
}

// streamChunk is the data of an event in a stream.
type streamChunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, r completionRequest, faults Faults) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&tokenReader{
		engine:  e,
		request: r,
		faults:  faults,
		tokens:  GenerateTokens(r.Model, r.Prompt, r.MaxTokens),
	}, -1)
}

// tokenReader generates the body of a streamed response.
type tokenReader struct {
	engine  *Engine
	request completionRequest
	faults  Faults
	tokens  []string
	sent    int
	pending []byte
	done    bool
}

// errTruncated makes the server close the connection in the middle of a stream.
var errTruncated = errors.New("stream truncated by an injected fault")

// Read implements io.Reader. It returns data of at most one event.
func (t *tokenReader) Read(p []byte) (int, error) {
	if len(t.pending) == 0 {
		if err := t.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, t.pending)
	t.pending = t.pending[n:]
	return n, nil
}

// next generates the next event. The last one also contains the end marker.
func (t *tokenReader) next() error {
	if t.done {
		return io.EOF
	}
	if t.faults.CutAfter > 0 && t.sent == t.faults.CutAfter {
		return errTruncated
	}
	if t.sent < len(t.tokens) {
		time.Sleep(time.Duration(t.faults.TokenMs) * time.Millisecond)
		t.pending = encodeEvent(streamChunk{Choices: []choice{{Text: t.tokens[t.sent]}}})
		t.sent++
		return nil
	}
	total := usageOf(t.request)
	t.pending = append(encodeEvent(streamChunk{Usage: &total}), "data: [DONE]\n\n"...)
	t.done = true
	return nil
}

// Close implements io.Closer.
func (t *tokenReader) Close() error {
	t.engine.releaseSlot()
	return nil
}

// encodeEvent returns a chunk encoded as a server-sent event.
func encodeEvent(chunk streamChunk) []byte {
	data, err := json.Marshal(chunk)
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "data: %s\n\n", data)
}

// acquireSlot waits for a free slot and counts a running request.
func (e *Engine) acquireSlot() {
	if e.freeSlots != nil {
		<-e.freeSlots
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.running++
}

// releaseSlot releases a slot acquired by acquireSlot.
func (e *Engine) releaseSlot() {
	e.stateMu.Lock()
	e.running--
	e.stateMu.Unlock()
	if e.freeSlots != nil {
		e.freeSlots <- struct{}{}
	}
}
