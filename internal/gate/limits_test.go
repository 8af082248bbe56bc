package gate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
	"dogwoodfold/pkg/fault"
)

const (
	limitStep   = 20 * time.Millisecond
	limitWindow = 4 * time.Second
	// limitRequests is the number of requests per second.
	limitRequests = 150.0
	// limitContact is the time from the first naming in which the fleet must have
	// learned of a limit.
	limitContact = 3 * time.Second
)

// limitSim sends requests to entries and answers them, in steps.
type limitSim struct {
	*entryFleet
	random *rand.Rand
	// limits are the limits that endpoints name, in requests per second.
	limits map[string]float64
	// arrivals are the times of requests by endpoint.
	arrivals map[string][]time.Time
	running  []limitedAttempt
	hosts    []string
	// drained are endpoints that get no requests.
	drained []string
	// sent, served and refused count the requests of clients.
	sent, served, refused int
}

type limitedAttempt struct {
	host   string
	send   Send
	sentAt time.Time
}

func newLimitSim(t *testing.T, seed uint64, limits map[string]float64) *limitSim {
	s := &limitSim{
		entryFleet: newEntryFleet(t), random: rand.New(rand.NewPCG(seed, 3)), limits: limits,
		arrivals: map[string][]time.Time{}, hosts: []string{"front-1", "front-2", "front-3"},
	}
	s.addShops()
	return s
}

// addShops adds plain endpoints, and drains the endpoints that get no requests.
func (s *limitSim) addShops() {
	for host := range s.cores {
		read := EndpointsRead{SentAt: s.now, Changes: []topo.EndpointChange{
			{ID: "shop-1", Endpoint: testEndpoint("shop-1", "shop")}, {ID: "shop-2", Endpoint: testEndpoint("shop-2", "shop")},
		}}
		for _, id := range s.drained {
			ep := versionedEngine(id, "v1")
			ep.Draining, ep.Sequence = true, 2
			read.Changes = append(read.Changes, topo.EndpointChange{ID: id, Endpoint: ep})
		}
		s.apply(host, read)
	}
}

// run lets time pass with requests at all entries.
func (s *limitSim) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(limitStep) {
		for _, host := range s.hosts {
			s.apply(host, ConfigRead{SentAt: s.now})
			s.apply(host, Tick{})
		}
		for range int(limitRequests*limitStep.Seconds() + s.random.Float64()) {
			s.calls++
			s.sent++
			s.apply(s.hosts[s.random.IntN(len(s.hosts))], RequestArrived{Call: s.calls, Request: &Request{
				ID: fmt.Sprint("call-", s.calls), Host: "h", Key: "k2", Model: "big", ArrivedAt: s.now,
				Path: []string{"/chat/1", "/notes/1", "/look/1", "/charge/1"}[s.random.IntN(4)],
			}})
		}
		s.collect()
		s.answer()
	}
}

// collect records the requests that entries have sent, and lets them read the lease.
func (s *limitSim) collect() {
	for _, host := range s.hosts {
		effects := s.effects[host]
		s.effects[host] = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case Send:
				s.arrivals[e.Endpoint] = append(s.arrivals[e.Endpoint], s.now)
				s.running = append(s.running, limitedAttempt{host: host, send: e, sentAt: s.now})
			case Refuse:
				s.refused++
			case ReadLease:
				s.apply(host, s.leaseRead())
			case AppendLease:
				if host == s.leader {
					continue // answered
				}
				if s.cores[s.leader] == nil && e.Offset == s.offset {
					s.follow(host, e)
					continue
				}
				s.apply(host, LeaseAppendEnded{Record: e.Record, Offset: e.Offset, Result: AppendConflict})
			}
		}
	}
}

// answer ends the attempts that are due. Some endpoints fail, and all name their limit
// while they have one.
func (s *limitSim) answer() {
	running := s.running
	s.running = nil
	for _, a := range running {
		if s.now.Sub(a.sentAt) < 60*time.Millisecond {
			s.running = append(s.running, a)
			continue
		}
		limit := s.limits[a.send.Endpoint]
		if limit > 0 {
			s.apply(a.host, LimitNamed{Endpoint: a.send.Endpoint, Incarnation: 1, PerSecond: limit})
		}
		result := Result{Outcome: OutcomeComplete, Unlimited: limit == 0}
		switch s.random.IntN(12) {
		case 0:
			result.Outcome, result.Reason = OutcomeFailed, ReasonStatus
		case 1:
			result.Outcome, result.Reason = OutcomeNotRun, ReasonRefused
		default:
			s.served++
		}
		s.apply(a.host, AttemptEnded{Call: a.send.Call, Result: result})
	}
}

// check checks the limits over all windows that end later than limitContact after a
// point in time.
func (s *limitSim) check(named time.Time) {
	s.t.Helper()
	for id, limit := range s.limits {
		allowed := int(1.5*limit*limitWindow.Seconds()) + 5
		arrivals := slices.DeleteFunc(slices.Clone(s.arrivals[id]), func(at time.Time) bool { return at.Before(named.Add(limitContact)) })
		for i := range arrivals {
			if i >= allowed && arrivals[i].Sub(arrivals[i-allowed]) < limitWindow {
				s.t.Errorf("%s got over %d requests in %v", id, allowed, limitWindow)
				break
			}
		}
	}
}

// used returns the fraction of a limit that was used since a point in time.
func (s *limitSim) used(id string, since time.Time) float64 {
	n := 0
	for _, at := range s.arrivals[id] {
		if at.After(since) {
			n++
		}
	}
	return float64(n) / s.limits[id] / s.now.Sub(since).Seconds()
}

// restart replaces the process of an entry that doesn't lead.
func (s *limitSim) restart(host string, incarnation uint64) {
	settings := testSettings(host)
	s.apply(s.leader, PeerDisconnected{Host: host})
	s.running = slices.DeleteFunc(s.running, func(a limitedAttempt) bool { return a.host == host })
	s.cores[host] = New(settings, lease.New(host, incarnation, s.lastRecord.PeerAddr, settings.Lease), s.random)
	s.readStore()
	s.addShops()
	s.apply(host, s.leaseRead())
	s.apply(s.leader, PeerConnected{Host: host})
	s.apply(host, LeaderConnected{Host: s.leader})
}

// Endpoints name limits: engines, whose requests the leader assigns, and a plain
// endpoint; requests fail and are repeated. The limits must be kept by all entries
// together while entries are cut off and restarted and the leader dies, and the
// endpoints must be used.
func TestLimitsAreKeptByTheFleet(t *testing.T) {
	served, servedWithout := 0, 0
	for seed := range uint64(20) {
		limits := map[string]float64{"llm-0": 2, "llm-1": 5.5, "shop-1": 3}
		s := newLimitSim(t, seed, limits)
		named := s.now
		s.run(8 * time.Second)
		for id := range limits {
			if used := s.used(id, named.Add(limitContact)); used < 0.5 {
				t.Errorf("seed %d: %.2f of the limit of %s used", seed, used, id)
			}
		}
		s.disturb()
		s.check(named)
		without := newLimitSim(t, seed, nil)
		without.drained = []string{"llm-0", "llm-1", "shop-1"}
		without.addShops()
		without.run(8 * time.Second)
		without.disturb()
		served, servedWithout = served+s.served, servedWithout+without.served
	}
	if served < servedWithout {
		t.Errorf("%d requests served, %d without the limited endpoints", served, servedWithout)
	}
}

// disturb restarts an entry, cuts another one off from the leader and ends the leader,
// with requests at all entries.
func (s *limitSim) disturb() {
	s.t.Helper()
	s.restart("front-3", 30)
	s.run(5 * time.Second)
	s.apply("front-2", LeaderDisconnected{Host: "front-1"})
	s.apply("front-1", PeerDisconnected{Host: "front-2"})
	s.run(5 * time.Second)
	s.apply("front-1", PeerConnected{Host: "front-2"})
	s.apply("front-2", LeaderConnected{Host: "front-1"})
	s.run(3 * time.Second)
	delete(s.cores, "front-1")
	s.hosts = []string{"front-2", "front-3"}
	s.running = slices.DeleteFunc(s.running, func(a limitedAttempt) bool { return a.host == "front-1" })
	s.run(12 * time.Second)
	if s.cores[s.leader] == nil {
		s.t.Fatal("no entry leads")
	}
}

// Every endpoint of a service names a limit: what is beyond it is refused at once, with
// the time until there is room.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	limits := map[string]float64{"shop-1": 2, "shop-2": 2, "llm-0": 2, "llm-1": 2, "llm-2": 2, "llm-3": 2}
	s := newLimitSim(t, 1, limits)
	named := s.now
	s.run(12 * time.Second)
	s.check(named)
	if waiting := len(s.cores["front-2"].parked); waiting > 10 {
		t.Errorf("%d requests wait for an endpoint", waiting)
	}
	for _, path := range []string{"/chat/1", "/charge/1"} {
		for range 10 {
			began := s.now
			_, err := s.try("front-2", path)
			if err == nil {
				continue
			}
			if fault.VerdictOf(err) != fault.NotRun || fault.RetryAfterOf(err) <= 0 || s.now.Sub(began) > 400*time.Millisecond {
				t.Errorf("%s: refused after %v with %v, retry after %v", path, s.now.Sub(began), err, fault.RetryAfterOf(err))
			}
		}
	}
}

// An endpoint names no limit any more: all entries use it again. An answer to a request
// that was sent before it named the limit says nothing.
func TestLimitEndsWhenItIsNoLongerNamed(t *testing.T) {
	f := newEntryFleet(t)
	call, _ := f.request("front-2", &Request{})
	f.apply("front-2", AttemptEnded{Call: call, Result: Result{Outcome: OutcomeComplete}})
	early, sent := f.request("front-2", &Request{})
	f.now = f.now.Add(100 * time.Millisecond)
	f.apply("front-3", LimitNamed{Endpoint: sent.Endpoint, Incarnation: 1, PerSecond: 3})
	f.tick()
	limited := func(host string) bool { return f.cores[host].endpoints[sent.Endpoint].limit.limited() }
	f.apply("front-2", AttemptEnded{Call: early, Result: Result{Outcome: OutcomeComplete, Unlimited: true}})
	for host := range f.cores {
		if !limited(host) {
			t.Errorf("%s doesn't know the limit, or dropped it for an older answer", host)
		}
	}
	core := f.cores["front-1"]
	core.recordUnlimited(f.now, core.endpoints[sent.Endpoint], f.now.Add(-time.Millisecond))
	f.tick()
	for host := range f.cores {
		if limited(host) {
			t.Errorf("%s still keeps to a limit that is no longer named", host)
		}
	}
}

// wantLimit checks that all entries know an endpoint's limit.
func (f *entryFleet) wantLimit(endpoint string, perSecond float64) {
	f.t.Helper()
	for host, core := range f.cores {
		if got := core.endpoints[endpoint].limit.perSecond; got != perSecond {
			f.t.Errorf("%s knows a limit of %v, want %v", host, got, perSecond)
		}
	}
}

// The leader to which an entry told a limit dies. Its successor must learn of the limit
// and must not let through at once what the dead one let through just before.
func TestLimitSurvivesChangeOfLeader(t *testing.T) {
	f := newEntryFleet(t)
	f.apply("front-1", LimitNamed{Endpoint: "llm-0", Incarnation: 1, PerSecond: 2})
	f.tick()
	f.replaceLeader("front-3")
	f.wantLimit("llm-0", 2)
}

// The record of a limited endpoint lapses and is back: it has the limit that it had.
func TestLimitSurvivesLapseOfTheRecord(t *testing.T) {
	f := newEntryFleet(t)
	f.apply("front-2", LimitNamed{Endpoint: "llm-0", Incarnation: 1, PerSecond: 2})
	f.tick()
	back := versionedEngine("llm-0", "v1")
	back.Sequence = 2
	for _, ep := range []*topo.Endpoint{nil, back} {
		for host := range f.cores {
			f.apply(host, EndpointsRead{SentAt: f.now, Changes: []topo.EndpointChange{{ID: "llm-0", Endpoint: ep}}})
		}
		f.tick()
	}
	f.wantLimit("llm-0", 2)
}

// An entry tells the leader of a limit before the leader knows the endpoint.
func TestLimitOfUnknownEndpointIsKept(t *testing.T) {
	f := newEntryFleet(t)
	added := EndpointsRead{SentAt: f.now, Changes: []topo.EndpointChange{{ID: "llm-9", Endpoint: versionedEngine("llm-9", "v1")}}}
	f.apply("front-2", added)
	f.apply("front-2", LimitNamed{Endpoint: "llm-9", Incarnation: 1, PerSecond: 2})
	f.tick()
	f.apply("front-1", added)
	f.tick()
	f.wantLimit("llm-9", 2)
}

// A new incarnation under the same ID has named nothing.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	f := newEntryFleet(t)
	f.apply("front-2", LimitNamed{Endpoint: "llm-0", Incarnation: 1, PerSecond: 2})
	f.tick()
	next := versionedEngine("llm-0", "v1")
	next.Incarnation = 2
	for host := range f.cores {
		f.apply(host, EndpointsRead{SentAt: f.now, Changes: []topo.EndpointChange{{ID: next.ID, Endpoint: next}}})
	}
	f.apply("front-2", LimitNamed{Endpoint: "llm-0", Incarnation: 1, PerSecond: 2})
	f.tick()
	for host, core := range f.cores {
		if core.endpoints["llm-0"].limit.limited() {
			t.Errorf("%s limits the new incarnation", host)
		}
	}
}

// A request has run at one endpoint, and the other one can't get it: the caller must not
// be told that it hasn't run.
func TestRefusalAfterAnAttemptThatRanIsTrue(t *testing.T) {
	for _, result := range []Result{
		{Outcome: OutcomeFailed, Reason: ReasonStatus, Status: 500},
		{Outcome: OutcomeMayHaveRun, Reason: ReasonReset},
	} {
		for _, blocked := range []func(h *harness, ep *endpoint){
			func(h *harness, ep *endpoint) { h.apply(LimitNamed{Endpoint: ep.ID, Incarnation: 1, PerSecond: 0.5}) },
			func(h *harness, ep *endpoint) { ep.stats.RecordRetryAfter(h.now, 5*time.Second) },
		} {
			h := newServingHarness(t)
			id, effects := h.arrive("/look/1", "k2")
			sent := h.mustSend(effects)
			for _, ep := range h.core.endpoints {
				if ep.Service == "shop" && ep.ID != sent.Endpoint {
					blocked(h, ep)
				}
			}
			h.advance(200 * time.Millisecond)
			effects = h.apply(AttemptEnded{Call: id, Result: result})
			if _, forwards := findEffect[ForwardFailure](effects); forwards != (result.Outcome == OutcomeFailed) {
				t.Errorf("%v: effects %+v", result.Outcome, effects)
			}
			if refuse, refused := findEffect[Refuse](effects); refused && fault.VerdictOf(refuse.Err) == fault.NotRun {
				t.Errorf("%v: refused as not run: %v", result.Outcome, refuse.Err)
			}
		}
	}
}
