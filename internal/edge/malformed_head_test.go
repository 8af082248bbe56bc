package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/http1"
	"dogwoodfold/internal/poison"
	"dogwoodfold/platform"
)

// malformedResponse is the answer of an endpoint in trouble, but for the ID of its request.
type malformedResponse struct {
	// head is the beginning of the head, each line with its end.
	head string
	body string
}

// serve answers a request and closes the connection.
func (m malformedResponse) serve(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, m.whole(r))
}

func (m malformedResponse) whole(r *http.Request) string {
	id := r.Header.Get(platform.HeaderRequestID)
	return m.head + platform.HeaderRequestID + ": " + id + "\r\nContent-Type: text/event-stream\r\n\r\n" + m.body
}

// checkNoAnswer checks that an answer counts for each kind of request as one that can't be told,
// whatever it says of itself, and that no client gets a part of it.
func checkNoAnswer(t *testing.T, name string, m malformedResponse) {
	t.Helper()
	for linesName, lines := range map[string]string{"answer": stampLine, "refusal": notExecutedLine} {
		answer := m
		answer.head += lines
		a := newAttempts(t, netip.MustParseAddrPort(listenRaw(t, answer.serve)))
		for kind, request := range repeatedRequests {
			in, result, got := a.try("r-0", request.kind, request.continued)
			may := result.Outcome == gate.OutcomeMayHaveRun || result.Outcome == gate.OutcomeTruncated
			if !may || in.bufferedFailure != nil || !request.continued && in.started || got != "" {
				t.Errorf("%s, %s, %s: counts as %v (%v), the client gets %q", name, linesName, kind, result.Outcome, result.Reason, got)
			}
		}
	}
}

// serveMalformed lets both plain endpoints answer each request with what is malformed, the first only
// the first one, and returns what the client of a request gets.
func serveMalformed(t *testing.T, m malformedResponse, method, path string) clientResponse {
	f := newFixture(t)
	for _, shop := range f.shops {
		shop.handler = func(w http.ResponseWriter, r *http.Request) {
			if len(f.shops[0].requests())+len(f.shops[1].requests()) > 1 {
				w.Header().Set(platform.HeaderServerStamp, "s")
				_, _ = io.WriteString(w, "whole")
				return
			}
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, m.whole(r))
			_ = conn.Close()
		}
	}
	return f.send(context.Background(), method, path)
}

// checkNotForwarded checks what clients get whose requests are answered with what is malformed.
func checkNotForwarded(t *testing.T, m malformedResponse) {
	m.head += stampLine
	if r := serveMalformed(t, m, "GET", "/look/1"); r.status != http.StatusOK || r.body != "whole" {
		t.Errorf("idempotent: status %d, body %q, %v; want the answer of the other endpoint", r.status, r.body, r.err)
	}
	r := serveMalformed(t, m, "POST", "/charge/1")
	if r.status != http.StatusBadGateway || r.header.Get(platform.HeaderServerStamp) != "" {
		t.Errorf("not idempotent: status %d, header %v, body %q, %v; want 502", r.status, r.header, r.body, r.err)
	}
}

// Guards against taking a malformed answer to a probe for a proof of whose run it is, or for the end
// of the run, which would count against the requests that were there.
func TestMalformedAnswerToProbeProvesNothing(t *testing.T) {
	engines := &Server{engines: platform.NewEngineClient()}
	for _, line := range fakes.MalformedStatusLines {
		checkProbesProveNothing(t, engines, line+"\r\n")
	}
}

// checkProbesProveNothing checks what probes make of a response that begins with head.
func checkProbesProveNothing(t *testing.T, engines *Server, head string) {
	t.Helper()
	for _, id := range []string{"shop-1", "shop-2"} {
		m := malformedResponse{
			head: head + platform.HeaderInstanceID + ": " + id + "\r\n",
			body: `{"seq":2,"born":1}`,
		}
		probe := gate.ProbeEngine{
			Run:        poison.Run{Engine: "shop-1"},
			Address:    netip.MustParseAddrPort(listenRaw(t, m.serve)),
			Plain:      true,
			HealthPath: healthPath,
		}
		for name, probe := range map[string]func() (probeResult, error){
			"health": func() (probeResult, error) { return probeHealth(probe) },
			"report": func() (probeResult, error) { return engines.probeReport(probe) },
		} {
			result, err := probe()
			if isParsed := err == nil || errors.Is(err, http1.ErrMalformed); isParsed && (!result.running || !result.anyRun) {
				t.Errorf("%s, %q of %s: %+v, want any run that runs", name, head, id, result)
			}
		}
	}
}

// Guards against handing on an answer whose status is none, such as 000, which the parser takes for
// 200 (MIXED), or taking it for a proof that the request hasn't run (TWICE, REFUSED).
func TestAnswerWithImpossibleStatusIsNone(t *testing.T) {
	for name, line := range fakes.MalformedStatusLines {
		m := malformedResponse{
			head: line + "\r\n",
			body: "id: 1\ndata: first\n\n",
		}
		checkNoAnswer(t, name, m)
		if name == "another protocol" { // an answer follows in it
			m.head += "\r\nHTTP/1.1 200 OK\r\n"
			checkNoAnswer(t, name+" and an answer", m)
		}
	}
	checkNotForwarded(t, malformedResponse{
		head: "HTTP/1.1 000 OK\r\n",
		body: "aborted",
	})
}

// Guards against handing on an answer in whose head the name of a header holds a blank or a control
// byte: the parser keeps the blank, or drops it and takes the rest for a header that frames the body
// (MIXED).
func TestAnswerWithMalformedHeaderNameIsNone(t *testing.T) {
	engines := &Server{engines: platform.NewEngineClient()}
	for name, head := range fakes.MalformedHeaders() {
		checkNoAnswer(t, name, malformedResponse{
			head: head,
			body: "id: 1\ndata: first\n\n",
		})
		checkProbesProveNothing(t, engines, head)
	}
	for _, line := range []string{"X A: b\r\n", "Content-Length : 3\r\n", "Transfer-Encoding : chunked\r\n"} {
		checkNotForwarded(t, malformedResponse{
			head: "HTTP/1.1 200 OK\r\n" + line,
			body: "2\r\nab\r\n0\r\n\r\n",
		})
	}
}

// Guards against handing on an answer with a body that wasn't the endpoint's, since its head tells two
// ends of it (MIXED).
func TestAnswerWithAmbiguousFramingIsNone(t *testing.T) {
	engines := &Server{engines: platform.NewEngineClient()}
	for name, head := range fakes.AmbiguousFramings {
		m := malformedResponse{
			head: head,
			body: "13\r\nid: 1\ndata: first\n\n\r\n0\r\n\r\n",
		}
		checkNoAnswer(t, name, m)
		checkProbesProveNothing(t, engines, head)
	}
	checkNotForwarded(t, malformedResponse{
		head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		body: "2\r\nab\r\n0\r\n\r\n",
	})
}
