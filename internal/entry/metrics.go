package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/burn"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// metrics are the metrics of an entry. Label values come from the configuration
// or from fixed sets, never from callers, which bounds the number of series.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	firstTokenLatency *prometheus.HistogramVec
	requestDuration   *prometheus.HistogramVec
	retries           prometheus.Counter
	burn              *burn.Recorder
}

// latencyBuckets are upper bounds in seconds; 1.2 s is the usual target.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2, 5, 10, 30}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_requests_total",
			Help: "Requests by service, customer, code and verdict; code ok for answers.",
		}, []string{"service", "customer", "code", "verdict"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dogwoodfold_tokens_total",
			Help: "Tokens spent by customer.",
		}, []string{"customer"}),
		firstTokenLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodfold_first_token_seconds",
			Help:    "Time to the first token or to a plain answer.",
			Buckets: latencyBuckets,
		}, []string{"service", "customer"}),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodfold_request_seconds",
			Help:    "Time to the end of the answer.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodfold_retries_total",
			Help: "Attempts after the first one of a call.",
		}),
	}
	m.registry.MustRegister(m.requests, m.tokens, m.firstTokenLatency, m.requestDuration, m.retries)
	m.burn = burn.NewRecorder(m.registry, time.Now)
	return m
}

// observeFirstToken records the time until the first part of a response was
// forwarded.
func (m *metrics) observeFirstToken(ex *exchange, elapsed time.Duration) {
	ex.firstTokenLatency = elapsed
	m.firstTokenLatency.WithLabelValues(ex.call.Route.Service, ex.call.Customer).Observe(elapsed.Seconds())
}

// setObjectives sets the objectives of the services.
func (m *metrics) setObjectives(cfg *config.Config) {
	for name, service := range cfg.Services {
		m.burn.SetObjective(name, service.Target.Objective)
	}
}

// recordRequest records the end of a request.
func (m *metrics) recordRequest(ex *exchange, err error, now time.Time) {
	code, verdict := "ok", fault.Ran
	if err != nil {
		code, verdict = string(fault.CodeOf(err)), fault.VerdictOf(err)
	}
	service := ex.call.Route.Service
	m.requests.WithLabelValues(service, ex.call.Customer, code, verdict.String()).Inc()
	m.requestDuration.WithLabelValues(service).Observe(now.Sub(ex.started).Seconds())
	m.retries.Add(float64(max(0, ex.attempts-1)))
	if err == nil && !ex.request.GetStream() {
		m.observeFirstToken(ex, now.Sub(ex.started))
	}
	if ex.request == nil {
		return // rejected before its service was known
	}
	m.recordAttainment(ex, err, now)
}

// recordAttainment counts a call against the objective of its service.
func (m *metrics) recordAttainment(ex *exchange, err error, now time.Time) {
	series := burn.Series{
		Service:  ex.call.Route.Service,
		Customer: ex.call.Customer,
	}
	if err != nil && fault.VerdictOf(err) == fault.NotRun && !callerErrors[fault.CodeOf(err)] {
		m.burn.RecordRefusal(series)
	}
	if err == nil || !callerErrors[fault.CodeOf(err)] {
		m.burn.RecordCall(now, series, err == nil && ex.metTarget(now))
	}
}

// callerErrors are the codes of failures that are attributed to the caller and
// don't count against an objective.
var callerErrors = map[fault.Code]bool{
	fault.CodeBadRequest: true,
	fault.CodeTooLarge:   true,
	fault.CodeNoKey:      true,
	fault.CodeBadKey:     true,
	fault.CodeForbidden:  true,
	fault.CodeNoRoute:    true,
	fault.CodeNoModel:    true,
	fault.CodeRate:       true,
	fault.CodeConflict:   true,
	fault.CodeWithdrawn:  true,
}

// metTarget reports whether a response met the latency target of its service. A
// limit of zero means no limit.
func (ex *exchange) metTarget(now time.Time) bool {
	limit := ex.latencyTarget.FirstToken
	if limit > 0 && ex.firstTokenLatency > limit {
		return false
	}
	limit = ex.latencyTarget.BetweenTokens
	if limit == 0 || ex.eventCount < 2 {
		return true
	}
	meanGap := (now.Sub(ex.started) - ex.firstTokenLatency) / time.Duration(ex.eventCount-1)
	return meanGap <= limit
}
