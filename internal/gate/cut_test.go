package gate

import (
	"testing"
	"time"
)

// One of four entries can't reach any engine for 2 s. The other three can: within 5 s at
// least three quarters as many streams must begin as without.
func TestOneEntrysLostLinksDoNotStopTheOthers(t *testing.T) {
	count := func(cut bool) int {
		begun := 0
		for seed := range uint64(6) {
			s := newFleetSim(seed)
			s.run(simWarmUp)
			s.traffic(35, 40*time.Second)
			s.run(10 * time.Second)
			if cut {
				for _, e := range s.engines {
					s.cutLink(s.entries[3], e, 2*time.Second)
				}
			}
			before := s.result.begun
			s.run(5 * time.Second)
			begun += s.result.begun - before
		}
		return begun
	}
	whole, part := count(false), count(true)
	t.Logf("%d streams began without the cut, %d with it", whole, part)
	if part*4 < whole*3 {
		t.Errorf("%d streams began, want at least three quarters of %d", part, whole)
	}
}
