package entry

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// receiveFrame reads the next frame of a call. A failure frame and a transport
// error are both returned as errors with a verdict.
func receiveFrame(call *wire.Call, deadline time.Time) (*wirepb.CallFrame, error) {
	frame, err := call.ReceiveFrame()
	if err != nil {
		return nil, transportError(err, deadline)
	}
	if failure := frame.GetFailure(); failure != nil {
		err := fault.New(wire.VerdictFromWire(failure.GetVerdict()), fault.Code(failure.GetCode()), failure.GetMessage())
		if retryAfter := failure.GetRetryAfterMs(); retryAfter > 0 {
			err = fault.WithRetryAfter(err, time.Duration(retryAfter)*time.Millisecond)
		}
		if run := failure.GetEndedRun(); run > 0 {
			err = fault.WithEndedRun(err, run)
		}
		if holder := failure.GetHolder(); holder != nil {
			err = &claimHeldError{
				error: err,
				holder: dedup.Process{
					Host:        holder.GetHost(),
					Incarnation: holder.GetIncarnation(),
				},
			}
		}
		return nil, err
	}
	return frame, nil
}

// claimHeldError is a refusal by an agent because another agent process holds
// the claim of the call's idempotency key.
type claimHeldError struct {
	error
	holder dedup.Process
}

// Unwrap returns the underlying refusal.
func (e *claimHeldError) Unwrap() error { return e.error }

// claimHolderOf returns the claim holder that an error names, or the zero value
// if it names none.
func claimHolderOf(err error) dedup.Process {
	var claimed *claimHeldError
	if errors.As(err, &claimed) {
		return claimed.holder
	}
	return dedup.Process{}
}

// transportError converts an error of the connection to an agent into one with
// a verdict. The request may have reached the agent, so the call may have run.
func transportError(err error, deadline time.Time) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, "the deadline passed before the answer")
	}
	return fault.Wrap(err, fault.MayHaveRun, fault.CodeLink)
}

// errResponseTooLong reports a buffered response that exceeds its size limit.
var errResponseTooLong = fault.New(fault.Ran, fault.CodeCut, "the answer is too long to be passed on whole")

// readResponse reads a buffered response up to its end frame.
func readResponse(call *wire.Call, deadline time.Time, limit int) (body []byte, end *wirepb.End, err error) {
	for {
		frame, err := receiveFrame(call, deadline)
		if err != nil {
			return nil, nil, err
		}
		if end = frame.GetEnd(); end != nil {
			return body, end, checkLength(end, uint64(len(body)))
		}
		body = append(body, frame.GetData()...)
		if len(body) > limit {
			return nil, nil, errResponseTooLong
		}
	}
}

func checkLength(end *wirepb.End, received uint64) error {
	if end.GetBytes() != received {
		return fault.New(fault.Ran, fault.CodeCut, "part of the answer was lost")
	}
	return nil
}

// eventTerminator ends each server-sent event of a stream.
var eventTerminator = []byte("\n\n")

// streamReader forwards a streamed response to the caller as its frames arrive.
// If the stream fails, it writes an error event and then returns an error,
// which closes the connection, so that a truncated stream never looks complete.
type streamReader struct {
	call     *wire.Call
	deadline time.Time
	// path is the path of the request, which determines the format of errors.
	path       string
	pending    []byte
	received   uint64
	eventCount int
	// withinEvent is true if the last frame ended within an event.
	withinEvent bool
	err         error
	// onFirst is called when the first data of the response is received.
	onFirst func()
	// cancelCause replaces the error of a stream that the entry itself
	// canceled. It is nil if the entry never cancels the stream.
	cancelCause func(error) error
	// onEnd is called exactly once, with a nil error after a complete stream.
	onEnd       func(err error, end *wirepb.End, eventCount int)
	endReported bool
}

// Read implements io.Reader. It blocks for one frame and adds the frames that
// have already arrived, so that they reach the caller in a single write.
func (r *streamReader) Read(p []byte) (int, error) {
	total := 0
	for total < len(p) {
		if len(r.pending) == 0 {
			if total > 0 && (r.err != nil || !r.call.FrameReady()) {
				break
			}
			if r.err != nil {
				return 0, r.err
			}
			r.readFrame()
			continue
		}
		n := copy(p[total:], r.pending)
		r.pending = r.pending[n:]
		total += n
	}
	return total, nil
}

// readFrame receives one frame.
func (r *streamReader) readFrame() {
	frame, err := receiveFrame(r.call, r.deadline)
	if end := frame.GetEnd(); err == nil && end != nil {
		err = checkLength(end, r.received)
		r.finish(err, end)
		return
	}
	if err != nil {
		r.finish(err, nil)
		return
	}
	if r.received == 0 {
		r.onFirst()
	}
	r.pending = frame.GetData()
	r.received += uint64(len(r.pending))
	r.eventCount += bytes.Count(r.pending, eventTerminator)
	r.withinEvent = !bytes.HasSuffix(r.pending, eventTerminator)
}

// finish ends the stream, with an error event if it failed. What has arrived of another
// event must not become one with it.
func (r *streamReader) finish(err error, end *wirepb.End) {
	r.err = io.EOF
	if r.cancelCause != nil {
		err = r.cancelCause(err)
	}
	if err = r.reportEnd(err, end); err != nil {
		r.err = err
		r.pending = nil
		if r.withinEvent {
			r.pending = append(r.pending, eventTerminator...)
		}
		r.pending = append(r.pending, "data: "...)
		r.pending = append(r.pending, marshalError(r.path, err)...)
		r.pending = append(r.pending, eventTerminator...)
	}
}

// reportEnd calls onEnd on its first call. It returns err.
func (r *streamReader) reportEnd(err error, end *wirepb.End) error {
	if !r.endReported {
		r.endReported = true
		r.onEnd(err, end, r.eventCount)
	}
	return err
}

// Close implements io.Closer. The HTTP server calls it after the last read or
// when the caller has disconnected.
func (r *streamReader) Close() error {
	_ = r.reportEnd(fault.New(fault.MayHaveRun, fault.CodeCallerGone, "the caller has gone"), nil)
	return r.call.Close()
}
