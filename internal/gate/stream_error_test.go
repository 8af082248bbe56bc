package gate

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// checkNoAnswer checks that a call whose response has begun is sent on or ended, and gets no
// answer of the entry and no failure that was kept.
func checkNoAnswer(t *testing.T, effects []Effect) {
	t.Helper()
	if refuse, found := findEffect[Refuse](effects); found {
		t.Errorf("refused within its stream: %v", refuse.Err)
	}
	if _, found := findEffect[ForwardFailure](effects); found {
		t.Error("a failure was forwarded within its stream")
	}
}

// cutStream returns a harness in which a call's stream was broken off and is being
// continued at another engine.
func cutStream(t *testing.T) (*harness, CallID) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2", "big"))
	id, effects := h.live("")
	h.mustSend(effects)
	h.apply(FirstByteReceived{Call: id})
	h.advance(500 * time.Millisecond)
	h.effects = nil
	effects = h.apply(AttemptEnded{Call: id, Result: truncated})
	if send := h.mustSend(effects); !send.Resume {
		t.Fatalf("sent to %s as a new request", send.Endpoint)
	}
	return h, id
}

// Guards against an answer within a stream: an engine answers the continuation of a stream
// with a refusal or a failure, or doesn't answer it. The response that has begun must be
// continued or ended.
func TestNoResultAnswersWithinStream(t *testing.T) {
	for outcome := OutcomeNotRun; outcome <= OutcomeTruncated; outcome++ {
		for reason := ReasonNone; reason <= ReasonClientGone; reason++ {
			t.Run(fmt.Sprintf("%v %v", outcome, reason), func(t *testing.T) {
				h, id := cutStream(t)
				effects := h.apply(AttemptEnded{Call: id, Result: Result{Outcome: outcome, Reason: reason, Status: 503}})
				for range 40 {
					checkNoAnswer(t, effects)
					h.advance(250 * time.Millisecond)
					h.effects = nil
					h.apply(Tick{})
					effects = h.effects
				}
			})
		}
	}
}

// Guards against an answer within a stream: a stream was cut and waits for its model, and
// the entry finds a reason of its own not to go on with it.
func TestNoReasonOfTheEntryAnswersWithinStream(t *testing.T) {
	withConfig := func(change func(*topo.Config)) func(*harness) {
		return func(h *harness) {
			config := liveConfig()
			config.Version = 9
			change(config)
			h.apply(ConfigRead{Config: config.BuildIndex(), SentAt: h.now})
		}
	}
	for name, cause := range map[string]func(*harness){
		"deadline":        func(*harness) {},
		"withdrawn key":   withConfig(func(c *topo.Config) { c.Customers = nil }),
		"service removed": withConfig(func(c *topo.Config) { delete(c.Services, "llm") }),
		"routes removed":  withConfig(func(c *topo.Config) { c.Routes = nil }),
		"shutdown":        func(h *harness) { h.apply(ShutdownRequested{}) },
		"no endpoint of the version": func(h *harness) {
			h.removeEndpoint("e2")
			h.endpoints(engineRecord("e3", "v3", "big"))
		},
		"no endpoint": func(h *harness) {
			h.removeEndpoint("e1")
			h.removeEndpoint("e2")
		},
		"no retry left": func(h *harness) {
			h.core.retryBudget("llm").tokens = 0
			h.endpoints(nextRecord(engineRecord("e2", "v2", "big")))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLiveHarness(t)
			h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2"))
			id, effects := h.live("")
			h.mustSend(effects)
			h.core.calls[id].customer = h.core.config.Customers["acme"]
			h.apply(FirstByteReceived{Call: id})
			h.advance(500 * time.Millisecond)
			h.apply(AttemptEnded{Call: id, Result: truncated})
			h.effects = nil
			cause(h)
			checkNoAnswer(t, h.effects)
			for range 80 {
				h.advance(250 * time.Millisecond)
				h.effects = nil
				h.apply(Tick{})
				checkNoAnswer(t, h.effects)
			}
			if call := h.core.calls[id]; call != nil && call.endpoint == nil {
				t.Error("the call is not ended")
			}
		})
	}
}

// nextRecord returns a record as the next one of its engine.
func nextRecord(ep *topo.Endpoint) *topo.Endpoint {
	ep.Sequence++
	return ep
}
