package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/platform"
)

// clientLimits bound what clients may send.
type clientLimits struct{ topo.Limits }

// defaultClientLimits hold until there is a configuration.
var defaultClientLimits = clientLimits{topo.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}}

const (
	// minClientReadBuffer is the least read buffer of a client's connection.
	minClientReadBuffer = 4 << 10
	// lingerTimeout lets a client read an answer to a request that wasn't read whole.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// effectQueueSize is more than a request has commands at once.
	effectQueueSize = 4
)

// clientConn is a client's connection.
type clientConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// busy is true from the first byte of a request to the end of its answer.
	busy atomic.Bool
}

// acceptClients serves the clients of a listener until ctx ends.
func (s *Server) acceptClients(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("entry: a connection could not be accepted")
			time.Sleep(tickInterval)
			continue
		}
		c := &clientConn{
			server: s,
			conn:   conn,
		}
		s.mu.Lock()
		s.clientConns[c] = true
		s.mu.Unlock()
		go c.serve(ctx)
	}
}

// closeClientConns ends all connections of clients.
func (s *Server) closeClientConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clientConns {
		_ = c.conn.Close() // the process ends
	}
}

// closeIdleClients takes no more clients, ends the connections on which no request has
// begun, so that clients open new ones elsewhere, and returns how many are left.
func (s *Server) closeIdleClients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clientListener != nil {
		_ = s.clientListener.Close() // it may be closed already
		s.clientListener = nil
	}
	active := 0
	for c := range s.clientConns {
		if c.busy.Load() {
			active++
			continue
		}
		_ = c.conn.Close() // a request that crosses this isn't passed on
	}
	return active
}

func (s *Server) currentLimits() clientLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// serve reads requests one after the other and waits for their answers.
func (c *clientConn) serve(ctx context.Context) {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.clientConns, c)
		c.server.mu.Unlock()
		_ = c.conn.Close() // it may have been closed by the other side
	}()
	c.reader = bufio.NewReaderSize(c.conn, max(minClientReadBuffer, c.server.currentLimits().HeaderBytes))
	for ctx.Err() == nil {
		in, err := c.readRequest()
		if err != nil {
			c.rejectUnreadable(err)
			return
		}
		if !c.handleRequest(in) {
			return
		}
	}
}

// readRequest waits for a request and reads it whole.
func (c *clientConn) readRequest() (*inboundRequest, error) {
	limits := c.server.currentLimits()
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errNoRequest
	}
	c.busy.Store(true)
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	var head fasthttp.RequestHeader
	if err := head.Read(c.reader); err != nil {
		return nil, err
	}
	arrived := c.server.clock.Now()
	framing, err := readFraming(&head)
	if err != nil {
		return nil, err
	}
	request, err := decodeRequest(&head, arrived)
	if err != nil {
		return nil, err
	}
	if len(head.Peek("Expect")) > 0 {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout(request, limits))); err != nil {
		return nil, err
	}
	body, err := readBody(c.reader, framing, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	return &inboundRequest{
		readAt:       time.Now(),
		id:           gate.CallID(c.server.nextCallID.Add(1)),
		request:      request,
		head:         forwardedRequestHead(&head),
		body:         body,
		lastEventID:  headerValue(&head, platform.HeaderLastEventID),
		client:       c.conn,
		closeAfter:   head.ConnectionClose() || c.server.isStopping(),
		effects:      make(chan gate.Effect, effectQueueSize),
		disconnected: make(chan struct{}),
		finished:     make(chan struct{}),
	}, nil
}

// bodyReadTimeout bounds the reading of a body.
func bodyReadTimeout(r *gate.Request, limits clientLimits) time.Duration {
	if r.ClientTimeout > 0 {
		return r.ClientTimeout
	}
	return limits.IdleTimeout
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// errNoRequest ends a connection on which no request has begun.
var errNoRequest = errors.New("no request")

// rejectUnreadable answers a request that could not be read, if that makes sense, and
// lets the client read the answer.
func (c *clientConn) rejectUnreadable(err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, errNoRequest) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return
	case errors.As(err, &headerTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &netErr):
		return
	}
	c.server.requestLog.logUnreadable(status, err)
	out := appendStatus(nil, status)
	out = appendHeader(out, "Content-Length", "0")
	out = appendHeader(out, "Connection", "close")
	out = append(out, "\r\n"...)
	if c.conn.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	if _, err := c.conn.Write(out); err != nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.conn, maxLingerBytes) // unread bytes would reset the answer
	}
}

// handleRequest has a request decided and answered. It reports whether the connection
// may carry another one.
func (c *clientConn) handleRequest(in *inboundRequest) bool {
	s := c.server
	s.mu.Lock()
	s.activeRequests[in.id] = in
	s.mu.Unlock()
	go func() {
		defer close(in.finished)
		s.processRequest(in)
		s.mu.Lock()
		delete(s.activeRequests, in.id)
		s.mu.Unlock()
		s.recordRequest(in)
		c.busy.Store(false)
	}()
	keepOpen := c.watchClient(in)
	<-in.finished
	return keepOpen && !in.closeAfter && !in.connBroken
}

// watchClient waits for the end of a request, or for the client to leave. Only the
// first byte of a next request is read ahead.
func (c *clientConn) watchClient(in *inboundRequest) bool {
	if c.conn.SetReadDeadline(time.Time{}) != nil {
		in.markDisconnected()
		return false
	}
	deadlineSet := make(chan struct{})
	go func() {
		defer close(deadlineSet)
		select {
		case <-in.finished:
			// The wait for the next byte goes on with the idle timeout, or ends
			// where no next request is taken.
			deadline := time.Now().Add(c.server.currentLimits().IdleTimeout)
			if in.closeAfter || in.connBroken {
				deadline = time.Now()
			}
			_ = c.conn.SetReadDeadline(deadline) // a closed connection ends the wait
		case <-c.server.ctx.Done():
		}
	}()
	_, err := c.reader.Peek(1)
	select {
	case <-in.finished:
		<-deadlineSet
		return err == nil
	default:
	}
	if err != nil {
		in.markDisconnected()
		return false
	}
	<-in.finished
	<-deadlineSet
	return true
}

// processRequest carries out what is decided on a request.
func (s *Server) processRequest(in *inboundRequest) {
	s.post(gate.RequestArrived{
		Call:    in.id,
		Request: in.request,
	})
	for {
		var effect gate.Effect
		select {
		case effect = <-in.effects:
		case <-in.disconnected:
			s.post(gate.ClientDisconnected{Call: in.id})
			in.connBroken = true
			return
		}
		switch e := effect.(type) {
		case gate.Send:
			in.heldFailure = nil
			in.attempts++
			in.basis = e.Basis
			in.service = e.Service
			in.endpoint = e.Endpoint
			result := s.attempt(in, e)
			in.verdict = result.Outcome.String()
			in.reason = result.Reason.String()
			result.MaxGap = in.maxWriteGap
			s.post(gate.AttemptEnded{
				Call:   in.id,
				Result: result,
			})
			if result.Outcome == gate.OutcomeComplete {
				return
			}
			if result.Reason == gate.ReasonClientGone {
				in.connBroken = true
				return
			}
		case gate.Refuse:
			in.basis = e.Basis
			in.writeRefusal(e.Err)
			return
		case gate.PassFailure:
			in.forwardFailure()
			return
		default: // gate.Cut
			in.connBroken = true
			return
		}
	}
}
