package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dogwoodfold/internal/burn"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// metrics are the counters of an entry. Labels come from the configuration or
// from fixed sets, never from callers.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	firstBytes *prometheus.HistogramVec
	durations  *prometheus.HistogramVec
	attempts   prometheus.Counter
	burn       *burn.Recorder
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
		firstBytes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodfold_first_token_seconds",
			Help:    "Time to the first token or to a plain answer.",
			Buckets: latencyBuckets,
		}, []string{"service", "customer"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dogwoodfold_request_seconds",
			Help:    "Time to the end of the answer.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dogwoodfold_retries_total",
			Help: "Attempts after the first one of a call.",
		}),
	}
	m.registry.MustRegister(m.requests, m.tokens, m.firstBytes, m.durations, m.attempts)
	m.burn = burn.NewRecorder(m.registry, time.Now)
	return m
}

// firstToken notes when the first part of an answer was passed on.
func (m *metrics) firstToken(x *exchange, after time.Duration) {
	x.first = after
	m.firstBytes.WithLabelValues(x.call.Route.Service, x.call.Customer).Observe(after.Seconds())
}

// configured takes over the services' objectives.
func (m *metrics) configured(text *config.Text) {
	for name, service := range text.Services {
		m.burn.Objective(name, service.Target.Objective)
	}
}

// ended notes the end of a request.
func (m *metrics) ended(x *exchange, err error, now time.Time) {
	code, verdict := "ok", fault.Ran
	if err != nil {
		code, verdict = string(fault.CodeOf(err)), fault.VerdictOf(err)
	}
	service := x.call.Route.Service
	m.requests.WithLabelValues(service, x.call.Customer, code, verdict.String()).Inc()
	m.durations.WithLabelValues(service).Observe(now.Sub(x.started).Seconds())
	m.attempts.Add(float64(max(0, x.attempts-1)))
	if err == nil && !x.request.GetStream() {
		m.firstToken(x, now.Sub(x.started))
	}
	if x.request == nil {
		return // refused before its service was known
	}
	m.level(x, err, now)
}

// level counts a call against its service's objective.
func (m *metrics) level(x *exchange, err error, now time.Time) {
	series := burn.Series{
		Service:  x.call.Route.Service,
		Customer: x.call.Customer,
	}
	if err != nil && fault.VerdictOf(err) == fault.NotRun && !callersFault[fault.CodeOf(err)] {
		m.burn.Refused(series)
	}
	if err == nil || !callersFault[fault.CodeOf(err)] {
		m.burn.Call(now, series, err == nil && x.attained(now))
	}
}

// callersFault are the failures that don't count against an objective.
var callersFault = map[fault.Code]bool{
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

// attained reports whether an answer met its service's target. A bound of zero
// is none.
func (x *exchange) attained(now time.Time) bool {
	bound := x.target.FirstToken
	if bound > 0 && x.first > bound {
		return false
	}
	bound = x.target.BetweenTokens
	if bound == 0 || x.events < 2 {
		return true
	}
	gap := (now.Sub(x.started) - x.first) / time.Duration(x.events-1)
	return gap <= bound
}
