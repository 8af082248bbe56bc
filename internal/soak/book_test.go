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
	contact     = 3 * time.Second
	leaseBound  = 3 * time.Second
	thaw        = 300 * time.Millisecond
	quotaWindow = 8 * time.Second
	// quotaOver and quotaSlack are what a window may hold beyond the rate.
	quotaOver  = 1.1
	quotaSlack = 100
)

// sent is a client's request and what came of it.
type sent struct {
	id, kind, key string
	at            time.Time
	status        int
	done          bool
}

// book is what clients and endpoints have seen.
type book struct {
	mu     sync.Mutex
	sent   map[string]*sent
	runs   map[string][]run
	spent  []run
	orders map[string][]order
	// woken is when a host last woke up or a link of its healed.
	woken map[string]time.Time
	// calmFrom is from when all hosts have been in touch with the store.
	calmFrom time.Time
	revoked  map[string]time.Time
	faults   []string
}

func newBook() *book {
	return &book{
		sent: make(map[string]*sent), runs: make(map[string][]run), orders: make(map[string][]order),
		woken: make(map[string]time.Time), revoked: make(map[string]time.Time),
	}
}

func (b *book) broken(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokenLocked(format, args...)
}

func (b *book) brokenLocked(format string, args ...any) {
	if len(b.faults) < 20 {
		b.faults = append(b.faults, fmt.Sprintf(format, args...))
	}
}

// disturb notes a fault that lasts until a time.
func (b *book) disturb(host string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if host != "" && until.After(b.woken[host]) {
		b.woken[host] = until
	}
	if calm := until.Add(contact); calm.After(b.calmFrom) {
		b.calmFrom = calm
	}
}

func (b *book) send(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[s.id] = s
}

func (b *book) ended(s *sent, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.status, s.done = status, true
}

func (b *book) ran(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.id] = append(b.runs[r.id], r)
	b.spent = append(b.spent, r)
	if r.key != "" {
		b.brokenLocked("UNASKED: %s reached an endpoint with its key", r.id)
	}
	if s := b.sent[r.id]; s == nil {
		b.brokenLocked("UNASKED: no client sent %s", r.id)
	} else if r.customer != customerOf(s.key) {
		b.brokenLocked("UNASKED: %s with key %s ran for %q", r.id, s.key, r.customer)
	}
}

// leftLate takes a request that reached an endpoint after it said that it leaves.
func (b *book) leftLate(id string, leftAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(leftAt) > drainBound && b.calmFrom.Before(leftAt) {
		b.brokenLocked("DRAIN: a request reached %s %v after it left", id, now.Sub(leftAt))
	}
}

// ordered takes an order to an endpoint.
func (b *book) ordered(endpoint string, o order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.at.Sub(b.woken[o.holder]) < thaw {
		return
	}
	if list := b.orders[endpoint]; len(list) > 0 {
		last := list[len(list)-1]
		switch {
		case o.holder != last.holder && o.fence == last.fence:
			b.brokenLocked("ONE: %s and %s order %s with fence %d", last.holder, o.holder, endpoint, o.fence)
		case o.fence < last.fence:
			b.brokenLocked("ONE: %s orders %s with fence %d after %d", o.holder, endpoint, o.fence, last.fence)
		case o.holder != last.holder && o.at.Sub(last.at) < leaseBound:
			b.brokenLocked("ONE: %s orders %s %v after %s", o.holder, endpoint, o.at.Sub(last.at), last.holder)
		}
	}
	b.orders[endpoint] = append(b.orders[endpoint], o)
}

// judge checks what must hold over the whole run.
func (b *book) judge() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, runs := range b.runs {
		s := b.sent[id]
		if s == nil {
			continue
		}
		once := s.kind == "charge" || s.kind == "chat"
		if once && len(runs) > 1 {
			b.brokenLocked("TWICE: %s %s ran %d times", s.kind, id, len(runs))
		}
		if once && slices.Contains([]int{408, 421, 429, 503}, s.status) {
			b.brokenLocked("REFUSED: %s %s was answered %d and ran", s.kind, id, s.status)
		}
		if at, gone := b.revoked[s.key]; gone && s.at.Sub(at) > revokeBound {
			b.brokenLocked("CONFIG: %s with key %s ran, sent %v after it was withdrawn", id, s.key, s.at.Sub(at))
		}
	}
	b.judgeQuota()
	return b.faults
}

// judgeQuota slides a window over what one customer's runs used.
func (b *book) judgeQuota() {
	var list []run
	for _, r := range b.spent {
		if r.customer == limitedCustomer {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y run) int { return x.at.Compare(y.at) })
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*quotaOver + quotaSlack
	sum, first := 0.0, 0
	for _, r := range list {
		sum += r.tokens
		for r.at.Sub(list[first].at) > quotaWindow {
			sum -= list[first].tokens
			first++
		}
		if sum > bound {
			b.brokenLocked("QUOTA: %v tokens in %v, the bound is %v", sum, quotaWindow, bound)
			return
		}
	}
}

// served returns the part of the requests sent from a time on that succeeded.
func (b *book) served(from, until time.Time) (part float64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := 0
	for _, s := range b.sent {
		if s.at.Before(from) || s.at.After(until) || customerOf(s.key) == limitedCustomer || !b.revoked[s.key].IsZero() {
			continue
		}
		n++
		if s.status == 200 {
			ok++
		}
	}
	return float64(ok) / float64(max(n, 1)), n
}

// customerOf returns the holder of a key: keys are named after them.
func customerOf(key string) string {
	name, _, _ := strings.Cut(key, "-")
	return name
}
