package agent

import (
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// maxRecordedBytes bounds one answer that is kept for repeats.
const maxRecordedBytes = 256 << 10

// responseRecorder passes the frames of an answer on. For a call that may not be repeated
// it keeps a copy, and reads the answer to its end though the entry has gone.
type responseRecorder struct {
	forward       frameSink
	recording     bool
	forwardFailed bool
	recorded      dedup.Outcome
}

func newResponseRecorder(request *wirepb.CallRequest, forward frameSink) *responseRecorder {
	return &responseRecorder{
		forward:   forward,
		recording: !request.GetIdempotent(),
	}
}

// handleFrame implements sink.
func (r *responseRecorder) handleFrame(frame *wirepb.CallFrame) error {
	if !r.recording {
		return r.forward(frame)
	}
	r.record(frame)
	if !r.forwardFailed {
		r.forwardFailed = r.forward(frame) != nil
	}
	return nil
}

// record notes one frame.
func (r *responseRecorder) record(frame *wirepb.CallFrame) {
	if head := frame.GetHead(); head != nil {
		r.recorded.Status = int(head.GetStatus())
		for _, h := range head.GetHeaders() {
			if h.GetName() == fasthttp.HeaderContentType {
				r.recorded.ContentType = h.GetValue()
			}
		}
	}
	if len(r.recorded.Body)+len(frame.GetData()) > maxRecordedBytes {
		r.recorded.BodyDropped = true
		r.recorded.Body = nil
	}
	if !r.recorded.BodyDropped {
		r.recorded.Body = append(r.recorded.Body, frame.GetData()...)
	}
}

// result returns how the call has ended.
func (r *responseRecorder) result(err error) dedup.Outcome {
	if err != nil {
		return dedup.Outcome{Err: err}
	}
	return r.recorded
}

// sendReplay sends a kept answer.
func sendReplay(call *wire.Call, outcome *dedup.Outcome) {
	frames := []*wirepb.CallFrame{
		{Head: &wirepb.Head{
			Status: uint32(outcome.Status),
			Headers: []*wirepb.Header{
				{
					Name:  fasthttp.HeaderContentType,
					Value: outcome.ContentType,
				},
				{
					Name:  wire.HeaderReplayed,
					Value: "true",
				},
			},
		}},
		{Data: outcome.Body},
		{End: &wirepb.End{Bytes: uint64(len(outcome.Body))}},
	}
	for _, frame := range frames {
		if call.SendFrame(frame) != nil {
			return // the entry asks again
		}
	}
}
