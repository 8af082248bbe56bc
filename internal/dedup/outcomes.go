package dedup

import "time"

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
