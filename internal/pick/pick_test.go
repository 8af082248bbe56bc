package pick

import (
	"math/rand/v2"
	"testing"
	"time"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func testCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Stats: NewEndpointStats(), Slots: 8, SameZone: true, ExpectedFirstByte: 50 * time.Millisecond}
	}
	return out
}

// simulateRequests sends each request to the endpoint that Choose returns; succeeds
// tells whether it succeeds there. It returns how many requests each endpoint got.
func simulateRequests(requests int, candidates []Candidate, succeeds func(i int) bool) []int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(candidates))
	now := startTime
	for range requests {
		i := Choose(now, random, candidates).Index
		counts[i]++
		candidates[i].Stats.RecordSent(now)
		if succeeds(i) {
			candidates[i].Stats.RecordSuccess()
		} else {
			candidates[i].Stats.RecordFailure(now)
		}
		now = now.Add(20 * time.Millisecond)
	}
	return counts
}

// An endpoint that passes its health check fails half of its requests. It must be
// avoided, and probed from time to time.
func TestPartiallyFailingEndpointIsAvoidedAndProbed(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	counts := simulateRequests(1000, testCandidates(4), func(i int) bool { return i != 2 || random.IntN(2) == 0 })
	if counts[2] < 5 || counts[2] > 100 {
		t.Errorf("the failing endpoint got %d of 1000 requests, want 5 to 100", counts[2])
	}
}

func TestRecoveredEndpointIsUsedAgain(t *testing.T) {
	healthy := false
	candidates := testCandidates(3)
	simulateRequests(300, candidates, func(i int) bool { return i != 1 || healthy })
	healthy = true
	now := startTime.Add(time.Minute)
	for range 20 { // one probe per second
		candidates[1].Stats.RecordSuccess()
	}
	if !candidates[1].Stats.Usable(now) {
		t.Error("an endpoint that succeeds again is still avoided")
	}
}

func TestChoosePrefersLeastLoadedEndpoint(t *testing.T) {
	candidates := testCandidates(3)
	candidates[0].Stats.Local = Load{Running: 3, PendingPrefill: 300 * time.Millisecond}
	candidates[1].Stats.SetRemote(startTime, Load{Running: 2, PendingPrefill: 200 * time.Millisecond})
	if i := Choose(startTime, rand.New(rand.NewPCG(1, 2)), candidates).Index; i != 2 {
		t.Errorf("chose %d, want the idle endpoint", i)
	}
	// An expired report of other entries doesn't count.
	candidates[2].Stats.Local = Load{Running: 1, PendingPrefill: 100 * time.Millisecond}
	if i := Choose(startTime.Add(3*time.Second), rand.New(rand.NewPCG(1, 2)), candidates).Index; i != 1 {
		t.Errorf("chose %d, want the endpoint whose report has expired", i)
	}
}

func TestSlowEndpointIsNotChosen(t *testing.T) {
	candidates := testCandidates(2)
	for range 30 {
		candidates[0].Stats.ObserveFirstByte(startTime, 50*time.Millisecond, 400*time.Millisecond)
	}
	if i := Choose(startTime, rand.New(rand.NewPCG(1, 2)), candidates).Index; i != 1 {
		t.Error("the slow endpoint was chosen")
	}
	if slowdown := candidates[0].Stats.Slowdown(startTime.Add(time.Minute)); slowdown > 1.1 {
		t.Errorf("slowdown is still %v after a minute without observations", slowdown)
	}
}

func TestCachedTokensStopAtFirstMissingPart(t *testing.T) {
	stats := NewEndpointStats()
	parts := []PromptPart{{Hash: 1, Tokens: 200}, {Hash: 2, Tokens: 140}, {Hash: 3, Tokens: 700}}
	stats.RecordPrompt(startTime, parts[:2])
	if n := stats.CachedTokens(startTime, parts); n != 340 {
		t.Errorf("%d tokens cached, want 340", n)
	}
	if n := stats.CachedTokens(startTime, parts[1:]); n != 140 {
		t.Errorf("%d tokens cached, want 140", n)
	}
	if n := stats.CachedTokens(startTime.Add(time.Hour), parts); n != 0 {
		t.Errorf("%d tokens cached after an hour, want 0", n)
	}
}

func TestRefusingEndpointIsAvoidedBriefly(t *testing.T) {
	candidates := testCandidates(2)
	candidates[0].Stats.RecordRefusal(startTime)
	if Choose(startTime, rand.New(rand.NewPCG(1, 2)), candidates).Index != 1 ||
		!candidates[0].Stats.Usable(startTime.Add(refusalBackoff)) {
		t.Error("a full endpoint was chosen, or was still avoided after refusalBackoff")
	}
}

// The fastest model is also the busiest, so its engines are never idle and its rate
// must be learned from busy ones. Prompts that are partly cached must not raise the
// rate.
func TestPrefillRateFromBusyEndpointNeedsGrossError(t *testing.T) {
	r := NewPrefillRate()
	for range 20 {
		r.Observe(2000, 40*time.Millisecond, false) // 15 ms for the prompt
	}
	if rate, _ := r.Value(); rate < 60 {
		t.Errorf("%.0f tokens per ms after 20 fast prompts at a busy endpoint, want at least 60", rate)
	}
	r = NewPrefillRate()
	for range 20 {
		r.Observe(2000, 95*time.Millisecond, false) // a part was cached
	}
	if rate, _ := r.Value(); rate != initialPrefillRate {
		t.Errorf("partly cached prompts at a busy endpoint changed the rate to %.0f", rate)
	}
}

// Guards against refusals of plain requests at endpoints with free slots: requests that run side
// by side don't wait for each other, and beyond the slots the wait is that for a slot.
func TestConcurrentEndpointIsExpectedToBeFreeUntilItsSlotsAreTaken(t *testing.T) {
	const work = 30 * time.Millisecond
	for _, c := range []struct {
		running int
		want    time.Duration
	}{
		{running: 0, want: work},
		{running: 5, want: work},
		{running: 6, want: work + work/6},
		{running: 11, want: 2 * work},
	} {
		stats := NewEndpointStats()
		stats.Local = Load{
			Running:        c.running,
			PendingPrefill: time.Duration(c.running) * work,
		}
		got := Estimate(startTime, Candidate{
			Stats:             stats,
			Slots:             6,
			ExpectedFirstByte: work,
			Concurrent:        true,
		})
		if got.Round(time.Millisecond) != c.want {
			t.Errorf("%d requests at 6 slots: expected after %v, want %v", c.running, got, c.want)
		}
	}
}

// Guards against a queue at one plain endpoint beside others that are idle: of those with free
// slots the least loaded one is chosen.
func TestChoosePrefersLeastLoadedConcurrentEndpoint(t *testing.T) {
	candidates := testCandidates(3)
	for i, running := range []int{4, 1, 3} {
		candidates[i].Concurrent = true
		candidates[i].Stats.Local = Load{Running: running}
	}
	if i := Choose(startTime, rand.New(rand.NewPCG(1, 2)), candidates).Index; i != 1 {
		t.Errorf("chose endpoint %d, want the one with the fewest requests", i)
	}
}
