package gate

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// endLeader ends the entry that led while the store is down, and with it those given.
func (f *plainFleet) endLeader(others ...string) {
	f.t.Helper()
	f.loseLeader()
	ended := append(others, "front-1")
	for _, host := range ended {
		delete(f.cores, host)
	}
	for _, host := range slices.Sorted(maps.Keys(f.cores)) {
		for _, gone := range ended {
			f.apply(host, LeaderDisconnected{Host: gone})
			f.apply(host, PeerDisconnected{Host: gone})
		}
	}
}

// awaitCrashRelay lets so much time pass that all entries follow a crash relay.
func (f *plainFleet) awaitCrashRelay() { f.pass(leaderChangeTime + 2*crashRelayTimeout) }

// Guards against crashes that don't add up if the entry that would pass them on has ended
// beside the one that led.
func TestCrashesAddUpWithoutLeaderAndFirstRelay(t *testing.T) {
	f := newPlainFleetOf(t, 8)
	f.endLeader("front-2")
	f.wantCrashesAddUp()
}

// Guards against the same if the entry that passes crashes on ends later.
func TestCrashesAddUpAfterEndOfCrashRelay(t *testing.T) {
	f := newPlainFleetOf(t, 8)
	f.endLeader()
	f.awaitCrashRelay()
	delete(f.cores, "front-2")
	for host := range f.cores {
		f.apply(host, LeaderDisconnected{Host: "front-2"})
	}
	f.wantCrashesAddUp()
}

// Guards against entries that follow each other in a circle, and against a crash relay that
// is taken for a leader.
func TestCrashRelayDoesNotLead(t *testing.T) {
	f := newPlainFleetOf(t, 8)
	f.endLeader()
	f.awaitCrashRelay()
	for _, host := range slices.Sorted(maps.Keys(f.cores)) {
		core := f.cores[host]
		if core.isLeader(f.now) || core.leaderAnswers(f.now) || core.standingShare(f.now) > 0 {
			t.Errorf("%s leads, hears a leader or has a share", host)
		}
		if leader := core.status(f.now).Leader; leader != "" {
			t.Errorf("%s tells that %s leads", host, leader)
		}
		want := "front-2"
		if host == want {
			want = ""
		}
		if got := f.followed[host]; got != want {
			t.Errorf("%s follows %q, want %q", host, got, want)
		}
		if _, ok := findEffect[SendOrder](f.effects[host]); ok {
			t.Errorf("%s issues orders", host)
		}
	}
}

// Guards against entries that go on to follow the crash relay once somebody leads, be it
// the crash relay or another one.
func TestNextLeaderIsFollowedAfterCrashRelay(t *testing.T) {
	for _, next := range []string{"front-2", "front-5"} {
		f := newPlainFleetOf(t, 8)
		f.endLeader()
		f.awaitCrashRelay()
		f.storeDown = false
		f.lead(next)
		f.tick()
		for host, core := range f.cores {
			if host != next && (core.leaderLink.leader() != next || !core.leaderStateCurrent(f.now)) {
				t.Errorf("%s follows %+v, want the leader %s", host, core.leaderLink, next)
			}
		}
	}
}

// Guards against dialing the holder of an ended term again with each read of the lease, in
// place of the crash relay, while nothing can be appended to the lease.
func TestEndedTermIsNotFollowedAgain(t *testing.T) {
	f := newPlainFleetOf(t, 4)
	f.endLeader()
	f.awaitCrashRelay()
	for _, host := range slices.Sorted(maps.Keys(f.cores)) {
		f.effects[host] = nil
		for _, effect := range f.cores[host].Apply(f.now, f.leaseRead()) {
			if dialed, ok := effect.(DialLeader); ok {
				t.Errorf("%s dials %q", host, dialed.Host)
			}
		}
	}
}

// Guards against costs that grow with the square of the fleet: all entries are told of a few
// others only, and each once.
func TestFewCrashRelaysAreTold(t *testing.T) {
	const entries = 40
	f := newEntryFleetOf(t, entries)
	f.tick()
	for host, core := range f.cores {
		if got := len(core.crashRelays.list); got != maxCrashRelays {
			t.Errorf("%s knows %d entries, want %d", host, got, maxCrashRelays)
		}
		if host == f.leader {
			continue
		}
		peer := f.cores[f.leader].peers[host]
		if told := f.cores[f.leader].drainCrashRelays(peer); len(told) > 0 {
			t.Errorf("%s is told of %v once more", host, told)
		}
	}
}

// Guards against a sound suspect that is refused, or tried by several entries at a time,
// while the crash relay tries to reach one before it.
func TestTrialsGoOnAtSecondCrashRelay(t *testing.T) {
	for first, second := range map[string]string{"front-3": "front-4", "front-4": "front-3"} {
		f := newPlainFleetOf(t, 4)
		f.endLeader("front-2")
		f.awaitCrashRelay()
		for _, host := range []string{"front-3", "front-4"} {
			f.crashPlain(host, f.mustTryPlain(host, "/charge/1", soundContent))
		}
		trial := f.mustTryPlain(first, "/charge/1", soundContent)
		if sent, err := f.tryPlain(second, "/charge/1", soundContent); err == nil {
			t.Errorf("%s sends %v while the suspect is on trial at %s", second, sent.Call, first)
		}
		f.answer(first, trial)
		f.pass(time.Second)
		f.answer(second, f.mustTryPlain(second, "/charge/1", soundContent))
	}
}
