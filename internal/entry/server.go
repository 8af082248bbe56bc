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
	tickInterval    = 100 * time.Millisecond
	hostsInterval   = time.Second
	readTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 32 << 10
	maxRequestBytes = 4 << 20
	maxConnections  = 16 << 10
	shutdownLimit   = 30 * time.Second
)

// Options are the explicit dependencies of a server.
type Options struct {
	Core  CoreSettings
	Hello *wirepb.Hello
	Log   plat.Log
	Hosts plat.Hosts
	TLS   *tls.Config
	Out   zerolog.Logger
}

// Server is a running entry.
type Server struct {
	options Options
	loop    *loop.Loop[Event, Effect]
	pool    *link.Pool
	http    *fasthttp.Server
	metrics *metrics
	index   atomic.Pointer[config.Index]
	offset  atomic.Uint64
	ready   atomic.Bool
	// stopping is set once a graceful shutdown has begun.
	stopping atomic.Bool

	// base is the context of Run, which effects' goroutines end with.
	base    context.Context
	appends sync.WaitGroup

	mu        sync.Mutex
	exchanges map[string]*exchange
	sessions  map[string]*wire.Session

	finished chan struct{}
	finish   sync.Once
	done     chan struct{}
}

// New returns a server; Run starts it.
func New(o Options) *Server {
	s := &Server{
		options:   o,
		metrics:   newMetrics(),
		exchanges: make(map[string]*exchange),
		sessions:  make(map[string]*wire.Session),
		finished:  make(chan struct{}),
		done:      make(chan struct{}),
	}
	s.loop = loop.New(NewCore(o.Core), s.perform, time.Now)
	s.pool = link.New(s.dial, link.Handler{
		OnUp:      s.up,
		OnDown:    s.down,
		OnMessage: s.received,
	})
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
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
		ErrorHandler:                 badRequest,
		Logger:                       quietLogger{out: o.Out},
	}
	return s
}

// Run serves callers from one listener and other entries from another one
// until ctx ends.
func (s *Server) Run(ctx context.Context, listener, peers net.Listener) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.base = ctx
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){s.loop.Run, s.pool.Run, s.tick, s.readHosts, s.watchCallers} {
		parts.Go(func() { part(ctx) })
	}
	parts.Go(func() { s.acceptPeers(ctx, peers) })
	for _, stream := range followed {
		parts.Go(func() { s.followStream(ctx, stream) })
	}
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	var err error
	select {
	case <-ctx.Done():
		limit, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
		defer stop()
		err = errors.Join(s.http.ShutdownWithContext(limit), <-served)
	case err = <-served:
	}
	cancel()
	parts.Wait()
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
	s.loop.Post(Stopping{})
}

// Finished is closed when a graceful shutdown has nothing left to wait for.
func (s *Server) Finished() <-chan struct{} { return s.finished }

// quietLogger takes the HTTP library's log. Its lines may quote requests, keys
// included, so only the fact is written.
type quietLogger struct{ out zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(string, ...any) {
	l.out.Debug().Msg("entry: a caller's connection has failed")
}

// badRequest answers what the HTTP library could not read.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
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

func (s *Server) up(host plat.Host, session *wire.Session) {
	s.mu.Lock()
	s.sessions[host.Name] = session
	s.mu.Unlock()
	s.loop.Post(LinkUp{
		Host:  host.Name,
		Hello: session.Peer(),
	})
}

func (s *Server) down(host plat.Host, session *wire.Session) {
	s.mu.Lock()
	if s.sessions[host.Name] == session {
		delete(s.sessions, host.Name)
	}
	s.mu.Unlock()
	s.loop.Post(LinkDown{
		Host:        host.Name,
		Incarnation: session.Peer().GetIncarnation(),
	})
}

func (s *Server) received(host plat.Host, session *wire.Session, message *wirepb.Envelope) {
	s.loop.Post(Received{
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

func (s *Server) register(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[x.call.ID] = x
}

func (s *Server) exchange(id string) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges[id]
}

// end forgets a call and records it.
func (s *Server) end(x *exchange, err error) {
	s.mu.Lock()
	delete(s.exchanges, x.call.ID)
	s.mu.Unlock()
	s.record(x, err)
}

// record writes the metrics and the log line of a call.
func (s *Server) record(x *exchange, err error) {
	now := time.Now()
	s.metrics.ended(x, err, now)
	event := s.options.Out.Info()
	verdict := fault.Ran
	if err != nil {
		verdict = fault.VerdictOf(err)
		event = event.Str("code", string(fault.CodeOf(err))).Str("cause", err.Error())
	}
	event.Str("id", x.call.ID).
		Str("customer", x.call.Customer).
		Str("service", x.call.Route.Service).
		Str("endpoint", x.host).
		Int("attempts", x.attempts).
		Stringer("verdict", verdict).
		Dur("took", now.Sub(x.started)).
		Msg("entry: call ended")
}

// perform carries out one effect.
func (s *Server) perform(effect Effect) {
	switch e := effect.(type) {
	case Send:
		s.command(e.ID, e)
	case Refuse:
		s.command(e.ID, e)
	case Deliver:
		s.command(e.ID, e)
	case Cancel:
		if x := s.exchange(e.ID); x != nil {
			x.cancel(e.Err)
		}
	case Connect:
		s.pool.SetTargets(e.Hosts)
	case Inspected:
		e.Reply <- e.Status
	case Append:
		s.append(e)
	case Tell:
		s.tell(e.Host, e.Message)
	case Install:
		s.index.Store(e.Index)
		s.offset.Store(e.Offset)
		s.metrics.configured(e.Index.Text)
		s.options.Out.Info().Uint64("offset", e.Offset).Msg("entry: configuration in force")
	case Ready:
		s.ready.Store(e.Ready)
	case Finished:
		s.finish.Do(func() { close(s.finished) })
	case Note:
		s.options.Out.Warn().Err(e.Err).Msg("entry: " + e.Text)
	}
}

// command passes a decision to the goroutine that serves a call. A call whose
// stream has begun takes no more commands.
func (s *Server) command(id string, e Effect) {
	if x := s.exchange(id); x != nil {
		select {
		case x.commands <- e:
		default:
		}
	}
}

func (s *Server) tell(host string, message *wirepb.Envelope) {
	s.mu.Lock()
	session := s.sessions[host]
	s.mu.Unlock()
	if session != nil {
		session.Send(message)
	}
}

func (s *Server) tick(ctx context.Context) {
	for ctx.Err() == nil {
		s.loop.Post(Tick{})
		sleep(ctx, tickInterval)
	}
}

func (s *Server) readHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := s.options.Hosts.List(ctx)
		if err != nil {
			s.options.Out.Warn().Err(err).Msg("entry: host list can't be read")
		} else {
			s.loop.Post(HostsRead{Hosts: hosts})
		}
		sleep(ctx, hostsInterval)
	}
}

// followed are the streams of the log that an entry reads.
var followed = []string{plat.StreamConfig, plat.StreamFleet}

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
			s.options.Out.Warn().Err(err).Str("stream", stream).Msg("entry: log can't be read")
			s.loop.Post(LogFailed{
				Stream: stream,
				Err:    err,
			})
		})
}

// append adds a record to the log without holding up the loop.
func (s *Server) append(e Append) {
	s.appends.Go(func() {
		offset, err := s.options.Log.Append(s.base, e.Stream, e.Data)
		s.loop.Post(Appended{
			Tag:    e.Tag,
			Offset: offset,
			Err:    err,
		})
	})
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
