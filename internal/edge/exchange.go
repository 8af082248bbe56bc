package edge

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/platform"
)

const (
	// maxBufferedBody is the largest response body, or event of a stream, that is
	// buffered until it is complete.
	maxBufferedBody = 256 << 10
	// maxInlineBody is the largest request body that is written before the
	// response is read; larger ones are written concurrently.
	maxInlineBody = 8 << 10
	// streamBufferSize is the initial size of the buffer for a streamed response,
	// and the step by which it grows to hold a longer event.
	streamBufferSize = 4 << 10
	// minAttemptTimeout is the least remaining time with which an attempt is made.
	minAttemptTimeout = time.Millisecond
	// headTime bounds the time from the first byte of a response to the end of its
	// head, bufferedBodyTime the time from there to the end of a body that isn't
	// forwarded as it arrives because it isn't the answer to the request.
	headTime         = time.Second
	bufferedBodyTime = time.Second
	// trailerTime bounds the time from the last chunk of a body to the end of its
	// trailer.
	trailerTime = 500 * time.Millisecond
	// continuedAnswerTime is the time after its first event from which a stream that
	// still brings events counts as one that its prompt doesn't break off.
	continuedAnswerTime = time.Second
)

// exchange is one attempt of a request at one endpoint.
type exchange struct {
	in     *inboundRequest
	send   gate.Send
	conn   *endpointConn
	head   fasthttp.ResponseHeader
	events eventParser
	// firstEventAt is when the endpoint sent its first complete event, by time.Now.
	firstEventAt time.Time
	// continued is true once the reducer was told that the answer continues.
	continued bool
	// writeDone receives the result of writing the request.
	writeDone chan error
	post      func(gate.Event)
}

// attempt sends a request to an endpoint and forwards the response.
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
	result, reusable := x.run(s.clock.Now, remaining)
	in.detachUpstream()
	if reusable {
		s.pool.put(s.clock.Now(), send.Endpoint, conn)
	} else {
		_ = conn.Close() // anything still unread belongs to no request
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

func mayHaveRunResult(r gate.Reason) gate.Result {
	return gate.Result{
		Outcome: gate.OutcomeMayHaveRun,
		Reason:  r,
	}
}

// run sends the request and handles the response. It reports whether the
// connection may be reused.
func (x *exchange) run(clockNow func() time.Time, timeout time.Duration) (gate.Result, bool) {
	// Socket deadlines are compared with time.Now, not with clockNow.
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
	result.CloseDelimited = body.closeDelimited
	if !complete || !isReusable(&x.head, body, x.conn.reader) {
		return result, false
	}
	select {
	case err := <-x.writeDone:
		x.conn.idleTimeout = keepAliveTimeout(string(x.head.Peek("Keep-Alive")))
		return result, err == nil
	default:
		return result, false // the endpoint would read a next request as the rest of this one
	}
}

// writeRequest sends the request. A body larger than maxInlineBody is written
// while the response is read.
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
	x.in.writeBuffer = nil // the goroutine below uses it
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(x.in.body)
		}
		x.writeDone <- err
	}()
}

// Errors of responses that are not valid responses to the request.
var (
	errMismatchedResponse = errors.New("response belongs to another request")
	errEventTooLong       = errors.New("event exceeds the buffer limit")
	errNoEvent            = errors.New("the stream holds bytes that are no event")
)

// maxMismatchedResponses bounds the number of response heads that are read to
// find the response to the request.
const maxMismatchedResponses = 4

// readResponseHead reads the head of the response to this request. Interim
// responses and responses to earlier requests on the connection are discarded.
func (x *exchange) readResponseHead() (*responseBody, error) {
	for range maxMismatchedResponses {
		if err := x.readHead(); err != nil {
			return nil, err
		}
		if x.head.StatusCode() < fasthttp.StatusOK {
			continue
		}
		b := newResponseBody(x.conn.reader, &x.head, x.readTrailer)
		if isResponseTo(&x.head, x.in.request.ID) || isRefusalWithoutID(&x.head) {
			return b, nil
		}
		if b.closeDelimited || len(x.head.Peek(platform.HeaderRequestID)) == 0 {
			return nil, errMismatchedResponse
		}
		if _, err := x.readBuffered(b); err != nil {
			return nil, err
		}
	}
	return nil, errMismatchedResponse
}

// readHead waits for a response and reads its head within headTime.
func (x *exchange) readHead() error {
	x.head.Reset()
	if _, err := x.conn.reader.Peek(1); err != nil {
		return err
	}
	return x.readWithin(headTime, func() error { return x.head.Read(x.conn.reader) })
}

// readBuffered reads the rest of a body that isn't forwarded as it arrives, up to
// maxBufferedBody and within bufferedBodyTime.
func (x *exchange) readBuffered(b *responseBody) (content []byte, err error) {
	err = x.readWithin(bufferedBodyTime, func() error {
		content, err = b.readAll(maxBufferedBody)
		return err
	})
	return content, err
}

// readWithin bounds the time of a read. A read that takes longer, though time is left
// for the attempt, fails with errEndlessResponse.
func (x *exchange) readWithin(limit time.Duration, read func() error) error {
	end := time.Now().Add(limit)
	if err := x.in.limitRead(x.conn, end); err != nil {
		return err
	}
	err := read()
	if isTimeout(err) && x.in.hasTimeLeft(time.Now()) {
		return errEndlessResponse
	}
	if restoreErr := x.in.restoreReadDeadline(x.conn); err == nil {
		err = restoreErr
	}
	return err
}

// readTrailer reads the trailer of a chunked body within trailerTime.
func (x *exchange) readTrailer() error {
	return x.readWithin(trailerTime, func() error { return readTrailer(x.conn.reader) })
}

func isTimeout(err error) bool {
	var timeoutErr interface{ Timeout() bool }
	return errors.As(err, &timeoutErr) && timeoutErr.Timeout()
}

// isRefusalWithoutID reports whether a response without a request ID states that
// the request was not executed. Such a response is not required to carry the ID.
func isRefusalWithoutID(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderRequestID)) == 0 && isNotExecuted(h)
}

func isNotExecuted(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderNotExecuted)) > 0 || h.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// classifyError returns the result of an attempt that failed without a complete
// response.
func (x *exchange) classifyError(err error) gate.Result {
	switch {
	case slices.ContainsFunc(malformations, func(m error) bool { return errors.Is(err, m) }):
		return mayHaveRunResult(gate.ReasonMalformed)
	case isTimeout(err):
		return mayHaveRunResult(gate.ReasonTimeout)
	default:
		return mayHaveRunResult(gate.ReasonReset)
	}
}

// malformations are the errors of bytes that are no response to the request.
var malformations = []error{
	errMismatchedResponse,
	errEventTooLong,
	errNoEvent,
	errResponseTooLarge,
	errEndlessResponse,
	errBodyTooLarge,
}

// handleResponse forwards a response, or withholds it if it is a refusal, a failure
// or malformed. It reports whether the response was read completely.
func (x *exchange) handleResponse(b *responseBody) (gate.Result, bool) {
	x.in.framing = b.framing()
	unlimited := x.recordLimit()
	if platform.IsLeaving(x.head.Peek(platform.HeaderLeaving)) {
		x.post(gate.EndpointLeaving{
			Endpoint:    x.send.Endpoint,
			Incarnation: x.send.Incarnation,
		})
	}
	status := x.head.StatusCode()
	if isNotExecuted(&x.head) {
		_, err := x.readBuffered(b)
		result := x.classifyRefusal(status)
		result.Unlimited = unlimited
		return result, err == nil
	}
	if status < 200 || status > 299 {
		result, complete := x.bufferFailure(b, status)
		result.Unlimited = unlimited
		return result, complete
	}
	if len(x.head.Peek(platform.HeaderServerStamp)) == 0 || len(x.head.Peek("Content-Encoding")) > 0 {
		return mayHaveRunResult(gate.ReasonMalformed), false
	}
	x.post(gate.FirstByteReceived{
		Call:      x.in.id,
		Unlimited: unlimited,
	})
	if x.isEventStream() || x.in.started {
		return x.streamResponse(b, nil)
	}
	return x.forwardWhole(b)
}

// recordLimit tells the reducer of a limit that the endpoint names in its response. It
// reports whether the endpoint names none.
func (x *exchange) recordLimit() (unlimited bool) {
	if id := x.head.Peek(platform.HeaderInstanceID); len(id) > 0 && string(id) != x.send.Endpoint {
		return false // another endpoint answers at the address
	}
	value := x.head.Peek(platform.HeaderLimit)
	x.in.namedLimit = string(value)
	perSecond, named := platform.ParseLimit(value)
	if named {
		x.post(gate.LimitNamed{
			Endpoint:    x.send.Endpoint,
			Incarnation: x.send.Incarnation,
			PerSecond:   perSecond,
		})
	}
	return len(value) == 0
}

// classifyRefusal returns the result of a response that states that the request
// was not executed.
func (x *exchange) classifyRefusal(status int) gate.Result {
	result := notRunResult(gate.ReasonRefused)
	result.Status = status
	result.RetryAfter = x.retryAfter(status)
	if status != fasthttp.StatusMisdirectedRequest {
		return result
	}
	result.Reason = gate.ReasonModelMissing
	if id := x.head.Peek(platform.HeaderInstanceID); len(id) > 0 && string(id) != x.send.Endpoint {
		result.Reason = gate.ReasonAddressReused
	}
	return result
}

// bufferFailure keeps a failure response in bufferedFailure, to be forwarded only
// if the request is not retried.
func (x *exchange) bufferFailure(b *responseBody, status int) (gate.Result, bool) {
	if x.in.started {
		return gate.Result{
			Outcome: gate.OutcomeTruncated,
			Reason:  gate.ReasonStatus,
			Status:  status,
		}, false
	}
	content, err := x.readBuffered(b)
	if err != nil {
		return x.classifyError(err), false
	}
	x.in.bufferedFailure = &endpointResponse{
		status: status,
		head:   forwardedResponseHead(&x.head),
		body:   content,
	}
	return gate.Result{
		Outcome:    gate.OutcomeFailed,
		Reason:     gate.ReasonStatus,
		Status:     status,
		RetryAfter: x.retryAfter(status),
	}, true
}

// retryAfter returns how long an endpoint that has turned a request away wants no
// other one.
func (x *exchange) retryAfter(status int) time.Duration {
	if status != fasthttp.StatusServiceUnavailable {
		return 0
	}
	return platform.ParseRetryAfter(x.head.Peek(platform.HeaderRetryAfter))
}

// forwardWhole forwards a response once it is complete, so that a request whose
// response is truncated can be retried. Responses larger than maxBufferedBody
// are streamed.
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

// streamResponse forwards a response as it arrives, starting with prefix, which
// was read before. Streams of events are forwarded in complete events, so that
// they can continue at another endpoint.
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
				Outcome: gate.OutcomeComplete,
				Status:  x.head.StatusCode(),
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

// sendableLength returns how much of p, which starts with an event if the response
// is a stream, can be forwarded. It records the ID of the last event. Bytes that are no
// event are an error.
func (x *exchange) sendableLength(p []byte) (int, error) {
	if !x.isEventStream() {
		return len(p), nil
	}
	length, id, err := x.events.complete(p)
	if length > 0 {
		x.recordEvents(time.Now())
	}
	if id != "" {
		x.in.lastEventID = id
	}
	return length, err
}

// recordEvents records that complete events have arrived, and tells the reducer once
// that the answer continues.
func (x *exchange) recordEvents(now time.Time) {
	switch {
	case x.firstEventAt.IsZero():
		x.firstEventAt = now
	case !x.continued && now.Sub(x.firstEventAt) >= continuedAnswerTime:
		x.continued = true
		x.post(gate.AnswerContinues{Call: x.in.id})
	}
}

// checkStreamEnd returns io.EOF if a response is complete whose framing has ended
// with unfinished bytes after the last event, and otherwise io.ErrUnexpectedEOF.
// The framing alone proves nothing: an endpoint that fails may still end it. A
// stream whose only end is that of its connection must hold at least one event
// unless it continues another one.
func (x *exchange) checkStreamEnd(b *responseBody, unfinished int) error {
	if unfinished > 0 {
		return io.ErrUnexpectedEOF
	}
	if x.isEventStream() && b.closeDelimited && x.firstEventAt.IsZero() && x.in.lastEventID == "" {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// classifyInterruption returns the result of a response that ended early. If no
// part of it was sent to the client, it discards what was buffered.
func (x *exchange) classifyInterruption(err error) gate.Result {
	result := x.classifyError(err)
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
