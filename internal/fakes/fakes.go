// Package fakes holds small stand-ins for the platform and the endpoints, for
// tests, the demo and people who try the program. Each is an HTTP handler that
// can be told to misbehave through POST /fake/faults.
package fakes

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults says how a fake misbehaves. The zero value is no fault.
type Faults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// DelayMs delays every answer.
	DelayMs int `json:"delayMs"`
	// LoseAnswers drops the connection after a request took effect.
	LoseAnswers bool `json:"loseAnswers"`
	// Fail answers calls with status 500.
	Fail bool `json:"fail"`
	// CutAfter cuts a stream after that many tokens, or any whole answer.
	CutAfter int `json:"cutAfter"`
	// TokenMs is the time that an engine takes for each token.
	TokenMs int `json:"tokenMs"`
	// LoseOrders drops orders, DelayOrdersMs makes them act late.
	LoseOrders    bool `json:"loseOrders"`
	DelayOrdersMs int  `json:"delayOrdersMs"`
	// LoseOrdersEvery drops each order whose number is a multiple of it,
	// DelayOrdersEvery delays only those, so that orders overtake each other.
	LoseOrdersEvery  int `json:"loseOrdersEvery"`
	DelayOrdersEvery int `json:"delayOrdersEvery"`
	// DoubleOrders makes orders act at once and again DelayOrdersMs later.
	DoubleOrders bool `json:"doubleOrders"`
}

// Request is one request that a fake has received.
type Request struct {
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Query   string            `json:"query"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// fakeServer is what all fakes share: faults and the list of requests.
type fakeServer struct {
	mu       sync.Mutex
	faults   Faults
	requests []Request
}

// maxRequests bounds the list of requests; the oldest are dropped.
const maxRequests = 10_000

// SetFaults replaces the faults.
func (b *fakeServer) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Requests returns what was received.
func (b *fakeServer) Requests() []Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Request{}, b.requests...)
}

func (b *fakeServer) currentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func (b *fakeServer) recordRequest(ctx *fasthttp.RequestCtx) {
	r := Request{
		Method:  string(ctx.Method()),
		Path:    string(ctx.Path()),
		Query:   string(ctx.URI().QueryString()),
		Headers: make(map[string]string),
		Body:    string(ctx.PostBody()),
	}
	for name, value := range ctx.Request.Header.All() {
		r.Headers[string(name)] = string(value)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
	if extra := len(b.requests) - maxRequests; extra > 0 {
		b.requests = b.requests[extra:]
	}
}

// withFaults serves the control paths of a fake and applies the faults that are the
// same for all of them.
func (b *fakeServer) withFaults(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/fake/requests":
			writeJSON(ctx, b.Requests())
			return
		case "/fake/faults":
			var f Faults
			if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			b.SetFaults(f)
			return
		}
		faults := b.currentFaults()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if faults.Down {
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
			return
		}
		handler(ctx)
		if faults.LoseAnswers {
			_ = ctx.Conn().Close() // the client sees a lost answer
		}
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
