package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/admin"
	"dogwoodfold/internal/gate"
	"dogwoodfold/pkg/fault"
	"dogwoodfold/platform"
)

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
	e.Str("customer", d.Customer).Int64("configVersion", d.ConfigVersion).Int64("newestVersion", d.NewestVersion).
		Dur("configAgeMs", d.ConfigAge).Dur("registryAgeMs", d.RegistryAge).
		Str("leader", d.Leader).Bool("assigned", d.AssignedByLeader).
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
