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
	// ProofLifetime is how long a read of the configuration lets requests with a
	// key pass, counted from when the read was sent.
	ProofLifetime time.Duration
	// ShareLifetime is how long a standing share counts after its proof.
	ShareLifetime time.Duration
	// RegistryLag is how long after its return the store may lack endpoints.
	RegistryLag time.Duration
	// StopAdmission is how long a stopping entry takes new requests.
	StopAdmission time.Duration
	// StopLimit is when a stopping entry must have answered all requests.
	StopLimit time.Duration
	// LoadWindow is the window of the weight store's ceiling.
	LoadWindow time.Duration
	// RetryRatio is how many repeats a request allows, RetryReserve how many
	// more this entry may send at once.
	RetryRatio   float64
	RetryReserve float64
	// TakeDelay is for how long this entry leaves a free lease to others.
	TakeDelay time.Duration
	Lease     lease.Timing
}

// Core is the reducer. It is used by one goroutine at a time.
type Core struct {
	settings Settings
	random   *rand.Rand

	config        *topo.Config
	configProof   time.Time
	registryProof time.Time
	// registryDown is true from a failed read to the next good one;
	// registryBack is when the store came back.
	registryDown bool
	registryBack time.Time

	endpoints map[string]*endpoint
	// revisions counts the changes of endpoints.
	revisions uint64
	// missing are endpoints whose records went while the store was away.
	missing     map[string]time.Time
	paces       map[string]*pick.PrefillRate
	calls       map[CallID]*call
	parked      map[CallID]*call
	assignments assignments
	retries     map[string]*retryBudget
	wallets     map[string]*wallet

	lease     *lease.Lease
	reading   bool
	nextRead  time.Time
	appending bool
	// dueAt is when the lease became free for this entry to take, zero if it
	// isn't.
	dueAt time.Time

	// link is the session to the leader, dialed the run of the leader's process
	// that it goes to; peers are the entries with a session to this one.
	link   link
	dialed uint64
	member member
	relay  relay
	peers  map[string]*peer
	leader *leader

	stopping  bool
	stoppedAt time.Time
	released  bool
	effects   []Effect
}

// New returns the core of an entry that knows nothing yet.
func New(s Settings, l *lease.Lease, random *rand.Rand) *Core {
	return &Core{
		settings:    s,
		random:      random,
		endpoints:   make(map[string]*endpoint),
		missing:     make(map[string]time.Time),
		paces:       make(map[string]*pick.PrefillRate),
		calls:       make(map[CallID]*call),
		parked:      make(map[CallID]*call),
		assignments: newAssignments(),
		retries:     make(map[string]*retryBudget),
		wallets:     make(map[string]*wallet),
		lease:       l,
		member:      newMember(),
		peers:       make(map[string]*peer),
		relay:       relay{following: true},
	}
}

// Apply takes an event and returns what is to be done, in order.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	c.effects = nil
	switch e := event.(type) {
	case Arrived:
		c.arrive(now, e.Call, e.Request)
	case FirstByte:
		c.firstByte(now, e.Call)
	case Ended:
		c.ended(now, e.Call, e.Result)
	case Left:
		c.left(now, e.Call)
	case Tick:
		c.tick(now)
	case Reloaded:
		e.Settings.Lease = c.settings.Lease
		c.settings = e.Settings
	case Stop:
		c.stop(now)
	case StatusAsked:
		e.Reply <- c.status(now)
	default:
		c.applyFleet(now, event)
	}
	return c.effects
}

// applyFleet takes the events that concern the fleet, not one request.
func (c *Core) applyFleet(now time.Time, event Event) {
	switch e := event.(type) {
	case ConfigRead:
		c.configRead(now, e)
	case EndpointsRead:
		c.endpointsRead(now, e)
	case ConfigFetched:
		c.relay.fetching = false
	case StoreFailed:
		c.registryDown = true
	case LeaseRead:
		c.leaseRead(now, e)
	case LeaseAppended:
		c.leaseAppended(now, e)
	case LinkUp:
		c.linkUp(now, e.Host)
	case LinkDown:
		c.linkDown(e.Host)
	case StateReceived:
		c.stateReceived(now, e)
	case PeerUp:
		c.peerUp(now, e.Host)
	case PeerDown:
		c.peerDown(now, e.Host)
	case ReportReceived:
		c.reportReceived(now, e)
	case AssignmentAsked:
		c.assignmentAsked(now, e)
	case AssignmentReceived:
		c.assignmentReceived(now, e)
	case OrderEnded:
		c.orderEnded(now, e)
	case EngineReported:
		c.engineReported(now, e)
	}
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

// note logs a change of what the entry believes.
func (c *Core) note(text, subject, detail string, age time.Duration) {
	c.do(Note{
		Text:    text,
		Subject: subject,
		Detail:  detail,
		Age:     age,
	})
}

// tick does what is due.
func (c *Core) tick(now time.Time) {
	c.tendLease(now)
	c.tendRegistry(now)
	c.tendWallets(now)
	c.tendLeader(now)
	c.tendAssignments(now)
	c.tendParked(now)
	c.tendMember(now)
	c.tendRelay(now)
}

// stop begins a graceful shutdown: the entry is not ready from now on, answers
// what it has read and hands the lease on.
func (c *Core) stop(now time.Time) {
	c.stopping = true
	c.stoppedAt = now
	if c.lease.Holds(now) && !c.appending {
		c.appendLease(now, true)
	}
}

// ready reports whether new clients are better served here than elsewhere.
func (c *Core) ready(now time.Time) bool {
	return !c.stopping && c.config != nil && !c.registryProof.IsZero() && c.fresh(now)
}

// fresh reports whether requests with a key may pass.
func (c *Core) fresh(now time.Time) bool {
	return now.Before(c.configProof.Add(c.settings.ProofLifetime))
}

func (c *Core) status(now time.Time) Status {
	s := Status{
		Ready:       c.ready(now),
		ConfigAge:   now.Sub(c.configProof),
		RegistryAge: now.Sub(c.registryProof),
		Endpoints:   len(c.endpoints),
		Waiting:     len(c.parked),
		Running:     len(c.calls),
		Leads:       c.lease.Holds(now),
		Leader:      c.link.host,
		Stopping:    c.stopping,
	}
	if c.config != nil {
		s.ConfigVersion = c.config.Version
	}
	return s
}
