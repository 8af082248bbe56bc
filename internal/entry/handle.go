package entry

import (
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// handleRequest serves one HTTP request.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	if s.stopping.Load() {
		ctx.SetConnectionClose() // let the caller reconnect to another entry
	}
	if hasFoldedHeader(ctx) {
		ctx.SetConnectionClose() // the following bytes may belong to this request
		writeError(ctx, fault.New(fault.NotRun, fault.CodeBadRequest, "a header field goes on in the next line"))
		return
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.serveReadyz(ctx)
	case "/v1/models":
		s.serveModels(ctx)
	default:
		s.serveCall(ctx)
	}
}

// serveReadyz tells the platform's load balancer whether to send requests to
// this entry.
func (s *Server) serveReadyz(ctx *fasthttp.RequestCtx) {
	if !s.ready.Load() {
		writeError(ctx, fault.New(fault.NotRun, fault.CodeNotReady, "not ready"))
		return
	}
	ctx.SetBodyString("ready\n")
}

// serveCall serves a call from its request to its response.
func (s *Server) serveCall(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(headerRequestID, id)
	started := time.Now()
	snapshot := s.index.Load()
	if snapshot == nil {
		err := fault.New(fault.NotRun, fault.CodeNotReady, "this entry has no configuration yet")
		writeError(ctx, fault.WithRetryAfter(err, time.Second))
		return
	}
	memory, err := s.readBody(ctx)
	var request *resolvedRequest
	if err == nil {
		request, err = resolveRequest(started, snapshot, id, ctx)
	}
	if err != nil {
		memory.Release()
		writeError(ctx, err)
		s.recordEnd(&exchange{
			resolvedRequest: &resolvedRequest{call: Call{ID: id}},
			started:         started,
		}, err)
		return
	}
	ex := &exchange{
		resolvedRequest: request,
		ctx:             ctx,
		conn:            ctx.Conn(),
		started:         started,
		memory:          memory,
		effects:         make(chan Effect, 1),
		latencyTarget:   snapshot.Config.Services[request.call.Route.Service].Target,
	}
	s.register(ex)
	s.loop.Post(CallArrived{Call: request.call})
	s.runExchange(ex)
}

// runExchange performs the reducer's effects for a call until the call is
// answered.
func (s *Server) runExchange(ex *exchange) {
	for {
		var effect Effect
		select {
		case effect = <-ex.effects:
		case <-s.loop.Done():
			effect = FailCall{
				ID:  ex.call.ID,
				Err: fault.New(fault.MayHaveRun, fault.CodeLeaving, "this entry was stopped"),
			}
		}
		switch e := effect.(type) {
		case FailCall:
			writeError(ex.ctx, e.Err)
			s.endExchange(ex, e.Err)
			return
		case SendAttempt:
			if s.runAttempt(ex, e) {
				return
			}
		case DeliverOutcome:
			s.writeOutcome(ex, e.Report)
			return
		}
	}
}

// writeOutcome responds with an outcome that was queried from the agent.
func (s *Server) writeOutcome(ex *exchange, report *wirepb.OutcomeReport) {
	writeResponseHead(ex.ctx, &wirepb.Head{
		Status: report.GetStatus(),
		Headers: []*wirepb.Header{{
			Name:  fasthttp.HeaderContentType,
			Value: report.GetContentType(),
		}},
	})
	ex.ctx.SetBody(report.GetBody())
	s.endExchange(ex, nil)
}
