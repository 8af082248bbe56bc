package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dogwoodfold/internal/wire/wirepb"
)

// slowClose is a connection that takes its time to close.
type slowClose struct{ net.Conn }

func (c slowClose) Close() error {
	time.Sleep(300 * time.Millisecond)
	return c.Conn.Close()
}

func cpuTime(t *testing.T) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// The reader of a session must not poll while the session is being closed.
func TestClosingUsesNoProcessorTime(t *testing.T) {
	near, far := net.Pipe()
	accepted := make(chan error, 1)
	go func() {
		_, err := Accept(far, &wirepb.Hello{Host: "far"}, nil)
		accepted <- err
	}()
	s, err := handshake(slowClose{near}, &wirepb.Hello{Host: "near"}, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background(), func(*wirepb.Envelope) {}) }()
	time.Sleep(50 * time.Millisecond)
	before := cpuTime(t)
	s.Close()
	if err := <-ended; err == nil {
		t.Error("the session ended without a cause")
	}
	if used := cpuTime(t) - before; used > 100*time.Millisecond {
		t.Errorf("closing used %v of processor time", used)
	}
}
