package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/platform"
)

// clientLimits holds the size and time limits for client requests.
type clientLimits struct{ topo.Limits }

// defaultClientLimits apply until the first configuration has been read.
var defaultClientLimits = clientLimits{topo.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}}

const (
	// clientReadBuffer is the read buffer size of a client connection. A longer header is
	// read into a larger buffer, which is used for that request only.
	clientReadBuffer = 4 << 10
	// minWindowBytes is the least part of a body that must arrive within the idle timeout.
	// With the default of 15 s that is 68 bytes per second, a fiftieth of what the slowest
	// mobile links do.
	minWindowBytes = 1 << 10
	// overloadRetryAfter is the Retry-After of a request that the memory didn't suffice for.
	overloadRetryAfter = time.Second
	// lingerTimeout and maxLingerBytes bound the draining of a rejected request
	// that was not read completely, so that the client can read the response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// effectQueueSize exceeds the number of effects that are pending for one
	// request at a time.
	effectQueueSize = 4
)

// clientConn is a client connection.
type clientConn struct {
	server *Server
	conn   net.Conn
	owner  netip.Addr
	source clientSource
	reader *bufio.Reader
	// state is one of the states below, since is when it began, by Unix nanoseconds.
	state atomic.Int32
	since atomic.Int64
}

// acceptClients accepts and serves client connections until ctx ends or the
// listener is closed.
func (s *Server) acceptClients(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("entry: accepting a client connection failed")
			time.Sleep(tickInterval)
			continue
		}
		c := &clientConn{
			server: s,
			conn:   conn,
			source: clientSource{conn: conn},
		}
		if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
			c.owner = tcp.AddrPort().Addr()
		}
		c.since.Store(time.Now().UnixNano())
		if s.registerClient(c) {
			go c.serve(ctx)
		}
	}
}

// closeClientConns closes all client connections.
func (s *Server) closeClientConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clientConns {
		_ = c.conn.Close() // the process is exiting
	}
}

// closeIdleClients closes the listener and the connections without an active
// request, so that clients reconnect to other entries. It returns the number of
// connections that are still busy.
func (s *Server) closeIdleClients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clientListener != nil {
		_ = s.clientListener.Close() // may be closed already
		s.clientListener = nil
	}
	active := 0
	for c := range s.clientConns {
		if c.state.Load() == connClosed {
			continue
		}
		if !c.state.CompareAndSwap(connIdle, connClosed) {
			active++
			continue
		}
		_ = c.conn.Close() // a request sent at this moment is not forwarded
	}
	return active
}

func (s *Server) currentLimits() clientLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

func (s *Server) setLimits(limits clientLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// serve reads requests one at a time and waits for the response to each.
func (c *clientConn) serve(ctx context.Context) {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.clientConns, c)
		c.server.mu.Unlock()
		_ = c.conn.Close() // the client may have closed it already
	}()
	c.reader = bufio.NewReaderSize(&c.source, clientReadBuffer)
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

// readRequest waits for a request and reads it completely. If it fails, the memory of the
// request has been released.
func (c *clientConn) readRequest() (*inboundRequest, error) {
	limits := c.server.currentLimits()
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errNoRequest
	}
	now := time.Now()
	c.since.Store(now.UnixNano())
	if !c.state.CompareAndSwap(connIdle, connReading) {
		return nil, errNoRequest
	}
	if err := c.conn.SetReadDeadline(now.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	var memory *budget.Reservation // most requests need none
	in, err := c.readMessage(limits, func(n int) error {
		if memory == nil {
			memory = c.server.memory.Reserve(c.owner, budget.Body, now, c.source.abort)
		}
		return memory.Grow(time.Now(), n)
	})
	if err == nil && !memory.Keep() {
		err = budget.ErrEvicted
	}
	if err != nil {
		memory.Release()
		return nil, err
	}
	in.memory = memory
	return in, nil
}

// readMessage reads a request of which the first byte has arrived. grow reserves memory.
func (c *clientConn) readMessage(limits clientLimits, grow func(n int) error) (*inboundRequest, error) {
	var head fasthttp.RequestHeader
	if err := c.readHeader(&head, limits, grow); err != nil {
		return nil, err
	}
	if !c.state.CompareAndSwap(connReading, connBusy) {
		return nil, errNoRequest
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
	if framing.length > limits.BodyBytes {
		return nil, errBodyTooLarge
	}
	if len(head.Peek("Expect")) > 0 {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	var body budget.Pieces
	if framing.chunked || framing.length > 0 {
		c.source.watchBody(time.Now(), bodyReadTimeout(request, limits), limits.IdleTimeout)
		body, err = readBody(c.reader, framing, limits.BodyBytes, grow)
		c.source.watching = false
		if err != nil {
			return nil, c.source.cause(err)
		}
	}
	c.shrinkReader()
	request.Content = contentHash(&head, request, body.Pieces...)
	return &inboundRequest{
		readAt:       time.Now(),
		id:           gate.CallID(c.server.nextCallID.Add(1)),
		request:      request,
		head:         forwardedRequestHead(&head),
		body:         body,
		headOnly:     head.IsHead(),
		owner:        c.owner,
		lastEventID:  request.LastEventID,
		client:       c.conn,
		closeAfter:   head.ConnectionClose() || c.server.isStopping(),
		effects:      make(chan gate.Effect, effectQueueSize),
		disconnected: make(chan struct{}),
		finished:     make(chan struct{}),
	}, nil
}

// readHeader reads the header of a request. One that doesn't fit the buffer of the
// connection is read into a larger one.
func (c *clientConn) readHeader(head *fasthttp.RequestHeader, limits clientLimits, grow func(n int) error) error {
	err := head.Read(c.reader)
	var tooSmall *fasthttp.ErrSmallBuffer
	if limits.HeaderBytes <= clientReadBuffer || !errors.As(err, &tooSmall) {
		return c.source.cause(err)
	}
	if err := grow(limits.HeaderBytes); err != nil {
		return err
	}
	c.resizeReader(limits.HeaderBytes)
	head.Reset()
	return c.source.cause(head.Read(c.reader))
}

// resizeReader replaces the read buffer by one of another size.
func (c *clientConn) resizeReader(size int) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	c.source.prefix = append(append([]byte(nil), buffered...), c.source.prefix...)
	c.reader = bufio.NewReaderSize(&c.source, size)
}

// shrinkReader returns to a small read buffer after a long header.
func (c *clientConn) shrinkReader() {
	if c.reader.Size() > clientReadBuffer {
		c.resizeReader(clientReadBuffer)
	}
}

// bodyReadTimeout returns the time limit for reading the body of a request.
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

// errNoRequest reports a connection that was closed or timed out before the
// first byte of a request.
var errNoRequest = errors.New("connection ended before a request")

// rejectUnreadable responds to a request that could not be read, unless none was
// sent or the connection failed, and gives the client time to read the response.
func (c *clientConn) rejectUnreadable(err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, errNoRequest) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return
	case errors.As(err, &headerTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge) || errors.Is(err, budget.ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
		c.server.metrics.countTurnedAway(turnedAwayTooLarge)
	case errors.Is(err, budget.ErrExhausted):
		status = fasthttp.StatusServiceUnavailable
		c.server.metrics.countTurnedAway(turnedAwayMemory)
	case errors.Is(err, budget.ErrEvicted):
		status = fasthttp.StatusServiceUnavailable
		c.server.metrics.countTurnedAway(turnedAwayEvicted)
	case errors.Is(err, errBodyTooSlow):
		status = fasthttp.StatusRequestTimeout
		c.server.metrics.countTurnedAway(turnedAwaySlowBody)
	case errors.As(err, &netErr) && netErr.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &netErr):
		return
	}
	c.server.requestLog.logUnreadable(status, err)
	out := appendStatus(nil, status)
	out = appendHeader(out, "Content-Length", "0")
	if status == fasthttp.StatusServiceUnavailable {
		out = appendHeader(out, platform.HeaderRetryAfter, strconv.FormatFloat(overloadRetryAfter.Seconds(), 'f', 2, 64))
	}
	out = appendHeader(out, "Connection", "close")
	out = append(out, "\r\n"...)
	if c.conn.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	if _, err := c.conn.Write(out); err != nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.conn, maxLingerBytes) // closing with unread bytes would reset the connection
	}
}

// handleRequest processes a request until its response has ended. It reports
// whether the connection may carry another request.
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
		in.memory.Release()
		c.since.Store(time.Now().UnixNano())
		c.state.Store(connIdle)
	}()
	keepOpen := c.watchClient(in)
	<-in.finished
	return keepOpen && !in.closeAfter && !in.connBroken
}

// watchClient waits until the request has finished or the client has
// disconnected, and reports whether a next request has begun to arrive. It peeks
// at the first byte of that request but consumes nothing.
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
			// Keep waiting for the next request up to the idle timeout, or stop
			// waiting if the connection accepts no further request.
			deadline := time.Now().Add(c.server.currentLimits().IdleTimeout)
			if in.closeAfter || in.connBroken {
				deadline = time.Now()
			}
			_ = c.conn.SetReadDeadline(deadline) // if it fails, the connection is closed and Peek returns
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

// processRequest submits a request to the reducer and carries out the effects
// that the reducer returns for it.
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
			in.bufferedFailure = nil
			in.attempts++
			in.decision = e.Decision
			in.service = e.Service
			in.endpoint = e.Endpoint
			in.softwareVersions = append(in.softwareVersions, e.SoftwareVersion)
			result := s.attempt(in, e)
			in.verdict = result.Outcome.String()
			in.reason = result.Reason.String()
			result.MaxGap = in.maxWriteGap
			s.post(gate.AttemptEnded{
				Call:   in.id,
				Result: result,
			})
			if result.Outcome == gate.OutcomeComplete {
				in.sendHeld() // a slow client keeps no endpoint busy
				return
			}
			if result.Reason == gate.ReasonClientGone {
				in.connBroken = true
				return
			}
		case gate.Refuse:
			in.decision = e.Decision
			in.service = e.Decision.Service
			in.writeRefusal(e.Err)
			return
		case gate.ForwardFailure:
			in.forwardFailure()
			return
		case gate.AbortResponse:
			in.detail = e.Detail
			in.connBroken = true
			return
		}
	}
}
