package quota_test

import (
	"fmt"
	"slices"
	"time"

	"dogwoodfold/internal/quota"
)

// call brings a call to an entry.
func (s *sim) call(h *host, customer string, tokens float64) {
	if h.dead || h.paused {
		return
	}
	s.offered[customer]++
	ideal := tokens
	if s.half {
		ideal /= 2 // one bucket that knows what will be used
	}
	if _, ok := s.ideal[customer].Take(s.now, ideal); !ok {
		s.due[customer]++
	}
	a := &attempt{at: s.now, customer: customer, tokens: tokens}
	switch s.policy {
	case static:
		hold, _, ok := h.fixed.Reserve(s.now, customer, tokens)
		s.end(h, a, ok, hold)
	case notAsking:
		hold, _, ok := h.node.Take(s.now, customer, tokens)
		s.end(h, a, ok, hold)
	case asking:
		id := fmt.Sprint(s.seq, len(h.calls), s.offered[customer])
		decision, hold, _, effects := h.node.Reserve(s.now, id, customer, tokens)
		if decision == quota.Asked {
			h.calls[id] = a
		} else {
			s.end(h, a, decision == quota.Admitted, hold)
		}
		s.do(h, effects)
	}
}

func (s *sim) decided(h *host, d quota.Decide) {
	a := h.calls[d.ID]
	delete(h.calls, d.ID)
	s.end(h, a, d.OK, d.Hold)
}

// end counts a refusal, or sends an admitted call to an agent.
func (s *sim) end(h *host, a *attempt, ok bool, hold quota.Hold) {
	if !ok {
		s.refused[a.customer]++
		return
	}
	reserved := s.now
	agent := s.agents[s.random.IntN(len(s.agents))]
	if i, fixed := s.route[h.name]; fixed {
		agent = s.agents[i]
	}
	admit := func() {
		if agent.guard.Admits(h.name, hold.Incarnation) {
			used := a.tokens
			switch {
			case s.half:
				used /= 2
			case s.refunds:
				used *= s.random.Float64()
			}
			s.admitted[a.customer] = append(s.admitted[a.customer], spent{at: reserved, tokens: used})
			s.settle(h, a.customer, hold, used)
			return
		}
		s.settle(h, a.customer, hold, 0)
		s.refused[a.customer]++
	}
	if s.policy == static {
		return
	}
	delay := time.Duration(s.random.Int64N(int64(s.jitter)))
	if s.cut == nil || !s.cut(h.name, agent.name) {
		s.after(delay, func() { s.at(agent, admit) })
	}
}

// settle ends a reservation after up to three seconds.
func (s *sim) settle(h *host, customer string, hold quota.Hold, used float64) {
	if h.node == nil {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(s.runs))), func() {
		s.at(h, func() { h.node.Settle(s.now, customer, hold, used) })
	})
}

// audit returns a fault if any window admitted more than burst + rate × window.
func (s *sim) audit() error {
	for customer, all := range s.admitted {
		slices.SortStableFunc(all, func(a, b spent) int { return a.at.Compare(b.at) })
		limit := s.limits[customer]
		level, at := limit.Burst, time.Unix(1e9, 0)
		for _, one := range all {
			level = min(limit.Burst, level+limit.Rate*one.at.Sub(at).Seconds()) - one.tokens
			at = one.at
			if level < -0.01 {
				return fmt.Errorf("%s received %.1f tokens too many at %v", customer, -level, at.Sub(time.Unix(1e9, 0)))
			}
		}
	}
	return nil
}

// load has customers call entries; weights choose the entry.
func (s *sim) load(customer string, perSecond, tokens float64, weights []float64, until time.Time) {
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.after(gap, func() {
		if s.now.After(until) {
			return
		}
		pick := s.random.Float64()
		for i, w := range weights {
			if pick -= w; pick < 0 || i == len(weights)-1 {
				for s.entries[i].dead || s.entries[i].paused {
					i = (i + 1) % len(weights)
				}
				s.call(s.entries[i], customer, tokens)
				break
			}
		}
		s.load(customer, perSecond, tokens, weights, until)
	})
}

func even(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1 / float64(n)
	}
	return w
}
