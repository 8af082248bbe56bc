package relay

import (
	"testing"
	"time"
)

const isolationLimit = 15 * time.Second

// linkedRelay runs version 3 and has asked two peers.
func linkedRelay(now time.Time) *Relay {
	r := New(isolationLimit, 0)
	r.SetPeers(now, []string{"a", "b"})
	r.SetApplied(now, 3, 4)
	r.StartRound(now)
	return r
}

func TestSyncedWithPeersRequiresNewestVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	if r.SyncedWithPeers(now.Add(time.Minute)) {
		t.Error("gathered before any peer has answered")
	}
	r.HandleStatus(now, "a", Status{Accepted: 3, Next: 4, Echo: 1})
	if r.SyncedWithPeers(now) {
		t.Error("gathered before the other peer had time to answer")
	}
	later := now.Add(peerSyncWait)
	if !r.SyncedWithPeers(later) {
		t.Error("not gathered with the newest version of the peers")
	}
	r.HandleStatus(later, "b", Status{Accepted: 9, Next: 10, Echo: 1})
	if r.SyncedWithPeers(later) {
		t.Error("gathered while a peer is ahead")
	}
	r.SetApplied(later, 9, 10)
	if !r.SyncedWithPeers(later) {
		t.Error("not gathered after taking the version over")
	}
}

func TestPullRetriesWithAnotherPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	for _, name := range []string{"a", "b"} {
		r.HandleStatus(now, name, Status{Accepted: 9, Next: 10, Echo: 1})
	}
	if _, ok := r.NextPull(now); ok {
		t.Error("pulled before the log had its chance")
	}
	now = now.Add(pullGracePeriod)
	first, ok := r.NextPull(now)
	if !ok {
		t.Fatal("nobody asked")
	}
	if _, ok := r.NextPull(now); ok {
		t.Error("asked twice at once")
	}
	second, ok := r.NextPull(now.Add(pullTimeout))
	if !ok || first == second {
		t.Errorf("asked %s, then %s, want the other one", first, second)
	}
}

func TestPeerClaimingRejectedRecordIsNotAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(isolationLimit, 0)
	r.SetPeers(now, []string{"a"})
	r.SetApplied(now, 3, 20)
	r.HandleStatus(now, "a", Status{Accepted: 9, Next: 10})
	if _, ok := r.NextPull(now.Add(time.Second)); ok {
		t.Error("asks for a version that the own fold has refused")
	}
}

func TestIsolatedWhenNewerVersionCannotBeApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	r.MarkCurrent(now)
	r.HandleStatus(now, "a", Status{Accepted: 9, Next: 10, Echo: 1})
	for i := range 20 {
		now = now.Add(time.Second)
		r.StartRound(now)
		r.HandleStatus(now, "a", Status{Accepted: 9, Next: 10, LogEndKnown: true, Echo: uint64(i + 2)})
	}
	if !r.Isolated(now) {
		t.Error("admits with a version that it knows to be old")
	}
}
