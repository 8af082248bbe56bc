package fleet

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

func agentHost(name string, state plat.HostState) plat.Host {
	return plat.Host{
		Name:    name,
		Role:    plat.RoleAgent,
		Service: "lengua",
		Address: netip.MustParseAddrPort("10.0.0.1:7000"),
		State:   state,
	}
}

// linkedFleet knows two linked agents, a and b.
func linkedFleet(now time.Time) *Fleet {
	f := New("entry")
	f.Listed([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
	for _, name := range []string{"a", "b"} {
		f.Up(now, name, &wirepb.Hello{Incarnation: 1})
	}
	return f
}

func wantAgents(t *testing.T, f *Fleet, want ...string) {
	t.Helper()
	var got []string
	for _, p := range f.Agents("lengua") {
		got = append(got, p.Host.Name)
	}
	if len(got) != len(want) {
		t.Fatalf("agents %v, want %v", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("agents %v, want %v", got, want)
		}
	}
}

func TestLeavingOutlivesListButNotIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.Reported(now, "a", &wirepb.LoadReport{Sequence: 1, Leaving: true})
	wantAgents(t, f, "b")
	f.Listed([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
	wantAgents(t, f, "b")
	f.Down("a", 1)
	f.Up(now, "a", &wirepb.Hello{Incarnation: 1})
	wantAgents(t, f, "b")
	f.Down("a", 1)
	f.Up(now, "a", &wirepb.Hello{Incarnation: 2})
	wantAgents(t, f, "a", "b")
}

func TestListedLeavingFollowsTheList(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.Listed([]plat.Host{agentHost("a", plat.HostLeaving), agentHost("b", plat.HostLive)})
	f.Up(now, "a", &wirepb.Hello{Incarnation: 2})
	wantAgents(t, f, "b")
	f.Listed([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
	wantAgents(t, f, "a", "b")
}

func TestMessageOfEarlierIncarnationIsNotCurrent(t *testing.T) {
	f := linkedFleet(time.Unix(1000, 0))
	f.Up(time.Unix(1001, 0), "a", &wirepb.Hello{Incarnation: 2})
	if f.Current("a", 1) || !f.Current("a", 2) || f.Current("unknown", 1) {
		t.Error("an earlier process speaks for the one that runs")
	}
}

func TestSilentHostIsSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		f.Heard(now, "b", &wirepb.Heartbeat{})
		f.Tick(now)
	}
	wantAgents(t, f, "b")
	f.Heard(now, "a", &wirepb.Heartbeat{})
	wantAgents(t, f, "a", "b")
}

func TestOwnPauseSuspectsNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.Tick(now)
	f.Tick(now.Add(time.Minute))
	wantAgents(t, f, "a", "b")
}

func TestVanishedHostKeepsItsCallsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.Listed([]plat.Host{agentHost("b", plat.HostLive)})
	wantAgents(t, f, "b")
	if f.Peer("a") == nil {
		t.Fatal("a linked host is forgotten, which cuts its calls")
	}
	if forgotten := f.Down("a", 1); !forgotten || f.Peer("a") != nil {
		t.Error("a host without listing and session is kept")
	}
}

func TestVanishedHostServesIfThereIsNoOther(t *testing.T) {
	f := linkedFleet(time.Unix(1000, 0))
	f.Listed([]plat.Host{{Name: "other", Role: plat.RoleEntry}})
	wantAgents(t, f, "a", "b")
}

func TestEmptyListKeepsTheLast(t *testing.T) {
	f := linkedFleet(time.Unix(1000, 0))
	f.Down("a", 1)
	f.Listed(nil)
	wantAgents(t, f, "b")
	if f.Peer("a") == nil {
		t.Error("an empty list made a host unknown")
	}
}

// fleetMachine drives a fleet with a list that lags behind the hosts.
type fleetMachine struct {
	now   time.Time
	fleet *Fleet
	// incarnation and leaving are the truth of host a; told says that the
	// fleet has heard of the leaving and not forgotten the host since.
	incarnation uint64
	linked      uint64
	leaving     bool
	told        bool
}

// Restart replaces the process.
func (m *fleetMachine) Restart(*rapid.T) {
	m.fleet.Down("a", m.linked)
	m.incarnation++
	m.linked, m.leaving, m.told = 0, false, false
}

// Link connects to the process that runs; nobody connects to an unknown host.
func (m *fleetMachine) Link(*rapid.T) {
	if m.fleet.Peer("a") == nil {
		return
	}
	m.linked = m.incarnation
	m.fleet.Up(m.now, "a", &wirepb.Hello{Incarnation: m.linked})
}

// Leave lets the process say that it leaves.
func (m *fleetMachine) Leave(*rapid.T) {
	m.leaving = true
	if m.linked == m.incarnation {
		m.fleet.Heard(m.now, "a", &wirepb.Heartbeat{Leaving: true})
		m.told = m.fleet.Peer("a") != nil
	}
}

// List brings a list that knows nothing of the leaving, or lacks the host.
func (m *fleetMachine) List(t *rapid.T) {
	hosts := []plat.Host{agentHost("b", plat.HostLive)}
	if rapid.Bool().Draw(t, "listed") || m.linked == 0 {
		hosts = append(hosts, agentHost("a", plat.HostLive))
	}
	m.fleet.Listed(hosts)
	m.told = m.told && m.fleet.Peer("a") != nil
}

// Tick passes time; the process is heard unless it is silent.
func (m *fleetMachine) Tick(t *rapid.T) {
	m.now = m.now.Add(100 * time.Millisecond)
	if rapid.Bool().Draw(t, "heard") && m.linked == m.incarnation && m.linked != 0 {
		m.fleet.Heard(m.now, "a", &wirepb.Heartbeat{Leaving: m.leaving})
		m.told = m.fleet.Peer("a") != nil && (m.told || m.leaving)
	}
	m.fleet.Tick(m.now)
}

// Check demands that a host that said it leaves is never chosen.
func (m *fleetMachine) Check(t *rapid.T) {
	for _, p := range m.fleet.Agents("lengua") {
		if p.Host.Name != "a" {
			continue
		}
		if m.told || m.linked == 0 || m.now.Sub(p.HeardAt) >= suspectAfter+100*time.Millisecond {
			t.Fatalf("chosen: told %v, linked %d, silent for %v", m.told, m.linked, m.now.Sub(p.HeardAt))
		}
	}
}

func TestLeavingHostIsNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetMachine{
			now:         time.Unix(1000, 0),
			fleet:       New("entry"),
			incarnation: 1,
		}
		m.fleet.Listed([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
		t.Repeat(map[string]func(*rapid.T){
			"restart": m.Restart,
			"link":    m.Link,
			"leave":   m.Leave,
			"list":    m.List,
			"tick":    m.Tick,
			"":        m.Check,
		})
	})
}
