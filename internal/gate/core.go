package gate

import (
	"math/rand/v2"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/since"
	"dogwoodfold/internal/topo"
)

// Settings are the identity of an entry and the time and rate limits that it
// must keep.
type Settings struct {
	Host string
	Zone string
	// Regions holds the region of each zone.
	Regions map[string]string
	// ConfigMaxAge is how long requests with a key are admitted after the
	// configuration was last confirmed, counted from when the read was sent.
	ConfigMaxAge time.Duration
	// ConfigBound is the time within which a new configuration must be in force.
	ConfigBound time.Duration
	// ShareLifetime is how long a standing share is valid after it was last
	// confirmed.
	ShareLifetime time.Duration
	// RegistryGracePeriod is how long after an outage the registry may lack
	// endpoints that are still running.
	RegistryGracePeriod time.Duration
	// ShutdownAdmission is how long a stopping entry admits new requests.
	ShutdownAdmission time.Duration
	// ShutdownTimeout is the time after the start of a shutdown by which all
	// requests must be answered.
	ShutdownTimeout time.Duration
	// WeightLoadWindow is the window over which the weight store limits loads.
	WeightLoadWindow time.Duration
	// RetryRatio is the number of retries that each request earns, RetryBurst the
	// number of retries that all entries together may save up and send at once.
	RetryRatio float64
	RetryBurst float64
	// EvacuationBound is the time after the store's acknowledgement from which an evacuated
	// zone must get no requests.
	EvacuationBound time.Duration
	// LeaseAcquireDelay is how long this entry leaves a free lease to other
	// entries.
	LeaseAcquireDelay time.Duration
	Lease             lease.Timing
}

// Core is the reducer of an entry, together with the state that it updates. It
// is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand

	config *topo.Config
	// configAppliedAt is when the configuration was put into force here.
	configAppliedAt   time.Time
	configConfirmedAt time.Time
	// storeFailingSince is when the first read of it failed that was sent after the last proof.
	storeFailingSince time.Time
	ticks             tickWatch
	// configEra is the newest era of the store in which the configuration was read,
	// configEraSince when the first such read arrived.
	configEra      int64
	configEraSince time.Time
	// relayedVersion is the newest version of the configuration that the leader
	// has named.
	relayedVersion int64
	// relayedVersionAt is when the leader first named it.
	relayedVersionAt    time.Time
	registryConfirmedAt time.Time
	// previousRegistryAt is registryConfirmedAt of before the newest read.
	previousRegistryAt time.Time
	// registryRequestedAt is when a read of the registry was last requested,
	// missedChangesAt when the last one was sent before which endpoints may have come and
	// gone unseen.
	registryRequestedAt time.Time
	missedChangesAt     time.Time
	// registryDown is true from a failed read to the next successful one;
	// registryRestoredAt is when the last outage ended.
	registryDown       bool
	registryRestoredAt time.Time

	endpoints map[string]*endpoint
	// coldEndpoints are those that have a limit since they are cold.
	coldEndpoints map[string]*endpoint
	// endpointList holds the same endpoints in order, plainEndpoints those of them that
	// are no engines according to plainConfig. Both are nil if they must be determined
	// anew.
	endpointList   []*endpoint
	plainEndpoints []*endpoint
	plainConfig    *topo.Config
	// serviceVersions holds the software versions of registered endpoints by service, nil
	// if they must be determined anew.
	serviceVersions map[string]map[string]bool
	// endpointChanges are the changes to endpoints, including removals, that must be
	// sent to other entries.
	endpointChanges *since.Log[string]
	// limitRevision counts changes to limits of endpoints.
	limitRevision uint64
	// earlyLimits are limits of endpoints that this entry doesn't know yet.
	earlyLimits map[string]earlyLimit
	// missingUntil holds endpoints whose records disappeared during a registry
	// outage, and when each of them is removed.
	missingUntil map[string]time.Time
	// departed holds the last records of endpoints that were removed, and when.
	departed map[string]departedEndpoint
	// leaving holds endpoints that have said in an answer that they leave.
	leaving      map[string]leavingEndpoint
	prefillRates map[string]*pick.PrefillRate
	decodeTimes  map[string]*pick.DecodeTime
	calls        map[CallID]*activeCall
	parked       map[CallID]*activeCall
	assignments  assignmentClient
	evacuation   evacuation
	streams      streamTable
	crashes      crashWatch
	crashRecords crashRecords
	// departedVersions holds, by service, the software versions of endpoints that
	// were removed, and when the last of each was.
	departedVersions map[string]map[string]time.Time
	retryBudgets     map[string]*retryBudget
	quotas           map[string]*customerQuota

	lease        *lease.Lease
	readingLease bool
	// leaseReadAt is when the last successful read of the lease was sent.
	leaseReadAt    time.Time
	nextLeaseRead  time.Time
	appendingLease bool
	lastRecord     lastRecord
	// leaseFreeSince is when the lease became free to acquire, zero if it is
	// not free.
	leaseFreeSince time.Time

	// leaderLink is the session to the leader, and dialedIncarnation the
	// incarnation of the leader process that was dialed. peers are the
	// entries that have opened a session to this one or were members of the
	// previous term.
	leaderLink        leaderLink
	dialedIncarnation uint64
	crashRelays       crashRelays
	follower          follower
	storeRelay        storeRelay
	peers             map[string]*peer
	leader            *leader

	stopping  bool
	stoppedAt time.Time
	released  bool
	effects   []Effect
}

// New returns the core of an entry that has not read any state yet.
func New(settings Settings, leaseState *lease.Lease, random *rand.Rand) *Core {
	return &Core{
		settings:         settings,
		random:           random,
		endpoints:        make(map[string]*endpoint),
		coldEndpoints:    make(map[string]*endpoint),
		endpointChanges:  since.New[string](),
		missingUntil:     make(map[string]time.Time),
		leaving:          make(map[string]leavingEndpoint),
		departed:         make(map[string]departedEndpoint),
		earlyLimits:      make(map[string]earlyLimit),
		prefillRates:     make(map[string]*pick.PrefillRate),
		decodeTimes:      make(map[string]*pick.DecodeTime),
		calls:            make(map[CallID]*activeCall),
		parked:           make(map[CallID]*activeCall),
		assignments:      newAssignmentClient(),
		evacuation:       evacuation{zones: make(map[string]*evacuatedZone)},
		streams:          newStreamTable(),
		crashes:          newCrashWatch(),
		departedVersions: make(map[string]map[string]time.Time),
		retryBudgets:     make(map[string]*retryBudget),
		quotas:           make(map[string]*customerQuota),
		lease:            leaseState,
		follower:         newFollower(),
		peers:            make(map[string]*peer),
		crashRelays:      crashRelays{revision: 1},
		storeRelay:       storeRelay{watching: true},
	}
}

// Apply handles an event and returns the resulting effects in order.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case RequestArrived:
		c.admit(now, e.Call, e.Request)
	case FirstByteReceived:
		c.handleFirstByte(now, e)
	case AnswerContinues:
		c.handleAnswerContinues(now, e.Call)
	case EngineProbed:
		c.handleEngineProbed(now, e)
	case EndpointLeaving:
		c.handleEndpointLeaving(now, e)
	case LimitNamed:
		c.handleLimitNamed(now, e)
	case AttemptEnded:
		c.handleAttemptEnded(now, e.Call, e.Result)
	case ClientDisconnected:
		c.handleClientDisconnected(now, e.Call)
	case Tick:
		c.ticks.record(now)
		c.tick(now)
	case SettingsReloaded:
		c.settings = e.Settings
		c.lease.SetQuietPeriod(e.Settings.Lease.QuietPeriod)
	case ShutdownRequested:
		c.stop(now)
	case StatusRequested:
		e.Reply <- c.status(now)
	case BeliefsRequested:
		e.Reply <- c.beliefs(now)
	case ExplainRequested:
		e.Reply <- c.explain(now, e.Query)
	default:
		c.applyFleetEvent(now, event)
	}
	return c.effects
}

// applyFleetEvent handles events that concern the fleet rather than one
// request.
func (c *Core) applyFleetEvent(now time.Time, event Event) {
	switch e := event.(type) {
	case ConfigRead:
		c.handleConfigRead(now, e)
	case EndpointsRead:
		c.handleEndpointsRead(now, e)
	case ConfigReadFailed:
		c.handleConfigReadFailed(now, e)
	case ConfigFetchEnded:
		c.storeRelay.fetchingConfig = false
	case RegistryReadFailed:
		c.registryDown = true
		c.retryParked(now)
	case LeaseRead:
		c.handleLeaseRead(now, e)
	case LeaseAppendEnded:
		c.handleLeaseAppendEnded(now, e)
	case LeaderConnected:
		c.handleLeaderConnected(now, e.Host)
	case LeaderDisconnected:
		c.handleLeaderDisconnected(now, e.Host)
	case StateReceived:
		c.handleStateReceived(now, e)
	case PoisonReceived:
		c.handlePoisonReceived(now, e)
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
	case CrashesRead:
		c.handleCrashesRead(now, e)
	case CrashesRecorded:
		c.handleCrashesRecorded(now, e)
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// logChange logs a change in the entry's state. age is the age of the
// information that the change is based on.
func (c *Core) logChange(message, subject, detail string, age time.Duration) {
	c.emit(LogChange{
		Message: message,
		Subject: subject,
		Detail:  detail,
		Age:     age,
	})
}

// tick runs all periodic work.
func (c *Core) tick(now time.Time) {
	c.maintainLease(now)
	c.followCrashRelay(now)
	c.expireMissingEndpoints(now)
	c.expireZones(now)
	c.endColdLimits(now)
	c.expireQuotas(now)
	c.updateLeader(now)
	c.resumeAssignments(now)
	c.retryParked(now)
	c.reportIfDue(now)
	c.returnOwnSurplus(now)
	c.updateStoreWatch(now)
	c.joinProvedEnds(now)
	c.settleOldAnswers(now)
	c.resolveWithheld(now)
	c.crashes.prune(now)
	c.crashes.log.Assess(now)
	c.relayPoison(now)
	c.recordNewCrashes(now)
	c.logQuarantines(now)
}

// stop begins a graceful shutdown: the entry reports not ready from now on,
// answers the requests that it has read and releases the lease.
func (c *Core) stop(now time.Time) {
	c.stopping = true
	c.stoppedAt = now
	if c.lease.Holds(now) && !c.appendingLease {
		c.appendLease(now, true)
	}
}

// ready reports whether the entry should receive new clients.
func (c *Core) ready(now time.Time) bool {
	return !c.stopping && c.config != nil && !c.registryConfirmedAt.IsZero() && c.configInForce(now) && c.configFresh(now)
}

func (c *Core) status(now time.Time) Status {
	status := Status{
		Ready:     c.ready(now),
		ConfigAge: now.Sub(c.configConfirmedAt),

		ConfigVersion: c.configVersion(),
		NewestVersion: max(c.configVersion(), c.relayedVersion),

		RegistryAge: now.Sub(c.registryConfirmedAt),
		Endpoints:   len(c.endpoints),
		Evacuated:   len(c.evacuation.zones),
		Cold:        len(c.coldEndpoints),
		Waiting:     len(c.parked),
		Running:     len(c.calls),
		IsLeader:    c.lease.Holds(now),
		Leader:      c.leaderLink.leader(),
		Stopping:    c.stopping,
	}
	return status
}
