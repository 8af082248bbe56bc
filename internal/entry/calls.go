package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// running is a call that the reducer knows.
type running struct {
	Call
	attempt int
	// served is the version of the model that the attempt asks for.
	served string
	host   string
	tried  map[string]bool
	// holder is the agent process that holds the claim of the call's key, if
	// one is known.
	holder dedup.Process
	// incarnation is the agent process of the last attempt.
	incarnation uint64
	// asked is the question for the last attempt's outcome, nil if none is open.
	asked  *question
	ticket *route.SentCall
	// unsure is the failure of an attempt that may have run, nil if none has.
	unsure error
	// refused is the last refusal of an agent, nil if there was none.
	refused error
	// withdrawnAt is when the call lost its permission, toldAt when its agent
	// was last told to drop it.
	withdrawnAt time.Time
	toldAt      time.Time
}

// final returns the error that ends a call. A later refusal says nothing of an
// earlier attempt that may have run.
func (r *running) final(err error) error {
	if r.unsure != nil && fault.VerdictOf(err) == fault.NotRun {
		return r.unsure
	}
	return err
}

// unreachable returns why no agent can take a call: what the last one said, if
// any was asked.
func (r *running) unreachable() error {
	if r.refused != nil {
		return r.refused
	}
	err := fault.New(fault.NotRun, fault.CodeNoEndpoint, "no endpoint can take the call now")
	return fault.WithRetryAfter(err, noEndpointRetryAfter)
}

// arrived admits a call and sends it, or refuses it.
func (c *Core) arrived(now time.Time, call Call) []Effect {
	c.offer(call)
	if err := c.admit(now, call); err != nil {
		return refuse(call.ID, err)
	}
	if !call.Keyed {
		return c.begin(now, call)
	}
	waits, effects, err := c.reserve(now, &call)
	switch {
	case err != nil:
		return append(effects, refuse(call.ID, err)...)
	case waits:
		return effects
	default:
		return append(effects, c.begin(now, call)...)
	}
}

// begin sends a call whose tokens are reserved.
func (c *Core) begin(now time.Time, call Call) []Effect {
	r := &running{
		Call:  call,
		tried: make(map[string]bool),
	}
	c.calls[call.ID] = r
	c.budget.RecordCall(now)
	return c.send(now, r)
}

// admit says why a call can't be taken whatever its tokens are.
func (c *Core) admit(now time.Time, call Call) error {
	if c.refusing(now) {
		return fault.New(fault.NotRun, fault.CodeLeaving, "this entry is leaving")
	}
	if !c.ready || c.relay.Isolated(now) {
		return fault.New(fault.NotRun, fault.CodeNotReady, "this entry does not know the newest configuration")
	}
	return c.permitted(call)
}

// send makes the next attempt of a call, or gives it up.
func (c *Core) send(now time.Time, r *running) []Effect {
	if err := c.permitted(r.Call); err != nil {
		return c.giveUp(now, r, err)
	}
	if r.Model != "" {
		r.served = c.servedVersion(r)
	}
	peer, err := c.pick(now, r)
	if err != nil {
		return c.giveUp(now, r, err)
	}
	r.attempt++
	r.host, r.incarnation = peer.Host.Name, peer.Incarnation
	r.ticket = c.router.RecordSent(now, peer, r.query())
	return []Effect{Send{
		ID:           r.ID,
		Attempt:      r.attempt,
		Host:         peer.Host.Name,
		Incarnation:  peer.Incarnation,
		Version:      r.served,
		Weight:       c.index.Text.Customers[r.Customer].Weight,
		ConfigOffset: c.fold.Accepted,
		Cached:       r.ticket.CachedTokens,

		EntryIncarnation: r.Hold.Incarnation,
	}}
}

// pick chooses the agent of the next attempt, or says why there is none.
func (c *Core) pick(now time.Time, r *running) (*fleet.Peer, error) {
	if r.holder.Incarnation != 0 {
		return c.holding(r)
	}
	if r.Once {
		if peer := c.owner(r); peer != nil {
			return peer, nil
		}
		return nil, r.unreachable()
	}
	peer := c.router.Pick(now, r.query())
	if peer == nil {
		return nil, r.unreachable()
	}
	return peer, nil
}

// giveUp refuses a call. Its tokens are returned if it is proved not to have
// run.
func (c *Core) giveUp(now time.Time, r *running, err error) []Effect {
	err = r.final(err)
	used := 0.0
	if fault.VerdictOf(err) != fault.NotRun {
		used = r.Tokens
	}
	c.settle(now, r, used)
	return append(refuse(r.ID, err), c.finish(now)...)
}

// settle ends a call's reservation and forgets the call.
func (c *Core) settle(now time.Time, r *running, used float64) {
	if r.Keyed {
		c.charge(now, r.Call, used)
	}
	delete(c.calls, r.ID)
}

// answered ends a call, or sends it again where that is safe.
func (c *Core) answered(now time.Time, e Answered) []Effect {
	r, known := c.calls[e.ID]
	if !known || r.attempt != e.Attempt {
		return nil
	}
	c.routed(now, r, e.Outcome)
	if e.Outcome.Err == nil {
		c.settle(now, r, e.Outcome.Used)
		return c.finish(now)
	}
	if c.shouldAsk(now, r, e.Outcome) {
		return c.askFor(now, r, e.Outcome.Err)
	}
	return c.failed(now, r, e.Outcome)
}

// failed sends a call again where that is safe, or gives it up.
func (c *Core) failed(now time.Time, r *running, o Outcome) []Effect {
	r.tried[r.host] = true
	if o.Verdict == fault.NotRun {
		r.refused = o.Err
	} else {
		r.unsure = o.Err
	}
	if o.Holder.Incarnation != 0 && r.Once {
		r.holder = o.Holder
	}
	if c.mayRetry(now, r, o) {
		return c.send(now, r)
	}
	if fault.CodeOf(o.Err) == fault.CodeClaimed {
		return c.giveUp(now, r, errUnknown) // this attempt has not run, the claim's may have
	}
	return c.giveUp(now, r, o.Err)
}

// mayRetry reports whether a failed attempt may be followed by another one. A
// call that may have run is only repeated if that is safe.
func (c *Core) mayRetry(now time.Time, r *running, o Outcome) bool {
	if o.Passed || r.attempt >= maxAttempts || !now.Before(r.Deadline) {
		return false
	}
	if o.Verdict != fault.NotRun && (!c.repeatable(r.Call) || o.Verdict != fault.MayHaveRun) {
		return false
	}
	switch fault.CodeOf(o.Err) {
	case fault.CodeConflict, fault.CodeLogDown:
		return false // each agent would say the same
	case fault.CodeClaimed:
		return r.holder.Incarnation != 0 && r.holder != r.agent()
	}
	if r.holder.Incarnation != 0 {
		return false // no other agent may run it
	}
	return freeRetry(o) || c.budget.Allow(now)
}

// freeRetry reports whether the refusal cost the agent next to nothing, and
// will not come again from it.
func freeRetry(o Outcome) bool {
	code := fault.CodeOf(o.Err)
	return o.Verdict == fault.NotRun && (code == fault.CodeLeaving || code == fault.CodeLink)
}

// agent returns the process of the last attempt.
func (r *running) agent() dedup.Process {
	return dedup.Process{
		Host:        r.host,
		Incarnation: r.incarnation,
	}
}

func refuse(id string, err error) []Effect {
	return []Effect{Refuse{
		ID:  id,
		Err: err,
	}}
}
