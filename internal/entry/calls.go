package entry

import (
	"time"

	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// running is a call that the reducer knows.
type running struct {
	Call
	attempt int
	host    string
	tried   map[string]bool
	// unsure is the failure of an attempt that may have run, nil if none has.
	unsure error
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
	return c.send(now, r)
}

// admit says why a call can't be taken whatever its tokens are.
func (c *Core) admit(now time.Time, call Call) error {
	if c.leaving {
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
	version := ""
	if r.Model != "" {
		version = c.servedVersion(r)
	}
	peer := c.router.Pick(now, route.Query{
		Service: r.Route.Service,
		Model:   r.Model,
		Version: version,
		Adapter: r.Adapter,
		Tokens:  int(r.Tokens),
		Tried:   r.tried,
	})
	if peer == nil {
		err := fault.New(fault.NotRun, fault.CodeNoEndpoint, "no endpoint can take the call now")
		return c.giveUp(now, r, fault.WithRetryAfter(err, noEndpointRetryAfter))
	}
	r.attempt++
	r.host = peer.Host.Name
	peer.Sent++
	peer.SentTokens += int(r.Tokens)
	return []Effect{Send{
		ID:           r.ID,
		Attempt:      r.attempt,
		Host:         peer.Host.Name,
		Incarnation:  peer.Incarnation,
		Version:      version,
		Weight:       c.index.Text.Customers[r.Customer].Weight,
		ConfigOffset: c.fold.Accepted,

		EntryIncarnation: r.Hold.Incarnation,
	}}
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
	return append(refuse(r.ID, err), c.finish()...)
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
	if peer := c.fleet.Peer(r.host); peer != nil {
		peer.Sent = max(0, peer.Sent-1)
		peer.SentTokens = max(0, peer.SentTokens-int(r.Tokens))
	}
	if e.Outcome.Err == nil {
		c.settle(now, r, e.Outcome.Used)
		return c.finish()
	}
	r.tried[r.host] = true
	if e.Outcome.Verdict != fault.NotRun {
		r.unsure = e.Outcome.Err
	}
	if c.mayRetry(now, r, e.Outcome) {
		return c.send(now, r)
	}
	return c.giveUp(now, r, e.Outcome.Err)
}

// mayRetry reports whether a failed attempt may be followed by another one.
func (c *Core) mayRetry(now time.Time, r *running, o Outcome) bool {
	if o.Passed || r.attempt >= maxAttempts || !now.Before(r.Deadline) {
		return false
	}
	return o.Verdict == fault.NotRun || (c.repeatable(r.Call) && o.Verdict == fault.MayHaveRun)
}

func refuse(id string, err error) []Effect {
	return []Effect{Refuse{
		ID:  id,
		Err: err,
	}}
}
