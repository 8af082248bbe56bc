package quota_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/quota"
)

// scenario is a load and a fault under it.
type scenario struct {
	name    string
	weights []float64
	// loadBefore and loadAfter are the load before and after the fault, as
	// fractions of the rate.
	loadBefore, loadAfter float64
	fault                 func(s *sim)
	length                time.Duration
}

var skewedWeights = []float64{0.8, 0.2 / 3, 0.2 / 3, 0.2 / 3}

// follower returns an entry that is not the coordinator.
func (s *sim) follower() *host {
	for _, h := range s.entries {
		if h.node == nil || !h.node.IsCoordinator() {
			return h
		}
	}
	return s.entries[0]
}

func (s *sim) coordinator() *host {
	for _, h := range s.entries {
		if h.node != nil && h.node.IsCoordinator() {
			return h
		}
	}
	return s.entries[0]
}

func pauseFollower(s *sim) {
	h := s.follower()
	h.paused = true
	s.after(30*time.Second, func() { s.resume(h) })
}

func disableLog(s *sim) { s.logDown = true }

func scenarios() []scenario {
	return []scenario{
		{"even", evenWeights(4), 0.8, 0.8, nil, time.Minute},
		{"skewed", skewedWeights, 0.8, 0.8, nil, time.Minute},
		{"jump", evenWeights(4), 0.08, 0.8, nil, time.Minute},
		{"fivefold", evenWeights(4), 0.8, 5, nil, time.Minute},
		{"killed", evenWeights(4), 0.8, 0.8, func(s *sim) { s.kill(s.follower()) }, time.Minute},
		{"killed_coordinator", evenWeights(4), 0.8, 0.8, func(s *sim) { s.kill(s.coordinator()) }, time.Minute},
		{"paused", evenWeights(4), 0.8, 0.8, pauseFollower, time.Minute},
		{"no_log", evenWeights(4), 0.8, 0.8, disableLog, time.Hour},
		{"no_log_skewed", skewedWeights, 0.8, 0.8, disableLog, 10 * time.Minute},
		{"killed_skewed", skewedWeights, 0.8, 0.8, func(s *sim) { s.kill(s.follower()) }, time.Minute},
		{"killed_no_log", evenWeights(4), 0.8, 0.8, func(s *sim) { disableLog(s); s.kill(s.follower()) }, time.Minute},
		{"paused_jump", evenWeights(4), 0.08, 0.8, pauseFollower, time.Minute},
	}
}

// BenchmarkRefusals measures refusals although the customer is within its rate,
// that is, those in excess of what one bucket that sees all calls refuses.
// Customer booth has a changing load, customer small a load of half its rate.
func BenchmarkRefusals(b *testing.B) {
	limits := map[string]quota.Limit{
		"booth": {Rate: 10000, Burst: 20000},
		"small": {Rate: 400, Burst: 2000},
	}
	policies := map[string]policy{"shares": sharesWithRequests, "no_asking": sharesOnly, "static": fixedShares}
	for _, c := range scenarios() {
		for name, p := range policies {
			b.Run(c.name+"/"+name, func(b *testing.B) {
				var total refusalCounts
				for range b.N {
					for seed := range max(1, uint64(20*time.Minute/c.length)) {
						total.add(c.run(b, seed, p, limits))
					}
				}
				total.report(b)
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// refusalCounts counts by customer the calls, their refusals, and the refusals
// by one bucket that sees all calls.
type refusalCounts struct{ offered, refused, idealRefused map[string]int }

func (t *refusalCounts) add(s *sim) {
	if t.offered == nil {
		t.offered, t.refused, t.idealRefused = map[string]int{}, map[string]int{}, map[string]int{}
	}
	for customer := range s.limits {
		t.offered[customer] += s.offered[customer]
		t.refused[customer] += s.refused[customer]
		t.idealRefused[customer] += s.idealRefused[customer]
	}
}

func (t *refusalCounts) report(b *testing.B) {
	for customer, offered := range t.offered {
		excess := max(0, t.refused[customer]-t.idealRefused[customer])
		b.ReportMetric(100*float64(excess)/float64(offered), customer+"_wrong_%")
		b.ReportMetric(100*float64(t.refused[customer])/float64(offered), customer+"_refused_%")
	}
}

// run runs a scenario once and counts from the fault on.
func (c scenario) run(b *testing.B, seed uint64, p policy, limits map[string]quota.Limit) *sim {
	s := newSim(seed, p, 4, 4, limits)
	s.advance(3 * time.Second)
	s.generateLoad("small", 2, 100, c.weights, s.now.Add(24*time.Hour))
	s.generateLoad("booth", c.loadBefore*50, 200, c.weights, s.now.Add(27*time.Second))
	s.advance(27 * time.Second)
	clear(s.offered)
	clear(s.refused)
	clear(s.idealRefused)
	if c.fault != nil {
		c.fault(s)
	}
	s.generateLoad("booth", c.loadAfter*50, 200, c.weights, s.now.Add(c.length))
	s.advance(c.length)
	if err := s.checkBound(); err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkRefund measures refusals at an even load of 70% of the rate in terms
// of usage, which is half of what calls reserve. The comparison is one bucket
// that knows the usage in advance. The burst is two seconds of the rate.
func BenchmarkRefund(b *testing.B) {
	for _, runs := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		b.Run(runs.String(), func(b *testing.B) {
			var total refusalCounts
			for range b.N {
				for seed := range uint64(5) {
					s := newSim(seed, sharesWithRequests, 4, 4, map[string]quota.Limit{"booth": {Rate: 10000, Burst: 20000}})
					s.halfUsage, s.maxCallDuration = true, 2*runs
					s.advance(3 * time.Second)
					s.generateLoad("booth", 70, 200, evenWeights(4), s.now.Add(time.Minute))
					s.advance(time.Minute)
					if err := s.checkBound(); err != nil {
						b.Fatal(err)
					}
					total.add(s)
				}
			}
			total.report(b)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkReturn measures how long a killed entry's share is unavailable.
func BenchmarkReturn(b *testing.B) {
	kinds := map[string]func(*sim) *host{"follower": (*sim).follower, "coordinator": (*sim).coordinator}
	for name, pick := range kinds {
		b.Run(name, func(b *testing.B) {
			longest, total, runs := 0.0, 0.0, 0
			for range b.N {
				for seed := range uint64(50) {
					s := newSim(seed, sharesWithRequests, 4, 4, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
					s.advance(15 * time.Second)
					s.kill(pick(s))
					d := s.waitForRecovery(time.Minute).Seconds()
					longest, total, runs = max(longest, d), total+d, runs+1
				}
			}
			b.ReportMetric(total/float64(runs), "s_mean")
			b.ReportMetric(longest, "s_max")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkControl measures the messages and bytes that entries send, for five
// customers whose rates and even load grow with the number of entries.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				limits := make(map[string]quota.Limit)
				for i := range 5 {
					limits[fmt.Sprint("customer-", i)] = quota.Limit{Rate: 2500 * float64(n), Burst: 5000 * float64(n)}
				}
				s := newSim(3, sharesWithRequests, n, 4, limits)
				s.advance(5 * time.Second)
				for customer := range limits {
					s.generateLoad(customer, 10*float64(n), 200, evenWeights(n), s.now.Add(time.Minute))
				}
				s.advance(10 * time.Second)
				for _, h := range s.entries {
					h.sent, h.bytes = 0, 0
				}
				s.advance(50 * time.Second)
				coordinator, other := s.coordinator(), s.follower()
				b.ReportMetric(float64(coordinator.sent)/50, "coordinator_msgs/s")
				b.ReportMetric(float64(coordinator.bytes)/50, "coordinator_B/s")
				b.ReportMetric(float64(other.sent)/50, "entry_msgs/s")
				b.ReportMetric(float64(other.bytes)/50, "entry_B/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDecision measures the processor time of a reservation from the
// entry's own share.
func BenchmarkDecision(b *testing.B) {
	s := newSim(1, sharesWithRequests, 1, 1, map[string]quota.Limit{"booth": {Rate: 1e12, Burst: 1e12}})
	s.advance(3 * time.Second)
	n := s.entries[0].node
	for b.Loop() {
		n.Reserve(s.now, "id", "booth", 1)
	}
}
