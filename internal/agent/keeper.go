package agent

import (
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// maxKeptAnswer bounds one answer that is kept for repeats.
const maxKeptAnswer = 256 << 10

// keeper passes the frames of an answer on. For a call that may not be repeated
// it keeps a copy, and reads the answer to its end though the entry has gone.
type keeper struct {
	next   sink
	keeps  bool
	broken bool
	kept   dedup.Outcome
}

func newKeeper(r *wirepb.CallRequest, next sink) *keeper {
	return &keeper{
		next:  next,
		keeps: !r.GetIdempotent(),
	}
}

// send implements sink.
func (k *keeper) send(f *wirepb.CallFrame) error {
	if !k.keeps {
		return k.next(f)
	}
	k.keep(f)
	if !k.broken {
		k.broken = k.next(f) != nil
	}
	return nil
}

// keep notes one frame.
func (k *keeper) keep(f *wirepb.CallFrame) {
	if head := f.GetHead(); head != nil {
		k.kept.Status = int(head.GetStatus())
		for _, h := range head.GetHeaders() {
			if h.GetName() == fasthttp.HeaderContentType {
				k.kept.ContentType = h.GetValue()
			}
		}
	}
	if len(k.kept.Body)+len(f.GetData()) > maxKeptAnswer {
		k.kept.BodyDropped = true
		k.kept.Body = nil
	}
	if !k.kept.BodyDropped {
		k.kept.Body = append(k.kept.Body, f.GetData()...)
	}
}

// outcome returns how the call has ended.
func (k *keeper) outcome(err error) dedup.Outcome {
	if err != nil {
		return dedup.Outcome{Err: err}
	}
	return k.kept
}

// replay sends a kept answer.
func replay(call *wire.Call, o *dedup.Outcome) {
	frames := []*wirepb.CallFrame{
		{Head: &wirepb.Head{
			Status: uint32(o.Status),
			Headers: []*wirepb.Header{
				{
					Name:  fasthttp.HeaderContentType,
					Value: o.ContentType,
				},
				{
					Name:  wire.HeaderReplayed,
					Value: "true",
				},
			},
		}},
		{Data: o.Body},
		{End: &wirepb.End{Bytes: uint64(len(o.Body))}},
	}
	for _, f := range frames {
		if call.SendFrame(f) != nil {
			return // the entry asks again
		}
	}
}
