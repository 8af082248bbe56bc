package agent

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// scriptedEndpoint answers each request with the next script, and closes the
// connection after scripts that ask for it.
type scriptedEndpoint struct {
	address  string
	requests atomic.Int64
}

// newScriptedEndpoint returns an endpoint that answers every request with raw bytes.
func newScriptedEndpoint(t *testing.T, response string, closeAfter bool) *scriptedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &scriptedEndpoint{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, response, closeAfter)
		}
	}()
	return e
}

func (e *scriptedEndpoint) serve(conn net.Conn, response string, closeAfter bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.requests.Add(1)
		if _, err := io.WriteString(conn, response); err != nil || closeAfter {
			return
		}
	}
}

// runCall runs one runCall at an address and returns the frames.
func runCall(client *endpointClient, idempotent, stream bool) ([]*wirepb.CallFrame, error) {
	var frames []*wirepb.CallFrame
	request := &wirepb.CallRequest{
		Id:         "1",
		Method:     "POST",
		Path:       "/charge",
		Body:       []byte("hoodie"),
		Idempotent: idempotent,
		Stream:     stream,
	}
	conn := client.acquire(!idempotent)
	defer client.release(conn)
	err := client.run(conn, request, func(f *wirepb.CallFrame) error {
		if f.GetData() != nil { // the buffer is used again
			f = &wirepb.CallFrame{Data: append([]byte{}, f.GetData()...)}
		}
		frames = append(frames, f)
		return nil
	})
	return frames, err
}

func TestEndpointResponseErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, test := range []struct {
		name       string
		response   string
		closeAfter bool
		stream     bool
		verdict    fault.Verdict
		code       fault.Code
		complete   bool
	}{
		{name: "whole", response: head + "Content-Length: 2\r\n\r\nok", complete: true},
		{name: "whole in chunks", response: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", complete: true},
		{name: "no answer", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeEndpoint},
		{name: "not HTTP", response: "nonsense\r\n\r\n", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeEndpoint},
		{name: "cut head", response: "HTTP/1.1 200 OK\r\nContent-Le", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeEndpoint},
		{name: "cut body", response: head + "Content-Length: 9\r\n\r\nok", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeCut},
		{name: "cut chunk", response: head + "Transfer-Encoding: chunked\r\n\r\n9\r\nok", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeCut},
		{name: "no last chunk", response: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeCut},
		{name: "no length", response: head + "Connection: close\r\n\r\nok", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeCut},
		{name: "stream without its end", stream: true, response: head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: {}\n\r\n1\r\n\n\r\n0\r\n\r\n", verdict: fault.MayHaveRun, code: fault.CodeCut},
		{name: "whole stream", stream: true, response: head + "Connection: close\r\n\r\ndata: {}\n\ndata: [DONE]\n\n", closeAfter: true, complete: true},
		{name: "refused", response: "HTTP/1.1 409 Conflict\r\nEndpoint-Not-Run: 1\r\nContent-Length: 32\r\n\r\n{\"error\":{\"code\":\"not_loaded\"}}\n", verdict: fault.NotRun, code: fault.CodeBusy},
		{name: "refused and cut", response: "HTTP/1.1 409 Conflict\r\nEndpoint-Not-Run: 1\r\nContent-Length: 99\r\n\r\n{", closeAfter: true, verdict: fault.NotRun, code: fault.CodeEndpoint},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newScriptedEndpoint(t, test.response, test.closeAfter)
			frames, err := runCall(newEndpointClient(e.address), false, test.stream)
			ended := len(frames) > 0 && frames[len(frames)-1].GetEnd() != nil
			if test.complete != (err == nil) || ended != test.complete {
				t.Fatalf("error %v, end %v; want whole %v", err, ended, test.complete)
			}
			if !test.complete && (fault.VerdictOf(err) != test.verdict || fault.CodeOf(err) != test.code) {
				t.Errorf("%v %s, want %v %s", fault.VerdictOf(err), fault.CodeOf(err), test.verdict, test.code)
			}
			if n := e.requests.Load(); n != 1 {
				t.Errorf("%d requests, want 1", n)
			}
		})
	}
}

func TestConnectFailureIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = runCall(newEndpointClient(listener.Addr().String()), false, false)
	if fault.VerdictOf(err) != fault.NotRun || fault.CodeOf(err) != fault.CodeEndpoint {
		t.Errorf("%v %s, want not-run %s", fault.VerdictOf(err), fault.CodeOf(err), fault.CodeEndpoint)
	}
}

// TestNonIdempotentCallUsesNewConnection has an endpoint that closes each connection after its
// answer, without saying so. A charge must not meet such a connection.
func TestNonIdempotentCallUsesNewConnection(t *testing.T) {
	e := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	client := newEndpointClient(e.address)
	for i := range 20 {
		if _, err := runCall(client, false, false); err != nil {
			t.Fatalf("charge %d: %v", i, err)
		}
	}
	if n := e.requests.Load(); n != 20 {
		t.Errorf("%d requests, want 20", n)
	}
}

// TestResponseIsRecordedAfterEntryDisconnects checks that a charge is read to its end though the
// entry takes no more frames.
func TestResponseIsRecordedAfterEntryDisconnects(t *testing.T) {
	e := newScriptedEndpoint(t, "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nreceipt", false)
	client := newEndpointClient(e.address)
	request := &wirepb.CallRequest{
		Id:     "1",
		Method: "POST",
		Path:   "/charge",
	}
	recorder := newResponseRecorder(request, func(*wirepb.CallFrame) error { return io.ErrClosedPipe })
	outcome := recorder.result(client.run(client.acquire(true), request, recorder.handleFrame))
	if outcome.Err != nil || outcome.Status != 201 || string(outcome.Body) != "receipt" || !strings.HasPrefix(outcome.ContentType, "text/plain") {
		t.Errorf("outcome = %+v, want the answer", outcome)
	}
	request.Idempotent = true
	recorder = newResponseRecorder(request, func(*wirepb.CallFrame) error { return io.ErrClosedPipe })
	if err := client.run(client.acquire(false), request, recorder.handleFrame); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("idempotent call went on after its entry left: %v", err)
	}
}

func FuzzTail(f *testing.F) {
	f.Add([]byte("data: {\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"), 5)
	f.Add([]byte("data: [DONE]\n\ndata: x"), 1)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		split = max(0, min(split, len(text)))
		tail := newTail(true)
		tail.write(text[:split])
		tail.write(text[split:])
		if tail.isComplete() != strings.HasSuffix(string(text), string(doneEvent)) {
			t.Errorf("whole = %v for %q cut at %d", tail.isComplete(), text, split)
		}
		tail.usage()
	})
}

// TestCloseAfterLastFrameKeepsConnection has entries that close each call as soon as
// they have its end. The connection to the endpoint must stay fit for the next.
func TestCloseAfterLastFrameKeepsConnection(t *testing.T) {
	e := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	s := &Server{endpoint: newEndpointClient(e.address)}
	request := &wirepb.CallRequest{
		Id:         "1",
		Method:     "GET",
		Path:       "/stock",
		TimeoutMs:  10_000,
		Idempotent: true,
	}
	for i := range 300 {
		closed := make(chan struct{})
		err := s.forward(closed, request, func(f *wirepb.CallFrame) error {
			if f.GetEnd() != nil {
				close(closed)
			}
			return nil
		})
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}

// TestEntryDisconnectAtEachFrame lets the entry go away at each frame of the answer
// to a call that may be repeated.
func TestEntryDisconnectAtEachFrame(t *testing.T) {
	e := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	for i, want := range []fault.Verdict{fault.Ran, fault.MayHaveRun, fault.Ran} {
		client := newEndpointClient(e.address)
		frames := 0
		err := client.run(client.acquire(true), &wirepb.CallRequest{Method: "GET", Path: "/"}, func(*wirepb.CallFrame) error {
			frames++
			if frames > i {
				return io.ErrClosedPipe
			}
			return nil
		})
		if fault.VerdictOf(err) != want || fault.CodeOf(err) != fault.CodeLink {
			t.Errorf("frame %d: %v %s, want %v %s", i, fault.VerdictOf(err), fault.CodeOf(err), want, fault.CodeLink)
		}
	}
}
