package gate

import (
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/topo"
)

// zoneB moves some endpoints of a limitSim to zone b and returns their IDs.
func (s *limitSim) zoneB() []string {
	ids := []string{"llm-1", "llm-3", "shop-2"}
	for _, host := range s.hosts {
		read := EndpointsRead{SentAt: s.now}
		for _, id := range ids {
			ep := *s.cores[host].endpoints[id].Endpoint
			ep.Zone, ep.Sequence = "b", 5
			read.Changes = append(read.Changes, topo.EndpointChange{ID: id, Endpoint: &ep})
		}
		s.apply(host, read)
	}
	return ids
}

// arrived returns how many requests endpoints got since a time.
func (s *limitSim) arrived(ids []string, since time.Time) int {
	n := 0
	for _, id := range ids {
		n += len(slices.DeleteFunc(slices.Clone(s.arrivals[id]), func(at time.Time) bool { return at.Before(since) }))
	}
	return n
}

// Pattern: a zone is evacuated under load, which only the leader reads; requests fail and are
// repeated, an entry loses its leader for a while and the leader dies during the evacuation.
// The zone must get nothing until the next leader reads that it is given back.
func TestEvacuationHoldsThroughLossOfLinkAndLeader(t *testing.T) {
	for seed := range uint64(8) {
		s := newLimitSim(t, seed, nil)
		inZone := s.zoneB()
		s.apply("front-1", newestZones(s.now, 5))
		s.run(2 * time.Second)
		s.collect() // retries that were sent before the evacuation
		s.now = s.now.Add(limitStep)
		before := s.arrived(inZone, time.Time{})
		evacuated := s.now
		s.apply("front-1", changedZone(s.now, 5, "b", true))
		s.run(time.Second)
		s.apply("front-2", LeaderDisconnected{Host: "front-1"})
		s.apply("front-1", PeerDisconnected{Host: "front-2"})
		s.run(5 * time.Second)
		s.apply("front-1", PeerConnected{Host: "front-2"})
		s.apply("front-2", LeaderConnected{Host: "front-1"})
		s.run(2 * time.Second)
		delete(s.cores, "front-1")
		s.hosts = []string{"front-2", "front-3"}
		s.running = slices.DeleteFunc(s.running, func(a limitedAttempt) bool { return a.host == "front-1" })
		s.run(10 * time.Second)
		if n := s.arrived(inZone, evacuated); n > 0 {
			t.Errorf("seed %d: the evacuated zone got %d requests", seed, n)
		}
		returned := s.now
		s.apply(s.leader, changedZone(s.now, 6, "b", false))
		s.run(2 * time.Second)
		if before == 0 || s.arrived(inZone, returned) == 0 {
			t.Errorf("seed %d: the zone got %d requests before, %d afterwards", seed, before, s.arrived(inZone, returned))
		}
	}
}
