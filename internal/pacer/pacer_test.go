package pacer

import (
	"math/rand/v2"
	"testing"
	"time"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	// simTokenTime is the time that an engine takes for one token of each of its
	// streams, simMaxChunk the longest prefill that it does between two tokens.
	simTokenTime = 14 * time.Millisecond
	simMaxChunk  = 100 * time.Millisecond
	// simTokensPerEvent is the number of tokens per event, simMaxGap the longest
	// time between events that is not late.
	simTokensPerEvent = 3
	simMaxGap         = 300 * time.Millisecond
	// maxLateFraction is the fraction of events that may be late.
	maxLateFraction = 0.01
)

// prompt is a prompt that an engine receives at a point in time.
type prompt struct {
	at      time.Time
	prefill time.Duration
}

// randomPrompts returns prompts of many independent callers that take the given
// fraction of an engine's time on average.
func randomPrompts(random *rand.Rand, utilization float64, duration time.Duration) []prompt {
	const mean = 70 * time.Millisecond
	var out []prompt
	for at := startTime; at.Before(startTime.Add(duration)); {
		at = at.Add(time.Duration(random.ExpFloat64() * float64(mean) / utilization))
		prefill := min(time.Duration(random.ExpFloat64()*float64(mean)), 230*time.Millisecond)
		out = append(out, prompt{at: at, prefill: prefill})
	}
	return out
}

// lateFraction simulates an engine and returns the fraction of its events that are
// late.
func lateFraction(prompts []prompt) float64 {
	var steps []time.Duration
	var pending time.Duration
	now := startTime
	for len(prompts) > 0 || pending > 0 {
		for len(prompts) > 0 && !prompts[0].at.After(now) {
			pending += prompts[0].prefill
			prompts = prompts[1:]
		}
		chunk := min(pending, simMaxChunk)
		pending -= chunk
		steps = append(steps, simTokenTime+chunk)
		now = now.Add(simTokenTime + chunk)
	}
	late := 0
	for i := simTokensPerEvent; i <= len(steps); i++ {
		var gap time.Duration
		for _, s := range steps[i-simTokensPerEvent : i] {
			gap += s
		}
		if gap > simMaxGap {
			late++
		}
	}
	return float64(late) / float64(len(steps))
}

// Many entries send prompts to the engines of a busy model without coordination.
// Prompts that arrive at an engine at the same time make all of its streams pause too
// long; prompts that are spaced by one schedule don't.
func TestScheduledPromptsKeepStreamGapsShort(t *testing.T) {
	for _, utilization := range []float64{0.5, 0.65} {
		random := rand.New(rand.NewPCG(1, 2))
		prompts := randomPrompts(random, utilization, 5*time.Minute)
		unscheduledLate := lateFraction(prompts)
		var schedule Schedule
		scheduled := make([]prompt, 0, len(prompts))
		for _, p := range prompts {
			scheduled = append(scheduled, prompt{at: schedule.Reserve(p.at, p.prefill, 0.8), prefill: p.prefill})
		}
		scheduledLate := lateFraction(scheduled)
		t.Logf("prompts take %v of the time: %.4f of the events late, %.4f with a schedule",
			utilization, unscheduledLate, scheduledLate)
		if unscheduledLate <= maxLateFraction {
			t.Errorf("only %.4f of the events are late without a schedule, so the test proves nothing", unscheduledLate)
		}
		if scheduledLate > maxLateFraction {
			t.Errorf("%.4f of the events are late with a schedule, want at most %v", scheduledLate, maxLateFraction)
		}
	}
}

func TestPrefillShareAdjustsToPauses(t *testing.T) {
	share := NewPrefillShare()
	now := startTime
	for range 20 {
		now = now.Add(adjustInterval)
		share.Observe(100, 10)
		share.Value(now)
	}
	if share.Value(now) != minShare {
		t.Errorf("share is %v after a tenth of the streams paused, want %v", share.Value(now), minShare)
	}
	for range 60 {
		now = now.Add(adjustInterval)
		share.Observe(100, 0)
		share.Value(now)
	}
	if share.Value(now) != maxShare {
		t.Errorf("share is %v after no stream paused, want %v", share.Value(now), maxShare)
	}
	share.Observe(minStreams-1, minStreams-1)
	if share.Value(now.Add(adjustInterval)) != maxShare {
		t.Error("the share changed after fewer than minStreams streams")
	}
}

func TestScheduleBecomesFree(t *testing.T) {
	var schedule Schedule
	if at := schedule.Reserve(startTime, 100*time.Millisecond, 0.5); at != startTime {
		t.Errorf("first prompt of an empty schedule starts at %v, want now", at)
	}
	if at := schedule.NextStart(startTime); at != startTime.Add(200*time.Millisecond) {
		t.Errorf("next prompt starts after %v, want 200ms", at.Sub(startTime))
	}
	if later := startTime.Add(time.Second); schedule.NextStart(later) != later {
		t.Error("schedule is not free after the reserved time")
	}
}

func TestEngineSpeedFollowsObservations(t *testing.T) {
	var speed EngineSpeed
	if speed.Factor() != 1 {
		t.Errorf("factor is %v without observations, want 1", speed.Factor())
	}
	for range 100 {
		speed.Observe(60*time.Millisecond, 90*time.Millisecond)
	}
	if factor := speed.Factor(); factor < 1.4 || factor > 1.6 {
		t.Errorf("factor is %.2f for an engine that takes 1.5 times as long, want 1.4 to 1.6", factor)
	}
	for range 200 {
		speed.Observe(60*time.Millisecond, 60*time.Millisecond)
	}
	if factor := speed.Factor(); factor > 1.1 {
		t.Errorf("factor is %.2f for an engine that is back at mean speed, want at most 1.1", factor)
	}
}
