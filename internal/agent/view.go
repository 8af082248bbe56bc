package agent

import (
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
	return quota.NewGuard()
}

// viewed takes over a view and tells which one is in force.
func (c *Core) viewed(e Received) []Effect {
	view := e.Message.GetShare().GetView()
	if view == nil || c.guard == nil {
		return nil
	}
	ack := &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Ack{Ack: c.guard.Install(view)}}
	return []Effect{Tell{
		Session: e.Session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: ack}},
	}}
}

// readViews takes over a page of the stream of views.
func (c *Core) readViews(page plat.Page) {
	if c.guard != nil {
		c.guard.Read(page)
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
