package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/pick"
)

// livePrompt is a request of the live route with a prompt that engines keep.
func (h *harness) livePrompt(began string) (CallID, Send) {
	h.t.Helper()
	h.lastCall++
	request := &Request{
		ID:           "first",
		Host:         "h",
		Path:         "/live/1",
		Key:          "k2",
		Model:        "big",
		PromptTokens: 1000,
		PromptParts: []pick.PromptPart{{
			Hash:   1,
			Tokens: 1000,
		}},
		ArrivedAt: h.now,
	}
	if began != "" {
		request.ID, request.LastEventID, request.ResumedRequest = "again", "3", began
	}
	return h.lastCall, h.mustSend(h.apply(RequestArrived{
		Call:    h.lastCall,
		Request: request,
	}))
}

// An engine falls silent without closing its connections, and the client of a stream gives
// up waiting and resumes it. The engine keeps the prompt, but may be silent still.
func TestResumedStreamDoesNotReturnToSilentEngine(t *testing.T) {
	for _, test := range []struct {
		name    string
		harness func(t *testing.T) *harness
	}{
		{
			name:    "leader",
			harness: newLeaderHarness,
		},
		{
			name:    "no leader",
			harness: newServingHarness,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := test.harness(t)
			h.apply(ConfigRead{
				Config: liveConfig(),
				SentAt: h.now,
			})
			h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2", "big"))
			id, first := h.livePrompt("")
			h.apply(FirstByteReceived{Call: id})
			h.advance(3 * time.Second)
			h.apply(ConfigRead{SentAt: h.now})
			h.apply(EndpointsRead{SentAt: h.now})
			h.apply(AttemptEnded{
				Call: id,
				Result: Result{
					Outcome: OutcomeTruncated,
					Reason:  ReasonClientGone,
				},
			})
			if _, second := h.livePrompt("first"); second.Endpoint == first.Endpoint {
				t.Errorf("resumed at %s, which has been silent", second.Endpoint)
			}
		})
	}
}

// The only engine of a version that holds a stream's model is better than none.
func TestStreamIsResumedAtItsOnlyEngine(t *testing.T) {
	h := newLiveHarness(t)
	h.replaceEngines(engineRecord("e1", "v2", "big"), engineRecord("e2", "v2"))
	id, first := h.livePrompt("")
	h.apply(FirstByteReceived{Call: id})
	h.advance(3 * time.Second)
	h.apply(ConfigRead{SentAt: h.now})
	h.apply(EndpointsRead{SentAt: h.now})
	h.apply(AttemptEnded{
		Call: id,
		Result: Result{
			Outcome: OutcomeTruncated,
			Reason:  ReasonClientGone,
		},
	})
	if _, second := h.livePrompt("first"); second.Endpoint != first.Endpoint {
		t.Errorf("resumed at %s, want %s", second.Endpoint, first.Endpoint)
	}
}
