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
	settings     *platform.Settings
	log          zerolog.Logger
	clock        *clock.Clock
	store        *platform.Store
	engines      *platform.EngineClient
	pool         *connPool
	loop         *loop.Loop[gate.Event, gate.Effect]
	metrics      *metrics
	requestLog   *requestLog
	peerSessions *peerSessions
	leaderLink   *leaderLink
	// The taps hold the followers of the store back.
	configControl   *followControl
	registryControl *followControl

	nextCallID atomic.Uint64
	ctx        context.Context

	mu             sync.Mutex
	activeRequests map[gate.CallID]*inboundRequest
	clientConns    map[*clientConn]bool
	limits         clientLimits
	gracePeriod    time.Duration
	stopping       bool
	clientListener net.Listener

	ready   atomic.Bool
	drained chan struct{}
	done    chan struct{}
}

// Bounds of the entry's own that don't come from the platform.
const (
	// configProofMargin is what a proof of the configuration ends before the bound on
	// withdrawn keys, for what is on its way.
	configProofMargin = 1700 * time.Millisecond
	// leaseOrderTime is how long a holder of the lease may order after a renewal was
	// sent.
	leaseOrderTime = 1600 * time.Millisecond
	// leaseRenewInterval is the time between renewals.
	leaseRenewInterval = 700 * time.Millisecond
	leaseMargin        = 150 * time.Millisecond
	// undelayedLeaseCores is the part of a core from which a host takes a free lease at
	// once; smaller ones wait up to takeDelay for others.
	undelayedLeaseCores = 0.3
	maxLeaseTakeDelay   = 400 * time.Millisecond
	// quotaShareLifetime is how long a standing share counts after its proof.
	quotaShareLifetime = 4 * time.Second
	// registryRecoveryTime is how long after its return the store may lack endpoints.
	registryRecoveryTime = 2300 * time.Millisecond
	// retryBudgetFraction is the part of the bounds on repeats that is used; the rest is
	// for what is counted differently.
	retryBudgetFraction = 0.7
	// retryReserveSharers is how many entries share the reserve of repeats.
	retryReserveSharers = 8
	// tickInterval is the time between two ticks.
	tickInterval = 50 * time.Millisecond
	// stopAdmissionFraction is the part of the grace in which a stopping entry takes new
	// requests; what begins later may not end in time.
	stopAdmissionFraction = 0.35
	// exitReserve is the end of the grace in which the process exits.
	exitReserve = 500 * time.Millisecond
	// finalResponseTime is the time before the process exits in which requests that are
	// still under way get their final answer.
	finalResponseTime = 300 * time.Millisecond
	// minStopTime is how long the balancer may send clients to a stopping entry.
	minStopTime = 2500 * time.Millisecond
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
)

// New returns an entry on the platform.
func New(settings *platform.Settings, log zerolog.Logger, incarnation uint64) *Server {
	s := &Server{
		settings:        settings,
		log:             log,
		clock:           clock.New(),
		store:           platform.NewStore(settings.StoreAddr),
		engines:         platform.NewEngineClient(),
		pool:            newConnPool(),
		metrics:         newMetrics(),
		requestLog:      newRequestLog(log),
		activeRequests:  make(map[gate.CallID]*inboundRequest),
		clientConns:     make(map[*clientConn]bool),
		limits:          defaultClientLimits,
		gracePeriod:     settings.GracePeriod,
		configControl:   newFollowControl(),
		registryControl: newFollowControl(),
		drained:         make(chan struct{}),
		done:            make(chan struct{}),
	}
	s.nextCallID.Store(incarnation << 32)
	random := rand.New(rand.NewPCG(incarnation, uint64(settings.PeerAddr.Port())))
	reducerSettings := gateSettings(settings)
	reducer := gate.New(reducerSettings, lease.New(settings.Host, incarnation, settings.PeerAddr, reducerSettings.Lease), random)
	s.loop = loop.New[gate.Event, gate.Effect](reducer, s.perform, s.clock.Now)
	s.peerSessions = newPeerSessions(s, incarnation)
	s.leaderLink = newLeaderLink(s, incarnation)
	return s
}

// gateSettings returns what the reducer needs to know of the settings.
func gateSettings(s *platform.Settings) gate.Settings {
	return gate.Settings{
		Host:                s.Host,
		Zone:                s.Zone,
		ConfigMaxAge:        max(s.RevokeBound-configProofMargin, time.Second),
		ShareLifetime:       quotaShareLifetime,
		RegistryGracePeriod: registryRecoveryTime,
		ShutdownAdmission:   time.Duration(float64(s.GracePeriod) * stopAdmissionFraction),
		ShutdownTimeout:     s.GracePeriod - exitReserve - finalResponseTime,
		WeightLoadWindow:    s.LoadWindow,
		LeaseAcquireDelay:   time.Duration(float64(maxLeaseTakeDelay) * max(0, 1-s.Cores/undelayedLeaseCores)),
		RetryRatio:          s.RetryRatio * retryBudgetFraction,
		RetryBurst:          s.RetrySlack * retryBudgetFraction / retryReserveSharers,
		Lease: lease.Timing{
			Duration:        s.LeaseGap + leaseOrderTime,
			QuietPeriod:     s.LeaseGap,
			RenewalInterval: leaseRenewInterval,
			Margin:          leaseMargin,
		},
	}
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Finished is closed when a stopping entry has answered all it has read.
func (s *Server) Finished() <-chan struct{} { return s.drained }

func (s *Server) post(e gate.Event) { s.loop.Post(e) }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	listeners, err := s.openListeners()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.clientListener = listeners.clients
	s.mu.Unlock()
	var group sync.WaitGroup
	tasks := []func(context.Context){
		s.loop.Run,
		s.followConfig,
		s.followEndpoints,
		s.runTicker,
		s.leaderLink.run,
		func(ctx context.Context) { s.acceptClients(ctx, listeners.clients) },
		func(ctx context.Context) { s.peerSessions.accept(ctx, listeners.peers) },
		func(ctx context.Context) { s.serveReadiness(ctx, listeners.ready) },
		func(ctx context.Context) { s.serveMetrics(ctx, listeners.metrics) },
	}
	for _, task := range tasks {
		group.Go(func() { task(ctx) })
	}
	<-ctx.Done()
	s.closeClientConns()
	group.Wait()
	s.requestLog.logDropped()
	return nil
}

// listeners are the sockets of an entry.
type listeners struct {
	clients net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

func (s *Server) openListeners() (listeners, error) {
	var l listeners
	var errs []error
	open := func(name, address string) net.Listener {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		return listener
	}
	l.clients = open("clients", s.settings.ListenAddr.String())
	l.ready = open("ready", s.settings.ReadyAddr.String())
	l.peers = open("peers", s.settings.PeerAddr.String())
	l.metrics = open("metrics", s.settings.MetricsAddr.String())
	return l, errors.Join(errs...)
}

// Reload takes new settings. Addresses and the names of the host stay as they
// were at the start; the process must be restarted to change them.
func (s *Server) Reload(settings *platform.Settings) {
	s.mu.Lock()
	s.gracePeriod = settings.GracePeriod
	s.mu.Unlock()
	s.post(gate.SettingsReloaded{Settings: gateSettings(settings)})
}

// Stop begins a graceful shutdown.
func (s *Server) Stop() {
	s.mu.Lock()
	alreadyStopping := s.stopping
	s.stopping = true
	s.mu.Unlock()
	if alreadyStopping {
		return
	}
	s.ready.Store(false)
	s.log.Info().Msg("entry: stopping")
	s.post(gate.ShutdownRequested{})
	s.capActiveRequests()
	go s.awaitDrain()
}

// capActiveRequests ends attempts under way before the process does, so that clients
// get an answer instead of a closed connection.
func (s *Server) capActiveRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline := time.Now().Add(s.gracePeriod - exitReserve - finalResponseTime)
	for _, in := range s.activeRequests {
		in.capAttemptDeadline(deadline)
	}
}

// awaitDrain waits until a stopping entry has nothing left to answer.
func (s *Server) awaitDrain() {
	defer close(s.drained)
	stoppedAt := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		elapsed := time.Since(stoppedAt)
		s.mu.Lock()
		grace := s.gracePeriod
		s.mu.Unlock()
		if elapsed > grace-exitReserve {
			return
		}
		if elapsed <= max(minStopTime, time.Duration(float64(grace)*stopAdmissionFraction)) {
			continue
		}
		if s.closeIdleClients() == 0 {
			return
		}
	}
}

// runTicker posts ticks and does what is due in the shell.
func (s *Server) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.post(gate.Tick{})
		if time.Since(lastSweep) >= sweepInterval {
			lastSweep = time.Now()
			s.pool.sweep(s.clock.Now())
			s.refreshStatus(ctx)
		}
	}
}

// refreshStatus takes the reducer's status into readiness and metrics.
func (s *Server) refreshStatus(ctx context.Context) {
	status, err := loop.Ask(ctx, s.loop, func(reply chan<- gate.Status) gate.Event {
		return gate.StatusRequested{Reply: reply}
	})
	if err != nil {
		return // the loop has ended
	}
	s.ready.Store(status.Ready)
	s.metrics.setStatus(status)
}
