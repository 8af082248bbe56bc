package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"dogwoodfold/internal/clock"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/platform"
)

const (
	// sessionTimeout is the time without a message after which a session is
	// closed; its connection may be half-open after a failure of the peer.
	sessionTimeout = 2 * time.Second
	// leaderRedialInterval is the mean delay before reconnecting to the leader.
	leaderRedialInterval = 200 * time.Millisecond
	// leaderDialTimeout bounds one attempt to connect.
	leaderDialTimeout = time.Second
	// roleEntry is the role that entries announce in the handshake.
	roleEntry = "entry"
)

func envelope(m *wirepb.GateMessage) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Gate{Gate: m}}
}

// hello returns the message with which an entry identifies itself to another.
func hello(s *platform.Settings, incarnation uint64) *wirepb.Hello {
	return &wirepb.Hello{
		Host:        s.Host,
		Role:        roleEntry,
		Zone:        s.Zone,
		Incarnation: incarnation,
	}
}

// watchdog closes a session that has received no message for sessionTimeout.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(session *wire.Session) *watchdog {
	return &watchdog{timer: time.AfterFunc(sessionTimeout, session.Close)}
}

func (w *watchdog) reset() { w.timer.Reset(sessionTimeout) }

func (w *watchdog) stop() { w.timer.Stop() }

// peerSessions holds the sessions of the other entries that follow this one.
type peerSessions struct {
	server *Server
	hello  *wirepb.Hello

	mu     sync.Mutex
	byHost map[string]*wire.Session
}

func newPeerSessions(s *Server, incarnation uint64) *peerSessions {
	return &peerSessions{
		server: s,
		hello:  hello(s.settings, incarnation),
		byHost: make(map[string]*wire.Session),
	}
}

// accept accepts and serves sessions of other entries until ctx ends.
func (ss *peerSessions) accept(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			ss.server.log.Warn().Err(err).Msg("peers: accepting a connection failed")
			clock.Sleep(ctx, tickInterval)
			continue
		}
		group.Go(func() { ss.serve(ctx, conn) })
	}
}

func (ss *peerSessions) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close() // a handshake in progress fails
	})
	session, err := wire.Accept(conn, ss.hello, nil)
	stop()
	if err != nil {
		ss.server.log.Info().Err(err).Msg("peers: session handshake failed")
		return
	}
	host := session.Peer().GetHost()
	ss.mu.Lock()
	old := ss.byHost[host]
	ss.byHost[host] = session
	ss.mu.Unlock()
	if old != nil {
		old.Close()
	}
	ss.server.post(gate.PeerConnected{Host: host})
	idleTimer := newWatchdog(session)
	err = session.Run(ctx, func(m *wirepb.Envelope) {
		idleTimer.reset()
		switch body := m.GetGate().GetBody().(type) {
		case *wirepb.GateMessage_Report:
			ss.server.post(gate.ReportReceived{
				Host:   host,
				Report: body.Report,
			})
		case *wirepb.GateMessage_Ask:
			ss.server.post(gate.AssignmentRequested{
				Host:    host,
				Request: body.Ask,
			})
		}
	})
	idleTimer.stop()
	ss.mu.Lock()
	current := ss.byHost[host] == session
	if current {
		delete(ss.byHost, host)
	}
	ss.mu.Unlock()
	if current {
		ss.server.log.Info().Str("peer", host).AnErr("cause", err).Msg("peers: session ended")
		ss.server.post(gate.PeerDisconnected{Host: host})
	}
}

func (ss *peerSessions) send(host string, m *wirepb.GateMessage) {
	ss.mu.Lock()
	session := ss.byHost[host]
	ss.mu.Unlock()
	if session != nil {
		session.Send(envelope(m))
	}
}

// leaderLink maintains the session to the leader.
type leaderLink struct {
	server  *Server
	hello   *wirepb.Hello
	targets chan gate.DialLeader

	mu      sync.Mutex
	session *wire.Session
}

func newLeaderLink(s *Server, incarnation uint64) *leaderLink {
	return &leaderLink{
		server:  s,
		hello:   hello(s.settings, incarnation),
		targets: make(chan gate.DialLeader, 1),
	}
}

// setTarget replaces the leader to connect to. A target that run has not yet
// received is discarded.
func (l *leaderLink) setTarget(target gate.DialLeader) {
	select {
	case <-l.targets:
	default:
	}
	l.targets <- target
}

// run maintains a session to the most recent target until ctx ends. A target
// without a valid address means that there is no leader to connect to.
func (l *leaderLink) run(ctx context.Context) {
	sessionDone := make(chan struct{})
	close(sessionDone)
	cancel := func() {}
	for {
		select {
		case <-ctx.Done():
			cancel()
			<-sessionDone
			return
		case target := <-l.targets:
			cancel()
			<-sessionDone
			if !target.Address.IsValid() {
				cancel = func() {}
				continue
			}
			var linkCtx context.Context
			linkCtx, cancel = context.WithCancel(ctx)
			done := make(chan struct{})
			sessionDone = done
			go func() {
				defer close(done)
				l.maintain(linkCtx, target)
			}()
		}
	}
}

// maintain keeps reconnecting to a leader until ctx ends.
func (l *leaderLink) maintain(ctx context.Context, target gate.DialLeader) {
	for ctx.Err() == nil {
		l.runSession(ctx, target)
		clock.Sleep(ctx, jitter(leaderRedialInterval))
	}
}

// runSession connects to a leader and serves the session until it ends.
func (l *leaderLink) runSession(ctx context.Context, target gate.DialLeader) {
	dialCtx, cancel := context.WithTimeout(ctx, leaderDialTimeout)
	defer cancel()
	session, err := wire.Dial(dialCtx, target.Address, l.hello, nil)
	if err != nil {
		l.server.requestLog.logRepeated(func() {
			l.server.log.Info().Err(err).Str("peer", target.Host).Msg("peers: connecting to the leader failed")
		})
		return
	}
	l.setSession(session)
	l.server.post(gate.LeaderConnected{Host: target.Host})
	idleTimer := newWatchdog(session)
	err = session.Run(ctx, func(m *wirepb.Envelope) {
		idleTimer.reset()
		switch body := m.GetGate().GetBody().(type) {
		case *wirepb.GateMessage_State:
			l.server.post(gate.StateReceived{
				Host:   target.Host,
				State:  body.State,
				Config: l.decodeConfig(target.Host, body.State.GetConfig()),
			})
		case *wirepb.GateMessage_Poison:
			l.server.post(gate.PoisonReceived{
				Host:   target.Host,
				Poison: body.Poison,
			})
		case *wirepb.GateMessage_Assignment:
			l.server.post(gate.AssignmentReceived{
				Host:       target.Host,
				Assignment: body.Assignment,
			})
		}
	})
	idleTimer.stop()
	l.setSession(nil)
	l.server.log.Info().Str("peer", target.Host).AnErr("cause", err).Msg("peers: session to the leader ended")
	l.server.post(gate.LeaderDisconnected{Host: target.Host})
}

// decodeConfig decodes the configuration in a state, nil if there is none that this release can
// decode.
func (l *leaderLink) decodeConfig(host string, record []byte) *topo.Config {
	if len(record) == 0 {
		return nil
	}
	config, err := platform.DecodeConfig(record)
	if err != nil {
		l.server.log.Warn().Err(err).Str("peer", host).Msg("peers: the leader's configuration can't be decoded")
		return nil
	}
	return config
}

func (l *leaderLink) setSession(session *wire.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
}

func (l *leaderLink) send(m *wirepb.GateMessage) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session != nil {
		session.Send(envelope(m))
	}
}
