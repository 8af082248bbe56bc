// Package entry implements the entry process, which runs on small hosts behind
// the platform's load balancer. It authenticates callers, limits their rates,
// routes and retries their calls to the agents, and returns the responses.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/clock"
	"dogwoodfold/internal/link"
	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const (
	tickInterval     = 100 * time.Millisecond
	hostListInterval = time.Second
	readTimeout      = 30 * time.Second
	idleTimeout      = 2 * time.Minute
	maxHeaderBytes   = 32 << 10
	maxRequestBytes  = 4 << 20
	maxConnections   = 16 << 10
	shutdownTimeout  = 30 * time.Second
)

// Options are the settings and dependencies of a Server.
type Options struct {
	Core   CoreSettings
	Hello  *wirepb.Hello
	Log    plat.Log
	Hosts  plat.Hosts
	TLS    *tls.Config
	Logger zerolog.Logger
	// Memory is the number of bytes that the process may use, 0 if there is no limit.
	Memory int64
}

// Server is an entry process.
type Server struct {
	options      Options
	loop         *loop.Loop[Event, Effect]
	pool         *link.Pool
	linkLog      zerolog.Logger
	http         *fasthttp.Server
	metrics      *metrics
	memory       *budget.Budget
	index        atomic.Pointer[config.Index]
	configOffset atomic.Uint64
	ready        atomic.Bool
	// stopping is set once a graceful shutdown has begun.
	stopping atomic.Bool

	// runCtx is the context of Run. Goroutines started by effects end with it.
	runCtx  context.Context
	appends sync.WaitGroup

	mu        sync.Mutex
	exchanges map[string]*exchange
	sessions  map[string]*wire.Session

	finished   chan struct{}
	finishOnce sync.Once
	done       chan struct{}
}

// New returns a Server. Run starts it.
func New(options Options) *Server {
	server := &Server{
		options:   options,
		metrics:   newMetrics(),
		memory:    budget.New(budget.Derive(options.Memory, 0).Requests),
		exchanges: make(map[string]*exchange),
		sessions:  make(map[string]*wire.Session),
		finished:  make(chan struct{}),
		done:      make(chan struct{}),
		linkLog: options.Logger.Sample(&zerolog.BurstSampler{
			Burst:  maxLinkErrorLines,
			Period: time.Second,
		}),
	}
	server.loop = loop.New(NewCore(options.Core), server.perform, time.Now)
	server.pool = link.New(server.dial, link.Handler{
		OnUp:      server.sessionUp,
		OnDown:    server.sessionDown,
		OnMessage: server.receiveMessage,
		OnError:   server.logLinkError,
	})
	admin.RegisterMemory(server.metrics.registry, server.memory)
	server.http = &fasthttp.Server{
		Handler:                      server.handleRequest,
		Name:                         "dogwoodfold",
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxRequestBytes,
		StreamRequestBody:            true, // readBody reads it
		HeaderReceived:               expectDeclaredLength,
		ExpectHandler:                checkDeclaredLength,
		Concurrency:                  maxConnections,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		SecureErrorLogMessage:        true,
		ErrorHandler:                 writeParseError,
		Logger:                       quietLogger{logger: options.Logger},
	}
	return server
}

// Run serves callers on one listener and other entries on another one until ctx
// ends.
func (s *Server) Run(ctx context.Context, listener, peers net.Listener) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.runCtx = ctx
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){s.loop.Run, s.pool.Run, s.runTicker, s.readHosts, s.cancelDisconnected} {
		tasks.Go(func() { task(ctx) })
	}
	tasks.Go(func() { s.acceptPeers(ctx, peers) })
	for _, stream := range followedStreams {
		tasks.Go(func() { s.followStream(ctx, stream) })
	}
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(callerListener{listener}) }()
	var err error
	select {
	case <-ctx.Done():
		shutdownCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer stop()
		err = errors.Join(s.http.ShutdownWithContext(shutdownCtx), closeListener(listener), <-served)
	case err = <-served:
	}
	cancel()
	tasks.Wait()
	s.appends.Wait()
	return err
}

// closeListener closes a listener, unless it is closed already. A shutdown of the HTTP
// server closes it only if the server has begun to serve.
func closeListener(listener net.Listener) error {
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Registry returns the metrics registry of the entry.
func (s *Server) Registry() *prometheus.Registry { return s.metrics.registry }

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop starts a graceful shutdown. The channel of Finished is closed when no
// call is left.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.loop.Post(ShutdownRequested{})
}

// Finished returns a channel that is closed when a graceful shutdown is
// complete.
func (s *Server) Finished() <-chan struct{} { return s.finished }

// quietLogger receives the log of the HTTP library. The library's messages may
// quote requests, including API keys, so their text is not logged.
type quietLogger struct{ logger zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(string, ...any) {
	l.logger.Debug().Msg("entry: caller connection failed")
}

// writeParseError responds to a request that the HTTP library could not parse.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	// The library's error may quote the request, including an API key.
	code, message := fault.CodeBadRequest, "the request can't be read"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code, message = fault.CodeTooLarge, "the body is too large"
	}
	writeError(ctx, fault.New(fault.NotRun, code, message))
}

// perform carries out one effect.
func (s *Server) perform(effect Effect) {
	switch e := effect.(type) {
	case SendAttempt:
		s.sendEffect(e.ID, e)
	case FailCall:
		s.sendEffect(e.ID, e)
	case DeliverOutcome:
		s.sendEffect(e.ID, e)
	case CancelAttempt:
		if ex := s.findExchange(e.ID); ex != nil {
			ex.cancel(e.Err)
		}
	case SetSessionHosts:
		s.pool.SetTargets(e.Hosts)
	case ReplyStatus:
		e.Reply <- e.Status
	case AppendRecord:
		s.append(e)
	case SendMessage:
		s.sendMessage(e.Host, e.Message)
	case InstallConfig:
		s.index.Store(e.Index)
		s.configOffset.Store(e.Offset)
		s.metrics.setObjectives(e.Index.Config)
		s.options.Logger.Info().Uint64("offset", e.Offset).Msg("entry: configuration installed")
	case SetReady:
		s.ready.Store(e.Ready)
	case ShutdownFinished:
		s.finishOnce.Do(func() { close(s.finished) })
	case LogWarning:
		s.options.Logger.Warn().Err(e.Err).Msg("entry: " + e.Message)
	}
}

func (s *Server) runTicker(ctx context.Context) {
	for ctx.Err() == nil {
		s.loop.Post(Tick{})
		clock.Sleep(ctx, tickInterval)
	}
}

func (s *Server) readHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := s.options.Hosts.List(ctx)
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("entry: reading the host list failed")
		} else {
			s.loop.Post(HostsRead{Hosts: hosts})
		}
		clock.Sleep(ctx, hostListInterval)
	}
}

// followedStreams are the streams of the log that an entry reads.
var followedStreams = []string{plat.StreamConfig, plat.StreamFleet}

// followStream reads a stream of the log until ctx ends.
func (s *Server) followStream(ctx context.Context, stream string) {
	plat.Follow(ctx, s.options.Log, stream, 1,
		func(page plat.Page) {
			s.loop.Post(LogRead{
				Stream: stream,
				Page:   page,
			})
		},
		func(err error) {
			s.options.Logger.Warn().Err(err).Str("stream", stream).Msg("entry: reading a log stream failed")
			s.loop.Post(LogReadFailed{
				Stream: stream,
				Err:    err,
			})
		})
}

// append appends a record to the log without blocking the loop.
func (s *Server) append(record AppendRecord) {
	s.appends.Go(func() {
		offset, err := s.options.Log.Append(s.runCtx, record.Stream, record.Data)
		s.loop.Post(AppendEnded{
			Tag:    record.Tag,
			Offset: offset,
			Err:    err,
		})
	})
}
