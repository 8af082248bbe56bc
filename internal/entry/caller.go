package entry

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"dogwoodfold/pkg/fault"
)

// callerInterval is how often waiting calls are checked for their caller.
const callerInterval = 200 * time.Millisecond

// watchCallers cancels the calls whose caller has gone. A call that may not be
// repeated goes on, since its outcome would be unknown.
func (s *Server) watchCallers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, callerInterval)
		for _, x := range s.waitingCalls() {
			if x.call.Route.Idempotent && gone(x.conn) {
				x.cancel(fault.New(fault.MayHaveRun, fault.CodeCallerGone, "the caller has gone"))
			}
		}
	}
}

func (s *Server) waitingCalls() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make([]*exchange, 0, len(s.exchanges))
	for _, x := range s.exchanges {
		calls = append(calls, x)
	}
	return calls
}

// gone reports whether the peer has closed a TCP connection. It reads nothing.
func gone(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = n <= 0 && !waits
	})
	return closed || err != nil
}
