package agent

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

func TestDropRefusesOnlyQueuedCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCore(CoreSettings{
		Incarnation:  1,
		PlainService: true,
		Slots:        1,
	})
	sendCall(c, now, 1, "runs")
	sendCall(c, now, 2, "waits")
	if effects := sendDrop(c, now, "runs"); len(effects) != 0 {
		t.Errorf("a running call: %v, want nothing", effects)
	}
	effects := sendDrop(c, now, "waits")
	if len(effects) != 1 {
		t.Fatalf("a waiting call: %v, want a refusal", effects)
	}
	r, ok := effects[0].(Refuse)
	if !ok || r.Key != 2 || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("a waiting call: %v, want not run", effects[0])
	}
	if effects := c.Apply(now, CallEnded{Key: 1}); len(effects) != 0 {
		t.Errorf("after the end of the running call: %v, want no start of the dropped one", effects)
	}
}

func sendCall(c *Core, now time.Time, key uint64, id string) {
	c.Apply(now, CallArrived{Call: Call{
		Key: key,
		Request: &wirepb.CallRequest{
			Id:               id,
			AgentIncarnation: 1,
			TimeoutMs:        60_000,
		},
	}})
}

func sendDrop(c *Core, now time.Time, id string) []Effect {
	return c.Apply(now, MessageReceived{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Drop{Drop: &wirepb.FoldDrop{Id: id}},
	}}}})
}
