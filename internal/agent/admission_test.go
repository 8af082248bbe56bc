package agent_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/agent"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

var epoch = time.Unix(0, 0)

func newPlainCore(slots int) *agent.Core {
	return agent.NewCore(agent.CoreSettings{
		FixedShares:  true,
		Incarnation:  1,
		PlainService: true,
		Slots:        slots,
	})
}

// sendCall delivers a call of a customer to an agent.
func sendCall(
	core *agent.Core, now time.Time, key uint64, customer string, maxTokens uint32, timeout time.Duration,
) []agent.Effect {
	return core.Apply(now, agent.CallArrived{Call: agent.Call{
		Key: key,
		Request: &wirepb.CallRequest{
			Id:               strconv.FormatUint(key, 10),
			AgentIncarnation: 1,
			Customer:         customer,
			MaxTokens:        maxTokens,
			TimeoutMs:        uint32(timeout.Milliseconds()),
		},
	}})
}

// refusalError returns the error with which effects refuse a call, nil if none
// does.
func refusalError(effects []agent.Effect, key uint64) error {
	for _, effect := range effects {
		if r, ok := effect.(agent.Refuse); ok && r.Key == key {
			return r.Err
		}
	}
	return nil
}

func TestCallThatWouldMissDeadlineIsRefused(t *testing.T) {
	core := newPlainCore(1)
	sendCall(core, epoch, 1, "a", 100, time.Minute)
	now := epoch.Add(10 * time.Second)
	core.Apply(now, agent.CallEnded{Key: 1, Tokens: 100})
	sendCall(core, now, 2, "a", 100, time.Minute)
	err := refusalError(sendCall(core, now, 3, "b", 100, 12*time.Second), 3)
	if fault.CodeOf(err) != fault.CodeBusy || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("call that needs 20 s with a timeout of 12 s: got error %v, want a busy refusal as not run", err)
	}
	if retryAfter := fault.RetryAfterOf(err); retryAfter < 9*time.Second || retryAfter > 11*time.Second {
		t.Errorf("retry after %v, want about 10 s", retryAfter)
	}
	if err := refusalError(sendCall(core, now, 4, "b", 100, 25*time.Second), 4); err != nil {
		t.Errorf("call that needs 20 s with a timeout of 25 s: refused with %v", err)
	}
}

// TestIdleEndpointIgnoresEstimate checks that an idle endpoint accepts a call
// that its estimate says would miss the deadline. Otherwise a wrong estimate
// could never be corrected.
func TestIdleEndpointIgnoresEstimate(t *testing.T) {
	core := newPlainCore(1)
	sendCall(core, epoch, 1, "a", 1, time.Hour)
	now := epoch.Add(time.Minute)
	core.Apply(now, agent.CallEnded{Key: 1, Tokens: 1})
	if err := refusalError(sendCall(core, now, 2, "a", 1000, time.Second), 2); err != nil {
		t.Errorf("idle endpoint refused the call: %v", err)
	}
}

func TestQueuedCallIsRefusedBeforeDeadline(t *testing.T) {
	core := newPlainCore(1)
	sendCall(core, epoch, 1, "a", 10, time.Minute)
	sendCall(core, epoch, 2, "a", 10, 5*time.Second)
	err := refusalError(core.Apply(epoch.Add(4800*time.Millisecond), agent.Tick{}), 2)
	if fault.VerdictOf(err) != fault.NotRun || fault.CodeOf(err) != fault.CodeDeadline {
		t.Errorf("200 ms before the deadline: got error %v, want a deadline refusal as not run", err)
	}
}

// TestEachCallIsStartedOrRefusedOnce checks, over random sequences of events,
// that each call is started or refused exactly once, that no call is left
// undecided, and that no more calls run than there are slots.
func TestEachCallIsStartedOrRefusedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 2
		core, now := newPlainCore(slots), epoch
		undecided := make(map[uint64]bool)
		var running []uint64
		observe := func(effects []agent.Effect) {
			for _, effect := range effects {
				key := uint64(0)
				switch e := effect.(type) {
				case agent.Start:
					key = e.Key
					running = append(running, key)
				case agent.Refuse:
					key = e.Key
					if fault.VerdictOf(e.Err) != fault.NotRun {
						t.Fatalf("call %d refused with %v, want a not-run verdict", key, e.Err)
					}
				default:
					continue
				}
				if !undecided[key] {
					t.Fatalf("call %d was decided without being pending", key)
				}
				delete(undecided, key)
			}
			if len(running) > slots {
				t.Fatalf("%d calls run, more than there are slots", len(running))
			}
		}
		endOldest := func() {
			key := running[0]
			running = running[1:]
			observe(core.Apply(now, agent.CallEnded{Key: key, Tokens: rapid.IntRange(0, 50).Draw(t, "tokens")}))
		}
		for step := range rapid.Uint64Range(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if len(running) > 0 {
					endOldest()
				}
			case 1:
				observe(core.Apply(now, agent.Tick{}))
			case 2:
				key := rapid.Uint64Range(0, step).Draw(t, "canceled")
				observe(core.Apply(now, agent.CallCanceled{Key: key}))
			default:
				undecided[step] = true
				customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				timeout := rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, time.Hour}).Draw(t, "timeout")
				observe(sendCall(core, now, step, customer, 20, timeout))
			}
		}
		for len(running) > 0 {
			endOldest()
		}
		if len(undecided) > 0 {
			t.Fatalf("%d calls were never decided", len(undecided))
		}
	})
}

// TestLargestCustomerLeavesSlotsFree checks that a customer that floods an
// endpoint leaves a fifth of the slots free while another customer has called
// recently, and takes all slots otherwise.
func TestLargestCustomerLeavesSlotsFree(t *testing.T) {
	const slots = 10
	core, now := newPlainCore(slots), epoch
	startedCalls := 0
	count := func(effects []agent.Effect, key uint64) (started bool) {
		for _, effect := range effects {
			if e, ok := effect.(agent.Start); ok {
				startedCalls++
				started = started || e.Key == key
			}
		}
		return started
	}
	send := func(key uint64, customer string) (starts bool) {
		return count(sendCall(core, now, key, customer, 10, time.Hour), key)
	}
	send(1, "small")
	core.Apply(now, agent.CallEnded{Key: 1, Tokens: 10})
	startedCalls = 0
	for i := range uint64(2 * slots) {
		send(100+i, "large")
	}
	if want := slots * 8 / 10; startedCalls != want {
		t.Errorf("large customer runs %d calls on %d slots, want %d", startedCalls, slots, want)
	}
	if !send(2, "small") {
		t.Error("call of the small customer was not started at once")
	}
	core.Apply(now, agent.CallEnded{Key: 2, Tokens: 10})
	now = now.Add(time.Minute)
	count(core.Apply(now, agent.Tick{}), 0)
	send(200, "large")
	if startedCalls != slots+1 {
		t.Errorf("large customer alone runs %d calls on %d slots, want all slots used", startedCalls-1, slots)
	}
}
