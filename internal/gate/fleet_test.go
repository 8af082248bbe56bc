package gate

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// newLeaderHarness returns a serving harness that leads.
func newLeaderHarness(t *testing.T) *harness {
	h := newServingHarness(t)
	h.apply(Tick{})
	h.apply(LeaseRead{SentAt: h.now})
	appendLease, ok := findEffect[AppendLease](h.apply(Tick{}))
	if !ok {
		t.Fatal("a free lease was not acquired")
	}
	h.apply(LeaseAppendEnded{Record: appendLease.Record, Offset: appendLease.Offset, Result: AppendDone})
	if !h.core.isLeader(h.now) {
		t.Fatal("the entry does not lead after its append")
	}
	return h
}

func (h *harness) receiveReport(report *wirepb.GateReport) []Effect {
	return h.apply(ReportReceived{Host: "front-2", Report: report})
}

// The store refuses only the leader. The leader keeps granting tokens until an
// entry that can reach the store asks it to resign, and does nothing as the
// leader afterwards.
func TestLeaderThatCannotRenewResignsOnRequest(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.advance(time.Second)
	state, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 1}))
	if state.State.GetUnrenewed() {
		t.Error("the leader reports an unrenewed term after 1 s")
	}
	h.advance(time.Second)
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 2}))
	if !state.State.GetUnrenewed() || !h.core.isLeader(h.now) {
		t.Fatal("the leader does not report that it cannot renew, or stopped leading by itself")
	}
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 3, TakesOver: true}))
	if state.State.GetAbdicates() == 0 || h.core.isLeader(h.now) {
		t.Error("the leader does not resign on request")
	}
	if _, sent := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 4})); sent {
		t.Error("the entry answers as the leader after its term")
	}
}

func TestFollowerTakesOverOnlyAfterLeaseRead(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(time.Second)
	h.apply(ConfigRead{SentAt: h.now})
	effects := h.receiveState(&wirepb.GateState{Unrenewed: true})
	if _, reads := findEffect[ReadLease](effects); !reads {
		t.Fatal("the follower does not read the lease")
	}
	report, ok := findEffect[SendReport](h.apply(LeaseRead{
		Read: lease.Read{Record: leaseRecord("front-2", 7), End: 1, Exists: true}, SentAt: h.now,
	}))
	if !ok || !report.Report.GetTakesOver() {
		t.Fatal("the follower does not ask the leader to resign")
	}
	effects = h.receiveState(&wirepb.GateState{Abdicates: 9})
	if _, appends := findEffect[AppendLease](effects); !appends {
		t.Error("the follower does not acquire the lease")
	}
}

func TestNoOrdersInQuietPeriod(t *testing.T) {
	h := newLeaderHarness(t)
	h.core.leader.planner.RecordMiss(h.now, "llm", stock.Miss{Artifact: modelArtifact("small")})
	h.core.leader.planSoon = true
	h.advance(2 * time.Second) // the term lasts 3.4 s, of which orders are allowed for 1.6 s
	h.core.appendingLease = true
	for _, e := range h.apply(Tick{}) {
		if _, order := e.(SendOrder); order {
			t.Error("an order was sent in the quiet period of the term")
		}
	}
}

func TestStaleRelayTriggersOwnStoreReads(t *testing.T) {
	h := newFollowerHarness(t)
	h.receiveState(&wirepb.GateState{ConfigVersion: 1, ConfigAgeUs: 200000, RegistryAgeUs: 200000})
	if h.core.storeRelay.watching {
		t.Error("the follower reads the store though the leader's reads are recent")
	}
	h.advance(1200 * time.Millisecond)
	watch, ok := findEffect[WatchStore](h.apply(Tick{}))
	if !ok || !watch.Config || !watch.Registry {
		t.Error("the follower does not read the store though the leader's reads are old")
	}
}

func TestNewerConfigIsFetchedWithoutConfirmingOldOne(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(3 * time.Second)
	h.apply(Tick{})
	confirmedAt := h.core.configConfirmedAt
	h.core.follower.reportTimes[h.core.follower.sequence] = h.now
	if _, fetches := findEffect[FetchConfig](h.receiveState(&wirepb.GateState{ConfigVersion: 2})); !fetches {
		t.Error("the newer configuration is not fetched")
	}
	if h.core.configConfirmedAt.After(confirmedAt) {
		t.Error("a read of version 2 confirmed version 1")
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
		t.Error("the request was sent to a draining endpoint")
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
		t.Error("an older record undid the draining of an endpoint")
	}
}

// Records may expire during an outage of the registry. Their endpoints must be
// kept until the registry has been back for the grace period.
func TestEndpointsSurviveRegistryOutage(t *testing.T) {
	h := newServingHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(5 * time.Second)
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{
		{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")},
	}})
	if h.core.endpoints["shop-2"] == nil {
		t.Error("an endpoint whose record expired was removed immediately")
	}
	h.advance(2400 * time.Millisecond)
	h.apply(Tick{})
	if h.core.endpoints["shop-2"] != nil || h.core.endpoints["shop-1"] == nil {
		t.Error("the missing endpoint was kept, or the other one was removed")
	}
}

// A record that is removed after the registry has recovered belongs to an
// endpoint that leaves, which must get no more requests.
func TestRemovalAfterRegistryRecoveryIsImmediate(t *testing.T) {
	h := newServingHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(5 * time.Second)
	h.endpoints(testEndpoint("shop-1", "shop"))
	h.advance(300 * time.Millisecond)
	h.apply(EndpointsRead{SentAt: h.now, Changes: []topo.EndpointChange{{ID: "shop-1"}}})
	if h.core.endpoints["shop-1"] != nil {
		t.Error("an endpoint removed after the recovery was kept")
	}
}

// An entry relies on the leader's reads, and the first read of its own fails
// because its connection had become stale. A removal in the next read must
// count as an endpoint that leaves, not as a record that expired during an
// outage.
func TestSingleFailedReadIsNotAnOutage(t *testing.T) {
	h := newFollowerHarness(t)
	h.advance(time.Second)
	h.core.follower.reportTimes[h.core.follower.sequence] = h.now
	h.receiveState(&wirepb.GateState{ConfigVersion: 1})
	h.advance(1400 * time.Millisecond)
	h.apply(RegistryReadFailed{})
	h.advance(250 * time.Millisecond)
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{
		{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")},
	}})
	if h.core.endpoints["shop-2"] != nil {
		t.Error("an endpoint that has left was kept after a failed read")
	}
}

// The leader was cut off from the store. While it keeps endpoints whose records
// are missing, the other entries must not rely on its reads.
func TestMissingEndpointsAreNotRelayed(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(3 * time.Second)
	h.apply(Tick{})
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{
		{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")},
	}})
	h.apply(PeerConnected{Host: "front-2"})
	state, ok := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 1}))
	if !ok {
		t.Fatal("no state was sent")
	}
	if time.Duration(state.State.GetRegistryAgeUs())*time.Microsecond < maxRelayAge {
		t.Error("the reported registry age is recent though endpoints are missing")
	}
	for _, e := range state.State.GetEndpoints() {
		if e.GetId() == "shop-2" {
			t.Error("an endpoint with a missing record was relayed")
		}
	}
}

func TestSmallHostsDelayLeaseAcquisition(t *testing.T) {
	h := newServingHarness(t)
	h.core.settings.LeaseAcquireDelay = 300 * time.Millisecond
	h.apply(Tick{})
	h.apply(LeaseRead{SentAt: h.now})
	if _, acquires := findEffect[AppendLease](h.apply(Tick{})); acquires {
		t.Error("the entry acquired the lease immediately")
	}
	h.advance(300 * time.Millisecond)
	if _, acquires := findEffect[AppendLease](h.apply(Tick{})); !acquires {
		t.Error("the entry did not acquire a lease that stayed free")
	}
}

// The leader changes. The members of the previous term must keep their shares
// until they follow the new leader. Without this, half of every rate was lost
// for the lifetime of a share.
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
		t.Errorf("%d members after the other one did not connect, want 1", n)
	}
}

// The leader sends each entry the load of all other entries on an endpoint.
func TestStateReportsLoadOfOtherEntries(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(PeerConnected{Host: "front-2"})
	h.apply(PeerConnected{Host: "front-3"})
	load := func(n uint32) []*wirepb.GateLoad { return []*wirepb.GateLoad{{Endpoint: "shop-1", Running: n}} }
	h.receiveReport(&wirepb.GateReport{Sequence: 1, Loads: load(5)})
	h.receiveReport(&wirepb.GateReport{Sequence: 2, Loads: load(2)})
	state, _ := findEffect[SendState](h.apply(ReportReceived{
		Host: "front-3", Report: &wirepb.GateReport{Sequence: 1, Loads: load(4)},
	}))
	if loads := state.State.GetLoads(); len(loads) != 1 || loads[0].GetRunning() != 2 {
		t.Errorf("front-3 was sent loads %v, want the 2 requests of front-2", loads)
	}
	h.apply(PeerDisconnected{Host: "front-2"})
	if n := h.core.loadFromOthers("shop-1", "front-1").Running; n != 4 {
		t.Errorf("%d requests of other entries after one disconnected, want 4", n)
	}
}

// The store resets all connections. The leader must retry with a delay, not
// with every tick.
func TestLeaderBacksOffDuringStoreOutage(t *testing.T) {
	h := newLeaderHarness(t)
	h.advance(time.Second)
	appends := 0
	for range 20 {
		for _, e := range h.apply(Tick{}) {
			appendLease, ok := e.(AppendLease)
			if !ok {
				continue
			}
			appends++
			h.apply(LeaseAppendEnded{Record: appendLease.Record, Offset: appendLease.Offset, Result: AppendUnknown})
			h.apply(LeaseRead{Err: errors.New("reset"), SentAt: h.now})
		}
		h.advance(50 * time.Millisecond)
	}
	if appends == 0 || appends > 8 {
		t.Errorf("%d appends in a second, want 1 to 8", appends)
	}
}

// An endpoint whose record was missing when an entry connected must be relayed
// once the record is back, even if nothing else has changed. Only then does the list of
// endpoints tell which others are gone.
func TestRecoveredEndpointIsRelayed(t *testing.T) {
	h := newLeaderHarness(t)
	h.apply(RegistryReadFailed{})
	h.advance(3 * time.Second)
	shop1 := topo.EndpointChange{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}
	h.apply(EndpointsRead{SentAt: h.now, Full: true, Changes: []topo.EndpointChange{shop1}})
	h.apply(PeerConnected{Host: "front-2"})
	state, _ := findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 1}))
	if state.State.GetEndpointsComplete() {
		t.Error("a list counts as complete while records are missing")
	}
	h.endpoints(testEndpoint("shop-2", "shop"), testEndpoint("llm-1", "llm", topo.Holding{Model: "big"}))
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 2}))
	relayed := map[string]bool{}
	for _, e := range state.State.GetEndpoints() {
		relayed[e.GetId()] = true
	}
	if !relayed["shop-2"] || !relayed["llm-1"] || !relayed["shop-1"] || !state.State.GetEndpointsComplete() {
		t.Errorf("relayed %v, complete %t, want all endpoints", relayed, state.State.GetEndpointsComplete())
	}
	state, _ = findEffect[SendState](h.receiveReport(&wirepb.GateReport{Sequence: 3}))
	if n := len(state.State.GetEndpoints()) + len(state.State.GetHoldings()); n != 0 {
		t.Errorf("%d endpoints and holdings were sent again, want 0", n)
	}
}

// BenchmarkSendState measures the leader's replies to 100 entries with 1,000
// endpoints that do not change.
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
