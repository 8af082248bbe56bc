package e2e

import (
	"net/netip"
	"sync"
	"testing"
)

// fleetRegistry keeps the fleets of tests apart that run side by side.
type fleetRegistry struct {
	mu     sync.Mutex
	byTest map[string]*fleetShare
}

// fleetShare is what the fleets of one test have for themselves.
type fleetShare struct {
	// address is a loopback address, so that no other test's process takes a port that
	// a process of this one has left.
	address netip.Addr
	// members is the number of entries and agents started so far.
	members int
}

var fleets = fleetRegistry{byTest: make(map[string]*fleetShare)}

// share returns the share of a test, which is new if the test has none. The lock must
// be held.
func (r *fleetRegistry) share(t testing.TB) *fleetShare {
	known, ok := r.byTest[t.Name()]
	if !ok {
		number := len(r.byTest) + 1
		known = &fleetShare{address: netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)})}
		r.byTest[t.Name()] = known
	}
	return known
}

// countMember counts one more entry or agent of a test and returns their number.
func (r *fleetRegistry) countMember(t testing.TB) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.share(t)
	share.members++
	return share.members
}

// loopback returns the test's own loopback address, with a port that the system is to
// choose.
func loopback(t testing.TB) string {
	fleets.mu.Lock()
	defer fleets.mu.Unlock()
	return netip.AddrPortFrom(fleets.share(t).address, 0).String()
}
