// Package dedup runs each call that may not be repeated at most once. A table
// knows the attempts that came to this process by their ids, and the keys of
// callers through claims in the platform's log, which all agents share.
package dedup

import (
	"cmp"
	"time"

	"dogwoodfold/pkg/fault"
)

// The defaults of settings that are zero.
const (
	DefaultWindow         = time.Hour
	DefaultKeep           = 10 * time.Minute
	DefaultClaimWait      = 2 * time.Second
	defaultAppendInterval = 30 * time.Millisecond
	defaultAnswerBytes    = 32 << 20
	defaultRecords        = 200_000
	defaultKeys           = 1_000_000
)

// Settings are the constants of a table; zero ones take their defaults.
type Settings struct {
	Self    Holder
	Service string
	// Window is how long a key counts after its newest claim.
	Window time.Duration
	// Keep is how long outcomes are kept.
	Keep time.Duration
	// ClaimWait bounds the wait for a claim to come back from the log.
	ClaimWait time.Duration
	// AppendInterval is the least time between two appends.
	AppendInterval time.Duration
	// AnswerBytes bounds the stored answers, Records their number and Keys
	// the number of claims that are remembered.
	AnswerBytes int
	Records     int
	Keys        int
}

// Attempt is one attempt of a call that may not be repeated.
type Attempt struct {
	// Call names the attempt within this process.
	Call   uint64
	ID     string
	Number uint32
	// Keyed says that the caller gave an idempotency key.
	Keyed         bool
	Key           Key
	Body          Body
	RunWithoutLog bool
}

// Outcome is how an attempt has ended.
type Outcome struct {
	// Err is nil after a whole answer.
	Err         error
	Status      int
	ContentType string
	Body        []byte
	// Dropped says that the answer is not kept any more.
	Dropped bool
}

// notRun reports whether the attempt is proved not to have run.
func (o *Outcome) notRun() bool { return o.Err != nil && fault.VerdictOf(o.Err) == fault.NotRun }

// Action is what to do with an attempt that has arrived.
type Action int

// The actions.
const (
	// Admit queues the attempt; Start follows.
	Admit Action = iota
	// Join waits for the end of another attempt.
	Join
	// Settle answers with an outcome at once.
	Settle
)

// Decision is what becomes of an attempt.
type Decision struct {
	Call    uint64
	Action  Action
	Outcome Outcome
	// Holder is the process to send the call to instead, if it is set.
	Holder Holder
}

// attemptID names an attempt in the whole fleet.
type attemptID struct {
	id     string
	number uint32
}

// record is what is known of one run.
type record struct {
	Attempt
	ids     []attemptID
	waiters []uint64
	ended   bool
	endedAt time.Time
	outcome Outcome
}

// Table is the state of one agent.
type Table struct {
	settings Settings
	claims   claims
	pending  *pending
	byID     map[attemptID]*record
	byKey    map[Key]*record
	byCall   map[uint64]*record
	// joined holds the records that waiting attempts wait for.
	joined map[uint64]*record
	// ran holds the keys that may have run here, with the time of the start.
	ran   map[Key]time.Time
	ended []*record
	bytes int
	// sweptAt is when the keys were last looked through.
	sweptAt time.Time
}

// withDefaults fills the settings that are zero.
func (s Settings) withDefaults() Settings {
	s.Window = cmp.Or(s.Window, DefaultWindow)
	s.Keep = cmp.Or(s.Keep, DefaultKeep)
	s.ClaimWait = cmp.Or(s.ClaimWait, DefaultClaimWait)
	s.AppendInterval = cmp.Or(s.AppendInterval, defaultAppendInterval)
	s.AnswerBytes = cmp.Or(s.AnswerBytes, defaultAnswerBytes)
	s.Records = cmp.Or(s.Records, defaultRecords)
	s.Keys = cmp.Or(s.Keys, defaultKeys)
	return s
}

// New returns an empty table.
func New(s Settings) *Table {
	s = s.withDefaults()
	return &Table{
		settings: s,
		claims: claims{
			self:    s.Self,
			service: s.Service,
			window:  s.Window,
			holds:   make(map[Key]hold),
		},
		pending: newPending(s.AppendInterval),
		byID:    make(map[attemptID]*record),
		byKey:   make(map[Key]*record),
		byCall:  make(map[uint64]*record),
		joined:  make(map[uint64]*record),
		ran:     make(map[Key]time.Time),
	}
}

// Arrive decides on an attempt. An admitted one must be followed by End.
func (t *Table) Arrive(now time.Time, a Attempt) Decision {
	t.expire(now)
	id := attemptID{a.ID, a.Number}
	if r, known := t.byID[id]; known {
		return t.repeat(r, a.Call, nil)
	}
	if a.Keyed {
		if d, known := t.knownKey(now, a, id); known {
			return d
		}
	}
	if len(t.byID) >= t.settings.Records || len(t.claims.holds) >= t.settings.Keys {
		return refuse(a.Call, fault.New(fault.NotRun, fault.CodeBusy, "too many outcomes are kept"))
	}
	r := &record{
		Attempt: a,
		ids:     []attemptID{id},
	}
	t.byID[id] = r
	t.byCall[a.Call] = r
	if a.Keyed {
		t.byKey[a.Key] = r
	}
	return Decision{
		Call:   a.Call,
		Action: Admit,
	}
}

// knownKey decides on an attempt whose key has been seen, or can't be claimed.
func (t *Table) knownKey(now time.Time, a Attempt, id attemptID) (d Decision, known bool) {
	if r, here := t.byKey[a.Key]; here && (!r.ended || !r.outcome.notRun()) {
		if r.Body != a.Body {
			return refuse(a.Call, errConflict), true
		}
		return t.repeat(r, a.Call, &id), true
	}
	h, held := t.claims.get(now, a.Key)
	if held && h.body != a.Body {
		return refuse(a.Call, errConflict), true
	}
	if held && h.holder != t.settings.Self {
		d := refuse(a.Call, errClaimed)
		d.Holder = h.holder
		return d, true
	}
	if _, started := t.ran[a.Key]; started {
		return refuse(a.Call, errForgotten), true
	}
	if t.pending.logDown && !a.RunWithoutLog && !t.claims.usable(now, a.Key) {
		return refuse(a.Call, errLogDown), true
	}
	return Decision{}, false
}

// repeat answers an attempt from the record of another one, or lets it wait.
func (t *Table) repeat(r *record, call uint64, id *attemptID) Decision {
	if r.ended {
		return settle(call, r.outcome)
	}
	if id != nil {
		r.ids = append(r.ids, *id)
		t.byID[*id] = r
	}
	r.waiters = append(r.waiters, call)
	t.joined[call] = r
	return Decision{
		Call:   call,
		Action: Join,
	}
}

// Start reports whether an admitted attempt may run now. If not, its claim is
// on the way, and Read, Expired or Appended decide.
func (t *Table) Start(now time.Time, call uint64) bool {
	r, known := t.byCall[call]
	if !known || !r.Keyed {
		return true
	}
	if t.claims.usable(now, r.Key) || (t.pending.logDown && r.RunWithoutLog) {
		t.ran[r.Key] = now
		return true
	}
	t.pending.add(now, call, claim{
		key:  r.Key,
		body: r.Body,
	})
	return false
}

// End stores the outcome of an admitted attempt and returns the attempts that
// waited for it.
func (t *Table) End(now time.Time, call uint64, o Outcome) []Decision {
	r, known := t.byCall[call]
	if !known {
		return nil
	}
	delete(t.byCall, call)
	t.pending.forget(r.Key, call)
	if r.Keyed && o.notRun() {
		delete(t.ran, r.Key)
	}
	r.ended, r.endedAt, r.outcome = true, now, o
	t.ended = append(t.ended, r)
	t.bytes += len(o.Body)
	var decisions []Decision
	for _, waiter := range r.waiters {
		delete(t.joined, waiter)
		decisions = append(decisions, settle(waiter, o))
	}
	r.waiters = nil
	t.expire(now)
	return decisions
}

// Undo forgets an admitted attempt that was refused on its arrival. Its request
// has come and can't come again, so nothing need be kept.
func (t *Table) Undo(call uint64) {
	r, known := t.byCall[call]
	if !known {
		return
	}
	delete(t.byCall, call)
	t.forget(r)
}

// SetInterval changes the least time between two appends.
func (t *Table) SetInterval(interval time.Duration) { t.pending.interval = interval }

// Leave takes out an attempt that waits for another one.
func (t *Table) Leave(call uint64) bool {
	r, joined := t.joined[call]
	if !joined {
		return false
	}
	delete(t.joined, call)
	for i, waiter := range r.waiters {
		if waiter == call {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	return true
}

// Query returns the outcome of an attempt, running if it has none yet. An
// attempt that was not seen is refused from now on and so has not run.
func (t *Table) Query(now time.Time, id string, number uint32) (o Outcome, running bool) {
	t.expire(now)
	name := attemptID{id, number}
	if r, known := t.byID[name]; known {
		return r.outcome, !r.ended
	}
	if len(t.byID) >= t.settings.Records {
		return Outcome{Err: errForgotten}, false // no room to refuse it later
	}
	r := &record{
		ids:     []attemptID{name},
		ended:   true,
		endedAt: now,
		outcome: Outcome{Err: errBanned},
	}
	t.byID[name] = r
	t.ended = append(t.ended, r)
	return r.outcome, false
}

// expire forgets old outcomes and keeps the stored answers within bounds.
func (t *Table) expire(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].endedAt) >= t.settings.Keep {
		r := t.ended[0]
		t.ended = t.ended[1:]
		t.bytes -= len(r.outcome.Body)
		t.forget(r)
	}
	for i := 0; t.bytes > t.settings.AnswerBytes && i < len(t.ended); i++ {
		o := &t.ended[i].outcome
		t.bytes -= len(o.Body)
		o.Dropped = o.Dropped || len(o.Body) > 0
		o.Body = nil
	}
}

func (t *Table) forget(r *record) {
	for _, id := range r.ids {
		delete(t.byID, id)
	}
	if r.Keyed && t.byKey[r.Key] == r {
		delete(t.byKey, r.Key)
	}
}

// settle answers an attempt with an outcome.
func settle(call uint64, o Outcome) Decision {
	if o.Err == nil && o.Dropped {
		o = Outcome{Err: errDropped}
	}
	return Decision{
		Call:    call,
		Action:  Settle,
		Outcome: o,
	}
}

func refuse(call uint64, err error) Decision {
	return settle(call, Outcome{Err: err})
}
