package dedup

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/fault"
)

// The reasons for which an attempt does not run.
var (
	errConflict = fault.New(fault.NotRun, fault.CodeConflict,
		"the idempotency key was used with another request")
	errClaimed = fault.New(fault.NotRun, fault.CodeClaimed,
		"another agent holds the claim of the idempotency key")
	errForgotten = fault.New(fault.MayHaveRun, fault.CodeUnknownResult,
		"the call may have run and its outcome is not known any more")
	errDropped = fault.New(fault.Ran, fault.CodeUnknownResult,
		"the call has run and its answer is not kept any more")
	errBanned = fault.New(fault.NotRun, fault.CodeLink,
		"the attempt had not arrived when its outcome was asked for")
	errLogDown = fault.WithRetryAfter(fault.New(fault.NotRun, fault.CodeLogDown,
		"the log can't be reached, so that a repeat would not be seen"), logRetryAfter)
)

const (
	logRetryAfter = time.Second
	// failuresDown is how many reads fail before the log counts as down.
	failuresDown = 2
)

// waiting is a claim that is on its way into the log and back.
type waiting struct {
	claim
	// call is the attempt that waits, 0 if it was given up.
	call uint64
	// since is when the claim was first sent, zero before.
	since time.Time
	// asked is when the attempt began to wait.
	asked time.Time
}

// pending collects claims into appends, one append at a time.
type pending struct {
	interval time.Duration
	claims   map[Key]*waiting
	queue    []Key
	flying   []Key
	tag      uint64
	sentAt   time.Time
	failures int
	logDown  bool
}

func newPending(interval time.Duration) *pending {
	return &pending{
		interval: interval,
		claims:   make(map[Key]*waiting),
	}
}

func (p *pending) add(now time.Time, call uint64, c claim) {
	w, known := p.claims[c.key]
	if !known {
		w = &waiting{}
		p.claims[c.key] = w
	}
	w.claim, w.call, w.asked = c, call, now
	p.queue = append(p.queue, c.key)
}

// forget takes the attempt off its claim. A claim that was sent may still come
// back and is kept for then.
func (p *pending) forget(key Key, call uint64) {
	w, known := p.claims[key]
	if !known || w.call != call {
		return
	}
	w.call = 0
	if w.since.IsZero() {
		delete(p.claims, key)
	}
}

// Batch is one append of claims.
type Batch struct {
	Tag  string
	Data []byte
}

// Flush returns the append that is due, if one is. If one is due later, wait is
// the time until then.
func (t *Table) Flush(now time.Time) (batch *Batch, wait time.Duration) {
	p := t.pending
	if len(p.queue) == 0 || len(p.flying) > 0 {
		return nil, 0
	}
	if wait := p.sentAt.Add(p.interval).Sub(now); wait > 0 {
		return nil, wait
	}
	var chosen []claim
	for len(p.queue) > 0 && len(chosen) < maxClaimsInRecord {
		key := p.queue[0]
		p.queue = p.queue[1:]
		w, known := p.claims[key]
		if !known || w.call == 0 {
			continue
		}
		if w.since.IsZero() {
			w.since = now
		}
		chosen = append(chosen, w.claim)
		p.flying = append(p.flying, key)
	}
	data, err := encodeClaims(t.settings.Service, t.settings.Self, chosen)
	if err != nil || len(chosen) == 0 {
		p.flying = nil
		return nil, 0
	}
	p.sentAt = now
	p.tag++
	return &Batch{
		Tag:  strconv.FormatUint(p.tag, 10),
		Data: data,
	}, 0
}

// Appended notes the end of an append. After an error its claims are sent once
// more; a claim that is in the log twice does no harm.
func (t *Table) Appended(tag string, err error) {
	p := t.pending
	if tag != strconv.FormatUint(p.tag, 10) {
		return
	}
	if err != nil {
		p.queue = append(p.queue, p.flying...)
	}
	p.flying = nil
}

// Read folds a page of the stream of claims and returns the attempts that it
// decides: those to start have the action Admit.
func (t *Table) Read(now time.Time, page plat.Page) ([]Decision, error) {
	t.pending.failures = 0
	t.pending.logDown = false
	var decisions []Decision
	var failed error
	for _, r := range page.Records {
		own, err := t.claims.read(now, r, t.pending.sent)
		if err != nil {
			failed = err
		}
		for _, key := range own {
			decisions = append(decisions, t.returned(now, key)...)
		}
	}
	return decisions, failed
}

// sent returns when a claim was first sent, zero if that is not known.
func (p *pending) sent(key Key) time.Time {
	if w, known := p.claims[key]; known {
		return w.since
	}
	return time.Time{}
}

// returned decides on the attempt that waited for a claim.
func (t *Table) returned(now time.Time, key Key) []Decision {
	w, known := t.pending.claims[key]
	if !known {
		return nil
	}
	delete(t.pending.claims, key)
	if w.call == 0 {
		return nil
	}
	if t.claims.usable(now, key) {
		return []Decision{t.run(now, w)}
	}
	h, _ := t.claims.get(now, key)
	d := refuse(w.call, errClaimed)
	if h.body != w.body {
		d = refuse(w.call, errConflict)
	}
	if h.holder != t.settings.Self {
		d.Holder = h.holder
	}
	return []Decision{d}
}

// run starts the attempt that waited.
func (t *Table) run(now time.Time, w *waiting) Decision {
	t.ran[w.key] = now
	return Decision{
		Call:   w.call,
		Action: Admit,
	}
}

// ReadFailed notes that the log could not be read.
func (t *Table) ReadFailed() {
	t.pending.failures++
	t.pending.logDown = t.pending.failures >= failuresDown
}

// Expired decides on the attempts that have waited too long for the log, and
// forgets keys whose window has passed.
func (t *Table) Expired(now time.Time) []Decision {
	t.expire(now)
	t.sweep(now)
	var decisions []Decision
	for key, w := range t.pending.claims {
		if w.call == 0 && now.Sub(w.asked) >= t.settings.Window/2 {
			delete(t.pending.claims, key)
		}
		if w.call == 0 || now.Sub(w.asked) < t.settings.ClaimWait {
			continue
		}
		if r := t.byCall[w.call]; r != nil && r.RunWithoutLog {
			decisions = append(decisions, t.run(now, w))
		} else {
			decisions = append(decisions, refuse(w.call, errLogDown))
		}
		w.call = 0
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.Call, b.Call) })
	return decisions
}

// sweepsPerWindow is how often the keys are looked through, since that takes
// time in proportion to their number.
const sweepsPerWindow = 64

// sweep forgets the keys whose window has passed.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < t.settings.Window/sweepsPerWindow {
		return
	}
	t.sweptAt = now
	t.claims.expire()
	for key, started := range t.ran {
		if now.Sub(started) >= 2*t.settings.Window {
			delete(t.ran, key)
		}
	}
}
