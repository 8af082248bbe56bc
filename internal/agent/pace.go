package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// sampleWeight is the weight of the newest sample in the moving averages.
	sampleWeight = 0.03
	// prefillOverheadTokens is the fixed prefill cost of a call, in tokens, in
	// addition to its prompt.
	prefillOverheadTokens = 64
	// minPrefillSample is the minimum number of prompt tokens in a sample of
	// the prefill rate.
	minPrefillSample = 2 << 10
	// minRetryAfter and maxRetryAfter limit the retry delay sent to refused
	// callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxDeadlineMargin is the longest time before the caller's deadline at
	// which a queued call is refused, so that the refusal arrives in time.
	maxDeadlineMargin = 250 * time.Millisecond
)

// estimator measures the throughput of an endpoint and predicts how long calls
// wait and run.
type estimator struct {
	slots int
	// timePerToken is the time that a slot takes for each token of a call's
	// cost, 0 until a first call has ended with a complete response.
	timePerToken time.Duration
	// weightedTime and weightedTokens are the exponentially weighted sums of
	// the times and costs of calls.
	weightedTime   float64
	weightedTokens float64
	running        map[uint64]runningCall
	runningTokens  int
	// pendingPrefill is the work, in prompt tokens, of the running calls that
	// have no first token yet. samplePrefill is the prefill work done since the
	// last sample and sampleTime the time that it took up to sampledUntil, not
	// counting time without pending prefill.
	pendingPrefill int
	samplePrefill  int
	sampledUntil   time.Time
	sampleTime     time.Duration
	// learnedPrefillRate is the measured rate in prompt tokens per second, 0 if
	// there is no sample yet.
	learnedPrefillRate float64
}

// runningCall is a call that has started.
type runningCall struct {
	item      queue.Item[uint64]
	startedAt time.Time
	// pendingPrompt is the prefill work of the call until its first token, then
	// 0.
	pendingPrompt int
}

func newEstimator(slots int) *estimator {
	return &estimator{
		slots:   slots,
		running: make(map[uint64]runningCall),
	}
}

// recordStart records the start of a call. promptTokens is the part of its
// prompt that is not cached.
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

// recordFirstData records the first token of a call.
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

// updatePrefillRate updates the prefill rate if there is enough work for a
// sample. Only time with pending prefill counts.
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

// prefillRate returns the measured prefill rate in tokens per second, or the
// reported one until there is a measurement.
func (e *estimator) prefillRate(reported float64) float64 {
	if e.learnedPrefillRate > 0 {
		return e.learnedPrefillRate
	}
	return reported
}

// recordEnd removes a running call and returns its queue item. A call with a
// complete response updates timePerToken.
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

// waitTime returns how long a call is expected to wait with tokensAhead of work
// queued ahead of it, 0 if a slot is free.
func (e *estimator) waitTime(tokensAhead int) time.Duration {
	if len(e.running) < e.slots {
		return 0
	}
	meanTokens := e.runningTokens / max(1, len(e.running))
	return time.Duration(tokensAhead+meanTokens) * e.timePerToken / time.Duration(e.slots)
}

// serviceTime returns how long a call of the given cost is expected to run.
func (e *estimator) serviceTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.timePerToken
}

// retryAfter returns the delay after which a refused caller should retry.
func (e *estimator) retryAfter(queuedTokens int) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, e.waitTime(queuedTokens)))
}

// queueItem returns the queue item of a call.
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
