package gate

import "time"

// maxTickGap is the time between two ticks from which the entry counts as slow. Its reads of
// the store may then be late, or fail, for want of processor time.
const maxTickGap = 250 * time.Millisecond

// tickWatch notices that the entry gets too little processor time.
type tickWatch struct {
	lastTickAt time.Time
	// gapEndedAt is when the last gap of over maxTickGap ended.
	gapEndedAt time.Time
}

// record records a tick.
func (w *tickWatch) record(now time.Time) {
	if now.Sub(w.lastTickAt) > maxTickGap {
		w.gapEndedAt = now
	}
	w.lastTickAt = now
}

// slowSince reports whether a gap between ticks has ended after a time or goes on.
func (w *tickWatch) slowSince(now, since time.Time) bool {
	return now.Sub(w.lastTickAt) > maxTickGap || w.gapEndedAt.After(since)
}

// handleConfigReadFailed records the first failed read of the configuration after the last proof.
func (c *Core) handleConfigReadFailed(now time.Time, e ConfigReadFailed) {
	if e.SentAt.After(c.configConfirmedAt) && !c.storeFailingSince.After(c.configConfirmedAt) {
		c.storeFailingSince = now
	}
}

// configInForce reports whether requests may be handled by the entry's configuration. A newer
// one must be in force within ConfigBound, so the proof may be no older. It may be older while
// the store fails, in which case nobody can change the configuration.
func (c *Core) configInForce(now time.Time) bool {
	return now.Before(c.configConfirmedAt.Add(c.settings.ConfigBound)) || c.storeFails(now) && !c.configSuperseded()
}

// storeFails reports whether the store fails, rather than this entry: a read that was sent after the
// last proof has failed within ConfigBound of it, and the entry hasn't been slow since. Past that bound
// false stays false until the next proof, so that what is refused isn't served again without one.
func (c *Core) storeFails(now time.Time) bool {
	proof := c.configConfirmedAt
	known := c.storeFailingSince.After(proof) && c.storeFailingSince.Before(proof.Add(c.settings.ConfigBound))
	return known && !c.ticks.slowSince(now, proof)
}
