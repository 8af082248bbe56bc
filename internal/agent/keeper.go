package agent

import (
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// maxRecordedBytes limits the body of a response that is stored for replay.
const maxRecordedBytes = 256 << 10

// responseRecorder forwards the frames of a response. For a non-idempotent call
// it also records the response, and it accepts frames to the end of the
// response even if they can no longer be forwarded because the entry has
// disconnected.
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

// handleFrame is a frameSink. It records a frame if needed and forwards it.
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

// record adds one frame to the recorded response. A body over maxRecordedBytes
// is dropped.
func (r *responseRecorder) record(frame *wirepb.CallFrame) {
	if head := frame.GetHead(); head != nil {
		r.recorded.Status = int(head.GetStatus())
		for _, header := range head.GetHeaders() {
			if header.GetName() == fasthttp.HeaderContentType {
				r.recorded.ContentType = header.GetValue()
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

// result returns the outcome of the call, given the error with which it ended.
func (r *responseRecorder) result(err error) dedup.Outcome {
	if err != nil {
		return dedup.Outcome{Err: err}
	}
	return r.recorded
}

// sendReplay sends a stored response.
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
			return // the entry can query the outcome
		}
	}
}
