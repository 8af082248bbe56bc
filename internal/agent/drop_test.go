package agent

import (
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

func TestDropRefusesOnlyQueuedCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	core := NewCore(CoreSettings{
		Incarnation:  1,
		PlainService: true,
		Slots:        1,
	})
	sendCall(core, now, 1, "runs")
	sendCall(core, now, 2, "waits")
	if effects := sendDrop(core, now, "runs"); len(effects) != 0 {
		t.Errorf("drop of a running call: effects = %v, want none", effects)
	}
	effects := sendDrop(core, now, "waits")
	if len(effects) != 1 {
		t.Fatalf("drop of a queued call: effects = %v, want one refusal", effects)
	}
	r, ok := effects[0].(Refuse)
	if !ok || r.Key != 2 || fault.VerdictOf(r.Err) != fault.NotRun {
		t.Errorf("drop of a queued call: effect = %v, want a refusal of call 2 as not run", effects[0])
	}
	if effects := core.Apply(now, CallEnded{Key: 1}); len(effects) != 0 {
		t.Errorf("end of the running call: effects = %v, want no start of the dropped call", effects)
	}
}

func sendCall(core *Core, now time.Time, key uint64, id string) {
	core.Apply(now, CallArrived{Call: Call{
		Key: key,
		Request: &wirepb.CallRequest{
			Id:               id,
			AgentIncarnation: 1,
			TimeoutMs:        60_000,
		},
	}})
}

func sendDrop(core *Core, now time.Time, id string) []Effect {
	return core.Apply(now, MessageReceived{Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: &wirepb.FoldMessage{
		Body: &wirepb.FoldMessage_Drop{Drop: &wirepb.FoldDrop{Id: id}},
	}}}})
}
