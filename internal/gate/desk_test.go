package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// booked returns the only answer to a booking among effects.
func (r *rig) booking(effects []Effect) *wirepb.GateBooking {
	r.t.Helper()
	b, ok := find[SendBooking](effects)
	if !ok {
		r.t.Fatalf("the leader isn't asked: %+v", effects)
	}
	return b.Booking
}

func (r *rig) chat(path string) (CallID, []Effect) {
	return r.arriveFor(&Request{Host: "h", Path: path, Key: "k2", Model: "big", PromptTokens: 2000, Patience: 15 * time.Second, Arrived: r.now})
}

// answer gives the leader's answer to a booking.
func (r *rig) answer(b *wirepb.GateBooked) []Effect {
	return r.apply(BookedReceived{Host: "front-2", Booked: b})
}

func TestBookedRequestIsSentAtItsTime(t *testing.T) {
	r := following(t)
	id, effects := r.chat("/chat/1")
	b := r.booking(effects)
	if _, sent := find[Send](effects); sent {
		t.Fatal("sent before the leader has answered")
	}
	effects = r.answer(&wirepb.GateBooked{Call: b.GetCall(), Verdict: wirepb.GateBooked_SEND, Endpoint: "llm-1", AfterUs: 80_000})
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
	r.booking(effects)
	r.pass(askLimit)
	r.sent(r.apply(Tick{}))
	_, effects = r.chat("/chat/2")
	r.sent(effects)
}

func TestBusyEnginesRefuseAtOnce(t *testing.T) {
	r := following(t)
	_, effects := r.chat("/chat/1")
	b := r.booking(effects)
	effects = r.answer(&wirepb.GateBooked{Call: b.GetCall(), Verdict: wirepb.GateBooked_BUSY, AfterUs: 400_000})
	r.wantCode(effects, fault.CodeBusy)
	if after := fault.RetryAfterOf(r.refused(effects)); after < 200*time.Millisecond || after > 600*time.Millisecond {
		t.Errorf("come back after %v, want about 400ms", after)
	}
}

func TestBookedEngineThatHasLeftIsNotUsed(t *testing.T) {
	r := following(t)
	r.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	_, effects := r.chat("/chat/1")
	b := r.booking(effects)
	r.answer(&wirepb.GateBooked{Call: b.GetCall(), Verdict: wirepb.GateBooked_SEND, Endpoint: "llm-1", AfterUs: 80_000})
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
	b := r.booking(effects)
	r.answer(&wirepb.GateBooked{Call: b.GetCall(), Verdict: wirepb.GateBooked_SEND, Endpoint: "llm-1", AfterUs: 80_000})
	r.pass(4 * time.Second)
	r.wantCode(r.apply(Tick{}), fault.CodeNotReady)
}

// The pattern: entries that don't know of each other send to the engines of one
// model at once. The leader gives each prompt its time and spreads them.
func TestLeaderSpreadsAndSpacesPrompts(t *testing.T) {
	r := leading(t)
	r.endpoints(testEndpoint("llm-2", "llm", topo.Holding{Model: "big"}))
	r.apply(PeerUp{Host: "front-2"})
	ask := func(call uint64, rank uint32) *wirepb.GateBooked {
		answer, _ := find[SendBooked](r.apply(BookingReceived{Host: "front-2", Booking: &wirepb.GateBooking{
			Call: call, Service: "llm", Model: "big", PromptTokens: 2000, ObjectiveUs: 500_000, Rank: rank, Zone: "a",
		}}))
		return answer.Booked
	}
	used := map[string]int{}
	var last time.Duration
	busy := 0
	for i := range uint64(20) {
		b := ask(i, 0)
		if b.GetVerdict() == wirepb.GateBooked_BUSY {
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
	ask := func(objective, passed time.Duration) wirepb.GateBooked_Verdict {
		answer, _ := find[SendBooked](r.apply(BookingReceived{Host: "front-2", Booking: &wirepb.GateBooking{
			Service: "llm", Model: "big", PromptTokens: 2000, Zone: "a",
			ObjectiveUs: uint64(objective.Microseconds()), PassedUs: uint64(passed.Microseconds()),
		}}))
		return answer.Booked.GetVerdict()
	}
	ask(500*time.Millisecond, 0)
	if v := ask(10*time.Second, 0); v != wirepb.GateBooked_LATER {
		t.Errorf("a request with 10 s to spare gets %v before urgent ones", v)
	}
	if v := ask(10*time.Second, 6*time.Second); v != wirepb.GateBooked_SEND {
		t.Errorf("a request that has waited 6 s gets %v", v)
	}
	if v := ask(500*time.Millisecond, 0); v != wirepb.GateBooked_SEND {
		t.Errorf("an urgent request gets %v", v)
	}
}
