package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/stock"
	"dogwoodfold/pkg/fault"
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

// configAgeBuckets are those of the age of the configuration.
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

const (
	// maxRequestLinesPerSecond limits the rate of log lines about single requests.
	maxRequestLinesPerSecond = 100
	// repeatedLineInterval is the minimum time between log lines of a repeated
	// failure.
	repeatedLineInterval = time.Second
)

// requestLog limits the rate of log lines about requests and counts the lines
// that are dropped.
type requestLog struct {
	log zerolog.Logger

	mu             sync.Mutex
	windowStart    time.Time
	lines          int
	dropped        int
	lastRepeatedAt time.Time
}

func newRequestLog(log zerolog.Logger) *requestLog { return &requestLog{log: log} }

// allow reports whether a line may be written now. At the first call in each
// one-second window, it logs how many lines were dropped in the previous one.
func (r *requestLog) allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.windowStart) >= time.Second {
		if r.dropped > 0 {
			r.log.Info().Int("dropped", r.dropped).Msg("requests: log lines dropped")
		}
		r.windowStart, r.lines, r.dropped = now, 0, 0
	}
	if r.lines >= maxRequestLinesPerSecond {
		r.dropped++
		return false
	}
	r.lines++
	return true
}

// logRepeated calls write at most once per repeatedLineInterval.
func (r *requestLog) logRepeated(write func()) {
	now := time.Now()
	r.mu.Lock()
	due := now.Sub(r.lastRepeatedAt) >= repeatedLineInterval
	if due {
		r.lastRepeatedAt = now
	}
	r.mu.Unlock()
	if due {
		write()
	}
}

func (r *requestLog) logUnreadable(status int, err error) {
	if r.allow(time.Now()) {
		r.log.Info().Int("status", status).Err(err).Msg("requests: unreadable request rejected")
	}
}

func (r *requestLog) logDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped > 0 {
		r.log.Info().Int("dropped", r.dropped).Msg("requests: log lines dropped")
	}
}

// recordRequest updates the metrics for a finished request and logs it.
func (s *Server) recordRequest(in *inboundRequest) {
	elapsed := s.clock.Now().Sub(in.request.ArrivedAt)
	s.metrics.requests.WithLabelValues(in.service, strconv.Itoa(in.status), in.verdict).Inc()
	if in.reason == string(fault.CodeQuarantine) {
		s.metrics.guarded.WithLabelValues(in.service).Inc()
	}
	s.metrics.latency.WithLabelValues(in.service).Observe(elapsed.Seconds())
	if in.reason != string(fault.CodeNotReady) && in.decision.ConfigVersion > 0 {
		s.metrics.recordDecision(in.decision)
	}
	if in.attempts > 0 {
		s.metrics.attempts.WithLabelValues(in.service, in.reason).Add(float64(in.attempts))
	}
	if in.slowReader || in.writeAborted.Load() {
		s.metrics.countTurnedAway(turnedAwaySlowReader)
	}
	if !s.requestLog.allow(time.Now()) {
		return
	}
	s.log.Info().Str("request", in.request.ID).Str("path", in.request.Path).
		Str("service", in.service).Str("model", in.request.Model).
		Int("status", in.status).Str("verdict", in.verdict).Str("reason", in.reason).Str("detail", in.detail).
		Str("promptPrefix", in.promptPrefix()).
		Str("framing", in.framing).Bool("endedInEvent", in.endedInEvent).
		Bool("keptConnection", in.keptConn).Stringer("responseId", in.origin).Int("extraResponses", in.extraResponses).
		Int("endpointStatus", in.endpointStatus).Str("contentType", in.contentType[:min(len(in.contentType), maxLoggedType)]).
		Str("interruption", in.interruption).
		Str("namedLimit", in.namedLimit[:min(len(in.namedLimit), maxLoggedLimit)]).
		Str("endpoint", in.endpoint).Strs("softwareVersions", in.softwareVersions).
		Str("resumes", in.request.ResumedRequest).Str("lastEventId", in.request.LastEventID).Int("tries", in.attempts).
		Bool("left", in.isDisconnected()).Bool("slowReader", in.slowReader).Dur("tookMs", elapsed).
		Dur("firstMs", in.timeToFirstWrite()).Dur("pauseMs", in.maxWriteGap).EmbedObject(decisionLogFields(in.decision)).
		Msg("requests: ended")
}

// maxLoggedPrefix is the length to which the prompt's parts are cut in the log.
const maxLoggedPrefix = 160

// maxLoggedLimit is the length to which a named limit is cut in the log.
const maxLoggedLimit = 16

// maxLoggedType is the length to which an endpoint's Content-Type is cut in the log.
const maxLoggedType = 64

// promptPrefix returns the parts of the prompt as the client named them.
func (in *inboundRequest) promptPrefix() string {
	return in.request.PromptPrefix[:min(len(in.request.PromptPrefix), maxLoggedPrefix)]
}

// decisionLogFields adds the state on which a decision was based to a log line.
type decisionLogFields gate.DecisionContext

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d decisionLogFields) MarshalZerologObject(e *zerolog.Event) {
	if d.Fingerprint != 0 {
		e.Stringer("fingerprint", d.Fingerprint)
	}
	e.Str("customer", d.Customer).Int64("configVersion", d.ConfigVersion).Int64("newestVersion", d.NewestVersion).Dur("configAgeMs", d.ConfigAge).
		Dur("registryAgeMs", d.RegistryAge).Str("leader", d.Leader).Bool("assigned", d.AssignedByLeader).
		Str("versionFrom", string(d.VersionSource)).
		Int("running", d.Running).Dur("expectedMs", d.Expected)
}

// timeToFirstWrite returns the time from reading the request to the first part of
// a streamed response, or 0 if the response was not streamed.
func (in *inboundRequest) timeToFirstWrite() time.Duration {
	if in.firstWriteAt.IsZero() {
		return 0
	}
	return in.firstWriteAt.Sub(in.readAt)
}

// serveReadiness serves the load balancer's readiness check.
func (s *Server) serveReadiness(ctx context.Context, listener net.Listener) {
	server := &fasthttp.Server{
		Handler: func(r *fasthttp.RequestCtx) {
			switch {
			case string(r.Path()) != platform.PathReady:
				r.SetStatusCode(fasthttp.StatusNotFound)
			case !s.ready.Load():
				r.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
		NoDefaultServerHeader: true,
		GetOnly:               true,
		IdleTimeout:           readyIdleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		s.log.Error().Err(err).Msg("ready: listener failed")
	}
}

const readyIdleTimeout = 10 * time.Second

// serveMetrics serves the status and the metrics to operators.
func (s *Server) serveMetrics(ctx context.Context, listener net.Listener) {
	server := admin.New(s.status, s.metrics.registry)
	server.Handle(PathExplain, s.explain)
	if err := server.Run(ctx, listener); err != nil && ctx.Err() == nil {
		s.log.Error().Err(err).Msg("metrics: listener failed")
	}
}

// jitterFraction is the largest relative deviation of a jittered delay.
const jitterFraction = 0.2

// jitter returns a random duration that differs from d by up to jitterFraction.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}
