// Package admin serves read-only requests from operators on a separate listener.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
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
	// statusTimeout bounds how long a StatusFunc may take.
	statusTimeout = 2 * time.Second
	maxBodyBytes  = 4 << 10
	// pprofPrefix is the path prefix of the profiles.
	pprofPrefix = "/debug/pprof/"
)

// StatusFunc returns the status as a value to be encoded as JSON. It must return
// when ctx is done.
type StatusFunc func(ctx context.Context) (any, error)

// Server serves GET requests for status, metrics, health and profiles. It provides
// no way to change anything: operators do that only by publishing a configuration.
type Server struct {
	status  StatusFunc
	metrics fasthttp.RequestHandler
	server  *fasthttp.Server
	done    chan struct{}
}

// New returns a server that serves the given status and metrics.
func New(status StatusFunc, registry *prometheus.Registry) *Server {
	s := &Server{
		status:  status,
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
	switch path := string(ctx.Path()); path {
	case "/status":
		s.writeStatus(ctx)
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

// writeStatus writes the status as JSON.
func (s *Server) writeStatus(ctx *fasthttp.RequestCtx) {
	statusCtx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := s.status(statusCtx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.MarshalIndent(status, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
