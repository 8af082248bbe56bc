// Package agent implements the proxy that runs beside each endpoint and is the
// only path to it. It queues, starts and refuses calls and reports its load to
// the entries.
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

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	tickInterval       = 100 * time.Millisecond
	reportPollInterval = 250 * time.Millisecond
	pollTimeout        = 2 * time.Second
)

// Options holds the settings and dependencies of a Server.
type Options struct {
	Core CoreSettings
	// Hello describes the agent to the entries. Its incarnation must be that of
	// Core.
	Hello    *wirepb.Hello
	Endpoint netip.AddrPort
	// Engine is nil for a plain service.
	Engine plat.Engine
	// Cache is nil if the endpoint publishes no cache events.
	Cache  plat.CacheEventSource
	Log    plat.Log
	Hosts  plat.Hosts
	TLS    *tls.Config
	Logger zerolog.Logger
	// Memory is the number of bytes that the process may use, 0 if there is no limit.
	Memory int64
}

// Server runs an agent.
type Server struct {
	options  Options
	loop     *loop.Loop[Event, Effect]
	endpoint *endpointClient
	metrics  *metrics
	memory   *budget.Budget
	lastKey  atomic.Uint64

	// runCtx is the context of Run. It ends the goroutines that effects start.
	runCtx     context.Context
	background sync.WaitGroup

	mu           sync.Mutex
	pendingCalls map[uint64]*pendingCall
	sessions     map[uint64]*wire.Session

	finished   chan struct{}
	finishOnce sync.Once
	done       chan struct{}
}

// pendingCall receives the reducer's decision on a call.
type pendingCall struct {
	decision chan callDecision
}

// callDecision is the reducer's decision on a call.
type callDecision struct {
	start  bool
	err    error
	holder dedup.Process
	// replay is the response to another attempt, nil if there is none.
	replay *dedup.Outcome
}

// New returns a server. Run starts it.
func New(options Options) *Server {
	s := &Server{
		options:      options,
		endpoint:     newEndpointClient(options.Endpoint.String()),
		metrics:      newMetrics(),
		memory:       budget.New(budget.Derive(options.Memory, 0).Requests),
		pendingCalls: make(map[uint64]*pendingCall),
		sessions:     make(map[uint64]*wire.Session),
		finished:     make(chan struct{}),
		done:         make(chan struct{}),
	}
	admin.RegisterMemory(s.metrics.registry, s.memory)
	s.loop = loop.New(NewCore(options.Core), s.perform, time.Now)
	return s
}

// Run serves sessions from a listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.runCtx = ctx
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){
		s.loop.Run, s.runTicker, s.pollReport, s.pollCacheEvents, s.pollHosts, s.followClaims, s.followFleet,
	} {
		tasks.Go(func() { task(ctx) })
	}
	err := s.acceptSessions(ctx, listener, &tasks)
	cancel()
	tasks.Wait()
	s.background.Wait()
	return err
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop begins a graceful shutdown. The channel that Finished returns is closed
// at its end.
func (s *Server) Stop() { s.loop.Post(ShutdownRequested{}) }

// Finished returns a channel that is closed when a graceful shutdown has
// nothing left to wait for.
func (s *Server) Finished() <-chan struct{} { return s.finished }

func (s *Server) acceptSessions(ctx context.Context, listener net.Listener, tasks *sync.WaitGroup) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		tasks.Go(func() { s.serveSession(ctx, conn) })
	}
}

// serveSession runs the session of one entry.
func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, s.options.Hello, s.options.TLS)
	if err != nil {
		s.options.Logger.Warn().Err(err).Msg("agent: session handshake with an entry failed")
		return
	}
	key := s.lastKey.Add(1)
	s.mu.Lock()
	s.sessions[key] = session
	s.mu.Unlock()
	s.loop.Post(SessionOpened{
		Session: key,
		Hello:   session.Peer(),
	})
	callsDone := make(chan struct{})
	go func() {
		defer close(callsDone)
		s.serveCalls(ctx, session)
	}()
	_ = session.Run(ctx, func(envelope *wirepb.Envelope) {
		s.loop.Post(MessageReceived{
			Session: key,
			Message: envelope,
		})
	})
	<-callsDone
	s.mu.Lock()
	delete(s.sessions, key)
	s.mu.Unlock()
	s.loop.Post(SessionClosed{Session: key})
}

// serveCalls accepts calls until the session ends and waits for all of them.
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

// serveCall serves one call from its request to its last frame.
func (s *Server) serveCall(call *wire.Call) {
	defer func() { _ = call.Close() }()
	memory := s.memory.Reserve(netip.Addr{}, budget.Body, time.Now(), nil)
	defer memory.Release()
	size, err := call.RequestSize()
	if err != nil || s.reserve(memory, size) != nil {
		return
	}
	request, err := call.ReceiveRequest()
	if err != nil {
		return
	}
	key := s.lastKey.Add(1)
	pending := &pendingCall{decision: make(chan callDecision, 1)}
	s.mu.Lock()
	s.pendingCalls[key] = pending
	s.mu.Unlock()
	callClosed := make(chan struct{})
	go func() {
		defer close(callClosed)
		call.WaitClosed()
	}()
	s.loop.Post(CallArrived{Call: Call{
		Key:     key,
		Request: request,
	}})
	s.awaitDecision(key, pending, callClosed, call, request)
	s.mu.Lock()
	delete(s.pendingCalls, key)
	s.mu.Unlock()
}

const (
	// requestCopies is how often a request is held at once: encoded, decoded, and in the
	// buffers of the connection to the endpoint.
	requestCopies = 3
	// reserveInterval is the time between attempts to reserve memory, reserveTimeout the
	// longest wait for it. Meanwhile flow control holds the request back at the entry.
	reserveInterval = 20 * time.Millisecond
	reserveTimeout  = 30 * time.Second
)

// reserve reserves memory for a request that is about to be read. Requests come from
// entries, which bound what uncontrolled clients send, so it waits for those that run.
func (s *Server) reserve(memory *budget.Reservation, size int) error {
	if size <= budget.FreeBytes {
		return nil
	}
	for deadline := time.Now().Add(reserveTimeout); ; {
		now := time.Now()
		err := memory.Grow(now, size*requestCopies)
		if err == nil || now.After(deadline) {
			return err
		}
		select {
		case <-s.runCtx.Done():
			return err
		case <-time.After(reserveInterval):
		}
	}
}

// awaitDecision waits for the reducer's decision and carries it out.
func (s *Server) awaitDecision(key uint64, pending *pendingCall, callClosed <-chan struct{},
	call *wire.Call, request *wirepb.CallRequest,
) {
	select {
	case decision := <-pending.decision:
		s.executeDecision(key, decision, callClosed, call, request)
	case <-callClosed:
		s.cancelPending(key, pending)
	case <-s.loop.Done():
	}
}

// cancelPending cancels a call that the entry closed before a decision arrived.
// The reducer decides each call exactly once, so if it has started the call
// meanwhile, cancelPending reports the end of the call as not run.
func (s *Server) cancelPending(key uint64, pending *pendingCall) {
	s.loop.Post(CallCanceled{Key: key})
	select {
	case decision := <-pending.decision:
		if decision.start {
			s.loop.Post(CallEnded{
				Key:     key,
				Outcome: dedup.Outcome{Err: errCanceledBeforeStart},
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
		s.deliverDecision(e.Key, callDecision{start: true})
	case Refuse:
		s.metrics.refused.Inc()
		s.deliverDecision(e.Key, callDecision{
			err:    e.Err,
			holder: e.Holder,
		})
	case Replay:
		s.deliverDecision(e.Key, callDecision{replay: &e.Outcome})
	case ScheduleTick:
		time.AfterFunc(e.After, func() { s.loop.Post(Tick{}) })
	case SendMessage:
		s.sendMessage(e.Session, e.Message)
	case Broadcast:
		s.broadcast(e.Message)
	case ReplyStatus:
		e.Reply <- e.Status
	case AppendRecord:
		s.append(e)
	case SendOrder:
		s.sendOrder(e.Order)
	case ShutdownFinished:
		s.finishOnce.Do(func() { close(s.finished) })
	case LogWarning:
		s.options.Logger.Warn().Err(e.Err).Msg("agent: " + e.Message)
	}
}

func (s *Server) deliverDecision(key uint64, decision callDecision) {
	s.mu.Lock()
	pending, ok := s.pendingCalls[key]
	s.mu.Unlock()
	if ok {
		pending.decision <- decision
	}
}

func (s *Server) sendMessage(key uint64, message *wirepb.Envelope) {
	s.mu.Lock()
	session, ok := s.sessions[key]
	s.mu.Unlock()
	if ok {
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

func (s *Server) runTicker(ctx context.Context) {
	runEvery(ctx, tickInterval, func() { s.loop.Post(Tick{}) })
}

// pollReport polls the engine for its report.
func (s *Server) pollReport(ctx context.Context) {
	if s.options.Engine == nil {
		return
	}
	runEvery(ctx, reportPollInterval, func() {
		requestedAt := time.Now()
		requestCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		report, err := s.options.Engine.Report(requestCtx)
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("agent: reading the engine report failed")
			return
		}
		s.loop.Post(ReportRead{
			Report:      report,
			RequestedAt: requestedAt,
		})
	})
}

// runEvery calls fn at once and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
