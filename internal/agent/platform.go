package agent

import (
	"context"
	"time"

	"dogwoodfold/internal/plat"
)

const (
	hostsInterval = time.Second
	orderTimeout  = 2 * time.Second
)

// readHosts follows the platform's list of hosts.
func (s *Server) readHosts(ctx context.Context) {
	every(ctx, hostsInterval, func() {
		hosts, err := s.options.Hosts.List(ctx)
		if err != nil {
			s.options.Out.Warn().Err(err).Msg("agent: host list can't be read")
			return
		}
		s.loop.Post(HostsRead{Hosts: hosts})
	})
}

// readClaims follows the stream of claims.
func (s *Server) readClaims(ctx context.Context) { s.follow(ctx, plat.StreamClaims) }

// readFleet follows the stream of the fleet.
func (s *Server) readFleet(ctx context.Context) { s.follow(ctx, plat.StreamFleet) }

// follow reads a stream of the log.
func (s *Server) follow(ctx context.Context, stream string) {
	plat.Follow(ctx, s.options.Log, stream, 1,
		func(page plat.Page) {
			s.loop.Post(LogRead{
				Stream: stream,
				Page:   page,
			})
		},
		func(err error) {
			s.options.Out.Warn().Err(err).Msg("agent: log can't be read")
			s.loop.Post(LogFailed{
				Stream: stream,
				Err:    err,
			})
		})
}

// append adds a record to the log without holding up the loop.
func (s *Server) append(e Append) {
	s.appends.Go(func() {
		offset, err := s.options.Log.Append(s.base, e.Stream, e.Data)
		s.loop.Post(Appended{
			Tag:    e.Tag,
			Offset: offset,
			Err:    err,
		})
	})
}

// order sends an order to the engine without holding up the loop. It leaves at
// once or not at all, since its longest delay counts from now.
func (s *Server) order(o plat.Order) {
	s.appends.Go(func() {
		ctx, cancel := context.WithTimeout(s.base, orderTimeout)
		defer cancel()
		if err := s.options.Engine.Order(ctx, o); err != nil {
			s.options.Out.Warn().Err(err).Str("order", o.ID).Msg("agent: order has no answer or was refused")
			return
		}
		s.options.Out.Info().Str("order", o.ID).Str("action", string(o.Action)).
			Str("model", o.Model).Str("version", o.Version).Str("adapter", o.Adapter).
			Msg("agent: order sent")
	})
}
