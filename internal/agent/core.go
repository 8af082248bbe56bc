package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/quota"
)

const (
	// reportInterval is how often entries are told of the load.
	reportInterval = 250 * time.Millisecond
	// queuePerSlot bounds the calls that wait for each slot.
	queuePerSlot = 4
	// lingerTime is how long a stopping agent stays after its last call.
	lingerTime = 500 * time.Millisecond
)

// Core is the reducer of an agent.
type Core struct {
	incarnation uint64
	plain       bool
	slots       int

	waiting  *queue.Queue[uint64]
	pace     *pace
	shares   *shares
	calls    map[uint64]Call
	running  map[uint64]bool
	report   plat.Report
	reportAt time.Time

	once      *dedup.Table
	service   string
	placement placement

	sequence uint64
	toldAt   time.Time
	leaving  bool
	// endedAt is when the last call ended or the shutdown began.
	endedAt time.Time

	// guard is nil if the entries' shares are fixed.
	guard *quota.Guard
}

// CoreSettings are the constants of a reducer.
type CoreSettings struct {
	Host        string
	Incarnation uint64
	// Plain says that the endpoint is a plain service, not an engine.
	Plain bool
	// Slots is how many calls run at once at the endpoint.
	Slots int
	// StaticRates says that the entries' shares of the rates are fixed, so
	// that no view of them is needed.
	StaticRates bool
	// Once is for the calls that may not be repeated.
	Once dedup.Settings
	// MaxOrderDelay bounds the time from an order's sending to its last
	// effect, for engines that ignore fencing numbers.
	MaxOrderDelay time.Duration
}

// NewCore returns the reducer of a fresh agent.
func NewCore(s CoreSettings) *Core {
	return &Core{
		incarnation: s.Incarnation,
		plain:       s.Plain,
		slots:       s.Slots,
		waiting:     queue.New[uint64](s.Slots * queuePerSlot),
		pace:        newPace(s.Slots),
		shares:      newShares(s.Slots),
		calls:       make(map[uint64]Call),
		running:     make(map[uint64]bool),
		guard:       newGuard(s),
		once:        dedup.New(s.Once),
		service:     s.Once.Service,
		placement:   newPlacement(s),
	}
}

// Apply implements loop.Reducer.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		return c.arrived(now, e.Call)
	case Begun:
		c.pace.first(now, e.Key)
		return nil
	case Ended:
		return c.ended(now, e)
	case Abandoned:
		return c.abandoned(now, e.Key)
	case Reported:
		return c.reported(now, e)
	case CacheRead:
		return c.cacheRead(e)
	case Received:
		if e.Message.GetClaim() != nil {
			return c.queried(now, e)
		}
		return c.received(now, e)
	case Linked:
		return []Effect{
			Tell{
				Session: e.Session,
				Message: c.load(),
			},
			Tell{
				Session: e.Session,
				Message: c.placeState(),
			},
		}
	case HostsRead:
		return c.listed(e.Hosts)
	case LogRead:
		return c.logRead(now, e)
	case LogFailed:
		return c.logFailed(e)
	case Appended:
		return c.appended(now, e)
	case Stopping:
		return c.stopping(now)
	case Inspect:
		return c.inspect(now, e)
	case Tick:
		return c.tick(now)
	default:
		return nil
	}
}

// stopping refuses new work and tells the entries at once.
func (c *Core) stopping(now time.Time) []Effect {
	c.leaving, c.endedAt = true, now
	c.placement.holder.Leave()
	return c.tell(now)
}

// finish ends a graceful shutdown once no call is left and what was sent last
// had time to arrive.
func (c *Core) finish(now time.Time) []Effect {
	if c.leaving && len(c.calls) == 0 && now.Sub(c.endedAt) >= lingerTime {
		return []Effect{Finished{}}
	}
	return nil
}

func (c *Core) tick(now time.Time) []Effect {
	c.shares.sweep(now)
	effects := append(c.onceTick(now), c.place(now)...)
	if now.Sub(c.toldAt) >= reportInterval {
		effects = append(effects, c.tell(now)...)
	}
	return append(effects, c.finish(now)...)
}
