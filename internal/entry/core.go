package entry

import (
	"slices"
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/relay"
	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/config"
)

const (
	// heartbeatInterval is how often the entry sends heartbeats to its peers.
	heartbeatInterval = 500 * time.Millisecond
	// maxAttempts is the maximum number of attempts of a call.
	maxAttempts = 4
	// noEndpointRetryAfter is the Retry-After of a call that no agent can
	// serve.
	noEndpointRetryAfter = time.Second
)

// CoreSettings are the settings of a reducer.
type CoreSettings struct {
	Host        string
	Incarnation uint64
	// FixedShare is this entry's fixed share of every customer's rate and
	// burst. If it is 0, the entries move shares between each other.
	FixedShare float64
	Seed       uint64
	// DrainDelay is how long new requests are accepted after a graceful
	// shutdown has turned off readiness.
	DrainDelay time.Duration
	Zones      route.ZoneLatencies
	// LogRetention is how long the log keeps records; 0 means forever.
	LogRetention time.Duration
	// IsolationLimit is how long the entry may reach neither the log nor its
	// peers before it stops admitting calls; 0 means forever.
	IsolationLimit time.Duration
	// Placement are the settings of the placement planner.
	Placement place.Settings
}

// Core is the reducer of an entry.
type Core struct {
	host           string
	fold           *config.Fold
	index          *config.Index
	relay          *relay.Relay
	checkpoints    *checkpointScheduler
	configCaughtUp bool
	// revokedCalls are the IDs of the active calls that the configuration no
	// longer permits.
	revokedCalls  []string
	fleet         *fleet.Fleet
	router        *route.Router
	quota         quotaState
	calls         map[string]*activeCall
	retryBudget   *retryBudget
	lastHeartbeat time.Time
	placement     placement
	crashes       crashWatch
	ready         bool
	leaving       bool
	drainDelay    time.Duration
	// drainUntil is when an entry that is shutting down begins to reject calls.
	drainUntil time.Time
}

// NewCore returns the reducer of a new entry process.
func NewCore(settings CoreSettings) *Core {
	peers := fleet.New(settings.Host)
	return &Core{
		host:        settings.Host,
		fold:        config.NewFold(),
		relay:       relay.New(settings.IsolationLimit, settings.Seed),
		checkpoints: newCheckpointScheduler(settings.LogRetention, settings.Seed),
		fleet:       peers,
		router:      route.New(peers, settings.Zones, settings.Seed),
		quota:       newQuotaState(settings),
		calls:       make(map[string]*activeCall),
		retryBudget: newRetryBudget(),
		drainDelay:  settings.DrainDelay,
		placement:   newPlacement(settings.Placement),
		crashes:     newCrashWatch(),
	}
}

// Apply implements loop.Reducer.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	switch ev := event.(type) {
	case CallArrived:
		return c.handleArrival(now, ev.Call)
	case AttemptEnded:
		return c.handleAttemptEnd(now, ev)
	case StreamStarted:
		return c.handleStreamStart(now, ev)
	case HostsRead:
		return append(c.updateHosts(ev.Hosts), c.applyQuotaEvent(now, ev)...)
	case LogRead:
		return c.handleLogRead(now, ev)
	case SessionOpened:
		c.fleet.SessionUp(now, ev.Host, ev.Hello)
		c.crashes.shareAgain(ev.Host)
		return append(c.applyQuotaEvent(now, ev), c.sendOutcomeQueries(now, true)...)
	case SessionClosed:
		return append(c.handleSessionClosed(ev), c.applyQuotaEvent(now, ev)...)
	case MessageReceived:
		return c.handleMessage(now, ev)
	case ShutdownRequested:
		return c.startShutdown(now)
	case StatusRequested:
		return c.handleStatusRequest(now, ev)
	case Tick:
		return slices.Concat(c.tickState(now), c.applyQuotaEvent(now, ev), c.tickCalls(now))
	default:
		return nil
	}
}

// handleLogRead dispatches a page by its stream.
func (c *Core) handleLogRead(now time.Time, event LogRead) []Effect {
	switch event.Stream {
	case plat.StreamConfig:
		return c.handleConfigPage(now, event.Page)
	case plat.StreamFleet:
		return c.applyQuotaEvent(now, event)
	default:
		return nil
	}
}

// startShutdown turns off readiness at once. Active calls continue, and new
// ones are accepted until the load balancer has had time to notice.
func (c *Core) startShutdown(now time.Time) []Effect {
	if !c.leaving {
		c.leaving, c.drainUntil = true, now.Add(c.drainDelay)
	}
	return slices.Concat([]Effect{SetReady{Ready: false}}, c.returnShares(now), c.finishShutdown(now))
}

// drainEnded reports whether the entry is shutting down and rejects new calls.
func (c *Core) drainEnded(now time.Time) bool { return c.leaving && !now.Before(c.drainUntil) }

// finishShutdown reports the end of a graceful shutdown once no call is left.
func (c *Core) finishShutdown(now time.Time) []Effect {
	if c.drainEnded(now) && len(c.calls) == 0 && len(c.quota.pending) == 0 {
		return []Effect{ShutdownFinished{}}
	}
	return nil
}

// tickCalls repeats the outcome queries that are due and advances a shutdown.
func (c *Core) tickCalls(now time.Time) []Effect {
	return slices.Concat(c.sendOutcomeQueries(now, false), c.returnShares(now), c.finishShutdown(now))
}
