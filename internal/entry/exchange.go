package entry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/wire"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// exchange is a caller's request and its response.
type exchange struct {
	*resolvedRequest
	ctx     *fasthttp.RequestCtx
	conn    net.Conn
	started time.Time
	// memory accounts for the body.
	memory   *budget.Reservation
	effects  chan Effect
	host     string
	attempts int
	// latencyTarget, firstTokenLatency and eventCount determine whether the
	// call met its service's latency target.
	latencyTarget     config.Target
	firstTokenLatency time.Duration
	eventCount        int

	mu        sync.Mutex
	wireCall  *wire.Call
	cancelErr error
}

// cancel ends the running attempt; the caller gets err.
func (ex *exchange) cancel(err error) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.cancelErr = err
	if ex.wireCall != nil {
		_ = ex.wireCall.Close() // unblocks the reader
	}
}

// setCall records the stream of the running attempt. It returns the error of an
// earlier cancel.
func (ex *exchange) setCall(call *wire.Call) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.wireCall = call
	return ex.cancelErr
}

// cancelCause returns the error with which the attempt was canceled, if it was,
// and otherwise err.
func (ex *exchange) cancelCause(err error) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if err != nil && ex.cancelErr != nil {
		return ex.cancelErr
	}
	return err
}

func (s *Server) register(ex *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges[ex.call.ID] = ex
}

func (s *Server) findExchange(id string) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges[id]
}

// endExchange removes a call and records its end.
func (s *Server) endExchange(ex *exchange, err error) {
	s.mu.Lock()
	delete(s.exchanges, ex.call.ID)
	s.mu.Unlock()
	ex.memory.Release()
	s.recordEnd(ex, err)
}

// recordEnd updates the metrics and writes the log entry of a call.
func (s *Server) recordEnd(ex *exchange, err error) {
	now := time.Now()
	s.metrics.recordRequest(ex, err, now)
	event := s.options.Logger.Info()
	verdict := fault.Ran
	if err != nil {
		verdict = fault.VerdictOf(err)
		event = event.Str("code", string(fault.CodeOf(err))).Str("cause", err.Error())
	}
	event.Str("id", ex.call.ID).
		Str("customer", ex.call.Customer).
		Str("service", ex.call.Route.Service).
		Str("endpoint", ex.host).
		Int("attempts", ex.attempts).
		Stringer("verdict", verdict).
		Dur("took", now.Sub(ex.started)).
		Msg("entry: call ended")
}

// sendEffect passes an effect to the goroutine that serves a call. It drops
// effects for a call whose response stream has begun, which are no longer read.
func (s *Server) sendEffect(id string, effect Effect) {
	if ex := s.findExchange(id); ex != nil {
		select {
		case ex.effects <- effect:
		default:
		}
	}
}
