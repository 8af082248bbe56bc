package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// finishTime is what a call that may not be repeated gets beyond its caller's
// deadline.
const finishTime = 30 * time.Second

// errAbandoned ends a call whose entry has left before the start.
var errAbandoned = fault.New(fault.NotRun, fault.CodeLink, "the entry had closed the call before its start")

// carryOut does what the reducer has decided on a call.
func (s *Server) carryOut(key uint64, d decision, closed <-chan struct{}, call *wire.Call, r *wirepb.CallRequest) {
	if d.replay != nil {
		replay(call, d.replay)
		return
	}
	err := d.err
	if d.start {
		k := newKeeper(r, call.SendFrame)
		used, begun := 0, false
		err = s.forward(closed, r, func(f *wirepb.CallFrame) error {
			if len(f.GetData()) > 0 && !begun {
				begun = true
				s.loop.Post(Begun{Key: key})
			}
			used = max(used, usedTokens(r, f.GetEnd()))
			return k.send(f)
		})
		s.loop.Post(Ended{
			Key:     key,
			Outcome: k.outcome(err),
			Used:    used,
		})
	}
	if err != nil {
		_ = call.SendFrame(failure(err, d.holder)) // the entry asks again if this is lost
	}
}

// usedTokens returns the work of a whole answer in tokens, 0 before its end.
func usedTokens(r *wirepb.CallRequest, end *wirepb.End) int {
	if end == nil {
		return 0
	}
	prompt := max(end.GetPromptTokens(), r.GetPromptTokens())
	return max(1, int(prompt+end.GetCompletionTokens()))
}

// forward runs a call at the endpoint. The entry's closing cancels it if it
// may be repeated; another one is left to finish, so that its outcome is known.
func (s *Server) forward(closed <-chan struct{}, r *wirepb.CallRequest, send sink) error {
	l := s.upstream.take(!r.GetIdempotent())
	limit := time.Duration(r.GetTimeoutMs()) * time.Millisecond
	if !r.GetIdempotent() {
		closed = nil
		limit += finishTime
	}
	over := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		timeout := time.NewTimer(limit)
		defer timeout.Stop()
		select {
		case <-over:
		case <-closed:
			l.cancel()
		case <-s.ended():
			l.cancel()
		case <-timeout.C:
			l.cancel()
		}
	}()
	err := s.upstream.run(l, r, send)
	close(over)
	<-watched
	s.upstream.put(l)
	return err
}

// ended is closed when the server is ended without waiting for its calls.
func (s *Server) ended() <-chan struct{} {
	if s.base == nil {
		return nil // not run yet
	}
	return s.base.Done()
}

// failure turns an error into a frame.
func failure(err error, holder dedup.Process) *wirepb.CallFrame {
	f := &wirepb.Failure{
		Verdict:      wire.VerdictToWire(fault.VerdictOf(err)),
		Code:         string(fault.CodeOf(err)),
		Message:      err.Error(),
		RetryAfterMs: uint32(fault.RetryAfterOf(err).Milliseconds()),
	}
	if holder.Incarnation != 0 {
		f.Holder = &wirepb.Holder{
			Host:        holder.Host,
			Incarnation: holder.Incarnation,
		}
	}
	return &wirepb.CallFrame{Failure: f}
}
