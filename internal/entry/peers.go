package entry

import (
	"context"
	"net"
	"sync"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// acceptPeers accepts sessions from other entries. Each entry sends only on the
// sessions that it dialed itself, so accepted ones are only read.
func (s *Server) acceptPeers(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.options.Logger.Error().Err(err).Msg("entry: accepting peer connections failed")
			}
			return
		}
		sessions.Go(func() { s.servePeer(ctx, conn) })
	}
}

// servePeer reads the messages of another entry.
func (s *Server) servePeer(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, s.options.Hello, s.options.TLS)
	if err != nil {
		s.options.Logger.Warn().Err(err).Msg("entry: session handshake with a peer failed")
		return
	}
	host := plat.Host{Name: session.Peer().GetHost()}
	_ = session.Run(ctx, func(m *wirepb.Envelope) { s.receiveMessage(host, session, m) })
}
