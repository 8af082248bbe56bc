package agent

import (
	"net"
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/wire/wirepb"
)

// startEndpoint serves a handler on the loopback interface and returns its
// address.
func startEndpoint(t *testing.T, handler fasthttp.RequestHandler) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestCanceledConnectionIsNotReused closes each call at its last frame, as an
// entry does, and checks that no later call is sent on a connection that was
// closed in this way.
func TestCanceledConnectionIsNotReused(t *testing.T) {
	s := New(Options{Endpoint: startEndpoint(t, fakes.NewService().Handler())})
	for range 200 {
		closed := make(chan struct{})
		err := s.forward(closed, &wirepb.CallRequest{
			Method:     "POST",
			Path:       "/charge",
			TimeoutMs:  10_000,
			Idempotent: true,
		}, func(f *wirepb.CallFrame) error {
			if f.GetEnd() != nil {
				close(closed)
			}
			return nil
		})
		if err != nil {
			t.Fatalf("call on a reused connection: %v", err)
		}
	}
}
