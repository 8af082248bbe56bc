package plat_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// checkNoAnswer checks that a response that begins with head answers no call of an engine or the log.
func checkNoAnswer(t *testing.T, name, head string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := &fakes.Repeater{Respond: func(*http.Request, bool) string { return head + "Connection: close\r\nContent-Length: 2\r\n\r\n{}" }}
	go server.Serve(listener)
	base := "http://" + listener.Addr().String()
	ctx := context.Background()
	if err := plat.NewHTTPEngine(base).Order(ctx, plat.Order{}); err == nil {
		t.Errorf("%s: an order succeeds", name)
	}
	if _, err := plat.NewHTTPEngine(base).Report(ctx); err == nil {
		t.Errorf("%s: counts as a report", name)
	}
	if _, err := plat.NewHTTPLog(base).Append(ctx, "s", nil); err == nil {
		t.Errorf("%s: an append succeeds", name)
	}
}

// Guards against taking an answer whose status is none, such as 000, which the parser takes for 200, in
// whose head the name of a header holds a blank or a control byte, or whose head tells two ends of its
// body, for the answer to a call.
func TestMalformedAnswerIsNone(t *testing.T) {
	for name, head := range fakes.MalformedHeads() {
		checkNoAnswer(t, name, head)
	}
}
