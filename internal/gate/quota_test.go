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

// TestStandingSharesAndPoolNeverExceedTheRate connects and disconnects entries.
// Each may use any share that it was given within the share's lifetime, while
// the leader grants the rest of the rate or, for low rates, all of it.
func TestStandingSharesAndPoolNeverExceedTheRate(t *testing.T) {
	const lifetime = 4 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		customer := &topo.Customer{Name: "acme", Rate: rapid.Float64Range(100, 50_000).Draw(rt, "rate"), Burst: 1000}
		config := &topo.Config{Customers: map[string]*topo.Customer{"acme": customer}}
		leader := &leader{
			allotment: rate.NewAllotment(standingFraction, lifetime, nil),
			pools:     make(map[string]*rate.Bucket),
		}
		type grant struct {
			share float64
			until time.Time
		}
		granted := make(map[string][]grant)
		now := start
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "pause")) * time.Millisecond)
			var hosts []string
			for i := range 6 {
				if rapid.Bool().Draw(rt, "present") {
					hosts = append(hosts, fmt.Sprint("h", i))
				}
			}
			for host, grants := range granted {
				if last := &grants[len(grants)-1]; last.until.IsZero() {
					last.until = now.Add(lifetime)
				}
				granted[host] = grants
			}
			for host, share := range leader.allotment.Update(now, hosts) {
				granted[host] = append(granted[host], grant{share: share})
			}
			leader.updatePools(now, config)
			leader.pools["acme"].TakeUpTo(now, 1e9) // afterwards, the level is what has been added since
			now = now.Add(time.Millisecond)
			sum := leader.pools["acme"].TakeUpTo(now, 1e9) * 1000
			for _, grants := range granted {
				largest := 0.0
				for _, g := range grants {
					if (g.until.IsZero() || now.Before(g.until)) && usesStandingShare(g.share, customer) {
						largest = max(largest, g.share*customer.Rate)
					}
				}
				sum += largest
			}
			if sum > customer.Rate*1.001 {
				rt.Fatalf("%.0f tokens per second in use, want at most the rate of %.0f", sum, customer.Rate)
			}
		}
	})
}
