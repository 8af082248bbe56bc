package gate

import (
	"testing"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/wire/wirepb"
)

// renewalAge is the age of the leader's last renewal when it writes a state.
const renewalAge = 300 * time.Millisecond

// follow delivers, for a time, the ticks of a follower and the states of a leader that
// renews its term. It returns how often the follower called the store for the lease.
func (h *harness) follow(d time.Duration) (calls int) {
	for end := h.now.Add(d); h.now.Before(end); h.advance(50 * time.Millisecond) {
		for _, e := range h.apply(Tick{}) {
			switch e.(type) {
			case AppendLease, ReadLease:
				calls++
			case SendReport:
				h.receiveState(&wirepb.GateState{
					AgeUs:         uint64(renewalAge.Microseconds()),
					ConfigVersion: 1,
				})
			}
		}
	}
	return calls
}

// Pattern: hundreds of entries follow one leader, which renews its term. The store must
// not be called by each of them.
func TestFollowersOfRenewedLeaderLeaveTheStoreAlone(t *testing.T) {
	h := newFollowerHarness(t)
	if calls := h.follow(30 * time.Second); calls > 0 {
		t.Errorf("a follower called the store %d times in 30 s for a lease that its leader holds", calls)
	}
}

// The leader falls silent: its followers must still read the lease and take over once the
// term is over.
func TestFollowerTakesOverFromSilentLeader(t *testing.T) {
	h := newFollowerHarness(t)
	h.follow(10 * time.Second)
	silentAt := h.now
	record, _ := h.core.lease.Current()
	for h.now.Sub(silentAt) < 8*time.Second {
		for _, e := range h.apply(Tick{}) {
			switch e.(type) {
			case ReadLease:
				h.apply(LeaseRead{Read: lease.Read{Record: record, End: 1, Exists: true}, SentAt: h.now})
			case AppendLease:
				renewedAt := silentAt.Add(-reportInterval - renewalAge)
				if waited := h.now.Sub(renewedAt); waited < h.core.settings.Lease.Duration {
					t.Fatalf("appended %v after the leader's last renewal, before its term has ended", waited)
				}
				return
			}
		}
		h.advance(50 * time.Millisecond)
	}
	t.Error("nobody took over from a leader that has been silent for 8 s")
}
