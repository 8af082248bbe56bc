package gate

import (
	"testing"
	"time"
)

// Guards against losing the evidence when all entries start anew between the third crash
// and the quarantine.
func TestEvidenceOutlivesAllEntries(t *testing.T) {
	f := newPlainFleet(t)
	f.crashBad(3)
	f.pass(budgetContact)
	restarted := newPlainFleet(t)
	for _, core := range restarted.cores {
		core.applyRecordedQuarantine(restarted.now, f.lastRecord.Quarantine)
	}
	restarted.pass(budgetContact) // all entries are in touch again
	if reached := restarted.attack(time.Minute); reached > badRetries {
		t.Errorf("after the third crash and a restart of all entries, %d requests reached endpoints, want at most %d",
			reached, badRetries)
	}
}
