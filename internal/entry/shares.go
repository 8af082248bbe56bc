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

// noShareRetryAfter is what callers are told before an entry has a share.
const noShareRetryAfter = time.Second

// shares limits the customers: by shares that move between the entries, or by
// a fixed share of each rate.
type shares struct {
	fixed *quota.FixedLimiter
	node  *quota.Node
	// asking are the calls that wait for the coordinator's answer.
	asking map[string]Call
	// left says that the shares were handed back.
	left bool
}

func newShares(s CoreSettings) shares {
	if s.Share > 0 {
		return shares{fixed: quota.NewFixedLimiter(s.Share)}
	}
	return shares{
		node:   quota.NewNode(s.Host, s.Incarnation, s.Seed),
		asking: make(map[string]Call),
	}
}

// reserve takes a call's tokens. A call that waits for more is noted; it goes
// on with a Decide.
func (c *Core) reserve(now time.Time, call *Call) (waits bool, effects []Effect, err error) {
	var wait time.Duration
	decision := quota.Admitted
	if c.shares.node == nil {
		var ok bool
		if call.Hold, wait, ok = c.shares.fixed.Reserve(now, call.Customer, call.Tokens); !ok {
			decision = quota.Refused
		}
	} else {
		var out []quota.Effect
		decision, call.Hold, wait, out = c.shares.node.Reserve(now, call.ID, call.Customer, call.Tokens)
		if decision == quota.Pending {
			c.shares.asking[call.ID] = *call
		}
		effects = c.shared(now, out)
	}
	if decision == quota.Refused {
		return false, effects, c.refusal(wait)
	}
	return decision == quota.Pending, effects, nil
}

// refusal says why a call gets no tokens.
func (c *Core) refusal(wait time.Duration) error {
	if c.shares.node != nil && !c.shares.node.HasCoordinator() {
		err := fault.New(fault.NotRun, fault.CodeNotReady, "this entry has no share of the rates yet")
		return fault.WithRetryAfter(err, noShareRetryAfter)
	}
	return rateError(wait)
}

func rateError(wait time.Duration) error {
	err := fault.New(fault.NotRun, fault.CodeRate, "the customer's rate and burst are spent")
	return fault.WithRetryAfter(err, wait)
}

// shared carries out what the node wants.
func (c *Core) shared(now time.Time, out []quota.Effect) []Effect {
	var effects []Effect
	for _, effect := range out {
		switch e := effect.(type) {
		case quota.Send:
			effects = append(effects, Tell{
				Host:    e.Host,
				Message: &wirepb.Envelope{Body: &wirepb.Envelope_Share{Share: e.Message}},
			})
		case quota.Append:
			effects = append(effects, Append{
				Tag:    "shares",
				Stream: plat.StreamFleet,
				Data:   e.Data,
			})
		case quota.Resolve:
			effects = append(effects, c.decided(now, e)...)
		}
	}
	return effects
}

// decided goes on with a call that has waited for tokens.
func (c *Core) decided(now time.Time, d quota.Resolve) []Effect {
	call, known := c.shares.asking[d.ID]
	if !known {
		return nil
	}
	delete(c.shares.asking, d.ID)
	if !d.OK {
		return append(refuse(call.ID, rateError(d.Wait)), c.finish(now)...)
	}
	call.Hold = d.Reservation
	return c.begin(now, call)
}

// charge ends a reservation, of which less or more was used.
func (c *Core) charge(now time.Time, call Call, used float64) {
	if c.shares.node == nil {
		c.shares.fixed.Settle(now, call.Customer, call.Hold, used)
		return
	}
	c.shares.node.Settle(now, call.Customer, call.Hold, used)
}

// limit takes over the customers' rates and bursts.
func (c *Core) limit(now time.Time, customers map[string]config.Customer) []Effect {
	limits := quota.CustomerLimits(customers)
	if c.shares.node == nil {
		c.shares.fixed.SetLimits(now, limits)
		return nil
	}
	return c.shared(now, c.shares.node.SetLimits(now, limits))
}

// shareEvent passes an event to the node.
func (c *Core) shareEvent(now time.Time, event Event) []Effect {
	n := c.shares.node
	if n == nil {
		return nil
	}
	switch e := event.(type) {
	case HostsRead:
		n.SetAgents(now, agentNames(e.Hosts))
	case LogRead:
		return c.shared(now, n.ApplyLog(now, e.Page))
	case LinkUp:
		return c.shareLinked(now, e.Host, e.Hello.GetIncarnation())
	case LinkDown:
		return c.shareLinked(now, e.Host, 0)
	case Received:
		m := e.Message.GetShare()
		if m.GetAck() != nil && !c.fleet.IsCurrent(e.Host, e.Incarnation) {
			return nil // the agent has restarted since, without a view
		}
		return c.shared(now, n.HandleMessage(now, e.Host, m))
	case Tick:
		return c.shared(now, n.Tick(now))
	}
	return nil
}

// leaveShares hands the shares back once no new call is taken.
func (c *Core) leaveShares(now time.Time) []Effect {
	if c.shares.node == nil || c.shares.left || !c.refusing(now) {
		return nil
	}
	c.shares.left = true
	return c.shared(now, c.shares.node.Leave(now))
}

// shareLinked notes a session that came up, or ended if incarnation is 0.
func (c *Core) shareLinked(now time.Time, host string, incarnation uint64) []Effect {
	peer := c.fleet.Peer(host)
	if peer == nil {
		return nil
	}
	if peer.Host.Role == plat.RoleEntry {
		return c.shared(now, c.shares.node.SetEntrySession(now, host, incarnation != 0))
	}
	return c.shared(now, c.shares.node.SetAgentSession(now, host, incarnation))
}

// agentNames returns the names of the listed agents.
func agentNames(hosts []plat.Host) []string {
	var names []string
	for _, h := range hosts {
		if h.Role == plat.RoleAgent {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}
