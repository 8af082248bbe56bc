package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodfold/internal/wire/wirepb"
)

// slowCloseConn is a connection whose Close takes 300 ms.
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

// TestCloseDoesNotBusyWait checks that the reader of a session does not busy-wait
// while the session is being closed. It would if Close shut down the multiplexer,
// for as long as the connection takes to close.
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
	runResult := make(chan error, 1)
	go func() { runResult <- s.Run(context.Background(), func(*wirepb.Envelope) {}) }()
	time.Sleep(50 * time.Millisecond)
	before := processCPUTime(t)
	s.Close()
	if err := <-runResult; err == nil {
		t.Error("Run returned no error after the session was closed")
	}
	if used := processCPUTime(t) - before; used > 100*time.Millisecond {
		t.Errorf("closing the session used %v of CPU time", used)
	}
}
