package relay

import (
	"testing"
	"time"
)

const isolationLimit = 15 * time.Second

// linkedRelay returns a relay that runs version 3 and has asked two peers.
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
		t.Error("synced before any peer has answered")
	}
	r.HandleStatus(now, "a", Status{Accepted: 3, Next: 4, Echo: 1})
	if r.SyncedWithPeers(now) {
		t.Error("synced before the other peer had time to answer")
	}
	later := now.Add(peerSyncWait)
	if !r.SyncedWithPeers(later) {
		t.Error("not synced with the newest version of the peers")
	}
	r.HandleStatus(later, "b", Status{Accepted: 9, Next: 10, Echo: 1})
	if r.SyncedWithPeers(later) {
		t.Error("synced while a peer is ahead")
	}
	r.SetApplied(later, 9, 10)
	if !r.SyncedWithPeers(later) {
		t.Error("not synced after applying the peer's version")
	}
}

func TestPullRetriesWithAnotherPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	r := linkedRelay(now)
	for _, name := range []string{"a", "b"} {
		r.HandleStatus(now, name, Status{Accepted: 9, Next: 10, Echo: 1})
	}
	if _, ok := r.NextPull(now); ok {
		t.Error("pulled before the grace period for reading the log has passed")
	}
	now = now.Add(pullGracePeriod)
	first, ok := r.NextPull(now)
	if !ok {
		t.Fatal("no pull after the grace period")
	}
	if _, ok := r.NextPull(now); ok {
		t.Error("pulled again before the first pull timed out")
	}
	second, ok := r.NextPull(now.Add(pullTimeout))
	if !ok || first == second {
		t.Errorf("pulled from %q, then from %q, want the other peer", first, second)
	}
}

func TestPeerClaimingRejectedRecordIsNotAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(isolationLimit, 0)
	r.SetPeers(now, []string{"a"})
	r.SetApplied(now, 3, 20)
	r.HandleStatus(now, "a", Status{Accepted: 9, Next: 10})
	if _, ok := r.NextPull(now.Add(time.Second)); ok {
		t.Error("pulls a version that this entry has read from the log and rejected")
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
		t.Error("not isolated with a version known to be outdated")
	}
}
