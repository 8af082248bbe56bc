package link_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"dogwoodfold/internal/link"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// listen starts a server and returns its host and the sessions that it accepts.
func listen(t *testing.T) (plat.Host, <-chan *wire.Session) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan *wire.Session, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if s, err := wire.Accept(conn, &wirepb.Hello{Host: "agent"}, nil); err == nil {
				accepted <- s
			}
		}
	}()
	return plat.Host{
		Name:    "agent",
		Address: netip.MustParseAddrPort(listener.Addr().String()),
	}, accepted
}

// TestPoolReconnects checks that the pool reconnects after the peer has closed
// the session, and closes the session when its target is removed.
func TestPoolReconnects(t *testing.T) {
	host, accepted := listen(t)
	up := make(chan plat.Host, 8)
	down := make(chan plat.Host, 8)
	p := link.New(
		func(ctx context.Context, h plat.Host) (*wire.Session, error) {
			return wire.Dial(ctx, h.Address, &wirepb.Hello{Host: "entry"}, nil)
		},
		link.Handler{
			OnUp:      func(h plat.Host, _ *wire.Session) { up <- h },
			OnDown:    func(h plat.Host, _ *wire.Session) { down <- h },
			OnMessage: func(plat.Host, *wire.Session, *wirepb.Envelope) {},
			OnError:   func(plat.Host, error) {},
		})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	p.SetTargets([]plat.Host{host})
	<-up
	(<-accepted).Close()
	<-down
	<-up
	p.SetTargets(nil)
	<-down
	cancel()
	<-p.Done()
}

// TestPoolEndsSessionBeforeNext removes a target and adds it again while its session
// is still being opened. The end of that session must be reported before the start of
// the next one, or it would be taken for the end of the next.
func TestPoolEndsSessionBeforeNext(t *testing.T) {
	host, _ := listen(t)
	dialing := make(chan struct{}, 8)
	release := make(chan struct{})
	events := make(chan string, 8)
	p := link.New(
		func(_ context.Context, h plat.Host) (*wire.Session, error) {
			dialing <- struct{}{}
			<-release
			return wire.Dial(context.Background(), h.Address, &wirepb.Hello{Host: "entry"}, nil)
		},
		link.Handler{
			OnUp:      func(plat.Host, *wire.Session) { events <- "up" },
			OnDown:    func(plat.Host, *wire.Session) { events <- "down" },
			OnMessage: func(plat.Host, *wire.Session, *wirepb.Envelope) {},
			OnError:   func(plat.Host, error) {},
		})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	p.SetTargets([]plat.Host{host})
	<-dialing
	other := host
	other.Name = "other"
	p.SetTargets([]plat.Host{other}) // its dial shows that the set was applied
	<-dialing
	p.SetTargets([]plat.Host{host, other})
	time.Sleep(50 * time.Millisecond)
	close(release)
	linked := 0
	for range 4 { // the canceled session up and down, the next one and the other up
		if <-events == "up" {
			linked++
		} else {
			linked--
		}
		if linked > 2 {
			t.Fatal("a session began before the end of the one before")
		}
	}
	cancel()
	<-p.Done()
}

// A host that can't be dialed, and one whose session ends, must be reported with the
// reason, or a broken link can't be explained afterwards.
func TestPoolReportsWhySessionsEnd(t *testing.T) {
	host, accepted := listen(t)
	failures := make(chan error, 8)
	errRefused := errors.New("refused")
	dials := 0
	p := link.New(
		func(ctx context.Context, h plat.Host) (*wire.Session, error) {
			if dials++; dials == 1 {
				return nil, errRefused
			}
			return wire.Dial(ctx, h.Address, &wirepb.Hello{Host: "entry"}, nil)
		},
		link.Handler{
			OnUp:      func(plat.Host, *wire.Session) {},
			OnDown:    func(plat.Host, *wire.Session) {},
			OnMessage: func(plat.Host, *wire.Session, *wirepb.Envelope) {},
			OnError:   func(_ plat.Host, err error) { failures <- err },
		})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	p.SetTargets([]plat.Host{host})
	if err := <-failures; !errors.Is(err, errRefused) {
		t.Errorf("reported %v, want the error of the dial", err)
	}
	session := <-accepted
	session.Close()
	if err := <-failures; err == nil {
		t.Error("the end of the session has no reason")
	}
}
