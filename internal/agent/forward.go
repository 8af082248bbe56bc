package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// nonIdempotentGrace is how long a non-idempotent call may run beyond its
// caller's deadline, so that its outcome becomes known.
const nonIdempotentGrace = 30 * time.Second

// errCanceledBeforeStart is the outcome of a call that its entry closed before
// the call was forwarded to the endpoint.
var errCanceledBeforeStart = fault.New(fault.NotRun, fault.CodeLink, "the entry had closed the call before its start")

// executeDecision carries out the reducer's decision on a call.
func (s *Server) executeDecision(key uint64, decision callDecision, callClosed <-chan struct{},
	call *wire.Call, request *wirepb.CallRequest,
) {
	if decision.replay != nil {
		sendReplay(call, decision.replay)
		return
	}
	err := decision.err
	if decision.start {
		recorder := newResponseRecorder(request, call.SendFrame)
		tokens, hasData := 0, false
		err = s.forward(callClosed, request, func(frame *wirepb.CallFrame) error {
			if len(frame.GetData()) > 0 && !hasData {
				hasData = true
				s.loop.Post(FirstData{Key: key})
			}
			tokens = max(tokens, responseTokens(request, frame.GetEnd()))
			return recorder.handleFrame(frame)
		})
		s.loop.Post(CallEnded{
			Key:     key,
			Outcome: recorder.result(err),
			Tokens:  tokens,
		})
	}
	if err != nil {
		_ = call.SendFrame(failureFrame(err, decision.holder)) // if the frame is lost, the entry retries or queries the outcome
	}
}

// responseTokens returns the work of a complete response in tokens, 0 if end is
// nil.
func responseTokens(request *wirepb.CallRequest, end *wirepb.End) int {
	if end == nil {
		return 0
	}
	promptTokens := max(end.GetPromptTokens(), request.GetPromptTokens())
	return max(1, int(promptTokens+end.GetCompletionTokens()))
}

// forward runs a call at the endpoint. An idempotent call is canceled when the
// entry closes it. A non-idempotent call is left to finish, so that its outcome
// is known.
func (s *Server) forward(callClosed <-chan struct{}, request *wirepb.CallRequest, send frameSink) error {
	conn := s.endpoint.newConn()
	timeout := time.Duration(request.GetTimeoutMs()) * time.Millisecond
	if !request.GetIdempotent() {
		callClosed = nil
		timeout += nonIdempotentGrace
	}
	done := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-done:
		case <-callClosed:
			conn.cancel()
		case <-s.aborted():
			conn.cancel()
		case <-timer.C:
			conn.cancel()
		}
	}()
	err := s.endpoint.run(conn, request, send)
	close(done)
	<-watcherDone
	conn.cancel() // it carries no other call
	return err
}

// aborted returns a channel that is closed when the context of Run ends.
// Running calls are then canceled rather than awaited. The channel is nil
// before Run.
func (s *Server) aborted() <-chan struct{} {
	if s.runCtx == nil {
		return nil // Run has not been called yet
	}
	return s.runCtx.Done()
}

// failureFrame returns the frame that reports an error.
func failureFrame(err error, holder dedup.Process) *wirepb.CallFrame {
	failure := &wirepb.Failure{
		Verdict:      wire.VerdictToWire(fault.VerdictOf(err)),
		Code:         string(fault.CodeOf(err)),
		Message:      err.Error(),
		RetryAfterMs: uint32(fault.RetryAfterOf(err).Milliseconds()),
		EndedRun:     fault.EndedRunOf(err),
	}
	if holder.Incarnation != 0 {
		failure.Holder = &wirepb.Holder{
			Host:        holder.Host,
			Incarnation: holder.Incarnation,
		}
	}
	return &wirepb.CallFrame{Failure: failure}
}
