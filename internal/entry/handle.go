package entry

import (
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 16 << 20

// exchange is one caller's request and its answer.
type exchange struct {
	*resolved
	ctx      *fasthttp.RequestCtx
	conn     net.Conn
	started  time.Time
	commands chan Effect
	host     string
	attempts int
	// target, first and events tell whether the service's target is met.
	target config.Target
	first  time.Duration
	events int

	mu       sync.Mutex
	open     *wire.Call
	canceled error
}

// cancel ends the running attempt with an error for the caller.
func (x *exchange) cancel(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = err
	if x.open != nil {
		_ = x.open.Close() // the reader sees the end
	}
}

// attach notes the stream of the running attempt.
func (x *exchange) attach(call *wire.Call) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open = call
	return x.canceled
}

// cause returns why an attempt was canceled, or else err.
func (x *exchange) cause(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil && x.canceled != nil {
		return x.canceled
	}
	return err
}

// handle serves one request of a caller.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.stopping.Load() {
		ctx.SetConnectionClose() // the caller's next request goes elsewhere
	}
	if folded(ctx) {
		ctx.SetConnectionClose() // what follows may be part of this request
		writeError(ctx, fault.New(fault.NotRun, fault.CodeBadRequest, "a header field goes on in the next line"))
		return
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.readyz(ctx)
	case "/v1/models":
		s.models(ctx)
	default:
		s.serveCall(ctx)
	}
}

// readyz tells the platform's balancer whether to send requests here.
func (s *Server) readyz(ctx *fasthttp.RequestCtx) {
	if !s.ready.Load() {
		writeError(ctx, fault.New(fault.NotRun, fault.CodeNotReady, "not ready"))
		return
	}
	ctx.SetBodyString("ready\n")
}

// serveCall takes a call from its request to its answer.
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
	r, err := resolve(started, snapshot, id, ctx)
	if err != nil {
		writeError(ctx, err)
		s.record(&exchange{
			resolved: &resolved{call: Call{ID: id}},
			started:  started,
		}, err)
		return
	}
	x := &exchange{
		resolved: r,
		ctx:      ctx,
		conn:     ctx.Conn(),
		started:  started,
		commands: make(chan Effect, 1),
		target:   snapshot.Text.Services[r.call.Route.Service].Target,
	}
	s.register(x)
	s.loop.Post(Arrived{Call: r.call})
	s.follow(x)
}

// follow carries out the reducer's commands until the call has its answer.
func (s *Server) follow(x *exchange) {
	for {
		var command Effect
		select {
		case command = <-x.commands:
		case <-s.loop.Done():
			command = Refuse{
				ID:  x.call.ID,
				Err: fault.New(fault.MayHaveRun, fault.CodeLeaving, "this entry was stopped"),
			}
		}
		switch e := command.(type) {
		case Refuse:
			writeError(x.ctx, e.Err)
			s.end(x, e.Err)
			return
		case Send:
			if s.attempt(x, e) {
				return
			}
		case Deliver:
			s.deliver(x, e.Report)
			return
		}
	}
}

// attempt sends a call to an agent. It returns true if the answer, whole or as
// a stream, is on its way to the caller.
func (s *Server) attempt(x *exchange, e Send) bool {
	x.host, x.attempts = e.Host, e.Attempt
	call, head, err := s.open(x, e)
	if err != nil {
		s.failed(x, e, err)
		return false
	}
	if x.request.GetStream() && head.GetStatus() == fasthttp.StatusOK {
		s.stream(x, e, call, head)
		return true
	}
	defer func() { _ = call.Close() }()
	body, end, err := collect(call, x.call.Deadline, maxAnswerBytes)
	if err != nil {
		s.failed(x, e, x.cause(err))
		return false
	}
	s.loop.Post(Answered{
		ID:      x.call.ID,
		Attempt: e.Attempt,
		Outcome: Outcome{
			Verdict: fault.Ran,
			Used:    usedBy(x, head, end),
		},
	})
	writeHead(x.ctx, head)
	x.ctx.SetBody(body)
	s.end(x, nil)
	return true
}

// deliver answers with an outcome that was asked for.
func (s *Server) deliver(x *exchange, report *wirepb.OutcomeReport) {
	writeHead(x.ctx, &wirepb.Head{
		Status: report.GetStatus(),
		Headers: []*wirepb.Header{{
			Name:  fasthttp.HeaderContentType,
			Value: report.GetContentType(),
		}},
	})
	x.ctx.SetBody(report.GetBody())
	s.end(x, nil)
}

// open sends the request and waits for the head of the answer.
func (s *Server) open(x *exchange, e Send) (*wire.Call, *wirepb.Head, error) {
	session := s.session(e.Host, e.Incarnation)
	if session == nil {
		return nil, nil, fault.New(fault.NotRun, fault.CodeLink, "the session to the endpoint is gone")
	}
	call, err := session.OpenCall()
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.NotRun, fault.CodeLink)
	}
	if err := x.attach(call); err != nil {
		_ = call.Close()
		return nil, nil, fault.Wrap(err, fault.NotRun, fault.CodeOf(err))
	}
	head, err := s.request(x, e, call)
	if err != nil {
		_ = call.Close()
		return nil, nil, x.cause(err)
	}
	return call, head, nil
}

func (s *Server) request(x *exchange, e Send, call *wire.Call) (*wirepb.Head, error) {
	left := time.Until(x.call.Deadline)
	if left <= 0 {
		return nil, fault.New(fault.NotRun, fault.CodeDeadline, "the deadline has passed")
	}
	x.request.Attempt = uint32(e.Attempt)
	x.request.Entry = s.options.Hello.GetHost()
	x.request.EntryIncarnation = e.EntryIncarnation
	x.request.AgentIncarnation = e.Incarnation
	x.request.TimeoutMs = uint32(left.Milliseconds()) + 1
	x.request.Weight = e.Weight
	x.request.ConfigOffset = e.ConfigOffset
	x.request.CachedTokens = uint32(e.Cached)
	x.request.Version = e.Version
	if err := call.SetDeadline(x.call.Deadline); err != nil {
		return nil, fault.Wrap(err, fault.NotRun, fault.CodeLink)
	}
	if err := call.SendRequest(x.request); err != nil {
		return nil, linkError(err, x.call.Deadline)
	}
	frame, err := receive(call, x.call.Deadline)
	if err != nil {
		return nil, err
	}
	head := frame.GetHead()
	if head == nil {
		return nil, fault.New(fault.MayHaveRun, fault.CodeLink, "the answer has no head")
	}
	return head, nil
}

// failed tells the reducer that an attempt brought no answer.
func (s *Server) failed(x *exchange, e Send, err error) {
	s.loop.Post(Answered{
		ID:      x.call.ID,
		Attempt: e.Attempt,
		Outcome: Outcome{
			Verdict: fault.VerdictOf(err),
			Err:     err,
			Holder:  holderOf(err),
		},
	})
}

// stream lets the server pass frames to the caller as they come.
func (s *Server) stream(x *exchange, e Send, call *wire.Call, head *wirepb.Head) {
	writeHead(x.ctx, head)
	x.ctx.SetBodyStream(&streamReader{
		call:     call,
		deadline: x.call.Deadline,
		first: func() {
			s.metrics.firstToken(x, time.Since(x.started))
			s.loop.Post(Begun{
				ID:      x.call.ID,
				Attempt: e.Attempt,
			})
		},
		cause: x.cause,
		finish: func(err error, end *wirepb.End, events int) {
			err = x.cause(err)
			x.events = events
			s.loop.Post(Answered{
				ID:      x.call.ID,
				Attempt: e.Attempt,
				Outcome: Outcome{
					Verdict: fault.VerdictOf(err),
					Err:     err,
					Passed:  true,
					Used:    used(x, end, events),
				},
			})
			s.end(x, err)
		},
	}, -1)
}

// usedBy returns what a call has cost in tokens, nothing if it did not run
// again.
func usedBy(x *exchange, head *wirepb.Head, end *wirepb.End) float64 {
	for _, h := range head.GetHeaders() {
		if h.GetName() == wire.HeaderReplayed {
			return 0
		}
	}
	return used(x, end, 0)
}

// used returns what a call has cost in tokens.
func used(x *exchange, end *wirepb.End, events int) float64 {
	if x.request.GetModel() == "" {
		return x.call.Tokens
	}
	if end == nil {
		return float64(int(x.request.GetPromptTokens()) + events)
	}
	if end.GetPromptTokens() == 0 {
		return float64(x.request.GetPromptTokens() + end.GetCompletionTokens())
	}
	return float64(end.GetPromptTokens() + end.GetCompletionTokens())
}

func writeHead(ctx *fasthttp.RequestCtx, head *wirepb.Head) {
	ctx.SetStatusCode(int(head.GetStatus()))
	ctx.Response.Header.Set(headerVerdict, fault.Ran.String())
	for _, h := range head.GetHeaders() {
		ctx.Response.Header.Set(h.GetName(), h.GetValue())
	}
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists what the customer may use.
func (s *Server) models(ctx *fasthttp.RequestCtx) {
	snapshot := s.index.Load()
	if snapshot == nil {
		writeError(ctx, fault.New(fault.NotRun, fault.CodeNotReady, "this entry has no configuration yet"))
		return
	}
	list, err := listModels(snapshot, presentedKey(ctx))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, list)
}
