package route_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/prefix"
	"dogwoodfold/internal/route"
)

// percentile returns the quantile q of durations. It sorts them.
func percentile(durations []time.Duration, q float64) time.Duration {
	slices.Sort(durations)
	return durations[int(float64(len(durations)-1)*q)]
}

// holders returns the untried agents that hold what a call needs.
func holders(e *simEntry, q route.Query) []*fleet.Peer {
	return slices.DeleteFunc(e.fleet.PreferredAgents(q.Service), func(peer *fleet.Peer) bool {
		return peer.Load == nil || q.Tried[peer.Host.Name] || !peer.Serves(q.Model, q.Version, q.Adapter)
	})
}

// expectedFirst picks the agent that the router under test picks, which has the
// lowest expected time to the first token of the agents compared.
func expectedFirst(e *simEntry, now time.Time, q route.Query) *fleet.Peer {
	return e.router.Pick(now, q)
}

func roundRobin(e *simEntry, _ time.Time, q route.Query) *fleet.Peer {
	peers := holders(e, q)
	if len(peers) == 0 {
		return nil
	}
	e.roundRobinIndex++
	return peers[e.roundRobinIndex%len(peers)]
}

// leastOutstanding picks the agent with the fewest calls. It uses the reported
// number, or the number of the entry's own open calls if that is higher.
func leastOutstanding(e *simEntry, _ time.Time, q route.Query) *fleet.Peer {
	var best *fleet.Peer
	lowest := 0
	for _, p := range holders(e, q) {
		n := max(e.openCalls[p.Host.Name], int(p.Load.GetRunning()+p.Load.GetQueued()))
		if best == nil || n < lowest {
			best, lowest = p, n
		}
	}
	return best
}

// prefixAffinity picks an agent by rendezvous hashing of the prompt's first
// block.
func prefixAffinity(_ *simEntry, _ time.Time, q route.Query, peers []*fleet.Peer) *fleet.Peer {
	var best *fleet.Peer
	highest := uint64(0)
	for _, p := range peers {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, q.BlockHashes[0], p.Host.Name)
		if n := h.Sum64(); best == nil || n > highest {
			best, highest = p, n
		}
	}
	return best
}

// policies are the router under test and the baseline policies.
var policies = []struct {
	name   string
	choose func(*simEntry, time.Time, route.Query) *fleet.Peer
}{
	{"expectedFirst", expectedFirst},
	{"roundRobin", roundRobin},
	{"leastOutstanding", leastOutstanding},
	{"prefixAffinity", func(e *simEntry, now time.Time, q route.Query) *fleet.Peer {
		return prefixAffinity(e, now, q, holders(e, q))
	}},
}

// BenchmarkSlowEndpoint measures routing with one engine that is four times
// slower than the others.
func BenchmarkSlowEndpoint(b *testing.B) {
	for _, d := range deployments {
		d.slowFactor = 4
		benchmarkRouting(b, d, 500*time.Millisecond)
	}
}

// BenchmarkDeadEndpoint measures how many calls are routed to an engine that
// accepts calls but answers none.
func BenchmarkDeadEndpoint(b *testing.B) {
	for _, d := range deployments {
		d.dead = true
		benchmarkRouting(b, d, 500*time.Millisecond)
	}
}

// BenchmarkRouting measures routing with load reports and cache events that are
// delayed by different times.
func BenchmarkRouting(b *testing.B) {
	for _, d := range deployments {
		for _, lag := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
			benchmarkRouting(b, d, lag)
		}
	}
}

func benchmarkRouting(b *testing.B, d deployment, lag time.Duration) {
	for _, policy := range policies {
		b.Run(fmt.Sprintf("%s/lag=%v/%s", d.name, lag, policy.name), func(b *testing.B) {
			for range b.N {
				var firstTokenTimes []time.Duration
				cachedTokens, prefixTokens, hung := 0, 0, 0
				for seed := range uint64(simSeeds) {
					s := newSim(d, seed, lag, policy.choose)
					s.run()
					firstTokenTimes = append(firstTokenTimes, s.firstTokenTimes...)
					cachedTokens += s.cachedTokens
					prefixTokens += s.prefixTokens
					hung += s.hung
				}
				b.ReportMetric(float64(percentile(firstTokenTimes, 0.95).Milliseconds()), "p95-ms")
				b.ReportMetric(100*float64(cachedTokens)/float64(prefixTokens), "hit-%")
				b.ReportMetric(100*float64(hung)/float64(len(firstTokenTimes)), "hung-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkPick measures one routing decision together with RecordSent and
// RecordEnd.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ workers, models int }{{12, 20}, {590, 360}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			s := newSim(deployment{workers: size.workers, models: size.models, adapters: size.models}, 0, 0, expectedFirst)
			s.advance(epoch.Add(time.Millisecond))
			e := s.entries[0]
			blockHashes := prefix.BlockHashes("m", make([]byte, 16*prefix.BlockBytes))
			i := 0
			for b.Loop() {
				q := route.Query{
					Service: "lengua", Model: modelName(i % size.models), Version: "v1",
					TotalTokens: 1500, PromptTokens: 1400, BlockHashes: blockHashes,
				}
				i++
				peer := e.router.Pick(epoch, q)
				call := e.router.RecordSent(epoch, peer, q)
				e.router.RecordEnd(epoch, call, route.Completed, 0)
			}
		})
	}
}
