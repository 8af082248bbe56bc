package edge

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/platform"
)

const (
	// maxBufferedBody bounds the body of an answer that is held until it is whole.
	maxBufferedBody = 256 << 10
	// maxInlineBody is the longest request body that is written before the answer
	// is awaited; longer ones are written beside it.
	maxInlineBody = 8 << 10
	// streamBufferSize is the size of the reads of a stream.
	streamBufferSize = 4 << 10
	// minAttemptTimeout is the least time that an endpoint is given.
	minAttemptTimeout = time.Millisecond
)

// exchange is one attempt of a request at one endpoint.
type exchange struct {
	in   *inboundRequest
	send gate.Send
	conn *endpointConn
	head fasthttp.ResponseHeader
	// writeDone ends with the outcome of writeDone the request.
	writeDone chan error
	post      func(gate.Event)
}

// attempt sends a request to an endpoint and passes its answer on.
func (s *Server) attempt(in *inboundRequest, send gate.Send) gate.Result {
	now := s.clock.Now()
	remaining := send.Deadline.Sub(now)
	if remaining < minAttemptTimeout {
		return notRunResult(gate.ReasonTimeout)
	}
	conn, err := s.pool.get(now, send.Endpoint, send.Address, remaining)
	if in.isDisconnected() {
		if err == nil {
			_ = conn.Close() // unused
		}
		return notRunResult(gate.ReasonClientGone)
	}
	if err != nil {
		return notRunResult(gate.ReasonDial)
	}
	x := &exchange{
		in:        in,
		send:      send,
		conn:      conn,
		writeDone: make(chan error, 1),
		post:      s.post,
	}
	if !in.attachUpstream(conn) {
		_ = conn.Close() // unused
		return notRunResult(gate.ReasonClientGone)
	}
	result, keep := x.run(s.clock.Now, remaining)
	in.detachUpstream()
	if keep {
		s.pool.put(s.clock.Now(), send.Endpoint, conn)
	} else {
		_ = conn.Close() // what follows on it belongs to no request
	}
	if in.isDisconnected() && result.Outcome != gate.OutcomeComplete {
		result.Reason = gate.ReasonClientGone
	}
	return result
}

func notRunResult(r gate.Reason) gate.Result {
	return gate.Result{
		Outcome: gate.OutcomeNotRun,
		Reason:  r,
	}
}

func unknownResult(r gate.Reason) gate.Result {
	return gate.Result{
		Outcome: gate.OutcomeMayHaveRun,
		Reason:  r,
	}
}

// run sends the request and handles the answer. It reports whether the
// connection may be used again.
func (x *exchange) run(clockNow func() time.Time, timeout time.Duration) (gate.Result, bool) {
	// Deadlines of sockets count by the process's own clock.
	if err := x.in.setAttemptDeadline(x.conn, time.Now().Add(timeout)); err != nil {
		return notRunResult(gate.ReasonDial), false
	}
	now := clockNow()
	if !x.send.ConfigValidUntil.IsZero() && now.After(x.send.ConfigValidUntil) {
		return notRunResult(gate.ReasonConfigStale), true
	}
	x.writeRequest(max(x.send.Deadline.Sub(now), minAttemptTimeout))
	body, err := x.readResponseHead()
	if err != nil {
		return x.classifyError(err), false
	}
	result, complete := x.handleResponse(body)
	if !complete || !isReusable(&x.head, body, x.conn.reader) {
		return result, false
	}
	select {
	case err := <-x.writeDone:
		x.conn.idleTimeout = keepAliveTimeout(string(x.head.Peek("Keep-Alive")))
		return result, err == nil
	default:
		return result, false // the endpoint would take a new request for the rest
	}
}

// writeRequest sends the request, a long one beside the reading of its answer.
func (x *exchange) writeRequest(timeout time.Duration) {
	head := append(x.in.writeBuffer[:0], x.in.head...)
	head = appendHeader(head, platform.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	head = appendHeader(head, platform.HeaderExpectInstance, x.send.Endpoint)
	head = appendHeader(head, platform.HeaderPriority, strconv.Itoa(x.send.Priority))
	if x.send.Customer != "" {
		head = appendHeader(head, platform.HeaderCustomer, x.send.Customer)
	}
	if x.in.lastEventID != "" {
		head = appendHeader(head, platform.HeaderLastEventID, x.in.lastEventID)
	}
	if len(x.in.body) > 0 {
		head = appendHeader(head, "Content-Length", strconv.Itoa(len(x.in.body)))
	}
	head = append(head, "\r\n"...)
	if len(x.in.body) <= maxInlineBody {
		head = append(head, x.in.body...)
		_, err := x.conn.Write(head)
		x.in.writeBuffer = head[:0]
		x.writeDone <- err
		return
	}
	x.in.writeBuffer = nil // the other goroutine has it
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(x.in.body)
		}
		x.writeDone <- err
	}()
}

var errMismatchedResponse = errors.New("the answer belongs to another request")

// maxMismatchedResponses bounds the answers to other requests that are skipped.
const maxMismatchedResponses = 4

// readResponseHead reads up to the head of the answer to this request. Answers to
// earlier requests on the connection are dropped.
func (x *exchange) readResponseHead() (*responseBody, error) {
	for range maxMismatchedResponses {
		x.head.Reset()
		if err := x.head.Read(x.conn.reader); err != nil {
			return nil, err
		}
		if x.head.StatusCode() < fasthttp.StatusOK {
			continue
		}
		b := newResponseBody(x.conn.reader, &x.head)
		if isResponseTo(&x.head, x.in.request.ID) || isRefusalWithoutID(&x.head) {
			return b, nil
		}
		if b.closeDelimited || len(x.head.Peek(platform.HeaderRequestID)) == 0 {
			return nil, errMismatchedResponse
		}
		if _, err := io.Copy(io.Discard, b); err != nil {
			return nil, err
		}
	}
	return nil, errMismatchedResponse
}

// isRefusalWithoutID reports whether an answer says that the request did not run. Such an
// answer may lack the request's id.
func isRefusalWithoutID(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderRequestID)) == 0 && isNotExecuted(h)
}

func isNotExecuted(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderNotExecuted)) > 0 || h.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// classifyError classifies an attempt without an answer.
func (x *exchange) classifyError(err error) gate.Result {
	var timeoutErr interface{ Timeout() bool }
	switch {
	case errors.Is(err, errMismatchedResponse):
		return unknownResult(gate.ReasonMalformed)
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		return unknownResult(gate.ReasonTimeout)
	default:
		return unknownResult(gate.ReasonReset)
	}
}

// handleResponse passes an answer on or holds it back. It reports whether the answer was
// read whole.
func (x *exchange) handleResponse(b *responseBody) (gate.Result, bool) {
	status := x.head.StatusCode()
	if isNotExecuted(&x.head) {
		_, err := b.readAll(maxBufferedBody)
		return x.classifyRefusal(status), err == nil
	}
	if status < 200 || status > 299 {
		return x.bufferFailure(b, status)
	}
	if len(x.head.Peek(platform.HeaderServerStamp)) == 0 || len(x.head.Peek("Content-Encoding")) > 0 {
		return unknownResult(gate.ReasonMalformed), false
	}
	x.post(gate.FirstByteReceived{Call: x.in.id})
	if x.send.Route.Kind == topo.Stream || x.in.started {
		return x.streamResponse(b, nil)
	}
	return x.forwardWhole(b)
}

// classifyRefusal classifies an answer that says the request did not run.
func (x *exchange) classifyRefusal(status int) gate.Result {
	result := notRunResult(gate.ReasonRefused)
	result.Status = status
	if status != fasthttp.StatusMisdirectedRequest {
		return result
	}
	result.Reason = gate.ReasonModelMissing
	if id := x.head.Peek(platform.HeaderInstanceID); len(id) > 0 && string(id) != x.send.Endpoint {
		result.Reason = gate.ReasonAddressReused
	}
	return result
}

// bufferFailure holds back an endpoint's failure.
func (x *exchange) bufferFailure(b *responseBody, status int) (gate.Result, bool) {
	if x.in.started {
		return gate.Result{
			Outcome: gate.OutcomeTruncated,
			Reason:  gate.ReasonStatus,
			Status:  status,
		}, false
	}
	content, err := b.readAll(maxBufferedBody)
	if err != nil {
		return x.classifyError(err), false
	}
	x.in.heldFailure = &endpointResponse{
		status: status,
		head:   forwardedResponseHead(&x.head),
		body:   content,
	}
	return gate.Result{
		Outcome: gate.OutcomeFailed,
		Reason:  gate.ReasonStatus,
		Status:  status,
	}, true
}

// forwardWhole passes an answer on once it is whole, so that one that breaks off can be
// asked for again. Long answers are passed on as they come.
func (x *exchange) forwardWhole(b *responseBody) (gate.Result, bool) {
	if b.remaining > maxBufferedBody {
		return x.streamResponse(b, nil)
	}
	content, err := b.readAll(maxBufferedBody)
	if errors.Is(err, errResponseTooLarge) {
		return x.streamResponse(b, content)
	}
	if err != nil {
		return x.classifyError(err), false
	}
	response := endpointResponse{
		status: x.head.StatusCode(),
		head:   forwardedResponseHead(&x.head),
		body:   content,
	}
	x.in.status = response.status
	if x.in.write(response.encode(x.in)) != nil {
		return x.clientLostResult(), true
	}
	return gate.Result{
		Outcome: gate.OutcomeComplete,
		Status:  response.status,
	}, true
}

// streamResponse passes an answer on as it comes, after what was read of it before.
// Resumable streams are passed on in whole events.
func (x *exchange) streamResponse(b *responseBody, prefix []byte) (gate.Result, bool) {
	in := x.in
	if !in.started {
		in.startChunked(&endpointResponse{
			status: x.head.StatusCode(),
			head:   forwardedResponseHead(&x.head),
		})
	}
	in.appendChunk(prefix)
	buffer := make([]byte, streamBufferSize)
	buffered := 0
	for {
		n, err := b.Read(buffer[buffered:])
		buffered += n
		atEnd := errors.Is(err, io.EOF)
		sendable := buffered
		if x.send.Route.Resumable && !atEnd {
			sendable = x.completeEvents(buffer[:buffered])
		}
		in.appendChunk(buffer[:sendable])
		if atEnd {
			in.appendLastChunk()
		}
		if (sendable > 0 || atEnd) && in.flush() != nil {
			return x.clientLostResult(), false
		}
		buffered = copy(buffer, buffer[sendable:buffered])
		switch {
		case atEnd:
			return gate.Result{
				Outcome: gate.OutcomeComplete,
				Status:  x.head.StatusCode(),
			}, true
		case err != nil:
			return x.classifyInterruption(err), false
		case buffered == len(buffer):
			buffer = append(buffer, make([]byte, streamBufferSize)...)
		}
	}
}

// completeEvents returns the length of the complete events in p and remembers the
// last one.
func (x *exchange) completeEvents(p []byte) int {
	length, id := lastCompleteEvent(p)
	if id != "" {
		x.in.lastEventID = id
	}
	return length
}

// classifyInterruption classifies an answer that ended early.
func (x *exchange) classifyInterruption(err error) gate.Result {
	result := x.classifyError(err)
	if x.in.started {
		result.Outcome = gate.OutcomeTruncated
		return result
	}
	x.in.writeBuffer = x.in.writeBuffer[:0]
	return result
}

// clientLostResult is the result of an answer that the client doesn't take.
func (x *exchange) clientLostResult() gate.Result {
	x.in.connBroken = true
	return gate.Result{
		Outcome: gate.OutcomeTruncated,
		Reason:  gate.ReasonClientGone,
	}
}
