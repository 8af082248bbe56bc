package agent

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
)

// Inspect asks for the reducer's status.
type Inspect struct {
	// Reply takes the status; it must have room for one.
	Reply chan<- Status
}

// Inspected answers Inspect.
type Inspected struct {
	Reply  chan<- Status
	Status Status
}

func (Inspect) isEvent()    {}
func (Inspected) isEffect() {}

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

// inspect returns the status of this moment.
func (c *Core) inspect(now time.Time, e Inspect) []Effect {
	s := Status{
		Leaving:     c.leaving,
		Running:     len(c.running),
		Queued:      c.waiting.Len(),
		Slots:       c.slots,
		ReportAgeMs: -1,
		MemoryBytes: c.report.MemoryBytes,
		Residents:   c.report.Residents,
	}
	if !c.reportAt.IsZero() {
		s.ReportAgeMs = now.Sub(c.reportAt).Milliseconds()
	}
	return []Effect{Inspected{
		Reply:  e.Reply,
		Status: s,
	}}
}

// Status asks the reducer for its status.
func (s *Server) Status(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(reply chan<- Status) Event { return Inspect{Reply: reply} })
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
