package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodfold/platform"
	"dogwoodfold/platform/fakes"
)

func TestRequestReachesItsEndpointWithTheSystemsHeadersOnly(t *testing.T) {
	s := newSite(t)
	r := s.call(context.Background(), "GET", "/look/7?a=%2F", platform.HeaderCustomer, "other",
		platform.HeaderHold, "h", platform.HeaderKVFrom, "k", "X-Custom", "c")
	if r.status != 200 || !strings.HasPrefix(r.body, "answer of shop-") || r.header.Get(platform.HeaderServerStamp) == "" {
		t.Fatalf("answered %+v", r)
	}
	seen := append(s.shop[0].requests(), s.shop[1].requests()...)
	if len(seen) != 1 {
		t.Fatalf("%d runs", len(seen))
	}
	got := seen[0]
	if got.URL.RequestURI() != "/look/7?a=%2F" || got.Host != "shop.example" {
		t.Errorf("asked for %s at %s", got.URL.RequestURI(), got.Host)
	}
	for name, want := range map[string]string{
		platform.HeaderCustomer: "acme", platform.HeaderAPIKey: "", platform.HeaderHold: "", platform.HeaderKVFrom: "", "X-Custom": "c",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got.Header.Get(name), want)
		}
	}
}

func TestWrongKeysAndRoutesAreDenied(t *testing.T) {
	s := newSite(t)
	if r := s.call(context.Background(), "GET", "/look/1", platform.HeaderAPIKey, "no"); r.status != 401 {
		t.Errorf("a wrong key is answered %d", r.status)
	}
	if r := s.call(context.Background(), "GET", "/none/1"); r.status != 404 {
		t.Errorf("an unknown route is answered %d", r.status)
	}
}

// An answer to another request, one without a signature and one that is cut
// belong to no one; a charge that may have run is not sent again.
func TestSpoiledAnswersOfNonIdempotentRequests(t *testing.T) {
	spoils := map[string]http.HandlerFunc{
		"other request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderRequestID, "other")
			w.Header().Set(platform.HeaderServerStamp, "s")
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "not yours")
		},
		"no signature": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "unsigned") },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		},
	}
	for name, spoil := range spoils {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.shop[0].answer, s.shop[1].answer = spoil, spoil
			r := s.call(context.Background(), "POST", "/charge/1")
			if r.status < 500 || r.status == 503 || r.header.Get(platform.HeaderServerStamp) != "" {
				t.Errorf("answered %+v", r)
			}
			if n := len(s.shop[0].requests()) + len(s.shop[1].requests()); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

func TestRefusalOfTheEndpointIsNotRun(t *testing.T) {
	s := newSite(t)
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s.shop[0].answer, s.shop[1].answer = full, full
	r := s.call(context.Background(), "POST", "/charge/1")
	if r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("answered %d, Retry-After %q", r.status, r.header.Get("Retry-After"))
	}
}

func TestCutAnswerOfIdempotentRequestIsAskedElsewhere(t *testing.T) {
	s := newSite(t)
	for i := range s.shop {
		s.shop[i].answer = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			if len(s.shop[0].requests())+len(s.shop[1].requests()) == 1 {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "half")
				return
			}
			_, _ = io.WriteString(w, "whole")
		}
	}
	if r := s.call(context.Background(), "GET", "/look/1"); r.status != 200 || r.body != "whole" {
		t.Errorf("answered %+v", r)
	}
}

// events writes the events from first to last, the last one broken if cut.
func events(w http.ResponseWriter, first, last int, cut bool) {
	w.Header().Set(platform.HeaderServerStamp, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		w.(http.Flusher).Flush()
	}
	if cut {
		_, _ = fmt.Fprintf(w, "id: %d\nda", last+1)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func wantEvents(t *testing.T, body string, n int) {
	t.Helper()
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: token\n\n", i)
	}
	if body != want.String() {
		t.Errorf("got %q, want %d whole events", body, n)
	}
}

func TestResumableStreamGoesOnElsewhereWithoutGapOrDouble(t *testing.T) {
	s := newSite(t)
	for i := range s.engine {
		s.engine[i].answer = func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(platform.HeaderLastEventID) == "3" {
				events(w, 4, 6, false)
				return
			}
			events(w, 1, 3, true)
		}
	}
	r := s.call(context.Background(), "POST", "/notes/1", platform.HeaderModel, "m")
	if r.status != 200 || r.err != nil {
		t.Fatalf("answered %+v", r)
	}
	wantEvents(t, r.body, 6)
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newSite(t)
	for i := range s.engine {
		s.engine[i].answer = func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3, true) }
	}
	r := s.call(context.Background(), "POST", "/chat/1", platform.HeaderModel, "m")
	if r.err == nil {
		t.Errorf("a broken stream ended as complete: %+v", r)
	}
	if n := len(s.engine[0].requests()) + len(s.engine[1].requests()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestWorkEndsWhenTheClientLeaves(t *testing.T) {
	s := newSite(t)
	left := make(chan struct{}, 2)
	for i := range s.engine {
		s.engine[i].answer = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(platform.HeaderServerStamp, "s")
			_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			left <- struct{}{}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	s.call(ctx, "POST", "/chat/1", platform.HeaderModel, "m")
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint still works")
	}
}

func TestWithdrawnKeyStopsWorking(t *testing.T) {
	s := newSite(t)
	if r := s.call(context.Background(), "GET", "/look/1"); r.status != 200 {
		t.Fatalf("answered %d", r.status)
	}
	s.store.Put(fakes.TopicOperator, fakes.KeyConfig, testConfig(2, "key-2"))
	s.await("the key is withdrawn", func() bool { return s.call(context.Background(), "GET", "/look/1").status == 401 })
}

// Without the store an entry can't know of withdrawals: it refuses keys, as not
// run, and is not ready.
func TestKeysNeedTheStore(t *testing.T) {
	s := newSite(t)
	s.store.SetFailStatus(http.StatusServiceUnavailable)
	s.await("keys are refused", func() bool { return s.call(context.Background(), "GET", "/look/1").status == 503 })
	s.await("the entry is not ready", func() bool { return s.status(s.ready) == 503 })
	s.store.SetFailStatus(0)
	s.await("keys work again", func() bool { return s.call(context.Background(), "GET", "/look/1").status == 200 })
}

func TestAmbiguousFramingIsRefused(t *testing.T) {
	s := newSite(t)
	head := "POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\nX-Api-Key: key-1\r\n"
	for name, rest := range map[string]string{
		"both framings":  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":    "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"odd encoding":   "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"spaced name":    "Content-Length : 3\r\n\r\nabc",
		"signed length":  "Content-Length: +3\r\n\r\nabc",
		"second request": "X-Request-Id: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, head+rest)
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil || !strings.Contains(line, " 400 ") {
				t.Errorf("answered %q, %v", line, err)
			}
		})
	}
	if n := len(s.shop[0].requests()) + len(s.shop[1].requests()); n != 0 {
		t.Errorf("%d runs", n)
	}
}

func TestStoppingEntryAnswersAndSendsClientsAway(t *testing.T) {
	s := newSite(t)
	release := make(chan struct{})
	for i := range s.shop {
		s.shop[i].answer = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.Header().Set(platform.HeaderServerStamp, "s")
		}
	}
	answered := make(chan reply, 1)
	go func() { answered <- s.call(context.Background(), "GET", "/look/1") }()
	s.await("the request runs", func() bool { return len(s.shop[0].requests())+len(s.shop[1].requests()) == 1 })
	s.entry.Stop()
	s.await("the entry is not ready", func() bool { return s.status(s.ready) == 503 })
	close(release)
	if r := <-answered; r.status != 200 {
		t.Errorf("a running request is answered %+v", r)
	}
	if r := s.call(context.Background(), "GET", "/look/1"); r.status != 200 || !r.closing {
		t.Errorf("a new request is answered %+v", r)
	}
	select {
	case <-s.entry.Finished():
	case <-time.After(4 * time.Second):
		t.Error("the entry doesn't finish")
	}
}

// A kept connection on which no request has begun must not hold a stopping entry
// back, and the time that a client leaves it idle is no part of a request's.
func TestKeptConnectionsDontDelayAStop(t *testing.T) {
	s := newSite(t)
	if r := s.call(context.Background(), "GET", "/look/1"); r.status != 200 {
		t.Fatalf("answered %d", r.status)
	}
	begun := time.Now()
	s.entry.Stop()
	select {
	case <-s.entry.Finished():
	case <-time.After(4 * time.Second):
		t.Fatal("the entry doesn't finish")
	}
	// The grace of the site is 4 s; an idle connection ends with the admission.
	if took := time.Since(begun); took > 3*time.Second {
		t.Errorf("an entry without requests stopped after %v", took)
	}
}
