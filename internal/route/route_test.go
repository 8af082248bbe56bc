package route_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/prefix"
	"dogwoodfold/internal/route"
	"dogwoodfold/internal/wire/wirepb"
)

var epoch = time.Unix(1000, 0)

// testFleet is a fleet of agents of one service, and a router over it.
type testFleet struct {
	fleet    *fleet.Fleet
	router   *route.Router
	hosts    []plat.Host
	sequence uint64
}

func newTestFleet(agents int) *testFleet {
	f := &testFleet{fleet: fleet.New("entry")}
	f.router = route.New(f.fleet, route.ZoneLatencies{
		Self:           "zone-0",
		DefaultLatency: time.Millisecond,
	}, 1)
	for i := range agents {
		f.hosts = append(f.hosts, plat.Host{
			Name:    fmt.Sprintf("agent-%d", i),
			Role:    plat.RoleAgent,
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Service: "lengua",
			State:   plat.HostLive,
		})
	}
	f.fleet.UpdateHosts(f.hosts)
	return f
}

func (f *testFleet) connect(now time.Time, i int, incarnation uint64) {
	f.fleet.SessionUp(now, f.hosts[i].Name, &wirepb.Hello{Incarnation: incarnation})
}

// report delivers a load report of an agent.
func (f *testFleet) report(now time.Time, i int, load *wirepb.LoadReport, models ...string) {
	f.sequence++
	load.Sequence = f.sequence
	load.Slots = 4
	load.PrefillTokensPerSecond = 10_000
	load.NsPerToken = uint64(10 * time.Millisecond)
	for _, m := range models {
		load.Models = append(load.Models, &wirepb.HeldModel{
			Model:   m,
			Version: "v1",
		})
	}
	f.fleet.HandleLoadReport(now, f.hosts[i].Name, load)
}

func newQuery(model string) route.Query {
	return route.Query{
		Service:      "lengua",
		Model:        model,
		Version:      "v1",
		TotalTokens:  100,
		PromptTokens: 50,
		Streaming:    true,
	}
}

// agentModel is the expected state of an agent in the property test.
type agentModel struct {
	linked, leaving bool
	reported        bool
	heardAt         time.Time
	models          map[string]bool
	incarnation     uint64
}

// live reports whether the router may pick the agent for a model.
func (a agentModel) live(now time.Time, model string) bool {
	return a.linked && !a.leaving && a.reported && now.Sub(a.heardAt) < 3*time.Second && a.models[model]
}

// TestLiveHolderStaysReachable checks, for arbitrary sequences of events, that
// Pick finds an agent for every model with a live holder, and that it returns
// only live holders that have not been tried.
func TestLiveHolderStaysReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = 5
		f, now := newTestFleet(agents), epoch
		expected := make([]agentModel, agents)
		var sentCalls []*route.SentCall
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			f.fleet.Tick(now) // a longer time without would count as a pause of the process
			i := rapid.IntRange(0, agents-1).Draw(t, "agent")
			changed := &expected[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				*changed = agentModel{
					linked:      true,
					heardAt:     now,
					incarnation: changed.incarnation + 1,
				}
				f.connect(now, i, changed.incarnation)
			case 1:
				f.fleet.SessionDown(f.hosts[i].Name, changed.incarnation)
				changed.linked = false
			case 2, 3, 4:
				leaving := rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				model := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
				if !changed.linked {
					continue
				}
				f.report(now, i, &wirepb.LoadReport{Leaving: leaving}, model)
				changed.leaving = changed.leaving || leaving
				changed.reported, changed.heardAt, changed.models = true, now, map[string]bool{model: true}
			case 5, 6:
				if len(sentCalls) > 0 {
					outcome := rapid.SampledFrom([]route.Outcome{
						route.Completed, route.Refused, route.Failed, route.Failed, route.Failed,
					}).Draw(t, "outcome")
					f.router.RecordEnd(now, sentCalls[0], outcome, time.Second)
					sentCalls = sentCalls[1:]
				}
			}
			f.fleet.Tick(now)
			tried := map[string]bool{f.hosts[rapid.IntRange(0, agents-1).Draw(t, "tried")].Name: true}
			for _, model := range []string{"m", "n"} {
				q := newQuery(model)
				q.Tried = tried
				live := make(map[string]bool)
				for j, a := range expected {
					if name := f.hosts[j].Name; a.live(now, model) && !tried[name] {
						live[name] = true
					}
				}
				p := f.router.Pick(now, q)
				if p == nil && len(live) > 0 {
					t.Fatalf("Pick found no agent for %s although %v are live", model, live)
				}
				if p != nil && !live[p.Host.Name] {
					t.Fatalf("Pick chose %s for %s, but only %v are live", p.Host.Name, model, live)
				}
				if p != nil {
					sentCalls = append(sentCalls, f.router.RecordSent(now, p, q))
				}
			}
		}
	})
}

// countPicks returns how often each agent is picked for 50 calls.
func countPicks(f *testFleet, now time.Time) map[string]int {
	counts := make(map[string]int)
	for range 50 {
		counts[f.router.Pick(now, newQuery("m")).Host.Name]++
	}
	return counts
}

func newTwoAgentFleet() *testFleet {
	f := newTestFleet(2)
	for i := range f.hosts {
		f.connect(epoch, i, 1)
		f.report(epoch, i, &wirepb.LoadReport{}, "m")
	}
	return f
}

func TestFailingAgentIsEjectedAndProbed(t *testing.T) {
	f := newTwoAgentFleet()
	failing := f.fleet.Peer("agent-0")
	for range 3 {
		f.router.RecordEnd(epoch, f.router.RecordSent(epoch, failing, newQuery("m")), route.Failed, 0)
	}
	if n := countPicks(f, epoch.Add(500*time.Millisecond))["agent-0"]; n != 0 {
		t.Errorf("an ejected agent was picked %d times", n)
	}
	later := epoch.Add(1500 * time.Millisecond)
	other := f.fleet.Peer("agent-1")
	for range 300 {
		f.router.RecordSent(later, other, newQuery("m"))
	}
	probe := f.router.Pick(later, newQuery("m"))
	if probe != failing {
		t.Fatalf("picked %s, want agent-0 for a probe", probe.Host.Name)
	}
	f.router.RecordSent(later, probe, newQuery("m"))
	if p := f.router.Pick(later, newQuery("m")); p == failing {
		t.Error("a second call was routed to an agent that is being probed")
	}
}

func TestStalledAgentIsAvoided(t *testing.T) {
	f := newTwoAgentFleet()
	f.router.RecordSent(epoch, f.fleet.Peer("agent-0"), newQuery("m"))
	later := epoch.Add(2500 * time.Millisecond)
	if n := countPicks(f, later)["agent-0"]; n != 0 {
		t.Errorf("a stalled agent was picked %d times", n)
	}
}

func TestSlowAgentIsAvoided(t *testing.T) {
	f := newTwoAgentFleet()
	for range 5 {
		call := f.router.RecordSent(epoch, f.fleet.Peer("agent-0"), newQuery("m"))
		f.router.RecordFirstToken(epoch.Add(400*time.Millisecond), call)
		f.router.RecordEnd(epoch.Add(400*time.Millisecond), call, route.Completed, 0)
	}
	if n := countPicks(f, epoch.Add(500*time.Millisecond))["agent-0"]; n != 0 {
		t.Errorf("a slow agent was picked %d times", n)
	}
}

// TestOwnCallsCorrectStaleReport checks that calls sent after a load report was
// taken are added to the reported load, and that calls sent before are not
// counted twice.
func TestOwnCallsCorrectStaleReport(t *testing.T) {
	f := newTwoAgentFleet()
	for i, queued := range []uint32{0, 6} {
		f.report(epoch, i, &wirepb.LoadReport{
			Running:       4,
			RunningTokens: 400,
			Queued:        queued,
			QueuedTokens:  uint64(100 * queued),
		}, "m")
	}
	for range 8 {
		f.router.RecordSent(epoch.Add(time.Millisecond), f.fleet.Peer("agent-0"), newQuery("m"))
	}
	if n := countPicks(f, epoch.Add(time.Millisecond))["agent-0"]; n != 0 {
		t.Errorf("an agent with 12 calls was picked %d times instead of one with 10", n)
	}
	now := epoch.Add(100 * time.Millisecond)
	f.report(now, 0, &wirepb.LoadReport{
		Running:       4,
		RunningTokens: 400,
		Queued:        8,
		QueuedTokens:  800,
	}, "m")
	f.report(now, 1, &wirepb.LoadReport{
		Running:       4,
		RunningTokens: 400,
		Queued:        12,
		QueuedTokens:  1200,
	}, "m")
	if n := countPicks(f, now)["agent-1"]; n != 0 {
		t.Errorf("the agent with the longer queue was picked %d times", n)
	}
}

func TestCachedPrefixIsPreferred(t *testing.T) {
	f := newTwoAgentFleet()
	q := newQuery("m")
	q.PromptTokens = 4 * prefix.BlockBytes / 3
	q.BlockHashes = prefix.BlockHashes("m", make([]byte, 4*prefix.BlockBytes))
	f.router.ApplyCacheEvents("agent-1", &wirepb.CacheEvents{Stored: q.BlockHashes})
	for range 50 {
		if p := f.router.Pick(epoch, q); p.Host.Name != "agent-1" {
			t.Fatalf("picked %s, want agent-1, which has the prompt in its cache", p.Host.Name)
		}
	}
	f.router.ApplyCacheEvents("agent-1", &wirepb.CacheEvents{Gap: true})
	call := f.router.RecordSent(epoch, f.fleet.Peer("agent-1"), q)
	if call.CachedTokens != q.PromptTokens/2 {
		t.Errorf("after a gap in the events, %d of %d tokens are expected in the cache, want half", call.CachedTokens, q.PromptTokens)
	}
}
