package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// configRead folds a page of the configuration stream.
func (c *Core) configRead(now time.Time, page plat.Page) []Effect {
	var effects []Effect
	before := c.fold.Accepted
	for _, record := range page.Records {
		if err := c.fold.Apply(record.Offset, record.Data); err != nil {
			effects = append(effects, Note{
				Text: "configuration record refused",
				Err:  err,
			})
		}
	}
	if c.fold.Accepted != before {
		effects = append(effects, c.install(now)...)
	}
	if !c.ready && c.fold.Accepted != 0 && c.fold.Next >= page.Next {
		c.ready = true
		effects = append(effects, Ready{Ready: true})
	}
	return effects
}

// install puts the accepted configuration in force, on running calls too.
func (c *Core) install(now time.Time) []Effect {
	c.index = config.NewIndex(c.fold.Text)
	effects := c.limit(now, c.fold.Text.Customers)
	effects = append(effects, Install{
		Index:  c.index,
		Offset: c.fold.Accepted,
	})
	for _, r := range c.calls {
		if !r.Keyed || !r.Route.Idempotent {
			continue
		}
		if !c.keyValid(r.Call) {
			effects = append(effects, Cancel{
				ID:  r.ID,
				Err: fault.New(fault.MayHaveRun, fault.CodeWithdrawn, "the key was withdrawn"),
			})
		}
	}
	return append(effects, c.beat(now)...)
}
