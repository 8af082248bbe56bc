package gate

import (
	"math/rand/v2"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/topo"
)

// Settings are an entry's own names and the bounds that it must keep.
type Settings struct {
	Host string
	Zone string
	// ConfigMaxAge is how long a read of the configuration lets requests with a
	// key pass, counted from when the read was sent.
	ConfigMaxAge time.Duration
	// ShareLifetime is how long a standing share counts after its proof.
	ShareLifetime time.Duration
	// RegistryGracePeriod is how long after its return the store may lack endpoints.
	RegistryGracePeriod time.Duration
	// ShutdownAdmission is how long a stopping entry takes new requests.
	ShutdownAdmission time.Duration
	// ShutdownTimeout is when a stopping entry must have answered all requests.
	ShutdownTimeout time.Duration
	// WeightLoadWindow is the window of the weight store's ceiling.
	WeightLoadWindow time.Duration
	// RetryRatio is how many repeats a request allows, RetryReserve how many
	// more this entry may send at once.
	RetryRatio float64
	RetryBurst float64
	// LeaseAcquireDelay is for how long this entry leaves a free lease to others.
	LeaseAcquireDelay time.Duration
	Lease             lease.Timing
}

// Core is the reducer. It is used by one goroutine at a time.
type Core struct {
	settings Settings
	random   *rand.Rand

	config              *topo.Config
	configConfirmedAt   time.Time
	registryConfirmedAt time.Time
	// registryDown is true from a failed read to the next good one;
	// registryBack is when the store came back.
	registryDown       bool
	registryRestoredAt time.Time

	endpoints map[string]*endpoint
	// lastRevision counts the changes of endpoints.
	lastRevision uint64
	// missingUntil are endpoints whose records went while the store was away.
	missingUntil map[string]time.Time
	paces        map[string]*pick.PrefillRate
	calls        map[CallID]*activeCall
	parked       map[CallID]*activeCall
	assignments  assignmentClient
	retryBudgets map[string]*retryBudget
	quotas       map[string]*customerQuota

	lease          *lease.Lease
	readingLease   bool
	nextLeaseRead  time.Time
	appendingLease bool
	// leaseFreeSince is when the lease became free for this entry to take, zero if it
	// isn't.
	leaseFreeSince time.Time

	// leaderLink is the session to the leader, dialed the run of the leader's process
	// that it goes to; peers are the entries with a session to this one.
	leaderLink        leaderLink
	dialedIncarnation uint64
	follower          follower
	storeRelay        storeRelay
	peers             map[string]*peer
	leader            *leader

	stopping  bool
	stoppedAt time.Time
	released  bool
	effects   []Effect
}

// New returns the core of an entry that knows nothing yet.
func New(s Settings, l *lease.Lease, random *rand.Rand) *Core {
	return &Core{
		settings:     s,
		random:       random,
		endpoints:    make(map[string]*endpoint),
		missingUntil: make(map[string]time.Time),
		paces:        make(map[string]*pick.PrefillRate),
		calls:        make(map[CallID]*activeCall),
		parked:       make(map[CallID]*activeCall),
		assignments:  newAssignmentClient(),
		retryBudgets: make(map[string]*retryBudget),
		quotas:       make(map[string]*customerQuota),
		lease:        l,
		follower:     newFollower(),
		peers:        make(map[string]*peer),
		storeRelay:   storeRelay{watching: true},
	}
}

// Apply takes an event and returns what is to be done, in order.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case RequestArrived:
		c.admit(now, e.Call, e.Request)
	case FirstByteReceived:
		c.handleFirstByte(now, e.Call)
	case AttemptEnded:
		c.handleAttemptEnded(now, e.Call, e.Result)
	case ClientDisconnected:
		c.handleClientDisconnected(now, e.Call)
	case Tick:
		c.tick(now)
	case SettingsReloaded:
		e.Settings.Lease = c.settings.Lease
		c.settings = e.Settings
	case ShutdownRequested:
		c.stop(now)
	case StatusRequested:
		e.Reply <- c.status(now)
	default:
		c.applyFleetEvent(now, event)
	}
	return c.effects
}

// applyFleetEvent takes the events that concern the fleet, not one request.
func (c *Core) applyFleetEvent(now time.Time, event Event) {
	switch e := event.(type) {
	case ConfigRead:
		c.handleConfigRead(now, e)
	case EndpointsRead:
		c.handleEndpointsRead(now, e)
	case ConfigFetchEnded:
		c.storeRelay.fetchingConfig = false
	case RegistryReadFailed:
		c.registryDown = true
	case LeaseRead:
		c.handleLeaseRead(now, e)
	case LeaseAppendEnded:
		c.handleLeaseAppendEnded(now, e)
	case LeaderConnected:
		c.handleLeaderConnected(now, e.Host)
	case LeaderDisconnected:
		c.handleLeaderDisconnected(e.Host)
	case StateReceived:
		c.handleStateReceived(now, e)
	case PeerConnected:
		c.handlePeerConnected(now, e.Host)
	case PeerDisconnected:
		c.handlePeerDisconnected(now, e.Host)
	case ReportReceived:
		c.handleReportReceived(now, e)
	case AssignmentRequested:
		c.handleAssignmentRequested(now, e)
	case AssignmentReceived:
		c.handleAssignmentReceived(now, e)
	case OrderAnswered:
		c.handleOrderAnswered(now, e)
	case EngineReported:
		c.handleEngineReported(now, e)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// logChange logs a change of what the entry believes.
func (c *Core) logChange(message, subject, detail string, age time.Duration) {
	c.emit(LogChange{
		Message: message,
		Subject: subject,
		Detail:  detail,
		Age:     age,
	})
}

// tick does what is due.
func (c *Core) tick(now time.Time) {
	c.maintainLease(now)
	c.expireMissingEndpoints(now)
	c.expireQuotas(now)
	c.updateLeader(now)
	c.resumeAssignments(now)
	c.retryParked(now)
	c.reportIfDue(now)
	c.updateStoreWatch(now)
}

// stop begins a graceful shutdown: the entry is not ready from now on, answers
// what it has read and hands the lease on.
func (c *Core) stop(now time.Time) {
	c.stopping = true
	c.stoppedAt = now
	if c.lease.Holds(now) && !c.appendingLease {
		c.appendLease(now, true)
	}
}

// ready reports whether new clients are better served here than elsewhere.
func (c *Core) ready(now time.Time) bool {
	return !c.stopping && c.config != nil && !c.registryConfirmedAt.IsZero() && c.configFresh(now)
}

// configFresh reports whether requests with a key may pass.
func (c *Core) configFresh(now time.Time) bool {
	return now.Before(c.configConfirmedAt.Add(c.settings.ConfigMaxAge))
}

func (c *Core) status(now time.Time) Status {
	s := Status{
		Ready:       c.ready(now),
		ConfigAge:   now.Sub(c.configConfirmedAt),
		RegistryAge: now.Sub(c.registryConfirmedAt),
		Endpoints:   len(c.endpoints),
		Waiting:     len(c.parked),
		Running:     len(c.calls),
		IsLeader:    c.lease.Holds(now),
		Leader:      c.leaderLink.host,
		Stopping:    c.stopping,
	}
	if c.config != nil {
		s.ConfigVersion = c.config.Version
	}
	return s
}
