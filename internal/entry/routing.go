package entry

import (
	"time"

	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// query returns what the choice of an agent depends on.
func (r *running) query() route.Query {
	return route.Query{
		Service:      r.Route.Service,
		Model:        r.Model,
		Version:      r.served,
		Adapter:      r.Adapter,
		TotalTokens:  int(r.Tokens),
		PromptTokens: r.Prompt,
		BlockHashes:  r.Blocks,
		Streaming:    r.Streams,
		Tried:        r.tried,
	}
}

// routed tells the router how an attempt has ended.
func (c *Core) routed(now time.Time, r *running, o Outcome) {
	outcome := route.Completed
	switch fault.CodeOf(o.Err) {
	case fault.CodeLink, fault.CodeEndpoint, fault.CodeCut:
		outcome = route.Failed
	case fault.CodeBusy, fault.CodeLeaving, fault.CodeNoEndpoint, fault.CodeFenced:
		outcome = route.Refused
	case fault.CodeDeadline:
		outcome = route.DeadlineExceeded
	default:
		if o.Err != nil {
			outcome = route.OtherError
		}
	}
	c.router.RecordEnd(now, r.ticket, outcome, fault.RetryAfterOf(o.Err))
}

// begun notes that the first part of an answer has come.
func (c *Core) begun(now time.Time, e Begun) []Effect {
	if r, known := c.calls[e.ID]; known && r.attempt == e.Attempt {
		c.router.RecordFirstToken(now, r.ticket)
	}
	return nil
}
