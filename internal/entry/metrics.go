package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
	return m
}

// firstToken notes when the first part of an answer was passed on.
func (m *metrics) firstToken(x *exchange, after time.Duration) {
	m.firstBytes.WithLabelValues(x.call.Route.Service, x.call.Customer).Observe(after.Seconds())
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
}
