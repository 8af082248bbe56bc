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

// newSettledSim returns a fleet that has a coordinator, and the index of that
// entry.
func newSettledSim(t *testing.T, entries int) (s *sim, coordinator int) {
	t.Helper()
	s = newSim(7, sharesWithRequests, entries, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
	s.advance(3 * time.Second)
	for i, h := range s.entries {
		if h.node.IsCoordinator() {
			return s, i
		}
	}
	t.Fatal("no coordinator after 3s")
	return nil, 0
}

// heldFraction returns the fraction of the quota held by running entries.
func (s *sim) heldFraction() float64 {
	total := 0.0
	for _, h := range s.entries {
		if !h.dead && !h.paused {
			total += h.node.HeldFraction("booth")
		}
	}
	return total
}

// waitForRecovery advances until running entries hold the whole quota again, or
// up to a limit, and returns the time that passed.
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

// TestShareNotRecoveredWhileAgentUnreachable checks that a share is not
// recovered while an agent may still admit calls from its holder. One entry can
// reach only the agents, and the coordinator can't reach one of these.
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
		t.Errorf("share not recovered %v after the agent became reachable; fraction held = %v", d, s.heldFraction())
	}
}

// TestFencedEntryClaimingTermKeepsNoShare checks that a fenced entry does not
// regain its earlier share by becoming coordinator. The entry is paused until
// its share has been reassigned, then receives no messages until it has claimed
// a term, while all others are running.
func TestFencedEntryClaimingTermKeepsNoShare(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	returning := s.entries[(coordinator+1)%3]
	returning.paused = true
	s.advance(8 * time.Second)
	s.overload(s.now.Add(40 * time.Second))
	returning.deferred = nil // its sessions ended while it was paused
	s.blocked = func(a, b string) bool { return b == returning.name && a != "log" && !returning.node.IsCoordinator() }
	s.resume(returning)
	for range 100 {
		s.advance(100 * time.Millisecond)
		if returning.node.IsCoordinator() {
			break
		}
	}
	if !returning.node.IsCoordinator() {
		t.Fatal("the resumed entry has not become coordinator")
	}
	s.advance(25 * time.Second)
	s.requireBound(t)
	if got := s.heldFraction(); math.Abs(got-1) > 0.05 {
		t.Errorf("fraction held = %v, want 1", got)
	}
}

// TestRestartedAgentRejectsDeposedCoordinator restarts an agent that can reach
// only the log and a coordinator that was replaced while it was paused. The
// agent must not admit calls on that coordinator's view.
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

// TestRestartedAgentLearnsTermWithoutLog restarts an agent while the log is
// down. It must learn the terms in force from the other agent and admit the
// entries.
func TestRestartedAgentLearnsTermWithoutLog(t *testing.T) {
	s, _ := newSettledSim(t, 3)
	s.logDown = true
	s.advance(10 * time.Second)
	s.replaceAgent(0)
	s.advance(5 * time.Second)
	for _, e := range s.entries {
		if !s.agents[0].guard.Admits(e.name, e.incarnation) {
			t.Errorf("restarted agent does not admit %s", e.name)
		}
	}
}

// TestRestartedAgentWithoutLogRejectsDeposedCoordinator restarts an agent while
// the log is down. The only entry that reaches it is a coordinator that was
// replaced while it was paused. The agent must not admit that fenced entry,
// whether or not the coordinator also reaches the other agent, which took part
// in the fencing.
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
			t.Errorf("restarted agent admits a fenced entry (coordinator reaches the other agent: %v)", reaches)
		}
	}
}

// TestAckOfTerminatedAgentExpires checks that a share is not recovered on the
// acknowledgement of an agent process that has ended. One agent acknowledges
// the view while the other is unreachable, and ends unnoticed by the
// coordinator before the other becomes reachable.
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
	s.advance(10 * time.Second) // only agent-1 enforces the view
	s.agents[1].dead = true
	s.advance(3 * time.Second)
	s.blocked = blockedFrom("agent-1")
	s.advance(8 * time.Second)
	if held := coordinatorHost.node.HeldFraction("booth") + s.entries[(coordinator+2)%3].node.HeldFraction("booth"); held > 0.9 {
		t.Errorf("share recovered on the acknowledgement of a terminated process: fraction held = %v", held)
	}
}

// TestKilledEntryShareRecoveredIn5s checks that a killed entry's share is
// recovered within the target of 5 s if all agents are reachable.
func TestKilledEntryShareRecoveredIn5s(t *testing.T) {
	s, coordinator := newSettledSim(t, 4)
	s.kill(s.entries[(coordinator+1)%4])
	if d := s.waitForRecovery(time.Minute); d > 5*time.Second {
		t.Errorf("share was unavailable for %v, want at most 5s", d)
	}
}

// TestSharesMoveWithoutLog checks that requests for tokens are still granted
// while the log is down, and that a killed entry's share is recovered only when
// the log is available again.
func TestSharesMoveWithoutLog(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	s.logDown = true
	s.advance(10 * time.Second)
	s.submit(s.entries[(coordinator+1)%3], "booth", 900)
	s.advance(time.Second)
	if s.refused["booth"] > 0 {
		t.Error("a call for 90% of the burst was refused while the log was down")
	}
	s.kill(s.entries[(coordinator+1)%3])
	if d := s.waitForRecovery(time.Minute); d < time.Minute {
		t.Errorf("share recovered after %v although its fencing is not in the log", d)
	}
	s.logDown = false
	if d := s.waitForRecovery(10 * time.Second); d >= 10*time.Second {
		t.Errorf("fraction held = %v after the log is available again, want 1", s.heldFraction())
	}
}

// TestRefundFromEarlierIncarnation checks that tokens reserved by a fenced
// incarnation are not refunded, and that usage beyond a reservation is charged.
func TestRefundFromEarlierIncarnation(t *testing.T) {
	s, coordinator := newSettledSim(t, 2)
	n := s.entries[coordinator].node
	reservation, _, ok := n.TryReserve(s.now, "booth", 200)
	if !ok {
		t.Fatal("no tokens available initially")
	}
	other := reservation
	other.Incarnation++
	n.Settle(s.now, "booth", other, 0)
	if _, _, ok := n.TryReserve(s.now, "booth", 300); ok {
		t.Error("tokens of another incarnation's reservation were refunded")
	}
	n.Settle(s.now, "booth", reservation, 600)
	if _, _, ok := n.TryReserve(s.now, "booth", 10); ok {
		t.Error("usage beyond the reservation was not charged")
	}
}

// TestRefundAfterRefill checks that a call that ends unused after the bucket
// has refilled does not raise the tokens above the burst.
func TestRefundAfterRefill(t *testing.T) {
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 10, 100, 100)
	b.Take(now, 80)
	logScale := b.LogRefundScale()
	now = now.Add(10 * time.Second)
	if _, ok := b.Take(now, 100); !ok {
		t.Fatal("the bucket has not refilled")
	}
	b.Settle(now, logScale, 80, 0)
	if _, ok := b.Take(now, 1); ok {
		t.Error("more than the burst was taken at once")
	}
}

// TestDuplicateLogRecords checks that a coordinator continues when the log
// holds its claim twice, as happens when an append is retried after its answer
// was lost.
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
		t.Errorf("fraction held = %v, want 1", got)
	}
}

// TestReturnFromEarlierIncarnationIgnored delivers a report from a process that
// was replaced. The parts it returns must not be counted.
func TestReturnFromEarlierIncarnationIgnored(t *testing.T) {
	s, coordinator := newSettledSim(t, 3)
	node, replaced := s.entries[coordinator].node, s.entries[(coordinator+1)%3]
	s.kill(replaced)
	s.addEntry(replaced.name, 0)
	s.advance(10 * time.Second)
	before := node.HeldFraction("booth")
	s.applyEffects(s.entries[coordinator], node.HandleMessage(s.now, replaced.name, &wirepb.ShareMessage{
		Body: &wirepb.ShareMessage_Report{Report: &wirepb.ShareReport{
			Term:        1,
			Incarnation: replaced.incarnation,
			Sequence:    1 << 20,
			Holdings:    []*wirepb.ShareHolding{{Customer: "booth", ReturnedParts: quota.TotalParts / 5}},
		}},
	}))
	if after := node.HeldFraction("booth"); after > before {
		t.Errorf("return from an earlier incarnation raised the fraction held from %v to %v", before, after)
	}
}

// TestViewAfterHigherClaimInvalid checks that a view that a coordinator appends
// after another entry's claim is ignored.
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
	if skipped := g.ApplyLog(page); skipped != nil {
		t.Fatal(skipped)
	}
	if ack := g.Install(now, &wirepb.ShareView{Term: 1, Sequence: 3}); ack.GetTerm() != 0 {
		t.Errorf("enforced view has term %d, want none before term 3", ack.GetTerm())
	}
	if ack := g.Install(now, &wirepb.ShareView{Term: 3, Sequence: 1}); ack.GetTerm() != 3 {
		t.Errorf("enforced view has term %d, want 3", ack.GetTerm())
	}
}

// TestFencedIncarnationCannotRejoin delays grants to an entry until it was
// fenced and has reported that it holds nothing. If it became a member again,
// the granted share could be spent twice.
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
	s.applyEffects(fresh, fresh.node.HandleMessage(s.now, coordinatorHost.name, &wirepb.ShareMessage{
		Body: &wirepb.ShareMessage_Grant{Grant: census},
	}))
	for _, m := range grants {
		s.applyEffects(fresh, fresh.node.HandleMessage(s.now, coordinatorHost.name, m))
	}
	s.advance(5 * time.Millisecond)
	spendable := coordinatorHost.node.HeldFraction("booth")
	if s.agents[0].guard.Admits(fresh.name, fresh.node.Incarnation()) {
		spendable += fresh.node.HeldFraction("booth")
	}
	if spendable > 1.001 || len(grants) == 0 {
		t.Errorf("fraction that can be spent = %v after %d delayed grants, want at most 1 after one or more", spendable, len(grants))
	}
}

// TestLeavingEntryReturnsShare checks that the shares of an entry and of the
// coordinator go to the remaining entry in a graceful shutdown.
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
		if got := h.node.HeldFraction("booth"); h.node.IsCoordinator() && got > 0.11 ||
			!h.node.IsCoordinator() && got > 0 && got < 0.85 {
			t.Errorf("%s holds fraction %v, want all but the pool at the entry that stays", h.name, got)
		}
	}
}

// TestInitialSharesGrantedAtOnce checks that entries get their first shares
// without waiting for the next periodic rebalancing.
func TestInitialSharesGrantedAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, sharesWithRequests, 3, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
		s.waitForRecovery(3 * time.Second)
		s.advance(700 * time.Millisecond)
		for _, h := range s.entries {
			if got := h.node.HeldFraction("booth"); got < 0.2 {
				t.Errorf("seed %d: %s holds fraction %v, want about 1/3", seed, h.name, got)
			}
		}
	}
}
