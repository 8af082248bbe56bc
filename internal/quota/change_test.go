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

// settled returns a fleet with a coordinator, and that coordinator's number.
func settled(t *testing.T, entries int) (s *sim, coordinator int) {
	t.Helper()
	s = newSim(7, asking, entries, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
	s.run(3 * time.Second)
	for i, h := range s.entries {
		if h.node.Coordinates() {
			return s, i
		}
	}
	t.Fatal("no coordinator after 3 s")
	return nil, 0
}

// held returns the fraction of the whole at the entries that run.
func (s *sim) held() float64 {
	total := 0.0
	for _, h := range s.entries {
		if !h.dead && !h.paused {
			total += h.node.Held("booth")
		}
	}
	return total
}

// wait runs until the whole is at running entries again, or a limit.
func (s *sim) wait(limit time.Duration) time.Duration {
	start := s.now
	for s.held() < 0.999 && s.now.Sub(start) < limit {
		s.run(50 * time.Millisecond)
	}
	return s.now.Sub(start)
}

func (s *sim) mustHold(t *testing.T) {
	t.Helper()
	if err := s.audit(); err != nil {
		t.Error(err)
	}
}

// TestNoShareComesBackPastAnUnreachedAgent cuts an entry off from all but the
// agents, and one agent from the coordinator.
func TestNoShareComesBackPastAnUnreachedAgent(t *testing.T) {
	s, c := settled(t, 3)
	alone, lead := s.entries[(c+1)%3].name, s.entries[c].name
	s.cut = func(a, b string) bool {
		for _, p := range [][2]string{{a, b}, {b, a}} {
			if p[0] == alone && p[1][0] != 'a' || p[0] == lead && p[1] == "agent-0" {
				return true
			}
		}
		return false
	}
	s.route = map[string]int{alone: 0, lead: 1, s.entries[(c+2)%3].name: 1}
	s.hammer(s.now.Add(20 * time.Second))
	s.run(20 * time.Second)
	s.mustHold(t)
	s.cut = nil
	if d := s.wait(10 * time.Second); d >= 10*time.Second {
		t.Errorf("the share is still out %v after the agent is reached, %v held", d, s.held())
	}
}

// TestFencedEntryThatClaimsBringsNothing has a paused entry come back after its
// share was given away, hear nobody and claim a term, while all others live.
func TestFencedEntryThatClaimsBringsNothing(t *testing.T) {
	s, c := settled(t, 3)
	back := s.entries[(c+1)%3]
	back.paused = true
	s.run(8 * time.Second)
	s.hammer(s.now.Add(40 * time.Second))
	back.late = nil // its sessions broke meanwhile
	s.cut = func(a, b string) bool { return b == back.name && a != "log" && !back.node.Coordinates() }
	s.resume(back)
	for range 100 {
		s.run(100 * time.Millisecond)
		if back.node.Coordinates() {
			break
		}
	}
	if !back.node.Coordinates() {
		t.Fatal("the entry that came back has not become coordinator")
	}
	s.run(25 * time.Second)
	s.mustHold(t)
	if got := s.held(); math.Abs(got-1) > 0.05 {
		t.Errorf("%v of the whole is held, want all", got)
	}
}

// TestFreshAgentObeysNoEarlierCoordinator restarts an agent where only a
// coordinator that was replaced while it was paused can reach it.
func TestFreshAgentObeysNoEarlierCoordinator(t *testing.T) {
	s, c := settled(t, 3)
	old := s.entries[c]
	old.paused = true
	s.run(30 * time.Second)
	s.cut = func(a, b string) bool {
		for _, p := range [][2]string{{a, b}, {b, a}} {
			if p[0] == old.name && p[1] != "agent-0" || p[0] == "agent-0" && p[1] != old.name && p[1] != "log" {
				return true
			}
		}
		return false
	}
	old.late = nil
	s.resume(old)
	s.replaceAgent(0)
	s.run(time.Second)
	s.route = map[string]int{old.name: 0, s.entries[(c+1)%3].name: 1, s.entries[(c+2)%3].name: 1}
	s.hammer(s.now.Add(20 * time.Second))
	s.run(20 * time.Second)
	s.mustHold(t)
}

// TestFreshAgentServesWithoutTheLog restarts an agent while the log is down: it
// learns the terms in force from the other agent.
func TestFreshAgentServesWithoutTheLog(t *testing.T) {
	s, _ := settled(t, 3)
	s.logDown = true
	s.run(10 * time.Second)
	s.replaceAgent(0)
	s.run(5 * time.Second)
	for _, e := range s.entries {
		if !s.agents[0].guard.Admits(e.name, e.inc) {
			t.Errorf("the fresh agent doesn't admit %s", e.name)
		}
	}
}

// A fresh agent hears nobody but a coordinator that was replaced while it was
// paused, and the log is down. It must not admit an entry that was fenced,
// whether the coordinator reaches other agents, which have taken part in the
// fencing, or not.
func TestFreshAgentWithoutTheLogObeysNoEarlierCoordinator(t *testing.T) {
	for _, reaches := range []bool{false, true} {
		s, c := settled(t, 3)
		old := s.entries[c]
		old.paused = true
		s.run(30 * time.Second)
		s.logDown = true
		s.cut = func(a, b string) bool {
			if a == "agent-0" || b == "agent-0" {
				return a != old.name && b != old.name
			}
			if reaches && (a == "agent-1" || b == "agent-1") {
				return false
			}
			return a == old.name || b == old.name
		}
		old.late = nil
		s.resume(old)
		s.replaceAgent(0)
		s.run(20 * time.Second)
		if s.agents[0].guard.Admits(old.name, old.inc) {
			t.Errorf("the fresh agent admits an entry that was fenced; the coordinator reaches the other agent: %v", reaches)
		}
	}
}

// TestAcknowledgementOfAnEndedAgentDoesNotCount has a share wait for one agent
// while another, which had acknowledged, is replaced out of the coordinator's
// sight.
func TestAcknowledgementOfAnEndedAgentDoesNotCount(t *testing.T) {
	s, c := settled(t, 3)
	alone, lead := s.entries[(c+1)%3], s.entries[c]
	cutFrom := func(agent string) func(a, b string) bool {
		return func(a, b string) bool {
			outside := a == alone.name && b[0] != 'a' || b == alone.name && a[0] == 'e'
			return outside || a == lead.name && b == agent || a == agent && b == lead.name
		}
	}
	s.cut = cutFrom("agent-0")
	s.run(10 * time.Second) // the view is in force at agent-1 only
	s.agents[1].dead = true
	s.run(3 * time.Second)
	s.cut = cutFrom("agent-1")
	s.run(8 * time.Second)
	if held := lead.node.Held("booth") + s.entries[(c+2)%3].node.Held("booth"); held > 0.9 {
		t.Errorf("a share came back on the word of an ended process: %v held", held)
	}
}

// TestKilledEntrysShareIsBack checks the target: 5 s with all agents reachable.
func TestKilledEntrysShareIsBack(t *testing.T) {
	s, c := settled(t, 4)
	s.kill(s.entries[(c+1)%4])
	if d := s.wait(time.Minute); d > 5*time.Second {
		t.Errorf("the share was out of use for %v, want 5s at most", d)
	}
}

// TestSharesMoveWithoutTheLog checks that entries still get what they ask for,
// and that a killed entry's share waits for the log.
func TestSharesMoveWithoutTheLog(t *testing.T) {
	s, c := settled(t, 3)
	s.logDown = true
	s.run(10 * time.Second)
	s.call(s.entries[(c+1)%3], "booth", 900)
	s.run(time.Second)
	if s.refused["booth"] > 0 {
		t.Error("nine tenths of the burst were refused without the log")
	}
	s.kill(s.entries[(c+1)%3])
	if d := s.wait(time.Minute); d < time.Minute {
		t.Errorf("a share came back after %v without a record of its fencing", d)
	}
	s.logDown = false
	if d := s.wait(10 * time.Second); d >= 10*time.Second {
		t.Errorf("%v of the whole held after the log is back", s.held())
	}
}

// TestRefundOfAnEarlierIncarnation checks that what a fenced incarnation has
// reserved does not come back, and that overuse is charged.
func TestRefundOfAnEarlierIncarnation(t *testing.T) {
	s, c := settled(t, 2)
	n := s.entries[c].node
	hold, _, ok := n.Take(s.now, "booth", 200)
	if !ok {
		t.Fatal("no tokens to begin with")
	}
	other := hold
	other.Incarnation++
	n.Settle(s.now, "booth", other, 0)
	if _, _, ok := n.Take(s.now, "booth", 300); ok {
		t.Error("tokens of another incarnation were given back")
	}
	n.Settle(s.now, "booth", hold, 600)
	if _, _, ok := n.Take(s.now, "booth", 10); ok {
		t.Error("overuse was not charged")
	}
}

// TestRefundAfterOverflow has a call end, of which nothing was used, after the
// bucket has filled again.
func TestRefundAfterOverflow(t *testing.T) {
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 10, 100, 100)
	b.Take(now, 80)
	mark := b.Mark()
	now = now.Add(10 * time.Second)
	if _, ok := b.Take(now, 100); !ok {
		t.Fatal("the bucket has not filled")
	}
	b.Settle(now, mark, 80, 0)
	if _, ok := b.Take(now, 1); ok {
		t.Error("more than the burst was taken at once")
	}
}

// TestDuplicateRecordsOfLostAppends checks that a coordinator goes on when its
// claim reached the log twice.
func TestDuplicateRecordsOfLostAppends(t *testing.T) {
	s, _ := settled(t, 3)
	s.records = append(s.records, s.records...)
	for i := range s.records {
		s.records[i].Offset = uint64(i) + 1
	}
	s.hammer(s.now.Add(20 * time.Second))
	s.run(20 * time.Second)
	s.mustHold(t)
	if got := s.held(); math.Abs(got-1) > 0.05 {
		t.Errorf("%v of the whole is held, want all", got)
	}
}

// TestReturnOfAnEarlierIncarnationIsDropped delivers a report of a process that
// was replaced.
func TestReturnOfAnEarlierIncarnationIsDropped(t *testing.T) {
	s, c := settled(t, 3)
	lead, old := s.entries[c].node, s.entries[(c+1)%3]
	s.kill(old)
	s.addEntry(old.name, 0)
	s.run(10 * time.Second)
	before := lead.Held("booth")
	s.do(s.entries[c], lead.Received(s.now, old.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Report{
		Report: &wirepb.ShareReport{
			Term:        1,
			Incarnation: old.inc,
			Sequence:    1 << 20,
			Holdings:    []*wirepb.ShareHolding{{Customer: "booth", ReturnedParts: quota.Whole / 5}},
		},
	}}))
	if after := lead.Held("booth"); after > before {
		t.Errorf("an earlier incarnation's return raised what is held from %v to %v", before, after)
	}
}

// TestViewAfterAHigherClaimIsVoid has a coordinator append a view after another
// entry has claimed.
func TestViewAfterAHigherClaimIsVoid(t *testing.T) {
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
	g.Read(page)
	if ack := g.Install(now, &wirepb.ShareView{Term: 1, Sequence: 3}); ack.GetTerm() != 0 {
		t.Errorf("a view of term %d is in force, want none before term 3", ack.GetTerm())
	}
	if ack := g.Install(now, &wirepb.ShareView{Term: 3, Sequence: 1}); ack.GetTerm() != 3 {
		t.Errorf("a view of term %d is in force, want 3", ack.GetTerm())
	}
}

// TestFencedIncarnationDoesNotJoinAgain keeps a grant on its way while its
// entry is fenced and reports that it holds nothing.
func TestFencedIncarnationDoesNotJoinAgain(t *testing.T) {
	s, c := settled(t, 2)
	lead, late := s.entries[c], s.entries[1-c]
	s.kill(late)
	s.addEntry("entry-02", 0)
	var grants []*wirepb.ShareMessage
	fresh := s.entries[2]
	s.cut = func(a, b string) bool { return a == lead.name && b == fresh.name }
	s.spy = func(to string, m *wirepb.ShareMessage) {
		if to == fresh.name && len(m.GetGrant().GetMoves()) > 0 {
			grants = append(grants, m)
		}
	}
	s.run(time.Second)
	fresh.paused = true
	s.run(10 * time.Second)
	s.resume(fresh)
	census := &wirepb.ShareGrant{
		Term:   grants[0].GetGrant().GetTerm(),
		Census: true,
	}
	s.do(fresh, fresh.node.Received(s.now, lead.name, &wirepb.ShareMessage{Body: &wirepb.ShareMessage_Grant{Grant: census}}))
	for _, m := range grants {
		s.do(fresh, fresh.node.Received(s.now, lead.name, m))
	}
	s.run(5 * time.Millisecond)
	spendable := lead.node.Held("booth")
	if s.agents[0].guard.Admits(fresh.name, fresh.node.Incarnation()) {
		spendable += fresh.node.Held("booth")
	}
	if spendable > 1.001 || len(grants) == 0 {
		t.Errorf("%v of the whole can be spent after %d late grants", spendable, len(grants))
	}
}

// TestLeavingEntryGivesItsShareBack checks a planned stop, of the coordinator
// too.
func TestLeavingEntryGivesItsShareBack(t *testing.T) {
	s, c := settled(t, 3)
	for i, h := range s.entries {
		if i != c {
			s.do(h, h.node.Leave(s.now))
			break
		}
	}
	s.do(s.entries[c], s.entries[c].node.Leave(s.now))
	s.run(3 * time.Second)
	for _, h := range s.entries {
		if got := h.node.Held("booth"); h.node.Coordinates() && got > 0.11 || !h.node.Coordinates() && got > 0 && got < 0.85 {
			t.Errorf("%s holds %v of the whole, want all but the pool at the one that stays", h.name, got)
		}
	}
}

// TestSharesAreSpreadAtOnce checks that no entry waits for its first share
// until the next round of balancing.
func TestSharesAreSpreadAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, asking, 3, 2, map[string]quota.Limit{"booth": {Rate: 500, Burst: 1000}})
		s.wait(3 * time.Second)
		s.run(700 * time.Millisecond)
		for _, h := range s.entries {
			if got := h.node.Held("booth"); got < 0.2 {
				t.Errorf("seed %d: %s holds %v, want about a third", seed, h.name, got)
			}
		}
	}
}
