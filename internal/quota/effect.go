package quota

import (
	"encoding/json"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// Effect is an action that a Node requests from its caller.
type Effect interface{ isEffect() }

// Effects that a Node returns.
type (
	// Send sends a message to an entry or an agent.
	Send struct {
		Host    string
		Message *wirepb.ShareMessage
	}
	// Append appends a record to the fleet stream.
	Append struct{ Data []byte }
	// Resolve reports the result of a reservation that was Pending.
	Resolve struct {
		ID          string
		OK          bool
		Reservation Reservation
		Wait        time.Duration
	}
	// ReportSkipped reports records of the fleet stream that were skipped.
	ReportSkipped struct{ Err *RecordError }
)

func (Send) isEffect()          {}
func (Append) isEffect()        {}
func (Resolve) isEffect()       {}
func (ReportSkipped) isEffect() {}

// append adds the append of a record to the effects.
func (n *Node) append(r logRecord) {
	data, err := json.Marshal(r)
	if err != nil {
		return // logRecord always encodes without error
	}
	n.effects = append(n.effects, Append{Data: data})
}

// flushEffects adds the coordinator's pending messages and records, and returns
// all effects.
func (n *Node) flushEffects(now time.Time) []Effect {
	if n.coordinator != nil {
		n.requestReports(now)
		n.sendGrants(now)
		n.recordView(now)
		n.sendViews(now)
	}
	out := n.effects
	n.effects = nil
	return out
}
