package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
)

// endless is what a faulty endpoint sends on a connection: a beginning, and then
// the same bytes again and again until its caller closes.
type endless struct {
	begin, repeat string
	// pause is the time between two repeats.
	pause time.Duration
}

const (
	stampLine  = platform.HeaderServerStamp + ": s\r\n"
	chunkLines = "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers are answers without end by what has none. REQUEST stands for the ID of
// the request.
var endlessAnswers = map[string]endless{
	"head":                {begin: "HTTP/1.1 200 OK\r\n", repeat: "X-A: b\r\n"},
	"head line":           {begin: "HTTP/1.1 200 OK\r\nX-A: ", repeat: "bbbbbbbb"},
	"no head":             {repeat: "\x00\x01garbage"},
	"empty lines":         {repeat: "\r\n"},
	"slow head":           {begin: "HTTP/1.1 200 OK\r\n", repeat: "X-A: b\r\n", pause: 50 * time.Millisecond},
	"interim answers":     {repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
	"answer to another":   {begin: "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": other\r\n" + chunkLines, repeat: "1\r\na\r\n"},
	"slow other answer":   {begin: "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": other\r\n" + chunkLines, repeat: "1\r\na\r\n", pause: 20 * time.Millisecond},
	"failure":             {begin: "HTTP/1.1 500 E\r\nX-Request-Id: REQUEST\r\n\r\n", repeat: "aaaaaaaa"},
	"slow failure":        {begin: "HTTP/1.1 500 E\r\nX-Request-Id: REQUEST\r\n\r\n", repeat: "aaaaaaaa", pause: 20 * time.Millisecond},
	"chunked failure":     {begin: "HTTP/1.1 500 E\r\nX-Request-Id: REQUEST\r\n" + chunkLines, repeat: "1\r\na\r\n"},
	"refusal":             {begin: "HTTP/1.1 503 F\r\nX-Not-Executed: 1\r\nX-Request-Id: REQUEST\r\n\r\n", repeat: "aaaaaaaa"},
	"slow refusal":        {begin: "HTTP/1.1 503 F\r\nX-Not-Executed: 1\r\nX-Request-Id: REQUEST\r\n" + chunkLines, repeat: "1\r\na\r\n", pause: 20 * time.Millisecond},
	"chunk size":          {begin: "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\n" + chunkLines + "1", repeat: "0"},
	"trailer":             {begin: "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\n" + chunkLines + "1\r\na\r\n0\r\n", repeat: "X-A: b\r\n"},
	"slow trailer":        {begin: "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\n" + chunkLines + "1\r\na\r\n0\r\n", repeat: "X-A: b\r\n", pause: 20 * time.Millisecond},
	"body":                {begin: "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\n\r\n", repeat: strings.Repeat("a", 4096)},
	"chunked body":        {begin: "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\n" + chunkLines, repeat: "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
	"body of huge length": {begin: "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\nContent-Length: 9000000000\r\n\r\n", repeat: strings.Repeat("a", 4096)},
}

// write sends the bytes until the connection is closed, and reports that on ended.
func (e endless) write(w http.ResponseWriter, r *http.Request, ended chan<- struct{}) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.ReplaceAll(e.begin, "REQUEST", r.Header.Get(platform.HeaderRequestID)))
	repeat := e.repeat
	if e.pause == 0 {
		repeat = strings.Repeat(repeat, max(1, 4096/len(repeat)))
	}
	for err == nil {
		if err = conn.SetWriteDeadline(time.Now().Add(3 * time.Second)); err == nil {
			_, err = io.WriteString(conn, repeat)
		}
		time.Sleep(e.pause)
	}
	ended <- struct{}{}
}

// Guards against requests that are held, and memory and connections that are used up,
// by an endpoint that sends bytes without end: the attempt must end soon, with the
// endpoint's connection closed, and a request that may run twice is answered by the
// other endpoint.
func TestBytesWithoutEndEndTheAttempt(t *testing.T) {
	for name, e := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			ended := make(chan struct{}, 1)
			var first atomic.Pointer[fakeEndpoint]
			for _, shop := range f.shops {
				shop.handler = func(w http.ResponseWriter, r *http.Request) {
					if first.CompareAndSwap(nil, shop) {
						e.write(w, r, ended)
						return
					}
					w.Header().Set(platform.HeaderServerStamp, "s")
				}
			}
			began := time.Now()
			r := f.send(context.Background(), "GET", "/look/1")
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("answered after %v, want within 2 s", took)
			}
			truncated := strings.Contains(name, "body")
			if truncated && r.err == nil {
				t.Errorf("an answer without end looked complete: status %d, %d bytes", r.status, len(r.body))
			}
			if !truncated && (r.status != http.StatusOK || r.err != nil) {
				t.Errorf("status %d, error %v; want the answer of the other endpoint", r.status, r.err)
			}
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Error("the endpoint's connection is still open")
			}
		})
	}
}

// The same in a stream: an event without end, and bytes that are no events.
func TestStreamWithoutEndIsCutOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + stampLine + "X-Request-Id: REQUEST\r\n\r\n"
	for name, e := range map[string]endless{
		"event":       {begin: head + events(1, 2, "\n") + "data: ", repeat: "aaaaaaaa"},
		"no events":   {begin: head + events(1, 2, "\n"), repeat: "garbage\n\n", pause: 5 * time.Millisecond},
		"no first":    {begin: head, repeat: "\x00\x01\n\n", pause: 5 * time.Millisecond},
		"empty lines": {begin: head + events(1, 2, "\n"), repeat: "\n", pause: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			ended := make(chan struct{}, 4)
			for _, engine := range f.engines {
				engine.handler = func(w http.ResponseWriter, r *http.Request) { e.write(w, r, ended) }
			}
			began := time.Now()
			r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m")
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("ended after %v, want within 2 s", took)
			}
			if r.err == nil && r.status == http.StatusOK {
				t.Errorf("the stream looked complete: %d bytes", len(r.body))
			}
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Error("the endpoint's connection is still open")
			}
		})
	}
}

// An engine sends a report without end: the call must end, and its connection with it.
func TestReportWithoutEndIsCutOff(t *testing.T) {
	for name, e := range map[string]endless{
		"head": {begin: "HTTP/1.1 200 OK\r\n", repeat: "X-A: b\r\n"},
		"body": {begin: "HTTP/1.1 200 OK\r\n\r\n", repeat: strings.Repeat("a", 4096)},
		"slow": {begin: "HTTP/1.1 200 OK\r\n\r\n", repeat: "a", pause: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 1)
			address := serveLoopback(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.write(w, r, ended) }))
			_, err := platform.NewEngineClient().Report("llm-1", netip.MustParseAddrPort(address))
			if err == nil {
				t.Error("a report without end was accepted")
			}
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Error("the engine's connection is still open 2 s after the call")
			}
		})
	}
}

// A client sends a trailer without end: it must be rejected.
func TestClientTrailerWithoutEndIsRejected(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /look/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: t\r\nX-Api-Key: key-1\r\n"+
		"X-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
	for began := time.Now(); ; {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(conn, strings.Repeat("X-A: b\r\n", 512)); err != nil {
			return
		}
		if time.Since(began) > 2*time.Second {
			t.Fatal("the entry still reads the trailer after 2 s")
		}
	}
}
