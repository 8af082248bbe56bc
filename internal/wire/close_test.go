package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodfold/internal/wire/wirepb"
)

// slowCloseConn is a connection that takes its time to close.
type slowCloseConn struct{ net.Conn }

func (c slowCloseConn) Close() error {
	time.Sleep(300 * time.Millisecond)
	return c.Conn.Close()
}

func processCPUTime(t *testing.T) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// The reader of a session must not poll while the session is being closed.
func TestCloseDoesNotBusyWait(t *testing.T) {
	local, remote := net.Pipe()
	accepted := make(chan error, 1)
	go func() {
		_, err := Accept(remote, &wirepb.Hello{Host: "far"}, nil)
		accepted <- err
	}()
	s, err := handshake(slowCloseConn{local}, &wirepb.Hello{Host: "near"}, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background(), func(*wirepb.Envelope) {}) }()
	time.Sleep(50 * time.Millisecond)
	before := processCPUTime(t)
	s.Close()
	if err := <-ended; err == nil {
		t.Error("the session ended without a cause")
	}
	if used := processCPUTime(t) - before; used > 100*time.Millisecond {
		t.Errorf("closing used %v of processor time", used)
	}
}
