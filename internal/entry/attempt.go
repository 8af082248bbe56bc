package entry

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// maxResponseBytes limits the size of a buffered response.
const maxResponseBytes = 16 << 20

// runAttempt sends a call to an agent. It returns true if a complete response
// or the start of a stream has been passed to the HTTP server.
func (s *Server) runAttempt(ex *exchange, send SendAttempt) bool {
	ex.host, ex.attempts = send.Host, send.Attempt
	call, head, err := s.openAttempt(ex, send)
	if err != nil {
		s.reportFailure(ex, send, err)
		return false
	}
	if ex.request.GetStream() && head.GetStatus() == fasthttp.StatusOK {
		s.streamResponse(ex, send, call, head)
		return true
	}
	defer func() { _ = call.Close() }()
	body, end, err := readResponse(call, ex.call.Deadline, maxResponseBytes)
	if err != nil {
		s.reportFailure(ex, send, ex.cancelCause(err))
		return false
	}
	s.loop.Post(AttemptEnded{
		ID:      ex.call.ID,
		Attempt: send.Attempt,
		Outcome: Outcome{
			Verdict:    fault.Ran,
			Replayed:   isReplayed(head),
			UsedTokens: chargedTokens(ex, head, end),
		},
	})
	writeResponseHead(ex.ctx, head)
	ex.ctx.SetBody(body)
	s.endExchange(ex, nil)
	return true
}

// openAttempt sends the request and waits for the head of the response.
func (s *Server) openAttempt(ex *exchange, send SendAttempt) (*wire.Call, *wirepb.Head, error) {
	session := s.session(send.Host, send.Incarnation)
	if session == nil {
		return nil, nil, fault.New(fault.NotRun, fault.CodeLink, "the session to the endpoint is gone")
	}
	call, err := session.OpenCall()
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.NotRun, fault.CodeLink)
	}
	if err := ex.setCall(call); err != nil {
		_ = call.Close()
		return nil, nil, fault.Wrap(err, fault.NotRun, fault.CodeOf(err))
	}
	head, err := s.sendRequest(ex, send, call)
	if err != nil {
		_ = call.Close()
		return nil, nil, ex.cancelCause(err)
	}
	return call, head, nil
}

func (s *Server) sendRequest(ex *exchange, send SendAttempt, call *wire.Call) (*wirepb.Head, error) {
	remaining := time.Until(ex.call.Deadline)
	if remaining <= 0 {
		return nil, fault.New(fault.NotRun, fault.CodeDeadline, "the deadline has passed")
	}
	ex.request.Attempt = uint32(send.Attempt)
	ex.request.Entry = s.options.Hello.GetHost()
	ex.request.EntryIncarnation = send.EntryIncarnation
	ex.request.AgentIncarnation = send.Incarnation
	ex.request.TimeoutMs = uint32(remaining.Milliseconds()) + 1
	ex.request.Weight = send.Weight
	ex.request.ConfigOffset = send.ConfigOffset
	ex.request.Version = send.Version
	ex.request.CachedTokens = uint32(send.CachedTokens)
	if err := call.SetDeadline(ex.call.Deadline); err != nil {
		return nil, fault.Wrap(err, fault.NotRun, fault.CodeLink)
	}
	if err := call.SendRequest(ex.request); err != nil {
		return nil, transportError(err, ex.call.Deadline)
	}
	frame, err := receiveFrame(call, ex.call.Deadline)
	if err != nil {
		return nil, err
	}
	head := frame.GetHead()
	if head == nil {
		return nil, fault.New(fault.MayHaveRun, fault.CodeLink, "the answer has no head")
	}
	return head, nil
}

// reportFailure reports an attempt without a response to the reducer.
func (s *Server) reportFailure(ex *exchange, send SendAttempt, err error) {
	s.loop.Post(AttemptEnded{
		ID:      ex.call.ID,
		Attempt: send.Attempt,
		Outcome: Outcome{
			Verdict:     fault.VerdictOf(err),
			Err:         err,
			ClaimHolder: claimHolderOf(err),
		},
	})
}

// streamResponse sets the response body to a stream that forwards frames as
// they arrive.
func (s *Server) streamResponse(ex *exchange, send SendAttempt, call *wire.Call, head *wirepb.Head) {
	writeResponseHead(ex.ctx, head)
	ex.ctx.SetBodyStream(&streamReader{
		call:     call,
		deadline: ex.call.Deadline,
		path:     string(ex.ctx.Path()),
		onFirst: func() {
			s.metrics.observeFirstToken(ex, time.Since(ex.started))
			s.loop.Post(StreamStarted{
				ID:      ex.call.ID,
				Attempt: send.Attempt,
			})
		},
		cancelCause: ex.cancelCause,
		onEnd: func(err error, end *wirepb.End, eventCount int) {
			err = ex.cancelCause(err)
			ex.eventCount = eventCount
			s.loop.Post(AttemptEnded{
				ID:      ex.call.ID,
				Attempt: send.Attempt,
				Outcome: Outcome{
					Verdict:         fault.VerdictOf(err),
					Err:             err,
					ResponseStarted: true,
					UsedTokens:      usedTokens(ex, end, eventCount),
				},
			})
			s.endExchange(ex, err)
		},
	}, -1)
}

// chargedTokens returns the number of tokens to charge for a buffered response.
// It is 0 for a replayed response, which did not run again.
func chargedTokens(ex *exchange, head *wirepb.Head, end *wirepb.End) float64 {
	if isReplayed(head) {
		return 0
	}
	return usedTokens(ex, end, 0)
}

// isReplayed reports whether a response is a replay of an earlier one.
func isReplayed(head *wirepb.Head) bool {
	return slices.ContainsFunc(head.GetHeaders(), func(h *wirepb.Header) bool { return h.GetName() == wire.HeaderReplayed })
}

// usedTokens returns the number of tokens that a call has used. Without an end
// frame it is the estimate for the prompt plus one token for each event of the
// stream.
func usedTokens(ex *exchange, end *wirepb.End, eventCount int) float64 {
	if ex.request.GetModel() == "" {
		return ex.call.Tokens
	}
	if end == nil {
		return float64(int(ex.request.GetPromptTokens()) + eventCount)
	}
	if end.GetPromptTokens() == 0 {
		return float64(ex.request.GetPromptTokens() + end.GetCompletionTokens())
	}
	return float64(end.GetPromptTokens() + end.GetCompletionTokens())
}

func writeResponseHead(ctx *fasthttp.RequestCtx, head *wirepb.Head) {
	ctx.SetStatusCode(int(head.GetStatus()))
	ctx.Response.Header.Set(headerVerdict, fault.Ran.String())
	for _, h := range head.GetHeaders() {
		ctx.Response.Header.Set(h.GetName(), h.GetValue())
	}
}
