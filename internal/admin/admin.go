// Package admin serves operators' read-only requests on a listener of its own.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"
)

const (
	readTimeout   = 10 * time.Second
	statusTimeout = 2 * time.Second
	maxBodyBytes  = 4 << 10
)

// Status returns a value that is shown as JSON. It must end with ctx.
type Status func(ctx context.Context) (any, error)

// Server answers GET requests for status, metrics, health and profiles. It
// changes nothing: operators act by the published text only.
type Server struct {
	status  Status
	metrics fasthttp.RequestHandler
	http    *fasthttp.Server
	done    chan struct{}
}

// New returns a server over a status and a registry of metrics.
func New(status Status, registry *prometheus.Registry) *Server {
	s := &Server{
		status:  status,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
		done:    make(chan struct{}),
	}
	s.http = &fasthttp.Server{
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

// Run serves a listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	defer close(s.done)
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return errors.Join(listener.Close(), <-served)
	}
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/status":
		s.writeStatus(ctx)
	case "/metrics":
		s.metrics(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	default:
		if len(path) > len(profiles) && path[:len(profiles)] == profiles {
			pprofhandler.PprofHandler(ctx)
			return
		}
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// profiles is the path below which profiles are served.
const profiles = "/debug/pprof/"

func (s *Server) writeStatus(ctx *fasthttp.RequestCtx) {
	limit, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	value, err := s.status(limit)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
