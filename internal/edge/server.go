// Package edge is the shell of an entry that calls endpoints directly: it speaks
// HTTP with clients and endpoints, follows the platform's store, keeps sessions
// between entries, and carries out what the reducer of package gate decides.
package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dogwoodfold/internal/clock"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/loop"
	"dogwoodfold/platform"
)

// Server is an entry. Its owner must call Run.
type Server struct {
	settings *platform.Settings
	log      zerolog.Logger
	clock    *clock.Clock
	store    *platform.Store
	engines  *platform.EngineClient
	pool     *pool
	loop     *loop.Loop[gate.Event, gate.Effect]
	metrics  *metrics
	requests *requestLog
	sessions *sessions
	link     *linker
	// The taps hold the followers of the store back.
	configTap   *tap
	registryTap *tap

	nextCall atomic.Uint64
	ctx      context.Context

	mu       sync.Mutex
	calls    map[gate.CallID]*inbound
	conns    map[*clientConn]bool
	config   limits
	grace    time.Duration
	stopping bool
	clients  net.Listener

	ready    atomic.Bool
	finished chan struct{}
	done     chan struct{}
}

// Bounds of the entry's own that don't come from the platform.
const (
	// proofMargin is what a proof of the configuration ends before the bound on
	// withdrawn keys, for what is on its way.
	proofMargin = 1700 * time.Millisecond
	// leaseSlack is how long a holder of the lease may order after a renewal was
	// sent.
	leaseSlack = 1600 * time.Millisecond
	// leaseRenewal is the time between renewals.
	leaseRenewal = 700 * time.Millisecond
	leaseMargin  = 150 * time.Millisecond
	// leaderCores is the part of a core from which a host takes a free lease at
	// once; smaller ones wait up to takeDelay for others.
	leaderCores = 0.3
	takeDelay   = 400 * time.Millisecond
	// shareLifetime is how long a standing share counts after its proof.
	shareLifetime = 4 * time.Second
	// registryLag is how long after its return the store may lack endpoints.
	registryLag = 2300 * time.Millisecond
	// retryShare is the part of the bounds on repeats that is used; the rest is
	// for what is counted differently.
	retryShare = 0.7
	// retryHolders is how many entries share the reserve of repeats.
	retryHolders = 8
	// tickPause is the time between two ticks.
	tickPause = 50 * time.Millisecond
	// stopAdmission is the part of the grace in which a stopping entry takes new
	// requests; what begins later may not end in time.
	stopAdmission = 0.35
	// stopReserve is the end of the grace in which the process exits.
	stopReserve = 500 * time.Millisecond
	// stopAnswer is the time before the process exits in which requests that are
	// still under way get their final answer.
	stopAnswer = 300 * time.Millisecond
	// leastStop is how long the balancer may send clients to a stopping entry.
	leastStop = 2500 * time.Millisecond
	// sweepPause is the time between two looks at idle connections.
	sweepPause = time.Second
)

// New returns an entry on the platform.
func New(settings *platform.Settings, log zerolog.Logger, incarnation uint64) *Server {
	s := &Server{
		settings:    settings,
		log:         log,
		clock:       clock.New(),
		store:       platform.NewStore(settings.StoreAddr),
		engines:     platform.NewEngineClient(),
		pool:        newPool(),
		metrics:     newMetrics(),
		requests:    newRequestLog(log),
		calls:       make(map[gate.CallID]*inbound),
		conns:       make(map[*clientConn]bool),
		config:      defaultLimits,
		grace:       settings.GracePeriod,
		configTap:   newTap(),
		registryTap: newTap(),
		finished:    make(chan struct{}),
		done:        make(chan struct{}),
	}
	s.nextCall.Store(incarnation << 32)
	random := rand.New(rand.NewPCG(incarnation, uint64(settings.PeerAddr.Port())))
	own := coreSettings(settings)
	core := gate.New(own, lease.New(settings.Host, incarnation, settings.PeerAddr, own.Lease), random)
	s.loop = loop.New[gate.Event, gate.Effect](core, s.perform, s.clock.Now)
	s.sessions = newSessions(s, incarnation)
	s.link = newLinker(s, incarnation)
	return s
}

// coreSettings returns what the reducer needs to know of the settings.
func coreSettings(s *platform.Settings) gate.Settings {
	return gate.Settings{
		Host:                s.Host,
		Zone:                s.Zone,
		ConfigMaxAge:        max(s.RevokeBound-proofMargin, time.Second),
		ShareLifetime:       shareLifetime,
		RegistryGracePeriod: registryLag,
		ShutdownAdmission:   time.Duration(float64(s.GracePeriod) * stopAdmission),
		ShutdownTimeout:     s.GracePeriod - stopReserve - stopAnswer,
		WeightLoadWindow:    s.LoadWindow,
		LeaseAcquireDelay:   time.Duration(float64(takeDelay) * max(0, 1-s.Cores/leaderCores)),
		RetryRatio:          s.RetryRatio * retryShare,
		RetryBurst:          s.RetrySlack * retryShare / retryHolders,
		Lease: lease.Timing{
			Duration:        s.LeaseGap + leaseSlack,
			QuietPeriod:     s.LeaseGap,
			RenewalInterval: leaseRenewal,
			Margin:          leaseMargin,
		},
	}
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Finished is closed when a stopping entry has answered all it has read.
func (s *Server) Finished() <-chan struct{} { return s.finished }

func (s *Server) post(e gate.Event) { s.loop.Post(e) }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.clients = listeners.clients
	s.mu.Unlock()
	var group sync.WaitGroup
	parts := []func(context.Context){
		s.loop.Run,
		s.followConfig,
		s.followEndpoints,
		s.keepTime,
		s.link.run,
		func(ctx context.Context) { s.accept(ctx, listeners.clients) },
		func(ctx context.Context) { s.sessions.accept(ctx, listeners.peers) },
		func(ctx context.Context) { s.serveReady(ctx, listeners.ready) },
		func(ctx context.Context) { s.serveMetrics(ctx, listeners.metrics) },
	}
	for _, part := range parts {
		group.Go(func() { part(ctx) })
	}
	<-ctx.Done()
	s.closeConns()
	group.Wait()
	s.requests.flush()
	return nil
}

// listeners are the sockets of an entry.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

func (s *Server) listen() (listeners, error) {
	var l listeners
	var failed []error
	open := func(name, address string) net.Listener {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", name, err))
		}
		return listener
	}
	l.clients = open("clients", s.settings.ListenAddr.String())
	l.ready = open("ready", s.settings.ReadyAddr.String())
	l.peers = open("peers", s.settings.PeerAddr.String())
	l.metrics = open("metrics", s.settings.MetricsAddr.String())
	return l, errors.Join(failed...)
}

// Reload takes new settings. Addresses and the names of the host stay as they
// were at the start; the process must be restarted to change them.
func (s *Server) Reload(settings *platform.Settings) {
	s.mu.Lock()
	s.grace = settings.GracePeriod
	s.mu.Unlock()
	s.post(gate.SettingsReloaded{Settings: coreSettings(settings)})
}

// Stop begins a graceful shutdown.
func (s *Server) Stop() {
	s.mu.Lock()
	already := s.stopping
	s.stopping = true
	s.mu.Unlock()
	if already {
		return
	}
	s.ready.Store(false)
	s.log.Info().Msg("entry: stopping")
	s.post(gate.ShutdownRequested{})
	s.boundCalls()
	go s.finish()
}

// boundCalls ends attempts under way before the process does, so that clients
// get an answer instead of a closed connection.
func (s *Server) boundCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(s.grace - stopReserve - stopAnswer)
	for _, in := range s.calls {
		in.bound(until)
	}
}

// finish waits until a stopping entry has nothing left to answer.
func (s *Server) finish() {
	defer close(s.finished)
	begun := time.Now()
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		passed := time.Since(begun)
		s.mu.Lock()
		grace := s.grace
		s.mu.Unlock()
		if passed > grace-stopReserve {
			return
		}
		if passed <= max(leastStop, time.Duration(float64(grace)*stopAdmission)) {
			continue
		}
		if s.closeIdle() == 0 {
			return
		}
	}
}

// keepTime posts ticks and does what is due in the shell.
func (s *Server) keepTime(ctx context.Context) {
	ticker := time.NewTicker(tickPause)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.post(gate.Tick{})
		if time.Since(swept) >= sweepPause {
			swept = time.Now()
			s.pool.sweep(s.clock.Now())
			s.observe(ctx)
		}
	}
}

// observe takes the reducer's status into readiness and metrics.
func (s *Server) observe(ctx context.Context) {
	status, err := loop.Ask(ctx, s.loop, func(reply chan<- gate.Status) gate.Event {
		return gate.StatusRequested{Reply: reply}
	})
	if err != nil {
		return // the loop has ended
	}
	s.ready.Store(status.Ready)
	s.metrics.status(status)
}
