package fakes

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Service is a fake of a plain service. Each response contains the number of the
// call, which makes repeated executions visible.
type Service struct {
	fakeServer
	runs atomic.Int64
}

// NewService returns a Service that has executed no calls.
func NewService() *Service { return &Service{} }

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() fasthttp.RequestHandler { return s.withFaults(s.handle) }

// Runs returns the number of calls executed.
func (s *Service) Runs() int { return int(s.runs.Load()) }

// serviceResponse is the response body of a call.
type serviceResponse struct {
	Run  int64  `json:"run"`
	Path string `json:"path"`
	Echo string `json:"echo"`
}

// handle executes a call.
func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	faults := s.currentFaults()
	s.recordRequest(ctx)
	time.Sleep(time.Duration(faults.TokenMs) * time.Millisecond)
	if faults.Fail {
		ctx.Error(`{"error":{"code":"service_failed"}}`, fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(ctx, serviceResponse{
		Run:  s.runs.Add(1),
		Path: string(ctx.Path()),
		Echo: string(ctx.PostBody()),
	})
	if faults.CutAfter > 0 {
		sendTruncated(ctx)
	}
}
