package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/quota"
)

// overload submits calls to every entry until the given time. The calls at each
// entry exceed the customer's whole rate.
func (s *sim) overload(until time.Time) {
	for _, h := range s.entries {
		s.after(time.Duration(s.random.IntN(40))*time.Millisecond, func() {
			if !h.dead {
				s.submit(h, "booth", float64(20+s.random.IntN(150)))
			}
		})
	}
	if s.now.Before(until) {
		s.after(40*time.Millisecond, func() { s.overload(until) })
	}
}

// replaceAgent restarts an agent, which loses its view.
func (s *sim) replaceAgent(i int) {
	old := s.agents[i]
	old.dead = true
	h := &host{name: old.name, guard: quota.NewGuard(old.incarnation + 1), incarnation: old.incarnation + 1}
	s.agents[i] = h
	s.hosts = append(s.hosts, h)
	s.pollLog(h)
	for _, e := range s.entries {
		s.runOn(e, func() { s.applyEffects(e, e.node.SetAgentSession(s.now, h.name, h.incarnation)) })
	}
}

// injectFault injects or repairs a random fault.
func (s *sim) injectFault(t *rapid.T) {
	entry := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		if len(s.entries) < 6 {
			s.kill(entry)
			s.addEntry(entry.name, 0) // a new process on the same host
		}
	case 1, 2:
		entry.paused = true
	case 3, 4:
		s.resume(entry)
	case 5:
		s.logDown = !s.logDown
	case 6:
		isolated := entry.name
		s.blocked = func(a, b string) bool {
			return a != b && (a == isolated || b == isolated) && a != "agent-0" && b != "agent-0"
		}
	case 7:
		s.blocked = nil
	case 8:
		s.replaceAgent(rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent"))
	case 9:
		target := entry.name
		s.blocked = func(a, b string) bool { return a == target && b == "log" || a == target && b[0] == 'e' }
	}
}

// TestBound checks that no time window admits more than burst + rate × window
// when messages are lost, delayed, duplicated and reordered, with pauses,
// crashes, partitions, log outages and appends that succeed although their
// answer is lost.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), sharesWithRequests, 3, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
		s.lossRate = float64(rapid.IntRange(0, 3).Draw(t, "loss")) / 10
		s.duplicateRate = 0.1
		s.randomUsage = rapid.Bool().Draw(t, "refunds")
		s.jitter = time.Duration(rapid.SampledFrom([]int{1, 30, 900}).Draw(t, "jitter")) * time.Millisecond
		s.overload(s.now.Add(time.Hour))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.advance(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
			s.injectFault(t)
		}
		s.advance(5 * time.Second)
		if err := s.checkBound(); err != nil {
			t.Fatal(err)
		}
	})
}
