// Package fakes implements simple fakes of the platform's services and of
// endpoints, for tests, the demo and local trials. Each is an HTTP handler in
// which faults can be injected through POST /fake/faults.
package fakes

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults selects the faults to inject into a fake. The zero value injects none.
type Faults struct {
	// Down rejects every request with status 503.
	Down bool `json:"down"`
	// DelayMs delays the handling of every request.
	DelayMs int `json:"delayMs"`
	// LoseAnswers closes the connection instead of sending the response, after
	// the request has taken effect.
	LoseAnswers bool `json:"loseAnswers"`
	// Fail makes calls fail with status 500.
	Fail bool `json:"fail"`
	// Endless makes responses go on until the caller closes the connection.
	Endless bool `json:"endless"`
	// CutAfter truncates a stream after that many tokens. Any positive value
	// truncates responses that are not streams.
	CutAfter int `json:"cutAfter"`
	// TokenMs is the time that an engine takes per token, and a service per
	// call.
	TokenMs int `json:"tokenMs"`
	// LoseOrders drops orders. DelayOrdersMs delays their execution.
	LoseOrders    bool `json:"loseOrders"`
	DelayOrdersMs int  `json:"delayOrdersMs"`
	// LoseOrdersEvery drops the orders whose number is a multiple of it.
	// DelayOrdersEvery restricts the delay to the orders whose number is a
	// multiple of it, so that orders are reordered.
	LoseOrdersEvery  int `json:"loseOrdersEvery"`
	DelayOrdersEvery int `json:"delayOrdersEvery"`
	// DoubleOrders executes delayed orders twice: at once and after
	// DelayOrdersMs.
	DoubleOrders bool `json:"doubleOrders"`
}

// Request is a request received by a fake.
type Request struct {
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Query   string            `json:"query"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// fakeServer holds the injected faults and the received requests. It is embedded
// in all fakes.
type fakeServer struct {
	// mu guards the other fields.
	mu       sync.Mutex
	faults   Faults
	requests []Request
}

// maxRequests bounds the number of recorded requests. The oldest are dropped.
const maxRequests = 10_000

// SetFaults replaces the injected faults.
func (s *fakeServer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Requests returns the recorded requests, the oldest first.
func (s *fakeServer) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request{}, s.requests...)
}

// currentFaults returns the injected faults.
func (s *fakeServer) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// recordRequest records a request for GET /fake/requests.
func (s *fakeServer) recordRequest(ctx *fasthttp.RequestCtx) {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	if extra := len(s.requests) - maxRequests; extra > 0 {
		s.requests = s.requests[extra:]
	}
}

// withFaults wraps a fake's handler. It serves the control paths and injects the
// faults that all fakes have in common.
func (s *fakeServer) withFaults(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/fake/requests":
			writeJSON(ctx, s.Requests())
			return
		case "/fake/faults":
			s.handleFaults(ctx)
			return
		}
		faults := s.currentFaults()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if faults.Down {
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
			return
		}
		handler(ctx)
		if faults.Endless {
			ctx.SetBodyStreamWriter(writeEndless)
		}
		if faults.LoseAnswers {
			_ = ctx.Conn().Close() // the client receives no response
		}
	}
}

// handleFaults handles POST /fake/faults.
func (s *fakeServer) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// writeEndless writes until the connection is closed.
func writeEndless(w *bufio.Writer) {
	noise := bytes.Repeat([]byte("noise\n"), 1000)
	for {
		if _, err := w.Write(noise); err != nil {
			return // the client has disconnected
		}
	}
}

// writeJSON writes a response body in JSON.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// sendTruncated sends half of the response body and closes the connection.
func sendTruncated(ctx *fasthttp.RequestCtx) {
	body := append([]byte{}, ctx.Response.Body()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		// An error means that the client has disconnected, which ends the response too.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body[:len(body)/2])
	})
}
