// Package agent runs in the slot beside an endpoint and is the sole path to it:
// it queues, starts and refuses calls and tells the entries of the load.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	tickInterval  = 100 * time.Millisecond
	pollInterval  = 250 * time.Millisecond
	reportTimeout = 2 * time.Second
)

// Options are the explicit dependencies of a server.
type Options struct {
	Core CoreSettings
	// Hello is what the agent says of itself; its incarnation is the core's.
	Hello    *wirepb.Hello
	Endpoint netip.AddrPort
	// Engine is nil for a plain service.
	Engine plat.Engine
	// Cache is nil if the endpoint publishes no cache events.
	Cache plat.Cache
	Log   plat.Log
	Hosts plat.Hosts
	TLS   *tls.Config
	Out   zerolog.Logger
}

// Server is a running agent.
type Server struct {
	options  Options
	loop     *loop.Loop[Event, Effect]
	upstream *upstream
	metrics  *metrics
	keys     atomic.Uint64

	// base is the context of Run, which effects' goroutines end with.
	base    context.Context
	appends sync.WaitGroup

	mu       sync.Mutex
	calls    map[uint64]*served
	sessions map[uint64]*wire.Session

	finished chan struct{}
	finish   sync.Once
	done     chan struct{}
}

// served is a call and where its decision is sent to.
type served struct {
	decision chan decision
}

// decision is what the reducer wants done with a call.
type decision struct {
	start  bool
	err    error
	holder dedup.Process
	// replay is the answer to another attempt, nil if there is none.
	replay *dedup.Outcome
}

// New returns a server; Run starts it.
func New(o Options) *Server {
	s := &Server{
		options:  o,
		upstream: newUpstream(o.Endpoint.String()),
		metrics:  newMetrics(),
		calls:    make(map[uint64]*served),
		sessions: make(map[uint64]*wire.Session),
		finished: make(chan struct{}),
		done:     make(chan struct{}),
	}
	s.loop = loop.New(NewCore(o.Core), s.perform, time.Now)
	return s
}

// Run serves sessions from a listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.base = ctx
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){
		s.loop.Run, s.tick, s.poll, s.readCache, s.readHosts, s.readClaims, s.readFleet,
	} {
		parts.Go(func() { part(ctx) })
	}
	err := s.accept(ctx, listener, &parts)
	cancel()
	parts.Wait()
	s.appends.Wait()
	return err
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop begins a graceful shutdown; Finished is closed when no call is left.
func (s *Server) Stop() { s.loop.Post(Stopping{}) }

// Finished is closed when a graceful shutdown has nothing left to wait for.
func (s *Server) Finished() <-chan struct{} { return s.finished }

func (s *Server) accept(ctx context.Context, listener net.Listener, parts *sync.WaitGroup) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		parts.Go(func() { s.serve(ctx, conn) })
	}
}

// serve runs the session of one entry.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, s.options.Hello, s.options.TLS)
	if err != nil {
		s.options.Out.Warn().Err(err).Msg("agent: session refused")
		return
	}
	key := s.keys.Add(1)
	s.mu.Lock()
	s.sessions[key] = session
	s.mu.Unlock()
	s.loop.Post(Linked{
		Session: key,
		Hello:   session.Peer(),
	})
	calls := make(chan struct{})
	go func() {
		defer close(calls)
		s.serveCalls(ctx, session)
	}()
	_ = session.Run(ctx, func(e *wirepb.Envelope) {
		s.loop.Post(Received{
			Session: key,
			Message: e,
		})
	})
	<-calls
	s.mu.Lock()
	delete(s.sessions, key)
	s.mu.Unlock()
	s.loop.Post(Unlinked{Session: key})
}

// serveCalls takes calls until the session ends and all of them are over.
func (s *Server) serveCalls(ctx context.Context, session *wire.Session) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		call, err := session.AcceptCall(ctx)
		if err != nil {
			return
		}
		calls.Go(func() { s.serveCall(call) })
	}
}

// serveCall takes one call from its request to its last frame.
func (s *Server) serveCall(call *wire.Call) {
	defer func() { _ = call.Close() }()
	request, err := call.ReceiveRequest()
	if err != nil {
		return
	}
	key := s.keys.Add(1)
	waiter := &served{decision: make(chan decision, 1)}
	s.mu.Lock()
	s.calls[key] = waiter
	s.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		call.WaitClosed()
	}()
	s.loop.Post(Arrived{Call: Call{
		Key:     key,
		Request: request,
	}})
	s.await(key, waiter, closed, call, request)
	s.mu.Lock()
	delete(s.calls, key)
	s.mu.Unlock()
}

// await waits for the reducer's decision and carries it out.
func (s *Server) await(key uint64, waiter *served, closed <-chan struct{}, call *wire.Call, r *wirepb.CallRequest) {
	select {
	case d := <-waiter.decision:
		s.carryOut(key, d, closed, call, r)
	case <-closed:
		s.abandon(key, waiter)
	case <-s.loop.Done():
	}
}

// abandon gives up a call; the reducer decides each call exactly once, so a
// start that crossed with the closing is taken back.
func (s *Server) abandon(key uint64, waiter *served) {
	s.loop.Post(Abandoned{Key: key})
	select {
	case d := <-waiter.decision:
		if d.start {
			s.loop.Post(Ended{
				Key:     key,
				Outcome: dedup.Outcome{Err: errAbandoned},
			})
		}
	case <-s.loop.Done():
	}
}

// perform carries out one effect.
func (s *Server) perform(effect Effect) {
	switch e := effect.(type) {
	case Start:
		s.metrics.started.Inc()
		s.decide(e.Key, decision{start: true})
	case Refuse:
		s.metrics.refused.Inc()
		s.decide(e.Key, decision{
			err:    e.Err,
			holder: e.Holder,
		})
	case Replay:
		s.decide(e.Key, decision{replay: &e.Outcome})
	case Wake:
		time.AfterFunc(e.After, func() { s.loop.Post(Tick{}) })
	case Tell:
		s.send(e.Session, e.Message)
	case Broadcast:
		s.broadcast(e.Message)
	case Inspected:
		e.Reply <- e.Status
	case Append:
		s.append(e)
	case Order:
		s.order(e.Order)
	case Finished:
		s.finish.Do(func() { close(s.finished) })
	}
}

func (s *Server) decide(key uint64, d decision) {
	s.mu.Lock()
	waiter, known := s.calls[key]
	s.mu.Unlock()
	if known {
		waiter.decision <- d
	}
}

func (s *Server) send(key uint64, message *wirepb.Envelope) {
	s.mu.Lock()
	session, known := s.sessions[key]
	s.mu.Unlock()
	if known {
		session.Send(message)
	}
}

func (s *Server) broadcast(message *wirepb.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.Send(message)
	}
}

func (s *Server) tick(ctx context.Context) {
	every(ctx, tickInterval, func() { s.loop.Post(Tick{}) })
}

// poll asks the engine for its report.
func (s *Server) poll(ctx context.Context) {
	if s.options.Engine == nil {
		return
	}
	every(ctx, pollInterval, func() {
		asked := time.Now()
		timeout, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		report, err := s.options.Engine.Report(timeout)
		if err != nil {
			s.options.Out.Warn().Err(err).Msg("agent: engine gives no report")
			return
		}
		s.loop.Post(Reported{
			Report:  report,
			TookOff: asked,
		})
	})
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
