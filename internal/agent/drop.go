package agent

import (
	"time"

	"dogwoodfold/internal/queue"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// received handles a control message of an entry.
func (c *Core) received(now time.Time, e Received) []Effect {
	if fold, ok := e.Message.GetBody().(*wirepb.Envelope_Fold); ok && fold.Fold.GetDrop() != nil {
		return c.drop(now, fold.Fold.GetDrop().GetId())
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
		delete(c.calls, item.Value)
		effects = append(effects, Refuse{
			Key: item.Value,
			Err: fault.New(fault.NotRun, fault.CodeWithdrawn, "the call lost its permission in the queue"),
		})
	}
	effects = append(effects, c.start(now)...)
	return append(effects, c.finish()...)
}
