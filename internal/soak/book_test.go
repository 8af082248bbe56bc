package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	drainBound       = 2 * time.Second
	revokeBound      = 5 * time.Second
	storeContactTime = 3 * time.Second
	leaseBound       = 3 * time.Second
	resumeTolerance  = 300 * time.Millisecond
	quotaWindow      = 8 * time.Second
	// quotaToleranceRatio and quotaSlack are what a window may hold beyond the rate.
	quotaToleranceRatio  = 1.1
	quotaToleranceTokens = 100
)

// clientRequest is a client's request and what came of it.
type clientRequest struct {
	id, kind, key string
	at            time.Time
	status        int
	done          bool
}

// history is what clients and endpoints have seen.
type history struct {
	mu            sync.Mutex
	requests      map[string]*clientRequest
	executions    map[string][]execution
	allExecutions []execution
	orders        map[string][]receivedOrder
	// recoveredAt is when a host last woke up or a link of its healed.
	recoveredAt map[string]time.Time
	// stableFrom is from when all hosts have been in touch with the store.
	stableFrom time.Time
	revoked    map[string]time.Time
	violations []string
}

func newHistory() *history {
	return &history{
		requests: make(map[string]*clientRequest), executions: make(map[string][]execution), orders: make(map[string][]receivedOrder),
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

// recordFault notes a fault that lasts until a time.
func (h *history) recordFault(host string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if host != "" && until.After(h.recoveredAt[host]) {
		h.recoveredAt[host] = until
	}
	if stable := until.Add(storeContactTime); stable.After(h.stableFrom) {
		h.stableFrom = stable
	}
}

func (h *history) recordRequest(s *clientRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[s.id] = s
}

func (h *history) recordStatus(s *clientRequest, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.status, s.done = status, true
}

func (h *history) recordExecution(r execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[r.id] = append(h.executions[r.id], r)
	h.allExecutions = append(h.allExecutions, r)
	if r.key != "" {
		h.addViolationLocked("UNASKED: %s reached an endpoint with its key", r.id)
	}
	if s := h.requests[r.id]; s == nil {
		h.addViolationLocked("UNASKED: no client sent %s", r.id)
	} else if r.customer != customerOf(s.key) {
		h.addViolationLocked("UNASKED: %s with key %s ran for %q", r.id, s.key, r.customer)
	}
}

// checkDrain takes a request that reached an endpoint after it said that it leaves.
func (h *history) checkDrain(id string, drainingSince, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(drainingSince) > drainBound && h.stableFrom.Before(drainingSince) {
		h.addViolationLocked("DRAIN: a request reached %s %v after it left", id, now.Sub(drainingSince))
	}
}

// recordOrder takes an order to an endpoint.
func (h *history) recordOrder(endpoint string, o receivedOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.at.Sub(h.recoveredAt[o.leaseHolder]) < resumeTolerance {
		return
	}
	if previous := h.orders[endpoint]; len(previous) > 0 {
		last := previous[len(previous)-1]
		switch {
		case o.leaseHolder != last.leaseHolder && o.fencingToken == last.fencingToken:
			h.addViolationLocked("ONE: %s and %s order %s with fence %d", last.leaseHolder, o.leaseHolder, endpoint, o.fencingToken)
		case o.fencingToken < last.fencingToken:
			h.addViolationLocked("ONE: %s orders %s with fence %d after %d", o.leaseHolder, endpoint, o.fencingToken, last.fencingToken)
		case o.leaseHolder != last.leaseHolder && o.at.Sub(last.at) < leaseBound:
			h.addViolationLocked("ONE: %s orders %s %v after %s", o.leaseHolder, endpoint, o.at.Sub(last.at), last.leaseHolder)
		}
	}
	h.orders[endpoint] = append(h.orders[endpoint], o)
}

// check checks what must hold over the whole run.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, executions := range h.executions {
		s := h.requests[id]
		if s == nil {
			continue
		}
		atMostOnce := s.kind == "charge" || s.kind == "chat"
		if atMostOnce && len(executions) > 1 {
			h.addViolationLocked("TWICE: %s %s ran %d times", s.kind, id, len(executions))
		}
		if atMostOnce && slices.Contains([]int{408, 421, 429, 503}, s.status) {
			h.addViolationLocked("REFUSED: %s %s was answered %d and ran", s.kind, id, s.status)
		}
		if revokedAt, revoked := h.revoked[s.key]; revoked && s.at.Sub(revokedAt) > revokeBound {
			h.addViolationLocked("CONFIG: %s with key %s ran, sent %v after it was withdrawn", id, s.key, s.at.Sub(revokedAt))
		}
	}
	h.checkQuota()
	return h.violations
}

// checkQuota slides a window over what one customer's runs used.
func (h *history) checkQuota() {
	var executions []execution
	for _, r := range h.allExecutions {
		if r.customer == limitedCustomer {
			executions = append(executions, r)
		}
	}
	slices.SortFunc(executions, func(x, y execution) int { return x.at.Compare(y.at) })
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*quotaToleranceRatio + quotaToleranceTokens
	sum, first := 0.0, 0
	for _, r := range executions {
		sum += r.tokens
		for r.at.Sub(executions[first].at) > quotaWindow {
			sum -= executions[first].tokens
			first++
		}
		if sum > bound {
			h.addViolationLocked("QUOTA: %v tokens in %v, the bound is %v", sum, quotaWindow, bound)
			return
		}
	}
}

// successRate returns the part of the requests sent from a time on that succeeded.
func (h *history) successRate(from, until time.Time) (rate float64, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := 0
	for _, s := range h.requests {
		if s.at.Before(from) || s.at.After(until) || customerOf(s.key) == limitedCustomer || !h.revoked[s.key].IsZero() {
			continue
		}
		count++
		if s.status == 200 {
			ok++
		}
	}
	return float64(ok) / float64(max(count, 1)), count
}

// customerOf returns the holder of a key: keys are named after them.
func customerOf(key string) string {
	name, _, _ := strings.Cut(key, "-")
	return name
}
