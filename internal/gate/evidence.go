package gate

import (
	"cmp"
	"slices"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/poison"
)

// maxRecordedQuarantines bounds the quarantines in a record of the lease.
const maxRecordedQuarantines = 64

// recordCrashes writes what all entries must know of crashes into the next record of the
// lease.
func (c *Core) recordCrashes(now time.Time, record *lease.Record) {
	record.Quarantine = c.recordedQuarantine(now)
	record.Evidence = encodeEvidence(now, c.crashes.log.Evidence(now))
}

// applyRecordedCrashes adds the quarantines in a new record of the lease, and the evidence
// that led to none yet if it is the first record that this process knows: later the leader
// tells of it without delay. The times in a record are relative to when it was written, so
// it must not be applied again.
func (c *Core) applyRecordedCrashes(now time.Time, record *lease.Record, first bool) {
	c.applyRecordedQuarantine(now, record.Quarantine)
	if first {
		c.applyRecordedEvidence(now, record.Evidence)
	}
}

// recordedQuarantine returns the quarantines for the next record of the lease, those with
// the longest durations if there are too many.
func (c *Core) recordedQuarantine(now time.Time) []lease.QuarantinedPart {
	quarantines := c.crashes.log.Quarantines()
	slices.SortStableFunc(quarantines, func(a, b poison.Quarantine) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), b.Until.Compare(a.Until))
	})
	var out []lease.QuarantinedPart
	for _, q := range quarantines[:min(len(quarantines), maxRecordedQuarantines)] {
		out = append(out, lease.QuarantinedPart{
			Part:        uint64(q.Part),
			RemainingMs: q.Until.Sub(now).Milliseconds(),
			DurationMs:  q.Duration.Milliseconds(),
		})
	}
	return out
}

// applyRecordedQuarantine adds the quarantines in a record of the lease.
func (c *Core) applyRecordedQuarantine(now time.Time, recorded []lease.QuarantinedPart) {
	for _, q := range recorded {
		c.crashes.log.AddQuarantine(now, poison.Quarantine{
			Part:     poison.Part(q.Part),
			Until:    now.Add(time.Duration(q.RemainingMs) * time.Millisecond),
			Duration: time.Duration(q.DurationMs) * time.Millisecond,
		})
	}
}

// encodeEvidence returns evidence as records in the store hold it.
func encodeEvidence(now time.Time, evidence poison.Changes) lease.CrashEvidence {
	var out lease.CrashEvidence
	for _, crash := range evidence.Crashes {
		out.Crashes = append(out.Crashes, lease.RecordedCrash{
			Endpoint:    crash.Engine,
			Incarnation: crash.Incarnation,
			AgeMs:       now.Sub(crash.At).Milliseconds(),
			Parts:       poison.EncodeParts(crash.Parts),
		})
	}
	for _, answer := range evidence.Answers {
		out.Answers = append(out.Answers, lease.RecordedAnswer{
			Part:  uint64(answer.Part),
			AgeMs: now.Sub(answer.At).Milliseconds(),
		})
	}
	return out
}

// applyRecordedEvidence adds the evidence in a record of the store.
func (c *Core) applyRecordedEvidence(now time.Time, recorded lease.CrashEvidence) {
	var evidence poison.Changes
	for _, crash := range recorded.Crashes {
		evidence.Crashes = append(evidence.Crashes, poison.Crash{
			Run: poison.Run{
				Engine:      crash.Endpoint,
				Incarnation: crash.Incarnation,
			},
			At:    now.Add(-recordedAge(crash.AgeMs)),
			Parts: poison.DecodeParts(crash.Parts),
		})
	}
	for _, answer := range recorded.Answers {
		evidence.Answers = append(evidence.Answers, poison.Answer{
			Part: poison.Part(answer.Part),
			At:   now.Add(-recordedAge(answer.AgeMs)),
		})
	}
	c.crashes.log.AddEvidence(now, evidence)
}

// maxRecordedAge bounds the ages in records, which any writer may have written.
const maxRecordedAge = 24 * time.Hour

// recordedAge returns an age that a record gives in milliseconds.
func recordedAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxRecordedAge.Milliseconds())) * time.Millisecond
}
