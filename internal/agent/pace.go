package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// paceWeight is the weight of the newest call in the learned pace.
	paceWeight = 0.03
	// callPrefill is what a call adds to the work on its prompt, in tokens.
	callPrefill = 64
	// leastPrefilled is how many tokens make a sample of the prefill rate.
	leastPrefilled = 2 << 10
	// shortestRetryAfter bounds what refused callers are told.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 30 * time.Second
	// longestMargin is how long before the caller's deadline a waiting call is
	// given up at most, so that the refusal comes in time.
	longestMargin = 250 * time.Millisecond
)

// pace learns how fast an endpoint works and foretells how long calls wait.
type pace struct {
	slots int
	// perToken is the time of a slot for each token of cost, 0 before the
	// first call has ended.
	perToken time.Duration
	// worked and done are the fading sums of the time and the cost of calls.
	worked  float64
	done    float64
	started map[uint64]start
	cost    int
	// prefilling is the work in prompt tokens of the started calls that have
	// no first token, since prefillFrom. prefilled is what was done since the
	// last sample, prefillBusy the time that it took up to prefillFrom.
	prefilling  int
	prefilled   int
	prefillFrom time.Time
	prefillBusy time.Duration
	// learned is the rate of prompt tokens a second, 0 if it is not known.
	learned float64
}

// start is a running call.
type start struct {
	item queue.Item[uint64]
	at   time.Time
	// prompt is the prompt's work until its first token, then 0.
	prompt int
}

func newPace(slots int) *pace {
	return &pace{
		slots:   slots,
		started: make(map[uint64]start),
	}
}

// begin notes that a call runs of whose prompt tokens are not cached.
func (p *pace) begin(now time.Time, item queue.Item[uint64], prompt int) {
	prompt = max(0, prompt) + callPrefill
	p.started[item.Value] = start{
		item:   item,
		at:     now,
		prompt: prompt,
	}
	p.cost += item.Cost
	if p.prefilling == 0 {
		p.prefillFrom = now
	}
	p.prefilling += prompt
}

// first notes the first token of a call.
func (p *pace) first(now time.Time, key uint64) {
	s, ok := p.started[key]
	if !ok || s.prompt == 0 {
		return
	}
	p.prefilling -= s.prompt
	p.prefilled += s.prompt
	s.prompt = 0
	p.started[key] = s
	p.prefillBusy += now.Sub(p.prefillFrom)
	p.prefillFrom = now
	p.learn()
}

// learn takes a sample of the rate over the time in which there were prompts.
func (p *pace) learn() {
	if p.prefilled < leastPrefilled || p.prefillBusy <= 0 {
		return
	}
	rate := float64(p.prefilled) / p.prefillBusy.Seconds()
	if p.learned == 0 {
		p.learned = rate
	}
	p.learned += paceWeight * (rate - p.learned)
	p.prefilled, p.prefillBusy = 0, 0
}

// prefillRate returns the rate of prompt tokens, told until one is learned.
func (p *pace) prefillRate(told float64) float64 {
	if p.learned > 0 {
		return p.learned
	}
	return told
}

// end learns from a call that ran. It returns the call's item.
func (p *pace) end(now time.Time, key uint64, whole bool) (item queue.Item[uint64], ok bool) {
	s, ok := p.started[key]
	if !ok {
		return item, false
	}
	delete(p.started, key)
	p.cost -= s.item.Cost
	p.prefilling -= s.prompt
	if whole {
		p.worked = (1-paceWeight)*p.worked + float64(now.Sub(s.at))
		p.done = (1-paceWeight)*p.done + float64(s.item.Cost)
		p.perToken = time.Duration(p.worked / p.done)
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
	timeout := time.Duration(r.GetTimeoutMs()) * time.Millisecond
	return queue.Item[uint64]{
		Value:    call.Key,
		Customer: r.GetCustomer(),
		Weight:   weightOf(r),
		Batch:    r.GetBatch(),
		Cost:     max(1, int(r.GetPromptTokens()+r.GetMaxTokens())),
		Deadline: now.Add(timeout - min(timeout/10, longestMargin)),
	}
}

func weightOf(r *wirepb.CallRequest) float64 {
	if r.GetWeight() <= 0 {
		return 1
	}
	return r.GetWeight()
}
