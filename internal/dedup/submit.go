package dedup

import (
	"slices"
	"time"

	"dogwoodfold/pkg/fault"
)

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
	t.addRecord(attempt, id)
	return Decision{
		CallID: attempt.CallID,
		Action: Admit,
	}
}

// addRecord adds the record of an attempt that is admitted.
func (t *Table) addRecord(attempt Attempt, id attemptID) {
	record := &attemptRecord{
		Attempt: attempt,
		ids:     []attemptID{id},
	}
	t.byID[id] = record
	t.byCallID[attempt.CallID] = record
	if attempt.HasKey {
		t.byKey[attempt.Key] = record
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

// RemoveWaiter removes an attempt that waits for another one. It reports
// whether the attempt was waiting.
func (t *Table) RemoveWaiter(callID uint64) bool {
	record, waiting := t.waitingOn[callID]
	if !waiting {
		return false
	}
	delete(t.waitingOn, callID)
	if i := slices.Index(record.waiters, callID); i >= 0 {
		record.waiters = slices.Delete(record.waiters, i, i+1)
	}
	return true
}
