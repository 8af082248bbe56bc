package gate

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// liveConfig returns the test configuration with a route whose streams may be resumed and
// whose first event is due after 500 ms.
func liveConfig() *topo.Config {
	config := testConfig()
	config.Version = 2
	config.Routes = append(config.Routes, &topo.Route{
		Name:             "live",
		Host:             "h",
		PathPrefix:       "/live/",
		Kind:             topo.Stream,
		Timeout:          15 * time.Second,
		LatencyObjective: 500 * time.Millisecond,
		GapObjective:     300 * time.Millisecond,
		Targets:          []topo.Target{{Service: "llm", Weight: 1}},
		MaxAttempts:      2,
		Resumable:        true,
	})
	return config.BuildIndex()
}

// newLiveHarness returns a leading harness with the live route.
func newLiveHarness(t *testing.T) *harness {
	h := newLeaderHarness(t)
	h.apply(ConfigRead{
		Config: liveConfig(),
		SentAt: h.now,
	})
	return h
}

// engineRecord is the registry's record of an engine with a software version.
func engineRecord(id, version string, models ...string) *topo.Endpoint {
	ep := testEndpoint(id, "llm")
	ep.SoftwareVersion = version
	for _, model := range models {
		ep.Holdings = append(ep.Holdings, topo.Holding{Model: model})
	}
	return ep
}

// replaceEngines replaces the engines of the harness. They take no orders, since the
// leader has no report of them.
func (h *harness) replaceEngines(engines ...*topo.Endpoint) {
	h.apply(EndpointsRead{
		SentAt:  h.now,
		Changes: []topo.EndpointChange{{ID: "llm-1"}},
	})
	h.endpoints(engines...)
	h.advance(planInterval)
	h.apply(Tick{})
}

// live delivers a request of the live route for the model "big", which resumes a stream if began isn't empty.
func (h *harness) live(began string) (CallID, []Effect) {
	h.lastCall++
	request := &Request{
		ID:           fmt.Sprint("live-", h.lastCall),
		Host:         "h",
		Path:         "/live/1",
		Key:          "k2",
		Model:        "big",
		PromptTokens: 1000,
		ArrivedAt:    h.now,
	}
	if began != "" {
		request.LastEventID = "3"
		request.ResumedRequest = began
	}
	return h.lastCall, h.apply(RequestArrived{
		Call:    h.lastCall,
		Request: request,
	})
}

// All streams of an engine are cut at one moment and meet again at the only other engine
// of their version. Their clients wait longer for the next event than for the first one, so
// a resumed stream must not be refused for the objective of new ones.
func TestResumedStreamIsNotRefusedForTheObjectiveOfNewOnes(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v1", "big"), engineRecord("e2", "v2", "big"))
	h.core.streams.record(h.now, newStreamKey("began"), "v2")
	ep := h.core.endpoints["e2"]
	ep.schedule.Reserve(h.now, 900*time.Millisecond, 1)
	h.core.endpoints["e1"].schedule.Reserve(h.now, 900*time.Millisecond, 1)
	_, effects := h.live("")
	h.wantNotRun(effects, fault.CodeBusy)
	_, effects = h.live("began")
	if err, refused := findEffect[Refuse](effects); refused {
		t.Fatalf("a resumed stream was refused: %v", err.Err)
	}
	h.advance(time.Second)
	if send := h.mustSend(h.apply(Tick{})); send.Endpoint != "e2" {
		t.Errorf("sent to %s, want e2", send.Endpoint)
	}
}

// A stream is cut while the only other engine of its version does not hold the model
// yet. It must wait for it rather than be given up at once.
func TestCutStreamWaitsForModelAtItsVersion(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2"))
	id, effects := h.live("")
	h.mustSend(effects)
	h.apply(FirstByteReceived{Call: id})
	h.advance(500 * time.Millisecond)
	effects = h.apply(AttemptEnded{
		Call:   id,
		Result: truncated,
	})
	if abort, aborted := findEffect[AbortResponse](effects); aborted {
		t.Fatalf("the stream was given up: %s", abort.Detail)
	}
	h.advance(200 * time.Millisecond)
	loaded := engineRecord("e2", "v2", "big")
	loaded.Sequence++
	h.effects = nil
	h.endpoints(loaded)
	h.apply(Tick{})
	if send := h.mustSend(h.effects); send.Endpoint != "e2" || !send.Resume {
		t.Errorf("sent to %s, resume %v, want to e2 as a continuation", send.Endpoint, send.Resume)
	}
}

// reportEngines delivers the engines' own reports of what the registry says they hold, so
// that they take orders.
func (h *harness) reportEngines(engines ...*topo.Endpoint) {
	for _, ep := range engines {
		h.apply(EngineReported{
			Engine: ep.ID,
			SentAt: h.now,
			Report: &stock.Report{
				Incarnation: ep.Incarnation,
				Holdings:    ep.Holdings,
			},
		})
	}
}

// An engine has crashed, and the registry lists it for some seconds more. It must not
// count as a copy of its models: streams of its version wait for one that serves.
func TestModelOfCrashedEngineIsLoadedAtItsVersion(t *testing.T) {
	h := newLiveHarness(t)
	e1, e2 := engineRecord("e1", "v2", "big", "small"), engineRecord("e2", "v2", "small")
	h.replaceEngines(e1, e2)
	h.reportEngines(e1, e2)
	id, effects := h.live("")
	h.mustSend(effects)
	h.apply(FirstByteReceived{Call: id})
	h.advance(500 * time.Millisecond)
	h.effects = nil
	h.apply(AttemptEnded{
		Call:   id,
		Result: truncated,
	})
	probe, probed := findEffect[ProbeEngine](h.effects)
	if !probed {
		t.Fatal("the engine was not probed")
	}
	h.apply(EngineProbed{
		Run:   probe.Run,
		Ended: true,
	})
	h.advance(planInterval)
	h.apply(Tick{})
	order, ordered := findEffect[SendOrder](h.effects)
	if !ordered || order.Order.Engine != "e2" || order.Order.Model != "big" {
		t.Errorf("ordered %+v, want a load of big at e2", order.Order)
	}
	h.core.streams.record(h.now, newStreamKey("began"), "v2")
	_, effects = h.live("began")
	if send, sent := findEffect[Send](effects); sent {
		t.Errorf("a resumed stream was sent to %s, which has crashed", send.Endpoint)
	}
}

// A stream begins rather where it could go on if its engine ended: at a version with
// another engine that holds its model.
func TestStreamBeginsWhereItCanGoOn(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v1", "big"), engineRecord("e3", "v1", "big"))
	for range 4 {
		_, effects := h.live("")
		h.apply(Tick{})
		if send, sent := findEffect[Send](effects); sent && send.SoftwareVersion != "v1" {
			t.Errorf("a stream began at %s of %s, which has no other engine with the model", send.Endpoint, send.SoftwareVersion)
		}
	}
}

// A client that resumes a stream comes back only within a third of the time that it has
// left, and its request may wait for some seconds: it must be asked to come back so much
// earlier than its model is loaded, and not so early that it waits in vain.
func TestResumedStreamComesBackInTimeToWaitForItsModel(t *testing.T) {
	h := newLiveHarness(t)
	e1, e2 := engineRecord("e1", "v1", "big"), engineRecord("e2", "v2", "small")
	h.replaceEngines(e1, e2)
	h.reportEngines(e1, e2)
	h.core.streams.record(h.now, newStreamKey("began"), "v2")
	h.live("began")
	h.advance(planInterval)
	h.apply(Tick{})
	_, effects := h.live("began")
	eta, loading := stock.FirstLoad(h.core.leader.planner.LoadETAs("llm"), "big", "v2")
	if !loading {
		t.Fatal("the model is not being loaded")
	}
	const patience = 2100 * time.Millisecond // of the live route, see abandonedAt
	back := h.now.Add(fault.RetryAfterOf(h.mustRefuse(effects)))
	if back.After(eta.Add(-patience/2)) || back.Add(patience).Before(eta) {
		t.Errorf("comes back %v before the model is loaded, want %v to %v", eta.Sub(back), patience/2, patience)
	}
}

// A resumed stream has waited for a leader that knows its version. Only then can anybody
// ask for its model there: it must wait for the leader's decision on the load.
func TestStreamThatWaitedForItsVersionWaitsForItsModel(t *testing.T) {
	h := newFollowerHarness(t)
	h.apply(ConfigRead{Config: liveConfig(), SentAt: h.now})
	h.endpoints(versionedEngine("llm-1", "v1"))
	h.endpoints(engineRecord("llm-2", "v2"))
	_, effects := h.live("began")
	if _, asked := findEffect[RequestAssignment](effects); !asked {
		t.Fatalf("the leader was not asked: %+v", effects)
	}
	h.advance(leaderReplyTimeout)
	h.apply(Tick{})
	h.advance(leaderBackoff)
	h.effects = nil
	h.apply(Tick{})
	ask, asked := findEffect[RequestAssignment](h.effects)
	if !asked {
		t.Fatal("the leader was not asked again")
	}
	effects = h.apply(AssignmentReceived{Host: "front-2", Assignment: &wirepb.GateAssignment{
		Call: ask.Request.GetCall(), Verdict: wirepb.GateAssignment_ABSENT, SoftwareVersion: "v2", VersionKnown: true,
	}})
	if refuse, refused := findEffect[Refuse](effects); refused {
		t.Errorf("refused before the leader could order a load: %v", refuse.Err)
	}
}

// An engine is found to have crashed while a request waits for its assigned time there: it
// must go elsewhere.
func TestAssignedEngineThatCrashedIsNotUsed(t *testing.T) {
	h := newFollowerHarness(t)
	h.apply(ConfigRead{Config: liveConfig(), SentAt: h.now})
	h.endpoints(versionedEngine("llm-1", "v1"), versionedEngine("llm-2", "v1"))
	_, effects := h.live("")
	ask, _ := findEffect[RequestAssignment](effects)
	h.apply(AssignmentReceived{Host: "front-2", Assignment: &wirepb.GateAssignment{
		Call: ask.Request.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-2", AfterUs: 100_000,
	}})
	h.core.crashes.log.AddCrash(h.now, poison.Crash{Run: poison.Run{Engine: "llm-2", Incarnation: 1}, At: h.now, EndedAt: h.now})
	h.advance(110 * time.Millisecond)
	if send := h.mustSend(h.apply(Tick{})); send.Endpoint == "llm-2" {
		t.Error("sent to an engine that is known to have crashed")
	}
}

// A stream was cut and waits for its model while its entry begins to stop. It was admitted
// long before and must go on within the time of the shutdown.
func TestStoppingEntryContinuesCutStream(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2"))
	id, effects := h.live("")
	h.mustSend(effects)
	h.apply(FirstByteReceived{Call: id})
	h.apply(ShutdownRequested{})
	h.advance(h.core.settings.ShutdownAdmission + time.Millisecond)
	h.apply(ConfigRead{SentAt: h.now})
	h.apply(AttemptEnded{Call: id, Result: truncated})
	h.advance(20 * time.Millisecond)
	h.effects = nil
	h.apply(Tick{})
	if abort, aborted := findEffect[AbortResponse](h.effects); aborted {
		t.Errorf("the stream was given up: %s", abort.Detail)
	}
}

// A stream was cut and waits for its model, and its client leaves: the run was charged for
// what an engine has done.
func TestCutStreamIsNotRefundedWhenItsClientLeaves(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2"))
	id, effects := h.live("")
	h.mustSend(effects)
	h.apply(FirstByteReceived{Call: id})
	h.core.calls[id].customer = h.core.config.Customers["acme"]
	h.core.calls[id].cost, h.core.calls[id].paid = 100, true
	h.core.updateQuotas(h.now)
	h.advance(500 * time.Millisecond)
	h.apply(AttemptEnded{Call: id, Result: truncated})
	call := h.core.calls[id]
	if call == nil || h.core.parked[id] == nil {
		t.Fatal("the stream does not wait")
	}
	h.apply(ClientDisconnected{Call: id})
	if !call.paid {
		t.Error("the tokens of a stream that has run were given back")
	}
}

// Many streams are cut by a crash that is known already: they tell the leader nothing.
func TestKnownCrashIsNotReportedForEachStream(t *testing.T) {
	h := newFollowerHarness(t)
	h.apply(ConfigRead{Config: liveConfig(), SentAt: h.now})
	h.endpoints(versionedEngine("llm-1", "v1"))
	var ids []CallID
	for range 20 {
		id, effects := h.live("")
		ask, _ := findEffect[RequestAssignment](effects)
		h.apply(AssignmentReceived{Host: "front-2", Assignment: &wirepb.GateAssignment{
			Call: ask.Request.GetCall(), Verdict: wirepb.GateAssignment_SEND, Endpoint: "llm-1",
		}})
		h.apply(FirstByteReceived{Call: id})
		h.apply(AnswerContinues{Call: id})
		ids = append(ids, id)
	}
	h.core.crashes.log.AddCrash(h.now, poison.Crash{Run: poison.Run{Engine: "llm-1", Incarnation: 1}, At: h.now, EndedAt: h.now})
	reports := 0
	for _, id := range ids {
		for _, effect := range h.apply(AttemptEnded{Call: id, Result: truncated}) {
			if _, ok := effect.(SendReport); ok {
				reports++
			}
		}
	}
	if reports > 2 {
		t.Errorf("%d reports at one moment for %d cut streams of a known crash", reports, len(ids))
	}
}

// A route splits its requests between two services: a stream must go on at the one that
// began it.
func TestResumedStreamKeepsItsService(t *testing.T) {
	h := newServingHarness(t)
	config := liveConfig()
	config.Services["llm2"] = &topo.Service{Name: "llm2", MaxConns: 300, Engine: config.Services["llm"].Engine}
	for _, route := range config.Routes {
		if route.Name == "live" {
			route.Targets = []topo.Target{{Service: "llm", Weight: 1}, {Service: "llm2", Weight: 1}}
		}
	}
	h.apply(ConfigRead{Config: config.BuildIndex(), SentAt: h.now})
	other := engineRecord("f1", "v2", "big")
	other.Service = "llm2"
	h.replaceEngines(engineRecord("e1", "v1", "big"), other)
	refused := 0
	for range 20 {
		id, effects := h.live("")
		h.mustSend(effects)
		h.apply(FirstByteReceived{Call: id})
		h.apply(AttemptEnded{Call: id, Result: Result{Outcome: OutcomeTruncated, Reason: ReasonClientGone}})
		resumed, effects := h.live("live-" + strconv.Itoa(int(id)))
		if _, ok := findEffect[Refuse](effects); ok {
			refused++
			continue
		}
		h.mustSend(effects)
		h.apply(AttemptEnded{Call: resumed, Result: Result{Outcome: OutcomeComplete}})
	}
	if refused > 0 {
		t.Errorf("%d of 20 resumed streams were refused", refused)
	}
}
