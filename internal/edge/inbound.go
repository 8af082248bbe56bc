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

// inbound is a client's request on its way.
type inbound struct {
	id gate.CallID
	// readAt is when the request was read, by the process's own clock.
	readAt  time.Time
	request *gate.Request
	// head is the request line and the headers that endpoints get.
	head []byte
	body []byte
	// lastEvent is the client's Last-Event-Id, then the last event passed on.
	lastEvent string
	client    net.Conn
	// closing tells the client that the connection ends after the answer.
	closing  bool
	commands chan gate.Effect
	// gone is closed when the client has closed its connection.
	gone chan struct{}
	// finished is closed when the request has its final answer.
	finished chan struct{}

	mu       sync.Mutex
	upstream *outbound
	// until is the end of the attempt under way.
	until time.Time

	// held is an endpoint's failure that was not passed on yet.
	held *answer
	// begun is true once a part of an answer was passed on.
	begun  bool
	broken bool
	out    []byte
	// firstAt is when the first part of the answer was passed on, lastAt the
	// last one; pause is the longest time between two.
	firstAt time.Time
	lastAt  time.Time
	pause   time.Duration
	status  int
	sentTo  string
	verdict string
	reason  string
	// detail says why the entry refused the request.
	detail  string
	service string
	tries   int
	// basis is what the last decision rested on.
	basis gate.DecisionContext
}

// attach makes a connection the one to close if the client leaves. It reports
// false if the client has left.
func (in *inbound) attach(conn *outbound) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.gone:
		return false
	default:
	}
	in.upstream = conn
	return true
}

// deadline sets the end of the attempt under way.
func (in *inbound) deadline(conn *outbound, until time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.until = until
	return conn.SetDeadline(until)
}

// bound brings the end of the attempt under way forward, if it is later.
func (in *inbound) bound(until time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.upstream != nil && until.Before(in.until) {
		_ = in.upstream.SetDeadline(until) // a closed connection needs none
	}
}

func (in *inbound) detach() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.upstream = nil
}

// abandon ends the attempt under way, since the client has left.
func (in *inbound) abandon() {
	in.mu.Lock()
	defer in.mu.Unlock()
	close(in.gone)
	if in.upstream != nil {
		_ = in.upstream.Close() // the attempt sees the end
	}
}

func (in *inbound) left() bool {
	select {
	case <-in.gone:
		return true
	default:
		return false
	}
}

// clientWriteTimeout bounds a write to a client that doesn't read.
const clientWriteTimeout = 10 * time.Second

// write sends bytes to the client.
func (in *inbound) write(p []byte) error {
	if err := in.client.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
		return err
	}
	_, err := in.client.Write(p)
	return err
}

// refuse answers with a failure of the entry's own.
func (in *inbound) refuse(err error) {
	in.status = statusOf(err)
	in.verdict = fault.VerdictOf(err).String()
	in.reason = string(fault.CodeOf(err))
	in.detail = err.Error()
	body := []byte(err.Error())
	out := in.out[:0]
	out = appendStatus(out, in.status)
	out = appendHeader(out, platform.HeaderRequestID, in.request.ID)
	out = appendHeader(out, "Content-Type", "text/plain")
	out = appendHeader(out, "Content-Length", strconv.Itoa(len(body)))
	if after := fault.RetryAfterOf(err); after > 0 {
		out = appendHeader(out, platform.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	out = in.endHead(out)
	out = append(out, body...)
	if in.write(out) != nil {
		in.broken = true
	}
}

// statusOf keeps the statuses that promise "not run" for failures that did not.
func statusOf(err error) int {
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

// endHead adds the connection's own header and the end of the head.
func (in *inbound) endHead(out []byte) []byte {
	if in.closing {
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

// pass hands on the failure that an endpoint answered with.
func (in *inbound) pass() {
	if in.held == nil {
		in.broken = true
		return
	}
	in.status = in.held.status
	in.verdict = fault.Ran.String()
	if in.write(in.held.whole(in)) != nil {
		in.broken = true
	}
}

// beginStream writes the head of an answer of unknown length.
func (in *inbound) beginStream(a *answer) {
	in.status = a.status
	out := append(in.out[:0], a.head...)
	out = appendHeader(out, "Transfer-Encoding", "chunked")
	in.out = in.endHead(out)
}

// flush writes what was gathered in out and empties it.
func (in *inbound) flush() error {
	if len(in.out) == 0 {
		return nil
	}
	in.begun = true
	in.mark(time.Now())
	err := in.write(in.out)
	in.out = in.out[:0]
	return err
}

// mark notes that a part of the answer is passed on.
func (in *inbound) mark(now time.Time) {
	if in.firstAt.IsZero() {
		in.firstAt = now
	} else {
		in.pause = max(in.pause, now.Sub(in.lastAt))
	}
	in.lastAt = now
}

// chunk adds bytes of a body to what the next flush writes.
func (in *inbound) chunk(p []byte) {
	if len(p) == 0 {
		return
	}
	in.out = strconv.AppendInt(in.out, int64(len(p)), 16)
	in.out = append(in.out, "\r\n"...)
	in.out = append(in.out, p...)
	in.out = append(in.out, "\r\n"...)
}

// lastChunk ends a whole answer.
func (in *inbound) lastChunk() { in.out = append(in.out, "0\r\n\r\n"...) }

var (
	eventEnd  = []byte("\n\n")
	eventName = []byte("id:")
)

// wholeEvents returns the length of the events in p that are complete, and the
// id of the last one.
func wholeEvents(p []byte) (int, string) {
	end := bytes.LastIndex(p, eventEnd)
	if end < 0 {
		return 0, ""
	}
	end += len(eventEnd)
	id := ""
	for line := range bytes.SplitSeq(p[:end], []byte("\n")) {
		if bytes.HasPrefix(line, eventName) {
			id = string(bytes.TrimSpace(line[len(eventName):]))
		}
	}
	return end, id
}
