package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// arrived queues a call or refuses it.
func (c *Core) arrived(now time.Time, call Call) []Effect {
	r := call.Request
	if err := c.admit(r); err != nil {
		return []Effect{Refuse{
			Key: call.Key,
			Err: err,
		}}
	}
	item := itemOf(now, call)
	if c.hopeless(now, item) {
		err := fault.New(fault.NotRun, fault.CodeBusy, "the queue is longer than the time to the deadline")
		return []Effect{c.busy(call.Key, err)}
	}
	c.shares.seen(now, item)
	displaced, queued := c.waiting.Push(now, item)
	if !queued {
		return []Effect{c.busy(call.Key, fault.New(fault.NotRun, fault.CodeBusy, "the endpoint's queue is full"))}
	}
	c.calls[call.Key] = call
	var effects []Effect
	for _, d := range displaced {
		delete(c.calls, d.Value)
		err := fault.New(fault.NotRun, fault.CodeBusy, "the queue is full and other customers have less of it")
		effects = append(effects, c.busy(d.Value, err))
	}
	return append(effects, c.start(now)...)
}

// busy refuses a call that was not started and tells when to come back.
func (c *Core) busy(key uint64, err error) Effect {
	return Refuse{
		Key: key,
		Err: fault.WithRetryAfter(err, c.pace.retryAfter(c.waiting.Cost())),
	}
}

// hopeless reports whether a call that has to wait can't end by its deadline.
// One that starts at once is never refused, so a wrong pace corrects itself.
func (c *Core) hopeless(now time.Time, item queue.Item[uint64]) bool {
	wait := c.pace.wait(c.waiting.Ahead(item))
	return wait > 0 && now.Add(wait+c.pace.service(item.Cost)).After(item.Deadline)
}

// admit says why a call can't be taken, nil if it can.
func (c *Core) admit(r *wirepb.CallRequest) error {
	if c.leaving {
		return fault.New(fault.NotRun, fault.CodeLeaving, "the endpoint is leaving")
	}
	if r.GetAgentIncarnation() != c.incarnation {
		return fault.New(fault.NotRun, fault.CodeLink, "the call was for an earlier agent")
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
		item, ok := c.waiting.PopOf(now, func(name string) bool { return c.shares.may(now, name) })
		if !ok {
			break
		}
		if c.waiting.Len() > 0 && now.Add(c.pace.service(item.Cost)).After(item.Deadline) {
			c.waiting.Settle(item, 0)
			delete(c.calls, item.Value)
			err := fault.New(fault.NotRun, fault.CodeBusy, "the call can't end by its deadline any more")
			effects = append(effects, c.busy(item.Value, err))
			continue
		}
		c.running[item.Value] = true
		c.shares.begin(now, item.Customer)
		r := c.calls[item.Value].Request
		c.pace.begin(now, item, int(r.GetPromptTokens())-int(r.GetCachedTokens()))
		effects = append(effects, Start{Key: item.Value})
	}
	return effects
}

// expire refuses the calls whose deadline has passed.
func (c *Core) expire(now time.Time) []Effect {
	var effects []Effect
	late := c.waiting.Remove(func(i queue.Item[uint64]) bool { return !now.Before(i.Deadline) })
	for _, item := range late {
		delete(c.calls, item.Value)
		effects = append(effects, Refuse{
			Key: item.Value,
			Err: fault.New(fault.NotRun, fault.CodeDeadline, "the deadline passed in the queue"),
		})
	}
	return effects
}

func (c *Core) ended(now time.Time, e Ended) []Effect {
	if item, ran := c.pace.end(now, e.Key, e.Used > 0); ran {
		c.shares.end(now, item.Customer)
		if e.Used > 0 {
			c.waiting.Settle(item, e.Used)
		}
	}
	delete(c.running, e.Key)
	delete(c.calls, e.Key)
	return append(c.start(now), c.finish()...)
}

// abandoned drops a call that still waits; a running one ends by itself, a
// refused one is gone.
func (c *Core) abandoned(now time.Time, key uint64) []Effect {
	removed := c.waiting.Remove(func(i queue.Item[uint64]) bool { return i.Value == key })
	if len(removed) == 0 {
		return nil
	}
	delete(c.calls, key)
	refusal := Refuse{
		Key: key,
		Err: fault.New(fault.NotRun, fault.CodeLink, "the entry has closed the call"),
	}
	return append([]Effect{refusal}, append(c.start(now), c.finish()...)...)
}
