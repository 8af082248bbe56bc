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

// bed is a fleet of agents of one service and a router over it.
type bed struct {
	fleet    *fleet.Fleet
	router   *route.Router
	hosts    []plat.Host
	sequence uint64
}

func newBed(agents int) *bed {
	b := &bed{fleet: fleet.New("entry")}
	b.router = route.New(b.fleet, route.Zones{
		Self:    "zone-0",
		Default: time.Millisecond,
	}, 1)
	for i := range agents {
		b.hosts = append(b.hosts, plat.Host{
			Name:    fmt.Sprintf("agent-%d", i),
			Role:    plat.RoleAgent,
			Zone:    fmt.Sprintf("zone-%d", i%3),
			Service: "lengua",
			State:   plat.HostLive,
		})
	}
	b.fleet.Listed(b.hosts)
	return b
}

func (b *bed) up(now time.Time, i int, incarnation uint64) {
	b.fleet.Up(now, b.hosts[i].Name, &wirepb.Hello{Incarnation: incarnation})
}

// report lets an agent report its load.
func (b *bed) report(now time.Time, i int, load *wirepb.LoadReport, models ...string) {
	b.sequence++
	load.Sequence = b.sequence
	load.Slots = 4
	load.PrefillTokensPerSecond = 10_000
	load.NsPerToken = uint64(10 * time.Millisecond)
	for _, m := range models {
		load.Models = append(load.Models, &wirepb.HeldModel{
			Model:   m,
			Version: "v1",
		})
	}
	b.fleet.Reported(now, b.hosts[i].Name, load)
}

func query(model string) route.Query {
	return route.Query{
		Service: "lengua",
		Model:   model,
		Version: "v1",
		Tokens:  100,
		Prompt:  50,
		Streams: true,
	}
}

// known is what the property test knows of an agent.
type known struct {
	linked, leaving bool
	reported        bool
	heard           time.Time
	models          map[string]bool
	incarnation     uint64
}

func (k known) live(now time.Time, model string) bool {
	return k.linked && !k.leaving && k.reported && now.Sub(k.heard) < 3*time.Second && k.models[model]
}

// TestLiveHolderStaysReachable checks under any run of events that a model
// with a live holder gets an agent, and that each chosen agent is a live
// holder that has not been tried.
func TestLiveHolderStaysReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = 5
		b, now := newBed(agents), epoch
		state := make([]known, agents)
		var tickets []*route.Ticket
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, agents-1).Draw(t, "agent")
			k := &state[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				*k = known{
					linked:      true,
					heard:       now,
					incarnation: k.incarnation + 1,
				}
				b.up(now, i, k.incarnation)
			case 1:
				b.fleet.Down(b.hosts[i].Name, k.incarnation)
				k.linked = false
			case 2, 3, 4:
				leaving := rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				model := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
				if !k.linked {
					continue
				}
				b.report(now, i, &wirepb.LoadReport{Leaving: leaving}, model)
				k.leaving = k.leaving || leaving
				k.reported, k.heard, k.models = true, now, map[string]bool{model: true}
			case 5, 6:
				if len(tickets) > 0 {
					o := rapid.SampledFrom([]route.Outcome{route.Answered, route.Refused, route.Failed, route.Failed, route.Failed}).Draw(t, "outcome")
					b.router.Ended(now, tickets[0], o, time.Second)
					tickets = tickets[1:]
				}
			}
			b.fleet.Tick(now)
			tried := map[string]bool{b.hosts[rapid.IntRange(0, agents-1).Draw(t, "tried")].Name: true}
			for _, model := range []string{"m", "n"} {
				q := query(model)
				q.Tried = tried
				live := make(map[string]bool)
				for j, k := range state {
					if name := b.hosts[j].Name; k.live(now, model) && !tried[name] {
						live[name] = true
					}
				}
				p := b.router.Pick(now, q)
				if p == nil && len(live) > 0 {
					t.Fatalf("no agent for %s, though %v are live", model, live)
				}
				if p != nil && !live[p.Host.Name] {
					t.Fatalf("%s was chosen for %s, live are %v", p.Host.Name, model, live)
				}
				if p != nil {
					tickets = append(tickets, b.router.Sent(now, p, q))
				}
			}
		}
	})
}

// picks counts how often each of two agents is picked for fifty calls.
func picks(b *bed, now time.Time) map[string]int {
	counts := make(map[string]int)
	for range 50 {
		counts[b.router.Pick(now, query("m")).Host.Name]++
	}
	return counts
}

func twoHolders() *bed {
	b := newBed(2)
	for i := range b.hosts {
		b.up(epoch, i, 1)
		b.report(epoch, i, &wirepb.LoadReport{}, "m")
	}
	return b
}

func TestFailingAgentIsEjectedAndProbed(t *testing.T) {
	b := twoHolders()
	bad := b.fleet.Peer("agent-0")
	for range 3 {
		b.router.Ended(epoch, b.router.Sent(epoch, bad, query("m")), route.Failed, 0)
	}
	if n := picks(b, epoch.Add(500*time.Millisecond))["agent-0"]; n != 0 {
		t.Errorf("ejected agent was picked %d times", n)
	}
	later := epoch.Add(1500 * time.Millisecond)
	busy := b.fleet.Peer("agent-1")
	for range 300 {
		b.router.Sent(later, busy, query("m"))
	}
	probe := b.router.Pick(later, query("m"))
	if probe != bad {
		t.Fatalf("picked %s, want a probe of agent-0", probe.Host.Name)
	}
	b.router.Sent(later, probe, query("m"))
	if p := b.router.Pick(later, query("m")); p == bad {
		t.Error("a second call went to an agent that is being probed")
	}
}

func TestStalledAgentIsAvoided(t *testing.T) {
	b := twoHolders()
	b.router.Sent(epoch, b.fleet.Peer("agent-0"), query("m"))
	later := epoch.Add(2500 * time.Millisecond)
	if n := picks(b, later)["agent-0"]; n != 0 {
		t.Errorf("an agent that answers nothing was picked %d times", n)
	}
}

func TestSlowAgentIsAvoided(t *testing.T) {
	b := twoHolders()
	for range 5 {
		k := b.router.Sent(epoch, b.fleet.Peer("agent-0"), query("m"))
		b.router.Begun(epoch.Add(400*time.Millisecond), k)
		b.router.Ended(epoch.Add(400*time.Millisecond), k, route.Answered, 0)
	}
	if n := picks(b, epoch.Add(500*time.Millisecond))["agent-0"]; n != 0 {
		t.Errorf("a slow agent was picked %d times", n)
	}
}

// TestOwnCallsCorrectLag checks that calls sent since a report was taken count
// beside it, and those before don't count twice.
func TestOwnCallsCorrectLag(t *testing.T) {
	b := twoHolders()
	for i, queued := range []uint32{0, 6} {
		b.report(epoch, i, &wirepb.LoadReport{
			Running:       4,
			RunningTokens: 400,
			Queued:        queued,
			QueuedTokens:  uint64(100 * queued),
		}, "m")
	}
	for range 8 {
		b.router.Sent(epoch.Add(time.Millisecond), b.fleet.Peer("agent-0"), query("m"))
	}
	if n := picks(b, epoch.Add(time.Millisecond))["agent-0"]; n != 0 {
		t.Errorf("an agent with 12 calls was picked %d times rather than one with 10", n)
	}
	now := epoch.Add(100 * time.Millisecond)
	b.report(now, 0, &wirepb.LoadReport{
		Running:       4,
		RunningTokens: 400,
		Queued:        8,
		QueuedTokens:  800,
	}, "m")
	b.report(now, 1, &wirepb.LoadReport{
		Running:       4,
		RunningTokens: 400,
		Queued:        12,
		QueuedTokens:  1200,
	}, "m")
	if n := picks(b, now)["agent-1"]; n != 0 {
		t.Errorf("the agent with the longer queue was picked %d times", n)
	}
}

func TestCachedPrefixDraws(t *testing.T) {
	b := twoHolders()
	q := query("m")
	q.Prompt = 4 * prefix.BlockBytes / 3
	q.Blocks = prefix.Chain("m", make([]byte, 4*prefix.BlockBytes))
	b.router.Cached("agent-1", &wirepb.CacheEvents{Stored: q.Blocks})
	for range 50 {
		if p := b.router.Pick(epoch, q); p.Host.Name != "agent-1" {
			t.Fatalf("picked %s, want agent-1, which has the prompt", p.Host.Name)
		}
	}
	b.router.Cached("agent-1", &wirepb.CacheEvents{Gap: true})
	k := b.router.Sent(epoch, b.fleet.Peer("agent-1"), q)
	if k.Cached != q.Prompt/2 {
		t.Errorf("after a gap %d of %d tokens are expected, want half", k.Cached, q.Prompt)
	}
}
