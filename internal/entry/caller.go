package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"dogwoodfold/internal/clock"
	"dogwoodfold/pkg/fault"
)

// callerCheckInterval is how often the connections of active calls are checked
// for a disconnected caller.
const callerCheckInterval = 200 * time.Millisecond

// cancelDisconnected cancels the calls whose caller has disconnected. A
// non-idempotent call continues, because canceling it would leave its outcome
// unknown.
func (s *Server) cancelDisconnected(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, callerCheckInterval)
		for _, ex := range s.activeExchanges() {
			if ex.call.Route.Idempotent && peerClosed(ex.conn) {
				ex.cancel(fault.New(fault.MayHaveRun, fault.CodeCallerGone, "the caller has gone"))
			}
		}
	}
}

func (s *Server) activeExchanges() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	exchanges := make([]*exchange, 0, len(s.exchanges))
	for _, ex := range s.exchanges {
		exchanges = append(exchanges, ex)
	}
	return exchanges
}

// peerClosed reports whether the peer has closed a TCP connection. It peeks at
// the socket and consumes no data.
func peerClosed(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rawConn.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = n <= 0 && !wouldBlock
	})
	return closed || err != nil
}
