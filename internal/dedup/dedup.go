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
	DefaultClaimWindow      = time.Hour
	DefaultOutcomeRetention = 10 * time.Minute
	DefaultClaimWait        = 2 * time.Second
	defaultAppendInterval   = 30 * time.Millisecond
	defaultMaxResponseBytes = 32 << 20
	defaultMaxRecords       = 200_000
	defaultMaxKeys          = 1_000_000
)

// Settings are the constants of a table; zero ones take their defaults.
type Settings struct {
	Self    Process
	Service string
	// ClaimWindow is how long a key counts after its newest claim.
	ClaimWindow time.Duration
	// OutcomeRetention is how long outcomes are kept.
	OutcomeRetention time.Duration
	// ClaimWait bounds the wait for a claim to come back from the log.
	ClaimWait time.Duration
	// AppendInterval is the least time between two appends.
	AppendInterval time.Duration
	// MaxResponseBytes bounds the stored answers, Records their number and Keys
	// the number of claims that are remembered.
	MaxResponseBytes int
	MaxRecords       int
	MaxKeys          int
}

// Attempt is one attempt of a call that may not be repeated.
type Attempt struct {
	// CallID names the attempt within this process.
	CallID    uint64
	RequestID string
	Number    uint32
	// HasKey says that the caller gave an idempotency key.
	HasKey        bool
	Key           Key
	RequestDigest RequestDigest
	RunWithoutLog bool
}

// Outcome is how an attempt has ended.
type Outcome struct {
	// Err is nil after a whole answer.
	Err         error
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped says that the answer is not kept any more.
	BodyDropped bool
}

// notRun reports whether the attempt is proved not to have run.
func (o *Outcome) notRun() bool { return o.Err != nil && fault.VerdictOf(o.Err) == fault.NotRun }

// Action is what to do with an attempt that has arrived.
type Action int

// The actions.
const (
	// Admit queues the attempt; Start follows.
	Admit Action = iota
	// Wait waits for the end of another attempt.
	Wait
	// Complete answers with an outcome at once.
	Complete
)

// Decision is what becomes of an attempt.
type Decision struct {
	CallID  uint64
	Action  Action
	Outcome Outcome
	// Holder is the process to send the call to instead, if it is set.
	Holder Process
}

// attemptID names an attempt in the whole fleet.
type attemptID struct {
	requestID string
	number    uint32
}

// attemptRecord is what is known of one run.
type attemptRecord struct {
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
	claims   claimIndex
	writer   *claimWriter
	byID     map[attemptID]*attemptRecord
	byKey    map[Key]*attemptRecord
	byCallID map[uint64]*attemptRecord
	// waitingOn holds the records that waiting attempts wait for.
	waitingOn map[uint64]*attemptRecord
	// keyStarts holds the keys that may have run here, with the time of the start.
	keyStarts     map[Key]time.Time
	ended         []*attemptRecord
	responseBytes int
	// lastSweepAt is when the keys were last looked through.
	lastSweepAt time.Time
}

// withDefaults fills the settings that are zero.
func (s Settings) withDefaults() Settings {
	s.ClaimWindow = cmp.Or(s.ClaimWindow, DefaultClaimWindow)
	s.OutcomeRetention = cmp.Or(s.OutcomeRetention, DefaultOutcomeRetention)
	s.ClaimWait = cmp.Or(s.ClaimWait, DefaultClaimWait)
	s.AppendInterval = cmp.Or(s.AppendInterval, defaultAppendInterval)
	s.MaxResponseBytes = cmp.Or(s.MaxResponseBytes, defaultMaxResponseBytes)
	s.MaxRecords = cmp.Or(s.MaxRecords, defaultMaxRecords)
	s.MaxKeys = cmp.Or(s.MaxKeys, defaultMaxKeys)
	return s
}

// New returns an empty table.
func New(s Settings) *Table {
	s = s.withDefaults()
	return &Table{
		settings: s,
		claims: claimIndex{
			self:    s.Self,
			service: s.Service,
			window:  s.ClaimWindow,
			keys:    make(map[Key]keyClaim),
		},
		writer:    newClaimWriter(s.AppendInterval),
		byID:      make(map[attemptID]*attemptRecord),
		byKey:     make(map[Key]*attemptRecord),
		byCallID:  make(map[uint64]*attemptRecord),
		waitingOn: make(map[uint64]*attemptRecord),
		keyStarts: make(map[Key]time.Time),
	}
}

// Submit decides on an attempt. An admitted one must be followed by End.
func (t *Table) Submit(now time.Time, a Attempt) Decision {
	t.evictOutcomes(now)
	id := attemptID{a.RequestID, a.Number}
	if r, known := t.byID[id]; known {
		return t.joinOrComplete(r, a.CallID, nil)
	}
	if a.HasKey {
		if d, known := t.decideByKey(now, a, id); known {
			return d
		}
	}
	if len(t.byID) >= t.settings.MaxRecords || len(t.claims.keys) >= t.settings.MaxKeys {
		return reject(a.CallID, fault.New(fault.NotRun, fault.CodeBusy, "too many outcomes are kept"))
	}
	r := &attemptRecord{
		Attempt: a,
		ids:     []attemptID{id},
	}
	t.byID[id] = r
	t.byCallID[a.CallID] = r
	if a.HasKey {
		t.byKey[a.Key] = r
	}
	return Decision{
		CallID: a.CallID,
		Action: Admit,
	}
}

// decideByKey decides on an attempt whose key has been seen, or can't be claimed.
func (t *Table) decideByKey(now time.Time, a Attempt, id attemptID) (d Decision, decided bool) {
	if r, found := t.byKey[a.Key]; found && (!r.ended || !r.outcome.notRun()) {
		if r.RequestDigest != a.RequestDigest {
			return reject(a.CallID, errKeyConflict), true
		}
		return t.joinOrComplete(r, a.CallID, &id), true
	}
	kc, found := t.claims.lookup(now, a.Key)
	if found && kc.digest != a.RequestDigest {
		return reject(a.CallID, errKeyConflict), true
	}
	if found && kc.holder != t.settings.Self {
		d := reject(a.CallID, errClaimedElsewhere)
		d.Holder = kc.holder
		return d, true
	}
	if _, started := t.keyStarts[a.Key]; started {
		return reject(a.CallID, errOutcomeUnknown), true
	}
	if t.writer.logUnavailable && !a.RunWithoutLog && !t.claims.mayRun(now, a.Key) {
		return reject(a.CallID, errLogUnavailable), true
	}
	return Decision{}, false
}

// joinOrComplete answers an attempt from the record of another one, or lets it wait.
func (t *Table) joinOrComplete(r *attemptRecord, callID uint64, id *attemptID) Decision {
	if r.ended {
		return complete(callID, r.outcome)
	}
	if id != nil {
		r.ids = append(r.ids, *id)
		t.byID[*id] = r
	}
	r.waiters = append(r.waiters, callID)
	t.waitingOn[callID] = r
	return Decision{
		CallID: callID,
		Action: Wait,
	}
}

// TryStart reports whether an admitted attempt may run now. If not, its claim is
// on the way, and Read, Expired or Appended decide.
func (t *Table) TryStart(now time.Time, callID uint64) bool {
	r, known := t.byCallID[callID]
	if !known || !r.HasKey {
		return true
	}
	if t.claims.mayRun(now, r.Key) || (t.writer.logUnavailable && r.RunWithoutLog) {
		t.keyStarts[r.Key] = now
		return true
	}
	t.writer.add(now, callID, claim{
		key:    r.Key,
		digest: r.RequestDigest,
	})
	return false
}

// Finish stores the outcome of an admitted attempt and returns the attempts that
// waited for it.
func (t *Table) Finish(now time.Time, callID uint64, o Outcome) []Decision {
	r, known := t.byCallID[callID]
	if !known {
		return nil
	}
	delete(t.byCallID, callID)
	t.writer.abandon(r.Key, callID)
	if r.HasKey && o.notRun() {
		delete(t.keyStarts, r.Key)
	}
	r.ended, r.endedAt, r.outcome = true, now, o
	t.ended = append(t.ended, r)
	t.responseBytes += len(o.Body)
	var decisions []Decision
	for _, waiter := range r.waiters {
		delete(t.waitingOn, waiter)
		decisions = append(decisions, complete(waiter, o))
	}
	r.waiters = nil
	t.evictOutcomes(now)
	return decisions
}

// Discard forgets an admitted attempt that was refused on its arrival. Its request
// has come and can't come again, so nothing need be kept.
func (t *Table) Discard(callID uint64) {
	r, known := t.byCallID[callID]
	if !known {
		return
	}
	delete(t.byCallID, callID)
	t.remove(r)
}

// SetAppendInterval changes the least time between two appends.
func (t *Table) SetAppendInterval(interval time.Duration) { t.writer.interval = interval }

// RemoveWaiter takes out an attempt that waits for another one.
func (t *Table) RemoveWaiter(callID uint64) bool {
	r, waiting := t.waitingOn[callID]
	if !waiting {
		return false
	}
	delete(t.waitingOn, callID)
	for i, waiter := range r.waiters {
		if waiter == callID {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	return true
}

// Query returns the outcome of an attempt, running if it has none yet. An
// attempt that was not seen is refused from now on and so has not run.
func (t *Table) Query(now time.Time, requestID string, number uint32) (o Outcome, running bool) {
	t.evictOutcomes(now)
	id := attemptID{requestID, number}
	if r, known := t.byID[id]; known {
		return r.outcome, !r.ended
	}
	if len(t.byID) >= t.settings.MaxRecords {
		return Outcome{Err: errOutcomeUnknown}, false // no room to refuse it later
	}
	r := &attemptRecord{
		ids:     []attemptID{id},
		ended:   true,
		endedAt: now,
		outcome: Outcome{Err: errNotArrived},
	}
	t.byID[id] = r
	t.ended = append(t.ended, r)
	return r.outcome, false
}

// evictOutcomes forgets old outcomes and keeps the stored answers within bounds.
func (t *Table) evictOutcomes(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].endedAt) >= t.settings.OutcomeRetention {
		r := t.ended[0]
		t.ended = t.ended[1:]
		t.responseBytes -= len(r.outcome.Body)
		t.remove(r)
	}
	for i := 0; t.responseBytes > t.settings.MaxResponseBytes && i < len(t.ended); i++ {
		o := &t.ended[i].outcome
		t.responseBytes -= len(o.Body)
		o.BodyDropped = o.BodyDropped || len(o.Body) > 0
		o.Body = nil
	}
}

func (t *Table) remove(r *attemptRecord) {
	for _, id := range r.ids {
		delete(t.byID, id)
	}
	if r.HasKey && t.byKey[r.Key] == r {
		delete(t.byKey, r.Key)
	}
}

// complete answers an attempt with an outcome.
func complete(callID uint64, o Outcome) Decision {
	if o.Err == nil && o.BodyDropped {
		o = Outcome{Err: errResponseDropped}
	}
	return Decision{
		CallID:  callID,
		Action:  Complete,
		Outcome: o,
	}
}

func reject(callID uint64, err error) Decision {
	return complete(callID, Outcome{Err: err})
}
