package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/platform"
)

const (
	// sessionTimeout is the time without a message after which a session counts
	// as dead; its connection may be open only at this end.
	sessionTimeout = 2 * time.Second
	// leaderRedialInterval is the time between two attempts to reach the leader.
	leaderRedialInterval = 200 * time.Millisecond
	// leaderDialTimeout bounds one attempt.
	leaderDialTimeout = time.Second
	// roleEntry is how entries introduce themselves.
	roleEntry = "entry"
)

func envelope(m *wirepb.GateMessage) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Gate{Gate: m}}
}

// hello is how an entry introduces itself to another one.
func hello(s *platform.Settings, incarnation uint64) *wirepb.Hello {
	return &wirepb.Hello{
		Host:        s.Host,
		Role:        roleEntry,
		Zone:        s.Zone,
		Incarnation: incarnation,
	}
}

// watchdog closes a session that has received nothing for a while.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(session *wire.Session) *watchdog {
	return &watchdog{timer: time.AfterFunc(sessionTimeout, session.Close)}
}

func (w *watchdog) reset() { w.timer.Reset(sessionTimeout) }

func (w *watchdog) stop() { w.timer.Stop() }

// peerSessions are the other entries that follow this one.
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

// accept serves the sessions of other entries until ctx ends.
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
			ss.server.log.Warn().Err(err).Msg("peers: a connection could not be accepted")
			sleepContext(ctx, tickInterval)
			continue
		}
		group.Go(func() { ss.serve(ctx, conn) })
	}
}

func (ss *peerSessions) serve(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, ss.hello, nil)
	if err != nil {
		ss.server.log.Info().Err(err).Msg("peers: no session")
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
	timeout := newWatchdog(session)
	err = session.Run(ctx, func(e *wirepb.Envelope) {
		timeout.reset()
		switch body := e.GetGate().GetBody().(type) {
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
	timeout.stop()
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

// leaderLink keeps the session to the leader.
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

// setTarget replaces the leader. Only the newest one counts.
func (l *leaderLink) setTarget(e gate.DialLeader) {
	select {
	case <-l.targets:
	default:
	}
	l.targets <- e
}

// run keeps a session to the newest leader until ctx ends.
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
		case e := <-l.targets:
			cancel()
			<-sessionDone
			if !e.Address.IsValid() {
				cancel = func() {}
				continue
			}
			var linkCtx context.Context
			linkCtx, cancel = context.WithCancel(ctx)
			done := make(chan struct{})
			sessionDone = done
			go func() {
				defer close(done)
				l.maintain(linkCtx, e)
			}()
		}
	}
}

// maintain connects to a leader again and again.
func (l *leaderLink) maintain(ctx context.Context, e gate.DialLeader) {
	for ctx.Err() == nil {
		l.runSession(ctx, e)
		sleepContext(ctx, jitter(leaderRedialInterval))
	}
}

// runSession runs one session to its end.
func (l *leaderLink) runSession(ctx context.Context, e gate.DialLeader) {
	dialCtx, cancel := context.WithTimeout(ctx, leaderDialTimeout)
	defer cancel()
	session, err := wire.Dial(dialCtx, e.Address, l.hello, nil)
	if err != nil {
		l.server.requestLog.logRepeated(func() {
			l.server.log.Info().Err(err).Str("peer", e.Host).Msg("peers: leader not reached")
		})
		return
	}
	l.setSession(session)
	l.server.post(gate.LeaderConnected{Host: e.Host})
	timeout := newWatchdog(session)
	err = session.Run(ctx, func(m *wirepb.Envelope) {
		timeout.reset()
		switch body := m.GetGate().GetBody().(type) {
		case *wirepb.GateMessage_State:
			l.server.post(gate.StateReceived{
				Host:  e.Host,
				State: body.State,
			})
		case *wirepb.GateMessage_Assignment:
			l.server.post(gate.AssignmentReceived{
				Host:       e.Host,
				Assignment: body.Assignment,
			})
		}
	})
	timeout.stop()
	l.setSession(nil)
	l.server.log.Info().Str("peer", e.Host).AnErr("cause", err).Msg("peers: session to the leader ended")
	l.server.post(gate.LeaderDisconnected{Host: e.Host})
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
