package entry

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const (
	// dropGrace is how long an agent has to say that a call without permission
	// was still waiting, before the call is canceled.
	dropGrace = 500 * time.Millisecond
	// dropRepeat is how often an agent is told again.
	dropRepeat = 500 * time.Millisecond
)

// permitted says why the configuration in force does not allow a call that an
// earlier one may have allowed. Every attempt is checked.
func (c *Core) permitted(call Call) error {
	if err := c.allowed(call); err != nil {
		return err
	}
	if call.Route.Path == "" {
		return nil
	}
	if route, ok := c.routeNow(call); !ok || route.Service != call.Route.Service {
		return fault.New(fault.NotRun, fault.CodeNoRoute, "the route was changed")
	}
	return nil
}

// allowed checks a call's key, customer and permissions.
func (c *Core) allowed(call Call) error {
	if !call.Keyed {
		if route, ok := c.routeNow(call); ok && route.Access == config.AccessKeyed {
			return fault.New(fault.NotRun, fault.CodeNoKey, "the route asks for a key now")
		}
		return nil
	}
	if name, ok := c.index.Customer(call.Key); !ok || name != call.Customer {
		return fault.New(fault.NotRun, fault.CodeWithdrawn, "the key was withdrawn")
	}
	customer := c.index.Text.Customers[call.Customer]
	if call.Route.Service != "" && !customer.MayCall(call.Route.Service) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not call this service any more")
	}
	if call.Model != "" && !customer.MayUse(call.Model) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not use this model any more")
	}
	return nil
}

// routeNow returns the route in force at the path of a call's route.
func (c *Core) routeNow(call Call) (config.Route, bool) {
	for _, route := range c.index.Text.Routes {
		if route.Path == call.Route.Path {
			return route, true
		}
	}
	return config.Route{}, false
}

// repeatable reports whether a call may run again: both the configuration that
// it came under and the one in force must say so.
func (c *Core) repeatable(call Call) bool {
	if route, ok := c.routeNow(call); ok && !route.Idempotent {
		return false
	}
	return call.Route.Idempotent
}

// withdraw tells the agents to drop the running calls that have lost their
// permission.
func (c *Core) withdraw(now time.Time) []Effect {
	var effects []Effect
	c.withdrawn = c.withdrawn[:0]
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		r := c.calls[id]
		if c.allowed(r.Call) == nil {
			r.withdrawnAt = time.Time{}
			continue
		}
		c.withdrawn = append(c.withdrawn, id)
		if r.withdrawnAt.IsZero() {
			r.withdrawnAt = now
			effects = append(effects, r.drop(now))
		}
	}
	return effects
}

// drop tells the agent that a call has lost its permission.
func (r *running) drop(now time.Time) Effect {
	r.toldAt = now
	message := &wirepb.FoldMessage{Body: &wirepb.FoldMessage_Drop{Drop: &wirepb.FoldDrop{Id: r.ID}}}
	return Tell{
		Host:    r.host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: message}},
	}
}

// cancelWithdrawn cancels the calls without permission that have not been
// dropped in their queue. One that may not be repeated is left to finish if it
// has started; its agent is told again in case the first word was lost.
func (c *Core) cancelWithdrawn(now time.Time) []Effect {
	var effects []Effect
	for _, id := range c.withdrawn {
		r, running := c.calls[id]
		if !running || now.Sub(r.toldAt) < dropRepeat {
			continue
		}
		if !r.cancelable() {
			effects = append(effects, r.drop(now))
			continue
		}
		if now.Sub(r.withdrawnAt) >= dropGrace {
			r.toldAt = now
			effects = append(effects, Cancel{
				ID:  r.ID,
				Err: fault.New(fault.MayHaveRun, fault.CodeWithdrawn, "the key was withdrawn"),
			})
		}
	}
	return effects
}

// cancelable reports whether a running call may be cut: a model's answer and
// what may be repeated.
func (r *running) cancelable() bool { return r.Model != "" || r.Route.Idempotent }
