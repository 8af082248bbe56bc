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

// Guards against taking an answer whose status is none, such as 000, which the parser takes for 200,
// for the effect of an order or an append, or for a report.
func TestAnswerWithImpossibleStatusIsNone(t *testing.T) {
	for name, line := range fakes.MalformedStatusLines {
		checkNoAnswer(t, name, line+"\r\n")
	}
}

// Guards against taking an answer in whose head the name of a header holds a blank or a control byte
// for an answer to a call.
func TestAnswerWithMalformedHeaderNameIsNone(t *testing.T) {
	for name, head := range fakes.MalformedHeaders() {
		checkNoAnswer(t, name, head)
	}
}
