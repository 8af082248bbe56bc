package gate

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/topo"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// connect opens a session to a leader, and tries again until that succeeds or another
// leader is dialed.
func (e *simEntry) connect(target DialLeader, after time.Duration) {
	if target.Host == "" {
		return
	}
	e.whileRunning(after, func() {
		leader := e.sim.entry(target.Host)
		switch {
		case e.dialed != target || e.toLeader != nil && !e.toLeader.closed:
			return
		case leader.core == nil || e.sim.now.Before(leader.pausedUntil) || e.isolated() || leader.isolated():
			e.connect(target, e.sim.between(100*time.Millisecond, 300*time.Millisecond))
			return
		}
		leader.fromPeers[e.host].close()
		e.toLeader = &simSession{
			dialer: e,
			leader: leader,
		}
		leader.fromPeers[e.host] = e.toLeader
		leader.apply(PeerConnected{Host: e.host})
		e.post(e.sim.delay(), LeaderConnected{Host: target.Host})
	})
}

func (s *fleetSim) entry(host string) *simEntry {
	for _, e := range s.entries {
		if e.host == host {
			return e
		}
	}
	return nil
}

// send sends a message from one end of the session to the other.
func (x *simSession) send(from *simEntry, event Event) {
	if x == nil || x.closed {
		return
	}
	to, direction := x.leader, 1
	if from == x.leader {
		to, direction = x.dialer, 0
	}
	s := from.sim
	sent := latest(s.now, latest(from.isolatedUntil, to.isolatedUntil)) // by a repetition
	at := latest(sent.Add(s.delay()), x.lastArrival[direction])
	x.lastArrival[direction] = at
	to.whileRunning(at.Sub(s.now), func() {
		if !x.closed {
			to.apply(event)
		}
	})
}

// close ends the session. Both ends learn of it, and the dialer dials again.
func (x *simSession) close() {
	if x == nil || x.closed {
		return
	}
	x.closed = true
	dialer, leader := x.dialer, x.leader
	s := dialer.sim
	if leader.core != nil {
		leader.whileRunning(s.delay(), func() {
			if leader.fromPeers[dialer.host] == x {
				leader.apply(PeerDisconnected{Host: dialer.host})
			}
		})
	}
	if dialer.core != nil && dialer.dialed.Host == leader.host {
		dialer.post(s.delay(), LeaderDisconnected{Host: leader.host})
		dialer.connect(dialer.dialed, s.between(100*time.Millisecond, 300*time.Millisecond))
	}
}

// setWatch starts or stops the entry's reads of the store.
func (e *simEntry) setWatch(w WatchStore) {
	e.watch = w
	e.watchNumber++
	number := e.watchNumber
	configInterval, registryInterval := 900*time.Millisecond, 800*time.Millisecond
	if w.ForPeers {
		configInterval, registryInterval = 350*time.Millisecond, 450*time.Millisecond
	}
	if w.Config {
		e.every(number, configInterval, func() { e.readConfig(func() {}) })
	}
	if w.Registry {
		e.every(number, registryInterval, e.readRegistry)
	}
}

// every repeats a read of the store until the entry's watch changes.
func (e *simEntry) every(number int, interval time.Duration, read func()) {
	e.whileRunning(e.sim.delay(), func() {
		if e.watchNumber != number {
			return
		}
		read()
		e.whileRunning(e.sim.between(interval/2, interval*3/2), func() { e.every(number, interval, read) })
	})
}

func (e *simEntry) readConfig(then func()) {
	if e.isolated() {
		e.post(e.sim.delay(), ConfigFetchEnded{})
		return
	}
	sentAt := e.sim.now
	e.whileRunning(e.sim.delay(), func() {
		e.apply(ConfigRead{Config: e.sim.config, SentAt: sentAt})
		then()
	})
}

// readRegistry reads all records. Those of engines that ended stay for three
// heartbeats.
func (e *simEntry) readRegistry() {
	if e.isolated() {
		e.post(e.sim.delay(), RegistryReadFailed{})
		return
	}
	read := EndpointsRead{
		Full:   true,
		SentAt: e.sim.now,
	}
	for _, id := range sortedKeys(e.sim.registry) {
		record := e.sim.registry[id]
		if e.sim.now.Sub(record.at) > 3*heartbeatInterval {
			continue
		}
		ep := record.endpoint
		read.Changes = append(read.Changes, topo.EndpointChange{
			ID:       id,
			Endpoint: &ep,
		})
	}
	e.post(e.sim.delay(), read)
}

func (e *simEntry) readLease() {
	s := e.sim
	sentAt := s.now
	if e.isolated() {
		e.post(s.delay(), LeaseRead{
			SentAt: sentAt,
			Err:    errStoreDown,
		})
		return
	}
	e.whileRunning(s.delay(), func() {
		e.post(s.delay(), LeaseRead{
			Read: lease.Read{
				Record: s.lastRecord,
				Offset: s.leaseEnd - 1,
				Exists: s.leaseEnd > 0,
				End:    s.leaseEnd,
			},
			SentAt: sentAt,
		})
	})
}

// appendLease appends a record if the lease log ends where the entry expects.
func (e *simEntry) appendLease(a AppendLease) {
	ended := LeaseAppendEnded{
		Record: a.Record,
		Offset: a.Offset,
		Result: AppendConflict,
	}
	if e.isolated() {
		ended.Result = AppendUnknown
		e.post(e.sim.delay(), ended)
		return
	}
	if a.Offset == e.sim.leaseEnd {
		ended.Result = AppendDone
		e.sim.lastRecord = a.Record
		e.sim.leaseEnd++
	}
	e.post(e.sim.delay(), ended)
}

// One of four entries can't reach any engine for 2 s. The other three can: within 5 s at
// least three quarters as many streams must begin as without.
func TestOneEntrysLostLinksDoNotStopTheOthers(t *testing.T) {
	count := func(cut bool) int {
		begun := 0
		for seed := range uint64(6) {
			s := newFleetSim(&plainSite, seed)
			s.run(simWarmUp)
			s.traffic(35, 40*time.Second)
			s.run(10 * time.Second)
			if cut {
				for _, e := range s.engines {
					s.cutLink(s.entries[3], e, 2*time.Second)
				}
			}
			before := s.result.begun
			s.run(5 * time.Second)
			begun += s.result.begun - before
		}
		return begun
	}
	whole, part := count(false), count(true)
	t.Logf("%d streams began without the cut, %d with it", whole, part)
	if part*4 < whole*3 {
		t.Errorf("%d streams began, want at least three quarters of %d", part, whole)
	}
}
