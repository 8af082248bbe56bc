// Package entry runs on the thin hosts behind the platform's balancer: it
// authenticates, limits, routes, retries and answers callers' requests.
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

// Options are the explicit dependencies of a server.
type Options struct {
	Core   CoreSettings
	Hello  *wirepb.Hello
	Log    plat.Log
	Hosts  plat.Hosts
	TLS    *tls.Config
	Logger zerolog.Logger
}

// Server is a running entry.
type Server struct {
	options      Options
	loop         *loop.Loop[Event, Effect]
	pool         *link.Pool
	http         *fasthttp.Server
	metrics      *metrics
	index        atomic.Pointer[config.Index]
	configOffset atomic.Uint64
	ready        atomic.Bool
	// stopping is set once a graceful shutdown has begun.
	stopping atomic.Bool

	// runCtx is the context of Run, which effects' goroutines end with.
	runCtx  context.Context
	appends sync.WaitGroup

	mu        sync.Mutex
	exchanges map[string]*exchange
	sessions  map[string]*wire.Session

	finished   chan struct{}
	finishOnce sync.Once
	done       chan struct{}
}

// New returns a server; Run starts it.
func New(options Options) *Server {
	server := &Server{
		options:   options,
		metrics:   newMetrics(),
		exchanges: make(map[string]*exchange),
		sessions:  make(map[string]*wire.Session),
		finished:  make(chan struct{}),
		done:      make(chan struct{}),
	}
	server.loop = loop.New(NewCore(options.Core), server.perform, time.Now)
	server.pool = link.New(server.dial, link.Handler{
		OnUp:      server.sessionUp,
		OnDown:    server.sessionDown,
		OnMessage: server.receiveMessage,
	})
	server.http = &fasthttp.Server{
		Handler:                      server.handleRequest,
		Name:                         "dogwoodfold",
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxRequestBytes,
		Concurrency:                  maxConnections,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		SecureErrorLogMessage:        true,
		ErrorHandler:                 writeUnreadable,
		Logger:                       quietLogger{logger: options.Logger},
	}
	return server
}

// Run serves callers from one listener and other entries from another one
// until ctx ends.
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
	go func() { served <- s.http.Serve(listener) }()
	var err error
	select {
	case <-ctx.Done():
		shutdownCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer stop()
		err = errors.Join(s.http.ShutdownWithContext(shutdownCtx), <-served)
	case err = <-served:
	}
	cancel()
	tasks.Wait()
	s.appends.Wait()
	return err
}

// Registry returns the entry's metrics.
func (s *Server) Registry() *prometheus.Registry { return s.metrics.registry }

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop begins a graceful shutdown; Finished is closed when no call is left.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.loop.Post(ShutdownRequested{})
}

// Finished is closed when a graceful shutdown has nothing left to wait for.
func (s *Server) Finished() <-chan struct{} { return s.finished }

// quietLogger takes the HTTP library's log. Its lines may quote requests, keys
// included, so only the fact is written.
type quietLogger struct{ logger zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(string, ...any) {
	l.logger.Debug().Msg("entry: a caller's connection has failed")
}

// writeUnreadable answers what the HTTP library could not read.
func writeUnreadable(ctx *fasthttp.RequestCtx, err error) {
	// The library's error may quote the request, a key included.
	code, message := fault.CodeBadRequest, "the request can't be read"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code, message = fault.CodeTooLarge, "the body is too large"
	}
	writeError(ctx, fault.New(fault.NotRun, code, message))
}

func (s *Server) dial(ctx context.Context, host plat.Host) (*wire.Session, error) {
	return wire.Dial(ctx, host.Address, s.options.Hello, s.options.TLS)
}

func (s *Server) sessionUp(host plat.Host, session *wire.Session) {
	s.mu.Lock()
	s.sessions[host.Name] = session
	s.mu.Unlock()
	s.loop.Post(SessionOpened{
		Host:  host.Name,
		Hello: session.Peer(),
	})
}

func (s *Server) sessionDown(host plat.Host, session *wire.Session) {
	s.mu.Lock()
	if s.sessions[host.Name] == session {
		delete(s.sessions, host.Name)
	}
	s.mu.Unlock()
	s.loop.Post(SessionClosed{
		Host:        host.Name,
		Incarnation: session.Peer().GetIncarnation(),
	})
}

func (s *Server) receiveMessage(host plat.Host, session *wire.Session, message *wirepb.Envelope) {
	s.loop.Post(MessageReceived{
		Host:        host.Name,
		Incarnation: session.Peer().GetIncarnation(),
		Message:     message,
	})
}

// session returns the session to an incarnation of a host, nil if it is gone.
func (s *Server) session(host string, incarnation uint64) *wire.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.sessions[host]
	if !ok || session.Peer().GetIncarnation() != incarnation {
		return nil
	}
	return session
}

func (s *Server) register(ex *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[ex.call.ID] = ex
}

func (s *Server) findExchange(id string) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges[id]
}

// endExchange forgets a call and records it.
func (s *Server) endExchange(ex *exchange, err error) {
	s.mu.Lock()
	delete(s.exchanges, ex.call.ID)
	s.mu.Unlock()
	s.recordEnd(ex, err)
}

// recordEnd writes the metrics and the log line of a call.
func (s *Server) recordEnd(ex *exchange, err error) {
	now := time.Now()
	s.metrics.recordRequest(ex, err, now)
	event := s.options.Logger.Info()
	verdict := fault.Ran
	if err != nil {
		verdict = fault.VerdictOf(err)
		event = event.Str("code", string(fault.CodeOf(err))).Str("cause", err.Error())
	}
	event.Str("id", ex.call.ID).
		Str("customer", ex.call.Customer).
		Str("service", ex.call.Route.Service).
		Str("endpoint", ex.host).
		Int("attempts", ex.attempts).
		Stringer("verdict", verdict).
		Dur("took", now.Sub(ex.started)).
		Msg("entry: call ended")
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
		s.options.Logger.Info().Uint64("offset", e.Offset).Msg("entry: configuration in force")
	case SetReady:
		s.ready.Store(e.Ready)
	case ShutdownFinished:
		s.finishOnce.Do(func() { close(s.finished) })
	case LogWarning:
		s.options.Logger.Warn().Err(e.Err).Msg("entry: " + e.Message)
	}
}

// sendEffect passes a decision to the goroutine that serves a call. A call whose
// stream has begun takes no more commands.
func (s *Server) sendEffect(id string, effect Effect) {
	if ex := s.findExchange(id); ex != nil {
		select {
		case ex.effects <- effect:
		default:
		}
	}
}

func (s *Server) sendMessage(host string, message *wirepb.Envelope) {
	s.mu.Lock()
	session := s.sessions[host]
	s.mu.Unlock()
	if session != nil {
		session.Send(message)
	}
}

func (s *Server) runTicker(ctx context.Context) {
	for ctx.Err() == nil {
		s.loop.Post(Tick{})
		sleepContext(ctx, tickInterval)
	}
}

func (s *Server) readHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := s.options.Hosts.List(ctx)
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("entry: host list can't be read")
		} else {
			s.loop.Post(HostsRead{Hosts: hosts})
		}
		sleepContext(ctx, hostListInterval)
	}
}

// followedStreams are the streams of the log that an entry reads.
var followedStreams = []string{plat.StreamConfig, plat.StreamFleet}

// followStream reads a stream of the log.
func (s *Server) followStream(ctx context.Context, stream string) {
	plat.Follow(ctx, s.options.Log, stream, 1,
		func(page plat.Page) {
			s.loop.Post(LogRead{
				Stream: stream,
				Page:   page,
			})
		},
		func(err error) {
			s.options.Logger.Warn().Err(err).Str("stream", stream).Msg("entry: log can't be read")
			s.loop.Post(LogReadFailed{
				Stream: stream,
				Err:    err,
			})
		})
}

// append adds a record to the log without holding up the loop.
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

// sleepContext waits for a time or the end of ctx.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
