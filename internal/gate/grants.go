package gate

import (
	"math"
	"time"

	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// maxGrantWait is the longest time for which a request may wait for tokens that were
	// granted. Tokens that were granted for later are spent twice if the leader changes, so
	// it must be small compared to the window of the upper bound.
	maxGrantWait = 250 * time.Millisecond
	// contendedGrantWait is the same while the customer asks for more than its rate, if a
	// mean request needs less time of the rate. It is shorter than half of any objective, so
	// that what was granted to requests that can wait longer doesn't keep others from being
	// served.
	contendedGrantWait = 30 * time.Millisecond
	// contentionMemory is the time after a refusal in which a customer counts as asking for
	// more than its rate.
	contentionMemory = time.Second
	// cheapRateFraction is the fraction of a pool's rate that cheap requests may use while
	// others are refused. Without it, they alone could use the whole rate at a multiple of
	// it, and no other request would ever find enough tokens.
	cheapRateFraction = 0.6
	// cheapCostRatio is the largest cost of a cheap request, as a fraction of the mean.
	cheapCostRatio = 0.6
	// meanNeedWeight is the weight of a request in the moving average of what requests need.
	meanNeedWeight = 0.02
	// maxAskAgain is the longest time for which an entry need not ask again. It bounds the
	// number of reports that a customer above its rate causes.
	maxAskAgain = 50 * time.Millisecond
	// maxBacklogTime limits the delay that is told to clients.
	maxBacklogTime = 10 * time.Second
)

// contention is the leader's state of a customer whose requests compete for tokens.
type contention struct {
	// meanNeed is the moving average of the tokens that requests lack.
	meanNeed float64
	// cheap limits what cheap requests may use while others are refused.
	cheap rate.Bucket
	// refusedAt is when a request was last refused, costlyRefusedAt when one that isn't
	// cheap was.
	refusedAt       time.Time
	costlyRefusedAt time.Time
	// backlog is the number of tokens that refused requests lacked, less what the pool has
	// brought since.
	backlog   float64
	backlogAt time.Time
}

// contended reports whether the customer asks for more than its rate.
func (t *contention) contended(now time.Time) bool {
	return !t.refusedAt.IsZero() && now.Sub(t.refusedAt) < contentionMemory
}

func (t *contention) isCheap(need float64) bool { return need <= t.meanNeed*cheapCostRatio }

// contendedWait returns how long a request may wait for tokens while the customer asks for
// more than its rate. At low rates that is the time of a request: the pool would often be
// full if a request that comes a little early had to come again.
func (t *contention) contendedWait(pool *rate.Bucket) time.Duration {
	perRequest := time.Duration(t.meanNeed / max(pool.FillRate(), 1) * float64(time.Second))
	return min(max(perRequest, contendedGrantWait), maxGrantWait)
}

// observe adds a request to the moving average.
func (t *contention) observe(need float64) {
	if t.meanNeed == 0 {
		t.meanNeed = need
	}
	t.meanNeed += (need - t.meanNeed) * meanNeedWeight
}

// addBacklog adds a refused request to the backlog and returns the time that the pool takes
// for all of it.
func (t *contention) addBacklog(now time.Time, need, fillRate float64) time.Duration {
	t.backlog = max(0, t.backlog-fillRate*now.Sub(t.backlogAt).Seconds())
	t.backlogAt = now
	limit := fillRate * maxBacklogTime.Seconds()
	t.backlog = min(t.backlog+need, limit)
	return time.Duration(t.backlog / max(fillRate, 1) * float64(time.Second))
}

// answerTokenAsk decides which of the requests in an ask get the tokens that they lack.
// Tokens that the pool doesn't hold yet are granted for later, as long as the requests may
// wait for them.
func (l *leader) answerTokenAsk(now time.Time, customer *topo.Customer, ask *wirepb.GateTokenAsk) *wirepb.GateTokenAnswer {
	answer := &wirepb.GateTokenAnswer{
		Customer: customer.Name,
		Number:   ask.GetNumber(),
	}
	pool := l.pools[customer.Name]
	state := l.contentions[customer.Name]
	if state == nil {
		state = &contention{backlogAt: now}
		l.contentions[customer.Name] = state
	}
	leastRefused := math.Inf(1)
	for i, need := range ask.GetNeeds() {
		maxWait := time.Duration(0)
		if i < len(ask.GetMaxWaitsUs()) {
			maxWait = min(wirepb.Microseconds(ask.GetMaxWaitsUs()[i]), maxGrantWait)
		}
		wait, granted := state.grant(now, pool, customer, need, maxWait)
		if granted {
			answer.Amount += need
		} else {
			leastRefused = min(leastRefused, need)
		}
		answer.Decisions = append(answer.Decisions, &wirepb.GateTokenDecision{
			Granted: granted,
			AfterUs: uint64(wait.Microseconds()),
		})
	}
	if pool != nil && !state.contended(now) {
		answer.Prefetched = pool.TakeUpTo(now, max(ask.GetPrefetch(), 0))
	}
	if !math.IsInf(leastRefused, 1) && pool != nil {
		answer.LeastRefused = leastRefused
		again := pool.TimeUntil(now, leastRefused) - state.contendedWait(pool)
		answer.AskAgainUs = uint64(max(0, min(again, maxAskAgain)).Microseconds())
	}
	return answer
}

// grant grants a request all the tokens that it lacks, or none. It returns the time after
// which they may be used, or after which the client may expect some.
func (t *contention) grant(
	now time.Time, pool *rate.Bucket, customer *topo.Customer, need float64, maxWait time.Duration,
) (time.Duration, bool) {
	if pool == nil || !(need >= 0) || need > customer.Burst+requestBurst {
		return maxBacklogTime, false
	}
	t.observe(need)
	// A request that lacks more than the pool can hold is granted when the pool is full.
	wait := pool.TimeUntil(now, min(need, pool.Capacity()))
	cheap := t.isCheap(need)
	limit := maxWait
	if t.contended(now) {
		limit = min(maxWait, t.contendedWait(pool))
		if cheap {
			// It gets the tokens before those that they were granted to, who wait longer.
			limit = t.contendedWait(pool)
		}
	}
	t.cheap.Set(now, cheapRateFraction*pool.FillRate(), cheapRateFraction*pool.FillRate()*contentionMemory.Seconds())
	rationed := cheap && !t.costlyRefusedAt.IsZero() && now.Sub(t.costlyRefusedAt) < contentionMemory
	if wait <= limit && (!rationed || t.cheap.Level(now) >= need) {
		pool.Borrow(now, need)
		if rationed {
			t.cheap.Borrow(now, need)
		}
		return min(wait, maxWait), true
	}
	t.refusedAt = now
	if !cheap {
		t.costlyRefusedAt = now
	}
	return min(max(wait, t.addBacklog(now, need, pool.FillRate())), maxBacklogTime), false
}
