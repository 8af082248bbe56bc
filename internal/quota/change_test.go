package quota_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
)

// newSettledSim returns a fleet with a coordinator, and that coordinator's number.
func newSettledSim(t *testing.T, entries int) (s *sim, coordinator int) {
	t.Helper()
	s = newSim(7, sharesWithRequests, entries, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
	s.advance(3 * time.Second)
	for i, h := range s.entries {
		if h.node.IsCoordinator() {
			return s, i
		}
	}
	t.Fatal("no coordinator after 3 s")
	return nil, 0
}

// heldFraction returns the fraction of the whole at the entries that run.
func (s *sim) heldFraction() float64 {
	total := 0.0
	for _, h := range s.entries {
		if !h.dead && !h.paused {
			total += h.node.HeldFraction("booth")
		}
	}
	return total
}

// waitForRecovery runs until the whole is at running entries again, or a limit.
func (s *sim) waitForRecovery(limit time.Duration) time.Duration {
	start := s.now
	for s.heldFraction() < 0.999 && s.now.Sub(start) < limit {
		s.advance(50 * time.Millisecond)
	}
	return s.now.Sub(start)
}

func (s *sim) requireBound(t *testing.T) {
	t.Helper()
	if err := s.checkBound(); err != nil {
		t.Error(err)
	}
}

// TestShareNotRecoveredWhileAgentUnreachable cuts an entry off from all but the
// agents, and one agent from the coordinator.
func TestShareNotRecoveredWhileAgentUnreachable(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	isolated, coordinatorName := s.entries[(coordinator+1)%3].name, s.entries[coordinator].name
	s.blocked = func(a, b string) bool {
		for _, p := range [][2]string{{a, b}, {b, a}} {
			if p[0] == isolated && p[1][0] != 'a' || p[0] == coordinatorName && p[1] == "agent-0" {
				return true
			}
		}
		return false
	}
	s.route = map[string]int{isolated: 0, coordinatorName: 1, s.entries[(coordinator+2)%3].name: 1}
	s.overload(s.now.Add(20 * time.Second))
	s.advance(20 * time.Second)
	s.requireBound(t)
	s.blocked = nil
	if d := s.waitForRecovery(10 * time.Second); d >= 10*time.Second {
		t.Errorf("the share is still out %v after the agent is reached, %v held", d, s.heldFraction())
	}
}

// TestFencedEntryClaimingTermKeepsNoShare has a paused entry come back after its
// share was given away, hear nobody and claim a term, while all others live.
func TestFencedEntryClaimingTermKeepsNoShare(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	returning := s.entries[(coordinator+1)%3]
	returning.paused = true
	s.advance(8 * time.Second)
	s.overload(s.now.Add(40 * time.Second))
	returning.deferred = nil // its sessions broke meanwhile
	s.blocked = func(a, b string) bool { return b == returning.name && a != "log" && !returning.node.IsCoordinator() }
	s.resume(returning)
	for range 100 {
		s.advance(100 * time.Millisecond)
		if returning.node.IsCoordinator() {
			break
		}
	}
	if !returning.node.IsCoordinator() {
		t.Fatal("the entry that came back has not become coordinator")
	}
	s.advance(25 * time.Second)
	s.requireBound(t)
	if got := s.heldFraction(); math.Abs(got-1) > 0.05 {
		t.Errorf("%v of the whole is held, want all", got)
	}
}

// TestRestartedAgentRejectsDeposedCoordinator restarts an agent where only a
// coordinator that was replaced while it was paused can reach it.
func TestRestartedAgentRejectsDeposedCoordinator(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	deposed := s.entries[coordinator]
	deposed.paused = true
	s.advance(30 * time.Second)
	s.blocked = func(a, b string) bool {
		for _, p := range [][2]string{{a, b}, {b, a}} {
			if p[0] == deposed.name && p[1] != "agent-0" || p[0] == "agent-0" && p[1] != deposed.name && p[1] != "log" {
				return true
			}
		}
		return false
	}
	deposed.deferred = nil
	s.resume(deposed)
	s.replaceAgent(0)
	s.advance(time.Second)
	s.route = map[string]int{deposed.name: 0, s.entries[(coordinator+1)%3].name: 1, s.entries[(coordinator+2)%3].name: 1}
	s.overload(s.now.Add(20 * time.Second))
	s.advance(20 * time.Second)
	s.requireBound(t)
}

// TestRestartedAgentLearnsTermWithoutLog restarts an agent while the log is down: it
// learns the terms in force from the other agent.
func TestRestartedAgentLearnsTermWithoutLog(t *testing.T) {
	s, _ := newSettledSim(t, 3)
	s.logDown = true
	s.advance(10 * time.Second)
	s.replaceAgent(0)
	s.advance(5 * time.Second)
	for _, e := range s.entries {
		if !s.agents[0].guard.Admits(e.name, e.incarnation) {
			t.Errorf("the fresh agent doesn't admit %s", e.name)
		}
	}
}

// A fresh agent hears nobody but a coordinator that was replaced while it was
// paused, and the log is down. It must not admit an entry that was fenced,
// whether the coordinator reaches other agents, which have taken part in the
// fencing, or not.
func TestRestartedAgentWithoutLogRejectsDeposedCoordinator(t *testing.T) {
	for _, reaches := range []bool{false, true} {
		s, coordinator := newSettledSim(t, 3)
		deposed := s.entries[coordinator]
		deposed.paused = true
		s.advance(30 * time.Second)
		s.logDown = true
		s.blocked = func(a, b string) bool {
			if a == "agent-0" || b == "agent-0" {
				return a != deposed.name && b != deposed.name
			}
			if reaches && (a == "agent-1" || b == "agent-1") {
				return false
			}
			return a == deposed.name || b == deposed.name
		}
		deposed.deferred = nil
		s.resume(deposed)
		s.replaceAgent(0)
		s.advance(20 * time.Second)
		if s.agents[0].guard.Admits(deposed.name, deposed.incarnation) {
			t.Errorf("the fresh agent admits an entry that was fenced; the coordinator reaches the other agent: %v", reaches)
		}
	}
}

// TestAckOfTerminatedAgentExpires has a share wait for one agent
// while another, which had acknowledged, is replaced out of the coordinator's
// sight.
func TestAckOfTerminatedAgentExpires(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	isolated, coordinatorHost := s.entries[(coordinator+1)%3], s.entries[coordinator]
	blockedFrom := func(agent string) func(a, b string) bool {
		return func(a, b string) bool {
			isolates := a == isolated.name && b[0] != 'a' || b == isolated.name && a[0] == 'e'
			return isolates || a == coordinatorHost.name && b == agent || a == agent && b == coordinatorHost.name
		}
	}
	s.blocked = blockedFrom("agent-0")
	s.advance(10 * time.Second) // the view is in force at agent-1 only
	s.agents[1].dead = true
	s.advance(3 * time.Second)
	s.blocked = blockedFrom("agent-1")
	s.advance(8 * time.Second)
	if held := coordinatorHost.node.HeldFraction("booth") + s.entries[(coordinator+2)%3].node.HeldFraction("booth"); held > 0.9 {
		t.Errorf("a share came back on the word of an ended process: %v held", held)
	}
}

// TestKilledEntryShareRecoveredIn5s checks the target: 5 s with all agents reachable.
func TestKilledEntryShareRecoveredIn5s(t *testing.T) {
	s, coordinator := newSettledSim(t, 4)
	s.kill(s.entries[(coordinator+1)%4])
	if d := s.waitForRecovery(time.Minute); d > 5*time.Second {
		t.Errorf("the share was out of use for %v, want 5s at most", d)
	}
}

// TestSharesMoveWithoutLog checks that entries still get what they ask for,
// and that a killed entry's share waits for the log.
func TestSharesMoveWithoutLog(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	s.logDown = true
	s.advance(10 * time.Second)
	s.submit(s.entries[(coordinator+1)%3], "booth", 900)
	s.advance(time.Second)
	if s.refused["booth"] > 0 {
		t.Error("nine tenths of the burst were refused without the log")
	}
	s.kill(s.entries[(coordinator+1)%3])
	if d := s.waitForRecovery(time.Minute); d < time.Minute {
		t.Errorf("a share came back after %v without a record of its fencing", d)
	}
	s.logDown = false
	if d := s.waitForRecovery(10 * time.Second); d >= 10*time.Second {
		t.Errorf("%v of the whole held after the log is back", s.heldFraction())
	}
}

// TestRefundFromEarlierIncarnation checks that what a fenced incarnation has
// reserved does not come back, and that overuse is charged.
func TestRefundFromEarlierIncarnation(t *testing.T) {
	s, coordinator := newSettledSim(t, 2)
	n := s.entries[coordinator].node
	reservation, _, ok := n.TryReserve(s.now, "booth", 200)
	if !ok {
		t.Fatal("no tokens to begin with")
	}
	other := reservation
	other.Incarnation++
	n.Settle(s.now, "booth", other, 0)
	if _, _, ok := n.TryReserve(s.now, "booth", 300); ok {
		t.Error("tokens of another incarnation were given back")
	}
	n.Settle(s.now, "booth", reservation, 600)
	if _, _, ok := n.TryReserve(s.now, "booth", 10); ok {
		t.Error("overuse was not charged")
	}
}

// TestRefundAfterRefill has a call end, of which nothing was used, after the
// bucket has filled again.
func TestRefundAfterRefill(t *testing.T) {
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 10, 100, 100)
	b.Take(now, 80)
	logScale := b.LogRefundScale()
	now = now.Add(10 * time.Second)
	if _, ok := b.Take(now, 100); !ok {
		t.Fatal("the bucket has not filled")
	}
	b.Settle(now, logScale, 80, 0)
	if _, ok := b.Take(now, 1); ok {
		t.Error("more than the burst was taken at once")
	}
}

// TestDuplicateLogRecords checks that a coordinator goes on when its
// claim reached the log twice.
func TestDuplicateLogRecords(t *testing.T) {
	s, _ := newSettledSim(t, 3)
	s.records = append(s.records, s.records...)
	for i := range s.records {
		s.records[i].Offset = uint64(i) + 1
	}
	s.overload(s.now.Add(20 * time.Second))
	s.advance(20 * time.Second)
	s.requireBound(t)
	if got := s.heldFraction(); math.Abs(got-1) > 0.05 {
		t.Errorf("%v of the whole is held, want all", got)
	}
}

// TestReturnFromEarlierIncarnationIgnored delivers a report of a process that
// was replaced.
func TestReturnFromEarlierIncarnationIgnored(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	node, replaced := s.entries[coordinator].node, s.entries[(coordinator+1)%3]
	s.kill(replaced)
	s.addEntry(replaced.name, 0)
	s.advance(10 * time.Second)
	before := node.HeldFraction("booth")
	s.applyEffects(s.entries[coordinator], node.HandleMessage(s.now, replaced.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Report{
		Report: &wirepb.ShareReport{
			Term:        1,
			Incarnation: replaced.incarnation,
			Sequence:    1 << 20,
			Holdings:    []*wirepb.ShareHolding{{Customer: "booth", ReturnedParts: quota.TotalParts / 5}},
		},
	}}))
	if after := node.HeldFraction("booth"); after > before {
		t.Errorf("an earlier incarnation's return raised what is held from %v to %v", before, after)
	}
}

// TestViewAfterHigherClaimInvalid has a coordinator append a view after another
// entry has claimed.
func TestViewAfterHigherClaimInvalid(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := quota.NewGuard(7)
	page := plat.Page{First: 1, Next: 5}
	for i, data := range []string{
		`{"shareClaim":{"host":"a","incarnation":1}}`,
		`{"shareView":{"term":1,"sequence":1,"members":{"a":1,"b":2},"seen":1}}`,
		`{"shareClaim":{"host":"b","incarnation":2}}`,
		`{"shareView":{"term":1,"sequence":2,"members":{"a":1},"seen":2}}`,
	} {
		page.Records = append(page.Records, plat.Record{Offset: uint64(i) + 1, Data: json.RawMessage(data)})
	}
	g.ApplyLog(page)
	if ack := g.Install(now, &wirepb.ShareView{Term: 1, Sequence: 3}); ack.GetTerm() != 0 {
		t.Errorf("a view of term %d is in force, want none before term 3", ack.GetTerm())
	}
	if ack := g.Install(now, &wirepb.ShareView{Term: 3, Sequence: 1}); ack.GetTerm() != 3 {
		t.Errorf("a view of term %d is in force, want 3", ack.GetTerm())
	}
}

// TestFencedIncarnationCannotRejoin keeps a grant on its way while its
// entry is fenced and reports that it holds nothing.
func TestFencedIncarnationCannotRejoin(t *testing.T) {
	s, coordinator := newSettledSim(t, 2)
	coordinatorHost, killed := s.entries[coordinator], s.entries[1-coordinator]
	s.kill(killed)
	s.addEntry("entry-02", 0)
	var grants []*wirepb.ShareMessage
	fresh := s.entries[2]
	s.blocked = func(a, b string) bool { return a == coordinatorHost.name && b == fresh.name }
	s.onSend = func(to string, m *wirepb.ShareMessage) {
		if to == fresh.name && len(m.GetGrant().GetMoves()) > 0 {
			grants = append(grants, m)
		}
	}
	s.advance(time.Second)
	fresh.paused = true
	s.advance(10 * time.Second)
	s.resume(fresh)
	census := &wirepb.ShareGrant{
		Term:   grants[0].GetGrant().GetTerm(),
		Census: true,
	}
	s.applyEffects(fresh, fresh.node.HandleMessage(s.now, coordinatorHost.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Grant{Grant: census}}))
	for _, m := range grants {
		s.applyEffects(fresh, fresh.node.HandleMessage(s.now, coordinatorHost.name, m))
	}
	s.advance(5 * time.Millisecond)
	spendable := coordinatorHost.node.HeldFraction("booth")
	if s.agents[0].guard.Admits(fresh.name, fresh.node.Incarnation()) {
		spendable += fresh.node.HeldFraction("booth")
	}
	if spendable > 1.001 || len(grants) == 0 {
		t.Errorf("%v of the whole can be spent after %d late grants", spendable, len(grants))
	}
}

// TestLeavingEntryReturnsShare checks a planned stop, of the coordinator
// too.
func TestLeavingEntryReturnsShare(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	for i, h := range s.entries {
		if i != coordinator {
			s.applyEffects(h, h.node.Leave(s.now))
			break
		}
	}
	s.applyEffects(s.entries[coordinator], s.entries[coordinator].node.Leave(s.now))
	s.advance(3 * time.Second)
	for _, h := range s.entries {
		if got := h.node.HeldFraction("booth"); h.node.IsCoordinator() && got > 0.11 || !h.node.IsCoordinator() && got > 0 && got < 0.85 {
			t.Errorf("%s holds %v of the whole, want all but the pool at the one that stays", h.name, got)
		}
	}
}

// TestInitialSharesGrantedAtOnce checks that no entry waits for its first share
// until the next round of balancing.
func TestInitialSharesGrantedAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, sharesWithRequests, 3, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
		s.waitForRecovery(3 * time.Second)
		s.advance(700 * time.Millisecond)
		for _, h := range s.entries {
			if got := h.node.HeldFraction("booth"); got < 0.2 {
				t.Errorf("seed %d: %s holds %v, want about a third", seed, h.name, got)
			}
		}
	}
}
