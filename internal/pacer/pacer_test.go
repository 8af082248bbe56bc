package pacer

import (
	"math/rand/v2"
	"testing"
	"time"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	// simTokenTime is an engine's time for one token of all its streams, simChunk the
	// longest piece of prompts that it reads between two.
	simTokenTime = 14 * time.Millisecond
	simMaxChunk  = 100 * time.Millisecond
	// simTokensPerEvent is how many tokens an event holds, simGap its longest pause.
	simTokensPerEvent = 3
	simMaxGap         = 300 * time.Millisecond
	// maxLateFraction is the part of the events that may come too late.
	maxLateFraction = 0.01
)

// prompt is one that an engine gets at a time.
type prompt struct {
	at      time.Time
	prefill time.Duration
}

// randomPrompts returns prompts of many independent callers, using a part of the
// engine's time on average.
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

// lateFraction runs an engine and returns the part of its events that come too late.
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

// The pattern: many entries send prompts to the engines of a busy model without
// knowing of each other. Prompts that meet at an engine make all its streams
// pause too long; spaced by one schedule they don't.
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
		t.Logf("prompts take %v of the time: %.4f of the events late, spaced %.4f", utilization, unscheduledLate, scheduledLate)
		if unscheduledLate <= maxLateFraction {
			t.Errorf("the load has only %.4f late events, the test shows nothing", unscheduledLate)
		}
		if scheduledLate > maxLateFraction {
			t.Errorf("%.4f of the events are late with spaced prompts, want %v at most", scheduledLate, maxLateFraction)
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
		t.Errorf("share %v while a tenth of the streams pause, want %v", share.Value(now), minShare)
	}
	for range 60 {
		now = now.Add(adjustInterval)
		share.Observe(100, 0)
		share.Value(now)
	}
	if share.Value(now) != maxShare {
		t.Errorf("share %v while no stream pauses, want %v", share.Value(now), maxShare)
	}
	share.Observe(minStreams-1, minStreams-1)
	if share.Value(now.Add(adjustInterval)) != maxShare {
		t.Error("judges by too few streams")
	}
}

func TestScheduleBecomesFree(t *testing.T) {
	var schedule Schedule
	if at := schedule.Reserve(startTime, 100*time.Millisecond, 0.5); at != startTime {
		t.Errorf("a free schedule starts at %v", at)
	}
	if at := schedule.NextStart(startTime); at != startTime.Add(200*time.Millisecond) {
		t.Errorf("the next prompt starts after %v, want 200ms", at.Sub(startTime))
	}
	if later := startTime.Add(time.Second); schedule.NextStart(later) != later {
		t.Error("the schedule isn't free again")
	}
}

func TestEngineSpeedFollowsObservations(t *testing.T) {
	var speed EngineSpeed
	if speed.Factor() != 1 {
		t.Errorf("an engine not observed yet counts as %v times as slow", speed.Factor())
	}
	for range 100 {
		speed.Observe(60*time.Millisecond, 90*time.Millisecond)
	}
	if factor := speed.Factor(); factor < 1.4 || factor > 1.6 {
		t.Errorf("an engine that takes half as long again counts as %.2f times as slow", factor)
	}
	for range 200 {
		speed.Observe(60*time.Millisecond, 60*time.Millisecond)
	}
	if factor := speed.Factor(); factor > 1.1 {
		t.Errorf("an engine that is as fast as others again counts as %.2f times as slow", factor)
	}
}
