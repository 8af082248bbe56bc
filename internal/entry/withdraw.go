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
	// dropGracePeriod is how long an agent has to report that it has dropped a
	// call without permission from its queue. After that, a
	// cancelable call is canceled.
	dropGracePeriod = 500 * time.Millisecond
	// dropResendInterval is how often a drop message is repeated.
	dropResendInterval = 500 * time.Millisecond
)

// authorizeCall returns why the effective configuration does not permit a call
// that an earlier one may have permitted. It is called before every attempt.
func (c *Core) authorizeCall(call Call) error {
	if err := c.authorizeCustomer(call); err != nil {
		return err
	}
	if call.Route.Path == "" {
		return nil
	}
	if route, ok := c.currentRoute(call); !ok || route.Service != call.Route.Service {
		return fault.New(fault.NotRun, fault.CodeNoRoute, "the route was changed")
	}
	return nil
}

// authorizeCustomer checks the API key, the customer and the customer's
// permissions for a call.
func (c *Core) authorizeCustomer(call Call) error {
	if !call.Authenticated {
		if route, ok := c.currentRoute(call); ok && route.Access == config.AccessKeyed {
			return fault.New(fault.NotRun, fault.CodeNoKey, "the route asks for a key now")
		}
		return nil
	}
	if name, ok := c.index.Customer(call.KeyDigest); !ok || name != call.Customer {
		return fault.New(fault.NotRun, fault.CodeWithdrawn, "the key was withdrawn")
	}
	customer := c.index.Config.Customers[call.Customer]
	if call.Route.Service != "" && !customer.MayCall(call.Route.Service) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not call this service any more")
	}
	if call.Model != "" && !customer.MayUse(call.Model) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not use this model any more")
	}
	return nil
}

// currentRoute returns the effective route with the path of a call's route.
func (c *Core) currentRoute(call Call) (config.Route, bool) {
	for _, route := range c.index.Config.Routes {
		if route.Path == call.Route.Path {
			return route, true
		}
	}
	return config.Route{}, false
}

// isIdempotent reports whether a call may run again: both the configuration at
// its arrival and the effective one must permit that.
func (c *Core) isIdempotent(call Call) bool {
	if route, ok := c.currentRoute(call); ok && !route.Idempotent {
		return false
	}
	return call.Route.Idempotent
}

// revokeCalls tells the agents to drop the active calls that are no longer
// permitted.
func (c *Core) revokeCalls(now time.Time) []Effect {
	var effects []Effect
	c.revokedCalls = c.revokedCalls[:0]
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		call := c.calls[id]
		if c.authorizeCustomer(call.Call) == nil {
			call.revokedAt = time.Time{}
			continue
		}
		c.revokedCalls = append(c.revokedCalls, id)
		if call.revokedAt.IsZero() {
			call.revokedAt = now
			effects = append(effects, call.sendDrop(now))
		}
	}
	return effects
}

// sendDrop returns the message that tells the agent to drop a call if it is
// still queued, and records when it was sent.
func (a *activeCall) sendDrop(now time.Time) Effect {
	a.dropSentAt = now
	message := &wirepb.FoldMessage{Body: &wirepb.FoldMessage_Drop{Drop: &wirepb.FoldDrop{Id: a.ID}}}
	return SendMessage{
		Host:    a.host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: message}},
	}
}

// cancelRevoked cancels the calls without permission that their agents have not
// dropped from the queue. A non-idempotent call is left to finish if it has
// started; the drop message is repeated in case it was lost.
func (c *Core) cancelRevoked(now time.Time) []Effect {
	var effects []Effect
	for _, id := range c.revokedCalls {
		call, known := c.calls[id]
		if !known || now.Sub(call.dropSentAt) < dropResendInterval {
			continue
		}
		if !call.isCancelable() {
			effects = append(effects, call.sendDrop(now))
			continue
		}
		if now.Sub(call.revokedAt) >= dropGracePeriod {
			call.dropSentAt = now
			effects = append(effects, CancelAttempt{
				ID:  call.ID,
				Err: fault.New(fault.MayHaveRun, fault.CodeWithdrawn, "the key was withdrawn"),
			})
		}
	}
	return effects
}

// isCancelable reports whether a running call may be interrupted: a model's
// response or an idempotent call.
func (a *activeCall) isCancelable() bool { return a.Model != "" || a.Route.Idempotent }
