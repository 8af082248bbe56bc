package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// renewalAge is the age of the leader's last renewal when it writes a state.
const renewalAge = 300 * time.Millisecond

// leaderIncarnation is the incarnation of front-2 in newFollowerHarness.
const leaderIncarnation = 7

// follow delivers, for a time, the ticks of a follower and the states of a leader that
// renews its term. It returns how often the follower called the store for the lease.
func (h *harness) follow(d time.Duration) (calls int) {
	for end := h.now.Add(d); h.now.Before(end); h.advance(50 * time.Millisecond) {
		for _, e := range h.apply(Tick{}) {
			switch e.(type) {
			case AppendLease, ReadLease:
				calls++
			case SendReport:
				h.receiveState(&wirepb.GateState{
					AgeUs:         uint64(renewalAge.Microseconds()),
					Incarnation:   leaderIncarnation,
					Renewal:       1,
					ConfigVersion: 1,
				})
			}
		}
	}
	return calls
}

// Pattern: hundreds of entries follow one leader, which renews its term. The store must
// not be called by each of them.
func TestFollowersOfRenewedLeaderLeaveTheStoreAlone(t *testing.T) {
	h := newFollowerHarness(t)
	if calls := h.follow(30 * time.Second); calls > 0 {
		t.Errorf("a follower called the store %d times in 30 s for a lease that its leader holds", calls)
	}
}

// The leader falls silent: its followers must still read the lease and take over once the
// term is over.
func TestFollowerTakesOverFromSilentLeader(t *testing.T) {
	h := newFollowerHarness(t)
	h.follow(10 * time.Second)
	silentAt := h.now
	record, _ := h.core.lease.Current()
	for h.now.Sub(silentAt) < 8*time.Second {
		for _, e := range h.apply(Tick{}) {
			switch e.(type) {
			case ReadLease:
				h.apply(LeaseRead{Read: lease.Read{Record: record, End: 1, Exists: true}, SentAt: h.now})
			case AppendLease:
				renewedAt := silentAt.Add(-reportInterval - renewalAge)
				if waited := h.now.Sub(renewedAt); waited < h.core.settings.Lease.Duration {
					t.Fatalf("appended %v after the leader's last renewal, before its term has ended", waited)
				}
				return
			}
		}
		h.advance(50 * time.Millisecond)
	}
	t.Error("nobody took over from a leader that has been silent for 8 s")
}

// Pattern: an endpoint is removed while an entry has no session to a leader, for so short a
// time that the entry doesn't read the registry itself. The first state of its next session
// must tell it that the endpoint is gone.
func TestEndpointRemovedBetweenSessionsIsForgotten(t *testing.T) {
	leader := newLeaderHarness(t)
	leader.apply(PeerConnected{Host: "front-3"})
	follower := newFollowerHarness(t)
	pass := func() {
		follower.advance(reportInterval)
		leader.now = follower.now
		for _, e := range follower.apply(Tick{}) {
			report, ok := e.(SendReport)
			if !ok {
				continue
			}
			for _, reply := range leader.apply(ReportReceived{Host: "front-3", Report: report.Report}) {
				if state, ok := reply.(SendState); ok {
					follower.apply(StateReceived{Host: "front-2", State: state.State})
				}
			}
		}
	}
	pass()
	follower.apply(LeaderDisconnected{Host: "front-2"})
	leader.apply(PeerDisconnected{Host: "front-3"})
	leader.apply(EndpointsRead{SentAt: leader.now, Changes: []topo.EndpointChange{{ID: "shop-2"}}})
	leader.apply(PeerConnected{Host: "front-3"})
	follower.apply(LeaderConnected{Host: "front-2"})
	pass()
	if follower.core.endpoints["shop-2"] != nil {
		t.Error("the follower still uses an endpoint that was removed between its sessions")
	}
	if follower.core.endpoints["shop-1"] == nil || follower.core.endpoints["llm-1"] == nil {
		t.Error("the follower has forgotten endpoints that are registered")
	}
}

// While the leader keeps endpoints whose records may have expired in an outage, its list
// doesn't tell which endpoints are gone.
func TestListWithMissingRecordsRemovesNothing(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(reportInterval)
	h.apply(Tick{})
	h.receiveState(&wirepb.GateState{Endpoints: []*wirepb.GateEndpoint{
		{Id: "shop-1", Service: "shop", Address: "10.1.0.1:80", Zone: "a", Slots: 8, Born: 1, Sequence: 1},
	}})
	if h.core.endpoints["shop-2"] == nil {
		t.Error("an endpoint was removed by a list that isn't complete")
	}
}

// Pattern: a hundred entries see the endpoints of a service fail at the same time. The
// retries that may be saved up, and the requests that limited endpoints get without the
// leader, are for all entries together.
func TestRightsOfTheFleetAreDividedAmongItsEntries(t *testing.T) {
	const entries = 100
	h := newFollowerHarness(t)
	h.receiveState(&wirepb.GateState{Members: entries})
	saved := 0
	for range 50 {
		h.core.creditRetry("shop") // requests that need no retry
	}
	for h.core.takeRetry("shop") {
		saved++
	}
	if limit := max(h.core.settings.RetryBurst/entries, 1); float64(saved) > limit {
		t.Errorf("one of %d entries has saved %d retries, want %v at most", entries, saved, limit)
	}
	const perSecond = 400
	if rate := h.core.localLimit(perSecond); rate > perSecond*localLimitFraction/entries {
		t.Errorf("one of %d entries sends %v of %d requests per second without the leader", entries, rate, perSecond)
	}
}

// Pattern: the store has come back from a copy that lacks the newest configuration, and a
// restarted entry reads the one before as current. Once its leader tells that a newer one
// was in force before that read, the read proves nothing.
func TestReadOfRestoredStoreIsNoProofAgainstTheLeader(t *testing.T) {
	h := newFollowerHarness(t)
	h.follow(time.Second)
	h.apply(ConfigRead{SentAt: h.now})
	if _, effects := h.arrive("/charge/1", "k2"); !sent(effects) {
		t.Fatalf("a request isn't sent with a fresh proof: %+v", effects)
	}
	h.receiveState(&wirepb.GateState{
		ConfigVersion: 2,
		ConfigAgeUs:   500_000,
	})
	_, effects := h.arrive("/charge/2", "k2")
	h.wantNotRun(effects, fault.CodeNotReady)
}

// Pattern: an entry starts while the store, back from a copy, lacks a withdrawal of a key,
// and no other entry has told it of one. Its reads prove nothing before the operator has
// had time to write again what was lost.
func TestReadsJustAfterRestoreProveNothing(t *testing.T) {
	h := newHarness(t)
	h.apply(ConfigRead{Config: testConfig(), SentAt: h.now, Era: 1})
	h.endpoints(testEndpoint("shop-1", "shop"))
	_, effects := h.arrive("/charge/1", "k2")
	h.wantNotRun(effects, fault.CodeNotReady)
	h.advance(restoreGracePeriod)
	h.apply(ConfigRead{SentAt: h.now, Era: 1})
	if _, effects := h.arrive("/charge/2", "k2"); !sent(effects) {
		t.Errorf("a request isn't sent after the grace period: %+v", effects)
	}
}

// An entry with a proof from before the store's restore goes on with it.
func TestProofFromBeforeRestoreStands(t *testing.T) {
	h := newServingHarness(t)
	h.advance(time.Second)
	h.apply(ConfigRead{SentAt: h.now, Era: 1})
	if _, effects := h.arrive("/charge/1", "k2"); !sent(effects) {
		t.Errorf("a request isn't sent 1 s after the last sound proof: %+v", effects)
	}
}

func sent(effects []Effect) bool {
	_, sent := findEffect[Send](effects)
	return sent
}

// Guards against an entry that never learns of endpoints, holdings and limits since the
// state that told of them was too old when it came.
func TestDroppedStateIsToldAgain(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.receiveReport(&wirepb.GateReport{Sequence: 1})
	h.endpoints(testEndpoint("shop-1", "shop"), testEndpoint("llm-9", "llm", topo.Holding{Model: "big"}))
	h.apply(LimitNamed{Endpoint: "shop-1", Incarnation: h.core.endpoints["shop-1"].Incarnation, PerSecond: 50})
	h.receiveReport(&wirepb.GateReport{Sequence: 2}) // the entry drops the answer
	if answer, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 3})); len(answer.State.GetEndpoints()) > 0 {
		t.Fatalf("endpoints are told twice without need: %v", answer.State.GetEndpoints())
	}
	answer, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 4, AsksAll: true}))
	told := make(map[string]bool)
	for _, e := range answer.State.GetEndpoints() {
		told[e.GetId()] = true
	}
	if !answer.State.GetEndpointsComplete() || !told["llm-9"] || len(told) != len(h.core.endpoints) {
		t.Errorf("told of endpoints %v, complete %t, want all", told, answer.State.GetEndpointsComplete())
	}
	if holdings := answer.State.GetHoldings(); len(holdings) == 0 || answer.State.GetArrivalsUnchanged() {
		t.Errorf("told of holdings %v, arrivals left out: %t", holdings, answer.State.GetArrivalsUnchanged())
	}
	if limits := answer.State.GetLimits(); len(limits) != 1 {
		t.Errorf("told of limits %v, want that of shop-1", limits)
	}
}

// Guards against asking for everything while the answers are too old, and against asking
// more than once.
func TestEntryAsksForAllOnceStatesAreRecent(t *testing.T) {
	h := newFollowerHarness(t)
	asks := func() bool {
		h.advance(reportInterval)
		report, sent := findEffect[SendReport](h.apply(Tick{}))
		if !sent {
			t.Fatal("no report is sent")
		}
		return report.Report.GetAsksAll()
	}
	h.receiveState(&wirepb.GateState{})
	h.advance(maxStateAge + time.Millisecond)
	h.receiveState(&wirepb.GateState{}) // dropped
	if asks() {
		t.Error("the entry asks for everything before a state is recent enough")
	}
	h.receiveState(&wirepb.GateState{})
	if !asks() {
		t.Error("the entry doesn't ask for what it has dropped")
	}
	h.receiveState(&wirepb.GateState{})
	if asks() {
		t.Error("the entry asks for everything again")
	}
}
