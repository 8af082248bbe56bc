package agent

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
)

// StatusRequested is the event that requests the reducer's status.
type StatusRequested struct {
	// Reply receives the status. It must have a free buffer element, so that
	// the loop does not block.
	Reply chan<- Status
}

// ReplyStatus is the effect that answers a StatusRequested.
type ReplyStatus struct {
	Reply  chan<- Status
	Status Status
}

func (StatusRequested) isEvent() {}
func (ReplyStatus) isEffect()    {}

// Status is the state of an agent as shown to operators.
type Status struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	// ReportAgeMs is the age of the engine's last report in milliseconds, -1
	// before the first one.
	ReportAgeMs int64           `json:"reportAgeMs"`
	MemoryBytes int64           `json:"memoryBytes"`
	Residents   []plat.Resident `json:"residents"`
}

// handleStatusRequest returns the current status.
func (c *Core) handleStatusRequest(now time.Time, e StatusRequested) []Effect {
	status := Status{
		Leaving:     c.leaving,
		Running:     len(c.running),
		Queued:      c.queue.Len(),
		Slots:       c.slots,
		ReportAgeMs: -1,
		MemoryBytes: c.report.MemoryBytes,
		Residents:   c.report.Residents,
	}
	if !c.reportedAt.IsZero() {
		status.ReportAgeMs = now.Sub(c.reportedAt).Milliseconds()
	}
	return []Effect{ReplyStatus{
		Reply:  e.Reply,
		Status: status,
	}}
}

// Status returns the reducer's status.
func (s *Server) Status(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(reply chan<- Status) Event { return StatusRequested{Reply: reply} })
}

// Registry returns the agent's metrics.
func (s *Server) Registry() *prometheus.Registry { return s.metrics.registry }

// metrics holds the counters of an agent.
type metrics struct {
	registry *prometheus.Registry
	started  prometheus.Counter
	refused  prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodfold_agent_started_total",
			Help: "Calls forwarded to the endpoint.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodfold_agent_refused_total",
			Help: "Calls refused before they ran.",
		}),
	}
	m.registry.MustRegister(m.started, m.refused)
	return m
}
