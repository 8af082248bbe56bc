package edge

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
)

// rawAnswer is what an endpoint sends in reply to a request, byte by byte.
type rawAnswer struct {
	// status is the rest of the status line, "200 OK" if empty.
	status string
	// contentType is that of a stream of events if empty.
	contentType string
	// headers are further lines of the head. unstamped leaves out the stamp, id
	// replaces the ID of the request.
	headers   string
	unstamped bool
	id        string
	// before precedes the head.
	before  string
	framing rawFraming
	body    string
	// unended breaks the framing off after the body: the length is too great or the last
	// chunk missing. reset resets the connection.
	unended, reset bool
}

// orDefault returns value, or fallback if it is empty.
func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// write sends the answer and closes the connection.
func (a rawAnswer) write(w http.ResponseWriter, r *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	head := a.before + "HTTP/1.1 " + orDefault(a.status, "200 OK") + "\r\nConnection: close\r\n" + a.headers +
		"Content-Type: " + orDefault(a.contentType, eventStreamType) + "\r\n" +
		platform.HeaderRequestID + ": " + orDefault(a.id, r.Header.Get(platform.HeaderRequestID)) + "\r\n"
	if !a.unstamped {
		head += stampLine
	}
	body := a.body
	switch a.framing {
	case framedByLength:
		length := len(body)
		if a.unended {
			length += 100
		}
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if !a.unended {
			body += "0\r\n\r\n"
		}
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
	if a.reset {
		time.Sleep(resetDelay)
		_ = conn.(*net.TCPConn).SetLinger(0) // closing it then resets the connection
	}
}

// brokenStreams are streams of six events that break off, by the place and the way.
var brokenStreams = map[string]rawAnswer{
	"within an event, chunks ended":    {framing: framedByChunks, body: events(1, 3, "\n") + "id: 4\nda"},
	"within an event, length kept":     {framing: framedByLength, body: events(1, 3, "\n") + "id: 4\nda"},
	"within an event, close":           {framing: framedByClose, body: events(1, 3, "\n") + "id: 4\ndata: tok"},
	"within an event, reset":           {framing: framedByClose, body: events(1, 3, "\n") + "i", reset: true},
	"before an event's end, close":     {framing: framedByClose, body: events(1, 3, "\n") + "id: 4\ndata: token\n"},
	"between events, chunks not ended": {framing: framedByChunks, body: events(1, 3, "\n"), unended: true},
	"between events, short of length":  {framing: framedByLength, body: events(1, 3, "\n"), unended: true},
	"between events, reset":            {framing: framedByClose, body: events(1, 3, "\n"), reset: true},
	"before the last event, CRLF":      {framing: framedByChunks, body: events(1, 5, "\r\n"), unended: true},
	"after the last event, reset":      {framing: framedByChunks, body: events(1, 6, "\n"), unended: true, reset: true},
}

// errorTexts are bodies that tell of an error. Some look like events.
var errorTexts = map[string]string{
	"json":             `{"error":{"message":"overloaded","code":503}}`,
	"json lines":       "{\"error\": {\n\"message\": \"overloaded\"}}\n\n",
	"text":             "service overloaded",
	"text line":        "error: overloaded\n\n",
	"html":             "<html><body style=\"color: red\">\n<h1>502: Bad Gateway</h1>\n\n</body></html>\n\n",
	"head":             "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror",
	"head as event":    "HTTP/1.1 500 Internal: Error\nContent-Type: text/plain\n\n",
	"data only":        "data: {\"error\":{\"message\":\"overloaded\"}}\n\n",
	"error event":      "event: error\ndata: overloaded\n\n",
	"named event":      "event: error\nid: NEXT\ndata: overloaded\n\n",
	"comment":          ": overloaded\n\n",
	"id only":          "id: NEXT\n\n",
	"field in event":   "id: NEXT\nerror: overloaded\ndata: token\n\n",
	"late version":     "id: NEXT\ndata: token\nx-weight-versions: 2\n\n",
	"no version":       "x-weight-versions: error\nid: NEXT\ndata: token\n\n",
	"line end missing": "id: NEXTdata: token\n\n",
	"spoilt id":        "id: NEXT error\ndata: token\n\n",
	"two ids":          "id: NEXT\nid: NEXT\ndata: token\n\n",
	"tail of an event": "en\n\n",
	"tail with data":   "data: token\n\n",
	"id goes back":     "id: 2\ndata: token\n\n",
	"from the first":   events(1, 6, "\n"),
	"id skips one":     "id: SKIP\ndata: token\n\n",
	"id is negative":   "id: -1\ndata: token\n\n",
	"id is no number":  "id: error\ndata: token\n\n",
	"empty lines only": "\n\n",
}

// positioned returns an error text with the IDs that follow an event.
func positioned(text string, last int) string {
	return strings.NewReplacer("NEXT", fmt.Sprint(last+1), "SKIP", fmt.Sprint(last+2)).Replace(text)
}

// errorAnswers returns answers of an endpoint that is asked to continue a stream after an
// event and answers with an error instead, framed in one way.
func errorAnswers(last int, framing rawFraming) map[string]rawAnswer {
	next := events(last+1, last+2, "\n")
	out := map[string]rawAnswer{
		"200 empty":         {framing: framing},
		"200 empty unended": {framing: framing, unended: true, reset: true},
		"interim and 500": {
			before: "HTTP/1.1 103 Early Hints\r\n\r\n", status: "500 E", framing: framing, body: next,
		},
		"interim and empty": {before: "HTTP/1.1 100 Continue\r\n\r\n", framing: framing},
		"no stamp":          {framing: framing, unstamped: true, body: next},
		"other answer":      {framing: framing, id: "other", body: next},
		"encoded":           {framing: framing, headers: "Content-Encoding: br\r\n", body: next},
	}
	for name, text := range errorTexts {
		out["200 "+name] = rawAnswer{framing: framing, body: positioned(text, last)}
	}
	for _, contentType := range []string{"application/json", "text/plain; charset=utf-8", "text/html"} {
		out["200 "+contentType] = rawAnswer{framing: framing, contentType: contentType, body: next}
	}
	for _, status := range errorStatuses {
		out[status] = rawAnswer{status: status, framing: framing, body: next}
		out[status+" not executed"] = rawAnswer{
			status: status, framing: framing, body: next, headers: platform.HeaderNotExecuted + ": 1\r\n",
		}
	}
	return out
}

// errorStatuses are the statuses other than 200 with which a stream is not continued.
var errorStatuses = []string{
	"201 Created", "202 Accepted", "204 No Content", "206 Partial Content", "302 Found", "304 Not Modified",
	"400 Bad Request", "401 Unauthorized", "404 Not Found", "408 Request Timeout", "409 Conflict",
	"413 Too Large", "421 Misdirected Request", "429 Too Many Requests", "431 Too Large",
	"500 Internal Server Error", "502 Bad Gateway", "503 Service Unavailable", "504 Gateway Timeout",
}

// playAll makes the tests of this file play each answer in each framing, and after each
// break of a stream, which takes minutes. Without it each is played once for each answer.
var playAll = flag.Bool("edge.all", false, "play all combinations of framings, breaks and errors")

// chosen returns the names in order of which a test plays the one numbered n, or all.
func chosen[V any](options map[string]V, n int) []string {
	names := slices.Sorted(maps.Keys(options))
	if *playAll {
		return names
	}
	return names[n%len(names):][:1]
}

// streamFixture is a fixture whose engines answer the first request, and all of streams that
// can't be resumed, with one answer and others with another one.
func streamFixture(t *testing.T, first, others rawAnswer) *fixture {
	f := newFixture(t)
	var asked atomic.Bool
	for _, engine := range f.engines {
		engine.handler = func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/chat/") || asked.CompareAndSwap(false, true) {
				first.write(w, r)
				return
			}
			others.write(w, r)
		}
	}
	return f
}

// checkCut checks that a stream has the events up to the last one and nothing else, and
// doesn't look complete.
func checkCut(t *testing.T, r clientResponse, last int) {
	t.Helper()
	body := strings.ReplaceAll(r.body, "\r\n", "\n")
	if r.err == nil {
		t.Errorf("the stream looked complete: status %d, body %q", r.status, body)
	}
	if want := events(1, last, "\n"); body != want {
		t.Errorf("got %q, want %d events and nothing else", body, last)
	}
}

// lastEventIn returns the number of the last complete event of a stream.
func lastEventIn(a rawAnswer) int {
	return strings.Count(strings.ReplaceAll(a.body, "\r\n", "\n"), "\n\n")
}

// Guards against an error that becomes a part or the end of a stream: an endpoint begins a
// stream and breaks it off, and the next one answers with an error, at any status, in any
// framing, with any text. The caller must get no byte of it, and see that the stream is
// incomplete.
func TestErrorAfterBrokenStreamIsNoPartOfIt(t *testing.T) {
	for n, name := range slices.Sorted(maps.Keys(errorAnswers(0, framedByLength))) {
		for _, framing := range chosen(allFramings, n) {
			for _, place := range chosen(brokenStreams, n) {
				broken := brokenStreams[place]
				last := lastEventIn(broken)
				answer := errorAnswers(last, allFramings[framing])[name]
				t.Run(name+"/"+framing+"/"+place, func(t *testing.T) {
					t.Parallel()
					f := streamFixture(t, broken, answer)
					r := f.send(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m")
					checkCut(t, r, last)
					if n := len(f.engines[0].requests()) + len(f.engines[1].requests()); n != 2 {
						t.Errorf("endpoints got %d requests, want 2", n)
					}
				})
			}
		}
	}
}

// Guards against an error within a stream: an endpoint sends sound events and then the text
// or the head of an error, with its framing whole. The caller must get the sound events
// only, and see that the stream is incomplete.
func TestErrorWithinStreamIsNoPartOfIt(t *testing.T) {
	const last = 3
	for n, name := range slices.Sorted(maps.Keys(errorTexts)) {
		if name == "empty lines only" {
			continue // belongs to the event before
		}
		for _, framing := range chosen(allFramings, n) {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				broken := rawAnswer{framing: allFramings[framing], body: events(1, last, "\n") + positioned(errorTexts[name], last)}
				f := streamFixture(t, broken, rawAnswer{framing: framedByChunks, body: events(last+1, 6, "\n")})
				r := f.send(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m")
				if r.status != http.StatusOK || r.err != nil {
					t.Errorf("a stream that may be resumed did not go on: %+v", r)
				}
				checkEvents(t, r.body, 6)
				checkCut(t, f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m"), last)
			})
		}
	}
}

// Guards against an error that a caller gets in place of the rest of its stream: it takes a
// stream up, and the endpoint answers as one that doesn't continue it. It must get a failure
// as a whole answer, or a part of a stream that is seen to be incomplete.
func TestErrorForTakenUpStreamIsNoPartOfIt(t *testing.T) {
	const last = 3
	for n, name := range slices.Sorted(maps.Keys(errorAnswers(last, framedByLength))) {
		for _, framing := range chosen(allFramings, n) {
			answer := errorAnswers(last, allFramings[framing])[name]
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				f := streamFixture(t, answer, answer)
				r := f.send(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m",
					platform.HeaderLastEventID, fmt.Sprint(last), platform.HeaderResumes, "r-0")
				if r.err == nil && r.status >= 200 && r.status <= 299 {
					t.Errorf("an error was answered with a success: status %d, body %q", r.status, r.body)
				}
				if r.err != nil && r.body != "" {
					t.Errorf("got %q of an answer that is no stream", r.body)
				}
			})
		}
	}
}

// Guards against an error that a caller gets as a success: an endpoint sends the head of a
// stream and breaks off before its first event, of which the caller has seen nothing, and
// the next one answers with an error. What is no event must not reach the caller.
func TestErrorBeforeFirstEventIsNoStream(t *testing.T) {
	broken := rawAnswer{framing: framedByChunks, unended: true}
	for n, name := range slices.Sorted(maps.Keys(errorTexts)) {
		for _, framing := range chosen(allFramings, n) {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				f := streamFixture(t, broken, rawAnswer{framing: allFramings[framing], body: positioned(errorTexts[name], 0)})
				r := f.send(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m")
				sound := name == "from the first" && r.body == events(1, 6, "\n")
				if r.status == http.StatusOK && !sound {
					t.Errorf("an error was answered with a success: %+v", r)
				}
			})
		}
	}
}
