package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// paceWeight is the weight of the newest call in the learned pace.
	paceWeight = 0.1
	// shortestRetryAfter bounds what refused callers are told.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 30 * time.Second
)

// pace learns how fast an endpoint works and foretells how long calls wait.
type pace struct {
	slots int
	// perToken is the time of a slot for each token of cost, 0 before the
	// first call has ended.
	perToken time.Duration
	started  map[uint64]start
	cost     int
	// prefillFree is when all started prompts will be prefilled.
	prefillFree time.Time
}

// start is a running call.
type start struct {
	item queue.Item[uint64]
	at   time.Time
}

func newPace(slots int) *pace {
	return &pace{
		slots:   slots,
		started: make(map[uint64]start),
	}
}

// begin notes that a call runs.
func (p *pace) begin(now time.Time, item queue.Item[uint64]) {
	p.started[item.Value] = start{
		item: item,
		at:   now,
	}
	p.cost += item.Cost
}

// prefill notes a started prompt of tokens that are not cached; rate is the
// endpoint's in tokens a second, 0 if it is not known.
func (p *pace) prefill(now time.Time, tokens int, rate float64) {
	if rate <= 0 || tokens <= 0 {
		return
	}
	if p.prefillFree.Before(now) {
		p.prefillFree = now
	}
	p.prefillFree = p.prefillFree.Add(time.Duration(float64(tokens) / rate * float64(time.Second)))
}

// end learns from a call that ran. It returns the call's item.
func (p *pace) end(now time.Time, key uint64, whole bool) (item queue.Item[uint64], ok bool) {
	s, ok := p.started[key]
	if !ok {
		return item, false
	}
	delete(p.started, key)
	p.cost -= s.item.Cost
	if whole {
		took := now.Sub(s.at) / time.Duration(s.item.Cost)
		if p.perToken == 0 {
			p.perToken = took
		}
		p.perToken += time.Duration(paceWeight * float64(took-p.perToken))
	}
	return s.item, true
}

// wait returns how long a call waits that has work in tokens ahead of it.
func (p *pace) wait(ahead int) time.Duration {
	if len(p.started) < p.slots {
		return 0
	}
	mean := p.cost / max(1, len(p.started))
	return time.Duration(ahead+mean) * p.perToken / time.Duration(p.slots)
}

// service returns how long a call runs.
func (p *pace) service(cost int) time.Duration { return time.Duration(cost) * p.perToken }

// retryAfter is what a refused caller is told.
func (p *pace) retryAfter(waiting int) time.Duration {
	return min(longestRetryAfter, max(shortestRetryAfter, p.wait(waiting)))
}

// itemOf returns the queue's form of a call.
func itemOf(now time.Time, call Call) queue.Item[uint64] {
	r := call.Request
	return queue.Item[uint64]{
		Value:    call.Key,
		Customer: r.GetCustomer(),
		Weight:   weightOf(r),
		Batch:    r.GetBatch(),
		Cost:     max(1, int(r.GetPromptTokens()+r.GetMaxTokens())),
		Deadline: now.Add(time.Duration(r.GetTimeoutMs()) * time.Millisecond),
	}
}

func weightOf(r *wirepb.CallRequest) float64 {
	if r.GetWeight() <= 0 {
		return 1
	}
	return r.GetWeight()
}
