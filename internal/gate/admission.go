package gate

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

// admit checks a new request and passes it on to be charged and dispatched, or
// refuses it.
func (c *Core) admit(now time.Time, id CallID, request *Request) {
	call := &activeCall{
		id:             id,
		request:        request,
		waitingSince:   request.ArrivedAt,
		triedEndpoints: make(map[string]bool),
	}
	c.calls[id] = call
	if c.admissionClosed(now) {
		c.refuse(now, call, fault.NotRun, fault.CodeLeaving, "the entry is stopping", minRetryAfter)
		return
	}
	if c.config == nil {
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the entry has no configuration yet", staleRetryAfter)
		return
	}
	if !c.configInForce(now) {
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the configuration may have changed", staleRetryAfter)
		return
	}
	call.route = c.config.MatchRoute(request.Host, request.Path)
	if call.route == nil {
		if !c.configFresh(now) {
			c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the configuration may have changed", staleRetryAfter)
			return
		}
		c.refuse(now, call, fault.NotRun, fault.CodeNoRoute, "no route has this host and path", 0)
		return
	}
	timeout := call.route.Timeout
	if request.ClientTimeout > 0 {
		timeout = min(timeout, request.ClientTimeout)
	}
	call.deadline = request.ArrivedAt.Add(timeout)
	call.service = c.chooseService(call)
	call.plain = c.isPlain(call.service)
	if !c.authenticate(now, call) {
		return
	}
	call.setFingerprint()
	c.recordDemand(now, call)
	c.chargeCall(now, call)
}

// setFingerprint identifies a call by its customer and contents, if it has any.
func (ac *activeCall) setFingerprint() {
	if ac.request.Content == "" {
		return
	}
	customer := ""
	if ac.customer != nil {
		customer = ac.customer.Name
	}
	ac.fingerprint = poison.NewFingerprint(customer, ac.request.Content)
}

// admissionClosed reports whether the entry is stopping and admits no more
// requests.
func (c *Core) admissionClosed(now time.Time) bool {
	return c.stopping && now.Sub(c.stoppedAt) > c.settings.ShutdownAdmission
}

// authenticate sets the customer that holds the request's key and the cost of
// the request. Public routes need no key. If the key is unknown or cannot be
// checked, it refuses the request and returns false.
func (c *Core) authenticate(now time.Time, call *activeCall) bool {
	if call.route.Public || len(c.config.Customers) == 0 {
		return true
	}
	if !c.configFresh(now) {
		c.refuse(now, call, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetryAfter)
		return false
	}
	call.customer = c.config.CustomerByKey(call.request.Key)
	if call.customer == nil {
		c.refuse(now, call, fault.NotRun, fault.CodeBadKey, "no customer holds this key", 0)
		return false
	}
	call.cost = tokenCost(call.customer, call.request)
	return true
}

// tokenCost returns the number of a customer's tokens that a request uses.
func tokenCost(customer *topo.Customer, request *Request) float64 {
	if request.MaxTokens == 0 || !customer.ByTokens {
		return customer.DefaultTokens
	}
	return request.MaxTokens
}

// chooseService returns one of the services of a call's route, by weight: at random, or
// for streams that may be resumed by the request that begins the stream, so that a resumed
// one comes to the same service.
func (c *Core) chooseService(call *activeCall) string {
	targets := call.route.Targets
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total <= 0 || len(targets) == 1 {
		return targets[0].Service
	}
	n := c.random.IntN(total)
	if call.route.Kind == topo.Stream && call.route.Resumable {
		n = int(newStreamKey(call.streamID()) % streamKey(total))
	}
	for _, t := range targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

// refuseRevokedKeys refuses calls that have not been sent yet and whose key is
// no longer in the current configuration.
func (c *Core) refuseRevokedKeys(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		call := c.calls[id]
		if call.customer == nil || call.endpoint != nil {
			continue
		}
		customer := c.config.CustomerByKey(call.request.Key)
		if customer == nil {
			c.refuse(now, call, fault.NotRun, fault.CodeWithdrawn, "the key was withdrawn", 0)
			continue
		}
		call.customer = customer
	}
}
