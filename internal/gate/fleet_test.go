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

// leading returns a rig that leads.
func leading(t *testing.T) *rig {
	r := serving(t)
	r.apply(Tick{})
	r.apply(LeaseRead{SentAt: r.now})
	append1, ok := find[AppendLease](r.apply(Tick{}))
	if !ok {
		t.Fatal("doesn't take a free lease")
	}
	r.apply(LeaseAppended{Record: append1.Record, At: append1.At, Result: AppendDone})
	if !r.core.leads(r.now) {
		t.Fatal("doesn't lead")
	}
	return r
}

func (r *rig) report(report *wirepb.GateReport) []Effect {
	return r.apply(ReportReceived{Host: "front-2", Report: report})
}

// The pattern: the store refuses just the leader. It lends on until an entry that
// the store serves asks it to end its term, and nothing after.
func TestLeaderThatCantRenewHandsOn(t *testing.T) {
	r := leading(t)
	r.apply(PeerUp{Host: "front-2"})
	r.pass(time.Second)
	state, _ := find[SendState](r.report(&wirepb.GateReport{Sequence: 1}))
	if state.State.GetUnrenewed() {
		t.Error("gives its term up too soon")
	}
	r.pass(time.Second)
	state, _ = find[SendState](r.report(&wirepb.GateReport{Sequence: 2}))
	if !state.State.GetUnrenewed() || !r.core.leads(r.now) {
		t.Fatal("doesn't say that it can't renew, or stopped by itself")
	}
	state, _ = find[SendState](r.report(&wirepb.GateReport{Sequence: 3, TakesOver: true}))
	if state.State.GetAbdicates() == 0 || r.core.leads(r.now) {
		t.Error("doesn't end its term")
	}
	if _, sent := find[SendState](r.report(&wirepb.GateReport{Sequence: 4})); sent {
		t.Error("answers as the leader after its term")
	}
}

func TestFollowerTakesOverOnlyIfTheStoreServesIt(t *testing.T) {
	r := following(t)
	r.pass(time.Second)
	r.apply(ConfigRead{SentAt: r.now})
	effects := r.state(&wirepb.GateState{Unrenewed: true})
	if _, reads := find[ReadLease](effects); !reads {
		t.Fatal("doesn't ask the store")
	}
	report, ok := find[SendReport](r.apply(LeaseRead{Record: leaseRecord("front-2", 7), End: 1, Exists: true, SentAt: r.now}))
	if !ok || !report.Report.GetTakesOver() {
		t.Fatal("doesn't ask for the lease")
	}
	effects = r.state(&wirepb.GateState{Abdicates: 9})
	if _, appends := find[AppendLease](effects); !appends {
		t.Error("doesn't take the lease")
	}
}

func TestOrdersEndBeforeTheTerm(t *testing.T) {
	r := leading(t)
	r.core.leader.planner.RecordMiss(r.now, "llm", stockCopy("small"))
	r.core.leader.hurry = true
	r.pass(2 * time.Second) // the term lasts 4.6 s, orders 1.6 s
	r.core.appending = true
	for _, e := range r.apply(Tick{}) {
		if _, order := e.(GiveOrder); order {
			t.Error("gives an order in the quiet part of its term")
		}
	}
}

func TestLeadersReadsServeAnEntryOnlyWhileTheyAreNew(t *testing.T) {
	r := following(t)
	r.state(&wirepb.GateState{ConfigVersion: 1, ConfigAgeUs: 200000, RegistryAgeUs: 200000})
	if r.core.relay.following {
		t.Error("reads the store beside the leader")
	}
	r.pass(1200 * time.Millisecond)
	follow, ok := find[FollowStore](r.apply(Tick{}))
	if !ok || !follow.Config || !follow.Registry {
		t.Error("doesn't read the store when the leader's reads are old")
	}
}

func TestNewerConfigurationIsFetchedAndProvesNothingBefore(t *testing.T) {
	r := following(t)
	r.pass(3 * time.Second)
	r.apply(Tick{})
	proof := r.core.configProof
	r.core.member.sent[r.core.member.sequence] = r.now
	if _, fetches := find[FetchConfig](r.state(&wirepb.GateState{ConfigVersion: 2})); !fetches {
		t.Error("doesn't fetch the newer configuration")
	}
	if r.core.configProof.After(proof) {
		t.Error("a proof of version 2 counts for version 1")
	}
}

func TestDrainingEndpointsGetNothing(t *testing.T) {
	r := serving(t)
	for _, id := range []string{"shop-1", "shop-2"} {
		ep := testEndpoint(id, "shop")
		ep.Draining, ep.Sequence = true, 2
		r.endpoints(ep)
	}
	_, effects := r.arrive("/charge/1", "k2")
	if _, sent := find[Send](effects); sent {
		t.Error("sent to a draining endpoint")
	}
	r.pass(200 * time.Millisecond)
	r.wantCode(r.apply(Tick{}), fault.CodeBusy)
}

func TestOlderAccountOfAnEndpointIsIgnored(t *testing.T) {
	r := serving(t)
	newer := testEndpoint("shop-1", "shop")
	newer.Draining, newer.Sequence = true, 5
	r.endpoints(newer)
	r.endpoints(testEndpoint("shop-1", "shop"))
	if !r.core.endpoints["shop-1"].Draining {
		t.Error("an older record brought a draining endpoint back")
	}
}

// Records may lapse while the store is away; the endpoints count until it has
// been back for a while.
func TestEndpointsOutliveTheStoresAbsence(t *testing.T) {
	r := serving(t)
	r.apply(StoreFailed{})
	r.pass(5 * time.Second)
	r.apply(EndpointsRead{SentAt: r.now, Full: true, Changes: []topo.EndpointChange{{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}}})
	if r.core.endpoints["shop-2"] == nil {
		t.Error("an endpoint whose record lapsed is gone at once")
	}
	r.pass(2400 * time.Millisecond)
	r.apply(Tick{})
	if r.core.endpoints["shop-2"] != nil || r.core.endpoints["shop-1"] == nil {
		t.Error("the missing endpoint stays, or the other one went")
	}
}

// A record that is removed after the store has come back belongs to an endpoint
// that leaves: it must get nothing from then on.
func TestRemovalAfterTheStoresReturnCountsAtOnce(t *testing.T) {
	r := serving(t)
	r.apply(StoreFailed{})
	r.pass(5 * time.Second)
	r.endpoints(testEndpoint("shop-1", "shop"))
	r.pass(300 * time.Millisecond)
	r.apply(EndpointsRead{SentAt: r.now, Changes: []topo.EndpointChange{{ID: "shop-1"}}})
	if r.core.endpoints["shop-1"] != nil {
		t.Error("an endpoint that was removed after the store's return stays")
	}
}

// The pattern: an entry lives by the leader's reads, and the first read of its own
// fails, since its connection had become old. A removal in the next answer is of
// an endpoint that leaves.
func TestFailedReadIsNoOutage(t *testing.T) {
	r := following(t)
	r.pass(time.Second)
	r.core.member.sent[r.core.member.sequence] = r.now
	r.state(&wirepb.GateState{ConfigVersion: 1})
	r.pass(1400 * time.Millisecond)
	r.apply(StoreFailed{})
	r.pass(250 * time.Millisecond)
	r.apply(EndpointsRead{SentAt: r.now, Full: true, Changes: []topo.EndpointChange{{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}}})
	if r.core.endpoints["shop-2"] != nil {
		t.Error("an endpoint that has left stays after a read that failed")
	}
}

// The pattern: the leader was cut off from the store. While it keeps endpoints
// whose records are missing, the others must not rely on its account.
func TestOthersDontRelyOnDoubtfulEndpoints(t *testing.T) {
	r := leading(t)
	r.apply(StoreFailed{})
	r.pass(3 * time.Second)
	r.apply(Tick{})
	r.apply(EndpointsRead{SentAt: r.now, Full: true, Changes: []topo.EndpointChange{{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}}})
	r.apply(PeerUp{Host: "front-2"})
	state, ok := find[SendState](r.report(&wirepb.GateReport{Sequence: 1}))
	if !ok {
		t.Fatal("no state is sent")
	}
	if time.Duration(state.State.GetRegistryAgeUs())*time.Microsecond < relayLimit {
		t.Error("others take an account with doubtful endpoints for new")
	}
	for _, e := range state.State.GetEndpoints() {
		if e.GetId() == "shop-2" {
			t.Error("a doubtful endpoint is told to others")
		}
	}
}

func TestSmallHostsLeaveAFreeLeaseToOthers(t *testing.T) {
	r := serving(t)
	r.core.settings.TakeDelay = 300 * time.Millisecond
	r.apply(Tick{})
	r.apply(LeaseRead{SentAt: r.now})
	if _, takes := find[AppendLease](r.apply(Tick{})); takes {
		t.Error("takes the lease at once")
	}
	r.pass(300 * time.Millisecond)
	if _, takes := find[AppendLease](r.apply(Tick{})); !takes {
		t.Error("doesn't take a lease that stays free")
	}
}

// The pattern: the leader changes. The members of the last term keep their shares
// until they follow the new leader; without them half of every rate was lost for
// the lifetime of a share.
func TestNewLeaderKeepsTheSharesOfTheLastTerm(t *testing.T) {
	r := leading(t)
	r.core.startLeading(r.now, []lease.Member{{Host: "front-1", Share: 0.25}, {Host: "front-2", Share: 0.25}}, false)
	for _, m := range r.core.nextMembers(r.now) {
		if m.Share != 0.25 {
			t.Errorf("%s has a share of %v, want 0.25", m.Host, m.Share)
		}
	}
	r.pass(peerLifetime)
	if n := len(r.core.nextMembers(r.now)); n != 1 {
		t.Errorf("%d members after the other one has not come, want 1", n)
	}
}

// The leader tells each entry the load that the others put on an endpoint.
func TestLeaderTellsTheLoadOfOthers(t *testing.T) {
	r := leading(t)
	r.apply(PeerUp{Host: "front-2"})
	r.apply(PeerUp{Host: "front-3"})
	load := func(n uint32) []*wirepb.GateLoad { return []*wirepb.GateLoad{{Endpoint: "shop-1", Running: n}} }
	r.report(&wirepb.GateReport{Sequence: 1, Loads: load(5)})
	r.report(&wirepb.GateReport{Sequence: 2, Loads: load(2)})
	state, _ := find[SendState](r.apply(ReportReceived{Host: "front-3", Report: &wirepb.GateReport{Sequence: 1, Loads: load(4)}}))
	if loads := state.State.GetLoads(); len(loads) != 1 || loads[0].GetRunning() != 2 {
		t.Errorf("front-3 is told %v, want the 2 of front-2", loads)
	}
	r.apply(PeerDown{Host: "front-2"})
	if n := r.core.othersLoad("shop-1", "front-1").Running; n != 4 {
		t.Errorf("%d requests of others after an entry was lost, want 4", n)
	}
}

// The pattern: the store resets all connections. The leader tries again after a
// pause, not with each tick.
func TestLeaderPausesWhileTheStoreIsAway(t *testing.T) {
	r := leading(t)
	r.pass(time.Second)
	appends := 0
	for range 20 {
		for _, e := range r.apply(Tick{}) {
			a, ok := e.(AppendLease)
			if !ok {
				continue
			}
			appends++
			r.apply(LeaseAppended{Record: a.Record, At: a.At, Result: AppendUnknown})
			r.apply(LeaseRead{Err: errors.New("reset"), SentAt: r.now})
		}
		r.pass(50 * time.Millisecond)
	}
	if appends == 0 || appends > 8 {
		t.Errorf("%d appends in a second, want a few", appends)
	}
}

// An endpoint that was doubtful when an entry joined is told once its record is
// back, though nothing else has changed.
func TestEndpointThatIsNoLongerDoubtfulIsTold(t *testing.T) {
	r := leading(t)
	r.apply(StoreFailed{})
	r.pass(3 * time.Second)
	shop1 := topo.EndpointChange{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}
	r.apply(EndpointsRead{SentAt: r.now, Full: true, Changes: []topo.EndpointChange{shop1}})
	r.apply(PeerUp{Host: "front-2"})
	r.report(&wirepb.GateReport{Sequence: 1})
	r.endpoints(testEndpoint("shop-2", "shop"), testEndpoint("llm-1", "llm", topo.Holding{Model: "big"}))
	state, _ := find[SendState](r.report(&wirepb.GateReport{Sequence: 2}))
	told := map[string]bool{}
	for _, e := range state.State.GetEndpoints() {
		told[e.GetId()] = true
	}
	if !told["shop-2"] || !told["llm-1"] || told["shop-1"] {
		t.Errorf("told %v, want just those that were doubtful", told)
	}
	state, _ = find[SendState](r.report(&wirepb.GateReport{Sequence: 3}))
	if n := len(state.State.GetEndpoints()) + len(state.State.GetHoldings()); n != 0 {
		t.Errorf("%d accounts are told again", n)
	}
}

// BenchmarkStates measures what a leader's answers to 100 entries cost with 1,000
// endpoints that don't change.
func BenchmarkStates(b *testing.B) {
	r := leading(&testing.T{})
	for i := range 1000 {
		r.endpoints(testEndpoint(fmt.Sprint("llm-", i), "llm", topo.Holding{Model: "big"}))
	}
	for i := range 100 {
		r.apply(PeerUp{Host: fmt.Sprint("front-", i)})
	}
	r.all = nil
	b.ResetTimer()
	for i := range b.N {
		host := fmt.Sprint("front-", i%100)
		r.core.Apply(r.now, ReportReceived{Host: host, Report: &wirepb.GateReport{Sequence: uint64(i)}})
	}
}
