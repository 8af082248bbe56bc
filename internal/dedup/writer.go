package dedup

import "time"

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
	queue    []Key
	// inFlight are the keys in the append in progress.
	inFlight []Key
	// lastTag identifies the newest append.
	lastTag      uint64
	lastAppendAt time.Time
	// readFailures is the number of consecutive read failures.
	readFailures   int
	logUnavailable bool
}

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

// sentAt returns the time at which a claim was first sent, or zero if unknown.
func (cw *claimWriter) sentAt(key Key) time.Time {
	if pc, known := cw.pending[key]; known {
		return pc.firstSentAt
	}
	return time.Time{}
}
