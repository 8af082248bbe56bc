package quota_test

import (
	"fmt"
	"slices"
	"time"

	"dogwoodfold/internal/quota"
)

// submit submits a call to an entry.
func (s *sim) submit(h *host, customer string, tokens float64) {
	if h.dead || h.paused {
		return
	}
	s.offered[customer]++
	ideal := tokens
	if s.halfUsage {
		ideal /= 2 // the ideal bucket knows the usage in advance
	}
	if _, ok := s.idealBuckets[customer].Take(s.now, ideal); !ok {
		s.idealRefused[customer]++
	}
	a := &attempt{at: s.now, customer: customer, tokens: tokens}
	switch s.policy {
	case fixedShares:
		reservation, _, ok := h.limiter.Reserve(s.now, customer, tokens)
		s.finishAttempt(h, a, ok, reservation)
	case sharesOnly:
		reservation, _, ok := h.node.TryReserve(s.now, customer, tokens)
		s.finishAttempt(h, a, ok, reservation)
	case sharesWithRequests:
		id := fmt.Sprint(s.seq, len(h.calls), s.offered[customer])
		answer := h.node.Reserve(s.now, id, customer, tokens)
		if answer.Decision == quota.Pending {
			h.calls[id] = a
		} else {
			s.finishAttempt(h, a, answer.Decision == quota.Admitted, answer.Reservation)
		}
		s.applyEffects(h, answer.Effects)
	}
}

func (s *sim) handleResolve(h *host, r quota.Resolve) {
	a := h.calls[r.ID]
	delete(h.calls, r.ID)
	s.finishAttempt(h, a, r.OK, r.Reservation)
}

// finishAttempt counts a refusal, or sends an admitted call to an agent.
func (s *sim) finishAttempt(h *host, a *attempt, ok bool, reservation quota.Reservation) {
	if !ok {
		s.refused[a.customer]++
		return
	}
	reservedAt := s.now
	agent := s.agents[s.random.IntN(len(s.agents))]
	if i, fixed := s.route[h.name]; fixed {
		agent = s.agents[i]
	}
	admit := func() {
		if agent.guard.Admits(h.name, reservation.Incarnation) {
			used := a.tokens
			switch {
			case s.halfUsage:
				used /= 2
			case s.randomUsage:
				used *= s.random.Float64()
			}
			s.admitted[a.customer] = append(s.admitted[a.customer], admission{at: reservedAt, tokens: used})
			s.settle(h, a.customer, reservation, used)
			return
		}
		s.settle(h, a.customer, reservation, 0)
		s.refused[a.customer]++
	}
	if s.policy == fixedShares {
		return
	}
	delay := time.Duration(s.random.Int64N(int64(s.jitter)))
	if s.blocked == nil || !s.blocked(h.name, agent.name) {
		s.after(delay, func() { s.runOn(agent, admit) })
	}
}

// settle ends a reservation after a random time below maxCallDuration.
func (s *sim) settle(h *host, customer string, reservation quota.Reservation, used float64) {
	if h.node == nil {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(s.maxCallDuration))), func() {
		s.runOn(h, func() { h.node.Settle(s.now, customer, reservation, used) })
	})
}

// checkBound returns an error if any time window admitted more than burst +
// rate × window.
func (s *sim) checkBound() error {
	for customer, all := range s.admitted {
		slices.SortStableFunc(all, func(a, b admission) int { return a.at.Compare(b.at) })
		limit := s.limits[customer]
		level, at := limit.Burst, time.Unix(1e9, 0)
		for _, one := range all {
			level = min(limit.Burst, level+limit.Rate*one.at.Sub(at).Seconds()) - one.tokens
			at = one.at
			if level < -0.01 {
				return fmt.Errorf("%s exceeded its bound by %.1f tokens at %v", customer, -level, at.Sub(time.Unix(1e9, 0)))
			}
		}
	}
	return nil
}

// generateLoad submits a customer's calls at random times; weights are the
// probabilities of the entries.
func (s *sim) generateLoad(customer string, perSecond, tokens float64, weights []float64, until time.Time) {
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
				s.submit(s.entries[i], customer, tokens)
				break
			}
		}
		s.generateLoad(customer, perSecond, tokens, weights, until)
	})
}

func evenWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1 / float64(n)
	}
	return w
}
