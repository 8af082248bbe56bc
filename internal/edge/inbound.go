package edge

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/pkg/fault"
	"dogwoodfold/platform"
)

// inboundRequest is a client's request on its way.
type inboundRequest struct {
	id gate.CallID
	// readAt is when the request was read, by the process's own clock.
	readAt  time.Time
	request *gate.Request
	// head is the request line and the headers that endpoints get.
	head []byte
	body []byte
	// lastEventID is the client's Last-Event-Id, then the last event passed on.
	lastEventID string
	client      net.Conn
	// closeAfter tells the client that the connection ends after the answer.
	closeAfter bool
	effects    chan gate.Effect
	// disconnected is closed when the client has closed its connection.
	disconnected chan struct{}
	// finished is closed when the request has its final answer.
	finished chan struct{}

	mu       sync.Mutex
	upstream *endpointConn
	// attemptDeadline is the end of the attempt under way.
	attemptDeadline time.Time

	// heldFailure is an endpoint's failure that was not passed on yet.
	heldFailure *endpointResponse
	// started is true once a part of an answer was passed on.
	started     bool
	connBroken  bool
	writeBuffer []byte
	// firstWriteAt is when the first part of the answer was passed on, lastAt the
	// last one; pause is the longest time between two.
	firstWriteAt time.Time
	lastWriteAt  time.Time
	maxWriteGap  time.Duration
	status       int
	endpoint     string
	verdict      string
	reason       string
	// detail says why the entry refused the request.
	detail   string
	service  string
	attempts int
	// basis is what the last decision rested on.
	basis gate.DecisionContext
}

// attachUpstream makes a connection the one to close if the client leaves. It reports
// false if the client has left.
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

// setAttemptDeadline sets the end of the attempt under way.
func (in *inboundRequest) setAttemptDeadline(conn *endpointConn, until time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attemptDeadline = until
	return conn.SetDeadline(until)
}

// capAttemptDeadline brings the end of the attempt under way forward, if it is later.
func (in *inboundRequest) capAttemptDeadline(until time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.upstream != nil && until.Before(in.attemptDeadline) {
		_ = in.upstream.SetDeadline(until) // a closed connection needs none
	}
}

func (in *inboundRequest) detachUpstream() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.upstream = nil
}

// markDisconnected ends the attempt under way, since the client has left.
func (in *inboundRequest) markDisconnected() {
	in.mu.Lock()
	defer in.mu.Unlock()
	close(in.disconnected)
	if in.upstream != nil {
		_ = in.upstream.Close() // the attempt sees the end
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

// clientWriteTimeout bounds a write to a client that doesn't read.
const clientWriteTimeout = 10 * time.Second

// write sends bytes to the client.
func (in *inboundRequest) write(p []byte) error {
	if err := in.client.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
		return err
	}
	_, err := in.client.Write(p)
	return err
}

// writeRefusal answers with a failure of the entry's own.
func (in *inboundRequest) writeRefusal(err error) {
	in.status = clientStatus(err)
	in.verdict = fault.VerdictOf(err).String()
	in.reason = string(fault.CodeOf(err))
	in.detail = err.Error()
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
	out = append(out, body...)
	if in.write(out) != nil {
		in.connBroken = true
	}
}

// clientStatus keeps the statuses that promise "not run" for failures that did not.
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

// appendHeadEnd adds the connection's own header and the end of the head.
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

// forwardFailure hands on the failure that an endpoint answered with.
func (in *inboundRequest) forwardFailure() {
	if in.heldFailure == nil {
		in.connBroken = true
		return
	}
	in.status = in.heldFailure.status
	in.verdict = fault.Ran.String()
	if in.write(in.heldFailure.encode(in)) != nil {
		in.connBroken = true
	}
}

// startChunked writes the head of an answer of unknown length.
func (in *inboundRequest) startChunked(a *endpointResponse) {
	in.status = a.status
	out := append(in.writeBuffer[:0], a.head...)
	out = appendHeader(out, "Transfer-Encoding", "chunked")
	in.writeBuffer = in.appendHeadEnd(out)
}

// flush writes what was gathered in out and empties it.
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

// recordWrite notes that a part of the answer is passed on.
func (in *inboundRequest) recordWrite(now time.Time) {
	if in.firstWriteAt.IsZero() {
		in.firstWriteAt = now
	} else {
		in.maxWriteGap = max(in.maxWriteGap, now.Sub(in.lastWriteAt))
	}
	in.lastWriteAt = now
}

// appendChunk adds bytes of a body to what the next flush writes.
func (in *inboundRequest) appendChunk(p []byte) {
	if len(p) == 0 {
		return
	}
	in.writeBuffer = strconv.AppendInt(in.writeBuffer, int64(len(p)), 16)
	in.writeBuffer = append(in.writeBuffer, "\r\n"...)
	in.writeBuffer = append(in.writeBuffer, p...)
	in.writeBuffer = append(in.writeBuffer, "\r\n"...)
}

// appendLastChunk ends a whole answer.
func (in *inboundRequest) appendLastChunk() { in.writeBuffer = append(in.writeBuffer, "0\r\n\r\n"...) }

var (
	eventTerminator = []byte("\n\n")
	eventIDField    = []byte("id:")
)

// lastCompleteEvent returns the length of the events in p that are complete, and the
// id of the last one.
func lastCompleteEvent(p []byte) (int, string) {
	end := bytes.LastIndex(p, eventTerminator)
	if end < 0 {
		return 0, ""
	}
	end += len(eventTerminator)
	id := ""
	for line := range bytes.SplitSeq(p[:end], []byte("\n")) {
		if bytes.HasPrefix(line, eventIDField) {
			id = string(bytes.TrimSpace(line[len(eventIDField):]))
		}
	}
	return end, id
}
