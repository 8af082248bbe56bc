package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// asks returns the only question to the leader among effects.
func (r *rig) asks(effects []Effect) *wirepb.GateAssignmentAsk {
	r.t.Helper()
	b, ok := find[AskAssignment](effects)
	if !ok {
		r.t.Fatalf("the leader isn't asked: %+v", effects)
	}
	return b.Ask
}

func (r *rig) chat(path string) (CallID, []Effect) {
	return r.arriveFor(&Request{Host: "h", Path: path, Key: "k2", Model: "big", PromptTokens: 2000, Patience: 15 * time.Second, Arrived: r.now})
}

// answer gives the leader's answer.
func (r *rig) answer(b *wirepb.GateAssignment) []Effect {
	return r.apply(AssignmentReceived{Host: "front-2", Assignment: b})
}

func TestAssignedRequestIsSentAtItsTime(t *testing.T) {
	r := following(t)
	id, effects := r.chat("/chat/1")
	b := r.asks(effects)
	if _, sent := find[Send](effects); sent {
		t.Fatal("sent before the leader has answered")
	}
	effects = r.answer(&wirepb.GateAssignment{Call: b.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 80_000})
	if _, sent := find[Send](effects); sent {
		t.Error("sent before its time")
	}
	r.pass(80 * time.Millisecond)
	if s := r.sent(r.apply(Tick{})); s.Call != id || s.Endpoint != "llm-1" {
		t.Errorf("sent %+v", s)
	}
}

func TestSilentLeaderHoldsNobodyUp(t *testing.T) {
	r := following(t)
	_, effects := r.chat("/chat/1")
	r.asks(effects)
	r.pass(askLimit)
	r.sent(r.apply(Tick{}))
	_, effects = r.chat("/chat/2")
	r.sent(effects)
}

func TestBusyEnginesRefuseAtOnce(t *testing.T) {
	r := following(t)
	_, effects := r.chat("/chat/1")
	b := r.asks(effects)
	effects = r.answer(&wirepb.GateAssignment{Call: b.GetCall(), Verdict: wirepb.GateAssignment_BUSY, AfterUs: 400_000})
	r.wantCode(effects, fault.CodeBusy)
	if after := fault.RetryAfterOf(r.refused(effects)); after < 400*time.Millisecond || after > time.Second {
		t.Errorf("come back after %v, want 400ms and a little more", after)
	}
}

func TestAssignedEngineThatHasLeftIsNotUsed(t *testing.T) {
	r := following(t)
	r.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	_, effects := r.chat("/chat/1")
	b := r.asks(effects)
	r.answer(&wirepb.GateAssignment{Call: b.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 80_000})
	ep := testEndpoint("llm-1", "llm", topo.Holding{Model: "big"})
	ep.Draining, ep.Sequence = true, 2
	r.endpoints(ep)
	r.pass(80 * time.Millisecond)
	if s := r.sent(r.apply(Tick{})); s.Endpoint != "llm-2" {
		t.Errorf("sent to %s, which is leaving", s.Endpoint)
	}
}

func TestRequestThatWaitsForItsTimeNeedsFreshProof(t *testing.T) {
	r := following(t)
	_, effects := r.chat("/chat/1")
	b := r.asks(effects)
	r.answer(&wirepb.GateAssignment{Call: b.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 80_000})
	r.pass(4 * time.Second)
	r.wantCode(r.apply(Tick{}), fault.CodeNotReady)
}

// The pattern: entries that don't know of each other send to the engines of one
// model at once. The leader gives each prompt its time and spreads them.
func TestLeaderSpreadsAndSpacesPrompts(t *testing.T) {
	r := leading(t)
	r.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	r.apply(PeerUp{Host: "front-2"})
	ask := func(call uint64, rank uint32) *wirepb.GateAssignment {
		answer, _ := find[SendAssignment](r.apply(AssignmentAsked{Host: "front-2", Ask: &wirepb.GateAssignmentAsk{
			Call: call, Service: "llm", Model: "big", PromptTokens: 2000, ObjectiveUs: 500_000, Rank: rank, Zone: "a",
		}}))
		return answer.Assignment
	}
	used := map[string]int{}
	var last time.Duration
	busy := 0
	for i := range uint64(20) {
		b := ask(i, 0)
		if b.GetVerdict() == wirepb.GateAssignment_BUSY {
			busy++
			continue
		}
		used[b.GetEndpoint()]++
		last = max(last, time.Duration(b.GetAfterUs())*time.Microsecond)
	}
	if used["llm-1"] != used["llm-2"] || used["llm-1"] < 2 {
		t.Errorf("engines got %v, want both the same", used)
	}
	if last < 100*time.Millisecond || last > 500*time.Millisecond {
		t.Errorf("the last prompt starts after %v, want it spaced and within the objective", last)
	}
	if busy == 0 {
		t.Error("prompts that come too late are not refused")
	}
}

// The pattern: engines are busy. Requests with seconds to spare let the urgent
// ones go first, and go themselves once half of their time has passed.
func TestRequestsWithTimeToSpareLetOthersGoFirst(t *testing.T) {
	r := leading(t)
	r.apply(PeerUp{Host: "front-2"})
	ask := func(objective, passed time.Duration) wirepb.GateAssignment_Verdict {
		answer, _ := find[SendAssignment](r.apply(AssignmentAsked{Host: "front-2", Ask: &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 2000, Zone: "a",
			ObjectiveUs: uint64(objective.Microseconds()), PassedUs: uint64(passed.Microseconds()),
		}}))
		return answer.Assignment.GetVerdict()
	}
	ask(500*time.Millisecond, 0)
	if v := ask(10*time.Second, 0); v != wirepb.GateAssignment_LATER {
		t.Errorf("a request with 10 s to spare gets %v before urgent ones", v)
	}
	if v := ask(10*time.Second, 6*time.Second); v != wirepb.GateAssignment_SEND {
		t.Errorf("a request that has waited 6 s gets %v", v)
	}
	if v := ask(500*time.Millisecond, 0); v != wirepb.GateAssignment_SEND {
		t.Errorf("an urgent request gets %v", v)
	}
}

// The pattern: a model rises, its engines are busy, and another copy is on its way.
// Those who are refused are told to return when it is there.
func TestBusyModelTellsWhenItsNextCopyIsThere(t *testing.T) {
	r := leading(t)
	r.apply(PeerUp{Host: "front-2"})
	r.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "small"}))
	empty := stock.Report{Holdings: []topo.Holding{{Model: "small"}}}
	r.apply(EngineReported{Engine: "llm-1", Report: &stock.Report{Holdings: []topo.Holding{{Model: "big"}}}})
	for range 20 {
		r.core.leader.planner.RecordDemand(r.now, "llm", stockCopy("big"), 200*time.Millisecond)
	}
	order, ok := find[GiveOrder](r.apply(EngineReported{Engine: "llm-2", Report: &empty}))
	if !ok || order.Order.Model != "big" {
		t.Fatalf("no second copy is ordered: %+v", order)
	}
	r.apply(OrderEnded{Order: order.Order, Outcome: stock.Accepted})
	for range 20 {
		answer, _ := find[SendAssignment](r.apply(AssignmentAsked{Host: "front-2", Ask: &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 2000, ObjectiveUs: 500_000, Zone: "a",
		}}))
		if answer.Assignment.GetVerdict() != wirepb.GateAssignment_BUSY {
			continue
		}
		if after := time.Duration(answer.Assignment.GetAfterUs()) * time.Microsecond; after < 8*time.Second || after > 10*time.Second {
			t.Errorf("come back after %v, want the 9 s of the load", after)
		}
		return
	}
	t.Error("the engine takes everything")
}

// The pattern: engines of one service differ in speed. The slow one gets fewer
// prompts, or they would make all of its streams pause.
func TestSlowEngineGetsFewerPrompts(t *testing.T) {
	r := leading(t)
	r.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	r.apply(PeerUp{Host: "front-2"})
	r.report(&wirepb.GateReport{Sequence: 1, Streams: []*wirepb.GateStreams{
		{Endpoint: "llm-1", ExpectedUs: 3_000_000, SeenUs: 3_000_000},
		{Endpoint: "llm-2", ExpectedUs: 3_000_000, SeenUs: 6_000_000},
	}})
	used := map[string]int{}
	for range 400 {
		r.pass(50 * time.Millisecond)
		used[r.core.assign(r.now, &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 1200, ObjectiveUs: 500_000, Zone: "a",
		}).GetEndpoint()]++
	}
	if used["llm-2"]*3 > used["llm-1"]*2 {
		t.Errorf("the engines got %v prompts, want the slow one to get far fewer", used)
	}
}
