package edge

import (
	"bufio"
	"strings"
	"testing"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/platform"
)

// Incident ORDER at scale: a stream that broke off before its first whole event, of which its client
// has nothing, was recorded as begun at its engine's software version. It begins anew at another
// version, and whoever knew only of the first would have resumed it there.
func TestStreamWithoutEventHasNotBegun(t *testing.T) {
	var posted []gate.Event
	x := &exchange{
		in:   &inboundRequest{request: &gate.Request{ID: "r"}},
		send: gate.Send{Route: &topo.Route{Kind: topo.Stream, Resumable: true}},
		post: func(e gate.Event) { posted = append(posted, e) },
	}
	answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platform.HeaderServerStamp + ": s\r\n" +
		platform.HeaderRequestID + ": r\r\nContent-Length: 100\r\n\r\nid: 1\ndata: tok"
	reader := bufio.NewReader(strings.NewReader(answer))
	if err := x.head.Read(reader); err != nil {
		t.Fatal(err)
	}
	result, _ := x.handleResponse(newResponseBody(reader, &x.head, false, x))
	if result.Outcome == gate.OutcomeComplete || result.Outcome == gate.OutcomeTruncated {
		t.Fatalf("outcome %v, want one of which the client has nothing", result.Outcome)
	}
	for _, e := range posted {
		if _, began := e.(gate.FirstByteReceived); began {
			t.Error("the answer was reported as begun")
		}
	}
}
