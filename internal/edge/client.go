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

// limits bound what clients may send.
type limits struct{ topo.Limits }

// defaultLimits hold until there is a configuration.
var defaultLimits = limits{topo.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}}

const (
	// clientBuffer is the least read buffer of a client's connection.
	clientBuffer = 4 << 10
	// lingerTime lets a client read an answer to a request that wasn't read whole.
	lingerTime = 500 * time.Millisecond
	lingerSize = 1 << 20
	// commandBacklog is more than a request has commands at once.
	commandBacklog = 4
)

// clientConn is a client's connection.
type clientConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	// busy is true from the first byte of a request to the end of its answer.
	busy atomic.Bool
}

// accept serves the clients of a listener until ctx ends.
func (s *Server) accept(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("entry: a connection could not be accepted")
			time.Sleep(tickPause)
			continue
		}
		c := &clientConn{
			server: s,
			conn:   conn,
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve(ctx)
	}
}

// closeConns ends all connections of clients.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close() // the process ends
	}
}

// closeIdle takes no more clients, ends the connections on which no request has
// begun, so that clients open new ones elsewhere, and returns how many are left.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients != nil {
		_ = s.clients.Close() // it may be closed already
		s.clients = nil
	}
	left := 0
	for c := range s.conns {
		if c.busy.Load() {
			left++
			continue
		}
		_ = c.conn.Close() // a request that crosses this isn't passed on
	}
	return left
}

func (s *Server) limits() limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// serve reads requests one after the other and waits for their answers.
func (c *clientConn) serve(ctx context.Context) {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		_ = c.conn.Close() // it may have been closed by the other side
	}()
	c.reader = bufio.NewReaderSize(c.conn, max(clientBuffer, c.server.limits().HeaderBytes))
	for ctx.Err() == nil {
		in, err := c.read()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.answer(in) {
			return
		}
	}
}

// read waits for a request and reads it whole.
func (c *clientConn) read() (*inbound, error) {
	bounds := c.server.limits()
	if err := c.conn.SetReadDeadline(time.Now().Add(bounds.IdleTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errIdle
	}
	c.busy.Store(true)
	if err := c.conn.SetReadDeadline(time.Now().Add(bounds.HeaderTimeout)); err != nil {
		return nil, err
	}
	var head fasthttp.RequestHeader
	if err := head.Read(c.reader); err != nil {
		return nil, err
	}
	arrived := c.server.clock.Now()
	frame, err := readFraming(&head)
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
	if err := c.conn.SetReadDeadline(time.Now().Add(bodyTime(request, bounds))); err != nil {
		return nil, err
	}
	body, err := readBody(c.reader, frame, bounds.BodyBytes)
	if err != nil {
		return nil, err
	}
	return &inbound{
		readAt:    time.Now(),
		id:        gate.CallID(c.server.nextCall.Add(1)),
		request:   request,
		head:      forwardHead(&head),
		body:      body,
		lastEvent: peek(&head, platform.HeaderLastEventID),
		client:    c.conn,
		closing:   head.ConnectionClose() || c.server.isStopping(),
		commands:  make(chan gate.Effect, commandBacklog),
		gone:      make(chan struct{}),
		finished:  make(chan struct{}),
	}, nil
}

// bodyTime bounds the reading of a body.
func bodyTime(r *gate.Request, bounds limits) time.Duration {
	if r.ClientTimeout > 0 {
		return r.ClientTimeout
	}
	return bounds.IdleTimeout
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// errIdle ends a connection on which no request has begun.
var errIdle = errors.New("no request")

// reject answers a request that could not be read, if that makes sense, and
// lets the client read the answer.
func (c *clientConn) reject(err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, errIdle) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &network):
		return
	}
	c.server.requests.rejected(status, err)
	out := appendStatus(nil, status)
	out = appendHeader(out, "Content-Length", "0")
	out = appendHeader(out, "Connection", "close")
	out = append(out, "\r\n"...)
	if c.conn.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	if _, err := c.conn.Write(out); err != nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.conn, lingerSize) // unread bytes would reset the answer
	}
}

// answer has a request decided and answered. It reports whether the connection
// may carry another one.
func (c *clientConn) answer(in *inbound) bool {
	s := c.server
	s.mu.Lock()
	s.calls[in.id] = in
	s.mu.Unlock()
	go func() {
		defer close(in.finished)
		s.process(in)
		s.mu.Lock()
		delete(s.calls, in.id)
		s.mu.Unlock()
		s.finishRequest(in)
		c.busy.Store(false)
	}()
	keep := c.watch(in)
	<-in.finished
	return keep && !in.closing && !in.broken
}

// watch waits for the end of a request, or for the client to leave. Only the
// first byte of a next request is read ahead.
func (c *clientConn) watch(in *inbound) bool {
	if c.conn.SetReadDeadline(time.Time{}) != nil {
		in.abandon()
		return false
	}
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		select {
		case <-in.finished:
			// The wait for the next byte goes on with the idle timeout, or ends
			// where no next request is taken.
			until := time.Now().Add(c.server.limits().IdleTimeout)
			if in.closing || in.broken {
				until = time.Now()
			}
			_ = c.conn.SetReadDeadline(until) // a closed connection ends the wait
		case <-c.server.ctx.Done():
		}
	}()
	_, err := c.reader.Peek(1)
	select {
	case <-in.finished:
		<-idle
		return err == nil
	default:
	}
	if err != nil {
		in.abandon()
		return false
	}
	<-in.finished
	<-idle
	return true
}

// process carries out what is decided on a request.
func (s *Server) process(in *inbound) {
	s.post(gate.RequestArrived{
		Call:    in.id,
		Request: in.request,
	})
	for {
		var command gate.Effect
		select {
		case command = <-in.commands:
		case <-in.gone:
			s.post(gate.ClientDisconnected{Call: in.id})
			in.broken = true
			return
		}
		switch e := command.(type) {
		case gate.Send:
			in.held = nil
			in.tries++
			in.basis = e.Basis
			in.service = e.Service
			in.sentTo = e.Endpoint
			result := s.attempt(in, e)
			in.verdict = result.Outcome.String()
			in.reason = result.Reason.String()
			result.MaxGap = in.pause
			s.post(gate.AttemptEnded{
				Call:   in.id,
				Result: result,
			})
			if result.Outcome == gate.OutcomeComplete {
				return
			}
			if result.Reason == gate.ReasonClientGone {
				in.broken = true
				return
			}
		case gate.Refuse:
			in.basis = e.Basis
			in.refuse(e.Err)
			return
		case gate.PassFailure:
			in.pass()
			return
		default: // gate.Cut
			in.broken = true
			return
		}
	}
}
