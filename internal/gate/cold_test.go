package gate

import (
	"maps"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/topo"
)

const (
	coldPerSecond = 12.0
	coldStart     = 3 * time.Second
	// maxColdSecond is what a cold endpoint may get within any second: 1.5 times coldPerSecond
	// and 5 more.
	maxColdSecond = int(coldPerSecond*1.5) + 5
)

// coldConfig is a newer configuration that limits cold endpoints.
func coldConfig() *topo.Config {
	config := testConfig()
	config.Version = 2
	for _, service := range config.Services {
		service.ColdPerSecond = coldPerSecond
		service.ColdStart = coldStart
	}
	return config
}

// newColdSim returns entries with plain endpoints in zone b and engines that have no limits.
func newColdSim(t *testing.T, seed uint64) *limitSim {
	s := newLimitSim(t, seed, nil)
	for host := range s.cores {
		s.apply(host, ConfigRead{Config: coldConfig(), SentAt: s.now})
		s.apply(host, newestZones(s.now, 5))
	}
	return s
}

// chill makes plain endpoints cold by records with a sequence number. All hosts read them.
func (s *limitSim) chill(sequence int64, left time.Duration, hosts ...string) {
	for _, host := range hosts {
		read := EndpointsRead{SentAt: s.now}
		for _, id := range []string{"shop-1", "shop-2"} {
			ep := zonedEndpoint(id, "shop", "b")
			ep.Sequence, ep.ColdRemaining = sequence, left
			read.Changes = append(read.Changes, topo.EndpointChange{ID: id, Endpoint: ep})
		}
		s.apply(host, read)
	}
}

// checkCold checks that plain endpoints got no more than a cold one takes in any second between
// two times, and at least the given number of requests per second.
func (s *limitSim) checkCold(what string, from, until time.Time, atLeast float64) {
	s.t.Helper()
	for _, id := range []string{"shop-1", "shop-2"} {
		arrivals := slices.DeleteFunc(slices.Clone(s.arrivals[id]), func(at time.Time) bool {
			return at.Before(from) || !at.Before(until)
		})
		if float64(len(arrivals)) < atLeast*until.Sub(from).Seconds() {
			s.t.Errorf("%s: cold %s got only %d requests in %v", what, id, len(arrivals), until.Sub(from))
		}
		for i := maxColdSecond; i < len(arrivals); i++ {
			if arrivals[i].Sub(arrivals[i-maxColdSecond]) < time.Second {
				s.t.Errorf("%s: cold %s got over %d requests in a second", what, id, maxColdSecond)
				break
			}
		}
	}
}

// checkWarm checks that plain endpoints get more than cold ones in the given second.
func (s *limitSim) checkWarm(what string) {
	s.t.Helper()
	from := s.now
	s.run(time.Second)
	n := 0
	for _, id := range []string{"shop-1", "shop-2"} {
		for _, at := range s.arrivals[id] {
			if !at.Before(from) {
				n++
			}
		}
	}
	if n <= 2*maxColdSecond {
		s.t.Errorf("%s: warm endpoints got only %d requests in a second", what, n)
	}
}

// Guards against cold endpoints that crash since they get more than they take: just after
// their start, when they become cold again, while an entry is cut off and when the leader dies
// meanwhile; and against endpoints that stay limited once they are warm.
func TestColdEndpointsAreNotOverloaded(t *testing.T) {
	for seed := range uint64(10) {
		s := newColdSim(t, seed)
		s.run(time.Second)
		for i, disturb := range []func(){
			func() {},
			func() {
				s.apply("front-2", LeaderDisconnected{Host: "front-1"})
				s.apply("front-1", PeerDisconnected{Host: "front-2"})
			},
			func() {
				s.apply("front-1", PeerConnected{Host: "front-2"})
				s.apply("front-2", LeaderConnected{Host: "front-1"})
				s.run(time.Second)
			},
		} {
			disturb()
			began := s.now
			s.chill(int64(10+i), coldStart, s.hosts...)
			s.run(coldStart)
			s.checkCold("cold", began, s.now, coldPerSecond/4)
			s.checkWarm("cold")
		}
		began := s.now
		s.chill(20, coldStart, s.hosts...)
		s.run(time.Second)
		delete(s.cores, "front-1")
		s.hosts = []string{"front-2", "front-3"}
		s.running = nil
		s.run(coldStart - time.Second)
		s.checkCold("leader ended", began, s.now, 1)
	}
}

// Pattern: a whole zone comes back cold after its evacuation, and the registry tells of it
// later than the store of the evacuation's end.
func TestZoneThatComesBackColdIsNotOverloaded(t *testing.T) {
	s := newColdSim(t, 3)
	s.chill(10, 0, s.hosts...)
	for _, host := range s.hosts {
		s.apply(host, changedZone(s.now, 5, "b", true))
	}
	s.run(2 * time.Second)
	began := s.now
	for _, host := range s.hosts {
		s.apply(host, changedZone(s.now, 6, "b", false))
	}
	s.run(600 * time.Millisecond)
	s.chill(11, coldStart-600*time.Millisecond, s.hosts...)
	s.run(coldStart - 600*time.Millisecond)
	s.checkCold("back", began, s.now, coldPerSecond/4)
	s.checkWarm("back")
}

// Guards against followers that aren't told of an endpoint that has become cold again, and
// against copies of a record that prolong the cold time.
func TestEntriesLearnOfColdEndpointsFromTheLeader(t *testing.T) {
	s := newColdSim(t, 1)
	s.tick()
	s.chill(10, coldStart, "front-1")
	for _, host := range s.hosts {
		if !s.cores[host].endpoints["shop-1"].limit.limited() {
			t.Errorf("%s doesn't limit a cold endpoint", host)
		}
	}
	for range 5 {
		s.run(time.Second)
		s.chill(10, coldStart, s.hosts...) // the same record again
	}
	if n := s.cores["front-2"].status(s.now).Cold; n > 0 {
		t.Errorf("%d endpoints are still cold", n)
	}
	s.apply("front-1", EngineProbed{Run: poison.Run{Engine: "shop-1", Incarnation: 1}, Running: true, Cold: coldStart, ColdKnown: true})
	s.tick()
	for _, host := range s.hosts {
		if s.cores[host].status(s.now).Cold != 1 {
			t.Errorf("%s doesn't know of an endpoint that said in a health check that it is cold", host)
		}
	}
}

// Guards against limits in deployments that don't limit cold endpoints, and against a named
// limit that is exceeded or lost since the endpoint is cold.
func TestColdLimitAppliesWhereConfigured(t *testing.T) {
	h := newServingHarness(t)
	cold := testEndpoint("shop-1", "shop")
	cold.Sequence, cold.ColdRemaining = 2, coldStart
	h.endpoints(cold)
	l := &h.core.endpoints["shop-1"].limit
	if l.limited() {
		t.Error("a cold endpoint is limited though the service doesn't say so")
	}
	h.apply(ConfigRead{Config: coldConfig(), SentAt: h.now})
	for _, named := range []float64{5, 50} {
		h.advance(time.Millisecond)
		h.apply(LimitNamed{Endpoint: "shop-1", Incarnation: 1, PerSecond: named})
		if want := min(named, coldPerSecond); l.perSecondNow() != want {
			t.Errorf("limit %v while %v is named, want %v", l.perSecondNow(), named, want)
		}
	}
	h.advance(coldStart)
	h.apply(Tick{})
	if l.perSecondNow() != 50 || len(h.core.coldEndpoints) > 0 {
		t.Errorf("limit %v of a warm endpoint that names 50; cold: %v", l.perSecondNow(), maps.Keys(h.core.coldEndpoints))
	}
}
