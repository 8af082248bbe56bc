// Package budget accounts for the memory that a process holds for its clients. Memory is
// reserved before it is allocated. When it is used up, the reservations of requests that
// are still being read are evicted, the largest that have waited longest first, so that
// other requests are served.
package budget

import (
	"errors"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of reservations. Neither request has run.
var (
	// ErrExhausted reports that the budget is used up and nothing can be evicted for the
	// request.
	ErrExhausted = errors.New("the memory for requests is used up")
	// ErrEvicted reports that the reservation was evicted to serve another request.
	ErrEvicted = errors.New("the request gave way to others while it was read")
)

// Use is what memory is held for.
type Use uint8

// Uses of memory.
const (
	Header Use = iota
	Body
	Response
	useCount
)

// Name returns the name of the use, for metrics.
func (u Use) Name() string { return [useCount]string{"header", "body", "response"}[u] }

// Uses are all uses.
var Uses = []Use{Header, Body, Response}

const (
	// SmallBytes is the size up to which a reservation counts as small.
	SmallBytes = 64 << 10
	// smallFraction is the fraction of a budget that only small reservations can take. It
	// holds more than a hundred of the largest of them on the smallest host.
	smallFraction = 0.25
	// ownerFraction is the fraction of the rest above which the large reservations of one
	// owner are evicted before those of others.
	ownerFraction = 0.5
	// freeWait bounds the wait for the memory of evicted reservations. Their readers
	// return it as soon as they run.
	freeWait = time.Second
)

// Budget is the memory that a process may hold for its clients. Its methods may be called
// concurrently.
type Budget struct {
	total, largeTotal, ownerShare int64

	mu sync.Mutex
	// used is the sum of all reservations, large that of those above SmallBytes, evicted
	// that of the evicted ones, awaited what the callers of Grow wait for.
	used, large, evicted, awaited int64
	usedBy                        [useCount]int64
	peak                          int64
	// owners holds the sum of each owner's large reservations.
	owners map[netip.Addr]int64
	// first is the first of the list of reservations that can be evicted.
	first *Reservation
	// freed is closed and replaced when memory is returned while someone waits for it.
	freed chan struct{}

	evictions, refusals uint64
}

// New returns a budget of a number of bytes. 0 stands for no bound.
func New(bytes int64) *Budget {
	if bytes <= 0 {
		bytes = math.MaxInt64 / 4
	}
	b := &Budget{
		total:  bytes,
		owners: make(map[netip.Addr]int64),
		freed:  make(chan struct{}),
	}
	b.largeTotal = bytes - int64(float64(bytes)*smallFraction)
	b.ownerShare = int64(float64(b.largeTotal) * ownerFraction)
	return b
}

// Reservation is memory that is reserved for a request. It is used by one goroutine at a
// time.
type Reservation struct {
	budget *Budget
	owner  netip.Addr
	use    Use
	held   int64
	// since is when the request began to arrive.
	since time.Time
	// evict makes the reader of the request stop. It is nil for a reservation that can't be
	// evicted.
	evict      func()
	listed     bool
	prev, next *Reservation
	evicted    atomic.Bool
}

// Reserve returns an empty reservation for a request that begins to be read for owner. When
// the budget is used up, evict is called, once and possibly by another goroutine; the reader
// then must release the reservation without delay. If evict is nil, the reservation can't be
// evicted.
func (b *Budget) Reserve(owner netip.Addr, use Use, since time.Time, evict func()) *Reservation {
	return &Reservation{
		budget: b,
		owner:  owner,
		use:    use,
		since:  since,
		evict:  evict,
	}
}

// Grow adds n bytes to a reservation. It evicts others that are larger and have waited
// longer, as far as necessary, and waits until they have returned their memory.
func (r *Reservation) Grow(now time.Time, n int) error {
	b := r.budget
	size := int64(n)
	b.mu.Lock()
	if err := b.admit(r, size, now); err == nil || !errors.Is(err, errWait) {
		b.mu.Unlock()
		return err
	}
	b.awaited += size
	timer := time.NewTimer(freeWait)
	defer timer.Stop()
	for timedOut := false; ; {
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-timer.C:
			timedOut = true
		}
		b.mu.Lock()
		b.awaited -= size
		err := b.admit(r, size, now)
		if errors.Is(err, errWait) && timedOut {
			err = ErrExhausted
			b.refusals++
		}
		if !errors.Is(err, errWait) {
			b.mu.Unlock()
			return err
		}
		b.awaited += size
	}
}

// errWait reports that the memory will be free once evicted reservations are released.
var errWait = errors.New("memory isn't free yet")

// admit adds size bytes to a reservation if there is room. Otherwise it evicts others.
func (b *Budget) admit(r *Reservation, size int64, now time.Time) error {
	if r.evicted.Load() {
		return ErrEvicted
	}
	missing := b.missing(r, size)
	if missing <= 0 {
		b.add(r, size)
		return nil
	}
	if r.held+size > b.largeTotal || r.evict == nil { // a response then passes through as it arrives
		b.refusals++
		return ErrExhausted
	}
	for missing+b.awaited > b.evicted {
		victim := b.worst(now)
		if victim == nil || victim == r {
			b.refusals++
			return ErrExhausted
		}
		b.evictOne(victim)
	}
	return errWait
}

// missing returns how many bytes must become free before a reservation can grow by size.
func (b *Budget) missing(r *Reservation, size int64) int64 {
	missing := b.used + size - b.total
	if r.held+size > SmallBytes {
		large := b.large + size
		if r.held <= SmallBytes {
			large += r.held
		}
		missing = max(missing, large-b.largeTotal)
	}
	return missing
}

// worst returns the reservation to evict next: the one whose size and time to arrive have
// the highest product, among owners that exceed their share if there are any.
func (b *Budget) worst(now time.Time) *Reservation {
	var worst *Reservation
	worstOver, worstScore := false, -1.0
	for r := b.first; r != nil; r = r.next {
		over := b.owners[r.owner] > b.ownerShare && r.held > SmallBytes
		score := float64(r.held) * now.Sub(r.since).Seconds()
		if worst == nil || over && !worstOver || over == worstOver && score > worstScore {
			worst, worstOver, worstScore = r, over, score
		}
	}
	return worst
}

func (b *Budget) evictOne(r *Reservation) {
	b.unlist(r)
	r.evicted.Store(true)
	b.evicted += r.held
	b.evictions++
	go r.evict() // may block on the connection
}

// add adds size, which is negative if memory is returned.
func (b *Budget) add(r *Reservation, size int64) {
	before := r.held
	r.held += size
	b.used += size
	b.usedBy[r.use] += size
	b.peak = max(b.peak, b.used)
	large := largePart(r.held) - largePart(before)
	if large != 0 {
		b.large += large
		if b.owners[r.owner] += large; b.owners[r.owner] <= 0 {
			delete(b.owners, r.owner)
		}
	}
	if r.evict != nil && !r.listed && size > 0 {
		b.list(r)
	}
}

// largePart returns the part of a reservation that counts as large: all or nothing.
func largePart(held int64) int64 {
	if held > SmallBytes {
		return held
	}
	return 0
}

// Keep makes sure that the reservation isn't evicted any more, since its request begins to
// run. It reports false if the reservation, which may be nil, has been evicted.
func (r *Reservation) Keep() bool {
	if r == nil {
		return true
	}
	if r.held == 0 {
		return !r.evicted.Load() // it isn't listed
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(r)
	r.evict = nil
	return !r.evicted.Load()
}

// Yield lets the reservation of a response be evicted from now on, since its client may be
// slow to read it. evict is called as for Reserve. The reservation may be nil.
func (r *Reservation) Yield(now time.Time, evict func()) {
	if r == nil || r.held == 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.since, r.evict = now, evict
	b.list(r)
}

// Evicted reports whether the reservation, which may be nil, has been evicted.
func (r *Reservation) Evicted() bool { return r != nil && r.evicted.Load() }

// Release returns the memory of the reservation, which may be nil. Further calls have no
// effect.
func (r *Reservation) Release() {
	if r == nil || r.held == 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(r)
	if r.evicted.Load() {
		b.evicted -= r.held
	}
	b.add(r, -r.held)
	if b.awaited > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

func (b *Budget) list(r *Reservation) {
	r.listed = true
	r.next = b.first
	if b.first != nil {
		b.first.prev = r
	}
	b.first = r
}

func (b *Budget) unlist(r *Reservation) {
	if !r.listed {
		return
	}
	r.listed = false
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		b.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}

// Status describes the state of a budget.
type Status struct {
	Total, Used, Peak   int64
	UsedBy              [useCount]int64
	Evictions, Refusals uint64
}

// Status returns the state of the budget. Total is 0 if there is no bound.
func (b *Budget) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{
		Total:     b.total,
		Used:      b.used,
		Peak:      b.peak,
		UsedBy:    b.usedBy,
		Evictions: b.evictions,
		Refusals:  b.refusals,
	}
	if b.total == math.MaxInt64/4 {
		s.Total = 0
	}
	return s
}
