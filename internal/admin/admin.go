// Package admin serves read-only requests from operators on a separate listener.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"
)

const (
	readTimeout = 10 * time.Second
	// queryTimeout bounds how long a StatusFunc or QueryFunc may take.
	queryTimeout = 2 * time.Second
	maxBodyBytes = 4 << 10
	// pprofPrefix is the path prefix of the profiles.
	pprofPrefix = "/debug/pprof/"
)

// StatusFunc returns the status as a value to be encoded as JSON. It must return
// when ctx is done.
type StatusFunc func(ctx context.Context) (any, error)

// QueryFunc answers a query with a value to be encoded as JSON. It must return when ctx is done.
type QueryFunc func(ctx context.Context, query url.Values) (any, error)

// StatusError is an error that is answered with an HTTP status of its own.
type StatusError struct {
	Status int
	Err    error
}

// Error implements the error interface.
func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *StatusError) Unwrap() error { return e.Err }

// Server serves GET requests for status, metrics, health and profiles. It provides
// no way to change anything: operators do that only by publishing a configuration.
type Server struct {
	queries map[string]QueryFunc
	metrics fasthttp.RequestHandler
	server  *fasthttp.Server
	done    chan struct{}
}

// New returns a server that serves the given status and metrics.
func New(status StatusFunc, registry *prometheus.Registry) *Server {
	s := &Server{
		queries: map[string]QueryFunc{
			"/status": func(ctx context.Context, _ url.Values) (any, error) { return status(ctx) },
		},
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
		done:    make(chan struct{}),
	}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "dogwoodfold",
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		GetOnly:               true,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		SecureErrorLogMessage: true,
	}
	return s
}

// Handle answers requests at a path by f, which must change nothing. It must be called before Run.
func (s *Server) Handle(path string, f QueryFunc) { s.queries[path] = f }

// Run serves requests on the listener until ctx is done.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	defer close(s.done)
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return errors.Join(listener.Close(), <-serveErr)
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// handle serves a request by its path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if query := s.queries[path]; query != nil {
		s.writeAnswer(ctx, query)
		return
	}
	switch path {
	case "/metrics":
		s.metrics(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	default:
		if profile, ok := strings.CutPrefix(path, pprofPrefix); ok && profile != "" {
			pprofhandler.PprofHandler(ctx)
			return
		}
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// writeAnswer writes the answer to a query as JSON.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, f QueryFunc) {
	query, err := url.ParseQuery(string(ctx.URI().QueryString()))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	queryCtx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	answer, err := f(queryCtx, query)
	if err != nil {
		status := fasthttp.StatusServiceUnavailable
		if statusErr := (*StatusError)(nil); errors.As(err, &statusErr) {
			status = statusErr.Status
		}
		ctx.Error(err.Error(), status)
		return
	}
	body, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
