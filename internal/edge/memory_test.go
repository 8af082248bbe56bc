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

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/loop"
	"dogwoodfold/platform"
)

// rawHead returns the head of a request, without the lines that frame its body.
func rawHead(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-%d\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 8000\r\n",
		method, path, lastRequestNumber.Add(1))
}

// dialEntry connects to the entry.
func (f *fixture) dialEntry() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.baseURL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // a failed read shows it
	return conn
}

// readStatus reads a response and returns its status.
func (f *fixture) readStatus(reader *bufio.Reader) int {
	f.t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status tells
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *fixture) received() int { return len(f.shops[0].requests()) + len(f.shops[1].requests()) }

// Guards against a body over the limit that is read, or asked for with 100 Continue, before
// it is rejected.
func TestDeclaredBodyOverLimitIsRejectedUnread(t *testing.T) {
	f := newFixture(t)
	conn := f.dialEntry()
	_, _ = io.WriteString(conn, rawHead("POST", "/charge/1")+"Expect: 100-continue\r\nContent-Length: 1000000000\r\n\r\n")
	if status := f.readStatus(bufio.NewReader(conn)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", status)
	}
}

// Guards against a small read buffer that refuses a header within the limit, or loses bytes
// of the requests behind it.
func TestLongHeaderBetweenPipelinedRequests(t *testing.T) {
	f := newFixture(t)
	conn := f.dialEntry()
	long := "X-Long: " + strings.Repeat("a", 6000) + "\r\n"
	body := strings.Repeat("b", 50_000)
	withBody := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	go func() {
		_, _ = io.WriteString(conn, rawHead("GET", "/look/1")+"\r\n"+rawHead("POST", "/look/2")+long+withBody+
			rawHead("GET", "/look/3")+long+"\r\n"+rawHead("POST", "/look/4")+withBody) // a failure shows in the responses
	}()
	reader := bufio.NewReader(conn)
	for i := range 4 {
		if status := f.readStatus(reader); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i+1, status)
		}
	}
	if f.received() != 4 {
		t.Errorf("endpoints received %d requests, want 4", f.received())
	}
}

// Guards against a stalled body that keeps the memory from another request, and against a
// request that gives way after it has run.
func TestStalledBodyGivesWayUnrun(t *testing.T) {
	f := newFixture(t)
	f.server.memory = budget.New(200_000)
	stalled := f.dialEntry()
	size := 100_000 // the most that fixtures allow
	_, _ = io.WriteString(stalled, rawHead("POST", "/charge/1")+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+strings.Repeat("a", size-1))
	f.waitFor("the body has arrived", func() bool { return f.server.memory.Status().Used >= 84_000 })
	if r := f.sendBody(t.Context(), "POST", "/charge/2", strings.Repeat("b", size)); r.status != http.StatusOK {
		t.Fatalf("the second request: status %d, error %v", r.status, r.err)
	}
	if status := f.readStatus(bufio.NewReader(stalled)); status != http.StatusServiceUnavailable {
		t.Errorf("the stalled request: status %d, want 503", status)
	}
	if f.received() != 1 {
		t.Errorf("endpoints received %d requests, want 1", f.received())
	}
	f.waitFor("the memory is returned", func() bool { return f.server.memory.Status().Used == 0 })
}

// Guards against a response that is refused since there is no memory to hold it.
func TestResponseWithoutMemoryPassesThrough(t *testing.T) {
	f := newFixture(t)
	f.server.memory = budget.New(8 << 10)
	want := strings.Repeat("a", 150_000)
	for _, shop := range f.shops {
		shop.handler = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			_, _ = io.WriteString(w, want) // fails only if the entry has gone
		}
	}
	if r := f.send(t.Context(), "GET", "/look/1"); r.status != http.StatusOK || r.body != want || r.err != nil {
		t.Errorf("status %d, %d bytes, error %v", r.status, len(r.body), r.err)
	}
}

// pipeListener accepts connections that buffer nothing.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipeListener) Close() error { return nil }

// Guards against a client that doesn't read its response and so keeps an endpoint busy for
// others.
func TestUnreadResponseKeepsNoEndpointBusy(t *testing.T) {
	f := newFixture(t)
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.server.acceptClients(t.Context(), listener)
	}()
	client, entry := net.Pipe()
	listener.conns <- entry
	_, _ = io.WriteString(client, rawHead("GET", "/look/1")+"\r\n") // a failure shows at the endpoint
	f.waitFor("the request has reached an endpoint", func() bool { return f.received() == 1 })
	f.waitFor("no request runs at an endpoint", func() bool {
		status, err := loop.Ask(t.Context(), f.server.loop, func(reply chan<- gate.Status) gate.Event {
			return gate.StatusRequested{Reply: reply}
		})
		return err == nil && status.Running == 0
	})
	if status := f.readStatus(bufio.NewReader(client)); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	_ = client.Close() // the response was read
	close(listener.conns)
	<-done
}

// Guards against connections above the bound, against a new client that is refused while
// others are idle, and against closing one with a request in progress.
func TestOldestIdleConnectionGivesWay(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	for _, shop := range f.shops {
		shop.handler = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.Header().Set(platform.HeaderServerStamp, "s")
		}
	}
	f.server.mu.Lock()
	f.server.maxClientConns = 3
	f.server.mu.Unlock()
	busy := f.dialEntry()
	_, _ = io.WriteString(busy, rawHead("GET", "/look/1")+"\r\n")
	f.waitFor("the request is in progress", func() bool { return f.received() == 1 })
	idle := []net.Conn{f.dialEntry(), nil, nil}
	for i := range idle[1:] {
		f.waitFor("the connection is accepted", func() bool {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			return len(f.server.clientConns) >= 2+min(i, 1)
		})
		idle[i+1] = f.dialEntry()
	}
	if n, err := idle[0].Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // a closed connection returns it unwrapped
		t.Errorf("the oldest idle connection: read %d bytes, error %v; want it closed", n, err)
	}
	close(release)
	if status := f.readStatus(bufio.NewReader(busy)); status != http.StatusOK {
		t.Errorf("the request in progress: status %d", status)
	}
	_, _ = io.WriteString(idle[2], rawHead("GET", "/look/2")+"\r\n")
	if status := f.readStatus(bufio.NewReader(idle[2])); status != http.StatusOK {
		t.Errorf("the newest connection: status %d", status)
	}
}

// Guards against a body whose bytes come so slowly that it never ends, each of them
// postponing the deadline.
func TestSlowBodyIsGivenUpByItsRate(t *testing.T) {
	client, entry := net.Pipe()
	defer func() { _ = client.Close() }()
	source := &clientSource{conn: entry}
	source.watchBody(time.Now(), time.Hour, 200*time.Millisecond)
	go func() {
		for {
			if _, err := client.Write([]byte("a")); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	if _, err := budget.Read(source, 1<<20, 1<<20, func(int) error { return nil }); err != errBodyTooSlow { //nolint:errorlint // it isn't wrapped
		t.Errorf("error %v, want errBodyTooSlow", err)
	}
}
