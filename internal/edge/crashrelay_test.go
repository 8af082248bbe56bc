package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/platform/fakes"
)

// acceptEntry accepts a session of an entry as another host, within a time.
func acceptEntry(t *testing.T, listener net.Listener, host string, within time.Duration) *wire.Session {
	t.Helper()
	accepted := make(chan *wire.Session, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := wire.Accept(conn, &wirepb.Hello{Host: host, Role: roleEntry}, nil)
		if err != nil {
			return
		}
		accepted <- session
	}()
	select {
	case session := <-accepted:
		return session
	case <-time.After(within):
		t.Fatalf("the entry opens no session to %s within %v", host, within)
		return nil
	}
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// answerReport answers the first report of a session with a state that tells of a crash
// relay, and returns the report.
func answerReport(t *testing.T, session *wire.Session, relay *wirepb.GatePeer) *wirepb.GateReport {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var first *wirepb.GateReport
	_ = session.Run(ctx, func(m *wirepb.Envelope) {
		switch report := m.GetGate().GetReport(); {
		case report == nil:
		case first == nil:
			first = report
			session.Send(envelope(&wirepb.GateMessage{Body: &wirepb.GateMessage_State{State: &wirepb.GateState{
				Echo:        report.GetSequence(),
				CrashRelays: []*wirepb.GatePeer{relay},
			}}}))
		default: // the entry has read the state before
			cancel()
		}
	})
	if first == nil {
		t.Fatal("the entry sends no report")
	}
	return first
}

// Guards against an entry that stays alone with what it knows of crashes after the end of
// the leader, while the store is down.
func TestCrashRelayIsDialedWithoutLeader(t *testing.T) {
	led, relayed := listenLoopback(t), listenLoopback(t)
	store := fakes.NewStore()
	store.Put("keyed.dogwoodfold", "lease", lease.Record{
		Host:        "front-9",
		Incarnation: 9,
		PeerAddr:    netip.MustParseAddrPort(led.Addr().String()),
		Term:        1,
		DurationMs:  (2 * time.Second).Milliseconds(),
	})
	settings := testSettings(t, "front-2", netip.MustParseAddrPort(serveLoopback(t, store)))
	startServer(t, settings, 7)
	leader := acceptEntry(t, led, "front-9", 8*time.Second)
	store.SetFailStatus(http.StatusServiceUnavailable)
	report := answerReport(t, leader, &wirepb.GatePeer{
		Host:    "front-1",
		Address: relayed.Addr().String(),
	})
	if got, want := report.GetPeerAddress(), settings.PeerAddr.String(); got != want {
		t.Errorf("the entry tells that it accepts sessions at %q, want %q", got, want)
	}
	_ = led.Close()
	relay := acceptEntry(t, relayed, "front-1", 15*time.Second)
	relay.Close()
}
