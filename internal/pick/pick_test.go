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

// simulateRequests sends requests to the best endpoint; ok says whether one succeeds. It
// returns how many each endpoint got.
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

// The pattern: an endpoint whose health check is good fails half of what it
// gets. It is left, and tried again now and then.
func TestPartiallyFailingEndpointIsAvoidedAndProbed(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	counts := simulateRequests(1000, testCandidates(4), func(i int) bool { return i != 2 || random.IntN(2) == 0 })
	if counts[2] < 5 || counts[2] > 100 {
		t.Errorf("the grey endpoint got %d of 1000 requests, want 5 to 100", counts[2])
	}
}

func TestRecoveredEndpointIsUsedAgain(t *testing.T) {
	healthy := false
	candidates := testCandidates(3)
	simulateRequests(300, candidates, func(i int) bool { return i != 1 || healthy })
	healthy = true
	now := startTime.Add(time.Minute)
	for range 20 { // one try a second
		candidates[1].Stats.RecordSuccess()
	}
	if !candidates[1].Stats.Usable(now) {
		t.Error("an endpoint that succeeds is still avoided")
	}
}

func TestChoosePrefersLeastLoadedEndpoint(t *testing.T) {
	candidates := testCandidates(3)
	candidates[0].Stats.Local = Load{Running: 3, PendingPrefill: 300 * time.Millisecond}
	candidates[1].Stats.SetRemote(startTime, Load{Running: 2, PendingPrefill: 200 * time.Millisecond})
	if i := Choose(startTime, rand.New(rand.NewPCG(1, 2)), candidates).Index; i != 2 {
		t.Errorf("chose %d, want the idle endpoint", i)
	}
	// What others reported long ago doesn't count.
	candidates[2].Stats.Local = Load{Running: 1, PendingPrefill: 100 * time.Millisecond}
	if i := Choose(startTime.Add(3*time.Second), rand.New(rand.NewPCG(1, 2)), candidates).Index; i != 1 {
		t.Errorf("chose %d, want the endpoint whose report is old", i)
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
		t.Errorf("still taken for %v times slower after a minute", slowdown)
	}
}

func TestCachedTokensStopAtFirstMissingPart(t *testing.T) {
	stats := NewEndpointStats()
	parts := []PromptPart{{Hash: 1, Tokens: 200}, {Hash: 2, Tokens: 140}, {Hash: 3, Tokens: 700}}
	stats.RecordPrompt(startTime, parts[:2])
	if n := stats.CachedTokens(startTime, parts); n != 340 {
		t.Errorf("%d tokens, want 340", n)
	}
	if n := stats.CachedTokens(startTime, parts[1:]); n != 140 {
		t.Errorf("%d tokens, want 140", n)
	}
	if n := stats.CachedTokens(startTime.Add(time.Hour), parts); n != 0 {
		t.Errorf("%d tokens after an hour", n)
	}
}

func TestRefusingEndpointIsAvoidedBriefly(t *testing.T) {
	candidates := testCandidates(2)
	candidates[0].Stats.RecordRefusal(startTime)
	if Choose(startTime, rand.New(rand.NewPCG(1, 2)), candidates).Index != 1 || !candidates[0].Stats.Usable(startTime.Add(refusalBackoff)) {
		t.Error("a full endpoint was chosen, or avoided for too long")
	}
}

// The pattern: the fastest model is also the busiest. Its engines are never idle,
// so its speed must show at busy ones; what is only partly kept must not.
func TestPrefillRateFromBusyEndpointNeedsGrossError(t *testing.T) {
	r := NewPrefillRate()
	for range 20 {
		r.Observe(2000, 40*time.Millisecond, false) // 15 ms for the prompt
	}
	if rate, _ := r.Value(); rate < 60 {
		t.Errorf("%.0f tokens a millisecond after 20 fast prompts at a busy endpoint, want 60 at least", rate)
	}
	r = NewPrefillRate()
	for range 20 {
		r.Observe(2000, 95*time.Millisecond, false) // a part was kept
	}
	if rate, _ := r.Value(); rate != initialPrefillRate {
		t.Errorf("a busy endpoint with a part kept changed the pace to %.0f", rate)
	}
}
