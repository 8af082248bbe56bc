package edge

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
)

const (
	// streamBufferSize is the initial size of the buffer for a streamed response,
	// and the step by which it grows to hold a longer event.
	streamBufferSize = 4 << 10
	// continuedAnswerTime is the time after its first event from which a stream that
	// still brings events counts as one that its prompt doesn't break off.
	continuedAnswerTime = time.Second
)

// forwardWhole holds a response that is complete, so that a request whose response is
// truncated can be retried. It is sent once the endpoint is free for another request.
// Responses larger than maxBufferedBody, and all that the memory doesn't suffice for, are
// streamed.
func (x *exchange) forwardWhole(b *responseBody) (gate.Result, bool) {
	if b.remaining > maxBufferedBody {
		return x.streamResponse(b, nil)
	}
	content, err := budget.Read(b, b.remaining, maxBufferedBody, x.grow)
	if errors.Is(err, budget.ErrTooLarge) || errors.Is(err, budget.ErrExhausted) {
		return x.streamResponse(b, content.Pieces)
	}
	if err != nil {
		return x.classifyError(err), false
	}
	response := x.wholeResponse(content)
	x.in.status = response.status
	x.in.held, x.in.heldMemory = response, x.memory
	x.memory = nil
	return gate.Result{
		Outcome:       gate.OutcomeComplete,
		Status:        response.status,
		WithoutEvents: x.isEventStream(),
	}, true
}

// wholeResponse returns the response with its body. One that has no body names the length that the
// endpoint does, if its status allows one.
func (x *exchange) wholeResponse(body budget.Pieces) *endpointResponse {
	r := &endpointResponse{
		status: x.head.StatusCode(),
		head:   forwardedResponseHead(&x.head),
		body:   body,
		length: body.Size,
	}
	if !hasBody(r.status, x.in.headOnly) {
		r.length = max(x.head.ContentLength(), noLength)
	}
	if r.status == fasthttp.StatusNoContent {
		r.length = noLength
	}
	return r
}

// grow reserves memory for the response.
func (x *exchange) grow(n int) error {
	now := time.Now()
	if x.memory == nil {
		x.memory = x.budget.Reserve(x.in.owner, budget.Response, now, nil)
	}
	return x.memory.Grow(now, n)
}

// streamResponse forwards a response as it arrives, starting with the pieces that were
// read before. Streams of events are forwarded in complete events, so that
// they can continue at another endpoint.
func (x *exchange) streamResponse(b *responseBody, prefix [][]byte) (gate.Result, bool) {
	in := x.in
	if !in.started {
		in.startChunked(&endpointResponse{
			status: x.head.StatusCode(),
			head:   forwardedResponseHead(&x.head),
		})
	}
	for _, piece := range prefix {
		in.appendChunk(piece)
		if in.flush() != nil {
			return x.clientLostResult(), false
		}
	}
	buffer := make([]byte, streamBufferSize)
	buffered := 0
	for {
		n, err := b.Read(buffer[buffered:])
		buffered += n
		sendable, parseErr := x.sendableLength(buffer[:buffered])
		if parseErr != nil {
			err = parseErr
		}
		if errors.Is(err, io.EOF) {
			err = x.checkStreamEnd(b, buffered-sendable)
		}
		complete := errors.Is(err, io.EOF)
		in.appendChunk(buffer[:sendable])
		if complete {
			in.appendLastChunk()
		}
		if (sendable > 0 || complete) && in.flush() != nil {
			return x.clientLostResult(), false
		}
		buffered = copy(buffer, buffer[sendable:buffered])
		switch {
		case complete:
			return gate.Result{
				Outcome:       gate.OutcomeComplete,
				Status:        x.head.StatusCode(),
				WithoutEvents: x.isEventStream() && x.firstEventAt.IsZero(),
			}, true
		case err != nil:
			in.endedInEvent = buffered > 0
			return x.classifyInterruption(err), false
		case buffered >= maxBufferedBody:
			return x.classifyInterruption(errEventTooLong), false
		case buffered == len(buffer):
			buffer = append(buffer, make([]byte, streamBufferSize)...)
		}
	}
}

// isEventStream reports whether the response is a stream of events.
func (x *exchange) isEventStream() bool { return x.send.Route.Kind == topo.Stream }

// continuesStream reports whether the response must continue a stream of which the client
// has a part.
func (x *exchange) continuesStream() bool {
	return x.isEventStream() && x.send.Route.Resumable && x.in.lastEventID != ""
}

// sendableLength returns how much of p, which starts with an event if the response
// is a stream, can be forwarded. It records the ID of the last event. Bytes that are no
// event, and an event that isn't the next one, are an error.
func (x *exchange) sendableLength(p []byte) (int, error) {
	if !x.isEventStream() {
		return len(p), nil
	}
	length, err := x.events.complete(p)
	if length > 0 {
		x.recordEvents(time.Now())
		x.in.lastEventID = x.events.lastID()
	}
	return length, err
}

// recordEvents records that complete events have arrived, and tells the reducer once
// that the answer continues.
func (x *exchange) recordEvents(now time.Time) {
	switch {
	case x.firstEventAt.IsZero():
		x.firstEventAt = now
		x.postFirstByte()
	case !x.continued && now.Sub(x.firstEventAt) >= continuedAnswerTime:
		x.continued = true
		x.post(gate.AnswerContinues{Call: x.in.id})
	}
}

// checkStreamEnd returns io.EOF if a response is complete whose framing has ended
// with unfinished bytes after the last event, and otherwise io.ErrUnexpectedEOF.
// The framing alone proves nothing: an endpoint that fails may still end it. A
// stream whose only end is that of its connection must hold at least one event, and so
// must the rest of a stream that was broken off: one without an event is as likely that of
// an endpoint that has failed as of one that has nothing left to send.
func (x *exchange) checkStreamEnd(b *responseBody, unfinished int) error {
	if unfinished > 0 {
		return io.ErrUnexpectedEOF
	}
	if x.isEventStream() && x.firstEventAt.IsZero() && (b.closeDelimited || x.continuesStream()) {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// classifyInterruption returns the result of a response that ended early. If no
// part of it was sent to the client, it discards what was buffered.
func (x *exchange) classifyInterruption(err error) gate.Result {
	result := x.classifyError(err)
	x.in.interruption = err.Error()
	if x.in.started {
		result.Outcome = gate.OutcomeTruncated
		return result
	}
	x.in.writeBuffer = x.in.writeBuffer[:0]
	return result
}

// clientLostResult returns the result of a response that could not be written to
// the client.
func (x *exchange) clientLostResult() gate.Result {
	x.in.connBroken = true
	return gate.Result{
		Outcome: gate.OutcomeTruncated,
		Reason:  gate.ReasonClientGone,
	}
}
