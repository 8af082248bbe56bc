package agent

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

func TestDropRefusesOnlyWaitingCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(CoreSettings{
		Incarnation: 1,
		Plain:       true,
		Slots:       1,
	})
	arriveAt(c, now, 1, "runs")
	arriveAt(c, now, 2, "waits")
	if effects := drop(c, now, "runs"); len(effects) != 0 {
		t.Errorf("a running call: %v, want nothing", effects)
	}
	effects := drop(c, now, "waits")
	if len(effects) != 1 {
		t.Fatalf("a waiting call: %v, want a refusal", effects)
	}
	r, ok := effects[0].(Refuse)
	if !ok || r.Key != 2 || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("a waiting call: %v, want not run", effects[0])
	}
	if effects := c.Apply(now, Ended{Key: 1}); len(effects) != 0 {
		t.Errorf("after the end of the running call: %v, want no start of the dropped one", effects)
	}
}

func arriveAt(c *Core, now time.Time, key uint64, id string) {
	c.Apply(now, Arrived{Call: Call{
		Key: key,
		Request: &wirepb.CallRequest{
			Id:               id,
			AgentIncarnation: 1,
			TimeoutMs:        60_000,
		},
	}})
}

func drop(c *Core, now time.Time, id string) []Effect {
	return c.Apply(now, Received{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Drop{Drop: &wirepb.FoldDrop{Id: id}},
	}}}})
}
