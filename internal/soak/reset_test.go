package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A connection that the proxy resets must not look as if its target had closed it,
// whichever of the two sides is reset: a response that ends with its connection
// would look complete.
func TestProxyResetsBothSides(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "half")
		}
	}()
	for range 20 {
		p := newProxy(t, target.Addr().String())
		conn, err := net.Dial("tcp4", p.address())
		if err != nil {
			t.Fatal(err)
		}
		var half [4]byte
		if _, err := io.ReadFull(conn, half[:]); err != nil {
			t.Fatal(err)
		}
		for ended := false; !ended; {
			p.resetFraction(0.5)
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, err := conn.Read(half[:])
			if errors.Is(err, io.EOF) {
				t.Fatal("the reset connection ended like a closed one")
			}
			var netErr net.Error
			ended = !errors.As(err, &netErr) || !netErr.Timeout()
		}
	}
}
