package relay

import (
	"testing"
	"time"
)

const limit = 15 * time.Second

// linkedRelay runs version 3 and has asked two peers.
func linkedRelay(now time.Time) *Relay {
	r := New(limit, 0)
	r.Linked(now, []string{"a", "b"})
	r.Folded(now, 3, 4)
	r.Targets(now)
	return r
}

func TestGatheredNeedsTheNewestVersionOfThePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	if r.Gathered(now.Add(time.Minute)) {
		t.Error("gathered before any peer has answered")
	}
	r.Heard(now, "a", Status{Accepted: 3, Next: 4, Echo: 1})
	if r.Gathered(now) {
		t.Error("gathered before the other peer had time to answer")
	}
	later := now.Add(gatherTime)
	if !r.Gathered(later) {
		t.Error("not gathered with the newest version of the peers")
	}
	r.Heard(later, "b", Status{Accepted: 9, Next: 10, Echo: 1})
	if r.Gathered(later) {
		t.Error("gathered while a peer is ahead")
	}
	r.Folded(later, 9, 10)
	if !r.Gathered(later) {
		t.Error("not gathered after taking the version over")
	}
}

func TestPullTurnsToAnotherPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	for _, name := range []string{"a", "b"} {
		r.Heard(now, name, Status{Accepted: 9, Next: 10, Echo: 1})
	}
	if _, ok := r.Pull(now); ok {
		t.Error("pulled before the log had its chance")
	}
	now = now.Add(pullDelay)
	first, ok := r.Pull(now)
	if !ok {
		t.Fatal("nobody asked")
	}
	if _, ok := r.Pull(now); ok {
		t.Error("asked twice at once")
	}
	second, ok := r.Pull(now.Add(askTimeout))
	if !ok || first == second {
		t.Errorf("asked %s, then %s, want the other one", first, second)
	}
}

func TestPeerThatContradictsTheLogIsNotAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(limit, 0)
	r.Linked(now, []string{"a"})
	r.Folded(now, 3, 20)
	r.Heard(now, "a", Status{Accepted: 9, Next: 10})
	if _, ok := r.Pull(now.Add(time.Second)); ok {
		t.Error("asks for a version that the own fold has refused")
	}
}

func TestEntryThatCannotTakeOverStopsAdmitting(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	r.Read(now)
	r.Heard(now, "a", Status{Accepted: 9, Next: 10, Echo: 1})
	for i := range 20 {
		now = now.Add(time.Second)
		r.Targets(now)
		r.Heard(now, "a", Status{Accepted: 9, Next: 10, Informed: true, Echo: uint64(i + 2)})
	}
	if !r.Isolated(now) {
		t.Error("admits with a version that it knows to be old")
	}
}
