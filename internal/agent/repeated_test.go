package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

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
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		var ran atomic.Bool // true if the last call was run rather than refused
		e := &fakes.Repeater{Respond: func(r *http.Request, isFirst bool) string {
			id := r.Header.Get("X-Request-Id")
			ran.Store(!isFirst)
			if isFirst {
				return first(id)
			}
			return answerTo(id)
		}}
		go e.Serve(listener)
		s := &Server{endpoint: newEndpointClient(listener.Addr().String())}
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
			if ran.Load() && fault.VerdictOf(err) == fault.NotRun {
				t.Errorf("%s repeated: call %d was run, error %v says that it wasn't", name, i, err)
			}
		}
	}
}
