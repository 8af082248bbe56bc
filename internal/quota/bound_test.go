package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/quota"
)

// hammer has every entry asked for more than the whole rate.
func (s *sim) hammer(until time.Time) {
	for _, h := range s.entries {
		s.after(time.Duration(s.random.IntN(40))*time.Millisecond, func() {
			if !h.dead {
				s.call(h, "booth", float64(20+s.random.IntN(150)))
			}
		})
	}
	if s.now.Before(until) {
		s.after(40*time.Millisecond, func() { s.hammer(until) })
	}
}

// replaceAgent restarts an agent, which forgets its view.
func (s *sim) replaceAgent(i int) {
	old := s.agents[i]
	old.dead = true
	h := &host{name: old.name, guard: quota.NewGuard(old.inc + 1), inc: old.inc + 1}
	s.agents[i] = h
	s.hosts = append(s.hosts, h)
	s.poll(h)
	for _, e := range s.entries {
		s.at(e, func() { s.do(e, e.node.LinkedAgent(s.now, h.name, h.inc)) })
	}
}

// step does one random thing to the fleet.
func (s *sim) step(t *rapid.T) {
	entry := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		if len(s.entries) < 6 {
			s.kill(entry)
			s.addEntry(entry.name, 0) // the same host, another process
		}
	case 1, 2:
		entry.paused = true
	case 3, 4:
		s.resume(entry)
	case 5:
		s.logDown = !s.logDown
	case 6:
		alone := entry.name
		s.cut = func(a, b string) bool {
			return a != b && (a == alone || b == alone) && a != "agent-0" && b != "agent-0"
		}
	case 7:
		s.cut = nil
	case 8:
		s.replaceAgent(rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent"))
	case 9:
		pair := entry.name
		s.cut = func(a, b string) bool { return a == pair && b == "log" || a == pair && b[0] == 'e' }
	}
}

// TestBound checks that no window admits more than burst + rate × window, with
// messages lost, late, repeated and out of order, pauses, crashes, partitions,
// log outages and appends whose answer is lost.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), asking, 3, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
		s.loss = float64(rapid.IntRange(0, 3).Draw(t, "loss")) / 10
		s.twin = 0.1
		s.refunds = rapid.Bool().Draw(t, "refunds")
		s.jitter = time.Duration(rapid.SampledFrom([]int{1, 30, 900}).Draw(t, "jitter")) * time.Millisecond
		s.hammer(s.now.Add(time.Hour))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.run(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
			s.step(t)
		}
		s.run(5 * time.Second)
		if err := s.audit(); err != nil {
			t.Fatal(err)
		}
	})
}
