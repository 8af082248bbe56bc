package entry

import (
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// noShareRetryAfter is the Retry-After of a call before the entry has a share.
const noShareRetryAfter = time.Second

// quotaState enforces the customers' rates: with a fixed share of each rate, or
// with shares that move between the entries.
type quotaState struct {
	fixed *quota.FixedLimiter
	node  *quota.Node
	// pending are the calls that wait for the coordinator's decision, by ID.
	pending map[string]Call
	// sharesReturned says that the entry has returned its shares at shutdown.
	sharesReturned bool
}

func newQuotaState(settings CoreSettings) quotaState {
	if settings.FixedShare > 0 {
		return quotaState{fixed: quota.NewFixedLimiter(settings.FixedShare)}
	}
	return quotaState{
		node:    quota.NewNode(settings.Host, settings.Incarnation, settings.Seed),
		pending: make(map[string]Call),
	}
}

// reserveTokens reserves the tokens of a call. If the call has to wait for
// tokens, it is stored as pending and resumed by a quota.Resolve.
func (c *Core) reserveTokens(now time.Time, call *Call) (pending bool, effects []Effect, err error) {
	if c.quota.node == nil {
		return false, nil, c.reserveFixed(now, call)
	}
	answer := c.quota.node.Reserve(now, call.ID, call.Customer, call.Tokens)
	call.Reservation = answer.Reservation
	pending = answer.Decision == quota.Pending
	if pending {
		c.quota.pending[call.ID] = *call
	}
	effects = c.performQuota(now, answer.Effects)
	if answer.Decision == quota.Refused {
		return false, effects, c.reservationError(answer.RetryAfter)
	}
	return pending, effects, nil
}

// reserveFixed reserves the tokens of a call from this entry's fixed share.
func (c *Core) reserveFixed(now time.Time, call *Call) error {
	reservation, retryAfter, ok := c.quota.fixed.Reserve(now, call.Customer, call.Tokens)
	if !ok {
		return rateError(retryAfter)
	}
	call.Reservation = reservation
	return nil
}

// reservationError returns why a call got no tokens.
func (c *Core) reservationError(retryAfter time.Duration) error {
	if c.quota.node != nil && !c.quota.node.HasCoordinator() {
		err := fault.New(fault.NotRun, fault.CodeNotReady, "this entry has no share of the rates yet")
		return fault.WithRetryAfter(err, noShareRetryAfter)
	}
	return rateError(retryAfter)
}

func rateError(retryAfter time.Duration) error {
	err := fault.New(fault.NotRun, fault.CodeRate, "the customer's rate and burst are spent")
	return fault.WithRetryAfter(err, retryAfter)
}

// performQuota performs the effects of the quota node.
func (c *Core) performQuota(now time.Time, quotaEffects []quota.Effect) []Effect {
	var effects []Effect
	for _, effect := range quotaEffects {
		switch e := effect.(type) {
		case quota.Send:
			effects = append(effects, SendMessage{
				Host:    e.Host,
				Message: &wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: e.Message}},
			})
		case quota.Append:
			effects = append(effects, AppendRecord{
				Tag:    "shares",
				Stream: plat.StreamFleet,
				Data:   e.Data,
			})
		case quota.Resolve:
			effects = append(effects, c.resumeCall(now, e)...)
		case quota.ReportSkipped:
			effects = append(effects, LogWarning{
				Message: "records of the shares skipped",
				Err:     e.Err,
			})
		}
	}
	return effects
}

// resumeCall dispatches or rejects a call that has waited for tokens.
func (c *Core) resumeCall(now time.Time, resolution quota.Resolve) []Effect {
	call, known := c.quota.pending[resolution.ID]
	if !known {
		return nil
	}
	delete(c.quota.pending, resolution.ID)
	if !resolution.OK {
		return append(failEffects(call.ID, rateError(resolution.Wait)), c.finishShutdown(now)...)
	}
	call.Reservation = resolution.Reservation
	return c.dispatch(now, call)
}

// settleReservation ends a reservation and corrects it to the tokens used.
func (c *Core) settleReservation(now time.Time, call Call, usedTokens float64) {
	if c.quota.node == nil {
		c.quota.fixed.Settle(now, call.Customer, call.Reservation, usedTokens)
		return
	}
	c.quota.node.Settle(now, call.Customer, call.Reservation, usedTokens)
}

// setCustomerLimits sets the customers' rates and bursts.
func (c *Core) setCustomerLimits(now time.Time, customers map[string]config.Customer) []Effect {
	limits := quota.CustomerLimits(customers)
	if c.quota.node == nil {
		c.quota.fixed.SetLimits(now, limits)
		return nil
	}
	return c.performQuota(now, c.quota.node.SetLimits(now, limits))
}

// applyQuotaEvent passes an event to the quota node.
func (c *Core) applyQuotaEvent(now time.Time, event Event) []Effect {
	node := c.quota.node
	if node == nil {
		return nil
	}
	switch e := event.(type) {
	case HostsRead:
		node.SetAgents(now, agentNames(e.Hosts))
	case LogRead:
		return c.performQuota(now, node.ApplyLog(now, e.Page))
	case SessionOpened:
		return c.updateQuotaSession(now, e.Host, e.Hello.GetIncarnation())
	case SessionClosed:
		return c.updateQuotaSession(now, e.Host, 0)
	case MessageReceived:
		message := e.Message.GetShare()
		if message.GetAck() != nil && !c.fleet.IsCurrent(e.Host, e.Incarnation) {
			return nil // the agent has restarted since and lost its view
		}
		return c.performQuota(now, node.HandleMessage(now, e.Host, message))
	case Tick:
		return c.performQuota(now, node.Tick(now))
	}
	return nil
}

// returnShares returns the shares once no new call is accepted.
func (c *Core) returnShares(now time.Time) []Effect {
	if c.quota.node == nil || c.quota.sharesReturned || !c.drainEnded(now) {
		return nil
	}
	c.quota.sharesReturned = true
	return c.performQuota(now, c.quota.node.Leave(now))
}

// updateQuotaSession reports a session to the quota node. The incarnation is 0
// if the session has ended.
func (c *Core) updateQuotaSession(now time.Time, host string, incarnation uint64) []Effect {
	peer := c.fleet.Peer(host)
	if peer == nil {
		return nil
	}
	if peer.Host.Role == plat.RoleEntry {
		return c.performQuota(now, c.quota.node.SetEntrySession(now, host, incarnation != 0))
	}
	return c.performQuota(now, c.quota.node.SetAgentSession(now, host, incarnation))
}

// agentNames returns the sorted names of the listed agents.
func agentNames(hosts []plat.Host) []string {
	var names []string
	for _, host := range hosts {
		if host.Role == plat.RoleAgent {
			names = append(names, host.Name)
		}
	}
	slices.Sort(names)
	return names
}
