package wire_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// sessionPair returns both ends of a session over the loopback interface.
func sessionPair(t *testing.T) (dialed, accepted *wire.Session) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	result := make(chan *wire.Session, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			result <- nil
			return
		}
		s, err := wire.Accept(conn, &wirepb.Hello{Host: "agent"}, nil)
		if err != nil {
			s = nil
		}
		result <- s
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	dialed, err = wire.Dial(context.Background(), address, &wirepb.Hello{Host: "entry"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	accepted = <-result
	if accepted == nil {
		t.Fatal("session was not accepted")
	}
	t.Cleanup(dialed.Close)
	t.Cleanup(accepted.Close)
	return dialed, accepted
}

func TestHelloIdentifiesPeer(t *testing.T) {
	dialed, accepted := sessionPair(t)
	if dialed.Peer().GetHost() != "agent" || accepted.Peer().GetHost() != "entry" {
		t.Errorf("peers = %q, %q; want agent, entry", dialed.Peer().GetHost(), accepted.Peer().GetHost())
	}
}

func TestControlMessage(t *testing.T) {
	dialed, accepted := sessionPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan *wirepb.Envelope, 1)
	for _, s := range []*wire.Session{dialed, accepted} {
		go func() { _ = s.Run(ctx, func(e *wirepb.Envelope) { got <- e }) }()
	}
	dialed.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Heartbeat{
		Heartbeat: &wirepb.Heartbeat{ConfigOffset: 7},
	}})
	if e := <-got; e.GetHeartbeat().GetConfigOffset() != 7 {
		t.Errorf("received %v, want a heartbeat with configuration offset 7", e)
	}
}

func TestCallRejectsUnexpectedFrame(t *testing.T) {
	dialed, accepted := sessionPair(t)
	call, err := dialed.OpenCall()
	if err != nil {
		t.Fatal(err)
	}
	if err := call.SendRequest(&wirepb.CallRequest{Id: "a"}); err != nil {
		t.Fatal(err)
	}
	served, err := accepted.AcceptCall(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := served.ReceiveRequest(); err != nil {
		t.Fatal(err)
	}
	if err := served.SendFrame(&wirepb.CallFrame{}); err != nil {
		t.Fatal(err)
	}
	if _, err := call.ReceiveFrame(); err != nil {
		t.Fatal(err)
	}
	if err := served.SendRequest(&wirepb.CallRequest{Id: "b"}); err != nil {
		t.Fatal(err)
	}
	if _, err := call.ReceiveFrame(); !errors.Is(err, wire.ErrUnexpectedFrame) {
		t.Errorf("frame of another call: %v, want ErrUnexpectedFrame", err)
	}
}
