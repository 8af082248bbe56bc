package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/quota"
)

const (
	// loadReportInterval is how often entries are told of the load.
	loadReportInterval = 250 * time.Millisecond
	// maxQueuedPerSlot bounds the calls that wait for each slot.
	maxQueuedPerSlot = 4
	// drainLinger is how long a stopping agent stays after its last call.
	drainLinger = 500 * time.Millisecond
)

// Core is the reducer of an agent.
type Core struct {
	incarnation  uint64
	plainService bool
	slots        int

	queue      *queue.Queue[uint64]
	estimator  *estimator
	slotShares *slotShares
	calls      map[uint64]Call
	running    map[uint64]bool
	report     plat.Report
	reportedAt time.Time

	dedup     *dedup.Table
	service   string
	placement placementState

	loadSequence uint64
	loadSentAt   time.Time
	draining     bool
	// lastActivity is when the last call ended or the shutdown began.
	lastActivity time.Time

	// guard is nil if the entries' shares are fixed.
	guard *quota.Guard
}

// CoreSettings are the constants of a reducer.
type CoreSettings struct {
	Host        string
	Incarnation uint64
	// PlainService says that the endpoint is a plain service, not an engine.
	PlainService bool
	// Slots is how many calls run at once at the endpoint.
	Slots int
	// StaticRates says that the entries' shares of the rates are fixed, so
	// that no view of them is needed.
	StaticRates bool
	// Dedup is for the calls that may not be repeated.
	Dedup dedup.Settings
	// MaxOrderDelay bounds the time from an order's sending to its last
	// effect, for engines that ignore fencing numbers.
	MaxOrderDelay time.Duration
}

// NewCore returns the reducer of a fresh agent.
func NewCore(settings CoreSettings) *Core {
	return &Core{
		incarnation:  settings.Incarnation,
		plainService: settings.PlainService,
		slots:        settings.Slots,
		queue:        queue.New[uint64](settings.Slots * maxQueuedPerSlot),
		estimator:    newEstimator(settings.Slots),
		slotShares:   newSlotShares(settings.Slots),
		calls:        make(map[uint64]Call),
		running:      make(map[uint64]bool),
		guard:        newGuard(settings),
		dedup:        dedup.New(settings.Dedup),
		service:      settings.Dedup.Service,
		placement:    newPlacementState(settings),
	}
}

// Apply implements loop.Reducer.
func (c *Core) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case CallArrived:
		return c.handleArrival(now, e.Call)
	case FirstData:
		c.estimator.recordFirstData(now, e.Key)
		return nil
	case CallEnded:
		return c.handleCallEnded(now, e)
	case CallCanceled:
		return c.handleCallCanceled(now, e.Key)
	case ReportRead:
		return c.handleReport(now, e)
	case CacheRead:
		return c.handleCacheRead(e)
	case MessageReceived:
		if e.Message.GetClaim() != nil {
			return c.handleOutcomeQuery(now, e)
		}
		return c.handleMessage(now, e)
	case SessionOpened:
		return []Effect{
			SendMessage{
				Session: e.Session,
				Message: c.loadMessage(),
			},
			SendMessage{
				Session: e.Session,
				Message: c.placeStateMessage(),
			},
		}
	case HostsRead:
		return c.handleHosts(e.Hosts)
	case LogRead:
		return c.handleLogRead(now, e)
	case LogReadFailed:
		return c.handleLogReadFailed(e)
	case LogAppended:
		return c.handleLogAppended(now, e)
	case StopRequested:
		return c.handleStop(now)
	case StatusRequest:
		return c.handleStatusRequest(now, e)
	case Tick:
		return c.handleTick(now)
	default:
		return nil
	}
}

// handleStop refuses new work and tells the entries at once.
func (c *Core) handleStop(now time.Time) []Effect {
	c.draining, c.lastActivity = true, now
	c.placement.holder.Leave()
	return c.broadcastLoad(now)
}

// checkDrained ends a graceful shutdown once no call is left and what was sent last
// had time to arrive.
func (c *Core) checkDrained(now time.Time) []Effect {
	if c.draining && len(c.calls) == 0 && now.Sub(c.lastActivity) >= drainLinger {
		return []Effect{Drained{}}
	}
	return nil
}

func (c *Core) handleTick(now time.Time) []Effect {
	c.slotShares.removeInactive(now)
	effects := append(c.expireClaims(now), c.advanceUnloads(now)...)
	if now.Sub(c.loadSentAt) >= loadReportInterval {
		effects = append(effects, c.broadcastLoad(now)...)
	}
	return append(effects, c.checkDrained(now)...)
}
