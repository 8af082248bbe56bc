package edge

import (
	"errors"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

const (
	// maxBufferedBody is the largest response body, or event of a stream, that is
	// buffered until it is complete.
	maxBufferedBody = 256 << 10
	// maxInlineBody is the largest request body that is written before the
	// response is read; larger ones are written concurrently.
	maxInlineBody = 8 << 10
	// minAttemptTimeout is the least remaining time with which an attempt is made.
	minAttemptTimeout = time.Millisecond
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
	// unlimited is true if the answer has begun and the endpoint names no limit in it.
	unlimited bool
	// continued is true once the reducer was told that the answer continues.
	continued bool
	// written is closed when the request is written or can't be; writeErr is the reason then.
	written  chan struct{}
	writeErr error
	post     func(gate.Event)
	// memory accounts in budget for the response if it is held until it is complete; nil
	// for a small one.
	budget *budget.Budget
	memory *budget.Reservation
}

// attempt sends a request to an endpoint and forwards the response.
func (s *Server) attempt(in *inboundRequest, send gate.Send) gate.Result {
	now := s.clock.Now()
	remaining := send.Deadline.Sub(now)
	if remaining < minAttemptTimeout {
		return notRunResult(gate.ReasonTimeout)
	}
	conn, err := s.pool.get(now, send.Endpoint, send.Address, in.request.ID, remaining)
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
		in:      in,
		send:    send,
		conn:    conn,
		events:  newEventParser(in.lastEventID),
		written: make(chan struct{}),
		post:    s.post,
		budget:  s.memory,
	}
	defer func() { x.memory.Release() }()
	if !send.Route.Resumable && in.lastEventID != "" {
		x.events.positioned = false // such a stream may also begin anew
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
	if !complete || x.conn.outOfSync || !isReusable(&x.head, body, x.conn.reader) {
		return result, false
	}
	select {
	case <-x.written:
		x.conn.idleTimeout = keepAliveTimeout(string(x.head.Peek("Keep-Alive")))
		return result, x.writeErr == nil
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
	body := &x.in.body
	if body.Size > 0 {
		head = appendHeader(head, "Content-Length", strconv.Itoa(body.Size))
	}
	head = append(head, "\r\n"...)
	if body.Size <= maxInlineBody {
		for _, piece := range body.Pieces {
			head = append(head, piece...)
		}
		_, x.writeErr = x.conn.Write(head)
		x.in.writeBuffer = head[:0]
		close(x.written)
		return
	}
	x.in.writeBuffer = nil // the goroutine below uses it
	go func() {
		defer close(x.written)
		_, x.writeErr = x.conn.Write(head)
		for i := 0; x.writeErr == nil && i < len(body.Pieces); i++ {
			_, x.writeErr = x.conn.Write(body.Pieces[i])
		}
	}()
}

// checkClosed returns an error if the endpoint has reset the connection, though a read has found
// nothing but its end. The system reports a reset once: if it ends the write of the request, the
// reads after it end as if the endpoint had closed the connection in order.
func (x *exchange) checkClosed() error {
	err := x.stopWriting()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil // EPIPE reports a reset that came after an orderly end
	}
	return err
}

// stopWriting ends the write of the request, if it still goes on, and returns its error.
func (x *exchange) stopWriting() error {
	x.in.detachUpstream()                   // else another deadline may replace this one
	_ = x.conn.SetWriteDeadline(time.Now()) // fails only if the connection is closed
	<-x.written
	return x.writeErr
}

// handleResponse forwards a response, or withholds it if it is a refusal, a failure
// or malformed. It reports whether the response was read completely.
func (x *exchange) handleResponse(b *responseBody) (gate.Result, bool) {
	x.in.framing = b.framing()
	x.in.endpointStatus = x.head.StatusCode()
	x.in.contentType = string(x.head.Peek(fasthttp.HeaderContentType))
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
	if x.continuesStream() && !isEventStreamHead(&x.head) {
		return x.classifyInterruption(errNotContinued), false
	}
	x.unlimited = unlimited
	if !x.isEventStream() {
		x.postFirstByte() // else its first event counts
	}
	if x.in.started || x.isEventStream() && hasBody(status, x.in.headOnly) {
		return x.streamResponse(b, nil)
	}
	return x.forwardWhole(b)
}

// postFirstByte tells the reducer that the answer has begun.
func (x *exchange) postFirstByte() {
	x.post(gate.FirstByteReceived{
		Call:      x.in.id,
		Unlimited: x.unlimited,
	})
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
	x.in.bufferedFailure = x.wholeResponse(budget.Pieces{
		Pieces: [][]byte{content},
		Size:   len(content),
	})
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
