package entry

import (
	"time"

	"dogwoodfold/internal/route"
	"dogwoodfold/pkg/fault"
)

// routeQuery returns the parameters for the selection of an agent.
func (a *activeCall) routeQuery() route.Query {
	return route.Query{
		Service:      a.Route.Service,
		Model:        a.Model,
		Version:      a.modelVersion,
		Adapter:      a.Adapter,
		TotalTokens:  int(a.Tokens),
		PromptTokens: a.PromptTokens,
		BlockHashes:  a.PromptBlocks,
		Streaming:    a.Streaming,
		Tried:        a.triedHosts,
	}
}

// recordOutcome reports the outcome of an attempt to the router.
func (c *Core) recordOutcome(now time.Time, call *activeCall, outcome Outcome) {
	result := route.Completed
	switch fault.CodeOf(outcome.Err) {
	case fault.CodeLink, fault.CodeEndpoint, fault.CodeCut:
		result = route.Failed
	case fault.CodeBusy, fault.CodeLeaving, fault.CodeNoEndpoint, fault.CodeFenced:
		result = route.Refused
	case fault.CodeDeadline:
		result = route.DeadlineExceeded
	default:
		if outcome.Err != nil {
			result = route.OtherError
		}
	}
	c.router.RecordEnd(now, call.sentCall, result, fault.RetryAfterOf(outcome.Err))
}

// handleStreamStart tells the router that the first part of a response has
// arrived.
func (c *Core) handleStreamStart(now time.Time, event StreamStarted) []Effect {
	if call, known := c.calls[event.ID]; known && call.attempt == event.Attempt {
		call.streamStartedAt = now
		c.router.RecordFirstToken(now, call.sentCall)
	}
	return nil
}
