package entry

import (
	"time"

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
	beatAt    time.Time
	placement placement
	ready     bool
	leaving   bool
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
		router:    route.New(f, s.Seed),
		shares:    newShares(s),
		calls:     make(map[string]*running),
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
	case HostsRead:
		return append(c.listed(e.Hosts), c.shareEvent(now, e)...)
	case LogRead:
		return c.logRead(now, e)
	case LinkUp:
		c.fleet.Up(now, e.Host, e.Hello)
		return c.shareEvent(now, e)
	case LinkDown:
		return append(c.unlinked(e), c.shareEvent(now, e)...)
	case Received:
		return c.received(now, e)
	case Stopping:
		return append(c.shareEvent(now, e), c.stopping()...)
	case Inspect:
		return c.inspect(now, e)
	case Tick:
		return append(c.tick(now), c.shareEvent(now, e)...)
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

// stopping fails readiness at once; running calls go on.
func (c *Core) stopping() []Effect {
	c.leaving = true
	return append([]Effect{Ready{Ready: false}}, c.finish()...)
}

// finish ends a graceful shutdown once no call is left.
func (c *Core) finish() []Effect {
	if c.leaving && len(c.calls) == 0 && len(c.shares.asking) == 0 {
		return []Effect{Finished{}}
	}
	return nil
}
