package stock

import "time"

// Order tells an engine to load or unload an artifact.
type Order struct {
	Engine string
	Load   bool
	Artifact
	// ExpectedAccepted is the number of orders that the engine must have accepted
	// before this one.
	ExpectedAccepted int64
	// Number distinguishes the orders of a planner. An order that is resent keeps it.
	Number uint64
}

// Outcome is the result of sending an order to an engine.
type Outcome int

// Outcomes of an order.
const (
	// Unanswered orders got no response; they may take effect now or later.
	Unanswered Outcome = iota
	// Accepted orders are being executed.
	Accepted
	// AlreadyApplied orders asked for a state that the engine was already in.
	AlreadyApplied
	// Conflict means that the engine is executing another order, or that it has
	// accepted a different number of orders than expected.
	Conflict
	// Refused means that this send of the order will not be executed. Others may be.
	Refused
)

// pendingOrder is an order that has been sent and has not finished.
type pendingOrder struct {
	order Order
	// duration is the expected time from the acceptance of the order to its end.
	duration time.Duration
	// sends is how often the order was sent, outcomes how many of the sends have
	// ended and refusals how many of those are known not to be executed.
	sends    int
	outcomes int
	refusals int
	// answered is true once the engine has accepted the order or is in conflict with
	// it, accepted only in the first case.
	answered bool
	accepted bool
	// expectedAt is when the order is expected to have finished.
	expectedAt time.Time
	// resendAt is when an unanswered order is resent.
	resendAt time.Time
	// ambiguous is set after a conflict with another order; only a report tells
	// which of the two took effect.
	ambiguous bool
}

// beginOrder records an order as pending. What it loads counts as held from now
// on; what it unloads counts as held until it is known to be gone.
func (e *engine) beginOrder(now time.Time, o Order, duration time.Duration) {
	e.pending = &pendingOrder{
		order:      o,
		duration:   duration,
		sends:      1,
		expectedAt: now.Add(duration),
		resendAt:   now.Add(resendDelay),
	}
	e.service.invalidateLoads(o)
	if !o.Load {
		return
	}
	if o.Adapter == "" {
		if e.models[o.Model] == nil {
			e.models[o.Model] = make(map[string]time.Time)
		}
		return
	}
	e.models[o.Model][o.Adapter] = now
}

// resendDue reports whether the pending order must be sent again: all its sends have
// ended, and the engine has answered none of them.
func (p *pendingOrder) resendDue(now time.Time) bool {
	return !p.answered && p.outcomes == p.sends && !now.Before(p.resendAt)
}

// acceptPending records that the engine has accepted a send of the pending order. That
// send is the only one that is executed, whatever the outcomes of the others are.
func (e *engine) acceptPending(now time.Time) {
	e.pending.answered = true
	e.pending.accepted = true
	e.pending.ambiguous = false
	e.expect(now.Add(e.pending.duration))
}

// expect sets when the pending order is expected to have finished.
func (e *engine) expect(at time.Time) {
	e.pending.expectedAt = at
	e.service.invalidateLoads(e.pending.order)
}

// invalidatePending must be called when the engine becomes usable or ceases to be.
func (e *engine) invalidatePending() {
	if e.pending != nil {
		e.service.invalidateLoads(e.pending.order)
	}
}

// dropPending removes the pending order.
func (e *engine) dropPending() {
	e.service.invalidateLoads(e.pending.order)
	e.pending = nil
}

// finishOrder ends the pending order, which has been applied or never will be.
// The memory of an artifact that was unloaded is free from now on.
func (e *engine) finishOrder(now time.Time, applied bool) {
	o := e.pending.order
	e.dropPending()
	e.changedAt = now
	switch {
	case o.Load != applied: // a load that won't take effect, or an unload that did
		e.remove(o.Artifact)
	case applied && o.Adapter == "":
		e.loadedAt[o.Model] = now
	}
}
