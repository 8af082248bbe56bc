package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// handleArrival queues a call or refuses it.
func (c *Core) handleArrival(now time.Time, call Call) []Effect {
	request := call.Request
	if request.GetAgentIncarnation() != c.incarnation {
		return []Effect{Refuse{
			Key: call.Key,
			Err: fault.New(fault.NotRun, fault.CodeLink, "the call was for an earlier agent"),
		}}
	}
	if effects, decided := c.checkDuplicate(now, call); decided {
		return effects
	}
	displaced, err := c.enqueue(now, call)
	if err != nil {
		c.dedup.Discard(call.Key)
		return []Effect{Refuse{
			Key: call.Key,
			Err: err,
		}}
	}
	return append(displaced, c.startCalls(now)...)
}

// enqueue adds a call to the queue and refuses the calls that it displaces. It
// returns an error if the call can't be admitted.
func (c *Core) enqueue(now time.Time, call Call) ([]Effect, error) {
	if err := c.checkAdmission(call.Request); err != nil {
		return nil, err
	}
	item := queueItem(now, call)
	if c.willMissDeadline(now, item) {
		return nil, c.busyError("the queue is longer than the time to the deadline")
	}
	c.slotShares.recordArrival(now, item)
	displaced, queued := c.queue.Push(item)
	if !queued {
		return nil, c.busyError("the endpoint's queue is full")
	}
	c.calls[call.Key] = call
	var effects []Effect
	for _, evicted := range displaced {
		effects = append(effects, c.refuseCall(now, evicted.Value,
			c.busyError("the queue is full and other customers have less of it"))...)
	}
	return effects, nil
}

// busyError returns the error for a call that is refused for lack of capacity.
// It carries the time after which the caller should retry.
func (c *Core) busyError(message string) error {
	err := fault.New(fault.NotRun, fault.CodeBusy, message)
	return fault.WithRetryAfter(err, c.estimator.retryAfter(c.queue.TotalCost()))
}

// willMissDeadline reports whether a call that has to wait is expected to end
// after its deadline. A call that can start at once is never refused, so that a
// wrong estimate is corrected by the calls that run.
func (c *Core) willMissDeadline(now time.Time, item queue.Item[uint64]) bool {
	waitTime := c.estimator.waitTime(c.queue.CostAhead(item))
	return waitTime > 0 && now.Add(waitTime+c.estimator.serviceTime(item.Cost)).After(item.Deadline)
}

// checkAdmission returns an error if a call can't be admitted.
func (c *Core) checkAdmission(request *wirepb.CallRequest) error {
	if c.leaving {
		return fault.New(fault.NotRun, fault.CodeLeaving, "the endpoint is leaving")
	}
	if err := c.checkEntry(request); err != nil {
		return err
	}
	if !c.plainService && !c.hasModelReady(request) {
		return fault.New(fault.NotRun, fault.CodeNoEndpoint, "the endpoint does not hold the model")
	}
	return nil
}

// hasModelReady reports whether the engine has the requested version of the
// model and the adapter ready.
func (c *Core) hasModelReady(request *wirepb.CallRequest) bool {
	hasModel, hasAdapter := false, request.GetAdapter() == ""
	for _, resident := range c.servingResidents() {
		if !resident.Ready || resident.Model != request.GetModel() || resident.Version != request.GetVersion() {
			continue
		}
		hasModel = hasModel || resident.Adapter == ""
		hasAdapter = hasAdapter || resident.Adapter == request.GetAdapter()
	}
	return hasModel && hasAdapter
}

// startCalls starts queued calls while slots are free. It refuses calls that
// have passed their deadline or, while others wait, would end after it.
func (c *Core) startCalls(now time.Time) []Effect {
	effects := c.refuseExpired(now)
	for len(c.running) < c.slots {
		item, ok := c.queue.PopEligible(func(name string) bool { return c.slotShares.mayStart(now, name) })
		if !ok {
			break
		}
		if c.queue.Len() > 0 && now.Add(c.estimator.serviceTime(item.Cost)).After(item.Deadline) {
			c.queue.RecordUsage(item, 0)
			effects = append(effects, c.refuseCall(now, item.Value, c.busyError("the call can't end by its deadline any more"))...)
			continue
		}
		c.running[item.Value] = true
		c.slotShares.recordStart(now, item.Customer)
		request := c.calls[item.Value].Request
		c.estimator.recordStart(now, item, int(request.GetPromptTokens())-int(request.GetCachedTokens()))
		if c.dedup.TryStart(now, item.Value) {
			effects = append(effects, Start{Key: item.Value})
		}
	}
	return append(effects, c.flushClaims(now)...)
}

// refuseExpired refuses the queued calls whose deadline has passed.
func (c *Core) refuseExpired(now time.Time) []Effect {
	var effects []Effect
	expired := c.queue.Remove(func(i queue.Item[uint64]) bool { return !now.Before(i.Deadline) })
	for _, item := range expired {
		effects = append(effects, c.refuseCall(now, item.Value,
			fault.New(fault.NotRun, fault.CodeDeadline, "the deadline passed in the queue"))...)
	}
	return effects
}

// refuseCall ends a call that was not forwarded to the endpoint with an error,
// and resolves the attempts that wait for its outcome.
func (c *Core) refuseCall(now time.Time, key uint64, err error) []Effect {
	c.releaseCall(now, key, 0)
	refusal := Refuse{
		Key: key,
		Err: err,
	}
	decisions := c.dedup.Finish(now, key, dedup.Outcome{Err: err})
	return append([]Effect{refusal}, c.applyDecisions(now, decisions)...)
}

// releaseCall frees the resources that a call holds. tokens is its work, 0 if
// there was no complete response.
func (c *Core) releaseCall(now time.Time, key uint64, tokens int) {
	if item, ran := c.estimator.recordEnd(now, key, tokens > 0); ran {
		c.slotShares.recordEnd(now, item.Customer)
		if tokens > 0 {
			c.queue.RecordUsage(item, tokens)
		}
	}
	delete(c.running, key)
	delete(c.calls, key)
	c.lastActivity = now
}

func (c *Core) handleCallEnded(now time.Time, e CallEnded) []Effect {
	c.releaseCall(now, e.Key, e.Tokens)
	effects := c.applyDecisions(now, c.dedup.Finish(now, e.Key, e.Outcome))
	return append(effects, c.startCalls(now)...)
}

// handleCallCanceled removes a call that is still queued or waits for the
// outcome of another attempt. A running call reports its own end, and a refused
// call has already been removed.
func (c *Core) handleCallCanceled(now time.Time, key uint64) []Effect {
	err := fault.New(fault.NotRun, fault.CodeLink, "the entry has closed the call")
	if c.dedup.RemoveWaiter(key) {
		delete(c.calls, key)
		return []Effect{Refuse{
			Key: key,
			Err: err,
		}}
	}
	removed := c.queue.Remove(func(i queue.Item[uint64]) bool { return i.Value == key })
	if len(removed) == 0 {
		return nil
	}
	return append(c.refuseCall(now, key, err), c.startCalls(now)...)
}
