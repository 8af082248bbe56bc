package gate

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newLeaderHarness returns a rig that leads.
func newLeaderHarness(t *testing.T) *harness {
	h := newServingHarness(t)
	h.apply(Tick{})
	h.apply(LeaseRead{SentAt: h.now})
	appendLease, ok := findEffect[AppendLease](h.apply(Tick{}))
	if !ok {
		t.Fatal("doesn't take a free lease")
	}
	h.apply(LeaseAppendEnded{Record: appendLease.Record, Offset: appendLease.Offset, Result: AppendDone})
	if !h.core.isLeader(h.now) {
		t.Fatal("doesn't lead")
	}
	return h
}

func (h *harness) receiveReport(report *wirepb.GateReport) []Effect {
	return h.apply(ReportReceived{Host: "front-2", Report: report})
}

// The pattern: the store refuses just the leader. It lends on until an entry that
// the store serves asks it to end its term, and nothing after.
func TestLeaderThatCannotRenewStepsDownOnRequest(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.advance(time.Second)
	state, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 1}))
	if state.State.GetUnrenewed() {
		t.Error("gives its term up too soon")
	}
	h.advance(time.Second)
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 2}))
	if !state.State.GetUnrenewed() || !h.core.isLeader(h.now) {
		t.Fatal("doesn't say that it can't renew, or stopped by itself")
	}
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 3, TakesOver: true}))
	if state.State.GetAbdicates() == 0 || h.core.isLeader(h.now) {
		t.Error("doesn't end its term")
	}
	if _, sent := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 4})); sent {
		t.Error("answers as the leader after its term")
	}
}

func TestFollowerTakesOverOnlyAfterLeaseRead(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(time.Second)
	h.apply(ConfigRead{SentAt: h.now})
	effects := h.receiveState(&wirepb.GateState{Unrenewed: true})
	if _, reads := findEffect[ReadLease](effects); !reads {
		t.Fatal("doesn't ask the store")
	}
	report, ok := findEffect[SendReport](h.apply(LeaseRead{Record: leaseRecord("front-2", 7), EndOffset: 1, Exists: true, SentAt: h.now}))
	if !ok || !report.Report.GetTakesOver() {
		t.Fatal("doesn't ask for the lease")
	}
	effects = h.receiveState(&wirepb.GateState{Abdicates: 9})
	if _, appends := findEffect[AppendLease](effects); !appends {
		t.Error("doesn't take the lease")
	}
}

func TestNoOrdersInQuietPeriod(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.leader.planner.RecordMiss(h.now, "llm", modelCopy("small"))
	h.core.leader.planSoon = true
	h.advance(2 * time.Second) // the term lasts 4.6 s, orders 1.6 s
	h.core.appendingLease = true
	for _, e := range h.apply(Tick{}) {
		if _, order := e.(SendOrder); order {
			t.Error("gives an order in the quiet part of its term")
		}
	}
}

func TestStaleRelayTriggersOwnStoreReads(t *testing.T) {
	h := newFollowerHarness(t)
	h.receiveState(&wirepb.GateState{ConfigVersion: 1, ConfigAgeUs: 200000, RegistryAgeUs: 200000})
	if h.core.storeRelay.watching {
		t.Error("reads the store beside the leader")
	}
	h.advance(1200 * time.Millisecond)
	follow, ok := findEffect[WatchStore](h.apply(Tick{}))
	if !ok || !follow.Config || !follow.Registry {
		t.Error("doesn't read the store when the leader's reads are old")
	}
}

func TestNewerConfigIsFetchedWithoutConfirmingOldOne(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(3 * time.Second)
	h.apply(Tick{})
	proof := h.core.configConfirmedAt
	h.core.follower.reportTimes[h.core.follower.sequence] = h.now
	if _, fetches := findEffect[FetchConfig](h.receiveState(&wirepb.GateState{ConfigVersion: 2})); !fetches {
		t.Error("doesn't fetch the newer configuration")
	}
	if h.core.configConfirmedAt.After(proof) {
		t.Error("a proof of version 2 counts for version 1")
	}
}

func TestDrainingEndpointsGetNoRequests(t *testing.T) {
	h := newServingHarness(t)
	for _, id := range []string{"shop-1", "shop-2"} {
		ep := testEndpoint(id, "shop")
		ep.Draining, ep.Sequence = true, 2
		h.endpoints(ep)
	}
	_, effects := h.arrive("/charge/1", "k2")
	if _, sent := findEffect[Send](effects); sent {
		t.Error("sent to a draining endpoint")
	}
	h.advance(200 * time.Millisecond)
	h.wantNotRun(h.apply(Tick{}), fault.CodeBusy)
}

func TestOlderEndpointRecordIsIgnored(t *testing.T) {
	h := newServingHarness(t)
	newer := testEndpoint("shop-1", "shop")
	newer.Draining, newer.Sequence = true, 5
	h.endpoints(newer)
	h.endpoints(testEndpoint("shop-1", "shop"))
	if !h.core.endpoints["shop-1"].Draining {
		t.Error("an older record brought a draining endpoint back")
	}
}

// Records may lapse while the store is away; the endpoints count until it has
// been back for a while.
func TestEndpointsSurviveRegistryOutage(t *testing.T) {
	h := newServingHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(5 * time.Second)
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}}})
	if h.core.endpoints["shop-2"] == nil {
		t.Error("an endpoint whose record lapsed is gone at once")
	}
	h.advance(2400 * time.Millisecond)
	h.apply(Tick{})
	if h.core.endpoints["shop-2"] != nil || h.core.endpoints["shop-1"] == nil {
		t.Error("the missing endpoint stays, or the other one went")
	}
}

// A record that is removed after the store has come back belongs to an endpoint
// that leaves: it must get nothing from then on.
func TestRemovalAfterRegistryRecoveryIsImmediate(t *testing.T) {
	h := newServingHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(5 * time.Second)
	h.endpoints(testEndpoint("shop-1", "shop"))
	h.advance(300 * time.Millisecond)
	h.apply(EndpointsRead{SentAt: h.now, Changes: []topo.EndpointChange{{ID: "shop-1"}}})
	if h.core.endpoints["shop-1"] != nil {
		t.Error("an endpoint that was removed after the store's return stays")
	}
}

// The pattern: an entry lives by the leader's reads, and the first read of its own
// fails, since its connection had become old. A removal in the next answer is of
// an endpoint that leaves.
func TestSingleFailedReadIsNotAnOutage(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(time.Second)
	h.core.follower.reportTimes[h.core.follower.sequence] = h.now
	h.receiveState(&wirepb.GateState{ConfigVersion: 1})
	h.advance(1400 * time.Millisecond)
	h.apply(RegistryReadFailed{})
	h.advance(250 * time.Millisecond)
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}}})
	if h.core.endpoints["shop-2"] != nil {
		t.Error("an endpoint that has left stays after a read that failed")
	}
}

// The pattern: the leader was cut off from the store. While it keeps endpoints
// whose records are missing, the others must not rely on its account.
func TestMissingEndpointsAreNotRelayed(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(3 * time.Second)
	h.apply(Tick{})
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}}})
	h.apply(PeerConnected{Host: "front-2"})
	state, ok := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 1}))
	if !ok {
		t.Fatal("no state is sent")
	}
	if time.Duration(state.State.GetRegistryAgeUs())*time.Microsecond < maxRelayAge {
		t.Error("others take an account with doubtful endpoints for new")
	}
	for _, e := range state.State.GetEndpoints() {
		if e.GetId() == "shop-2" {
			t.Error("a doubtful endpoint is told to others")
		}
	}
}

func TestSmallHostsDelayLeaseAcquisition(t *testing.T) {
	h := newServingHarness(t)
	h.core.settings.LeaseAcquireDelay = 300 * time.Millisecond
	h.apply(Tick{})
	h.apply(LeaseRead{SentAt: h.now})
	if _, acquires := findEffect[AppendLease](h.apply(Tick{})); acquires {
		t.Error("takes the lease at once")
	}
	h.advance(300 * time.Millisecond)
	if _, acquires := findEffect[AppendLease](h.apply(Tick{})); !acquires {
		t.Error("doesn't take a lease that stays free")
	}
}

// The pattern: the leader changes. The members of the last term keep their shares
// until they follow the new leader; without them half of every rate was lost for
// the lifetime of a share.
func TestNewLeaderKeepsSharesOfPreviousTerm(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.startLeading(h.now, []lease.Member{{Host: "front-1", Share: 0.25}, {Host: "front-2", Share: 0.25}}, false)
	for _, m := range h.core.nextMembers(h.now) {
		if m.Share != 0.25 {
			t.Errorf("%s has a share of %v, want 0.25", m.Host, m.Share)
		}
	}
	h.advance(peerGracePeriod)
	if n := len(h.core.nextMembers(h.now)); n != 1 {
		t.Errorf("%d members after the other one has not come, want 1", n)
	}
}

// The leader tells each entry the load that the others put on an endpoint.
func TestStateReportsLoadOfOtherEntries(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.apply(PeerConnected{Host: "front-3"})
	load := func(n uint32) []*wirepb.GateLoad { return []*wirepb.GateLoad{{Endpoint: "shop-1", Running: n}} }
	h.receiveReport(&wirepb.GateReport{Sequence: 1, Loads: load(5)})
	h.receiveReport(&wirepb.GateReport{Sequence: 2, Loads: load(2)})
	state, _ := findEffect[SendState](h.apply(ReportReceived{Host: "front-3", Report: &wirepb.GateReport{Sequence: 1, Loads: load(4)}}))
	if loads := state.State.GetLoads(); len(loads) != 1 || loads[0].GetRunning() != 2 {
		t.Errorf("front-3 is told %v, want the 2 of front-2", loads)
	}
	h.apply(PeerDisconnected{Host: "front-2"})
	if n := h.core.loadFromOthers("shop-1", "front-1").Running; n != 4 {
		t.Errorf("%d requests of others after an entry was lost, want 4", n)
	}
}

// The pattern: the store resets all connections. The leader tries again after a
// pause, not with each tick.
func TestLeaderBacksOffDuringStoreOutage(t *testing.T) {
	h := newLeaderHarness(t)
	h.advance(time.Second)
	appends := 0
	for range 20 {
		for _, e := range h.apply(Tick{}) {
			a, ok := e.(AppendLease)
			if !ok {
				continue
			}
			appends++
			h.apply(LeaseAppendEnded{Record: a.Record, Offset: a.Offset, Result: AppendUnknown})
			h.apply(LeaseRead{Err: errors.New("reset"), SentAt: h.now})
		}
		h.advance(50 * time.Millisecond)
	}
	if appends == 0 || appends > 8 {
		t.Errorf("%d appends in a second, want a few", appends)
	}
}

// An endpoint that was doubtful when an entry joined is told once its record is
// back, though nothing else has changed.
func TestRecoveredEndpointIsRelayed(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(3 * time.Second)
	shop1 := topo.EndpointChange{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{shop1}})
	h.apply(PeerConnected{Host: "front-2"})
	h.receiveReport(&wirepb.GateReport{Sequence: 1})
	h.endpoints(testEndpoint("shop-2", "shop"), testEndpoint("llm-1", "llm", topo.Holding{Model: "big"}))
	state, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 2}))
	told := map[string]bool{}
	for _, e := range state.State.GetEndpoints() {
		told[e.GetId()] = true
	}
	if !told["shop-2"] || !told["llm-1"] || told["shop-1"] {
		t.Errorf("told %v, want just those that were doubtful", told)
	}
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 3}))
	if n := len(state.State.GetEndpoints()) + len(state.State.GetHoldings()); n != 0 {
		t.Errorf("%d accounts are told again", n)
	}
}

// BenchmarkSendState measures what a leader's answers to 100 entries cost with 1,000
// endpoints that don't change.
func BenchmarkSendState(b *testing.B) {
	h := newLeaderHarness(&testing.T{})
	for i := range 1000 {
		h.endpoints(testEndpoint(fmt.Sprint("llm-", i), "llm", topo.Holding{Model: "big"}))
	}
	for i := range 100 {
		h.apply(PeerConnected{Host: fmt.Sprint("front-", i)})
	}
	h.effects = nil
	b.ResetTimer()
	for i := range b.N {
		host := fmt.Sprint("front-", i%100)
		h.core.Apply(h.now, ReportReceived{Host: host, Report: &wirepb.GateReport{Sequence: uint64(i)}})
	}
}
