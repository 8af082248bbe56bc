package agent

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
)

// StatusRequest asks for the reducer's status.
type StatusRequest struct {
	// Reply takes the status; it must have room for one.
	Reply chan<- Status
}

// StatusReply answers Inspect.
type StatusReply struct {
	Reply  chan<- Status
	Status Status
}

func (StatusRequest) isEvent() {}
func (StatusReply) isEffect()  {}

// Status is what an agent shows to operators.
type Status struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	// ReportAgeMs is the age of the engine's report, -1 before the first.
	ReportAgeMs int64           `json:"reportAgeMs"`
	MemoryBytes int64           `json:"memoryBytes"`
	Residents   []plat.Resident `json:"residents"`
}

// handleStatusRequest returns the status of this moment.
func (c *Core) handleStatusRequest(now time.Time, e StatusRequest) []Effect {
	status := Status{
		Leaving:     c.draining,
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
	return []Effect{StatusReply{
		Reply:  e.Reply,
		Status: status,
	}}
}

// Status asks the reducer for its status.
func (s *Server) Status(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(reply chan<- Status) Event { return StatusRequest{Reply: reply} })
}

// Registry returns the agent's metrics.
func (s *Server) Registry() *prometheus.Registry { return s.metrics.registry }

// metrics are the counters of an agent.
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
