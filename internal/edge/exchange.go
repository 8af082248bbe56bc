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
	// heldBody bounds the body of an answer that is held until it is whole.
	heldBody = 256 << 10
	// inlineBody is the longest request body that is written before the answer
	// is awaited; longer ones are written beside it.
	inlineBody = 8 << 10
	// relayBuffer is the size of the reads of a stream.
	relayBuffer = 4 << 10
	// leastDeadline is the least time that an endpoint is given.
	leastDeadline = time.Millisecond
)

// exchange is one attempt of a request at one endpoint.
type exchange struct {
	in   *inbound
	send gate.Send
	conn *outbound
	head fasthttp.ResponseHeader
	// writing ends with the outcome of writing the request.
	writing chan error
	post    func(gate.Event)
}

// attempt sends a request to an endpoint and passes its answer on.
func (s *Server) attempt(in *inbound, send gate.Send) gate.Result {
	now := s.clock.Now()
	left := send.Deadline.Sub(now)
	if left < leastDeadline {
		return notRun(gate.ReasonTimeout)
	}
	conn, err := s.pool.get(now, send.Endpoint, send.Address, left)
	if in.left() {
		if err == nil {
			_ = conn.Close() // unused
		}
		return notRun(gate.ReasonClientGone)
	}
	if err != nil {
		return notRun(gate.ReasonDial)
	}
	x := &exchange{
		in:      in,
		send:    send,
		conn:    conn,
		writing: make(chan error, 1),
		post:    s.post,
	}
	if !in.attach(conn) {
		_ = conn.Close() // unused
		return notRun(gate.ReasonClientGone)
	}
	result, keep := x.run(s.clock.Now, left)
	in.detach()
	if keep {
		s.pool.put(s.clock.Now(), send.Endpoint, conn)
	} else {
		_ = conn.Close() // what follows on it belongs to no request
	}
	if in.left() && result.Outcome != gate.OutcomeComplete {
		result.Reason = gate.ReasonClientGone
	}
	return result
}

func notRun(r gate.Reason) gate.Result {
	return gate.Result{
		Outcome: gate.OutcomeNotRun,
		Reason:  r,
	}
}

func unknown(r gate.Reason) gate.Result {
	return gate.Result{
		Outcome: gate.OutcomeMayHaveRun,
		Reason:  r,
	}
}

// run sends the request and handles the answer. It reports whether the
// connection may be used again.
func (x *exchange) run(clock func() time.Time, left time.Duration) (gate.Result, bool) {
	// Deadlines of sockets count by the process's own clock.
	if err := x.in.deadline(x.conn, time.Now().Add(left)); err != nil {
		return notRun(gate.ReasonDial), false
	}
	now := clock()
	if !x.send.ConfigValidUntil.IsZero() && now.After(x.send.ConfigValidUntil) {
		return notRun(gate.ReasonConfigStale), true
	}
	x.write(max(x.send.Deadline.Sub(now), leastDeadline))
	body, err := x.readHead()
	if err != nil {
		return x.lost(err), false
	}
	result, whole := x.handle(body)
	if !whole || !reusable(&x.head, body, x.conn.reader) {
		return result, false
	}
	select {
	case err := <-x.writing:
		x.conn.idle = keepAlive(string(x.head.Peek("Keep-Alive")))
		return result, err == nil
	default:
		return result, false // the endpoint would take a new request for the rest
	}
}

// write sends the request, a long one beside the reading of its answer.
func (x *exchange) write(left time.Duration) {
	head := append(x.in.out[:0], x.in.head...)
	head = appendHeader(head, platform.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	head = appendHeader(head, platform.HeaderExpectInstance, x.send.Endpoint)
	head = appendHeader(head, platform.HeaderPriority, strconv.Itoa(x.send.Priority))
	if x.send.Customer != "" {
		head = appendHeader(head, platform.HeaderCustomer, x.send.Customer)
	}
	if x.in.lastEvent != "" {
		head = appendHeader(head, platform.HeaderLastEventID, x.in.lastEvent)
	}
	if len(x.in.body) > 0 {
		head = appendHeader(head, "Content-Length", strconv.Itoa(len(x.in.body)))
	}
	head = append(head, "\r\n"...)
	if len(x.in.body) <= inlineBody {
		head = append(head, x.in.body...)
		_, err := x.conn.Write(head)
		x.in.out = head[:0]
		x.writing <- err
		return
	}
	x.in.out = nil // the other goroutine has it
	go func() {
		_, err := x.conn.Write(head)
		if err == nil {
			_, err = x.conn.Write(x.in.body)
		}
		x.writing <- err
	}()
}

var errCrossed = errors.New("the answer belongs to another request")

// mostCrossed bounds the answers to other requests that are skipped.
const mostCrossed = 4

// readHead reads up to the head of the answer to this request. Answers to
// earlier requests on the connection are dropped.
func (x *exchange) readHead() (*body, error) {
	for range mostCrossed {
		x.head.Reset()
		if err := x.head.Read(x.conn.reader); err != nil {
			return nil, err
		}
		if x.head.StatusCode() < fasthttp.StatusOK {
			continue
		}
		b := newBody(x.conn.reader, &x.head)
		if matches(&x.head, x.in.request.ID) || refusal(&x.head) {
			return b, nil
		}
		if b.unended || len(x.head.Peek(platform.HeaderRequestID)) == 0 {
			return nil, errCrossed
		}
		if _, err := io.Copy(io.Discard, b); err != nil {
			return nil, err
		}
	}
	return nil, errCrossed
}

// refusal reports whether an answer says that the request did not run. Such an
// answer may lack the request's id.
func refusal(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderRequestID)) == 0 && notExecuted(h)
}

func notExecuted(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderNotExecuted)) > 0 || h.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// lost classifies an attempt without an answer.
func (x *exchange) lost(err error) gate.Result {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errCrossed):
		return unknown(gate.ReasonMalformed)
	case errors.As(err, &timeout) && timeout.Timeout():
		return unknown(gate.ReasonTimeout)
	default:
		return unknown(gate.ReasonReset)
	}
}

// handle passes an answer on or holds it back. It reports whether the answer was
// read whole.
func (x *exchange) handle(b *body) (gate.Result, bool) {
	status := x.head.StatusCode()
	if notExecuted(&x.head) {
		_, err := b.all(heldBody)
		return x.refused(status), err == nil
	}
	if status < 200 || status > 299 {
		return x.failed(b, status)
	}
	if len(x.head.Peek(platform.HeaderServerStamp)) == 0 || len(x.head.Peek("Content-Encoding")) > 0 {
		return unknown(gate.ReasonMalformed), false
	}
	x.post(gate.FirstByteReceived{Call: x.in.id})
	if x.send.Route.Kind == topo.Stream || x.in.begun {
		return x.relay(b, nil)
	}
	return x.hold(b)
}

// refused classifies an answer that says the request did not run.
func (x *exchange) refused(status int) gate.Result {
	result := notRun(gate.ReasonRefused)
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

// failed holds back an endpoint's failure.
func (x *exchange) failed(b *body, status int) (gate.Result, bool) {
	if x.in.begun {
		return gate.Result{
			Outcome: gate.OutcomeTruncated,
			Reason:  gate.ReasonStatus,
			Status:  status,
		}, false
	}
	text, err := b.all(heldBody)
	if err != nil {
		return x.lost(err), false
	}
	x.in.held = &answer{
		status: status,
		head:   responseHead(&x.head),
		body:   text,
	}
	return gate.Result{
		Outcome: gate.OutcomeFailed,
		Reason:  gate.ReasonStatus,
		Status:  status,
	}, true
}

// hold passes an answer on once it is whole, so that one that breaks off can be
// asked for again. Long answers are passed on as they come.
func (x *exchange) hold(b *body) (gate.Result, bool) {
	if b.left > heldBody {
		return x.relay(b, nil)
	}
	text, err := b.all(heldBody)
	if errors.Is(err, errBodyBound) {
		return x.relay(b, text)
	}
	if err != nil {
		return x.lost(err), false
	}
	whole := answer{
		status: x.head.StatusCode(),
		head:   responseHead(&x.head),
		body:   text,
	}
	x.in.status = whole.status
	if x.in.write(whole.whole(x.in)) != nil {
		return x.clientLost(), true
	}
	return gate.Result{
		Outcome: gate.OutcomeComplete,
		Status:  whole.status,
	}, true
}

// relay passes an answer on as it comes, after what was read of it before.
// Resumable streams are passed on in whole events.
func (x *exchange) relay(b *body, before []byte) (gate.Result, bool) {
	in := x.in
	if !in.begun {
		in.beginStream(&answer{
			status: x.head.StatusCode(),
			head:   responseHead(&x.head),
		})
	}
	in.chunk(before)
	buffer := make([]byte, relayBuffer)
	kept := 0
	for {
		n, err := b.Read(buffer[kept:])
		kept += n
		ended := errors.Is(err, io.EOF)
		ready := kept
		if x.send.Route.Resumable && !ended {
			ready = x.wholeEvents(buffer[:kept])
		}
		in.chunk(buffer[:ready])
		if ended {
			in.lastChunk()
		}
		if (ready > 0 || ended) && in.flush() != nil {
			return x.clientLost(), false
		}
		kept = copy(buffer, buffer[ready:kept])
		switch {
		case ended:
			return gate.Result{
				Outcome: gate.OutcomeComplete,
				Status:  x.head.StatusCode(),
			}, true
		case err != nil:
			return x.interrupted(err), false
		case kept == len(buffer):
			buffer = append(buffer, make([]byte, relayBuffer)...)
		}
	}
}

// wholeEvents returns the length of the complete events in p and remembers the
// last one.
func (x *exchange) wholeEvents(p []byte) int {
	ready, id := wholeEvents(p)
	if id != "" {
		x.in.lastEvent = id
	}
	return ready
}

// interrupted classifies an answer that ended early.
func (x *exchange) interrupted(err error) gate.Result {
	result := x.lost(err)
	if x.in.begun {
		result.Outcome = gate.OutcomeTruncated
		return result
	}
	x.in.out = x.in.out[:0]
	return result
}

// clientLost is the result of an answer that the client doesn't take.
func (x *exchange) clientLost() gate.Result {
	x.in.broken = true
	return gate.Result{
		Outcome: gate.OutcomeTruncated,
		Reason:  gate.ReasonClientGone,
	}
}
