package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/quota"
)

const (
	// loadReportInterval is the time after which entries are sent a new load
	// report.
	loadReportInterval = 250 * time.Millisecond
	// maxQueuedPerSlot limits the queue to this many calls for each slot.
	maxQueuedPerSlot = 4
	// drainLinger is how long a draining agent keeps running after its last
	// call, so that the last messages can arrive.
	drainLinger = 500 * time.Millisecond
)

// Core is the reducer of an agent. It implements loop.Reducer.
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
	placement placement

	loadSequence uint64
	loadSentAt   time.Time
	leaving      bool
	// lastActivity is when the last call ended or the shutdown began.
	lastActivity time.Time

	// guard is nil if the entries' shares of the rate limits are fixed.
	guard *quota.Guard
}

// CoreSettings configures a Core.
type CoreSettings struct {
	Host        string
	Incarnation uint64
	// PlainService reports whether the endpoint is a plain service rather than
	// a model engine.
	PlainService bool
	// Slots is the maximum number of calls that run concurrently at the
	// endpoint.
	Slots int
	// FixedShares reports whether the entries' shares of the rate limits are
	// fixed, so that the agent needs no membership view of the entries.
	FixedShares bool
	// Dedup configures the deduplication of non-idempotent calls.
	Dedup dedup.Settings
	// MaxOrderDelay is the longest time from the sending of an order to its
	// last effect. It is needed for engines that ignore fencing numbers.
	MaxOrderDelay time.Duration
}

// NewCore returns the reducer of a newly started agent.
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
		placement:    newPlacement(settings),
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
	case AppendEnded:
		return c.handleAppendEnded(now, e)
	case ShutdownRequested:
		return c.startShutdown(now)
	case StatusRequested:
		return c.handleStatusRequest(now, e)
	case Tick:
		return c.handleTick(now)
	default:
		return nil
	}
}

// startShutdown begins a graceful shutdown: new calls are refused from now on,
// and the entries are informed at once.
func (c *Core) startShutdown(now time.Time) []Effect {
	c.leaving, c.lastActivity = true, now
	c.placement.replicas.Leave()
	return c.broadcastLoad(now)
}

// finishShutdown completes a graceful shutdown once no call is left and the
// last messages have had time to arrive.
func (c *Core) finishShutdown(now time.Time) []Effect {
	if c.leaving && len(c.calls) == 0 && now.Sub(c.lastActivity) >= drainLinger {
		return []Effect{ShutdownFinished{}}
	}
	return nil
}

func (c *Core) handleTick(now time.Time) []Effect {
	c.slotShares.removeInactive(now)
	effects := append(c.expireClaims(now), c.advanceUnloads(now)...)
	if now.Sub(c.loadSentAt) >= loadReportInterval {
		effects = append(effects, c.broadcastLoad(now)...)
	}
	return append(effects, c.finishShutdown(now)...)
}
