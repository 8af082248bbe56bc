package edge

import (
	"errors"
	"time"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/platform"
)

// perform carries out one effect. It doesn't block: calls run beside the loop.
func (s *Server) perform(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.Send:
		s.command(e.Call, e)
	case gate.Refuse:
		s.command(e.Call, e)
	case gate.PassFailure:
		s.command(e.Call, e)
	case gate.AbortResponse:
		s.command(e.Call, e)
	case gate.ReadLease:
		go s.readLease()
	case gate.AppendLease:
		go s.appendLease(e)
	case gate.DialLeader:
		s.link.set(e)
	case gate.SendReport:
		s.link.send(&wirepb.GateMessage{Body: &wirepb.GateMessage_Report{Report: e.Report}})
	case gate.RequestAssignment:
		s.link.send(&wirepb.GateMessage{Body: &wirepb.GateMessage_Ask{Ask: e.Request}})
	case gate.SendAssignment:
		s.sessions.send(e.Host, &wirepb.GateMessage{Body: &wirepb.GateMessage_Assignment{Assignment: e.Assignment}})
	case gate.SendState:
		s.sessions.send(e.Host, &wirepb.GateMessage{Body: &wirepb.GateMessage_State{State: e.State}})
	case gate.SendOrder:
		go s.giveOrder(e)
	case gate.QueryEngine:
		go s.askEngine(e)
	case gate.WatchStore:
		s.configTap.set(e.Config, e.ForPeers)
		s.registryTap.set(e.Registry, e.ForPeers)
	case gate.FetchConfig:
		go s.fetchConfig()
	case gate.CloseEndpoint:
		s.pool.drop(e.Endpoint)
	case gate.ScheduleTick:
		time.AfterFunc(e.After, func() { s.post(gate.Tick{}) })
	case gate.LogChange:
		s.note(e)
	}
}

// command hands a decision to its request.
func (s *Server) command(id gate.CallID, effect gate.Effect) {
	s.mu.Lock()
	in := s.calls[id]
	s.mu.Unlock()
	if in == nil {
		return // the client has left
	}
	select {
	case in.commands <- effect:
	case <-in.finished:
	}
}

// note logs a change of what the entry believes.
func (s *Server) note(n gate.LogChange) {
	s.log.Info().Str("subject", n.Subject).Str("detail", n.Detail).Dur("ageMs", n.Age).Msg("gate: " + n.Message)
}

func (s *Server) readLease() {
	sent := s.clock.Now()
	read, err := s.store.NewestLease()
	s.metrics.storeCall("readLease", err)
	s.post(gate.LeaseRead{
		Record:    read.Newest,
		Offset:    read.NewestOffset,
		EndOffset: read.EndOffset,
		Exists:    read.Exists,
		SentAt:    sent,
		Err:       err,
	})
}

func (s *Server) appendLease(e gate.AppendLease) {
	err := s.store.AppendLease(e.Offset, e.Record)
	s.metrics.storeCall("appendLease", err)
	result := gate.AppendUnknown
	switch {
	case err == nil:
		result = gate.AppendDone
	case errors.Is(err, platform.ErrConflict):
		result = gate.AppendConflict
	case errors.Is(err, platform.ErrRefused):
		result = gate.AppendRefused
	default:
		s.log.Warn().Err(err).Int64("at", e.Offset).Msg("lease: append without an answer")
	}
	s.post(gate.LeaseAppendEnded{
		Record: e.Record,
		Offset: e.Offset,
		Result: result,
	})
}

// giveOrder sends an order, unless the lease has lapsed meanwhile.
func (s *Server) giveOrder(e gate.SendOrder) {
	if !s.clock.Now().Before(e.Until) {
		s.log.Info().Str("endpoint", e.Order.Engine).Msg("orders: lease lapsed before an order was sent")
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
	s.metrics.order(e.Order, result)
	s.log.Info().Str("endpoint", e.Order.Engine).Bool("load", e.Order.Load).Str("model", e.Order.Model).
		Str("adapter", e.Order.Adapter).Int64("accepted", e.Order.ExpectedAccepted).Int64("term", e.Term).
		Str("result", result.String()).AnErr("error", err).Msg("orders: answered")
	s.post(gate.OrderAnswered{
		Order:   e.Order,
		Outcome: outcomeOf(result),
	})
}

func outcomeOf(r platform.OrderResult) stock.Outcome {
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

func (s *Server) askEngine(e gate.QueryEngine) {
	report, err := s.engines.Report(e.Engine, e.Address)
	if err != nil {
		s.log.Warn().Err(err).Str("endpoint", e.Engine).Msg("orders: no report")
		s.post(gate.EngineReported{Engine: e.Engine})
		return
	}
	s.post(gate.EngineReported{
		Engine: e.Engine,
		Report: &stock.Report{
			Busy:           report.OrderRunning,
			AcceptedOrders: report.AcceptedOrders,
			Holdings:       report.Holdings,
		},
	})
}
