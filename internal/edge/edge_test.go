package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

func TestForwardedRequestOmitsReservedHeaders(t *testing.T) {
	f := newFixture(t)
	r := f.send(context.Background(), "GET", "/look/7?a=%2F", platform.HeaderCustomer, "other",
		platform.HeaderHold, "h", platform.HeaderKVFrom, "k", "X-Custom", "c")
	if r.status != 200 || !strings.HasPrefix(r.body, "answer of shop-") || r.header.Get(platform.HeaderServerStamp) == "" {
		t.Fatalf("unexpected response %+v", r)
	}
	received := append(f.shops[0].requests(), f.shops[1].requests()...)
	if len(received) != 1 {
		t.Fatalf("endpoints received %d requests, want 1", len(received))
	}
	got := received[0]
	if got.URL.RequestURI() != "/look/7?a=%2F" || got.Host != "shop.example" {
		t.Errorf("endpoint received URI %s and host %s", got.URL.RequestURI(), got.Host)
	}
	for name, want := range map[string]string{
		platform.HeaderCustomer: "acme", platform.HeaderAPIKey: "", platform.HeaderHold: "", platform.HeaderKVFrom: "", "X-Custom": "c",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("header %s = %q, want %q", name, got.Header.Get(name), want)
		}
	}
}

func TestInvalidKeyAndUnknownRouteAreRejected(t *testing.T) {
	f := newFixture(t)
	if r := f.send(context.Background(), "GET", "/look/1", platform.HeaderAPIKey, "no"); r.status != 401 {
		t.Errorf("invalid key: status %d, want 401", r.status)
	}
	if r := f.send(context.Background(), "GET", "/none/1"); r.status != 404 {
		t.Errorf("unknown route: status %d, want 404", r.status)
	}
}

// A response to another request, one without a server stamp and a truncated one
// must not be forwarded, and a non-idempotent request that may have been executed
// must not be sent again.
func TestInvalidResponseToNonIdempotentRequestIsNotRetried(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"other request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderRequestID, "other")
			w.Header().Set(platform.HeaderServerStamp, "s")
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "not yours")
		},
		"no server stamp": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "unsigned") },
		"truncated body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.shops[0].handler, f.shops[1].handler = handler, handler
			r := f.send(context.Background(), "POST", "/charge/1")
			if r.status < 500 || r.status == 503 || r.header.Get(platform.HeaderServerStamp) != "" {
				t.Errorf("unexpected response %+v", r)
			}
			if n := len(f.shops[0].requests()) + len(f.shops[1].requests()); n != 1 {
				t.Errorf("endpoints received %d requests, want 1", n)
			}
		})
	}
}

func TestEndpointRefusalIsAnsweredAsNotExecuted(t *testing.T) {
	f := newFixture(t)
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f.shops[0].handler, f.shops[1].handler = refuse, refuse
	r := f.send(context.Background(), "POST", "/charge/1")
	if r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 with Retry-After", r.status, r.header.Get("Retry-After"))
	}
}

func TestTruncatedResponseToIdempotentRequestIsRetried(t *testing.T) {
	f := newFixture(t)
	for i := range f.shops {
		f.shops[i].handler = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			if len(f.shops[0].requests())+len(f.shops[1].requests()) == 1 {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "half")
				return
			}
			_, _ = io.WriteString(w, "whole")
		}
	}
	if r := f.send(context.Background(), "GET", "/look/1"); r.status != 200 || r.body != "whole" {
		t.Errorf("unexpected response %+v", r)
	}
}

// writeEvents writes the events from first to last. If truncated, it then aborts
// the response within the next event.
func writeEvents(w http.ResponseWriter, first, last int, truncated bool) {
	w.Header().Set(platform.HeaderServerStamp, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		w.(http.Flusher).Flush()
	}
	if truncated {
		_, _ = fmt.Fprintf(w, "id: %d\nda", last+1)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func checkEvents(t *testing.T, body string, n int) {
	t.Helper()
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: token\n\n", i)
	}
	if body != want.String() {
		t.Errorf("got %q, want %d complete events", body, n)
	}
}

func TestResumableStreamContinuesWithoutGapOrDuplicate(t *testing.T) {
	f := newFixture(t)
	for i := range f.engines {
		f.engines[i].handler = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(platform.HeaderLastEventID) == "3" {
				writeEvents(w, 4, 6, false)
				return
			}
			writeEvents(w, 1, 3, true)
		}
	}
	r := f.send(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m")
	if r.status != 200 || r.err != nil {
		t.Fatalf("unexpected response %+v", r)
	}
	checkEvents(t, r.body, 6)
}

func TestInterruptedStreamDoesNotLookComplete(t *testing.T) {
	f := newFixture(t)
	for i := range f.engines {
		f.engines[i].handler = func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3, true) }
	}
	r := f.send(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m")
	if r.err == nil {
		t.Errorf("interrupted stream ended like a complete one: %+v", r)
	}
	if n := len(f.engines[0].requests()) + len(f.engines[1].requests()); n != 1 {
		t.Errorf("endpoints received %d requests, want 1", n)
	}
}

func TestClientDisconnectCancelsEndpointRequest(t *testing.T) {
	f := newFixture(t)
	canceled := make(chan struct{}, 2)
	for i := range f.engines {
		f.engines[i].handler = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			canceled <- struct{}{}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	f.send(ctx, "POST", "/chat/1", platform.HeaderModel, "m")
	select {
	case <-canceled:
	case <-time.After(2 * time.Second):
		t.Error("endpoint request not canceled after the client disconnected")
	}
}

func TestRevokedKeyIsRejected(t *testing.T) {
	f := newFixture(t)
	if r := f.send(context.Background(), "GET", "/look/1"); r.status != 200 {
		t.Fatalf("status %d, want 200", r.status)
	}
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(2, "key-2"))
	f.waitFor("the revoked key is rejected", func() bool { return f.send(context.Background(), "GET", "/look/1").status == 401 })
}

// Without the store an entry cannot learn of key revocations: it must refuse
// requests with a key as not executed, and must not be ready.
func TestKeysAreRefusedWithoutStore(t *testing.T) {
	f := newFixture(t)
	f.store.SetFailStatus(http.StatusServiceUnavailable)
	f.waitFor("keys are refused", func() bool { return f.send(context.Background(), "GET", "/look/1").status == 503 })
	f.waitFor("the entry is not ready", func() bool { return f.getStatus(f.readyURL) == 503 })
	f.store.SetFailStatus(0)
	f.waitFor("keys are accepted again", func() bool { return f.send(context.Background(), "GET", "/look/1").status == 200 })
}

func TestAmbiguousFramingIsRejected(t *testing.T) {
	f := newFixture(t)
	head := "POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\nX-Api-Key: key-1\r\n"
	for name, rest := range map[string]string{
		"length and chunked":        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":               "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"unknown transfer encoding": "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"space after header name":   "Content-Length : 3\r\n\r\nabc",
		"signed length":             "Content-Length: +3\r\n\r\nabc",
		"second request ID":         "X-Request-Id: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.baseURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, head+rest)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || !strings.Contains(line, " 400 ") {
				t.Errorf("status line %q, error %v; want status 400", line, err)
			}
		})
	}
	if n := len(f.shops[0].requests()) + len(f.shops[1].requests()); n != 0 {
		t.Errorf("endpoints received %d requests, want 0", n)
	}
}

func TestStopAnswersRequestsAndClosesConnections(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	for i := range f.shops {
		f.shops[i].handler = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.Header().Set(platform.HeaderServerStamp, "s")
		}
	}
	responses := make(chan clientResponse, 1)
	go func() { responses <- f.send(context.Background(), "GET", "/look/1") }()
	f.waitFor("an endpoint has the request", func() bool { return len(f.shops[0].requests())+len(f.shops[1].requests()) == 1 })
	f.server.Stop()
	f.waitFor("the entry is not ready", func() bool { return f.getStatus(f.readyURL) == 503 })
	close(release)
	if r := <-responses; r.status != 200 {
		t.Errorf("active request: response %+v, want status 200", r)
	}
	if r := f.send(context.Background(), "GET", "/look/1"); r.status != 200 || !r.closesConn {
		t.Errorf("new request: response %+v, want status 200 and a closed connection", r)
	}
	select {
	case <-f.server.Finished():
	case <-time.After(4 * time.Second):
		t.Error("entry not finished after 4 s")
	}
}

// An idle keep-alive connection must not delay a stopping entry: the time that a
// client leaves it idle does not count as part of a request.
func TestIdleConnectionsDoNotDelayStop(t *testing.T) {
	f := newFixture(t)
	if r := f.send(context.Background(), "GET", "/look/1"); r.status != 200 {
		t.Fatalf("status %d, want 200", r.status)
	}
	stoppedAt := time.Now()
	f.server.Stop()
	select {
	case <-f.server.Finished():
	case <-time.After(4 * time.Second):
		t.Fatal("entry not finished after 4 s")
	}
	// The grace period is 4 s; idle connections are closed minShutdownTime, 2.5 s,
	// after the stop.
	if elapsed := time.Since(stoppedAt); elapsed > 3*time.Second {
		t.Errorf("entry without active requests finished after %v, want at most 3 s", elapsed)
	}
}

// An endpoint that says in an answer that it leaves gets no further request, though
// the registry still lists it as ready. A refusal says so as well as a success.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		f := newFixture(t)
		var leaves atomic.Pointer[fakeEndpoint]
		for _, shop := range f.shops {
			shop.handler = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.HeaderServerStamp, "s")
				leaves.CompareAndSwap(nil, shop)
				if leaves.Load() != shop {
					return
				}
				w.Header().Set(platform.HeaderLeaving, "1")
				if status != http.StatusOK {
					w.Header().Set(platform.HeaderNotExecuted, "1")
				}
				w.WriteHeader(status)
			}
		}
		for range 30 {
			f.send(context.Background(), "GET", "/look/1")
		}
		if n := len(leaves.Load().requests()); n != 1 {
			t.Errorf("status %d: the leaving endpoint received %d requests, want 1", status, n)
		}
	}
}

// An endpoint that turns requests away with a time must get none of them before
// that time has passed.
func TestEndpointThatTurnsAwayGetsNoRequests(t *testing.T) {
	for _, header := range []string{platform.HeaderNotExecuted, "X-Other"} {
		f := newFixture(t)
		for _, shop := range f.shops {
			shop.handler = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.HeaderRetryAfter, "30.5")
				w.Header().Set(header, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
		var last clientResponse
		for range 20 {
			last = f.send(context.Background(), "GET", "/look/1")
		}
		if n := len(f.shops[0].requests()) + len(f.shops[1].requests()); n != 2 {
			t.Errorf("%s: the endpoints received %d requests, want one each", header, n)
		}
		if seconds, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64); last.status != 503 || err != nil || seconds < 29 {
			t.Errorf("%s: status %d, Retry-After %q; want 503 with about 30 s", header, last.status, last.header.Get("Retry-After"))
		}
	}
}

// The store comes back from a copy: its newest records are gone and their offsets
// are given out again. The entry must not go back to an older configuration, must
// renew its lease at the new end and see what is written from then on.
func TestEntryFollowsRestoredStore(t *testing.T) {
	f := newFixture(t)
	leaseEnd := func() int { return f.store.End("keyed.dogwoodfold") }
	f.waitFor("the lease has been renewed", func() bool { return leaseEnd() >= 3 })
	time.Sleep(time.Second)
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(2, "key-2"))
	f.waitFor("the revoked key is rejected", func() bool { return f.send(context.Background(), "GET", "/look/1").status == 401 })
	endBefore := leaseEnd()
	lost := f.store.Restore(2 * time.Second)
	if end := leaseEnd(); end >= endBefore {
		t.Fatalf("the lease's log ends at %d after %d, the copy lacks nothing", end, endBefore)
	}
	for range 20 {
		if r := f.send(context.Background(), "GET", "/look/1"); r.status == 200 {
			t.Fatal("the revoked key was accepted again")
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.store.Rewrite(lost)
	f.waitFor("the lease is renewed beyond its end before", func() bool { return leaseEnd() > endBefore+1 })
	f.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(3, "key-1"))
	f.waitFor("the newest configuration is in force", func() bool { return f.send(context.Background(), "GET", "/look/1").status == 200 })
}
