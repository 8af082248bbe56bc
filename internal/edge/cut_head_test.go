package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"dogwoodfold/internal/gate"
	"dogwoodfold/platform"
)

// cutter is an endpoint that writes the first bytes of its responses and closes.
type cutter struct {
	// whole returns the whole response to the request with an ID.
	whole func(id string) string
	// length is the number of bytes that are written.
	length atomic.Int64
}

func (e *cutter) serve(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, e.whole(r.Header.Get(platform.HeaderRequestID))[:e.length.Load()])
}

// cutStatuses are the statuses and headers of the responses that are cut.
var cutStatuses = map[string]repeatedResponse{
	"answer":  {status: 200, lines: stampLine + "Content-Type: text/event-stream\r\n"},
	"refusal": {status: 503, lines: notExecutedLine},
	"failure": {status: 500, lines: stampLine},
}

// Guards against a response that ends within its head and counts as an answer, which clients
// take for a success with a short body (MIXED, ORDER), or as a proof that the request hasn't
// run (TWICE, REFUSED).
func TestResponseCutInItsHeadIsNone(t *testing.T) {
	const id = "r-0"
	for name, response := range cutStatuses {
		for framingName, framing := range allFramings {
			t.Run(name+" in "+framingName, func(t *testing.T) {
				t.Parallel()
				whole := rawResponse(response.status, response.lines, id, framing, "id: 1\ndata: first\n\n")
				e := &cutter{whole: func(string) string { return whole }}
				a := newAttempts(t, netip.MustParseAddrPort(listenRaw(t, e.serve)))
				cuts := len(whole)
				if framing == framedByClose || response.lines == notExecutedLine {
					cuts = strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
				}
				for length := range cuts {
					e.length.Store(int64(length))
					for kind, request := range repeatedRequests {
						a.checkCut(fmt.Sprintf("%s, cut to %q", kind, whole[:length]), id, request)
					}
				}
			})
		}
	}
}

// checkCut checks that an attempt whose response was cut off counts as one that may have run.
func (a *attempts) checkCut(name, id string, request repeatedRequest) {
	in, result, got := a.try(id, request.kind, request.continued)
	switch {
	case result.Outcome != gate.OutcomeMayHaveRun && result.Outcome != gate.OutcomeTruncated:
		a.t.Errorf("%s: counts as %v", name, result.Outcome)
	case in.bufferedFailure != nil:
		a.t.Errorf("%s: counts as the endpoint's failure", name)
	case strings.HasSuffix(got, "0\r\n\r\n") || !request.continued && !in.started && got != "":
		a.t.Errorf("%s: the client gets %q", name, got)
	}
}
