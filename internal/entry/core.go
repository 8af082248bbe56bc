package entry

import (
	"slices"
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/relay"
	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/config"
)

const (
	// heartbeatInterval is how often peers are told that the entry lives.
	heartbeatInterval = 500 * time.Millisecond
	// maxAttempts bounds how often one call is sent.
	maxAttempts = 4
	// noEndpointRetryAfter is what callers are told when no agent can serve.
	noEndpointRetryAfter = time.Second
)

// CoreSettings are the constants of a reducer.
type CoreSettings struct {
	Host        string
	Incarnation uint64
	// Share is this entry's fixed share of every customer's rate and burst;
	// at 0 shares move between the entries.
	Share float64
	Seed  uint64
	// Drain is how long new requests are still taken after readiness failed.
	Drain time.Duration
	Zones route.ZoneLatencies
	// Retention is how long the log keeps records, 0 for ever.
	Retention time.Duration
	// IsolationLimit is how long the entry may be without word from both the
	// log and its peers until it stops admitting, 0 for ever.
	IsolationLimit time.Duration
	// Placement are the constants of the planner.
	Placement place.Settings
}

// Core is the reducer of an entry.
type Core struct {
	host   string
	fold   *config.Fold
	index  *config.Index
	relay  *relay.Relay
	points *checkpoints
	fresh  bool
	// withdrawn names the running calls that have lost their permission.
	withdrawn []string
	fleet     *fleet.Fleet
	router    *route.Router
	shares    shares
	calls     map[string]*running
	budget    *dedup.RetryBudget
	beatAt    time.Time
	placement placement
	ready     bool
	leaving   bool
	drain     time.Duration
	// drained is when a leaving entry begins to refuse.
	drained time.Time
}

// NewCore returns the reducer of a fresh entry.
func NewCore(s CoreSettings) *Core {
	f := fleet.New(s.Host)
	return &Core{
		host:      s.Host,
		fold:      config.NewFold(),
		relay:     relay.New(s.IsolationLimit, s.Seed),
		points:    newCheckpoints(s.Retention, s.Seed),
		fleet:     f,
		router:    route.New(f, s.Zones, s.Seed),
		shares:    newShares(s),
		calls:     make(map[string]*running),
		budget:    dedup.NewRetryBudget(),
		drain:     s.Drain,
		placement: newPlacement(s.Placement),
	}
}

// Apply implements loop.Reducer.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		return c.arrived(now, e.Call)
	case Answered:
		return c.answered(now, e)
	case Begun:
		return c.begun(now, e)
	case HostsRead:
		return append(c.listed(e.Hosts), c.shareEvent(now, e)...)
	case LogRead:
		return c.logRead(now, e)
	case LinkUp:
		c.fleet.SessionUp(now, e.Host, e.Hello)
		return append(c.shareEvent(now, e), c.ask(now, true)...)
	case LinkDown:
		return append(c.unlinked(e), c.shareEvent(now, e)...)
	case Received:
		return c.received(now, e)
	case Stopping:
		return c.stopping(now)
	case Inspect:
		return c.inspect(now, e)
	case Tick:
		return slices.Concat(c.tick(now), c.shareEvent(now, e), c.callsTick(now))
	default:
		return nil
	}
}

// logRead passes a page to the part that its stream belongs to.
func (c *Core) logRead(now time.Time, e LogRead) []Effect {
	switch e.Stream {
	case plat.StreamConfig:
		return c.configRead(now, e.Page)
	case plat.StreamFleet:
		return c.shareEvent(now, e)
	default:
		return nil
	}
}

// stopping fails readiness at once; running calls go on, and new ones are taken
// until the balancer has had time to see it.
func (c *Core) stopping(now time.Time) []Effect {
	if !c.leaving {
		c.leaving, c.drained = true, now.Add(c.drain)
	}
	return slices.Concat([]Effect{Ready{Ready: false}}, c.leaveShares(now), c.finish(now))
}

// refusing reports whether a graceful shutdown has come to refuse new calls.
func (c *Core) refusing(now time.Time) bool { return c.leaving && !now.Before(c.drained) }

// finish ends a graceful shutdown once no call is left.
func (c *Core) finish(now time.Time) []Effect {
	if c.refusing(now) && len(c.calls) == 0 && len(c.shares.asking) == 0 {
		return []Effect{Finished{}}
	}
	return nil
}

// callsTick asks for outcomes once more and ends a shutdown that is due.
func (c *Core) callsTick(now time.Time) []Effect {
	return slices.Concat(c.ask(now, false), c.leaveShares(now), c.finish(now))
}
