package edge

import (
	"errors"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/platform"
)

// perform carries out one effect. It does not block the event loop: calls to the
// store and to engines run in separate goroutines.
func (s *Server) perform(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.Send:
		s.deliverEffect(e.Call, e)
	case gate.Refuse:
		s.deliverEffect(e.Call, e)
	case gate.ForwardFailure:
		s.deliverEffect(e.Call, e)
	case gate.AbortResponse:
		s.deliverEffect(e.Call, e)
	case gate.DialLeader:
		s.leaderLink.setTarget(e)
	case gate.SendReport:
		s.leaderLink.send(&wirepb.GateMessage{Body: &wirepb.GateMessage_Report{Report: e.Report}})
	case gate.RequestAssignment:
		s.leaderLink.send(&wirepb.GateMessage{Body: &wirepb.GateMessage_Ask{Ask: e.Request}})
	case gate.SendAssignment:
		s.peerSessions.send(e.Host, &wirepb.GateMessage{Body: &wirepb.GateMessage_Assignment{Assignment: e.Assignment}})
	case gate.SendState:
		s.peerSessions.send(e.Host, &wirepb.GateMessage{Body: &wirepb.GateMessage_State{State: e.State}})
	case gate.SendPoison:
		s.peerSessions.send(e.Host, &wirepb.GateMessage{Body: &wirepb.GateMessage_Poison{Poison: e.Poison}})
	case gate.SendOrder:
		go s.sendOrder(e)
	case gate.RequestEngineReport:
		go s.requestEngineReport(e)
	case gate.ProbeEngine:
		go s.probeEngine(e)
	case gate.CloseEndpoint:
		s.pool.drop(e.Endpoint)
	case gate.ScheduleTick:
		time.AfterFunc(e.After, func() { s.post(gate.Tick{}) })
	case gate.LogChange:
		s.logChange(e)
	case gate.CountTokens:
		s.metrics.countTokens(e)
	default:
		s.performOnStore(e)
	}
}

// performOnStore carries out an effect that calls the store.
func (s *Server) performOnStore(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.ReadLease:
		go s.readLease()
	case gate.AppendLease:
		go s.appendLease(e)
	case gate.RecordCrashes:
		go s.recordCrashes(e)
	case gate.ReadRegistry:
		s.registryWatch.hasten()
	case gate.LimitClients:
		s.setLimits(clientLimits{e.Limits})
	case gate.WatchStore:
		s.configWatch.set(e.Config, e.ForPeers)
		s.registryWatch.set(e.Registry, e.ForPeers)
	case gate.FetchConfig:
		go s.fetchConfig()
	}
}

// deliverEffect passes an effect to the goroutine that processes the request.
func (s *Server) deliverEffect(id gate.CallID, effect gate.Effect) {
	s.mu.Lock()
	in := s.activeRequests[id]
	s.mu.Unlock()
	if in == nil {
		return // the client has disconnected
	}
	select {
	case in.effects <- effect:
	case <-in.finished:
	}
}

// logChange logs a change in the state of the reducer.
func (s *Server) logChange(change gate.LogChange) {
	s.log.Info().Str("subject", change.Subject).Str("detail", change.Detail).Dur("ageMs", change.Age).Msg("gate: " + change.Message)
}

func (s *Server) readLease() {
	sentAt := s.clock.Now()
	read, err := s.store.NewestLease()
	s.metrics.countStoreCall("readLease", err)
	s.post(gate.LeaseRead{
		Read:   read,
		SentAt: sentAt,
		Err:    err,
	})
}

func (s *Server) appendLease(e gate.AppendLease) {
	era, err := s.store.AppendLease(e.Offset, e.Record)
	s.metrics.countStoreCall("appendLease", err)
	result := gate.AppendUnknown
	switch {
	case err == nil:
		result = gate.AppendDone
	case errors.Is(err, platform.ErrConflict):
		result = gate.AppendConflict
	case errors.Is(err, platform.ErrRefused):
		result = gate.AppendRefused
	default:
		s.log.Warn().Err(err).Int64("at", e.Offset).Msg("lease: append result unknown")
	}
	s.post(gate.LeaseAppendEnded{
		Record: e.Record,
		Offset: e.Offset,
		Era:    era,
		Result: result,
	})
}

// sendOrder sends an order to an engine, unless the lease no longer permits it.
func (s *Server) sendOrder(e gate.SendOrder) {
	if !s.clock.Now().Before(e.Until) {
		s.log.Info().Str("endpoint", e.Order.Engine).Msg("orders: lease expired before the order was sent")
		s.post(gate.OrderAnswered{
			Order:   e.Order,
			Outcome: stock.Refused,
		})
		return
	}
	result, err := s.engines.Send(platform.Order{
		InstanceID:       e.Order.Engine,
		Address:          e.Address,
		Load:             e.Order.Load,
		Model:            e.Order.Model,
		Adapter:          e.Order.Adapter,
		ExpectedAccepted: e.Order.ExpectedAccepted,
		LeaseHolder:      s.settings.Host,
		FencingToken:     e.Term,
	})
	s.metrics.countOrder(e.Order, result)
	s.log.Info().Str("endpoint", e.Order.Engine).Bool("load", e.Order.Load).Str("model", e.Order.Model).
		Str("adapter", e.Order.Adapter).Int64("accepted", e.Order.ExpectedAccepted).Int64("term", e.Term).
		Str("result", result.String()).AnErr("error", err).Msg("orders: answered")
	s.post(gate.OrderAnswered{
		Order:   e.Order,
		Outcome: orderOutcome(result),
	})
}

func orderOutcome(r platform.OrderResult) stock.Outcome {
	switch r {
	case platform.OrderAccepted:
		return stock.Accepted
	case platform.OrderAlreadySatisfied:
		return stock.AlreadyApplied
	case platform.OrderConflict:
		return stock.Conflict
	case platform.OrderRefused, platform.OrderWrongInstance, platform.OrderFenced:
		return stock.Refused
	default:
		return stock.Unanswered
	}
}

func (s *Server) requestEngineReport(e gate.RequestEngineReport) {
	sentAt := s.clock.Now()
	report, err := s.engines.Report(e.Engine, e.Address)
	if err != nil {
		s.log.Warn().Err(err).Str("endpoint", e.Engine).Msg("orders: reading the engine report failed")
		s.post(gate.EngineReported{Engine: e.Engine})
		return
	}
	s.post(gate.EngineReported{
		Engine: e.Engine,
		SentAt: sentAt,
		Report: &stock.Report{
			Incarnation:      report.Incarnation,
			Busy:             report.OrderRunning,
			AcceptedOrders:   report.AcceptedOrders,
			Holdings:         report.Holdings,
			IncomingAdapters: report.IncomingAdapters,
		},
	})
}
