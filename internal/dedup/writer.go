package dedup

import (
	"maps"
	"strconv"
	"time"
)

// pendingClaim is a claim that has not been read back from the log.
type pendingClaim struct {
	claim
	// callID is the attempt that waits for the claim, or 0 if it has stopped
	// waiting.
	callID uint64
	// firstSentAt is the time at which the claim was first sent, or zero if it
	// has not been sent.
	firstSentAt time.Time
	// waitingSince is the time at which the attempt began to wait.
	waitingSince time.Time
}

// claimWriter batches claims into appends to the log, with at most one append
// in progress. It also tracks whether the log can be read.
type claimWriter struct {
	interval time.Duration
	pending  map[Key]*pendingClaim
	// queue are the keys to claim in the next appends, oldest first.
	queue []Key
	// inFlight are the keys in the append in progress.
	inFlight []Key
	// lastTag identifies the newest append.
	lastTag      uint64
	lastAppendAt time.Time
	// readFailures is the number of consecutive read failures.
	readFailures   int
	logUnavailable bool
}

// newClaimWriter returns a writer that appends at most once per interval.
func newClaimWriter(interval time.Duration) *claimWriter {
	return &claimWriter{
		interval: interval,
		pending:  make(map[Key]*pendingClaim),
	}
}

// add queues a claim for the next append.
func (cw *claimWriter) add(now time.Time, callID uint64, c claim) {
	pc, known := cw.pending[c.key]
	if !known {
		pc = &pendingClaim{}
		cw.pending[c.key] = pc
	}
	pc.claim, pc.callID, pc.waitingSince = c, callID, now
	cw.queue = append(cw.queue, c.key)
}

// abandon detaches the attempt from its pending claim. A claim that has been
// sent may still be read back, so it is kept.
func (cw *claimWriter) abandon(key Key, callID uint64) {
	pc, known := cw.pending[key]
	if !known || pc.callID != callID {
		return
	}
	pc.callID = 0
	if pc.firstSentAt.IsZero() {
		delete(cw.pending, key)
	}
}

// takeQueued removes the claims for one append from the queue and marks them as in
// flight. It skips those whose attempts have stopped waiting.
func (cw *claimWriter) takeQueued(now time.Time) []claim {
	var selected []claim
	for len(cw.queue) > 0 && len(selected) < maxClaimsPerRecord {
		key := cw.queue[0]
		cw.queue = cw.queue[1:]
		pc, known := cw.pending[key]
		if !known || pc.callID == 0 {
			continue
		}
		if pc.firstSentAt.IsZero() {
			pc.firstSentAt = now
		}
		selected = append(selected, pc.claim)
		cw.inFlight = append(cw.inFlight, key)
	}
	return selected
}

// tag returns the tag of the newest append.
func (cw *claimWriter) tag() string { return strconv.FormatUint(cw.lastTag, 10) }

// removeAbandoned removes the claims that no attempt has waited for since the given
// age.
func (cw *claimWriter) removeAbandoned(now time.Time, age time.Duration) {
	maps.DeleteFunc(cw.pending, func(_ Key, pc *pendingClaim) bool {
		return pc.callID == 0 && now.Sub(pc.waitingSince) >= age
	})
}

// sentAt returns the time at which a claim was first sent, or zero if unknown.
func (cw *claimWriter) sentAt(key Key) time.Time {
	if pc, known := cw.pending[key]; known {
		return pc.firstSentAt
	}
	return time.Time{}
}
