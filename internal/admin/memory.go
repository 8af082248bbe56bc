package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/budget"
)

// RegisterMemory adds the metrics of the memory that a process reserves for its clients.
func RegisterMemory(registry *prometheus.Registry, memory *budget.Budget) {
	for name, value := range map[string]func(budget.Status) float64{
		"used":  func(s budget.Status) float64 { return float64(s.Used) },
		"peak":  func(s budget.Status) float64 { return float64(s.Peak) },
		"bound": func(s budget.Status) float64 { return float64(s.Total) },
	} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "dogwoodfold_request_memory_bytes",
			Help:        "Memory reserved for clients, its bound and its peak.",
			ConstLabels: prometheus.Labels{"use": name},
		}, func() float64 { return value(memory.Status()) }))
	}
	for reason, value := range map[string]func(budget.Status) uint64{
		"memory":  func(s budget.Status) uint64 { return s.Refusals },
		"evicted": func(s budget.Status) uint64 { return s.Evictions },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "dogwoodfold_clients_turned_away_total",
			Help:        "Requests of clients that were refused or closed, by reason.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(value(memory.Status())) }))
	}
}
