package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodfold/internal/rate"
	_ "dogwoodfold/internal/seeds"
	"dogwoodfold/internal/topo"
)

// TestStandingSharesAndPoolNeverExceedTheRate has entries come and go, each using
// any share that it was given within the lifetime of its proof, beside a leader
// that lends out the rest or, for low rates, all.
func TestStandingSharesAndPoolNeverExceedTheRate(t *testing.T) {
	const lifetime = 4 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		customer := &topo.Customer{Name: "acme", Rate: rapid.Float64Range(100, 50_000).Draw(rt, "rate"), Burst: 1000}
		config := &topo.Config{Customers: map[string]*topo.Customer{"acme": customer}}
		l := &leader{
			allot: rate.NewAllotment(standingFraction, lifetime, nil),
			pools: make(map[string]*rate.Bucket),
		}
		type grant struct {
			share float64
			until time.Time
		}
		given := make(map[string][]grant)
		now := start
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "pause")) * time.Millisecond)
			var hosts []string
			for i := range 6 {
				if rapid.Bool().Draw(rt, "there") {
					hosts = append(hosts, fmt.Sprint("h", i))
				}
			}
			for host, grants := range given {
				if last := &grants[len(grants)-1]; last.until.IsZero() {
					last.until = now.Add(lifetime)
				}
				given[host] = grants
			}
			for host, share := range l.allot.Update(now, hosts) {
				given[host] = append(given[host], grant{share: share})
			}
			l.updatePools(now, config)
			l.pools["acme"].TakeUpTo(now, 1e9) // the next level is what flows in
			now = now.Add(time.Millisecond)
			sum := l.pools["acme"].TakeUpTo(now, 1e9) * 1000
			for _, grants := range given {
				most := 0.0
				for _, g := range grants {
					if (g.until.IsZero() || now.Before(g.until)) && usesStandingShare(g.share, customer) {
						most = max(most, g.share*customer.Rate)
					}
				}
				sum += most
			}
			if sum > customer.Rate*1.001 {
				rt.Fatalf("%.0f tokens a second in use of a rate of %.0f", sum, customer.Rate)
			}
		}
	})
}
