package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// errorBody is the JSON form of an error, in the shape of OpenAI's interface.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// marshalError returns an error as callers see it.
func marshalError(err error) []byte {
	errorType := "server_error"
	if fault.StatusOf(err) < fasthttp.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	body, marshalErr := json.Marshal(errorBody{Error: errorFields{
		Message: err.Error(),
		Type:    errorType,
		Code:    string(fault.CodeOf(err)),
		Verdict: fault.VerdictOf(err).String(),
	}})
	if marshalErr != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return body
}

// writeError answers a request with an error.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetStatusCode(fault.StatusOf(err))
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerVerdict, fault.VerdictOf(err).String())
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(marshalError(err))
}

// receiveFrame reads the next frame of a call and turns failures into errors with
// a verdict.
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

// claimHeldError is a refusal that names the holder of a claim.
type claimHeldError struct {
	error
	holder dedup.Process
}

// Unwrap returns the refusal.
func (e *claimHeldError) Unwrap() error { return e.error }

// claimHolderOf returns the holder that an error names, if any.
func claimHolderOf(err error) dedup.Process {
	var claimed *claimHeldError
	if errors.As(err, &claimed) {
		return claimed.holder
	}
	return dedup.Process{}
}

// transportError gives the verdict of an answer that stopped coming.
func transportError(err error, deadline time.Time) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, "the deadline passed before the answer")
	}
	return fault.Wrap(err, fault.MayHaveRun, fault.CodeLink)
}

// errResponseTooLong reports an answer over the bound of whole answers.
var errResponseTooLong = fault.New(fault.Ran, fault.CodeCut, "the answer is too long to be passed on whole")

// readResponse reads an answer up to its end.
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

// eventTerminator ends each event of a stream.
var eventTerminator = []byte("\n\n")

// streamReader passes a stream to the caller as it comes. A stream that breaks
// ends with an error event and a broken connection, never as complete.
type streamReader struct {
	call       *wire.Call
	deadline   time.Time
	pending    []byte
	received   uint64
	eventCount int
	err        error
	// onFirst is called when the onFirst bytes are passed on.
	onFirst func()
	// cancelCause replaces the error of a stream that the entry itself has canceled,
	// nil if it never does.
	cancelCause func(error) error
	// onEnd is called once, with nil after a whole stream.
	onEnd       func(err error, end *wirepb.End, events int)
	endReported bool
}

// Read implements io.Reader. It waits for one frame and adds those that have
// come already, so that they reach the caller in one write.
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

// readFrame takes one frame.
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
}

// finish finishes the stream, with an error event if it broke.
func (r *streamReader) finish(err error, end *wirepb.End) {
	r.err = io.EOF
	if r.cancelCause != nil {
		err = r.cancelCause(err)
	}
	if err = r.reportEnd(err, end); err != nil {
		r.err = err
		r.pending = append([]byte("data: "), marshalError(err)...)
		r.pending = append(r.pending, eventTerminator...)
	}
}

// reportEnd reports the end once.
func (r *streamReader) reportEnd(err error, end *wirepb.End) error {
	if !r.endReported {
		r.endReported = true
		r.onEnd(err, end, r.eventCount)
	}
	return err
}

// Close implements io.Closer; the server calls it at the end or when the
// caller has gone.
func (r *streamReader) Close() error {
	_ = r.reportEnd(fault.New(fault.MayHaveRun, fault.CodeCallerGone, "the caller has gone"), nil)
	return r.call.Close()
}
