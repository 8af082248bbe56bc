package entry

import (
	"errors"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// handleConfigPage applies a page of the configuration stream.
func (c *Core) handleConfigPage(now time.Time, page plat.Page) []Effect {
	var effects []Effect
	previous := c.fold.Accepted
	c.fold.Skip(page.First)
	for _, record := range page.Records {
		c.checkpoints.observe(record)
		if err := c.fold.Apply(record.Offset, record.Data); err != nil {
			if errors.Is(err, config.ErrCheckpoint) {
				c.checkpoints.markInvalid(now, record.Offset)
			}
			effects = append(effects, LogWarning{
				Message: "configuration record rejected",
				Err:     err,
			})
		}
	}
	caughtUp := c.fold.Reached(page.Next)
	effects = append(effects, c.applyFold(now, previous)...)
	if caughtUp {
		c.checkpoints.markCheckpointed(c.fold.Checkpointed)
		c.relay.MarkCurrent(pageTime(now, page))
		c.configCaughtUp = true
	}
	return append(effects, c.updateReady(now)...)
}

// pageTime returns when the page was requested, or now if that is unknown. The
// page is at least as recent as that.
func pageTime(now time.Time, page plat.Page) time.Time {
	if page.RequestedAt.IsZero() {
		return now
	}
	return page.RequestedAt
}

// applyFold installs the configuration if the fold has accepted a different one
// than previous.
func (c *Core) applyFold(now time.Time, previous uint64) []Effect {
	c.relay.SetApplied(now, c.fold.Accepted, c.fold.Next)
	if c.fold.Accepted == previous {
		return nil
	}
	return c.installConfig(now)
}

// installConfig makes the accepted configuration effective, for active calls
// too.
func (c *Core) installConfig(now time.Time) []Effect {
	c.index = config.NewIndex(c.fold.Config)
	c.router.SetEvacuated(c.isEvacuated)
	effects := c.setCustomerLimits(now, c.fold.Config.Customers)
	effects = append(effects, InstallConfig{
		Index:  c.index,
		Offset: c.fold.Accepted,
	})
	effects = append(effects, c.revokeCalls(now)...)
	return append(effects, c.sendHeartbeats(now)...)
}

// tickConfig runs the periodic work on the configuration.
func (c *Core) tickConfig(now time.Time) []Effect {
	effects := c.cancelRevoked(now)
	effects = append(effects, c.requestConfig(now)...)
	if record, due := c.checkpoints.nextCheckpoint(now, c.fold); due && c.configCaughtUp {
		effects = append(effects, record)
	}
	return append(effects, c.updateReady(now)...)
}

// updateReady updates the readiness and reports a change. To become ready, an
// entry must know the newest configuration. It then stays ready while the log
// is down for all entries, but not while it is isolated.
func (c *Core) updateReady(now time.Time) []Effect {
	if !c.configCaughtUp && c.fold.Whole() {
		c.configCaughtUp = c.relay.SyncedWithPeers(now)
	}
	ready := c.configCaughtUp && c.fold.Accepted != 0 && !c.relay.Isolated(now)
	if ready == c.ready {
		return nil
	}
	c.ready = ready
	return []Effect{SetReady{Ready: ready && !c.leaving}}
}
