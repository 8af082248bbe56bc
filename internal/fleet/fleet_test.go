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

// linkedFleet returns a fleet with two linked agents, a and b.
func linkedFleet(now time.Time) *Fleet {
	f := New("entry")
	f.UpdateHosts([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
	for _, name := range []string{"a", "b"} {
		f.SessionUp(now, name, &wirepb.Hello{Incarnation: 1})
	}
	return f
}

func checkAgents(t *testing.T, f *Fleet, want ...string) {
	t.Helper()
	var got []string
	for _, p := range f.PreferredAgents("lengua") {
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

func TestReportedLeavingPersistsUntilNewIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.HandleLoadReport(now, "a", &wirepb.LoadReport{Sequence: 1, Leaving: true})
	checkAgents(t, f, "b")
	f.UpdateHosts([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
	checkAgents(t, f, "b")
	f.SessionDown("a", 1)
	f.SessionUp(now, "a", &wirepb.Hello{Incarnation: 1})
	checkAgents(t, f, "b")
	f.SessionDown("a", 1)
	f.SessionUp(now, "a", &wirepb.Hello{Incarnation: 2})
	checkAgents(t, f, "a", "b")
}

func TestListedLeavingFollowsList(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.UpdateHosts([]plat.Host{agentHost("a", plat.HostLeaving), agentHost("b", plat.HostLive)})
	f.SessionUp(now, "a", &wirepb.Hello{Incarnation: 2})
	checkAgents(t, f, "b")
	f.UpdateHosts([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
	checkAgents(t, f, "a", "b")
}

func TestMessageOfEarlierIncarnationIsNotCurrent(t *testing.T) {
	f := linkedFleet(time.Unix(1000, 0))
	f.SessionUp(time.Unix(1001, 0), "a", &wirepb.Hello{Incarnation: 2})
	if f.IsCurrent("a", 1) || !f.IsCurrent("a", 2) || f.IsCurrent("unknown", 1) {
		t.Error("IsCurrent accepts an earlier incarnation or an unknown host, or rejects the running incarnation")
	}
}

func TestSilentHostIsSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		f.HandleHeartbeat(now, "b", &wirepb.Heartbeat{})
		f.Tick(now)
	}
	checkAgents(t, f, "b")
	f.HandleHeartbeat(now, "a", &wirepb.Heartbeat{})
	checkAgents(t, f, "a", "b")
}

func TestProcessPauseDoesNotMarkPeersSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.Tick(now)
	f.Tick(now.Add(time.Minute))
	checkAgents(t, f, "a", "b")
}

func TestUnlistedHostIsKeptWhileLinked(t *testing.T) {
	now := time.Unix(1000, 0)
	f := linkedFleet(now)
	f.UpdateHosts([]plat.Host{agentHost("b", plat.HostLive)})
	checkAgents(t, f, "b")
	if f.Peer("a") == nil {
		t.Fatal("linked host was removed, which would interrupt its calls")
	}
	if removed := f.SessionDown("a", 1); !removed || f.Peer("a") != nil {
		t.Error("host that is neither listed nor linked was kept")
	}
}

func TestUnlistedHostsAreUsedIfNoOthersExist(t *testing.T) {
	f := linkedFleet(time.Unix(1000, 0))
	f.UpdateHosts([]plat.Host{{Name: "other", Role: plat.RoleEntry}})
	checkAgents(t, f, "a", "b")
}

func TestEmptyListIsIgnored(t *testing.T) {
	f := linkedFleet(time.Unix(1000, 0))
	f.SessionDown("a", 1)
	f.UpdateHosts(nil)
	checkAgents(t, f, "b")
	if f.Peer("a") == nil {
		t.Error("empty list removed a host")
	}
}

// fleetMachine is a state machine test of a fleet whose host list lags behind
// the actual state of the hosts.
type fleetMachine struct {
	now   time.Time
	fleet *Fleet
	// incarnation and leaving are the actual state of host a; linkedIncarnation
	// is that of the process with the session, 0 for none. leavingReported is
	// set once the fleet has received a report that the host is leaving, until
	// the process restarts or the fleet removes the host.
	incarnation       uint64
	linkedIncarnation uint64
	leaving           bool
	leavingReported   bool
}

// Restart replaces the process of host a.
func (m *fleetMachine) Restart(*rapid.T) {
	m.fleet.SessionDown("a", m.linkedIncarnation)
	m.incarnation++
	m.linkedIncarnation, m.leaving, m.leavingReported = 0, false, false
}

// Link opens a session with the running process, unless the host is unknown.
func (m *fleetMachine) Link(*rapid.T) {
	if m.fleet.Peer("a") == nil {
		return
	}
	m.linkedIncarnation = m.incarnation
	m.fleet.SessionUp(m.now, "a", &wirepb.Hello{Incarnation: m.linkedIncarnation})
}

// Leave makes the process leave, which it reports if it is linked.
func (m *fleetMachine) Leave(*rapid.T) {
	m.leaving = true
	if m.linkedIncarnation == m.incarnation {
		m.fleet.HandleHeartbeat(m.now, "a", &wirepb.Heartbeat{Leaving: true})
		m.leavingReported = m.fleet.Peer("a") != nil
	}
}

// List applies a host list that does not show the host as leaving, or that lacks
// the host.
func (m *fleetMachine) List(t *rapid.T) {
	hosts := []plat.Host{agentHost("b", plat.HostLive)}
	if rapid.Bool().Draw(t, "listed") || m.linkedIncarnation == 0 {
		hosts = append(hosts, agentHost("a", plat.HostLive))
	}
	m.fleet.UpdateHosts(hosts)
	m.leavingReported = m.leavingReported && m.fleet.Peer("a") != nil
}

// Tick advances the time and may deliver a heartbeat of the process.
func (m *fleetMachine) Tick(t *rapid.T) {
	m.now = m.now.Add(100 * time.Millisecond)
	if rapid.Bool().Draw(t, "heartbeat") && m.linkedIncarnation == m.incarnation && m.linkedIncarnation != 0 {
		m.fleet.HandleHeartbeat(m.now, "a", &wirepb.Heartbeat{Leaving: m.leaving})
		m.leavingReported = m.fleet.Peer("a") != nil && (m.leavingReported || m.leaving)
	}
	m.fleet.Tick(m.now)
}

// Check verifies that a host is never selected if it has reported that it is
// leaving, has no session or has been silent for too long.
func (m *fleetMachine) Check(t *rapid.T) {
	for _, p := range m.fleet.PreferredAgents("lengua") {
		if p.Host.Name != "a" {
			continue
		}
		if m.leavingReported || m.linkedIncarnation == 0 || m.now.Sub(p.LastMessageAt) >= suspectTimeout+100*time.Millisecond {
			t.Fatalf("host was selected: leaving reported %v, linked incarnation %d, silent for %v",
				m.leavingReported, m.linkedIncarnation, m.now.Sub(p.LastMessageAt))
		}
	}
}

func TestLeavingHostIsNeverSelected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetMachine{
			now:         time.Unix(1000, 0),
			fleet:       New("entry"),
			incarnation: 1,
		}
		m.fleet.UpdateHosts([]plat.Host{agentHost("a", plat.HostLive), agentHost("b", plat.HostLive)})
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

// A host is removed from the list and listed again while its session is opened. The
// session is reported once, between the two, and must count from the second on.
func TestSessionOfUnlistedHostCountsOnceItIsListed(t *testing.T) {
	f := New("self")
	now := time.Unix(1000, 0)
	f.UpdateHosts([]plat.Host{{Name: "b", Role: plat.RoleAgent}})
	f.SessionUp(now, "a", &wirepb.Hello{Incarnation: 7})
	f.UpdateHosts([]plat.Host{{Name: "a", Role: plat.RoleAgent}, {Name: "b", Role: plat.RoleAgent}})
	if p := f.Peer("a"); p == nil || !p.Linked() || p.Incarnation != 7 {
		t.Errorf("peer is %+v, want it linked to incarnation 7", p)
	}
	f.SessionDown("a", 7)
	if f.Peer("a").Linked() {
		t.Error("the peer is linked after the end of its session")
	}
	f.UpdateHosts([]plat.Host{{Name: "b", Role: plat.RoleAgent}})
	f.SessionUp(now, "a", &wirepb.Hello{Incarnation: 7})
	f.SessionDown("a", 7)
	f.UpdateHosts([]plat.Host{{Name: "a", Role: plat.RoleAgent}, {Name: "b", Role: plat.RoleAgent}})
	if f.Peer("a").Linked() {
		t.Error("the peer is linked to a session that has ended")
	}
}
