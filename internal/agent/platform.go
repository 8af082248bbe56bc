package agent

import (
	"context"
	"time"

	"dogwoodfold/internal/plat"
)

const (
	hostPollInterval = time.Second
	orderTimeout     = 2 * time.Second
)

// pollHosts polls the platform's list of hosts.
func (s *Server) pollHosts(ctx context.Context) {
	runEvery(ctx, hostPollInterval, func() {
		hosts, err := s.options.Hosts.List(ctx)
		if err != nil {
			s.options.Logger.Warn().Err(err).Msg("agent: reading the host list failed")
			return
		}
		s.loop.Post(HostsRead{Hosts: hosts})
	})
}

// followClaims follows the log stream of claims.
func (s *Server) followClaims(ctx context.Context) { s.followStream(ctx, plat.StreamClaims) }

// followFleet follows the log stream of the fleet.
func (s *Server) followFleet(ctx context.Context) { s.followStream(ctx, plat.StreamFleet) }

// followStream reads a log stream from its first record on.
func (s *Server) followStream(ctx context.Context, stream string) {
	plat.Follow(ctx, s.options.Log, stream, 1,
		func(page plat.Page) {
			s.loop.Post(LogRead{
				Stream: stream,
				Page:   page,
			})
		},
		func(err error) {
			s.options.Logger.Warn().Err(err).Msg("agent: reading a log stream failed")
			s.loop.Post(LogReadFailed{
				Stream: stream,
				Err:    err,
			})
		})
}

// append appends a record to the log without blocking the loop.
func (s *Server) append(record AppendRecord) {
	s.background.Go(func() {
		offset, err := s.options.Log.Append(s.runCtx, record.Stream, record.Data)
		s.loop.Post(AppendEnded{
			Tag:    record.Tag,
			Offset: offset,
			Err:    err,
		})
	})
}

// sendOrder sends an order to the engine without blocking the loop. The order
// is sent at once or not at all, since MaxOrderDelay counts from now. It may
// fail because the engine refused it or did not answer.
func (s *Server) sendOrder(order plat.Order) {
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.runCtx, orderTimeout)
		defer cancel()
		if err := s.options.Engine.Order(ctx, order); err != nil {
			s.options.Logger.Warn().Err(err).Str("order", order.ID).Msg("agent: sending an order to the engine failed")
			return
		}
		s.options.Logger.Info().Str("order", order.ID).Str("action", string(order.Action)).
			Str("model", order.Model).Str("version", order.Version).Str("adapter", order.Adapter).
			Msg("agent: order sent")
	})
}
