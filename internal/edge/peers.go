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
	// sessionSilence is the time without a message after which a session counts
	// as dead; its connection may be open only at this end.
	sessionSilence = 2 * time.Second
	// linkPause is the time between two attempts to reach the leader.
	linkPause = 200 * time.Millisecond
	// linkTimeout bounds one attempt.
	linkTimeout = time.Second
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
	return &watchdog{timer: time.AfterFunc(sessionSilence, session.Close)}
}

func (w *watchdog) heard() { w.timer.Reset(sessionSilence) }

func (w *watchdog) stop() { w.timer.Stop() }

// sessions are the other entries that follow this one.
type sessions struct {
	server *Server
	self   *wirepb.Hello

	mu     sync.Mutex
	byHost map[string]*wire.Session
}

func newSessions(s *Server, incarnation uint64) *sessions {
	return &sessions{
		server: s,
		self:   hello(s.settings, incarnation),
		byHost: make(map[string]*wire.Session),
	}
}

// accept serves the sessions of other entries until ctx ends.
func (ss *sessions) accept(ctx context.Context, listener net.Listener) {
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
			pause(ctx, tickPause)
			continue
		}
		group.Go(func() { ss.serve(ctx, conn) })
	}
}

func (ss *sessions) serve(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, ss.self, nil)
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
	dog := newWatchdog(session)
	err = session.Run(ctx, func(e *wirepb.Envelope) {
		dog.heard()
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
	dog.stop()
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

func (ss *sessions) send(host string, m *wirepb.GateMessage) {
	ss.mu.Lock()
	session := ss.byHost[host]
	ss.mu.Unlock()
	if session != nil {
		session.Send(envelope(m))
	}
}

// linker keeps the session to the leader.
type linker struct {
	server *Server
	self   *wirepb.Hello
	target chan gate.DialLeader

	mu      sync.Mutex
	session *wire.Session
}

func newLinker(s *Server, incarnation uint64) *linker {
	return &linker{
		server: s,
		self:   hello(s.settings, incarnation),
		target: make(chan gate.DialLeader, 1),
	}
}

// set replaces the leader. Only the newest one counts.
func (l *linker) set(e gate.DialLeader) {
	select {
	case <-l.target:
	default:
	}
	l.target <- e
}

// run keeps a session to the newest leader until ctx ends.
func (l *linker) run(ctx context.Context) {
	ended := make(chan struct{})
	close(ended)
	cancel := func() {}
	for {
		select {
		case <-ctx.Done():
			cancel()
			<-ended
			return
		case e := <-l.target:
			cancel()
			<-ended
			if !e.Address.IsValid() {
				cancel = func() {}
				continue
			}
			var linkCtx context.Context
			linkCtx, cancel = context.WithCancel(ctx)
			done := make(chan struct{})
			ended = done
			go func() {
				defer close(done)
				l.keep(linkCtx, e)
			}()
		}
	}
}

// keep connects to a leader again and again.
func (l *linker) keep(ctx context.Context, e gate.DialLeader) {
	for ctx.Err() == nil {
		l.connect(ctx, e)
		pause(ctx, jitter(linkPause))
	}
}

// connect runs one session to its end.
func (l *linker) connect(ctx context.Context, e gate.DialLeader) {
	dialCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	session, err := wire.Dial(dialCtx, e.Address, l.self, nil)
	if err != nil {
		l.server.requests.quiet(func() {
			l.server.log.Info().Err(err).Str("peer", e.Host).Msg("peers: leader not reached")
		})
		return
	}
	l.swap(session)
	l.server.post(gate.LeaderConnected{Host: e.Host})
	dog := newWatchdog(session)
	err = session.Run(ctx, func(m *wirepb.Envelope) {
		dog.heard()
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
	dog.stop()
	l.swap(nil)
	l.server.log.Info().Str("peer", e.Host).AnErr("cause", err).Msg("peers: session to the leader ended")
	l.server.post(gate.LeaderDisconnected{Host: e.Host})
}

func (l *linker) swap(session *wire.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
}

func (l *linker) send(m *wirepb.GateMessage) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session != nil {
		session.Send(envelope(m))
	}
}
