package edge

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
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

// probeEngine finds out whether an endpoint still runs.
func (s *Server) probeEngine(e gate.ProbeEngine) {
	probe := s.probeReport
	if e.Plain {
		probe = probeHealth
	}
	running, err := probe(e)
	s.log.Info().AnErr("error", err).Str("endpoint", e.Run.Engine).Bool("running", running).
		Msg("endpoints: probed after an answer was cut off")
	s.post(gate.EngineProbed{
		Run:     e.Run,
		Running: running,
	})
}

// probeReport asks an engine for its report.
func (s *Server) probeReport(e gate.ProbeEngine) (running bool, err error) {
	report, err := s.engines.Report(e.Run.Engine, e.Address)
	return errors.Is(err, platform.ErrNoReport) || err == nil && report.Incarnation == e.Run.Incarnation, err
}

// probeHealth connects to a plain endpoint and asks whether it is healthy. Any answer of
// its own shows that it runs, and so does a connection on which the answer doesn't come
// in time, since health checks wait for a slot.
func probeHealth(e gate.ProbeEngine) (running bool, err error) {
	for i := range healthChecks {
		if i > 0 {
			time.Sleep(healthCheckPause)
		}
		conn, err := net.DialTimeout("tcp4", e.Address.String(), endpointDialTimeout)
		if errors.Is(err, syscall.ECONNRESET) {
			continue
		}
		if err != nil {
			return !isUnreachable(err), err
		}
		if e.HealthPath == "" {
			return true, conn.Close()
		}
		running, err = checkHealth(conn, e)
		_ = conn.Close() // it carries no other request
		if err == nil || isTimeout(err) {
			return running || err != nil, err
		}
	}
	return false, errNoHealth
}

var errNoHealth = errors.New("the endpoint closes connections without an answer")

// isUnreachable reports whether a connection failed since nothing listens at the address
// or answers there, rather than for a reason of this host.
func isUnreachable(err error) bool {
	return isTimeout(err) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH)
}

// checkHealth does a health check and reports whether the endpoint itself has answered.
func checkHealth(conn net.Conn, e gate.ProbeEngine) (running bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(healthCheckTimeout)); err != nil {
		return false, err
	}
	var request fasthttp.RequestHeader
	request.SetMethod(fasthttp.MethodGet)
	request.SetRequestURI(e.HealthPath)
	request.SetHost(e.Address.String())
	request.SetNoDefaultContentType(true)
	request.Set(platform.HeaderExpectInstance, e.Run.Engine)
	request.SetConnectionClose()
	if _, err := conn.Write(request.Header()); err != nil {
		return false, err
	}
	var response fasthttp.ResponseHeader
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		return false, err
	}
	id := response.Peek(platform.HeaderInstanceID)
	return response.StatusCode() != fasthttp.StatusMisdirectedRequest && (len(id) == 0 || string(id) == e.Run.Engine), nil
}
