package entry

import (
	"errors"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
)

// configRead folds a page of the configuration stream.
func (c *Core) configRead(now time.Time, page plat.Page) []Effect {
	var effects []Effect
	before := c.fold.Accepted
	c.fold.Skip(page.First)
	for _, record := range page.Records {
		c.points.read(record)
		if err := c.fold.Apply(record.Offset, record.Data); err != nil {
			if errors.Is(err, config.ErrCheckpoint) {
				c.points.refute(now, record.Offset)
			}
			effects = append(effects, Note{
				Text: "configuration record refused",
				Err:  err,
			})
		}
	}
	reached := c.fold.Reached(page.Next)
	effects = append(effects, c.folded(now, before)...)
	if reached {
		c.points.reached(c.fold.Checkpointed)
		c.relay.MarkCurrent(asOf(now, page))
		c.fresh = true
	}
	return append(effects, c.judgeReady(now)...)
}

// asOf returns a time that a page is no older than.
func asOf(now time.Time, page plat.Page) time.Time {
	if page.AskedAt.IsZero() {
		return now
	}
	return page.AskedAt
}

// folded puts a configuration in force if the fold has accepted another one.
func (c *Core) folded(now time.Time, before uint64) []Effect {
	c.relay.SetApplied(now, c.fold.Accepted, c.fold.Next)
	if c.fold.Accepted == before {
		return nil
	}
	return c.install(now)
}

// install puts the accepted configuration in force, on running calls too.
func (c *Core) install(now time.Time) []Effect {
	c.index = config.NewIndex(c.fold.Text)
	effects := c.limit(now, c.fold.Text.Customers)
	effects = append(effects, Install{
		Index:  c.index,
		Offset: c.fold.Accepted,
	})
	effects = append(effects, c.withdraw(now)...)
	return append(effects, c.beat(now)...)
}

// configTick does what the configuration needs as time passes.
func (c *Core) configTick(now time.Time) []Effect {
	effects := c.cancelWithdrawn(now)
	effects = append(effects, c.pull(now)...)
	if record, due := c.points.due(now, c.fold); due && c.fresh {
		effects = append(effects, record)
	}
	return append(effects, c.judgeReady(now)...)
}

// judgeReady tells when the entry begins or ceases to know the newest
// configuration. Once it has known, it serves on while the log is down for all.
func (c *Core) judgeReady(now time.Time) []Effect {
	if !c.fresh && c.fold.Whole() {
		c.fresh = c.relay.SyncedWithPeers(now)
	}
	ready := c.fresh && c.fold.Accepted != 0 && !c.relay.Isolated(now)
	if ready == c.ready {
		return nil
	}
	c.ready = ready
	return []Effect{Ready{Ready: ready && !c.leaving}}
}
