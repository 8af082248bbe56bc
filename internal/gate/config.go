package gate

import (
	"strconv"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// handleConfigRead applies a read of the configuration. Older versions are
// ignored.
func (c *Core) handleConfigRead(now time.Time, e ConfigRead) {
	wasReady := c.ready(now)
	c.applyZonesRead(now, e)
	c.applyConfig(now, e.Config, e.SentAt)
	if e.Era > c.configEra {
		c.configEra = e.Era
		c.configEraSince = now
	}
	if e.SentAt.After(c.configConfirmedAt) && !c.configSuperseded() && !c.configDoubtful(e.SentAt) {
		c.configConfirmedAt = e.SentAt
	}
	if ready := c.ready(now); ready != wasReady {
		c.logChange("readiness", readinessText(ready), "", now.Sub(c.configConfirmedAt))
	}
	c.spreadZones(now)
	c.retryParked(now)
}

// applyConfig puts a configuration into force that was the newest one at a time. Older versions,
// and nil, are ignored.
func (c *Core) applyConfig(now time.Time, config *topo.Config, newestAt time.Time) {
	if config == nil || c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.logChange("applied configuration", strconv.FormatInt(config.Version, 10),
		"after "+strconv.FormatInt(c.configVersion(), 10), now.Sub(newestAt))
	c.config = config
	c.configAppliedAt = now
	c.emit(LimitClients{Limits: config.Limits})
	c.updateColdLimits(now)
	c.updateQuotas(now)
	c.refuseRevokedKeys(now)
	c.sendStates(now)
}

// restoreGracePeriod is how long the store may lack the newest configuration after it has
// come back from a copy, until the operator has written it again.
const restoreGracePeriod = 2 * time.Second

// configDoubtful reports whether a read of the configuration that was sent at a time may
// have missed a newer one because the store has come back from a copy. An entry that has
// just started can't know when that was.
func (c *Core) configDoubtful(sentAt time.Time) bool {
	return c.configEra > 0 && sentAt.Before(c.configEraSince.Add(restoreGracePeriod))
}

// configSuperseded reports whether the leader has named a newer configuration than this entry has: it
// hasn't read that one yet, or the store has come back from a copy and lacks it.
func (c *Core) configSuperseded() bool {
	return c.config != nil && c.config.Version < c.relayedVersion
}

func readinessText(b bool) string {
	if b {
		return "ready"
	}
	return "notReady"
}

// learnVersion records a version of the configuration that the leader has read.
func (c *Core) learnVersion(now time.Time, version int64) {
	if version <= c.relayedVersion {
		return
	}
	c.relayedVersion = version
	c.relayedVersionAt = now
	if c.config != nil && version > c.config.Version {
		c.logChange("configuration is superseded", strconv.FormatInt(version, 10),
			"has "+strconv.FormatInt(c.config.Version, 10), now.Sub(c.configConfirmedAt))
	}
}

// configAskDelay is how long an entry tries to read from the store a configuration that the leader
// has named before it asks the leader for it.
const configAskDelay = 400 * time.Millisecond

// asksConfig reports whether to ask the leader for the configuration, since a read of the store
// hasn't brought the one that the leader has named.
func (c *Core) asksConfig(now time.Time) bool {
	return c.configSuperseded() && now.Sub(c.relayedVersionAt) >= configAskDelay
}

// newerConfigBy returns a time by which the configuration in a state was published. The leader's read
// of it may have been sent before, and have waited for it. Older releases tell only when that was.
func newerConfigBy(now time.Time, state *wirepb.GateState) time.Time {
	age := state.GetConfigSeenUs()
	if age == 0 {
		age = state.GetConfigAgeUs()
	}
	return now.Add(-wirepb.Microseconds(age))
}

// voidConfigProof drops the proof that this entry's configuration is current if it is of a
// later time than one at which a newer configuration was in force. The store has then come
// back from a copy that lacks the newer one.
func (c *Core) voidConfigProof(now, newerBefore time.Time) {
	if c.config == nil || !c.configConfirmedAt.After(newerBefore) {
		return
	}
	c.logChange("configuration read is void", "", "", now.Sub(c.configConfirmedAt))
	c.configConfirmedAt = time.Time{}
}

// configFresh reports whether the configuration is recent enough to admit
// requests with a key.
func (c *Core) configFresh(now time.Time) bool {
	return now.Before(c.configConfirmedAt.Add(c.settings.ConfigMaxAge))
}

// configVersion returns the version of the entry's configuration, 0 if it has none.
func (c *Core) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// configRecord returns the record of the configuration in force for an entry that asks for it.
func (c *Core) configRecord(asked bool) []byte {
	if !asked || c.config == nil {
		return nil
	}
	return c.config.Record
}
