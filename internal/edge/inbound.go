package edge

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/pkg/fault"
	"dogwoodfold/platform"
)

// inboundRequest is a client request that is being processed.
type inboundRequest struct {
	id gate.CallID
	// readAt is when the request was read, by time.Now.
	readAt  time.Time
	request *gate.Request
	// head is the request line and the headers to forward to endpoints.
	head []byte
	body budget.Pieces
	// headOnly is true if the client has asked for the head of the answer only.
	headOnly bool
	// memory accounts for the body.
	memory *budget.Reservation
	// owner is the address of the client.
	owner netip.Addr
	// lastEventID is the client's Last-Event-Id, then the ID of the last event
	// forwarded.
	lastEventID string
	client      net.Conn
	// closeAfter is true if the connection closes after the response, which then
	// says so in a Connection header.
	closeAfter bool
	// effects are the reducer's effects on this request.
	effects chan gate.Effect
	// disconnected is closed when the client has closed its connection.
	disconnected chan struct{}
	// finished is closed when the processing of the request has ended.
	finished chan struct{}

	mu sync.Mutex
	// upstream is the connection of the current attempt, nil if there is none.
	upstream *endpointConn
	// attemptDeadline is the deadline of the current attempt.
	attemptDeadline time.Time

	// bufferedFailure is an endpoint's failure response that has not been forwarded.
	bufferedFailure *endpointResponse
	// held is a complete response that has not been sent, heldMemory accounts for it.
	held       *endpointResponse
	heldMemory *budget.Reservation
	// started is true once a part of a streamed response has been sent to the
	// client.
	started bool
	// connBroken is true if the client connection cannot carry another request.
	connBroken bool
	// slowReader is true if the client was given up since it read too slowly, writeAborted
	// if that was for the memory of its response.
	slowReader   bool
	writeAborted atomic.Bool
	// writeBuffer collects bytes to write and is reused between writes.
	writeBuffer []byte
	// firstWriteAt is when the first part of a streamed response was sent,
	// lastWriteAt when the latest one was; maxWriteGap is the longest time between
	// two consecutive parts.
	firstWriteAt time.Time
	lastWriteAt  time.Time
	maxWriteGap  time.Duration
	status       int
	endpoint     string
	// softwareVersions are the versions of the software of the endpoints that the
	// request was sent to, in order.
	softwareVersions []string
	verdict          string
	reason           string
	// framing is how the end of the endpoint's last response was marked, endpointStatus and
	// contentType are its status and Content-Type.
	framing        string
	endpointStatus int
	contentType    string
	// interruption is why the endpoint's last stream was taken as broken off.
	interruption string
	// origin tells how the endpoint's last response was recognized, extraResponses
	// counts the responses to other requests that were discarded before it.
	origin         responseOrigin
	extraResponses int
	// keptConn is true if the connection of the last attempt had carried another
	// request before.
	keptConn bool
	// namedLimit is the limit that the endpoint's last response named, as it was sent.
	namedLimit string
	// endedInEvent is true if the last stream that an endpoint sent ended within
	// an event.
	endedInEvent bool
	// detail is the error with which the entry itself refused the request.
	detail   string
	service  string
	attempts int
	// decision describes the state on which the last decision was based.
	decision gate.DecisionContext
}

// attachUpstream sets the connection to close if the client disconnects. It
// reports false if the client has already disconnected.
func (in *inboundRequest) attachUpstream(conn *endpointConn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.disconnected:
		return false
	default:
	}
	in.upstream = conn
	return true
}

// setAttemptDeadline sets the deadline of the current attempt.
func (in *inboundRequest) setAttemptDeadline(conn *endpointConn, until time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attemptDeadline = until
	return conn.SetDeadline(until)
}

// limitRead sets a deadline for reads of the current attempt that is earlier than that
// of the attempt.
func (in *inboundRequest) limitRead(conn *endpointConn, until time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.attemptDeadline.Before(until) {
		until = in.attemptDeadline
	}
	return conn.SetReadDeadline(until)
}

// restoreReadDeadline sets the deadline of the attempt again for its reads.
func (in *inboundRequest) restoreReadDeadline(conn *endpointConn) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return conn.SetReadDeadline(in.attemptDeadline)
}

// hasTimeLeft reports whether the deadline of the current attempt is still to come.
func (in *inboundRequest) hasTimeLeft(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return now.Before(in.attemptDeadline)
}

// capAttemptDeadline limits the deadline of the current attempt to until.
func (in *inboundRequest) capAttemptDeadline(until time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.upstream != nil && until.Before(in.attemptDeadline) {
		_ = in.upstream.SetDeadline(until) // fails only if the connection is closed
	}
}

func (in *inboundRequest) detachUpstream() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.upstream = nil
}

// markDisconnected records that the client has disconnected and cancels the
// current attempt.
func (in *inboundRequest) markDisconnected() {
	in.mu.Lock()
	defer in.mu.Unlock()
	close(in.disconnected)
	if in.upstream != nil {
		_ = in.upstream.Close() // makes the attempt fail
	}
}

func (in *inboundRequest) isDisconnected() bool {
	select {
	case <-in.disconnected:
		return true
	default:
		return false
	}
}

const (
	// clientWriteTimeout bounds a write to a client that does not read, in addition to the
	// time that a client with minClientRate takes for it.
	clientWriteTimeout = 10 * time.Second
	// minClientRate is the number of bytes per second that a client must read. The slowest
	// mobile links are about as fast, and buffers of the system are filled in advance.
	minClientRate = 4 << 10
)

// write sends bytes to the client.
func (in *inboundRequest) write(p []byte) error {
	timeout := clientWriteTimeout + time.Duration(len(p))*time.Second/minClientRate
	if err := in.client.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if in.writeAborted.Load() {
		return os.ErrDeadlineExceeded
	}
	_, err := in.client.Write(p)
	if isTimeout(err) {
		in.slowReader = true
	}
	return err
}

// sendHeld sends the response that is held, if any.
func (in *inboundRequest) sendHeld() {
	if in.held == nil {
		return
	}
	defer in.heldMemory.Release()
	in.heldMemory.Yield(time.Now(), in.abortWrite)
	err := in.held.writeTo(in)
	in.held = nil
	if err != nil {
		in.verdict = gate.OutcomeTruncated.String()
		in.reason = gate.ReasonClientGone.String()
	}
	if err != nil || in.heldMemory.Evicted() { // abortWrite may still change the deadline
		in.connBroken = true
	}
}

// abortWrite gives up a client that is slow to read, for the memory that its response
// takes.
func (in *inboundRequest) abortWrite() {
	in.writeAborted.Store(true)
	_ = in.client.SetWriteDeadline(time.Now()) // fails only if the connection is closed
}

// writeRefusal responds with an error of the entry itself. It ends a response that has
// begun instead.
func (in *inboundRequest) writeRefusal(err error) {
	in.verdict = fault.VerdictOf(err).String()
	in.reason = string(fault.CodeOf(err))
	in.detail = err.Error()
	if in.started {
		in.connBroken = true
		return
	}
	in.status = clientStatus(err)
	body := []byte(err.Error())
	out := in.writeBuffer[:0]
	out = appendStatus(out, in.status)
	out = appendHeader(out, platform.HeaderRequestID, in.request.ID)
	out = appendHeader(out, "Content-Type", "text/plain")
	out = appendHeader(out, "Content-Length", strconv.Itoa(len(body)))
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		out = appendHeader(out, platform.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	out = in.appendHeadEnd(out)
	if hasBody(in.status, in.headOnly) {
		out = append(out, body...)
	}
	if in.write(out) != nil {
		in.connBroken = true
	}
}

// clientStatus returns the response status for an error of the entry. Statuses
// that tell the client that the request was not executed are used only if that
// is certain; otherwise they are replaced by 502.
func clientStatus(err error) int {
	status := fault.StatusOf(err)
	if fault.VerdictOf(err) == fault.NotRun {
		return status
	}
	switch status {
	case 408, 421, 429, 503:
		return 502
	}
	return status
}

// appendHeadEnd appends the Connection header, if any, and the empty line that
// ends the head.
func (in *inboundRequest) appendHeadEnd(out []byte) []byte {
	if in.closeAfter {
		out = appendHeader(out, "Connection", "close")
	}
	return append(out, "\r\n"...)
}

func appendStatus(out []byte, status int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reasonPhrase(status)...)
	return append(out, "\r\n"...)
}

// forwardFailure forwards the failure response that an endpoint returned. It ends a response
// that has begun instead.
func (in *inboundRequest) forwardFailure() {
	if in.bufferedFailure == nil || in.started {
		in.connBroken = true
		return
	}
	in.status = in.bufferedFailure.status
	in.verdict = fault.Ran.String()
	if in.bufferedFailure.writeTo(in) != nil {
		in.connBroken = true
	}
}

// startChunked puts the head of a chunked response into the write buffer.
func (in *inboundRequest) startChunked(r *endpointResponse) {
	in.status = r.status
	out := append(in.writeBuffer[:0], r.head...)
	out = appendHeader(out, "Transfer-Encoding", "chunked")
	in.writeBuffer = in.appendHeadEnd(out)
}

// flush sends the contents of the write buffer to the client and empties it.
func (in *inboundRequest) flush() error {
	if len(in.writeBuffer) == 0 {
		return nil
	}
	in.started = true
	in.recordWrite(time.Now())
	err := in.write(in.writeBuffer)
	in.writeBuffer = in.writeBuffer[:0]
	return err
}

// recordWrite records the time at which a part of the response is sent.
func (in *inboundRequest) recordWrite(now time.Time) {
	if in.firstWriteAt.IsZero() {
		in.firstWriteAt = now
	} else {
		in.maxWriteGap = max(in.maxWriteGap, now.Sub(in.lastWriteAt))
	}
	in.lastWriteAt = now
}

// appendChunk appends p as a chunk to the write buffer.
func (in *inboundRequest) appendChunk(p []byte) {
	if len(p) == 0 {
		return
	}
	in.writeBuffer = strconv.AppendInt(in.writeBuffer, int64(len(p)), 16)
	in.writeBuffer = append(in.writeBuffer, "\r\n"...)
	in.writeBuffer = append(in.writeBuffer, p...)
	in.writeBuffer = append(in.writeBuffer, "\r\n"...)
}

// appendLastChunk appends the terminating chunk of a complete response.
func (in *inboundRequest) appendLastChunk() { in.writeBuffer = append(in.writeBuffer, "0\r\n\r\n"...) }
