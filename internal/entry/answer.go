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
	kind := "server_error"
	if fault.StatusOf(err) < fasthttp.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	body, failed := json.Marshal(errorBody{Error: errorFields{
		Message: err.Error(),
		Type:    kind,
		Code:    string(fault.CodeOf(err)),
		Verdict: fault.VerdictOf(err).String(),
	}})
	if failed != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return body
}

// writeError answers a request with an error.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetStatusCode(fault.StatusOf(err))
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerVerdict, fault.VerdictOf(err).String())
	if after := fault.RetryAfterOf(err); after > 0 {
		seconds := int(math.Ceil(after.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(marshalError(err))
}

// receive reads the next frame of a call and turns failures into errors with
// a verdict.
func receive(call *wire.Call, deadline time.Time) (*wirepb.CallFrame, error) {
	frame, err := call.ReceiveFrame()
	if err != nil {
		return nil, linkError(err, deadline)
	}
	if f := frame.GetFailure(); f != nil {
		err := fault.New(wire.VerdictFromWire(f.GetVerdict()), fault.Code(f.GetCode()), f.GetMessage())
		if after := f.GetRetryAfterMs(); after > 0 {
			err = fault.WithRetryAfter(err, time.Duration(after)*time.Millisecond)
		}
		if h := f.GetHolder(); h != nil {
			err = &claimedError{
				error: err,
				holder: dedup.Process{
					Host:        h.GetHost(),
					Incarnation: h.GetIncarnation(),
				},
			}
		}
		return nil, err
	}
	return frame, nil
}

// claimedError is a refusal that names the holder of a claim.
type claimedError struct {
	error
	holder dedup.Process
}

// Unwrap returns the refusal.
func (e *claimedError) Unwrap() error { return e.error }

// holderOf returns the holder that an error names, if any.
func holderOf(err error) dedup.Process {
	var claimed *claimedError
	if errors.As(err, &claimed) {
		return claimed.holder
	}
	return dedup.Process{}
}

// linkError gives the verdict of an answer that stopped coming.
func linkError(err error, deadline time.Time) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
		return fault.New(fault.MayHaveRun, fault.CodeDeadline, "the deadline passed before the answer")
	}
	return fault.Wrap(err, fault.MayHaveRun, fault.CodeLink)
}

// errTooLong reports an answer over the bound of whole answers.
var errTooLong = fault.New(fault.Ran, fault.CodeCut, "the answer is too long to be passed on whole")

// collect reads an answer up to its end.
func collect(call *wire.Call, deadline time.Time, limit int) (body []byte, end *wirepb.End, err error) {
	for {
		frame, err := receive(call, deadline)
		if err != nil {
			return nil, nil, err
		}
		if end = frame.GetEnd(); end != nil {
			return body, end, checkLength(end, uint64(len(body)))
		}
		body = append(body, frame.GetData()...)
		if len(body) > limit {
			return nil, nil, errTooLong
		}
	}
}

func checkLength(end *wirepb.End, got uint64) error {
	if end.GetBytes() != got {
		return fault.New(fault.Ran, fault.CodeCut, "part of the answer was lost")
	}
	return nil
}

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// streamReader passes a stream to the caller as it comes. A stream that breaks
// ends with an error event and a broken connection, never as complete.
type streamReader struct {
	call     *wire.Call
	deadline time.Time
	pending  []byte
	got      uint64
	events   int
	err      error
	// first is called when the first bytes are passed on.
	first func()
	// cause replaces the error of a stream that the entry itself has canceled,
	// nil if it never does.
	cause func(error) error
	// finish is called once, with nil after a whole stream.
	finish func(err error, end *wirepb.End, events int)
	ended  bool
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
			r.next()
			continue
		}
		n := copy(p[total:], r.pending)
		r.pending = r.pending[n:]
		total += n
	}
	return total, nil
}

// next takes one frame.
func (r *streamReader) next() {
	frame, err := receive(r.call, r.deadline)
	if end := frame.GetEnd(); err == nil && end != nil {
		err = checkLength(end, r.got)
		r.end(err, end)
		return
	}
	if err != nil {
		r.end(err, nil)
		return
	}
	if r.got == 0 {
		r.first()
	}
	r.pending = frame.GetData()
	r.got += uint64(len(r.pending))
	r.events += bytes.Count(r.pending, eventEnd)
}

// end finishes the stream, with an error event if it broke.
func (r *streamReader) end(err error, end *wirepb.End) {
	r.err = io.EOF
	if r.cause != nil {
		err = r.cause(err)
	}
	if err = r.conclude(err, end); err != nil {
		r.err = err
		r.pending = append([]byte("data: "), marshalError(err)...)
		r.pending = append(r.pending, eventEnd...)
	}
}

// conclude reports the end once.
func (r *streamReader) conclude(err error, end *wirepb.End) error {
	if !r.ended {
		r.ended = true
		r.finish(err, end, r.events)
	}
	return err
}

// Close implements io.Closer; the server calls it at the end or when the
// caller has gone.
func (r *streamReader) Close() error {
	_ = r.conclude(fault.New(fault.MayHaveRun, fault.CodeCallerGone, "the caller has gone"), nil)
	return r.call.Close()
}
