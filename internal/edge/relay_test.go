package edge

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/platform/fakes"
)

// runPeer runs the other entry's end of a session, which passes what it is told of crashes
// to the channel.
func runPeer(ctx context.Context, session *wire.Session, told chan<- *wirepb.GatePoison) {
	_ = session.Run(ctx, func(m *wirepb.Envelope) {
		if news := m.GetGate().GetPoison(); len(news.GetCrashes()) > 0 {
			told <- news
		}
	})
}

// Guards against an entry that doesn't lead and keeps what the one that it follows tells of
// crashes from those that follow it.
func TestCrashesAreToldWithoutLeader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	store := fakes.NewStore()
	store.Put("keyed.dogwoodfold", "lease", lease.Record{
		Host:        "front-9",
		Incarnation: 9,
		PeerAddr:    netip.MustParseAddrPort(listener.Addr().String()),
		Term:        1,
		DurationMs:  time.Hour.Milliseconds(),
	})
	settings := testSettings(t, "front-1", netip.MustParseAddrPort(serveLoopback(t, store)))
	startServer(t, settings, 7)
	followed := make(chan *wire.Session, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := wire.Accept(conn, &wirepb.Hello{Host: "front-9", Role: roleEntry}, nil)
		if err != nil {
			return
		}
		followed <- session
		runPeer(ctx, session, make(chan *wirepb.GatePoison, 1))
	}()
	var leader *wire.Session
	select {
	case leader = <-followed:
	case <-time.After(8 * time.Second):
		t.Fatal("the entry doesn't follow the holder of the lease")
	}
	follower, err := wire.Dial(ctx, settings.PeerAddr, &wirepb.Hello{Host: "front-8", Role: roleEntry}, nil)
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan *wirepb.GatePoison, 1)
	go runPeer(ctx, follower, told)
	crash := &wirepb.GateCrash{
		Endpoint: "shop-1",
		Born:     1,
		Parts:    []uint64{5},
	}
	leader.Send(envelope(&wirepb.GateMessage{Body: &wirepb.GateMessage_Poison{
		Poison: &wirepb.GatePoison{Crashes: []*wirepb.GateCrash{crash}},
	}}))
	select {
	case news := <-told:
		if got := news.GetCrashes()[0]; got.GetEndpoint() != crash.GetEndpoint() || len(got.GetParts()) != 1 {
			t.Errorf("told of %v, want %v", got, crash)
		}
	case <-time.After(8 * time.Second):
		t.Error("the crash is not told to the entry that follows")
	}
}
