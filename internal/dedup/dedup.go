// Package dedup runs each non-idempotent call at most once. A Table recognizes
// duplicate attempts that reach this process by their request IDs. It
// recognizes repeated idempotency keys through claims in the platform's log,
// which all agents share.
package dedup

import (
	"cmp"
	"time"

	"dogwoodfold/pkg/fault"
)

// Defaults for settings that are zero.
const (
	DefaultClaimWindow      = time.Hour
	DefaultOutcomeRetention = 10 * time.Minute
	DefaultClaimWait        = 2 * time.Second
	defaultAppendInterval   = 30 * time.Millisecond
	defaultMaxResponseBytes = 32 << 20
	defaultMaxRecords       = 200_000
	defaultMaxKeys          = 1_000_000
)

// Settings configures a Table. Fields that are zero take their defaults.
type Settings struct {
	Self    Process
	Service string
	// ClaimWindow is how long a key stays claimed after its newest claim.
	ClaimWindow time.Duration
	// OutcomeRetention is how long outcomes are kept.
	OutcomeRetention time.Duration
	// ClaimWait limits how long an attempt waits for its claim to be read back
	// from the log.
	ClaimWait time.Duration
	// AppendInterval is the minimum time between two appends to the log.
	AppendInterval time.Duration
	// MaxResponseBytes limits the total size of the stored response bodies.
	MaxResponseBytes int
	// MaxRecords limits the number of stored attempts.
	MaxRecords int
	// MaxKeys limits the number of claimed keys that are tracked.
	MaxKeys int
}

// Attempt is one attempt of a non-idempotent call.
type Attempt struct {
	// CallID identifies the attempt within this process.
	CallID uint64
	// RequestID and Number identify the attempt among all hosts.
	RequestID string
	Number    uint32
	// HasKey reports whether the caller sent an idempotency key.
	HasKey        bool
	Key           Key
	RequestDigest RequestDigest
	// RunWithoutLog permits the attempt to run without a confirmed claim if the
	// log is unavailable or the claim is not read back in time.
	RunWithoutLog bool
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Err is nil if the response was complete.
	Err         error
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped reports that the body is no longer stored.
	BodyDropped bool
}

// notRun reports whether the attempt is known not to have run.
func (o *Outcome) notRun() bool { return o.Err != nil && fault.VerdictOf(o.Err) == fault.NotRun }

// Action says what to do with an attempt.
type Action int

// The possible actions.
const (
	// Admit lets the attempt proceed. An attempt admitted by Submit is to be
	// queued and passed to TryStart. One admitted by ApplyPage or ExpireClaims
	// is to be run.
	Admit Action = iota
	// Wait makes the attempt wait for the outcome of another attempt.
	Wait
	// Complete ends the attempt with the outcome in the decision.
	Complete
)

// Decision says what to do with one attempt.
type Decision struct {
	CallID  uint64
	Action  Action
	Outcome Outcome
	// Holder is the process that should get the call instead, if set.
	Holder Process
}

// attemptID identifies an attempt among all hosts.
type attemptID struct {
	requestID string
	number    uint32
}

// attemptRecord is the state of an attempt that was admitted, or that is to be
// rejected because its outcome was queried before it arrived.
type attemptRecord struct {
	Attempt
	// ids identify the attempt and those that joined it because they have the
	// same key.
	ids []attemptID
	// waiters are the call IDs of the attempts that wait for the outcome.
	waiters []uint64
	ended   bool
	endedAt time.Time
	outcome Outcome
}

// Table holds the deduplication state of one agent process. It is not safe for
// concurrent use.
type Table struct {
	settings Settings
	claims   claimIndex
	writer   *claimWriter
	byID     map[attemptID]*attemptRecord
	byKey    map[Key]*attemptRecord
	byCallID map[uint64]*attemptRecord
	// waitingOn maps the call ID of a waiting attempt to the record it waits
	// for.
	waitingOn map[uint64]*attemptRecord
	// keyStarts holds the start times of keys for which a call may have run in
	// this process.
	keyStarts map[Key]time.Time
	// ended holds the records with an outcome, oldest first.
	ended []*attemptRecord
	// responseBytes is the total size of the stored response bodies.
	responseBytes int
	// lastSweepAt is the time of the last removal of expired keys.
	lastSweepAt time.Time
}

// withDefaults returns the settings with defaults in place of zero values.
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

// Submit decides what to do with an attempt that has arrived. An admitted
// attempt must be followed by Finish or Discard.
func (t *Table) Submit(now time.Time, attempt Attempt) Decision {
	t.evictOutcomes(now)
	id := attemptID{attempt.RequestID, attempt.Number}
	if existing, known := t.byID[id]; known {
		return t.joinOrComplete(existing, attempt.CallID, nil)
	}
	if attempt.HasKey {
		if decision, known := t.decideByKey(now, attempt, id); known {
			return decision
		}
	}
	if len(t.byID) >= t.settings.MaxRecords || len(t.claims.keys) >= t.settings.MaxKeys {
		return reject(attempt.CallID, fault.New(fault.NotRun, fault.CodeBusy, "too many outcomes are kept"))
	}
	record := &attemptRecord{
		Attempt: attempt,
		ids:     []attemptID{id},
	}
	t.byID[id] = record
	t.byCallID[attempt.CallID] = record
	if attempt.HasKey {
		t.byKey[attempt.Key] = record
	}
	return Decision{
		CallID: attempt.CallID,
		Action: Admit,
	}
}

// decideByKey decides on an attempt whose key is in use here or elsewhere, or
// can't be claimed now. decided is false if the attempt may be admitted.
func (t *Table) decideByKey(now time.Time, attempt Attempt, id attemptID) (decision Decision, decided bool) {
	if record, found := t.byKey[attempt.Key]; found && (!record.ended || !record.outcome.notRun()) {
		if record.RequestDigest != attempt.RequestDigest {
			return reject(attempt.CallID, errKeyConflict), true
		}
		return t.joinOrComplete(record, attempt.CallID, &id), true
	}
	kc, found := t.claims.lookup(now, attempt.Key)
	if found && kc.digest != attempt.RequestDigest {
		return reject(attempt.CallID, errKeyConflict), true
	}
	if found && kc.holder != t.settings.Self {
		rejection := reject(attempt.CallID, errClaimedElsewhere)
		rejection.Holder = kc.holder
		return rejection, true
	}
	if _, started := t.keyStarts[attempt.Key]; started {
		return reject(attempt.CallID, errOutcomeUnknown), true
	}
	if t.writer.logUnavailable && !attempt.RunWithoutLog && !t.claims.mayRun(now, attempt.Key) {
		return reject(attempt.CallID, errLogUnavailable), true
	}
	return Decision{}, false
}

// joinOrComplete completes an attempt with the outcome in the record of another
// one, or makes it wait for that outcome. id is nil if the record already
// includes the attempt.
func (t *Table) joinOrComplete(record *attemptRecord, callID uint64, id *attemptID) Decision {
	if record.ended {
		return complete(callID, record.outcome)
	}
	if id != nil {
		record.ids = append(record.ids, *id)
		t.byID[*id] = record
	}
	record.waiters = append(record.waiters, callID)
	t.waitingOn[callID] = record
	return Decision{
		CallID: callID,
		Action: Wait,
	}
}

// TryStart reports whether an admitted attempt may run now. If not, its claim
// is pending, and a later decision of ApplyPage or ExpireClaims says whether it
// may run.
func (t *Table) TryStart(now time.Time, callID uint64) bool {
	record, known := t.byCallID[callID]
	if !known || !record.HasKey {
		return true
	}
	if t.claims.mayRun(now, record.Key) || (t.writer.logUnavailable && record.RunWithoutLog) {
		t.keyStarts[record.Key] = now
		return true
	}
	t.writer.add(now, callID, claim{
		key:    record.Key,
		digest: record.RequestDigest,
	})
	return false
}

// Finish stores the outcome of an admitted attempt and returns decisions for
// the attempts that waited for it.
func (t *Table) Finish(now time.Time, callID uint64, outcome Outcome) []Decision {
	record, known := t.byCallID[callID]
	if !known {
		return nil
	}
	delete(t.byCallID, callID)
	t.writer.abandon(record.Key, callID)
	if record.HasKey && outcome.notRun() {
		delete(t.keyStarts, record.Key)
	}
	record.ended, record.endedAt, record.outcome = true, now, outcome
	t.ended = append(t.ended, record)
	t.responseBytes += len(outcome.Body)
	var decisions []Decision
	for _, waiter := range record.waiters {
		delete(t.waitingOn, waiter)
		decisions = append(decisions, complete(waiter, outcome))
	}
	record.waiters = nil
	t.evictOutcomes(now)
	return decisions
}

// Discard removes an admitted attempt that was refused on arrival. Its request
// has already arrived and can't arrive again, so no record is needed to reject
// it.
func (t *Table) Discard(callID uint64) {
	record, known := t.byCallID[callID]
	if !known {
		return
	}
	delete(t.byCallID, callID)
	t.remove(record)
}

// SetAppendInterval sets the minimum time between two appends.
func (t *Table) SetAppendInterval(interval time.Duration) { t.writer.interval = interval }

// RemoveWaiter removes an attempt that waits for another one. It reports
// whether the attempt was waiting.
func (t *Table) RemoveWaiter(callID uint64) bool {
	record, waiting := t.waitingOn[callID]
	if !waiting {
		return false
	}
	delete(t.waitingOn, callID)
	for i, waiter := range record.waiters {
		if waiter == callID {
			record.waiters = append(record.waiters[:i], record.waiters[i+1:]...)
			break
		}
	}
	return true
}

// Query returns the outcome of an attempt. running is true if it has none yet.
// An attempt that has not arrived is rejected if it arrives later, so its
// outcome is that it has not run.
func (t *Table) Query(now time.Time, requestID string, number uint32) (outcome Outcome, running bool) {
	t.evictOutcomes(now)
	id := attemptID{requestID, number}
	if existing, known := t.byID[id]; known {
		return existing.outcome, !existing.ended
	}
	if len(t.byID) >= t.settings.MaxRecords {
		return Outcome{Err: errOutcomeUnknown}, false // no room for the record that would reject it later
	}
	record := &attemptRecord{
		ids:     []attemptID{id},
		ended:   true,
		endedAt: now,
		outcome: Outcome{Err: errNotArrived},
	}
	t.byID[id] = record
	t.ended = append(t.ended, record)
	return record.outcome, false
}

// evictOutcomes removes the outcomes that have exceeded their retention time,
// and drops the oldest response bodies while their total size exceeds the
// limit.
func (t *Table) evictOutcomes(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].endedAt) >= t.settings.OutcomeRetention {
		record := t.ended[0]
		t.ended = t.ended[1:]
		t.responseBytes -= len(record.outcome.Body)
		t.remove(record)
	}
	for i := 0; t.responseBytes > t.settings.MaxResponseBytes && i < len(t.ended); i++ {
		outcome := &t.ended[i].outcome
		t.responseBytes -= len(outcome.Body)
		outcome.BodyDropped = outcome.BodyDropped || len(outcome.Body) > 0
		outcome.Body = nil
	}
}

// remove deletes a record from the maps by attempt and by key.
func (t *Table) remove(record *attemptRecord) {
	for _, id := range record.ids {
		delete(t.byID, id)
	}
	if record.HasKey && t.byKey[record.Key] == record {
		delete(t.byKey, record.Key)
	}
}

// complete returns a decision that ends an attempt with an outcome, or with an
// error if the response body is no longer stored.
func complete(callID uint64, outcome Outcome) Decision {
	if outcome.Err == nil && outcome.BodyDropped {
		outcome = Outcome{Err: errResponseDropped}
	}
	return Decision{
		CallID:  callID,
		Action:  Complete,
		Outcome: outcome,
	}
}

// reject returns a decision that ends an attempt with an error.
func reject(callID uint64, err error) Decision {
	return complete(callID, Outcome{Err: err})
}
