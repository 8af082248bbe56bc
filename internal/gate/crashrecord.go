package gate

import (
	"time"
)

// crashRecords is the state of an entry's own record of crashes in the store. The entry that
// sees a crash writes it at once: the record of the lease, which the leader renews from time
// to time, may come too late if all entries end.
type crashRecords struct {
	// due is true while the store lacks a crash that this entry has seen, writing while it
	// is being told.
	due, writing bool
	// retryAt is the time before which nothing is written, after a failure.
	retryAt time.Time
}

// recordNewCrashes writes what this entry knows of crashes to the store if it has seen one that
// the store lacks.
func (c *Core) recordNewCrashes(now time.Time) {
	r := &c.crashRecords
	if !r.due || r.writing || now.Before(r.retryAt) {
		return
	}
	r.due = false
	r.writing = true
	c.emit(RecordCrashes{Evidence: encodeEvidence(now, c.crashes.log.Recent())})
}

// handleCrashesRecorded writes again what the store has not acknowledged, and what has come
// since.
func (c *Core) handleCrashesRecorded(now time.Time, e CrashesRecorded) {
	r := &c.crashRecords
	r.writing = false
	if !e.Acknowledged {
		r.due = true
		r.retryAt = now.Add(c.jitter(storeRetryDelay))
	}
	c.recordNewCrashes(now)
}

// handleCrashesRead adds what entries had told the store of crashes before this one started.
func (c *Core) handleCrashesRead(now time.Time, e CrashesRead) {
	for _, evidence := range e.Evidence {
		c.applyRecordedEvidence(now, evidence)
	}
	c.crashes.log.Assess(now)
}
