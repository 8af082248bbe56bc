package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodfold/platform"
)

// sendKept sends a request on a connection that is kept and reads the response.
func sendKept(t *testing.T, conn net.Conn, r *bufio.Reader, method, path, id string) (*http.Response, string) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: key-1\r\n%s: 3000\r\n%s: m\r\nContent-Length: 0\r\n\r\n",
		method, path, platform.HeaderRequestID, id, platform.HeaderAPIKey, platform.HeaderDeadline, platform.HeaderModel)
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return response, string(body)
}

// Guards against bytes of a body after an answer that has none, by its status or since only its head
// was asked for: the client takes them for the beginning of the next answer (MIXED).
func TestAnswerWithoutBodyIsFollowedByTheNextOne(t *testing.T) {
	respond := func(status int, headers ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			for i := 0; i < len(headers); i += 2 {
				w.Header().Set(headers[i], headers[i+1])
			}
			w.WriteHeader(status)
			if r.URL.Query().Has("next") {
				_, _ = io.WriteString(w, "next")
			}
		}
	}
	for name, test := range map[string]struct {
		method, path string
		handler      http.HandlerFunc
		status       int
		length       string
		anyLength    bool
	}{
		"status 204":            {method: "POST", path: "/charge/1", handler: respond(204), status: 204},
		"stream with 204":       {method: "POST", path: "/chat/1", handler: respond(204), status: 204},
		"status 304":            {method: "GET", path: "/look/1", handler: respond(304), status: 304},
		"head with length":      {method: "HEAD", path: "/look/1", handler: respond(200, "Content-Length", "500"), status: 200, length: "500"},
		"head of a long answer": {method: "HEAD", path: "/look/1", handler: respond(200, "Content-Length", "5000000"), status: 200, length: "5000000"},
		"head without length":   {method: "HEAD", path: "/look/1", handler: respond(200, "Transfer-Encoding", "chunked"), status: 200},
		"head of a failure":     {method: "HEAD", path: "/look/1", handler: respond(500, "Content-Length", "500"), status: 500, length: "500"},
		"head of a stream":      {method: "HEAD", path: "/chat/1", handler: respond(200, "Content-Type", eventStreamType), status: 200},
		"head of a refusal":     {method: "HEAD", path: "/none/1", status: 404, anyLength: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for i := range f.shops {
				for _, e := range []*fakeEndpoint{f.shops[i], f.engines[i]} {
					e.handler = func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Query().Has("next") {
							respond(200)(w, r)
							return
						}
						test.handler(w, r)
					}
				}
			}
			conn, err := net.Dial("tcp4", strings.TrimPrefix(f.baseURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			began := time.Now()
			response, body := sendKept(t, conn, reader, test.method, test.path, "r-1")
			length := response.Header.Get("Content-Length")
			if response.StatusCode != test.status || !test.anyLength && length != test.length || body != "" {
				t.Errorf("status %d, length %q, body %q; want %d and length %q", response.StatusCode, length, body, test.status, test.length)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("answered after %v, want within 1 s", took)
			}
			response, body = sendKept(t, conn, reader, "GET", "/look/1?next", "r-2")
			if response.StatusCode != 200 || body != "next" || response.Header.Get(platform.HeaderRequestID) != "r-2" {
				t.Errorf("the next answer has status %d and body %q", response.StatusCode, body)
			}
		})
	}
}
