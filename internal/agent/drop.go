package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// foldMessage handles an entry's message about the configuration.
func (c *Core) foldMessage(now time.Time, m *wirepb.FoldMessage) []Effect {
	if drop := m.GetDrop(); drop != nil {
		return c.drop(now, drop.GetId())
	}
	return nil
}

// drop refuses a call that has lost its permission, if it still waits. A call
// that has started is the entry's to cancel or to leave.
func (c *Core) drop(now time.Time, id string) []Effect {
	removed := c.waiting.Remove(func(i queue.Item[uint64]) bool {
		return c.calls[i.Value].Request.GetId() == id
	})
	var effects []Effect
	for _, item := range removed {
		err := fault.New(fault.NotRun, fault.CodeWithdrawn, "the call lost its permission in the queue")
		effects = append(effects, c.refuse(now, item.Value, err)...)
	}
	return append(effects, c.start(now)...)
}
