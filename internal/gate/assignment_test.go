package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// assignmentRequest returns the request to the leader among effects.
func (h *harness) assignmentRequest(effects []Effect) *wirepb.GateAssignmentAsk {
	h.t.Helper()
	request, ok := findEffect[RequestAssignment](effects)
	if !ok {
		h.t.Fatalf("the leader was not asked: %+v", effects)
	}
	return request.Request
}

func (h *harness) arriveChat(path string) (CallID, []Effect) {
	return h.arriveRequest(&Request{
		Host: "h", Path: path, Key: "k2", Model: "big", PromptTokens: 2000, ClientTimeout: 15 * time.Second, ArrivedAt: h.now,
	})
}

// receiveAssignment delivers the leader's reply.
func (h *harness) receiveAssignment(assignment *wirepb.GateAssignment) []Effect {
	return h.apply(AssignmentReceived{Host: "front-2", Assignment: assignment})
}

func TestAssignedRequestIsSentAtAssignedTime(t *testing.T) {
	h := newFollowerHarness(t)
	id, effects := h.arriveChat("/chat/1")
	request := h.assignmentRequest(effects)
	if _, sent := findEffect[Send](effects); sent {
		t.Fatal("request was sent before the leader replied")
	}
	effects = h.receiveAssignment(&wirepb.GateAssignment{
		Call: request.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 80_000,
	})
	if _, sent := findEffect[Send](effects); sent {
		t.Error("request was sent before its assigned time")
	}
	h.advance(80 * time.Millisecond)
	if send := h.mustSend(h.apply(Tick{})); send.Call != id || send.Endpoint != "llm-1" {
		t.Errorf("sent %+v, want the assigned call sent to llm-1", send)
	}
}

func TestUnresponsiveLeaderDoesNotBlockRequests(t *testing.T) {
	h := newFollowerHarness(t)
	_, effects := h.arriveChat("/chat/1")
	h.assignmentRequest(effects)
	h.advance(leaderReplyTimeout)
	h.mustSend(h.apply(Tick{}))
	_, effects = h.arriveChat("/chat/2")
	h.mustSend(effects)
}

// The leader answers that no engine holds the model, and the request waits for it. The
// leader must not count as one that doesn't answer: without it, entries know neither the
// load of engines nor the versions of streams that others began.
func TestAnsweredRequestThatWaitsDoesNotDiscreditLeader(t *testing.T) {
	h := newFollowerHarness(t)
	_, effects := h.arriveRequest(&Request{
		Host:      "h",
		Path:      "/notes/1",
		Key:       "k2",
		Model:     "big",
		ArrivedAt: h.now,
	})
	ask, asked := findEffect[RequestAssignment](effects)
	if !asked {
		t.Fatalf("the leader was not asked: %+v", effects)
	}
	h.core.endpoints["llm-1"].Holdings = nil
	h.core.endpoints["llm-1"].leaderHoldings = nil
	h.apply(AssignmentReceived{
		Host:       "front-2",
		Assignment: &wirepb.GateAssignment{Call: ask.Request.GetCall()},
	})
	if len(h.core.parked) != 1 {
		t.Fatal("the request does not wait")
	}
	h.advance(20 * time.Millisecond)
	h.apply(Tick{})
	if !h.core.leaderAnswers(h.now) {
		t.Error("the leader counts as one that doesn't answer")
	}
}

func TestBusyVerdictRefusesImmediately(t *testing.T) {
	h := newFollowerHarness(t)
	_, effects := h.arriveChat("/chat/1")
	request := h.assignmentRequest(effects)
	effects = h.receiveAssignment(&wirepb.GateAssignment{
		Call: request.GetCall(), Verdict: wirepb.GateAssignment_BUSY, AfterUs: 400_000,
	})
	h.wantNotRun(effects, fault.CodeBusy)
	if after := fault.RetryAfterOf(h.mustRefuse(effects)); after < 400*time.Millisecond || after > time.Second {
		t.Errorf("retry after %v, want 400ms plus jitter", after)
	}
}

func TestDrainingAssignedEngineIsNotUsed(t *testing.T) {
	h := newFollowerHarness(t)
	h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	_, effects := h.arriveChat("/chat/1")
	request := h.assignmentRequest(effects)
	h.receiveAssignment(&wirepb.GateAssignment{
		Call: request.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 80_000,
	})
	ep := testEndpoint("llm-1", "llm", topo.Holding{Model: "big"})
	ep.Draining, ep.Sequence = true, 2
	h.endpoints(ep)
	h.advance(80 * time.Millisecond)
	if send := h.mustSend(h.apply(Tick{})); send.Endpoint != "llm-2" {
		t.Errorf("sent to %s, which is draining", send.Endpoint)
	}
}

func TestPendingAssignmentNeedsFreshConfig(t *testing.T) {
	h := newFollowerHarness(t)
	_, effects := h.arriveChat("/chat/1")
	request := h.assignmentRequest(effects)
	h.receiveAssignment(&wirepb.GateAssignment{
		Call: request.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1", AfterUs: 80_000,
	})
	h.advance(4 * time.Second)
	h.wantNotRun(h.apply(Tick{}), fault.CodeNotReady)
}

// Entries do not know each other's requests, so they could send to the engines
// of one model at the same time. The leader must space the prompts and spread
// them over the engines.
func TestLeaderSpreadsAndSpacesPrompts(t *testing.T) {
	h := newLeaderHarness(t)
	h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	h.apply(PeerConnected{Host: "front-2"})
	assign := func(call uint64, rank uint32) *wirepb.GateAssignment {
		answer, _ := findEffect[SendAssignment](h.apply(AssignmentRequested{Host: "front-2", Request: &wirepb.GateAssignmentAsk{
			Call: call, Service: "llm", Model: "big", PromptTokens: 2000, ObjectiveUs: 500_000, Rank: rank, Zone: "a",
		}}))
		return answer.Assignment
	}
	prompts := map[string]int{}
	var last time.Duration
	busy := 0
	for i := range uint64(20) {
		assignment := assign(i, 0)
		if assignment.GetVerdict() == wirepb.GateAssignment_BUSY {
			busy++
			continue
		}
		prompts[assignment.GetEndpoint()]++
		last = max(last, time.Duration(assignment.GetAfterUs())*time.Microsecond)
	}
	if prompts["llm-1"] != prompts["llm-2"] || prompts["llm-1"] < 2 {
		t.Errorf("prompts per engine: %v, want an equal number of at least 2", prompts)
	}
	if last < 100*time.Millisecond || last > 500*time.Millisecond {
		t.Errorf("the last prompt starts after %v, want 100ms to 500ms: spaced and within the objective", last)
	}
	if busy == 0 {
		t.Error("no prompt was refused, though some would miss the objective")
	}
}

// When engines are busy, requests with seconds of slack yield to urgent ones,
// until half of their objective has passed.
func TestRequestsWithSlackArePostponed(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	assign := func(objective, passed time.Duration) wirepb.GateAssignment_Verdict {
		answer, _ := findEffect[SendAssignment](h.apply(AssignmentRequested{Host: "front-2", Request: &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 2000, Zone: "a",
			ObjectiveUs: uint64(objective.Microseconds()), PassedUs: uint64(passed.Microseconds()),
		}}))
		return answer.Assignment.GetVerdict()
	}
	assign(500*time.Millisecond, 0)
	if verdict := assign(10*time.Second, 0); verdict != wirepb.GateAssignment_LATER {
		t.Errorf("a request with 10 s of slack got %v, want LATER", verdict)
	}
	if verdict := assign(10*time.Second, 6*time.Second); verdict != wirepb.GateAssignment_SEND {
		t.Errorf("a request that has waited 6 s got %v, want SEND", verdict)
	}
	if verdict := assign(500*time.Millisecond, 0); verdict != wirepb.GateAssignment_SEND {
		t.Errorf("an urgent request got %v, want SEND", verdict)
	}
}

// Demand for a model rises, its engines are busy and another copy is being
// loaded. Refused requests must be told to retry when that copy is loaded.
func TestBusyRetryAfterMatchesLoadingCopy(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "small"}))
	empty := stock.Report{Holdings: []topo.Holding{{Model: "small"}}}
	h.apply(EngineReported{Engine: "llm-1", SentAt: h.now, Report: &stock.Report{Holdings: []topo.Holding{{Model: "big"}}}})
	for range 20 {
		h.core.leader.planner.RecordDemand(h.now, "llm", modelArtifact("big"), 1, 200*time.Millisecond)
	}
	h.advance(minPlanInterval)
	order, ok := findEffect[SendOrder](h.apply(EngineReported{Engine: "llm-2", SentAt: h.now, Report: &empty}))
	if !ok || order.Order.Model != "big" {
		t.Fatalf("no second copy was ordered: %+v", order)
	}
	h.apply(OrderAnswered{Order: order.Order, Outcome: stock.Accepted})
	for range 20 {
		answer, _ := findEffect[SendAssignment](h.apply(AssignmentRequested{Host: "front-2", Request: &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 2000, ObjectiveUs: 500_000, Zone: "a",
		}}))
		if answer.Assignment.GetVerdict() != wirepb.GateAssignment_BUSY {
			continue
		}
		if after := time.Duration(answer.Assignment.GetAfterUs()) * time.Microsecond; after < 8*time.Second || after > 10*time.Second {
			t.Errorf("retry after %v, want about the 9 s of the load", after)
		}
		return
	}
	t.Error("no request was refused as busy")
}

// Engines of one service may differ in speed. The slow one must get fewer
// prompts, because otherwise they would make all of its streams pause.
func TestSlowEngineGetsFewerPrompts(t *testing.T) {
	h := newLeaderHarness(t)
	h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	h.apply(PeerConnected{Host: "front-2"})
	h.receiveReport(&wirepb.GateReport{Sequence: 1, Streams: []*wirepb.GateStreams{
		{Endpoint: "llm-1", ExpectedUs: 3_000_000, SeenUs: 3_000_000},
		{Endpoint: "llm-2", ExpectedUs: 3_000_000, SeenUs: 6_000_000},
	}})
	prompts := map[string]int{}
	for range 400 {
		h.advance(50 * time.Millisecond)
		prompts[h.core.assignEngine(h.now, &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 1200, ObjectiveUs: 500_000, Zone: "a",
		}).GetEndpoint()]++
	}
	if prompts["llm-2"]*3 > prompts["llm-1"]*2 {
		t.Errorf("prompts per engine: %v, want far fewer at the slow llm-2", prompts)
	}
}

// Guards against a queue at one engine beside idle ones: the schedule follows predictions only, so
// an engine that is slower than predicted falls behind it unseen. Its prompts without a first
// event must send the next ones elsewhere.
func TestEngineBehindItsScheduleGetsNoPrompts(t *testing.T) {
	h := newLeaderHarness(t)
	h.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	h.apply(PeerConnected{Host: "front-2"})
	assign := func() string {
		return h.core.assignEngine(h.now, &wirepb.GateAssignmentAsk{
			Service: "llm", Model: "big", PromptTokens: 400, ObjectiveUs: 500_000, Zone: "a",
		}).GetEndpoint()
	}
	if endpoint := assign(); endpoint != "llm-1" {
		t.Fatalf("assigned %s of two idle engines, want the first one", endpoint)
	}
	h.advance(time.Second)
	h.receiveReport(&wirepb.GateReport{Sequence: 1, Loads: []*wirepb.GateLoad{
		{Endpoint: "llm-1", Running: 20, WaitingUs: 900_000},
	}})
	h.apply(Tick{})
	if endpoint := assign(); endpoint != "llm-2" {
		t.Errorf("assigned %s, which has had no first event for 900 ms of prompts", endpoint)
	}
}
