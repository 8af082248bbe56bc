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
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// scriptedEndpoint answers every request with the same raw bytes and counts the
// requests.
type scriptedEndpoint struct {
	address  string
	requests atomic.Int64
	// reset makes the endpoint reset each connection after its response.
	reset atomic.Bool
}

// resetDelay lets a response arrive before its connection is reset, which discards
// what is on the way.
const resetDelay = 50 * time.Millisecond

// newScriptedEndpoint starts an endpoint that answers every request with
// response. If closeAfter is set, it then closes the connection.
func newScriptedEndpoint(t *testing.T, response string, closeAfter bool) *scriptedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	endpoint := &scriptedEndpoint{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go endpoint.serve(conn, response, closeAfter)
		}
	}()
	return endpoint
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
		if e.reset.Load() {
			time.Sleep(resetDelay)
			_ = conn.(*net.TCPConn).SetLinger(0) // closing it then resets the connection
			return
		}
	}
}

// runCall runs one call and returns the frames of its response.
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
	err := client.run(client.newConn(), request, func(f *wirepb.CallFrame) error {
		if f.GetData() != nil { // the buffer is reused
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
		reset      bool
		stream     bool
		verdict    fault.Verdict
		code       fault.Code
		complete   bool
	}{
		{name: "complete", response: head + "Content-Length: 2\r\n\r\nok", complete: true},
		{name: "complete in chunks", response: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", complete: true},
		{name: "no response", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeEndpoint},
		{name: "not HTTP", response: "nonsense\r\n\r\n", closeAfter: true, verdict: fault.MayHaveRun, code: fault.CodeEndpoint},
		{
			name:       "truncated head",
			response:   "HTTP/1.1 200 OK\r\nContent-Le",
			closeAfter: true,
			verdict:    fault.MayHaveRun,
			code:       fault.CodeEndpoint,
		},
		{
			name:       "truncated body",
			response:   head + "Content-Length: 9\r\n\r\nok",
			closeAfter: true,
			verdict:    fault.MayHaveRun,
			code:       fault.CodeCut,
		},
		{
			name:       "truncated chunk",
			response:   head + "Transfer-Encoding: chunked\r\n\r\n9\r\nok",
			closeAfter: true,
			verdict:    fault.MayHaveRun,
			code:       fault.CodeCut,
		},
		{
			name:       "no last chunk",
			response:   head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
			closeAfter: true,
			verdict:    fault.MayHaveRun,
			code:       fault.CodeCut,
		},
		{
			name:       "no length, ended by its connection",
			response:   head + "Connection: close\r\n\r\nok",
			closeAfter: true,
			complete:   true,
		},
		{
			name:     "no length, connection reset",
			response: head + "Connection: close\r\n\r\nok",
			reset:    true,
			verdict:  fault.MayHaveRun,
			code:     fault.CodeCut,
		},
		{
			name:     "stream without final event",
			stream:   true,
			response: head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: {}\n\r\n1\r\n\n\r\n0\r\n\r\n",
			verdict:  fault.MayHaveRun,
			code:     fault.CodeCut,
		},
		{
			name:     "stream that ends within an event, by its length",
			stream:   true,
			response: head + "Content-Length: 16\r\n\r\ndata: {}\n\ndata: ",
			verdict:  fault.MayHaveRun,
			code:     fault.CodeCut,
		},
		{
			name:       "stream that ends within an event, by its connection",
			stream:     true,
			response:   head + "Connection: close\r\n\r\ndata: {}\n\ndata: ",
			closeAfter: true,
			verdict:    fault.MayHaveRun,
			code:       fault.CodeCut,
		},
		{
			name:       "complete stream",
			stream:     true,
			response:   head + "Connection: close\r\n\r\ndata: {}\n\ndata: [DONE]\n\n",
			closeAfter: true,
			complete:   true,
		},
		{
			name:     "refused",
			response: "HTTP/1.1 409 Conflict\r\nEndpoint-Not-Run: 1\r\nContent-Length: 32\r\n\r\n{\"error\":{\"code\":\"not_loaded\"}}\n",
			verdict:  fault.NotRun,
			code:     fault.CodeBusy,
		},
		{
			name:       "truncated refusal",
			response:   "HTTP/1.1 409 Conflict\r\nEndpoint-Not-Run: 1\r\nContent-Length: 99\r\n\r\n{",
			closeAfter: true,
			verdict:    fault.NotRun,
			code:       fault.CodeEndpoint,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoint := newScriptedEndpoint(t, test.response, test.closeAfter)
			endpoint.reset.Store(test.reset)
			frames, err := runCall(newEndpointClient(endpoint.address), false, test.stream)
			ended := len(frames) > 0 && frames[len(frames)-1].GetEnd() != nil
			if test.complete != (err == nil) || ended != test.complete {
				t.Fatalf("got error %v and end frame = %v, want a complete response = %v", err, ended, test.complete)
			}
			if !test.complete && (fault.VerdictOf(err) != test.verdict || fault.CodeOf(err) != test.code) {
				t.Errorf("error has %v %s, want %v %s", fault.VerdictOf(err), fault.CodeOf(err), test.verdict, test.code)
			}
			if n := endpoint.requests.Load(); n != 1 {
				t.Errorf("endpoint got %d requests, want 1", n)
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
		t.Errorf("error has %v %s, want not-run %s", fault.VerdictOf(err), fault.CodeOf(err), fault.CodeEndpoint)
	}
}

// TestNonIdempotentCallUsesNewConnection runs non-idempotent calls at an
// endpoint that closes each connection after its response without announcing
// it. A call that reused such a connection would fail with an unknown outcome.
func TestNonIdempotentCallUsesNewConnection(t *testing.T) {
	endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	client := newEndpointClient(endpoint.address)
	for i := range 20 {
		if _, err := runCall(client, false, false); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	if n := endpoint.requests.Load(); n != 20 {
		t.Errorf("endpoint got %d requests, want 20", n)
	}
}

// TestResponseIsRecordedAfterEntryDisconnects checks that the response to a
// non-idempotent call is read to its end even if the entry accepts no more
// frames, and that an idempotent call ends in that case.
func TestResponseIsRecordedAfterEntryDisconnects(t *testing.T) {
	endpoint := newScriptedEndpoint(t, "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nreceipt", false)
	client := newEndpointClient(endpoint.address)
	request := &wirepb.CallRequest{
		Id:     "1",
		Method: "POST",
		Path:   "/charge",
	}
	recorder := newResponseRecorder(request, func(*wirepb.CallFrame) error { return io.ErrClosedPipe })
	outcome := recorder.result(client.run(client.newConn(), request, recorder.handleFrame))
	if outcome.Err != nil || outcome.Status != 201 || string(outcome.Body) != "receipt" ||
		!strings.HasPrefix(outcome.ContentType, "text/plain") {
		t.Errorf("outcome = %+v, want the complete response", outcome)
	}
	request.Idempotent = true
	recorder = newResponseRecorder(request, func(*wirepb.CallFrame) error { return io.ErrClosedPipe })
	if err := client.run(client.newConn(), request, recorder.handleFrame); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("idempotent call after its entry disconnected: got error %v, want the forwarding error", err)
	}
}

func FuzzTail(f *testing.F) {
	f.Add([]byte("data: {\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"), 5)
	f.Add([]byte("data: [DONE]\n\ndata: x"), 1)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		split = max(0, min(split, len(text)))
		tail := newResponseTail(true)
		tail.write(text[:split])
		tail.write(text[split:])
		if tail.isComplete() != strings.HasSuffix(string(text), string(doneEvent)) {
			t.Errorf("isComplete = %v for %q split at %d", tail.isComplete(), text, split)
		}
		tail.usage()
	})
}

// TestCloseAfterLastFrameKeepsConnection closes each call as soon as its last
// frame has arrived, as an entry does. No call may fail for that, nor the next one.
func TestCloseAfterLastFrameKeepsConnection(t *testing.T) {
	endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	s := &Server{endpoint: newEndpointClient(endpoint.address)}
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

// TestEntryDisconnectAtEachFrame checks the verdict if the entry disconnects at
// the first, second or third frame of a response.
func TestEntryDisconnectAtEachFrame(t *testing.T) {
	endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	for i, want := range []fault.Verdict{fault.Ran, fault.MayHaveRun, fault.Ran} {
		client := newEndpointClient(endpoint.address)
		frames := 0
		err := client.run(client.newConn(), &wirepb.CallRequest{Method: "GET", Path: "/"}, func(*wirepb.CallFrame) error {
			frames++
			if frames > i {
				return io.ErrClosedPipe
			}
			return nil
		})
		if fault.VerdictOf(err) != want || fault.CodeOf(err) != fault.CodeLink {
			t.Errorf("disconnect at frame %d: error has %v %s, want %v %s",
				i, fault.VerdictOf(err), fault.CodeOf(err), want, fault.CodeLink)
		}
	}
}

// endlessEndpoint answers each request with begin and then with repeat, again and
// again until its caller closes the connection, which it reports on closed.
func newEndlessEndpoint(t *testing.T, begin, repeat string) (address string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, begin)
				for err == nil {
					_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
					_, err = io.WriteString(conn, strings.Repeat(repeat, 1+4096/len(repeat)))
				}
				ended <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), ended
}

// Guards against an agent that goes on reading, or keeps the connection, when its
// endpoint sends bytes without end.
func TestBytesWithoutEndEndTheCall(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct {
		begin, repeat string
		stream        bool
		verdict       fault.Verdict
	}{
		"head":         {begin: "HTTP/1.1 200 OK\r\n", repeat: "X-A: b\r\n", verdict: fault.MayHaveRun},
		"interim":      {repeat: "HTTP/1.1 100 Continue\r\n\r\n", verdict: fault.MayHaveRun},
		"refusal":      {begin: "HTTP/1.1 503 F\r\nEndpoint-Not-Run: 1\r\n" + chunked, repeat: "1\r\na\r\n", verdict: fault.NotRun},
		"body":         {begin: "HTTP/1.1 200 OK\r\n\r\n", repeat: "aaaaaaaa", verdict: fault.MayHaveRun},
		"chunked body": {begin: "HTTP/1.1 200 OK\r\n" + chunked, repeat: "4\r\naaaa\r\n", verdict: fault.MayHaveRun},
		"length":       {begin: "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", repeat: "aaaaaaaa", verdict: fault.MayHaveRun},
		"trailer":      {begin: "HTTP/1.1 200 OK\r\n" + chunked + "1\r\na\r\n0\r\n", repeat: "X-A: b\r\n", verdict: fault.MayHaveRun},
		"stream":       {begin: "HTTP/1.1 200 OK\r\n" + chunked, repeat: "7\r\nnoise\n\n\r\n", stream: true, verdict: fault.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := newEndlessEndpoint(t, answer.begin, answer.repeat)
			client := newEndpointClient(address)
			result := make(chan error, 1)
			go func() {
				_, err := runCall(client, true, answer.stream)
				result <- err
			}()
			select {
			case err := <-result:
				if err == nil || fault.VerdictOf(err) != answer.verdict {
					t.Errorf("error %v with verdict %v, want verdict %v", err, fault.VerdictOf(err), answer.verdict)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the call hasn't ended after 5 s")
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the endpoint's connection is still open")
			}
		})
	}
}

// serveUntilCrash begins an answer to one request and cuts it off. If crashes is set,
// the endpoint ends with it.
func serveUntilCrash(t *testing.T, listener net.Listener, crashes bool) {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Error(err)
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Error(err)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	if crashes {
		_ = listener.Close()
	}
	_ = conn.Close()
}

// An answer that is cut off names the run of the endpoint only if the endpoint has
// ended, and each run has a number of its own.
func TestCutAnswerTellsWhetherEndpointEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := newEndpointClient(address)
	for i, want := range []uint64{0, 1, 0, 2} {
		crashes := want > 0
		done := make(chan struct{})
		go func(l net.Listener) {
			defer close(done)
			serveUntilCrash(t, l, crashes)
		}(listener)
		_, err := runCall(client, false, false)
		<-done
		if got := fault.EndedRunOf(err); got != want || fault.VerdictOf(err) != fault.MayHaveRun {
			t.Errorf("call %d: ended run %d with error %v, want %d", i, got, err, want)
		}
		if !crashes {
			conn, err := listener.Accept() // the probe
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.Close()
			continue
		}
		if _, err := runCall(client, false, false); fault.VerdictOf(err) != fault.NotRun || fault.EndedRunOf(err) != 0 {
			t.Errorf("call after the end: error %v, want not run", err)
		}
		if listener, err = net.Listen("tcp", address); err != nil {
			t.Fatal(err)
		}
	}
	_ = listener.Close()
}

// Each end of an endpoint has a number of its own, also if every call since its start
// crashes it.
func TestEachEndOfEndpointIsNumbered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := newEndpointClient(address)
	for want := uint64(1); want <= 3; want++ {
		done := make(chan struct{})
		go func(l net.Listener) {
			defer close(done)
			serveUntilCrash(t, l, true)
		}(listener)
		_, err := runCall(client, false, false)
		<-done
		if got := fault.EndedRunOf(err); got != want {
			t.Errorf("end %d has the number %d", want, got)
		}
		if listener, err = net.Listen("tcp", address); err != nil {
			t.Fatal(err)
		}
	}
	_ = listener.Close()
}
