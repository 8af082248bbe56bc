package dedup

import (
	"cmp"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
)

// readFailureThreshold is the number of consecutive read failures after which the
// log counts as unavailable.
const readFailureThreshold = 2

// Batch is one append of claims.
type Batch struct {
	// Tag identifies the batch to AppendDone.
	Tag  string
	Data []byte
}

// NextBatch returns the batch to append now, or nil if there is none. If a
// batch is due later, wait is the time until then.
func (t *Table) NextBatch(now time.Time) (batch *Batch, wait time.Duration) {
	cw := t.writer
	if len(cw.queue) == 0 || len(cw.inFlight) > 0 {
		return nil, 0
	}
	if wait := cw.lastAppendAt.Add(cw.interval).Sub(now); wait > 0 {
		return nil, wait
	}
	selected := cw.takeQueued(now)
	if len(selected) == 0 {
		return nil, 0
	}
	data, err := encodeClaims(t.settings.Service, t.settings.Self, selected)
	if err != nil {
		cw.inFlight = nil // claimRecord always encodes without error
		return nil, 0
	}
	cw.lastAppendAt = now
	cw.lastTag++
	return &Batch{
		Tag:  cw.tag(),
		Data: data,
	}, 0
}

// AppendDone records the result of an append. After an error its claims are
// sent again. A claim that is in the log twice does no harm.
func (t *Table) AppendDone(tag string, err error) {
	cw := t.writer
	if tag != cw.tag() {
		return
	}
	if err != nil {
		cw.queue = append(cw.queue, cw.inFlight...)
	}
	cw.inFlight = nil
}

// ApplyPage processes a page of the stream of claims and returns decisions for
// the attempts whose claims it contains. Admit means that the attempt is to be
// run.
func (t *Table) ApplyPage(now time.Time, page plat.Page) ([]Decision, error) {
	t.writer.readFailures = 0
	t.writer.logUnavailable = false
	var decisions []Decision
	var lastErr error
	for _, record := range page.Records {
		ownKeys, err := t.claims.apply(now, record, t.writer.sentAt)
		if err != nil {
			lastErr = err
		}
		for _, key := range ownKeys {
			decisions = append(decisions, t.resolveClaim(now, key)...)
		}
	}
	return decisions, lastErr
}

// resolveClaim decides on the attempt that waited for a claim of a key to be
// read back.
func (t *Table) resolveClaim(now time.Time, key Key) []Decision {
	pc, known := t.writer.pending[key]
	if !known {
		return nil
	}
	delete(t.writer.pending, key)
	if pc.callID == 0 {
		return nil
	}
	if t.claims.mayRun(now, key) {
		return []Decision{t.startPending(now, pc)}
	}
	kc, _ := t.claims.lookup(now, key)
	decision := reject(pc.callID, errClaimedElsewhere)
	if kc.digest != pc.digest {
		decision = reject(pc.callID, errKeyConflict)
	}
	if kc.holder != t.settings.Self {
		decision.Holder = kc.holder
	}
	return []Decision{decision}
}

// startPending records the start of a waiting attempt and returns the decision
// to run it.
func (t *Table) startPending(now time.Time, pc *pendingClaim) Decision {
	t.keyStarts[pc.key] = now
	return Decision{
		CallID: pc.callID,
		Action: Admit,
	}
}

// RecordReadFailure records that the log could not be read.
func (t *Table) RecordReadFailure() {
	t.writer.readFailures++
	t.writer.logUnavailable = t.writer.readFailures >= readFailureThreshold
}

// ExpireClaims decides on the attempts whose claims have not been read back
// within ClaimWait, and removes expired outcomes and keys.
func (t *Table) ExpireClaims(now time.Time) []Decision {
	t.evictOutcomes(now)
	t.removeExpiredKeys(now)
	t.writer.removeAbandoned(now, t.settings.ClaimWindow/2)
	var decisions []Decision
	for _, pc := range t.writer.pending {
		if pc.callID == 0 || now.Sub(pc.waitingSince) < t.settings.ClaimWait {
			continue
		}
		if record := t.byCallID[pc.callID]; record != nil && record.RunWithoutLog {
			decisions = append(decisions, t.startPending(now, pc))
		} else {
			decisions = append(decisions, reject(pc.callID, errLogUnavailable))
		}
		pc.callID = 0
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.CallID, b.CallID) })
	return decisions
}

// sweepsPerWindow is how often per window expired keys are removed. It is
// bounded because each removal takes time proportional to the number of keys.
const sweepsPerWindow = 64

// removeExpiredKeys removes the claims whose window has passed, and the start
// times of keys after two windows.
func (t *Table) removeExpiredKeys(now time.Time) {
	if now.Sub(t.lastSweepAt) < t.settings.ClaimWindow/sweepsPerWindow {
		return
	}
	t.lastSweepAt = now
	t.claims.removeExpired()
	for key, started := range t.keyStarts {
		if now.Sub(started) >= 2*t.settings.ClaimWindow {
			delete(t.keyStarts, key)
		}
	}
}
