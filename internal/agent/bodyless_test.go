package agent

import (
	"fmt"
	"testing"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// Guards against an agent that ends with all its calls since its endpoint has sent an answer that has
// no body by its status.
func TestAnswerWithoutBodyIsForwarded(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified", "304 Not Modified\r\nContent-Length: 5"} {
		endpoint := newScriptedEndpoint(t, fmt.Sprintf("HTTP/1.1 %s\r\n\r\n", status), true)
		frames, err := runCall(newEndpointClient(endpoint.address), true, false)
		if err != nil || len(frames) != 2 || fmt.Sprint(frames[0].GetHead().GetStatus()) != status[:3] || frames[1].GetEnd().GetBytes() != 0 {
			t.Errorf("%s: %v, error %v; want a head and an empty end", status, frames, err)
		}
		endpoint = newScriptedEndpoint(t, fmt.Sprintf("HTTP/1.1 %s\r\n%s: 1\r\n\r\n", status, headerEndpointNotRun), true)
		if _, err := runCall(newEndpointClient(endpoint.address), true, false); fault.VerdictOf(err) != fault.NotRun {
			t.Errorf("refusal with %s: error %v, want one that says that the call has not run", status, err)
		}
	}
}

// The same for the answer to a request that asks for the head only.
func TestAnswerToHeadIsForwarded(t *testing.T) {
	endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true)
	client := newEndpointClient(endpoint.address)
	var ended bool
	call := &wirepb.CallRequest{
		Id:     "1",
		Method: "HEAD",
		Path:   "/stock",
	}
	err := client.run(client.newConn(), call, func(f *wirepb.CallFrame) error {
		ended = f.GetEnd() != nil
		return nil
	})
	if err != nil || !ended {
		t.Errorf("ended %t, error %v; want an empty end", ended, err)
	}
}
