package edge

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/stock"
	"dogwoodfold/platform"
)

// metrics holds the Prometheus metrics of an entry. Label values come from the
// configuration or from fixed sets, never from clients.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	guarded    *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
	storeTime  *prometheus.HistogramVec
	configAge  prometheus.Histogram
	superseded prometheus.Counter
	orders     *prometheus.CounterVec
	granted    *prometheus.CounterVec
	overRate   *prometheus.CounterVec
	state      *prometheus.GaugeVec
	memory     *prometheus.GaugeVec
	turnedAway *prometheus.CounterVec
}

// latencyBuckets are the upper bounds of the histogram buckets, in seconds.
var latencyBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 5, 10, 30}

// configAgeBuckets are the upper bounds of the buckets for ages of the configuration, in seconds.
var configAgeBuckets = []float64{0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 5, 10}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_requests_total",
			Help: "Requests by service, status and verdict.",
		}, []string{"service", "status", "verdict"}),
		guarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_guard_refusals_total",
			Help: "Requests refused since they may crash endpoints, by service.",
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_attempts_total",
			Help: "Attempts at endpoints by service, outcome and reason of the last one.",
		}, []string{"service", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodfold_request_seconds",
			Help:    "Time from the request to the end of its answer.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_store_calls_total",
			Help: "Calls to the platform's store by call and outcome.",
		}, []string{"call", "outcome"}),
		storeTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodfold_store_call_seconds",
			Help:    "Time of reads of the platform's store, with their wait, by call.",
			Buckets: latencyBuckets,
		}, []string{"call"}),
		configAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dogwoodfold_decision_config_age_seconds",
			Help:    "Age of the proof that the configuration was current, of requests that were handled by it.",
			Buckets: configAgeBuckets,
		}),
		superseded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodfold_superseded_requests_total",
			Help: "Requests that were handled although the entry knew of a newer configuration.",
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_orders_total",
			Help: "Orders to engines by kind and result.",
		}, []string{"kind", "result"}),
		granted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_granted_tokens_total",
			Help: "Tokens that the leader has granted to this entry, by customer.",
		}, []string{"customer"}),
		overRate: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_rate_refusals_total",
			Help: "Requests refused since their customer's rate is used up, by customer.",
		}, []string{"customer"}),
		state: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dogwoodfold_state",
			Help: "Ages in seconds, counts and flags of the entry's beliefs.",
		}, []string{"name"}),
	}
	m.memory = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "dogwoodfold_request_memory_bytes",
		Help: "Memory reserved for clients by use, its bound and its peak.",
	}, []string{"use"})
	m.turnedAway = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dogwoodfold_clients_turned_away_total",
		Help: "Requests and connections of clients that were refused or closed, by reason.",
	}, []string{"reason"})
	m.registry.MustRegister(m.requests, m.guarded, m.attempts, m.latency, m.storeCalls, m.storeTime, m.configAge,
		m.superseded, m.orders, m.granted, m.overRate, m.state, m.memory, m.turnedAway)
	return m
}

func (m *metrics) countTokens(e gate.CountTokens) {
	m.granted.WithLabelValues(e.Customer).Add(e.Granted)
	m.overRate.WithLabelValues(e.Customer).Add(float64(e.Refused))
}

func (m *metrics) countStoreCall(call string, err error) {
	outcome := "ok"
	switch {
	case errors.Is(err, platform.ErrRefused):
		outcome = "refused"
	case errors.Is(err, platform.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, platform.ErrExpired):
		outcome = "expired"
	case errors.Is(err, platform.ErrIncomplete):
		outcome = "incomplete"
	case err != nil:
		outcome = "unknown"
	}
	m.storeCalls.WithLabelValues(call, outcome).Inc()
}

// observeStoreRead counts a read of the store that began at a time.
func (m *metrics) observeStoreRead(call string, began, now time.Time, err error) {
	m.countStoreCall(call, err)
	m.storeTime.WithLabelValues(call).Observe(now.Sub(began).Seconds())
}

// recordDecision records the configuration by which a request was handled.
func (m *metrics) recordDecision(d gate.DecisionContext) {
	m.configAge.Observe(d.ConfigAge.Seconds())
	if d.NewestVersion > d.ConfigVersion {
		m.superseded.Inc()
	}
}

func (m *metrics) countOrder(o stock.Order, r platform.OrderResult) {
	kind := "unload"
	if o.Load {
		kind = "load"
	}
	if o.Adapter != "" {
		kind += "Adapter"
	}
	m.orders.WithLabelValues(kind, r.String()).Inc()
}

func (m *metrics) setStatus(s gate.Status) {
	set := func(name string, value float64) { m.state.WithLabelValues(name).Set(value) }
	flag := func(name string, value bool) {
		if value {
			set(name, 1)
			return
		}
		set(name, 0)
	}
	set("configVersion", float64(s.ConfigVersion))
	set("newestConfigVersion", float64(s.NewestVersion))
	set("configAgeSeconds", s.ConfigAge.Seconds())
	set("registryAgeSeconds", s.RegistryAge.Seconds())
	set("endpoints", float64(s.Endpoints))
	set("evacuatedZones", float64(s.Evacuated))
	set("coldEndpoints", float64(s.Cold))
	set("waiting", float64(s.Waiting))
	set("running", float64(s.Running))
	flag("ready", s.Ready)
	flag("leads", s.IsLeader)
}

// setMemory sets the metrics of the memory that is reserved for clients.
func (m *metrics) setMemory(s budget.Status, conns int) {
	for _, use := range budget.Uses {
		m.memory.WithLabelValues(use.Name()).Set(float64(s.UsedBy[use]))
	}
	m.memory.WithLabelValues("bound").Set(float64(s.Total))
	m.memory.WithLabelValues("peak").Set(float64(s.Peak))
	m.state.WithLabelValues("clientConnections").Set(float64(conns))
}

// Reasons for which clients are turned away.
const (
	turnedAwayMemory      = "memory"
	turnedAwayEvicted     = "evicted"
	turnedAwaySlowBody    = "slowBody"
	turnedAwaySlowReader  = "slowReader"
	turnedAwayTooLarge    = "tooLarge"
	turnedAwayConnections = "connections"
	turnedAwayIdle        = "idleClosed"
)

func (m *metrics) countTurnedAway(reason string) { m.turnedAway.WithLabelValues(reason).Inc() }
