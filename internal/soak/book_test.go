package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	drainBound  = 2 * time.Second
	revokeBound = 5 * time.Second
	// storeContactTime is the time after a fault within which all hosts are in
	// contact with the store again.
	storeContactTime = 3 * time.Second
	leaseBound       = 3 * time.Second
	// resumeTolerance is the time after a fault on a host in which its orders are
	// not checked.
	resumeTolerance = 300 * time.Millisecond
	quotaWindow     = 8 * time.Second
	// A window may use quotaToleranceRatio times the limited customer's rate and
	// burst, and quotaToleranceTokens more.
	quotaToleranceRatio  = 1.1
	quotaToleranceTokens = 100
)

// clientRequest is a client's request and its outcome.
type clientRequest struct {
	id, kind, key string
	// model is the model that a stream asks for.
	model string
	// prompt lists the parts of a stream's prompt.
	prompt string
	// stream is the stream that the request begins or resumes.
	stream *clientStream
	at     time.Time
	status int
	done   bool
	// path is what follows the route's first path, body the body of a plain request.
	path, body string
	// sound is the kind of a sound request beside one that crashes endpoints.
	sound string
	// firstEventAt is when the first event of a stream came in answer to this request.
	firstEventAt time.Time
	// retryAfter is the delay that a refusal named, last is true if the client doesn't ask
	// for the stream again.
	retryAfter time.Duration
	last       bool
}

// history records what clients and endpoints observed, and the violations of the
// guarantees found in it.
type history struct {
	mu            sync.Mutex
	requests      map[string]*clientRequest
	executions    map[string][]execution
	allExecutions []execution
	orders        map[string][]receivedOrder
	// recoveredAt is when a host last resumed or last regained a connection, or
	// will do so at the end of a current fault; "" stands for the store.
	recoveredAt map[string]time.Time
	// stableFrom is the time since which all hosts have been in contact with the
	// store.
	stableFrom time.Time
	revoked    map[string]time.Time
	violations []string
	// limited are the requests that reached endpoints which name a limit, by endpoint.
	limited map[string][]limitedArrival
	// poisoned are the times at which requests that crash engines were executed.
	poisoned []poisonedExecution
	// resumptions counts the requests that resumed a stream, continued those of them
	// that brought an event.
	resumptions, continued int
	// crasherArrivals are the times at which a plain request that crashes endpoints
	// reached one, crasherCrashes those at which they ended.
	crasherArrivals []poisonedExecution
	crasherCrashes  []time.Time
	// newStreams and resumedStreams are the streams of draftService that the check of
	// the share that goes on counts, newestHolder is who sent the newest order.
	newStreams, resumedStreams share
	newestHolder               string
}

func newHistory() *history {
	return &history{
		requests: make(map[string]*clientRequest), executions: make(map[string][]execution),
		orders: make(map[string][]receivedOrder), limited: make(map[string][]limitedArrival),
		recoveredAt: make(map[string]time.Time), revoked: make(map[string]time.Time),
	}
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(format, args...)
}

func (h *history) addViolationLocked(format string, args ...any) {
	if len(h.violations) < 20 {
		h.violations = append(h.violations, fmt.Sprintf(format, args...))
	}
}

// recordFault records a fault that lasts until a time. An empty host means the
// store itself.
func (h *history) recordFault(host string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.recoveredAt[host]) {
		h.recoveredAt[host] = until
	}
	if stable := until.Add(storeContactTime); stable.After(h.stableFrom) {
		h.stableFrom = stable
	}
}

func (h *history) recordRequest(req *clientRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[req.id] = req
}

func (h *history) recordStatus(req *clientRequest, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	req.status, req.done = status, true
}

func (h *history) recordResumption(continued bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumptions++
	if continued {
		h.continued++
	}
}

func (h *history) recordExecution(ex execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[ex.id] = append(h.executions[ex.id], ex)
	h.allExecutions = append(h.allExecutions, ex)
	if ex.key != "" {
		h.addViolationLocked("UNASKED: %s reached an endpoint with its API key", ex.id)
	}
	if req := h.requests[ex.id]; req == nil {
		h.addViolationLocked("UNASKED: no client sent %s", ex.id)
	} else if ex.customer != customerOf(req.key) {
		h.addViolationLocked("UNASKED: %s with key %s was executed for customer %q", ex.id, req.key, ex.customer)
	}
}

// checkDrain checks a request that reached an endpoint after the endpoint had
// announced that it is draining.
func (h *history) checkDrain(id string, drainingSince, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(drainingSince) > drainBound && h.stableFrom.Before(drainingSince) {
		h.addViolationLocked("DRAIN: a request reached %s %v after it announced that it is draining", id, now.Sub(drainingSince))
	}
}

// poisonedExecution is the execution of a request that crashed its engine.
type poisonedExecution struct {
	at time.Time
	// inContact is true if all hosts were in contact with the store.
	inContact bool
}

func (h *history) recordPoison(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.poisoned = append(h.poisoned, poisonedExecution{at: now, inContact: now.After(h.stableFrom)})
}

const (
	// From storeContactTime after crash number poisonCrashes on, at most
	// maxPoisonLater requests with the part that crashes engines may be executed.
	poisonCrashes  = 5
	maxPoisonLater = 3
)

// checkPoison checks that requests with the part that crashes engines are kept from
// them.
func (h *history) checkPoison() {
	if len(h.poisoned) < poisonCrashes {
		return
	}
	later := 0
	for _, p := range h.poisoned {
		if p.inContact && p.at.Sub(h.poisoned[poisonCrashes-1].at) > storeContactTime {
			later++
		}
	}
	if later > maxPoisonLater {
		h.addViolationLocked("BUDGET: %d requests with the part that crashes engines were executed later than %v after crash %d of %d",
			later, storeContactTime, poisonCrashes, len(h.poisoned))
	}
}

// recordOrder records an order received by an endpoint and checks it against the
// one before: fencing tokens must not decrease, and orders of different lease
// holders must have different tokens and be leaseBound apart. It ignores the
// orders of a host until resumeTolerance after a fault on it.
func (h *history) recordOrder(endpoint string, o receivedOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newestHolder = o.leaseHolder
	if o.at.Sub(h.recoveredAt[o.leaseHolder]) < resumeTolerance {
		return
	}
	if previous := h.orders[endpoint]; len(previous) > 0 {
		last := previous[len(previous)-1]
		switch {
		case o.leaseHolder != last.leaseHolder && o.fencingToken == last.fencingToken:
			h.addViolationLocked("ONE: %s and %s sent orders to %s with the same fencing token %d",
				last.leaseHolder, o.leaseHolder, endpoint, o.fencingToken)
		case o.fencingToken < last.fencingToken:
			h.addViolationLocked("ONE: %s sent an order to %s with fencing token %d after %d",
				o.leaseHolder, endpoint, o.fencingToken, last.fencingToken)
		case o.leaseHolder != last.leaseHolder && o.at.Sub(last.at) < leaseBound:
			h.addViolationLocked("ONE: %s sent an order to %s only %v after %s",
				o.leaseHolder, endpoint, o.at.Sub(last.at), last.leaseHolder)
		}
	}
	h.orders[endpoint] = append(h.orders[endpoint], o)
}

// check checks the guarantees that span the whole run. It returns the violations
// found so far, at most 20.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, executions := range h.executions {
		req := h.requests[id]
		if req == nil {
			continue
		}
		atMostOnce := req.kind == "charge" || req.kind == "buy" || req.kind == "chat"
		if atMostOnce && len(executions) > 1 {
			h.addViolationLocked("TWICE: %s %s was executed %d times", req.kind, id, len(executions))
		}
		if atMostOnce && slices.Contains([]int{408, 421, 429, 503}, req.status) {
			h.addViolationLocked("REFUSED: %s %s got status %d but was executed", req.kind, id, req.status)
		}
		if revokedAt, revoked := h.revoked[req.key]; revoked && req.at.Sub(revokedAt) > revokeBound {
			h.addViolationLocked("CONFIG: %s was executed though sent with key %s %v after its revocation",
				id, req.key, req.at.Sub(revokedAt))
		}
	}
	h.checkQuota()
	h.checkPoison()
	h.checkLimits()
	h.checkLost()
	return h.violations
}

// checkQuota checks the limited customer's token usage in a sliding window.
func (h *history) checkQuota() {
	var executions []execution
	for _, ex := range h.allExecutions {
		if ex.customer == limitedCustomer {
			executions = append(executions, ex)
		}
	}
	slices.SortFunc(executions, func(x, y execution) int { return x.at.Compare(y.at) })
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*quotaToleranceRatio + quotaToleranceTokens
	sum, first := 0.0, 0
	for _, ex := range executions {
		sum += ex.tokens
		for ex.at.Sub(executions[first].at) > quotaWindow {
			sum -= executions[first].tokens
			first++
		}
		if sum > bound {
			h.addViolationLocked("QUOTA: used %v tokens in %v, the bound is %v", sum, quotaWindow, bound)
			return
		}
	}
}

// successRate returns the fraction of the requests sent in a time span that
// succeeded, and the number of these requests. It leaves out the limited customer,
// the steady one and revoked keys.
func (h *history) successRate(from, until time.Time) (rate float64, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := 0
	for _, req := range h.requests {
		if req.at.Before(from) || req.at.After(until) || customerOf(req.key) != "big" ||
			isPoison(req.prompt) || !h.revoked[req.key].IsZero() {
			continue
		}
		count++
		if req.status == 200 {
			ok++
		}
	}
	return float64(ok) / float64(max(count, 1)), count
}

// customerOf returns the customer of a key, which is the part before the first
// hyphen.
func customerOf(key string) string {
	name, _, _ := strings.Cut(key, "-")
	return name
}
