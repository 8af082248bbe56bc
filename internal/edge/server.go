// Package edge implements the I/O of an entry that calls endpoints directly: it
// speaks HTTP with clients and endpoints, follows the platform's store, maintains
// sessions between entries, and carries out the effects that the reducer of
// package gate returns.
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

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/clock"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/loop"
	"dogwoodfold/platform"
)

// Server runs an entry. The caller of New must call Run.
type Server struct {
	settings   *platform.Settings
	log        zerolog.Logger
	clock      *clock.Clock
	store      *platform.Store
	engines    *platform.EngineClient
	pool       *connPool
	loop       *loop.Loop[gate.Event, gate.Effect]
	metrics    *metrics
	requestLog *requestLog
	// memory is what client requests may hold.
	memory       *budget.Budget
	peerSessions *peerSessions
	leaderLink   *leaderLink
	// configWatch and registryWatch suspend this entry's reads of the store while
	// it relies on the leader's.
	configWatch   *watchControl
	registryWatch *watchControl

	nextCallID atomic.Uint64
	ctx        context.Context

	mu             sync.Mutex
	activeRequests map[gate.CallID]*inboundRequest
	clientConns    map[*clientConn]bool
	// maxClientConns bounds clientConns, 0 if there is no bound.
	maxClientConns int
	closable       closableConns
	limits         clientLimits
	gracePeriod    time.Duration
	settingsStatus SettingsStatus
	stopping       bool
	clientListener net.Listener

	// crashesRead is closed once this entry knows what others had told the store of crashes,
	// or has given up reading it.
	crashesRead chan struct{}

	ready   atomic.Bool
	drained chan struct{}
	done    chan struct{}
}

// Timing and sizing constants that are not set by the platform.
const (
	// configMaxAgeMargin is subtracted from the bound on key revocation to get the
	// age up to which a read of the configuration counts as current. It leaves
	// time for requests that are in transit.
	configMaxAgeMargin = 1700 * time.Millisecond
	// leaseDuration is how long the lease holder leads after it has sent a renewal. It is
	// about the time for which keys may be admitted without the store.
	leaseDuration = 3400 * time.Millisecond
	// leaseOrderTime is how long the lease holder may send orders after it has
	// sent a renewal.
	leaseOrderTime = 1600 * time.Millisecond
	// leaseRenewalInterval is the time between lease renewals.
	leaseRenewalInterval = 700 * time.Millisecond
	// leaseMargin is how long other entries wait beyond the duration of a lease
	// before they acquire it.
	leaseMargin = 150 * time.Millisecond
	// undelayedLeaseCores is the CPU allowance, in cores, from which a host
	// acquires a free lease at once. Hosts with less wait for up to
	// maxLeaseAcquireDelay to leave the lease to larger ones.
	undelayedLeaseCores  = 0.3
	maxLeaseAcquireDelay = 400 * time.Millisecond
	// standingShareLifetime is how long this entry's standing share of the
	// customers' rates remains valid after the read that confirmed it.
	standingShareLifetime = 4 * time.Second
	// registryGracePeriod is how long the registry may lack records of live
	// endpoints after the store has become available again.
	registryGracePeriod = 2300 * time.Millisecond
	// retryBudgetFraction is the fraction of the platform's retry limits that is
	// used; the rest allows for differences in how retries are counted.
	retryBudgetFraction = 0.7
	// tickInterval is the time between Tick events.
	tickInterval = 50 * time.Millisecond
	// shutdownAdmissionFraction is the fraction of the grace period during which a
	// stopping entry admits new requests; later ones might not end in time.
	shutdownAdmissionFraction = 0.35
	// exitReserve is the time at the end of the grace period that is reserved for
	// the exit of the process.
	exitReserve = 500 * time.Millisecond
	// finalResponseTime is the time before exitReserve in which requests that are
	// still active get their final response.
	finalResponseTime = 300 * time.Millisecond
	// minShutdownTime is how long the load balancer may still send clients to a
	// stopping entry.
	minShutdownTime = 2500 * time.Millisecond
	// sweepInterval is the time between sweeps of idle endpoint connections, and
	// between updates of readiness and metrics.
	sweepInterval = time.Second
)

// New returns an entry with the given settings. incarnation distinguishes this run
// of the process from others on the same host.
func New(settings *platform.Settings, log zerolog.Logger, incarnation uint64) *Server {
	limits := budget.Derive(settings.MemoryBytes, settings.MaxFiles)
	s := &Server{
		settings:       settings,
		log:            log,
		clock:          clock.New(),
		store:          platform.NewStore(settings.StoreAddr),
		engines:        platform.NewEngineClient(),
		pool:           newConnPool(),
		metrics:        newMetrics(),
		requestLog:     newRequestLog(log),
		memory:         budget.New(limits.Requests),
		maxClientConns: limits.Connections,
		activeRequests: make(map[gate.CallID]*inboundRequest),
		clientConns:    make(map[*clientConn]bool),
		limits:         defaultClientLimits,
		gracePeriod:    settings.GracePeriod,
		settingsStatus: newSettingsStatus(time.Now(), settings),
		configWatch:    newWatchControl(),
		registryWatch:  newWatchControl(),
		crashesRead:    make(chan struct{}),
		drained:        make(chan struct{}),
		done:           make(chan struct{}),
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

// gateSettings derives the settings of the reducer from those of the platform.
func gateSettings(s *platform.Settings) gate.Settings {
	return gate.Settings{
		Host:                s.Host,
		Zone:                s.Zone,
		Regions:             s.Regions,
		ConfigMaxAge:        max(s.RevokeBound-configMaxAgeMargin, time.Second),
		ConfigBound:         s.ConfigBound,
		ShareLifetime:       standingShareLifetime,
		RegistryGracePeriod: registryGracePeriod,
		ShutdownAdmission:   time.Duration(float64(s.GracePeriod) * shutdownAdmissionFraction),
		ShutdownTimeout:     s.GracePeriod - exitReserve - finalResponseTime,
		WeightLoadWindow:    s.LoadWindow,
		LeaseAcquireDelay:   time.Duration(float64(maxLeaseAcquireDelay) * max(0, 1-s.Cores/undelayedLeaseCores)),
		RetryRatio:          s.RetryRatio * retryBudgetFraction,
		RetryBurst:          s.RetrySlack * retryBudgetFraction,
		EvacuationBound:     s.EvacuationBound,
		Lease: lease.Timing{
			Duration:        leaseDuration,
			OrderTime:       leaseOrderTime,
			QuietPeriod:     s.LeaseGap,
			RenewalInterval: leaseRenewalInterval,
			Margin:          leaseMargin,
		},
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Finished returns a channel that is closed when a stopping entry has responded to
// all requests it has read, or the time for that has run out.
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
		s.readCrashes,
		s.watchConfig,
		s.watchEndpoints,
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
	s.store.Close()
	group.Wait()
	s.requestLog.logDropped()
	return nil
}

// listeners holds the listening sockets of an entry.
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

// Reload applies new settings. The addresses, and the host name and zone that are
// sent in handshakes, keep their initial values; changing them requires a restart
// of the process.
func (s *Server) Reload(settings *platform.Settings) {
	s.mu.Lock()
	s.gracePeriod = settings.GracePeriod
	s.settingsStatus = newSettingsStatus(time.Now(), settings)
	s.mu.Unlock()
	s.post(gate.SettingsReloaded{Settings: gateSettings(settings)})
}

// GracePeriod returns the time from a signal to stop until the process is killed.
func (s *Server) GracePeriod() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gracePeriod
}

// Stop begins a graceful shutdown. Further calls have no effect.
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

// capActiveRequests limits the deadlines of active attempts to the time before the
// process exits, so that clients get a response instead of a closed connection.
func (s *Server) capActiveRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline := time.Now().Add(s.gracePeriod - exitReserve - finalResponseTime)
	for _, in := range s.activeRequests {
		in.capAttemptDeadline(deadline)
	}
}

// awaitDrain closes drained when the grace period is about to end or no request is
// active any more. Before it closes idle client connections and counts the active
// ones, it waits for as long as the entry may still get and admit new requests.
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
		gracePeriod := s.GracePeriod()
		if elapsed > gracePeriod-exitReserve {
			return
		}
		if elapsed <= max(minShutdownTime, time.Duration(float64(gracePeriod)*shutdownAdmissionFraction)) {
			continue
		}
		if s.closeIdleClients() == 0 {
			return
		}
	}
}

// runTicker posts Tick events, sweeps the connection pool and refreshes the
// status.
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

// refreshStatus updates readiness and metrics from the reducer's status.
func (s *Server) refreshStatus(ctx context.Context) {
	status, err := loop.Ask(ctx, s.loop, func(reply chan<- gate.Status) gate.Event {
		return gate.StatusRequested{Reply: reply}
	})
	if err != nil {
		return // the loop has ended
	}
	s.ready.Store(status.Ready)
	s.metrics.setStatus(status)
	s.mu.Lock()
	conns := len(s.clientConns)
	s.mu.Unlock()
	s.metrics.setMemory(s.memory.Status(), conns)
}
