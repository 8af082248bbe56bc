package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// arrived queues a call or refuses it.
func (c *Core) arrived(now time.Time, call Call) []Effect {
	r := call.Request
	if r.GetAgentIncarnation() != c.incarnation {
		return []Effect{Refuse{
			Key: call.Key,
			Err: fault.New(fault.NotRun, fault.CodeLink, "the call was for an earlier agent"),
		}}
	}
	if effects, decided := c.known(now, call); decided {
		return effects
	}
	displaced, err := c.enqueue(now, call)
	if err != nil {
		c.once.Discard(call.Key)
		return []Effect{Refuse{
			Key: call.Key,
			Err: err,
		}}
	}
	return append(displaced, c.start(now)...)
}

// enqueue puts a call into the queue and refuses those that it displaces, or
// says why it can't be taken.
func (c *Core) enqueue(now time.Time, call Call) ([]Effect, error) {
	if err := c.admit(call.Request); err != nil {
		return nil, err
	}
	item := itemOf(now, call)
	if c.hopeless(now, item) {
		return nil, c.busy("the queue is longer than the time to the deadline")
	}
	c.shares.seen(now, item)
	displaced, queued := c.waiting.Push(now, item)
	if !queued {
		return nil, c.busy("the endpoint's queue is full")
	}
	c.calls[call.Key] = call
	var effects []Effect
	for _, d := range displaced {
		effects = append(effects, c.refuse(now, d.Value, c.busy("the queue is full and other customers have less of it"))...)
	}
	return effects, nil
}

// busy returns the refusal of a call that was not started, with the time after
// which to come back.
func (c *Core) busy(message string) error {
	err := fault.New(fault.NotRun, fault.CodeBusy, message)
	return fault.WithRetryAfter(err, c.pace.retryAfter(c.waiting.TotalCost()))
}

// hopeless reports whether a call that has to wait can't end by its deadline.
// One that starts at once is never refused, so a wrong pace corrects itself.
func (c *Core) hopeless(now time.Time, item queue.Item[uint64]) bool {
	wait := c.pace.wait(c.waiting.CostAhead(item))
	return wait > 0 && now.Add(wait+c.pace.service(item.Cost)).After(item.Deadline)
}

// admit says why a call can't be taken, nil if it can.
func (c *Core) admit(r *wirepb.CallRequest) error {
	if c.leaving {
		return fault.New(fault.NotRun, fault.CodeLeaving, "the endpoint is leaving")
	}
	if err := c.checkEntry(r); err != nil {
		return err
	}
	if !c.plain && !c.holds(r) {
		return fault.New(fault.NotRun, fault.CodeNoEndpoint, "the endpoint does not hold the model")
	}
	return nil
}

// holds reports whether the engine has the model, version and adapter ready.
func (c *Core) holds(r *wirepb.CallRequest) bool {
	model, adapter := false, r.GetAdapter() == ""
	for _, resident := range c.serving() {
		if !resident.Ready || resident.Model != r.GetModel() || resident.Version != r.GetVersion() {
			continue
		}
		model = model || resident.Adapter == ""
		adapter = adapter || resident.Adapter == r.GetAdapter()
	}
	return model && adapter
}

// start runs waiting calls while there are slots, and drops late ones.
func (c *Core) start(now time.Time) []Effect {
	effects := c.expire(now)
	for len(c.running) < c.slots {
		item, ok := c.waiting.PopEligible(now, func(name string) bool { return c.shares.may(now, name) })
		if !ok {
			break
		}
		if c.waiting.Len() > 0 && now.Add(c.pace.service(item.Cost)).After(item.Deadline) {
			c.waiting.RecordUsage(item, 0)
			effects = append(effects, c.refuse(now, item.Value, c.busy("the call can't end by its deadline any more"))...)
			continue
		}
		c.running[item.Value] = true
		c.shares.begin(now, item.Customer)
		r := c.calls[item.Value].Request
		c.pace.begin(now, item, int(r.GetPromptTokens())-int(r.GetCachedTokens()))
		if c.once.TryStart(now, item.Value) {
			effects = append(effects, Start{Key: item.Value})
		}
	}
	return append(effects, c.flush(now)...)
}

// expire refuses the calls whose deadline has passed.
func (c *Core) expire(now time.Time) []Effect {
	var effects []Effect
	late := c.waiting.Remove(func(i queue.Item[uint64]) bool { return !now.Before(i.Deadline) })
	for _, item := range late {
		effects = append(effects, c.refuse(now, item.Value,
			fault.New(fault.NotRun, fault.CodeDeadline, "the deadline passed in the queue"))...)
	}
	return effects
}

// refuse ends a call that has not started.
func (c *Core) refuse(now time.Time, key uint64, err error) []Effect {
	c.release(now, key, 0)
	refusal := Refuse{
		Key: key,
		Err: err,
	}
	waiters := c.once.Finish(now, key, dedup.Outcome{Err: err})
	return append([]Effect{refusal}, c.settle(now, waiters)...)
}

// release frees what a call has held. used is its work in tokens, 0 without a
// whole answer.
func (c *Core) release(now time.Time, key uint64, used int) {
	if item, ran := c.pace.end(now, key, used > 0); ran {
		c.shares.end(now, item.Customer)
		if used > 0 {
			c.waiting.RecordUsage(item, used)
		}
	}
	delete(c.running, key)
	delete(c.calls, key)
	c.endedAt = now
}

func (c *Core) ended(now time.Time, e Ended) []Effect {
	c.release(now, e.Key, e.Used)
	effects := c.settle(now, c.once.Finish(now, e.Key, e.Outcome))
	return append(effects, c.start(now)...)
}

// abandoned drops a call that still waits; a running one ends by itself, a
// refused one is gone.
func (c *Core) abandoned(now time.Time, key uint64) []Effect {
	gone := fault.New(fault.NotRun, fault.CodeLink, "the entry has closed the call")
	if c.once.RemoveWaiter(key) {
		delete(c.calls, key)
		return []Effect{Refuse{
			Key: key,
			Err: gone,
		}}
	}
	removed := c.waiting.Remove(func(i queue.Item[uint64]) bool { return i.Value == key })
	if len(removed) == 0 {
		return nil
	}
	return append(c.refuse(now, key, gone), c.start(now)...)
}
