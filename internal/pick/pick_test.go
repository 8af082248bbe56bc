package pick

import (
	"math/rand/v2"
	"testing"
	"time"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Track: NewTrack(), Slots: 8, Near: true, Expected: 50 * time.Millisecond}
	}
	return out
}

// play sends requests to the best endpoint; ok says whether one succeeds. It
// returns how many each endpoint got.
func play(requests int, list []Candidate, ok func(i int) bool) []int {
	random := rand.New(rand.NewPCG(1, 2))
	got := make([]int, len(list))
	now := begin
	for range requests {
		i := Best(now, random, list).Index
		got[i]++
		list[i].Track.Sent(now)
		if ok(i) {
			list[i].Track.Succeeded()
		} else {
			list[i].Track.Failed(now)
		}
		now = now.Add(20 * time.Millisecond)
	}
	return got
}

// The pattern: an endpoint whose health check is good fails half of what it
// gets. It is left, and tried again now and then.
func TestGreyEndpointIsLeftAndTriedAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	got := play(1000, candidates(4), func(i int) bool { return i != 2 || random.IntN(2) == 0 })
	if got[2] < 5 || got[2] > 100 {
		t.Errorf("the grey endpoint got %d of 1000 requests, want 5 to 100", got[2])
	}
}

func TestRecoveredEndpointIsUsedAgain(t *testing.T) {
	healthy := false
	list := candidates(3)
	play(300, list, func(i int) bool { return i != 1 || healthy })
	healthy = true
	now := begin.Add(time.Minute)
	for range 20 { // one try a second
		list[1].Track.Succeeded()
	}
	if !list[1].Track.Usable(now) {
		t.Error("an endpoint that succeeds is still avoided")
	}
}

func TestWorkGoesWhereLeastWaits(t *testing.T) {
	list := candidates(3)
	list[0].Track.Own = Load{Running: 3, Waiting: 300 * time.Millisecond}
	list[1].Track.SetOthers(begin, Load{Running: 2, Waiting: 200 * time.Millisecond})
	if i := Best(begin, rand.New(rand.NewPCG(1, 2)), list).Index; i != 2 {
		t.Errorf("chose %d, want the idle endpoint", i)
	}
	// What others reported long ago doesn't count.
	list[2].Track.Own = Load{Running: 1, Waiting: 100 * time.Millisecond}
	if i := Best(begin.Add(3*time.Second), rand.New(rand.NewPCG(1, 2)), list).Index; i != 1 {
		t.Errorf("chose %d, want the endpoint whose report is old", i)
	}
}

func TestSlowEndpointGetsLess(t *testing.T) {
	list := candidates(2)
	for range 30 {
		list[0].Track.Observe(begin, 50*time.Millisecond, 400*time.Millisecond)
	}
	if i := Best(begin, rand.New(rand.NewPCG(1, 2)), list).Index; i != 1 {
		t.Error("the slow endpoint was chosen")
	}
	if slow := list[0].Track.Slow(begin.Add(time.Minute)); slow > 1.1 {
		t.Errorf("still taken for %v times slower after a minute", slow)
	}
}

func TestKeptPromptsCountUpToTheFirstGap(t *testing.T) {
	track := NewTrack()
	parts := []Part{{Hash: 1, Tokens: 200}, {Hash: 2, Tokens: 140}, {Hash: 3, Tokens: 700}}
	track.Remember(begin, parts[:2])
	if n := track.Cached(begin, parts); n != 340 {
		t.Errorf("%d tokens, want 340", n)
	}
	if n := track.Cached(begin, parts[1:]); n != 140 {
		t.Errorf("%d tokens, want 140", n)
	}
	if n := track.Cached(begin.Add(time.Hour), parts); n != 0 {
		t.Errorf("%d tokens after an hour", n)
	}
}

func TestFullEndpointGetsNothingForAMoment(t *testing.T) {
	list := candidates(2)
	list[0].Track.Refused(begin)
	if Best(begin, rand.New(rand.NewPCG(1, 2)), list).Index != 1 || !list[0].Track.Usable(begin.Add(refusalPause)) {
		t.Error("a full endpoint was chosen, or avoided for too long")
	}
}

// The pattern: the fastest model is also the busiest. Its engines are never idle,
// so its speed must show at busy ones; what is only partly kept must not.
func TestPaceIsLearnedFromBusyEndpointsIfFarOff(t *testing.T) {
	p := NewPace()
	for range 20 {
		p.Observe(2000, 40*time.Millisecond, false) // 15 ms for the prompt
	}
	if fast, _ := p.Known(); fast < 60 {
		t.Errorf("%.0f tokens a millisecond after 20 fast prompts at a busy endpoint, want 60 at least", fast)
	}
	p = NewPace()
	for range 20 {
		p.Observe(2000, 95*time.Millisecond, false) // a part was kept
	}
	if pace, _ := p.Known(); pace != firstPace {
		t.Errorf("a busy endpoint with a part kept changed the pace to %.0f", pace)
	}
}
