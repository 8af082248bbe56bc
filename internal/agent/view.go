package agent

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newGuard returns what enforces the view of entries, nil if none is needed.
func newGuard(s CoreSettings) *quota.Guard {
	if s.StaticRates {
		return nil
	}
	return quota.NewGuard(s.Incarnation)
}

// shareReceived takes over a view and tells which one is in force, or takes part
// in finding out which terms are.
func (c *Core) shareReceived(now time.Time, e Received) []Effect {
	if c.guard == nil {
		return nil
	}
	var effects []Effect
	switch body := e.Message.GetShare().GetBody().(type) {
	case *wirepb.ShareMessage_View:
		ack := c.guard.Install(now, body.View)
		effects = append(effects, tellShare(e.Session, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Ack{Ack: ack}}))
		if question := c.guard.WitnessQuery(now); question != nil {
			effects = append(effects, tellWitness(e.Session, question))
		}
	case *wirepb.ShareMessage_Witness:
		if answer := c.guard.HandleWitness(body.Witness); answer != nil {
			effects = append(effects, tellWitness(e.Session, answer))
		}
	}
	return effects
}

func tellWitness(session uint64, w *wirepb.ShareWitness) Effect {
	return tellShare(session, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: w}})
}

func tellShare(session uint64, m *wirepb.ShareMessage) Effect {
	return Tell{
		Session: session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: m}},
	}
}

// readViews takes over a page of the stream of views.
func (c *Core) readViews(page plat.Page) {
	if c.guard != nil {
		c.guard.ApplyLog(page)
	}
}

// checkEntry refuses calls that spend a customer's tokens if the entry that
// reserved them is not in the view.
func (c *Core) checkEntry(r *wirepb.CallRequest) error {
	if c.guard == nil || r.GetCustomer() == "" || c.guard.Admits(r.GetEntry(), r.GetEntryIncarnation()) {
		return nil
	}
	return fault.New(fault.NotRun, fault.CodeFenced, "the entry is not in the endpoint's view")
}
