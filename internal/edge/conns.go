package edge

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/platform"
)

// States of a client connection. One in the states connIdle and connReading can be closed
// to make room: no request on it has been read.
const (
	// connIdle is a connection without a request.
	connIdle = iota
	// connReading is one on which the header of a request is being read.
	connReading
	// connBusy is one from the end of a header to the end of the response.
	connBusy
	// connClosed is one that was closed to make room or since the entry stops.
	connClosed
)

const (
	// minHeaderTime is the time that a client has for its header even if connections are
	// used up. A header fits a few packets.
	minHeaderTime = time.Second
	// closableCount is the number of connections that one search prepares to close, and
	// closableInterval the time after which a search that found none is repeated. Both keep
	// the cost of a connection low while connections are used up.
	closableCount    = 32
	closableInterval = 50 * time.Millisecond
)

// closableConns are connections that can be closed to make room, in that order.
type closableConns struct {
	conns      []closableConn
	searchedAt time.Time
}

// closableConn is a connection that was in a state since a time.
type closableConn struct {
	conn  *clientConn
	state int32
	since int64
}

// registerClient adds an accepted connection. If there are too many, it closes one that
// carries no request, idle ones first, or else refuses the new one.
func (s *Server) registerClient(c *clientConn) bool {
	s.mu.Lock()
	full := s.maxClientConns > 0 && len(s.clientConns) >= s.maxClientConns
	admitted := !full || s.closeOneConn(time.Now())
	if admitted {
		s.clientConns[c] = true
	}
	s.mu.Unlock()
	if full {
		reason := turnedAwayIdle
		if !admitted {
			reason = turnedAwayConnections
		}
		s.metrics.countTurnedAway(reason)
		s.requestLog.logRepeated(func() {
			s.log.Warn().Str("reason", reason).Int("limit", s.maxClientConns).Msg("clients: connections are used up")
		})
	}
	if !admitted {
		c.refuse()
	}
	return admitted
}

// closeOneConn closes the connection that has been idle for the longest, or else the one
// that has sent an unfinished header for the longest. It reports false if there is none.
func (s *Server) closeOneConn(now time.Time) bool {
	for searched := false; ; searched = true {
		for len(s.closable.conns) > 0 {
			next := s.closable.conns[0]
			s.closable.conns = s.closable.conns[1:]
			c := next.conn
			if c.since.Load() == next.since && c.state.CompareAndSwap(next.state, connClosed) {
				delete(s.clientConns, c)
				_ = c.conn.Close() // no request on it has been read
				return true
			}
		}
		if searched || now.Sub(s.closable.searchedAt) < closableInterval {
			return false
		}
		s.closable.conns = s.findClosable(now)
		if len(s.closable.conns) == 0 {
			s.closable.searchedAt = now
		}
	}
}

// findClosable returns up to closableCount connections that can be closed.
func (s *Server) findClosable(now time.Time) []closableConn {
	var found []closableConn
	headerBegan := now.Add(-minHeaderTime).UnixNano()
	for c := range s.clientConns {
		state, since := c.state.Load(), c.since.Load()
		if state == connIdle || state == connReading && since < headerBegan {
			found = append(found, closableConn{
				conn:  c,
				state: state,
				since: since,
			})
		}
	}
	slices.SortFunc(found, func(a, b closableConn) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(a.since, b.since))
	})
	return slices.Clone(found[:min(len(found), closableCount)])
}

// refuse turns a connection away whose requests have not been read.
func (c *clientConn) refuse() {
	out := appendStatus(nil, fasthttp.StatusServiceUnavailable)
	out = appendHeader(out, "Content-Length", "0")
	out = appendHeader(out, platform.HeaderRetryAfter, strconv.FormatFloat(overloadRetryAfter.Seconds(), 'f', 2, 64))
	out = appendHeader(out, "Connection", "close")
	_ = c.conn.SetWriteDeadline(time.Now().Add(minAttemptTimeout)) // the buffer of a new connection is empty
	_, _ = c.conn.Write(append(out, "\r\n"...))
	_ = c.conn.Close() // the client may have closed it already
}

// errBodyTooSlow reports a body of which too little has arrived within a window.
var errBodyTooSlow = errors.New("the body arrives too slowly")

// clientSource reads from a client connection. While a body is read, it limits the total
// time and observes the rate.
type clientSource struct {
	conn net.Conn
	// prefix holds bytes that a former read buffer contained.
	prefix   []byte
	watching bool
	watch    budget.Watch
	until    time.Time
	// readDeadline is the deadline that was set last for the body.
	readDeadline time.Time
	aborted      atomic.Bool
}

// watchBody begins a body that must end within timeout.
func (s *clientSource) watchBody(now time.Time, timeout, window time.Duration) {
	s.watching = true
	s.until = now.Add(timeout)
	s.watch = budget.Watch{
		Window: window,
		Bytes:  minWindowBytes,
	}
	s.watch.Begin(now)
	s.readDeadline = time.Time{}
}

// abort makes the reader stop with budget.ErrEvicted.
func (s *clientSource) abort() {
	s.aborted.Store(true)
	_ = s.conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
}

// cause returns the reason of an error if the reader was aborted.
func (s *clientSource) cause(err error) error {
	if err != nil && s.aborted.Load() {
		return budget.ErrEvicted
	}
	return err
}

// Read implements io.Reader.
func (s *clientSource) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		if s.prefix = s.prefix[n:]; len(s.prefix) == 0 {
			s.prefix = nil
		}
		return n, nil
	}
	if !s.watching {
		return s.conn.Read(p)
	}
	for {
		if err := s.setDeadline(); err != nil {
			return 0, err
		}
		n, err := s.conn.Read(p)
		now := time.Now()
		switch {
		case s.aborted.Load():
			return n, budget.ErrEvicted
		case err != nil && (!isTimeout(err) || !now.Before(s.until)):
			return n, err
		case !s.watch.Record(now, n):
			return n, errBodyTooSlow
		case err == nil:
			return n, nil
		}
	}
}

// setDeadline sets the deadline of the next read to the end of the window, or of the body.
func (s *clientSource) setDeadline() error {
	deadline := s.watch.Deadline()
	if s.until.Before(deadline) {
		deadline = s.until
	}
	if deadline.Equal(s.readDeadline) {
		return nil
	}
	s.readDeadline = deadline
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if s.aborted.Load() { // the deadline may have replaced that of abort
		return budget.ErrEvicted
	}
	return nil
}
