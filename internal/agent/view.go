package agent

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newGuard returns the guard that enforces the membership view of the entries,
// nil if none is needed.
func newGuard(settings CoreSettings) *quota.Guard {
	if settings.FixedShares {
		return nil
	}
	return quota.NewGuard(settings.Incarnation)
}

// handleShareMessage installs a view and acknowledges the one in force, or
// takes part in the exchange by which agents learn the terms in force.
func (c *Core) handleShareMessage(now time.Time, e MessageReceived) []Effect {
	if c.guard == nil {
		return nil
	}
	var effects []Effect
	switch body := e.Message.GetShare().GetBody().(type) {
	case *wirepb.ShareMessage_View:
		ack := c.guard.Install(now, body.View)
		effects = append(effects, shareMessage(e.Session, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Ack{Ack: ack}}))
		if query := c.guard.WitnessQuery(now); query != nil {
			effects = append(effects, witnessMessage(e.Session, query))
		}
	case *wirepb.ShareMessage_Witness:
		if reply := c.guard.HandleWitness(body.Witness); reply != nil {
			effects = append(effects, witnessMessage(e.Session, reply))
		}
	}
	return effects
}

func witnessMessage(session uint64, witness *wirepb.ShareWitness) Effect {
	return shareMessage(session, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Witness{Witness: witness}})
}

func shareMessage(session uint64, message *wirepb.ShareMessage) Effect {
	return SendMessage{
		Session: session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: message}},
	}
}

// applyViews applies a page of the log stream that carries the views.
func (c *Core) applyViews(page plat.Page) []Effect {
	if c.guard == nil {
		return nil
	}
	skipped := c.guard.ApplyLog(page)
	if skipped == nil {
		return nil
	}
	return []Effect{LogWarning{
		Message: "records of the shares skipped",
		Err:     skipped,
	}}
}

// checkEntry returns an error for a call that spends a customer's tokens if the
// entry that reserved them is not in the view.
func (c *Core) checkEntry(request *wirepb.CallRequest) error {
	if c.guard == nil || request.GetCustomer() == "" || c.guard.Admits(request.GetEntry(), request.GetEntryIncarnation()) {
		return nil
	}
	return fault.New(fault.NotRun, fault.CodeFenced, "the entry is not in the endpoint's view")
}
