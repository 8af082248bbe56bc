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

func newPlain(slots int) *agent.Core {
	return agent.NewCore(agent.CoreSettings{
		StaticRates: true,
		Incarnation: 1,
		Plain:       true,
		Slots:       slots,
	})
}

// arrive sends a call of a customer to an agent.
func arrive(c *agent.Core, now time.Time, key uint64, customer string, tokens uint32, timeout time.Duration) []agent.Effect {
	return c.Apply(now, agent.Arrived{Call: agent.Call{
		Key: key,
		Request: &wirepb.CallRequest{
			Id:               strconv.FormatUint(key, 10),
			AgentIncarnation: 1,
			Customer:         customer,
			MaxTokens:        tokens,
			TimeoutMs:        uint32(timeout.Milliseconds()),
		},
	}})
}

// refusal returns the error that effects refuse a call with, nil if none does.
func refusal(effects []agent.Effect, key uint64) error {
	for _, effect := range effects {
		if r, ok := effect.(agent.Refuse); ok && r.Key == key {
			return r.Err
		}
	}
	return nil
}

func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	c := newPlain(1)
	arrive(c, epoch, 1, "a", 100, time.Minute)
	now := epoch.Add(10 * time.Second)
	c.Apply(now, agent.Ended{Key: 1, Used: 100})
	arrive(c, now, 2, "a", 100, time.Minute)
	err := refusal(arrive(c, now, 3, "b", 100, 12*time.Second), 3)
	if fault.CodeOf(err) != fault.CodeBusy || fault.VerdictOf(err) != fault.NotRun {
		t.Errorf("a call that needs 20 of 12 s: %v, want a refusal as not run", err)
	}
	if after := fault.RetryAfterOf(err); after < 9*time.Second || after > 11*time.Second {
		t.Errorf("retry after %v, want about 10 s", after)
	}
	if err := refusal(arrive(c, now, 4, "b", 100, 25*time.Second), 4); err != nil {
		t.Errorf("a call that needs 20 of 25 s: %v", err)
	}
}

// TestIdleEndpointNeverRefusesByPace checks that a wrong pace corrects itself.
func TestIdleEndpointNeverRefusesByPace(t *testing.T) {
	c := newPlain(1)
	arrive(c, epoch, 1, "a", 1, time.Hour)
	now := epoch.Add(time.Minute)
	c.Apply(now, agent.Ended{Key: 1, Used: 1})
	if err := refusal(arrive(c, now, 2, "a", 1000, time.Second), 2); err != nil {
		t.Errorf("an idle endpoint refused: %v", err)
	}
}

func TestWaitingCallIsGivenUpBeforeItsDeadline(t *testing.T) {
	c := newPlain(1)
	arrive(c, epoch, 1, "a", 10, time.Minute)
	arrive(c, epoch, 2, "a", 10, 5*time.Second)
	err := refusal(c.Apply(epoch.Add(4800*time.Millisecond), agent.Tick{}), 2)
	if fault.VerdictOf(err) != fault.NotRun || fault.CodeOf(err) != fault.CodeDeadline {
		t.Errorf("200 ms before the deadline: %v, want a refusal as not run", err)
	}
}

// TestEachCallIsDecidedOnce checks that each call is started or refused exactly
// once, that no more run than there are slots, and that none is forgotten.
func TestEachCallIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 2
		c, now := newPlain(slots), epoch
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
						t.Fatalf("call %d was refused with %v", key, e.Err)
					}
				default:
					continue
				}
				if !undecided[key] {
					t.Fatalf("call %d was decided twice", key)
				}
				delete(undecided, key)
			}
			if len(running) > slots {
				t.Fatalf("%d calls run", len(running))
			}
		}
		end := func() {
			key := running[0]
			running = running[1:]
			observe(c.Apply(now, agent.Ended{Key: key, Used: rapid.IntRange(0, 50).Draw(t, "used")}))
		}
		for step := range rapid.Uint64Range(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if len(running) > 0 {
					end()
				}
			case 1:
				observe(c.Apply(now, agent.Tick{}))
			case 2:
				key := rapid.Uint64Range(0, step).Draw(t, "abandoned")
				observe(c.Apply(now, agent.Abandoned{Key: key}))
			default:
				undecided[step] = true
				customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				timeout := rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, time.Hour}).Draw(t, "timeout")
				observe(arrive(c, now, step, customer, 20, timeout))
			}
		}
		for len(running) > 0 {
			end()
		}
		if len(undecided) > 0 {
			t.Fatalf("%d calls were forgotten", len(undecided))
		}
	})
}

// TestLargestCustomerLeavesSlots checks that a customer that floods an endpoint
// leaves a fifth of the slots to others that called lately, and only to them.
func TestLargestCustomerLeavesSlots(t *testing.T) {
	const slots = 10
	c, now := newPlain(slots), epoch
	started := 0
	count := func(effects []agent.Effect, key uint64) (starts bool) {
		for _, effect := range effects {
			if e, ok := effect.(agent.Start); ok {
				started++
				starts = starts || e.Key == key
			}
		}
		return starts
	}
	send := func(key uint64, customer string) (starts bool) {
		return count(arrive(c, now, key, customer, 10, time.Hour), key)
	}
	send(1, "small")
	c.Apply(now, agent.Ended{Key: 1, Used: 10})
	started = 0
	for i := range uint64(2 * slots) {
		send(100+i, "large")
	}
	if want := slots * 8 / 10; started != want {
		t.Errorf("the large customer runs %d calls of %d slots, want %d", started, slots, want)
	}
	if !send(2, "small") {
		t.Error("the small customer's call has to wait")
	}
	c.Apply(now, agent.Ended{Key: 2, Used: 10})
	now = now.Add(time.Minute)
	count(c.Apply(now, agent.Tick{}), 0)
	send(200, "large")
	if started != slots+1 {
		t.Errorf("alone, the large customer runs %d calls of %d slots", started-1, slots)
	}
}
