package edge

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/http1"
	"dogwoodfold/platform"
)

const (
	// healthCheckTimeout bounds the time for the answer to a health check.
	healthCheckTimeout = 400 * time.Millisecond
	// healthChecks is how often an endpoint that closes the connection without an
	// answer is asked, healthCheckPause the time before it is asked again.
	healthChecks     = 2
	healthCheckPause = 100 * time.Millisecond
)

// probeResult is what a probe says of an endpoint's run.
type probeResult struct {
	running bool
	// anyRun is true if what answered may be another run at the address.
	anyRun bool
	// ended is true if the run is over for every entry. A run that is neither running nor
	// ended doesn't answer this one.
	ended bool
	// cold is how much longer the endpoint is cold, if coldKnown.
	cold      time.Duration
	coldKnown bool
}

// malformedAnswer is the result of a probe with a malformed answer: something runs at the address.
var malformedAnswer = probeResult{
	running: true,
	anyRun:  true,
}

// probeEngine finds out whether an endpoint still runs.
func (s *Server) probeEngine(e gate.ProbeEngine) {
	probe := s.probeReport
	if e.Plain {
		probe = probeHealth
	}
	result, err := probe(e)
	s.log.Info().AnErr("error", err).Str("endpoint", e.Run.Engine).Bool("running", result.running).
		Bool("ended", result.ended).Msg("endpoints: probed")
	s.post(gate.EngineProbed{
		Run:     e.Run,
		Running: result.running,
		AnyRun:  result.anyRun,
		Ended:   result.ended,

		Cold:      result.cold,
		ColdKnown: result.coldKnown,
	})
}

// probeReport asks an engine for its report.
func (s *Server) probeReport(e gate.ProbeEngine) (probeResult, error) {
	report, err := s.engines.Report(e.Run.Engine, e.Address)
	if errors.Is(err, http1.ErrMalformed) {
		return malformedAnswer, err
	}
	otherRun := errors.Is(err, platform.ErrWrongInstance) || err == nil && report.Incarnation != e.Run.Incarnation
	return probeResult{
		running: errors.Is(err, platform.ErrNoReport) || err == nil && !otherRun,
		ended:   otherRun || errors.Is(err, syscall.ECONNREFUSED),
	}, err
}

// probeHealth connects to a plain endpoint and asks whether it is healthy. Any answer of
// its own shows that it runs, and so does a connection on which the answer doesn't come
// in time, since health checks wait for a slot.
func probeHealth(e gate.ProbeEngine) (probeResult, error) {
	for i := range healthChecks {
		if i > 0 {
			time.Sleep(healthCheckPause)
		}
		conn, err := net.DialTimeout("tcp4", e.Address.String(), endpointDialTimeout)
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		if err != nil {
			return probeResult{
				running: !isUnreachable(err),
				ended:   errors.Is(err, syscall.ECONNREFUSED),
			}, err
		}
		if e.HealthPath == "" {
			return probeResult{
				running: true,
				anyRun:  true,
			}, conn.Close()
		}
		result, err := checkHealth(conn, e)
		_ = conn.Close() // it carries no other request
		switch {
		case err == nil:
			return result, nil
		case isTimeout(err):
			return probeResult{running: true}, err
		}
	}
	return probeResult{}, errNoHealth
}

var errNoHealth = errors.New("the endpoint closes connections without an answer")

// isUnreachable reports whether a connection failed since nothing listens at the address
// or answers there, rather than for a reason of this host.
func isUnreachable(err error) bool {
	return isTimeout(err) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH)
}

// checkHealth does a health check. The run goes on if the endpoint itself has answered.
func checkHealth(conn net.Conn, e gate.ProbeEngine) (probeResult, error) {
	if err := conn.SetDeadline(time.Now().Add(healthCheckTimeout)); err != nil {
		return probeResult{}, err
	}
	var request fasthttp.RequestHeader
	request.SetMethod(fasthttp.MethodGet)
	request.SetRequestURI(e.HealthPath)
	request.SetHost(e.Address.String())
	request.SetNoDefaultContentType(true)
	request.Set(platform.HeaderExpectInstance, e.Run.Engine)
	request.SetConnectionClose()
	if _, err := conn.Write(request.Header()); err != nil {
		return probeResult{}, err
	}
	var response fasthttp.ResponseHeader
	err := http1.ReadHead(&response, bufio.NewReader(conn))
	if errors.Is(err, http1.ErrMalformed) {
		return malformedAnswer, nil
	}
	if err != nil {
		return probeResult{}, err
	}
	id := response.Peek(platform.HeaderInstanceID)
	running := response.StatusCode() != fasthttp.StatusMisdirectedRequest && (len(id) == 0 || string(id) == e.Run.Engine)
	cold, known := platform.ParseCold(response.Peek(platform.HeaderCold))
	return probeResult{
		running:   running,
		ended:     !running,
		cold:      cold,
		coldKnown: known && running,
	}, nil
}
