package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// handleConfigMessage handles a configuration message of an entry.
func (c *Core) handleConfigMessage(now time.Time, message *wirepb.FoldMessage) []Effect {
	if drop := message.GetDrop(); drop != nil {
		return c.refuseRevoked(now, drop.GetId())
	}
	return nil
}

// refuseRevoked refuses a call that has lost its permission, if it is still
// queued. Once a call has started, the entry decides whether to cancel it.
func (c *Core) refuseRevoked(now time.Time, requestID string) []Effect {
	removed := c.queue.Remove(func(i queue.Item[uint64]) bool {
		return c.calls[i.Value].Request.GetId() == requestID
	})
	var effects []Effect
	for _, item := range removed {
		err := fault.New(fault.NotRun, fault.CodeWithdrawn, "the call lost its permission in the queue")
		effects = append(effects, c.refuseCall(now, item.Value, err)...)
	}
	return append(effects, c.startCalls(now)...)
}
