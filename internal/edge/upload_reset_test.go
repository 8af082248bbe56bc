package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

const (
	// uploadBytes is more than the buffers of a connection hold, so that an upload that isn't read
	// can't be written to its end.
	uploadBytes = 32 << 20
	// earlyAnswers is how often an answer to an upload is played: which of two calls the reset ends
	// first is up to the system.
	earlyAnswers = 40
)

// earlyAnswerer is an endpoint that answers an upload at once, without reading its body.
type earlyAnswerer struct {
	status int
	// body is what the endpoint sends of an answer without a length.
	body string
	// end ends the connection.
	end func(conn *net.TCPConn)
}

func (e earlyAnswerer) serve(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, rawResponse(e.status, stampLine, r.Header.Get(platform.HeaderRequestID), framedByClose, e.body))
	e.end(conn.(*net.TCPConn))
}

// resetAfter resets a connection after a delay.
func resetAfter(delay time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(delay)
		_ = conn.SetLinger(0) // closing it then resets the connection
	}
}

// tryUpload sends a request with a long body once.
func (a *attempts) tryUpload(id string, request repeatedRequest) (*inboundRequest, gate.Result, string) {
	piece := bytes.Repeat([]byte("u"), 1<<20)
	body := budget.Pieces{Size: uploadBytes}
	for range uploadBytes / len(piece) {
		body.Pieces = append(body.Pieces, piece)
	}
	return a.tryBody(id, request.kind, request.continued, body)
}

// Guards against taking the part of an answer for the whole that an endpoint has sent before it reset
// the connection while the request was written: the reset may end the write alone (MIXED, ORDER).
func TestResetWhileRequestIsWrittenDoesNotCompleteAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			for kind, request := range repeatedRequests {
				t.Run(fmt.Sprintf("%d, %v, %s", status, delay, kind), func(t *testing.T) {
					t.Parallel()
					e := earlyAnswerer{
						status: status,
						body:   "id: 1\ndata: first\n\n",
						end:    resetAfter(delay),
					}
					a := newAttempts(t, netip.MustParseAddrPort(listenRaw(t, e.serve)))
					for i := range earlyAnswers {
						in, result, got := a.tryUpload(fmt.Sprintf("r-%d", i), request)
						cut := result.Outcome == gate.OutcomeMayHaveRun || result.Outcome == gate.OutcomeTruncated
						if !cut || in.bufferedFailure != nil || strings.HasSuffix(got, "0\r\n\r\n") {
							t.Errorf("play %d: counts as %v (%v), the client gets %q", i, result.Outcome, result.Reason, got)
						}
					}
				})
			}
		}
	}
}

// Guards against taking an early answer for one that was reset, though the endpoint has ended it in
// order: it reads the rest of the request, or nothing more of it, or resets the connection then.
func TestEarlyAnswerThatIsEndedInOrderIsWhole(t *testing.T) {
	for name, rest := range map[string]func(*net.TCPConn){
		"reads the rest": func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"reads nothing":  func(*net.TCPConn) { time.Sleep(time.Second) },
		"resets then":    resetAfter(20 * time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := earlyAnswerer{
				status: http.StatusOK,
				body:   "id: 1\ndata: first\n\n",
				end: func(conn *net.TCPConn) {
					_ = conn.CloseWrite()
					rest(conn)
				},
			}
			a := newAttempts(t, netip.MustParseAddrPort(listenRaw(t, e.serve)))
			for kind, request := range repeatedRequests {
				began := time.Now()
				_, result, got := a.tryUpload("r-"+kind, request)
				if result.Outcome != gate.OutcomeComplete || !strings.Contains(got, e.body) {
					t.Errorf("%s: counts as %v (%v), the client gets %q", kind, result.Outcome, result.Reason, got)
				}
				if took := time.Since(began); took > 500*time.Millisecond {
					t.Errorf("%s: answered after %v, want within 500 ms", kind, took)
				}
			}
		})
	}
}
