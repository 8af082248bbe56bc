package admin_test

import (
	"context"
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
)

// startServer starts a server and returns its base URL. The server is stopped at
// the end of the test.
func startServer(t *testing.T, status admin.StatusFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "sample_total"})
	registry.MustRegister(counter)
	s := admin.New(status, registry)
	s.Handle("/double", func(_ context.Context, query url.Values) (any, error) {
		n, err := strconv.Atoi(query.Get("n"))
		if err != nil {
			return nil, &admin.StatusError{Status: fasthttp.StatusBadRequest, Err: errors.New("n isn't a number")}
		}
		return map[string]int{"double": 2 * n}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-s.Done()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
	return "http://" + listener.Addr().String()
}

func TestPaths(t *testing.T) {
	base := startServer(t, func(context.Context) (any, error) { return map[string]int{"calls": 3}, nil })
	for path, want := range map[string]string{
		"/status":  `"calls": 3`,
		"/metrics": "sample_total 0",
		"/healthz": "ok",
	} {
		status, body, err := fasthttp.Get(nil, base+path)
		if err != nil || status != fasthttp.StatusOK || !strings.Contains(string(body), want) {
			t.Errorf("GET %s: status %d, body %s, error %v; want 200 and %q in the body", path, status, body, err, want)
		}
	}
}

// Guards against errors of a query that look like an answer or like a failing process.
func TestQueriesAreAnsweredWithTheirStatus(t *testing.T) {
	base := startServer(t, func(context.Context) (any, error) { return nil, nil })
	for query, want := range map[string]struct {
		status int
		body   string
	}{
		"n=21": {fasthttp.StatusOK, `"double": 42`},
		"n=a":  {fasthttp.StatusBadRequest, "n isn't a number"},
		"n=%z": {fasthttp.StatusBadRequest, "%z"},
	} {
		status, body, err := fasthttp.Get(nil, base+"/double?"+query)
		if err != nil || status != want.status || !strings.Contains(string(body), want.body) {
			t.Errorf("%s: status %d, body %s, error %v; want %+v", query, status, body, err, want)
		}
	}
}

func TestReadOnly(t *testing.T) {
	base := startServer(t, func(context.Context) (any, error) { return nil, errors.New("event loop has ended") })
	status, _, err := fasthttp.Post(nil, base+"/status", nil)
	if err == nil && status < fasthttp.StatusBadRequest {
		t.Errorf("POST /status: status %d, want an error", status)
	}
	if status, _, err := fasthttp.Get(nil, base+"/status"); err != nil || status != fasthttp.StatusServiceUnavailable {
		t.Errorf("GET /status with a failing StatusFunc: status %d, error %v; want 503", status, err)
	}
}
