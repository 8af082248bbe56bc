package entry

import (
	"context"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

func (s *Server) dial(ctx context.Context, host plat.Host) (*wire.Session, error) {
	return wire.Dial(ctx, host.Address, s.options.Hello, s.options.TLS)
}

func (s *Server) sessionUp(host plat.Host, session *wire.Session) {
	s.mu.Lock()
	s.sessions[host.Name] = session
	s.mu.Unlock()
	s.loop.Post(SessionOpened{
		Host:  host.Name,
		Hello: session.Peer(),
	})
}

func (s *Server) sessionDown(host plat.Host, session *wire.Session) {
	s.mu.Lock()
	if s.sessions[host.Name] == session {
		delete(s.sessions, host.Name)
	}
	s.mu.Unlock()
	s.loop.Post(SessionClosed{
		Host:        host.Name,
		Incarnation: session.Peer().GetIncarnation(),
	})
}

// maxLinkErrorLines is the most log lines about links in a second. A host that is gone is
// dialed again and again.
const maxLinkErrorLines = 10

// logLinkError logs why a link to an agent could not be opened or has ended.
func (s *Server) logLinkError(host plat.Host, err error) {
	s.linkLog.Warn().Err(err).Str("host", host.Name).Msg("entry: link failed or ended")
}

func (s *Server) receiveMessage(host plat.Host, session *wire.Session, message *wirepb.Envelope) {
	s.loop.Post(MessageReceived{
		Host:        host.Name,
		Incarnation: session.Peer().GetIncarnation(),
		Message:     message,
	})
}

// session returns the session to an incarnation of a host, nil if there is
// none.
func (s *Server) session(host string, incarnation uint64) *wire.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.sessions[host]
	if !ok || session.Peer().GetIncarnation() != incarnation {
		return nil
	}
	return session
}

func (s *Server) sendMessage(host string, message *wirepb.Envelope) {
	s.mu.Lock()
	session := s.sessions[host]
	s.mu.Unlock()
	if session != nil {
		session.Send(message)
	}
}
