package entry

import (
	"context"
	"net"
	"sync"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire"
	"dogwoodfold/internal/wire/wirepb"
)

// acceptPeers takes sessions that other entries dial. Each entry sends on the
// sessions that it dialed itself, so an accepted one is only read.
func (s *Server) acceptPeers(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.options.Logger.Error().Err(err).Msg("entry: peers can't be accepted")
			}
			return
		}
		sessions.Go(func() { s.servePeer(ctx, conn) })
	}
}

// servePeer reads the messages of one entry.
func (s *Server) servePeer(ctx context.Context, conn net.Conn) {
	session, err := wire.Accept(conn, s.options.Hello, s.options.TLS)
	if err != nil {
		s.options.Logger.Warn().Err(err).Msg("entry: session refused")
		return
	}
	host := plat.Host{Name: session.Peer().GetHost()}
	_ = session.Run(ctx, func(m *wirepb.Envelope) { s.receiveMessage(host, session, m) })
}
