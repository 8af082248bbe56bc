package gate

import (
	"time"

	"dogwoodfold/pkg/fault"
)

// retryBudget bounds repeats to one service: each request earns a part of one.
type retryBudget struct {
	left float64
}

// mayRepeat takes one repeat from the budget of a service if there is one.
func (c *Core) mayRepeat(service string) bool {
	b := c.budget(service)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// earnRepeat counts a request that was sent for the first time.
func (c *Core) earnRepeat(service string) {
	b := c.budget(service)
	b.left = min(b.left+c.settings.RetryRatio, c.settings.RetryReserve)
}

func (c *Core) budget(service string) *retryBudget {
	b := c.retries[service]
	if b == nil {
		b = &retryBudget{left: c.settings.RetryReserve}
		c.retries[service] = b
	}
	return b
}

// firstByte notes that an endpoint has begun to answer.
func (c *Core) firstByte(now time.Time, id CallID) {
	k := c.calls[id]
	if k == nil || k.endpoint == nil || k.begun {
		return
	}
	k.begun = true
	track := k.endpoint.track
	track.Local.PendingPrefill -= k.work()
	seen := now.Sub(k.sentAt)
	track.ObserveFirstByte(now, k.estimate, seen)
	if k.request.Model != "" {
		c.pace(k.service, k.request.Model).Observe(k.uncached, seen, k.idle)
		c.countReading(k, seen)
	}
}

// release ends an attempt's claim on its endpoint and returns the endpoint.
func (k *call) release() *endpoint {
	e := k.endpoint
	k.endpoint = nil
	e.track.Local.Running--
	if !k.begun {
		e.track.Local.PendingPrefill -= k.work()
	}
	return e
}

// ended decides what follows an attempt.
func (c *Core) ended(now time.Time, id CallID, r Result) {
	k := c.calls[id]
	if k == nil || k.endpoint == nil {
		return
	}
	first := len(k.tried) == 1
	e := k.release()
	if first && r.Reason != ReasonDial {
		c.earnRepeat(k.service)
	}
	if r.Reason == ReasonCaller {
		c.forget(k)
		return
	}
	switch r.Outcome {
	case Complete:
		e.track.RecordSuccess()
		c.countStream(k, e, r.Pause)
		c.forget(k)
	case NotRun:
		c.notRun(now, k, e, r)
	case Failed:
		e.track.RecordFailure(now)
		if k.route.MayRepeat() && c.again(now, k) {
			return
		}
		c.do(Pass{Call: k.id})
		c.forget(k)
	case Broken:
		e.track.RecordFailure(now)
		k.resumes = true
		if k.route.Resumable && r.Reason != ReasonTimeout && c.again(now, k) {
			return
		}
		c.do(Cut{Call: k.id})
		c.forget(k)
	default:
		c.unknown(now, k, e, r)
	}
	c.tendParked(now)
}

// again sends a request that may run again to another endpoint, if its route,
// its time and the budget of repeats allow it.
func (c *Core) again(now time.Time, k *call) bool {
	if len(k.tried) >= k.route.MaxAttempts || k.limit.Sub(now) < answerReserve || !c.mayRepeat(k.service) {
		return false
	}
	c.dispatch(now, k)
	return true
}

// notRun sends a request elsewhere that is proved not to have run.
func (c *Core) notRun(now time.Time, k *call, e *endpoint, r Result) {
	switch r.Reason {
	case ReasonDial:
		e.track.RecordConnectFailure(now)
		// Nothing has reached the endpoint, so it doesn't count as tried.
		delete(k.tried, e.ID)
		c.dispatch(now, k)
		return
	case ReasonElsewhere:
		c.removeEndpoint(e.ID)
	case ReasonMissing:
		e.absent[k.request.Model+"/"+k.request.Adapter] = now
	case ReasonStale:
		delete(k.tried, e.ID)
		c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the key may have been withdrawn", staleRetry)
		return
	case ReasonTimeout:
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "no time is left", shortRetry)
		return
	default:
		e.track.RecordRefusal(now)
	}
	if !c.again(now, k) {
		c.refuse(now, k, fault.NotRun, fault.CodeBusy, "the endpoint refused the request", c.spread(shortRetry))
	}
}

// unknown ends an attempt that may have run. Only idempotent requests are sent
// again.
func (c *Core) unknown(now time.Time, k *call, e *endpoint, r Result) {
	if r.Reason == ReasonTimeout {
		c.refuse(now, k, fault.MayHaveRun, fault.CodeDeadline, "the endpoint did not answer in time", 0)
		return
	}
	e.track.RecordFailure(now)
	if k.route.MayRepeat() && c.again(now, k) {
		return
	}
	c.refuse(now, k, fault.MayHaveRun, fault.CodeEndpoint, "the endpoint's answer was lost", 0)
}

// left ends a call whose client has gone before an attempt was begun.
func (c *Core) left(now time.Time, id CallID) {
	k := c.calls[id]
	if k == nil {
		return
	}
	if k.endpoint != nil {
		k.release()
	}
	c.refund(now, k)
	c.forget(k)
}
