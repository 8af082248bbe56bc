package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodfold/platform"
)

// rawFraming is how a raw response marks the end of its body.
type rawFraming int

const (
	framedByLength rawFraming = iota
	framedByChunks
	framedByClose
)

var allFramings = map[string]rawFraming{
	"length": framedByLength,
	"chunks": framedByChunks,
	"close":  framedByClose,
}

// resetDelay lets the response arrive before its connection is reset, which
// discards what is on the way.
const resetDelay = 50 * time.Millisecond

// writeRaw writes a response with the given body on a connection of its own and
// ends the connection, with a reset if reset is set. The framing itself is always
// whole.
func writeRaw(w http.ResponseWriter, r *http.Request, f rawFraming, body string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
		platform.HeaderServerStamp + ": s\r\n" +
		platform.HeaderRequestID + ": " + r.Header.Get(platform.HeaderRequestID) + "\r\n"
	switch f {
	case framedByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	_, _ = fmt.Fprintf(conn, "%s\r\n%s", head, body)
	if !reset {
		return
	}
	time.Sleep(resetDelay)
	_ = conn.(*net.TCPConn).SetLinger(0) // closing it then resets the connection
}

// events returns the events from first to last with the given line end.
func events(first, last int, lineEnd string) string {
	var out strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&out, "id: %d%sdata: token%s%s", i, lineEnd, lineEnd, lineEnd)
	}
	return out.String()
}

// streamRaw makes both engines answer each request with the body that belongs to
// its Last-Event-Id.
func (f *fixture) streamRaw(framing rawFraming, body func(lastEventID string) string, reset bool) {
	for i := range f.engines {
		f.engines[i].handler = func(w http.ResponseWriter, r *http.Request) {
			writeRaw(w, r, framing, body(r.Header.Get(platform.HeaderLastEventID)), reset)
		}
	}
}

// An endpoint that breaks a stream off within an event must not be taken to have
// finished it, however the response is framed: the caller must see that the
// stream is incomplete, or receive the rest from another endpoint.
func TestStreamThatEndsWithinEventIsIncomplete(t *testing.T) {
	for name, framing := range allFramings {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.streamRaw(framing, func(lastEventID string) string {
				if lastEventID == "3" {
					return events(4, 6, "\n")
				}
				return events(1, 3, "\n") + "id: 4\nda"
			}, false)
			if r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m"); r.err == nil {
				t.Errorf("a stream that ended within an event looked complete: %+v", r)
			}
			r := f.send(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m")
			if r.status != 200 || r.err != nil {
				t.Fatalf("resumable stream: unexpected response %+v", r)
			}
			checkEvents(t, r.body, 6)
		})
	}
}

// A stream with neither a length nor chunks is complete if its connection ends
// after an event, whatever line ends it uses.
func TestStreamThatEndsAfterEventIsComplete(t *testing.T) {
	for name, framing := range allFramings {
		for _, lineEnd := range []string{"\n", "\r\n"} {
			t.Run(fmt.Sprintf("%s %q", name, lineEnd), func(t *testing.T) {
				f := newFixture(t)
				f.streamRaw(framing, func(string) string { return events(1, 3, lineEnd) }, false)
				for _, path := range []string{"/chat/1", "/notes/1"} {
					r := f.send(context.Background(), "POST", path, platform.HeaderModel, "m")
					if r.status != 200 || r.err != nil || r.body != events(1, 3, lineEnd) {
						t.Errorf("%s: unexpected response %+v", path, r)
					}
				}
			})
		}
	}
}

// A connection that is reset does not end a response that has neither a length
// nor chunks, even after the end of an event.
func TestResetDoesNotCompleteResponse(t *testing.T) {
	f := newFixture(t)
	f.streamRaw(framedByClose, func(string) string { return events(1, 3, "\n") }, true)
	if r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m"); r.err == nil && r.status == 200 {
		t.Errorf("a stream whose connection was reset looked complete: %+v", r)
	}
	for i := range f.shops {
		f.shops[i].handler = func(w http.ResponseWriter, r *http.Request) { writeRaw(w, r, framedByClose, "half", true) }
	}
	if r := f.send(context.Background(), "POST", "/charge/1"); r.err == nil && r.status < 500 {
		t.Errorf("a response whose connection was reset looked complete: %+v", r)
	}
}

// A stream that ends with its connection before its first event is incomplete: no
// caller may take it for an empty one.
func TestUnframedStreamWithoutEventIsIncomplete(t *testing.T) {
	f := newFixture(t)
	f.streamRaw(framedByClose, func(string) string { return "" }, false)
	if r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m"); r.err == nil && r.status == 200 {
		t.Errorf("a stream that ended before its first event looked complete: %+v", r)
	}
}

// A stream of a route that can't be resumed is asked for with a Last-Event-Id: its endpoint
// may begin it anew, or go on.
func TestStreamThatCannotBeResumedMayBeginAnew(t *testing.T) {
	f := newFixture(t)
	for _, body := range []string{events(1, 3, "\n"), events(3, 5, "\n")} {
		f.streamRaw(framedByChunks, func(string) string { return body }, false)
		r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m", platform.HeaderLastEventID, "2")
		if r.status != http.StatusOK || r.err != nil || r.body != body {
			t.Errorf("unexpected response %+v", r)
		}
	}
}
