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

// EngineSettings are the constants of a fake engine.
type EngineSettings struct {
	MemoryBytes int64
	Slots       int
	ChecksFence bool
	// Residents are loaded from the start.
	Residents []plat.Resident
	// LoadTime is how long weights take to load, beside the time of the weight
	// store at the base URL Weights, if there is one.
	LoadTime       time.Duration
	WeightStoreURL string
}

// Engine is a stand-in for a model engine. Its answer to a prompt depends only
// on the model and the prompt.
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
	// freeSlots has an element for each freeSlots slot; nil is no limit.
	freeSlots chan struct{}
}

// Memory is what an engine has seen of its memory.
type Memory struct {
	Used int64 `json:"used"`
	// Peak is the most that was held or asked for at once. Overcommitted says
	// that a load went beyond the memory, which a real engine would die of.
	Peak          int64 `json:"peak"`
	Overcommitted bool  `json:"overcommitted"`
}

// NewEngine returns an engine.
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

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() fasthttp.RequestHandler {
	control := func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/engine/report":
			writeJSON(ctx, e.Report())
		case "/engine/cache":
			e.cacheEvents(ctx)
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
	return e.withFaults(control)
}

// Report returns what the engine says of itself.
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

// handleOrder takes an handleOrder to load or unload.
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

// nextOrderNumber numbers an order.
func (e *Engine) nextOrderNumber() int {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.orders++
	return e.orders
}

// isEveryNth reports whether number is a multiple of n; of 0 nothing is.
func isEveryNth(n, number int) bool { return n > 0 && number%n == 0 }

// Memory returns what the engine has seen of its memory.
func (e *Engine) Memory() Memory {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	memory := e.memory
	for _, r := range e.residents {
		memory.Used += r.MemoryBytes
	}
	return memory
}

// Execute carries an order out. Loading beyond the memory is an error that a real
// engine would die of.
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

// fetchTimeout bounds a load from the weight store.
const fetchTimeout = 5 * time.Minute

// fetchWeights gets weights from the store, if there is one, until that succeeds.
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

// completionRequest is what the engine reads of a request.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// GenerateTokens returns the engine's answer to a request.
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

// isLoaded reports whether a model, with an adapter after a colon, is loaded.
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

// completionResponse is an answer that is not a stream.
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

// sendTruncated sends half of the answer and breaks the connection.
func sendTruncated(ctx *fasthttp.RequestCtx) {
	body := append([]byte{}, ctx.Response.Body()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body[:len(body)/2])
	})
}

// streamChunk is one event of a stream.
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

// tokenReader is the body of a stream.
type tokenReader struct {
	engine  *Engine
	request completionRequest
	faults  Faults
	tokens  []string
	sent    int
	pending []byte
	done    bool
}

// errTruncated breaks the connection in the middle of a stream.
var errTruncated = errors.New("stream cut by a fault")

// Read implements io.Reader; each event is a read of its own.
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

// next makes the next event.
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
	u := usageOf(t.request)
	t.pending = append(encodeEvent(streamChunk{Usage: &u}), "data: [DONE]\n\n"...)
	t.done = true
	return nil
}

// Close implements io.Closer.
func (t *tokenReader) Close() error {
	t.engine.releaseSlot()
	return nil
}

// encodeEvent returns one encodeEvent of a stream.
func encodeEvent(chunk streamChunk) []byte {
	data, err := json.Marshal(chunk)
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "data: %s\n\n", data)
}

// acquireSlot waits for a slot.
func (e *Engine) acquireSlot() {
	if e.freeSlots != nil {
		<-e.freeSlots
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.running++
}

// releaseSlot frees a slot.
func (e *Engine) releaseSlot() {
	e.stateMu.Lock()
	e.running--
	e.stateMu.Unlock()
	if e.freeSlots != nil {
		e.freeSlots <- struct{}{}
	}
}
