package entry

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/pkg/fault"
)

const (
	// bodyCopies is how often a body is held at once: as it was read, in the message to the
	// agent, and in that message's encoding.
	bodyCopies = 3
	// memoryRetryAfter is the Retry-After of a call that the memory didn't suffice for.
	memoryRetryAfter = time.Second
)

// readBody reads the body of a request and reserves memory for it as it arrives. A call
// whose body can't be read has not run.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (*budget.Reservation, error) {
	if !ctx.Request.IsBodyStream() {
		return nil, nil
	}
	conn := ctx.Conn()
	memory := s.memory.Reserve(ownerOf(conn), budget.Body, time.Now(), func() {
		_ = conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
	})
	grow := func(n int) error { return memory.Grow(time.Now(), n*bodyCopies) }
	body, err := budget.Read(ctx.RequestBodyStream(), max(ctx.Request.Header.ContentLength(), -1), maxRequestBytes, grow)
	if memory.Evicted() || err == nil && !memory.Keep() {
		err = budget.ErrEvicted
	}
	if err != nil {
		memory.Release()
		ctx.SetConnectionClose() // the rest of the body may follow
		return nil, bodyError(err)
	}
	ctx.Request.SetBodyRaw(body.Bytes())
	return memory, nil
}

// expectDeclaredLength makes the HTTP library call checkDeclaredLength for a body that is
// declared to be too long. Otherwise the library waits for the first bytes of a body before
// it calls the handler.
func expectDeclaredLength(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() > maxRequestBytes {
		header.Set(fasthttp.HeaderExpect, "100-continue")
	}
	return fasthttp.RequestConfig{}
}

// checkDeclaredLength rejects a body that is declared to be too long before it is read, and
// accepts others that ask for it.
func checkDeclaredLength(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() <= maxRequestBytes {
		return fasthttp.StatusContinue
	}
	writeError(ctx, bodyError(budget.ErrTooLarge))
	return fasthttp.StatusRequestEntityTooLarge
}

// bodyError returns the error of a call whose body could not be read.
func bodyError(err error) error {
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return fault.New(fault.NotRun, fault.CodeTooLarge, "the body is too large")
	case errors.Is(err, budget.ErrExhausted), errors.Is(err, budget.ErrEvicted):
		return fault.WithRetryAfter(fault.New(fault.NotRun, fault.CodeBusy, err.Error()), memoryRetryAfter)
	default:
		// The library's error may quote the request, including an API key.
		return fault.New(fault.NotRun, fault.CodeBadRequest, "the request can't be read")
	}
}

// ownerOf returns the address of a caller.
func ownerOf(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

const (
	// callerWriteTimeout bounds a write to a caller that does not read, in addition to the
	// time that a caller with minCallerRate takes for it.
	callerWriteTimeout = 10 * time.Second
	// minCallerRate is the number of bytes per second that a caller must read. The slowest
	// mobile links are about as fast, and buffers of the system are filled in advance.
	minCallerRate = 4 << 10
)

// callerListener accepts connections that give up callers that don't read.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return callerConn{conn}, nil
}

// callerConn is a connection whose writes end when the caller reads too slowly.
type callerConn struct{ net.Conn }

// Write implements net.Conn.
func (c callerConn) Write(p []byte) (int, error) {
	timeout := callerWriteTimeout + time.Duration(len(p))*time.Second/minCallerRate
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c callerConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
