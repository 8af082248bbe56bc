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
	if err := c.enqueue(now, call); err != nil {
		c.once.Undo(call.Key)
		return []Effect{Refuse{
			Key: call.Key,
			Err: err,
		}}
	}
	c.calls[call.Key] = call
	return c.start(now)
}

// enqueue puts a call into the queue, or says why it can't be taken.
func (c *Core) enqueue(now time.Time, call Call) error {
	r := call.Request
	if err := c.admit(r); err != nil {
		return err
	}
	queued := c.waiting.Push(now, queue.Item[uint64]{
		Value:    call.Key,
		Customer: r.GetCustomer(),
		Weight:   r.GetWeight(),
		Batch:    r.GetBatch(),
		Cost:     int(r.GetPromptTokens() + r.GetMaxTokens()),
		Deadline: now.Add(time.Duration(r.GetTimeoutMs()) * time.Millisecond),
	})
	if !queued {
		err := fault.New(fault.NotRun, fault.CodeBusy, "the endpoint's queue is full")
		return fault.WithRetryAfter(err, busyRetryAfter)
	}
	return nil
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
		item, ok := c.waiting.Pop(now)
		if !ok {
			break
		}
		c.running[item.Value] = true
		if c.once.Start(now, item.Value) {
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
	delete(c.running, key)
	delete(c.calls, key)
	c.endedAt = now
	refusal := Refuse{
		Key: key,
		Err: err,
	}
	waiters := c.once.End(now, key, dedup.Outcome{Err: err})
	return append([]Effect{refusal}, c.settle(now, waiters)...)
}

func (c *Core) ended(now time.Time, key uint64, o dedup.Outcome) []Effect {
	delete(c.running, key)
	delete(c.calls, key)
	c.endedAt = now
	effects := c.settle(now, c.once.End(now, key, o))
	return append(effects, c.start(now)...)
}

// abandoned drops a call that still waits; a running one ends by itself, a
// refused one is gone.
func (c *Core) abandoned(now time.Time, key uint64) []Effect {
	gone := fault.New(fault.NotRun, fault.CodeLink, "the entry has closed the call")
	if c.once.Leave(key) {
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
