package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// sampleWeight is the weight of the newest call in the learned pace.
	sampleWeight = 0.03
	// prefillOverheadTokens is what a call adds to the work on its prompt, in tokens.
	prefillOverheadTokens = 64
	// minPrefillSample is how many tokens make a sample of the prefill rate.
	minPrefillSample = 2 << 10
	// minRetryAfter bounds what refused callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxDeadlineMargin is how long before the caller's deadline a waiting call is
	// given up at most, so that the refusal comes in time.
	maxDeadlineMargin = 250 * time.Millisecond
)

// estimator learns how fast an endpoint works and foretells how long calls wait.
type estimator struct {
	slots int
	// timePerToken is the time of a slot for each token of cost, 0 before the
	// first call has ended.
	timePerToken time.Duration
	// weightedTime and done are the fading sums of the time and the cost of calls.
	weightedTime   float64
	weightedTokens float64
	running        map[uint64]runningCall
	runningTokens  int
	// pendingPrefill is the work in prompt tokens of the started calls that have
	// no first token, since prefillFrom. prefilled is what was done since the
	// last sample, prefillBusy the time that it took up to prefillFrom.
	pendingPrefill int
	samplePrefill  int
	sampledUntil   time.Time
	sampleTime     time.Duration
	// learnedPrefillRate is the rate of prompt tokens a second, 0 if it is not known.
	learnedPrefillRate float64
}

// runningCall is a running call.
type runningCall struct {
	item      queue.Item[uint64]
	startedAt time.Time
	// pendingPrompt is the pendingPrompt's work until its first token, then 0.
	pendingPrompt int
}

func newEstimator(slots int) *estimator {
	return &estimator{
		slots:   slots,
		running: make(map[uint64]runningCall),
	}
}

// recordStart notes that a call runs of whose prompt tokens are not cached.
func (e *estimator) recordStart(now time.Time, item queue.Item[uint64], promptTokens int) {
	promptTokens = max(0, promptTokens) + prefillOverheadTokens
	e.running[item.Value] = runningCall{
		item:          item,
		startedAt:     now,
		pendingPrompt: promptTokens,
	}
	e.runningTokens += item.Cost
	if e.pendingPrefill == 0 {
		e.sampledUntil = now
	}
	e.pendingPrefill += promptTokens
}

// recordFirstData notes the recordFirstData token of a call.
func (e *estimator) recordFirstData(now time.Time, key uint64) {
	call, ok := e.running[key]
	if !ok || call.pendingPrompt == 0 {
		return
	}
	e.pendingPrefill -= call.pendingPrompt
	e.samplePrefill += call.pendingPrompt
	call.pendingPrompt = 0
	e.running[key] = call
	e.sampleTime += now.Sub(e.sampledUntil)
	e.sampledUntil = now
	e.updatePrefillRate()
}

// updatePrefillRate takes a sample of the rate over the time in which there were prompts.
func (e *estimator) updatePrefillRate() {
	if e.samplePrefill < minPrefillSample || e.sampleTime <= 0 {
		return
	}
	rate := float64(e.samplePrefill) / e.sampleTime.Seconds()
	if e.learnedPrefillRate == 0 {
		e.learnedPrefillRate = rate
	}
	e.learnedPrefillRate += sampleWeight * (rate - e.learnedPrefillRate)
	e.samplePrefill, e.sampleTime = 0, 0
}

// prefillRate returns the rate of prompt tokens, told until one is learned.
func (e *estimator) prefillRate(reported float64) float64 {
	if e.learnedPrefillRate > 0 {
		return e.learnedPrefillRate
	}
	return reported
}

// recordEnd learns from a call that ran. It returns the call's item.
func (e *estimator) recordEnd(now time.Time, key uint64, complete bool) (item queue.Item[uint64], ok bool) {
	call, ok := e.running[key]
	if !ok {
		return item, false
	}
	delete(e.running, key)
	e.runningTokens -= call.item.Cost
	e.pendingPrefill -= call.pendingPrompt
	if complete {
		e.weightedTime = (1-sampleWeight)*e.weightedTime + float64(now.Sub(call.startedAt))
		e.weightedTokens = (1-sampleWeight)*e.weightedTokens + float64(call.item.Cost)
		e.timePerToken = time.Duration(e.weightedTime / e.weightedTokens)
	}
	return call.item, true
}

// waitTime returns how long a call waits that has work in tokens ahead of it.
func (e *estimator) waitTime(tokensAhead int) time.Duration {
	if len(e.running) < e.slots {
		return 0
	}
	meanTokens := e.runningTokens / max(1, len(e.running))
	return time.Duration(tokensAhead+meanTokens) * e.timePerToken / time.Duration(e.slots)
}

// serviceTime returns how long a call runs.
func (e *estimator) serviceTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.timePerToken
}

// retryAfter is what a refused caller is told.
func (e *estimator) retryAfter(queuedTokens int) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, e.waitTime(queuedTokens)))
}

// queueItem returns the queue's form of a call.
func queueItem(now time.Time, call Call) queue.Item[uint64] {
	request := call.Request
	timeout := time.Duration(request.GetTimeoutMs()) * time.Millisecond
	return queue.Item[uint64]{
		Value:    call.Key,
		Customer: request.GetCustomer(),
		Weight:   callWeight(request),
		Batch:    request.GetBatch(),
		Cost:     max(1, int(request.GetPromptTokens()+request.GetMaxTokens())),
		Deadline: now.Add(timeout - min(timeout/10, maxDeadlineMargin)),
	}
}

func callWeight(request *wirepb.CallRequest) float64 {
	if request.GetWeight() <= 0 {
		return 1
	}
	return request.GetWeight()
}
