package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// repeatingEndpoint answers with the ID of the call. On a kept connection, it writes its
// first response once more before each further answer.
type repeatingEndpoint struct {
	address string
	first   func(id string) string
	// ran is true if the last call was run rather than refused.
	ran atomic.Bool
}

func newRepeatingEndpoint(t *testing.T, first func(id string) string) *repeatingEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &repeatingEndpoint{
		address: listener.Addr().String(),
		first:   first,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *repeatingEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	repeat := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		e.ran.Store(repeat != "")
		if repeat == "" {
			repeat = e.first(id)
			_, _ = io.WriteString(conn, repeat)
			continue
		}
		_, _ = io.WriteString(conn, repeat+answerTo(id))
	}
}

func answerTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nanswer to %s", len("answer to ")+len(id), id)
}

// Guards against giving a caller the answer to an earlier call, or telling it that its call
// hasn't run, since the endpoint has repeated a response on a kept connection.
func TestRepeatedResponseIsNotTheNextCalls(t *testing.T) {
	for name, first := range map[string]func(id string) string{
		"answer": answerTo,
		"refusal": func(string) string {
			return "HTTP/1.1 409 Conflict\r\n" + headerEndpointNotRun + ": 1\r\nContent-Length: 2\r\n\r\n{}"
		},
	} {
		e := newRepeatingEndpoint(t, first)
		s := &Server{endpoint: newEndpointClient(e.address)}
		for i := range 3 {
			call := &wirepb.CallRequest{
				Id:         fmt.Sprintf("r-%d", i),
				Method:     "GET",
				Path:       "/stock",
				TimeoutMs:  10_000,
				Idempotent: true,
			}
			var body strings.Builder
			err := s.forward(nil, call, func(f *wirepb.CallFrame) error {
				body.Write(f.GetData())
				return nil
			})
			if want := "answer to " + call.GetId(); name == "answer" && body.String() != want {
				t.Errorf("%s repeated: call %d got %q and error %v, want %q", name, i, body.String(), err, want)
			}
			if e.ran.Load() && fault.VerdictOf(err) == fault.NotRun {
				t.Errorf("%s repeated: call %d was run, error %v says that it wasn't", name, i, err)
			}
		}
	}
}
